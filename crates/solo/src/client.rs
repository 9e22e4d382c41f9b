//! An HTTP client of an entry, for the demonstration and the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::{Value, json};

use chestnutloft_wire::http::{HttpClient, client, full};

/// Response to a request, or what was received of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientResponse {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Request id from `x-request-id`.
    pub request_id: String,
    /// Model version that answered.
    pub version: String,
    /// Generated text, or the body of a plain service's response.
    pub text: String,
    /// Number of pieces received.
    pub pieces: u64,
    /// Whether the response was received to its end; a stream must end with `[DONE]`.
    pub is_complete: bool,
    /// Body of an error response, or the error event of a stream.
    pub refusal: Value,
}

/// A request to a model.
#[derive(Clone, Debug)]
pub struct ModelCall<'a> {
    /// Workspace, sent in `x-workspace`.
    pub workspace: &'a str,
    /// Request kind, sent in `x-kind`.
    pub kind: &'a str,
    /// Session, if any.
    pub session: Option<&'a str>,
    /// Requested model or version; `auto` lets the router choose.
    pub model: &'a str,
    /// Prompt.
    pub prompt: &'a str,
    /// Whether the response is streamed.
    pub is_streamed: bool,
}

impl Default for ModelCall<'_> {
    fn default() -> Self {
        Self {
            workspace: "demo",
            kind: "quick",
            session: None,
            model: "auto",
            prompt: "Which wax for wet snow?",
            is_streamed: true,
        }
    }
}

/// A client with its connection pool.
#[derive(Clone, Debug)]
pub struct SampleClient {
    http: HttpClient,
}

impl Default for SampleClient {
    fn default() -> Self {
        Self { http: client() }
    }
}

impl SampleClient {
    /// Sends a chat request and reads the whole response.
    pub async fn send_model_call(&self, entry: SocketAddr, call: &ModelCall<'_>) -> ClientResponse {
        let body = json!({
            "model": call.model,
            "stream": call.is_streamed,
            "messages": [{ "role": "user", "content": call.prompt }],
        });
        let mut builder = Request::post(format!("http://{entry}/v1/chat/completions"))
            .header("x-workspace", call.workspace)
            .header("x-kind", call.kind)
            .header("content-type", "application/json");
        if let Some(session) = call.session {
            builder = builder.header("x-session", session);
        }
        let Ok(request) = builder.body(full(body.to_string())) else {
            return ClientResponse::default();
        };
        let (mut response, bytes, is_body_complete) = self.send(request).await;
        if response.status == 200 && call.is_streamed {
            parse_event_stream(&mut response, &bytes, is_body_complete);
        } else if response.status == 200 {
            parse_completion(&mut response, &bytes, is_body_complete);
        }
        response
    }

    /// Sends a request to a plain service as workspace `demo`; `key` is the idempotency key.
    pub async fn call_plain_service(
        &self,
        entry: SocketAddr,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> ClientResponse {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{entry}/svc{path}"))
            .header("x-workspace", "demo");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let Ok(request) = builder.body(full(body.to_owned())) else {
            return ClientResponse::default();
        };
        let (mut response, bytes, is_body_complete) = self.send(request).await;
        response.text = String::from_utf8_lossy(&bytes).into_owned();
        response.is_complete = is_body_complete;
        response
    }

    /// Returns the response without its content, the body, and whether the body is complete.
    async fn send(
        &self,
        request: Request<chestnutloft_wire::http::AnyBody>,
    ) -> (ClientResponse, Bytes, bool) {
        let mut response = ClientResponse::default();
        let Ok(http_response) = self.http.request(request).await else {
            return (response, Bytes::new(), false);
        };
        response.status = http_response.status().as_u16();
        response.request_id = http_response
            .headers()
            .get("x-request-id")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let mut body = http_response.into_body();
        let mut bytes = Vec::new();
        let mut is_body_complete = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                is_body_complete = false;
                break;
            };
            if let Some(data) = frame.data_ref() {
                bytes.extend_from_slice(data);
            }
        }
        if response.status != 200 {
            response.refusal = serde_json::from_slice(&bytes).unwrap_or_default();
        }
        (response, Bytes::from(bytes), is_body_complete)
    }
}

fn parse_completion(response: &mut ClientResponse, bytes: &[u8], is_body_complete: bool) {
    let content: Value = serde_json::from_slice(bytes).unwrap_or_default();
    content["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
        .clone_into(&mut response.text);
    content["model"]
        .as_str()
        .unwrap_or_default()
        .clone_into(&mut response.version);
    response.is_complete = is_body_complete && !response.text.is_empty();
}

fn parse_event_stream(response: &mut ClientResponse, bytes: &[u8], is_body_complete: bool) {
    let text = String::from_utf8_lossy(bytes);
    let mut is_done = false;
    for event in text.split("\n\n") {
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let Some(data) = data else { continue };
        if data == "[DONE]" {
            is_done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if event.contains("event: error") {
            response.refusal = chunk;
            continue;
        }
        if let Some(content) = chunk["choices"][0]["delta"]["content"].as_str() {
            response.text.push_str(content);
            response.pieces += 1;
        }
        if let Some(version) = chunk["model"].as_str() {
            version.clone_into(&mut response.version);
        }
    }
    response.is_complete = is_done && is_body_complete;
}
