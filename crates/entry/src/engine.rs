//! Client for model engines: the chat-completions API with numbered stream pieces.
//!
//! See docs/PROTOCOLS.md, "Engines". Supporting another engine API means replacing this file only.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};

use chestnutloft_core::ids::VersionId;
use chestnutloft_core::pipe::{AttemptFailure, StreamPiece};
use chestnutloft_wire::http::{HttpClient, full};

use crate::sse::EventSplitter;

/// Header with which an endpoint confirms that it did not run a refused request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct EngineCall<'a> {
    /// `IP:port` of the engine.
    pub address: &'a str,
    /// Version that must generate the answer.
    pub version: &'a VersionId,
    /// Request body from the caller.
    pub request: &'a Value,
    /// Request id.
    pub request_id: &'a str,
    /// Priority, sent as `x-priority`.
    pub priority: &'a str,
    /// Number and text of the pieces received from earlier attempts, to resume after them.
    pub resume: Option<(u64, String)>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Maximum time between two reads of the stream.
    pub idle_timeout: Duration,
}

/// Last event of a stream: token counts and the number of pieces.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EngineUsage {
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Number of pieces of the whole answer, including those before a resume.
    pub pieces: u64,
    /// Confidence of the engine in its answer, 0 to 1.
    #[serde(default)]
    pub confidence: Option<f64>,
}

/// An event of an engine stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// New pieces of the answer.
    Pieces(Vec<StreamPiece<Bytes>>),
    /// End of the answer.
    End(EngineUsage),
}

/// A streamed answer from an engine.
#[derive(Debug)]
pub struct EngineStream {
    body: Incoming,
    splitter: EventSplitter,
    usage: Option<EngineUsage>,
    idle_timeout: Duration,
}

/// Sends a request and opens its stream.
///
/// # Errors
/// [`AttemptFailure`], which says whether the request may have run.
pub async fn open(
    http: &HttpClient,
    call: &EngineCall<'_>,
) -> Result<EngineStream, AttemptFailure> {
    let mut body = call.request.clone();
    body["model"] = json!(call.version);
    body["stream"] = json!(true);
    if let Some((pieces, text)) = &call.resume {
        body["resume"] = json!({ "pieces": pieces, "text": text });
    }
    let content = serde_json::to_vec(&body).map_err(|_| AttemptFailure::NotSent)?;
    let request = Request::post(format!("http://{}/v1/chat/completions", call.address))
        .header("content-type", "application/json")
        .header("accept", "text/event-stream")
        .header("x-request-id", call.request_id)
        .header("x-priority", call.priority)
        .header("x-deadline-ms", call.time_left.as_millis().to_string())
        .body(full(content))
        .map_err(|_| AttemptFailure::NotSent)?;
    let result = tokio::time::timeout(call.time_left, http.request(request)).await;
    let response = match result {
        Err(_) => return Err(AttemptFailure::TimedOut),
        Ok(Err(error)) if error.is_connect() => return Err(AttemptFailure::NotSent),
        Ok(Err(_)) => return Err(AttemptFailure::Broken),
        Ok(Ok(response)) => response,
    };
    if response.status().is_success() {
        return Ok(EngineStream {
            body: response.into_body(),
            splitter: EventSplitter::default(),
            usage: None,
            idle_timeout: call.idle_timeout,
        });
    }
    if response.headers().contains_key(NOT_RUN_HEADER) {
        return Err(AttemptFailure::Refused);
    }
    Err(AttemptFailure::ServerError)
}

impl EngineStream {
    /// Returns all complete pieces received so far, waiting for at least one, or the end.
    ///
    /// # Errors
    /// [`AttemptFailure`] when the stream breaks, is idle for too long or ends without a usage
    /// event.
    pub async fn next(&mut self) -> Result<EngineEvent, AttemptFailure> {
        loop {
            let pieces = self.drain_pieces()?;
            if !pieces.is_empty() {
                return Ok(EngineEvent::Pieces(pieces));
            }
            if let Some(usage) = self.usage.take() {
                return Ok(EngineEvent::End(usage));
            }
            self.read_more().await?;
        }
    }

    fn drain_pieces(&mut self) -> Result<Vec<StreamPiece<Bytes>>, AttemptFailure> {
        let mut pieces = Vec::new();
        while self.usage.is_none()
            && let Some(event) = self.splitter.next_event()
        {
            if let Some(index) = event.id {
                let content = event.raw;
                pieces.push(StreamPiece { index, content });
            } else if &event.name[..] == b"usage" {
                let usage = serde_json::from_slice(&event.data);
                self.usage = Some(usage.map_err(|_| AttemptFailure::Broken)?);
            }
        }
        Ok(pieces)
    }

    async fn read_more(&mut self) -> Result<(), AttemptFailure> {
        let frame = tokio::time::timeout(self.idle_timeout, self.body.frame())
            .await
            .map_err(|_| AttemptFailure::TimedOut)?
            .ok_or(AttemptFailure::Broken)?
            .map_err(|_| AttemptFailure::Broken)?;
        if let Some(data) = frame.data_ref() {
            self.splitter
                .push(data)
                .map_err(|_| AttemptFailure::Broken)?;
        }
        Ok(())
    }
}

/// Extracts the text of one piece from its raw event; empty if the event has no text.
pub fn piece_text(raw: &[u8]) -> String {
    let data = raw
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"));
    let chunk: Value = data
        .and_then(|data| serde_json::from_slice(data).ok())
        .unwrap_or_default();
    let content = &chunk["choices"][0]["delta"]["content"];
    content.as_str().unwrap_or_default().to_owned()
}
