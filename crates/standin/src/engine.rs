//! A stand-in for a model engine: it models batching slots, contention and cold starts, and can abort
//! streams.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use chestnutloft_core::ids::VersionId;
use chestnutloft_wire::http::{AnyBody, BodyError, json_response, read_body, serve, text_response};

use crate::text::ScriptedAnswer;

/// Request size limit.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Configurable behaviour of a stand-in engine. Every field can be changed while the engine runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineBehaviour {
    /// Share of good answers of each loaded version.
    pub quality: BTreeMap<VersionId, f64>,
    /// Concurrent requests that are served without a slowdown.
    pub slots: u32,
    /// Prefill time per prompt token, in microseconds.
    pub read_token_us: u64,
    /// Delay before each piece, in microseconds; 0 sends pieces as fast as the client reads them.
    pub piece_us: u64,
    /// Pieces per answer, unless the request sets `max_tokens`.
    pub pieces: u64,
    /// Requests that a cold engine must complete to become warm.
    pub cold_answers: u32,
    /// Slowdown factor while cold.
    pub cold_factor: u32,
    /// Concurrent requests that a cold engine can handle. Each request above the limit counts as a
    /// collapse and restarts the warm-up.
    pub cold_limit: u32,
    /// Aborts each stream after this many pieces.
    pub cut_after: Option<u64>,
    /// Rejects every request with status 503 and `x-not-run: true`.
    pub is_refusing: bool,
    /// Rejects requests for these versions in the same way.
    pub refused_versions: BTreeSet<VersionId>,
}

impl Default for EngineBehaviour {
    fn default() -> Self {
        Self {
            quality: BTreeMap::new(),
            slots: 8,
            read_token_us: 20,
            piece_us: 1_000,
            pieces: 20,
            cold_answers: 0,
            cold_factor: 5,
            cold_limit: 2,
            cut_after: None,
            is_refusing: false,
            refused_versions: BTreeSet::new(),
        }
    }
}

/// Counters of a stand-in engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests in progress.
    pub running: u32,
    /// Maximum number of concurrent requests.
    #[serde(rename = "most_running")]
    pub max_running: u32,
    /// Maximum number of concurrent requests while cold.
    #[serde(rename = "most_cold")]
    pub max_running_cold: u32,
    /// Requests started, by version.
    #[serde(rename = "begun")]
    pub started: BTreeMap<VersionId, u64>,
    /// Requests completed.
    pub answered: u32,
    /// Requests that exceeded `cold_limit` while the engine was cold.
    pub collapses: u32,
}

#[derive(Debug)]
struct EngineState {
    behaviour: EngineBehaviour,
    counts: EngineCounts,
    completed_since_cold: u32,
}

/// A running stand-in engine; clones control the same server.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    /// Listening address.
    pub address: SocketAddr,
    state: Arc<Mutex<EngineState>>,
    stop: watch::Sender<bool>,
}

/// Decrements the number of running requests when dropped.
struct RunningGuard {
    state: Arc<Mutex<EngineState>>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.state).counts.running -= 1;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EngineStandin {
    /// Starts an engine on `address`; port 0 lets the system choose.
    ///
    /// # Errors
    /// The I/O error when `address` cannot be bound.
    pub async fn start(address: SocketAddr, behaviour: EngineBehaviour) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(EngineState {
            behaviour,
            counts: EngineCounts::default(),
            completed_since_cold: 0,
        }));
        let (stop, stop_receiver) = watch::channel(false);
        let handler_state = Arc::clone(&state);
        let service = move |request| handle(Arc::clone(&handler_state), request);
        tokio::spawn(serve(listener, stop_receiver, Duration::ZERO, service));
        Ok(Self {
            address,
            state,
            stop,
        })
    }

    /// Snapshot of the counters.
    pub fn counts(&self) -> EngineCounts {
        lock(&self.state).counts.clone()
    }

    /// Versions that the engine serves.
    pub fn versions(&self) -> BTreeSet<VersionId> {
        lock(&self.state)
            .behaviour
            .quality
            .keys()
            .cloned()
            .collect()
    }

    /// Configured number of slots.
    pub fn slots(&self) -> u32 {
        lock(&self.state).behaviour.slots
    }

    /// Whether the engine is still warming up.
    pub fn is_cold(&self) -> bool {
        lock(&self.state).is_cold()
    }

    /// Changes the behaviour, also for requests in progress.
    pub fn update_behaviour(&self, update: impl FnOnce(&mut EngineBehaviour)) {
        update(&mut lock(&self.state).behaviour);
    }

    /// Restarts the warm-up without announcing that the engine is cold.
    pub fn reset_warm_up(&self) {
        lock(&self.state).completed_since_cold = 0;
    }

    /// Stops accepting connections and asks open ones to close, without waiting for them.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

