//! A stand-in for a model engine: continuous batching, slots, cold starts, cut streams.

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

/// Largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// How a stand-in engine behaves. All of it can be changed while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineBehaviour {
    /// Share of good answers by version.
    pub quality: BTreeMap<VersionId, f64>,
    /// Requests served at once.
    pub slots: u32,
    /// Time to read one prompt token, in microseconds.
    pub read_token_us: u64,
    /// Time between two pieces, in microseconds; 0 sends all pieces as fast as they are taken.
    pub piece_us: u64,
    /// Pieces of an answer.
    pub pieces: u64,
    /// Requests that must be answered before the engine is warm.
    pub cold_answers: u32,
    /// Factor on all times while cold.
    pub cold_factor: u32,
    /// Requests at once that a cold engine bears; above it, it collapses and starts anew.
    pub cold_limit: u32,
    /// Cuts every stream after this many pieces.
    pub cut_after: Option<u64>,
    /// Refuses every request, saying that it did not run.
    pub is_refusing: bool,
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
        }
    }
}

/// What a stand-in engine has done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests that run.
    pub running: u32,
    /// Most requests that ran at once.
    pub most_running: u32,
    /// Most requests that ran at once while cold.
    pub most_cold: u32,
    /// Requests begun, by version.
    pub begun: BTreeMap<VersionId, u64>,
    /// Requests answered.
    pub answered: u32,
    /// Times that it collapsed while cold.
    pub collapses: u32,
}

#[derive(Debug)]
struct EngineState {
    behaviour: EngineBehaviour,
    counts: EngineCounts,
    warm_answers: u32,
}

/// A running stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<Mutex<EngineState>>,
    stop: watch::Sender<bool>,
}

struct RunningSlot {
    state: Arc<Mutex<EngineState>>,
}

impl Drop for RunningSlot {
    fn drop(&mut self) {
        lock(&self.state).counts.running -= 1;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EngineStandin {
    /// Starts an engine.
    ///
    /// # Errors
    /// The I/O error when the address is taken.
    pub async fn start(address: SocketAddr, behaviour: EngineBehaviour) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(EngineState {
            behaviour,
            counts: EngineCounts::default(),
            warm_answers: 0,
        }));
        let (stop, stopped) = watch::channel(false);
        let serving = Arc::clone(&state);
        let service = move |request| answer(Arc::clone(&serving), request);
        tokio::spawn(serve(listener, stopped, Duration::ZERO, service));
        Ok(Self {
            address,
            state,
            stop,
        })
    }

    /// What it has done.
    pub fn counts(&self) -> EngineCounts {
        lock(&self.state).counts.clone()
    }

    /// Versions that it has loaded.
    pub fn versions(&self) -> BTreeSet<VersionId> {
        lock(&self.state)
            .behaviour
            .quality
            .keys()
            .cloned()
            .collect()
    }

    /// Its slots.
    pub fn slots(&self) -> u32 {
        lock(&self.state).behaviour.slots
    }

    /// Whether it is cold.
    pub fn is_cold(&self) -> bool {
        lock(&self.state).is_cold()
    }

    /// Changes its behaviour.
    pub fn change(&self, change: impl FnOnce(&mut EngineBehaviour)) {
        change(&mut lock(&self.state).behaviour);
    }

    /// Turns it cold without a word.
    pub fn turn_cold(&self) {
        lock(&self.state).warm_answers = 0;
    }

    /// Ends it, cutting what runs.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

impl EngineState {
    fn is_cold(&self) -> bool {
        self.warm_answers < self.behaviour.cold_answers
    }

    fn begin(&mut self, version: &VersionId) {
        let counts = &mut self.counts;
        counts.running += 1;
        counts.most_running = counts.most_running.max(counts.running);
        *counts.begun.entry(version.clone()).or_default() += 1;
        if self.is_cold() {
            self.counts.most_cold = self.counts.most_cold.max(self.counts.running);
            if self.counts.running > self.behaviour.cold_limit {
                self.counts.collapses += 1;
                self.warm_answers = 0;
            }
        }
    }

    fn end(&mut self) {
        self.counts.answered += 1;
        self.warm_answers = self.warm_answers.saturating_add(1);
    }

