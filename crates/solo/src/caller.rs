//! A caller, as the sample day and the tests use it.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::{Value, json};

use chestnutloft_wire::http::{HttpClient, client, full};

/// What a caller got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerAnswer {
    /// HTTP status; 0 where there was no answer.
    pub status: u16,
    /// Request id.
    pub request: String,
    /// Version that answered.
    pub version: String,
    /// Text of the answer, or body of a plain one.
    pub text: String,
    /// Pieces that came.
    pub pieces: u64,
    /// Whether the stream ended as it should.
    pub is_whole: bool,
    /// Body of a refusal.
    pub refusal: Value,
}

/// A request to a model.
#[derive(Clone, Debug)]
pub struct ModelCall<'a> {
    /// Workspace.
    pub workspace: &'a str,
    /// Kind of request.
    pub kind: &'a str,
    /// Session, if any.
    pub session: Option<&'a str>,
    /// Model or version wished, or `auto`.
    pub model: &'a str,
    /// Prompt.
    pub prompt: &'a str,
    /// Whether the answer is streamed.
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

/// A caller with its connections.
#[derive(Clone, Debug)]
pub struct SampleCaller {
    http: HttpClient,
}

impl Default for SampleCaller {
    fn default() -> Self {
        Self { http: client() }
    }
}

impl SampleCaller {
    /// Sends a request to a model.
    pub async fn ask(&self, entry: SocketAddr, call: &ModelCall<'_>) -> CallerAnswer {
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
            return CallerAnswer::default();
        };
        let (mut answer, bytes, ended) = self.send(request).await;
        if answer.status == 200 && call.is_streamed {
            read_stream(&mut answer, &bytes, ended);
        } else if answer.status == 200 {
            read_whole(&mut answer, &bytes, ended);
        }
        answer
    }

    /// Calls a plain service.
    pub async fn call_plain(
        &self,
        entry: SocketAddr,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> CallerAnswer {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{entry}/svc{path}"))
            .header("x-workspace", "demo");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let Ok(request) = builder.body(full(body.to_owned())) else {
            return CallerAnswer::default();
        };
        let (mut answer, bytes, ended) = self.send(request).await;
        answer.text = String::from_utf8_lossy(&bytes).into_owned();
        answer.is_whole = ended;
        answer
    }

    async fn send(
        &self,
        request: Request<chestnutloft_wire::http::AnyBody>,
    ) -> (CallerAnswer, Bytes, bool) {
        let mut answer = CallerAnswer::default();
        let Ok(response) = self.http.request(request).await else {
            return (answer, Bytes::new(), false);
        };
        answer.status = response.status().as_u16();
        answer.request = response
            .headers()
            .get("x-request-id")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let mut body = response.into_body();
        let mut bytes = Vec::new();
        let mut ended = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                ended = false;
                break;
            };
            if let Some(data) = frame.data_ref() {
                bytes.extend_from_slice(data);
            }
        }
        if answer.status != 200 {
            answer.refusal = serde_json::from_slice(&bytes).unwrap_or_default();
        }
        (answer, Bytes::from(bytes), ended)
    }
}

fn read_whole(answer: &mut CallerAnswer, bytes: &[u8], ended: bool) {
    let content: Value = serde_json::from_slice(bytes).unwrap_or_default();
    content["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
        .clone_into(&mut answer.text);
    content["model"]
        .as_str()
        .unwrap_or_default()
        .clone_into(&mut answer.version);
    answer.is_whole = ended && !answer.text.is_empty();
}

fn read_stream(answer: &mut CallerAnswer, bytes: &[u8], ended: bool) {
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
            answer.refusal = chunk;
            continue;
        }
        if let Some(content) = chunk["choices"][0]["delta"]["content"].as_str() {
            answer.text.push_str(content);
            answer.pieces += 1;
        }
        if let Some(version) = chunk["model"].as_str() {
            version.clone_into(&mut answer.version);
        }
    }
    answer.is_whole = is_done && ended;
}