impl EngineState {
    fn is_cold(&self) -> bool {
        self.completed_since_cold < self.behaviour.cold_answers
    }

    fn start_request(&mut self, version: &VersionId) {
        let counts = &mut self.counts;
        counts.running += 1;
        counts.max_running = counts.max_running.max(counts.running);
        *counts.started.entry(version.clone()).or_default() += 1;
        if self.is_cold() {
            self.counts.max_running_cold = self.counts.max_running_cold.max(self.counts.running);
            if self.counts.running > self.behaviour.cold_limit {
                self.counts.collapses += 1;
                self.completed_since_cold = 0;
            }
        }
    }

    fn complete_request(&mut self) {
        self.counts.answered += 1;
        self.completed_since_cold = self.completed_since_cold.saturating_add(1);
    }

    /// Factor on all delays: grows with each multiple of `slots` and while cold.
    fn slowdown(&self) -> u32 {
        let excess = self.counts.running.saturating_sub(self.behaviour.slots);
        let contention = 1 + excess / self.behaviour.slots.max(1);
        let cold = if self.is_cold() {
            self.behaviour.cold_factor
        } else {
            1
        };
        contention * cold
    }
}

async fn handle(state: Arc<Mutex<EngineState>>, request: Request<Incoming>) -> Response<AnyBody> {
    match (request.method().clone(), request.uri().path()) {
        (Method::POST, "/v1/chat/completions") => answer_chat(state, request).await,
        (Method::GET, "/standin/v1/counts") => json_response(200, &lock(&state).counts.clone()),
        (Method::POST, "/standin/v1/behaviour") => change_behaviour(&state, request).await,
        (Method::POST, "/standin/v1/cold") => {
            lock(&state).completed_since_cold = 0;
            text_response(200, "cold\n")
        }
        _ => text_response(404, "not found\n"),
    }
}

async fn change_behaviour(
    state: &Mutex<EngineState>,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    let Ok(body) = read_body(request.into_body(), MAX_REQUEST_BYTES).await else {
        return text_response(400, "the body was cut\n");
    };
    match serde_json::from_slice(&body) {
        Ok(behaviour) => {
            lock(state).behaviour = behaviour;
            text_response(200, "changed\n")
        }
        Err(error) => text_response(400, format!("{error}\n")),
    }
}

/// An error response that states that the request did not run.
fn not_run_response(status: u16, reason: &str) -> Response<AnyBody> {
    let mut response = text_response(status, format!("{reason}\n"));
    let value = HeaderValue::from_static("true");
    response.headers_mut().insert("x-not-run", value);
    response
}