    /// Slow-down by batch size and cold start.
    fn factor(&self) -> u32 {
        let over = self.counts.running.saturating_sub(self.behaviour.slots);
        let crowding = 1 + over / self.behaviour.slots.max(1);
        let cold = if self.is_cold() {
            self.behaviour.cold_factor
        } else {
            1
        };
        crowding * cold
    }
}

async fn answer(state: Arc<Mutex<EngineState>>, request: Request<Incoming>) -> Response<AnyBody> {
    match (request.method().clone(), request.uri().path()) {
        (Method::POST, "/v1/chat/completions") => answer_chat(state, request).await,
        (Method::GET, "/standin/v1/counts") => json_response(200, &lock(&state).counts.clone()),
        (Method::POST, "/standin/v1/behaviour") => change_behaviour(&state, request).await,
        (Method::POST, "/standin/v1/cold") => {
            lock(&state).warm_answers = 0;
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

fn refusal(status: u16, why: &str) -> Response<AnyBody> {
    let mut response = text_response(status, format!("{why}\n"));
    let value = HeaderValue::from_static("true");
    response.headers_mut().insert("x-not-run", value);
    response
}

async fn answer_chat(
    state: Arc<Mutex<EngineState>>,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    let Ok(body) = read_body(request.into_body(), MAX_REQUEST_BYTES).await else {
        return refusal(400, "the body was cut");
    };
    let Ok(call) = serde_json::from_slice::<Value>(&body) else {
        return refusal(400, "the body is no JSON");
    };
    let Ok(version) = call["model"]
        .as_str()
        .unwrap_or_default()
        .parse::<VersionId>()
    else {
        return refusal(400, "field model is missing");
    };
    let prompt = call["messages"].to_string();
    let (script, slot) = {
        let mut engine = lock(&state);
        if engine.behaviour.is_refusing {
            return refusal(503, "refusing");
        }
        let Some(quality) = engine.behaviour.quality.get(&version).copied() else {
            return refusal(404, "the version is not loaded");
        };
        engine.begin(&version);
        let pieces = call["max_tokens"]
            .as_u64()
            .unwrap_or(engine.behaviour.pieces);
        let script = ScriptedAnswer::new(version.as_str(), &prompt, quality, pieces);
        let slot = RunningSlot {
            state: Arc::clone(&state),
        };
        (script, slot)
    };
    let prompt_tokens = prompt.len() as u64 / 4;
    let read = {
        let engine = lock(&state);
        Duration::from_micros(engine.behaviour.read_token_us * prompt_tokens) * engine.factor()
    };
    if !read.is_zero() {
        tokio::time::sleep(read).await;
    }
    let first = call["resume"]["pieces"].as_u64().unwrap_or(0);
    let answer = StreamedAnswer {
        state,
        script,
        next: first,
        sent: 0,
        prompt_tokens,
        _slot: slot,
        is_over: false,
    };
    answer.response()
}

/// An answer on its way.
struct StreamedAnswer {
    state: Arc<Mutex<EngineState>>,
    script: ScriptedAnswer,
    next: u64,
    sent: u64,
    prompt_tokens: u64,
    _slot: RunningSlot,
    is_over: bool,
}

/// Pieces that are sent in one frame when the engine does not pause between pieces.
const UNPACED_PIECES: u64 = 32;

impl StreamedAnswer {
    fn response(self) -> Response<AnyBody> {
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
        if self.is_over {
            return None;
        }
        let (pause, factor, cut_after) = {
            let engine = lock(&self.state);
            let behaviour = &engine.behaviour;
            (behaviour.piece_us, engine.factor(), behaviour.cut_after)
        };
        if pause > 0 {
            tokio::time::sleep(Duration::from_micros(pause) * factor).await;
        }
        if cut_after.is_some_and(|limit| self.sent >= limit) {
            self.is_over = true;
            return Some(Err("cut".into()));
        }
        let count = if pause > 0 { 1 } else { UNPACED_PIECES };
        let text = self.next_events(count);
        Some(Ok(Frame::data(Bytes::from(text))))
    }

    fn next_events(&mut self, count: u64) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        for _ in 0..count {
            if self.next >= self.script.pieces() {
                text.push_str(&self.end());
                break;
            }
            let piece = self.script.piece(self.next);
            let _ = write!(
                text,
                "id: {}\ndata: {{\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{piece}\"}}}}]}}\n\n",
                self.next
            );
            self.next += 1;
            self.sent += 1;
        }
        text
    }

    fn end(&mut self) -> String {
        self.is_over = true;
        lock(&self.state).end();
        let usage = json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.script.pieces(),
            "pieces": self.script.pieces(),
            "confidence": self.script.confidence(),
        });
        format!("event: usage\ndata: {usage}\n\ndata: [DONE]\n\n")
    }
}