async fn answer_chat(
    state: Arc<Mutex<EngineState>>,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    let Ok(body) = read_body(request.into_body(), MAX_REQUEST_BYTES).await else {
        return not_run_response(400, "the body was cut");
    };
    let Ok(call) = serde_json::from_slice::<Value>(&body) else {
        return not_run_response(400, "the body is no JSON");
    };
    let Ok(version) = call["model"]
        .as_str()
        .unwrap_or_default()
        .parse::<VersionId>()
    else {
        return not_run_response(400, "field model is missing");
    };
    let prompt = call["messages"].to_string();
    let (script, running) = {
        let mut engine = lock(&state);
        let behaviour = &engine.behaviour;
        if behaviour.is_refusing || behaviour.refused_versions.contains(&version) {
            return not_run_response(503, "refusing");
        }
        let Some(quality) = engine.behaviour.quality.get(&version).copied() else {
            return not_run_response(404, "the version is not loaded");
        };
        engine.start_request(&version);
        let pieces = call["max_tokens"]
            .as_u64()
            .unwrap_or(engine.behaviour.pieces);
        let script = ScriptedAnswer::new(version.as_str(), &prompt, quality, pieces);
        let running = RunningGuard {
            state: Arc::clone(&state),
        };
        (script, running)
    };
    let prompt_tokens = prompt.len() as u64 / 4;
    let prefill = {
        let engine = lock(&state);
        Duration::from_micros(engine.behaviour.read_token_us * prompt_tokens) * engine.slowdown()
    };
    if !prefill.is_zero() {
        tokio::time::sleep(prefill).await;
    }
    let first_piece = call["resume"]["pieces"].as_u64().unwrap_or(0);
    let answer = AnswerStream {
        state,
        script,
        next_piece: first_piece,
        sent_pieces: 0,
        prompt_tokens,
        _running: running,
        is_finished: false,
    };
    answer.into_response()
}

/// State of a streamed answer.
struct AnswerStream {
    state: Arc<Mutex<EngineState>>,
    script: ScriptedAnswer,
    /// Index of the next piece; a resumed answer does not start at 0.
    next_piece: u64,
    sent_pieces: u64,
    prompt_tokens: u64,
    _running: RunningGuard,
    is_finished: bool,
}

/// Pieces that are sent in one body frame when `piece_us` is 0.
const UNPACED_FRAME_PIECES: u64 = 32;

impl AnswerStream {
    fn into_response(self) -> Response<AnyBody> {
        let frames = stream::unfold(self, |mut answer| async move {
            let frame = answer.next_frame().await?;
            Some((frame, answer))
        });
        let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
        let value = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, value);
        response
    }

    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.is_finished {
            return None;
        }
        let (piece_us, slowdown, cut_after) = {
            let engine = lock(&self.state);
            let behaviour = &engine.behaviour;
            (behaviour.piece_us, engine.slowdown(), behaviour.cut_after)
        };
        if piece_us > 0 {
            tokio::time::sleep(Duration::from_micros(piece_us) * slowdown).await;
        }
        if cut_after.is_some_and(|limit| self.sent_pieces >= limit) {
            self.is_finished = true;
            return Some(Err("cut".into()));
        }
        let count = if piece_us > 0 {
            1
        } else {
            UNPACED_FRAME_PIECES
        };
        let text = self.next_events(count);
        Some(Ok(Frame::data(Bytes::from(text))))
    }

    fn next_events(&mut self, count: u64) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        for _ in 0..count {
            if self.next_piece >= self.script.pieces() {
                text.push_str(&self.final_events());
                break;
            }
            let piece = self.script.piece(self.next_piece);
            let _ = write!(
                text,
                "id: {}\ndata: {{\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{piece}\"}}}}]}}\n\n",
                self.next_piece
            );
            self.next_piece += 1;
            self.sent_pieces += 1;
        }
        text
    }

    /// Completes the request; the events that end its stream.
    fn final_events(&mut self) -> String {
        self.is_finished = true;
        lock(&self.state).complete_request();
        let usage = json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.script.pieces(),
            "pieces": self.script.pieces(),
            "confidence": self.script.confidence(),
        });
        format!("event: usage\ndata: {usage}\n\ndata: [DONE]\n\n")
    }
}
