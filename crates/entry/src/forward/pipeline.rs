//! Runs a call: attempts until an answer is good enough, or the reason to give up.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};

use chestnutloft_core::hash::key_hash;
use chestnutloft_core::routing::{CallKind, ClimbCandidate, ModelLadder, ModelLane};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::{AnyBody, full};

use super::attempt::{AttemptFailure, LiveAnswer, send_attempt};
use super::choice::{ChosenEndpoint, NoEndpoint, PlaceRequest, PromptSize, prefix_key};
use super::context::ForwardGate;
use super::dialect::{CallRefusal, ModelWish};
use super::inbound::{InboundCall, take_call};
use super::relay::StreamRelay;

/// Time that must be left to begin an attempt.
pub(super) const MIN_LEFT: Duration = Duration::from_millis(15);
/// Wait between two looks for an endpoint.
const PLACE_INTERVAL: Duration = Duration::from_millis(20);
/// Share of the aim that a call waits for an endpoint to take work.
const PLACE_SHARE: f64 = 0.12;
/// Multiple of the aim after which an idempotent call without an answer is sent elsewhere.
const SILENCE_FACTOR: f64 = 2.5;
/// Share of the aim after which a stream without its first event is begun elsewhere.
const STREAM_SILENCE_SHARE: f64 = 0.9;
/// Multiple of the time expected after which a stream is begun elsewhere.
const STREAM_SILENCE_FACTOR: f64 = 4.0;
/// Silence allowed on top: a spurious second attempt costs an endpoint a whole prompt.
const STREAM_SILENCE_MARGIN: Duration = Duration::from_millis(700);
/// Attempts beyond the route's limit that endpoints may reject without running them.
const REJECTED_ATTEMPTS: u32 = 2;

/// Answers one call.
pub async fn answer_call(gate: Arc<ForwardGate>, request: Request<Incoming>) -> Response<AnyBody> {
    let (parts, body) = request.into_parts();
    match take_call(&gate, parts, body).await {
        Ok(call) => CallRun::new(gate, call).answer().await,
        Err((refusal, id)) => {
            let shown = id.as_deref().unwrap_or("without id");
            spdlog::info!("call {shown}: refused: {refusal}.");
            gate.metrics.note_refusal(None, &refusal);
            (gate.dialect.write_refusal)(&refusal, id.as_deref())
        }
    }
}

/// A call under way.
pub struct CallRun {
    /// Shared parts.
    pub gate: Arc<ForwardGate>,
    /// The call.
    pub call: InboundCall,
    pub(super) tried: BTreeSet<Arc<str>>,
    pub(super) runs: u32,
    pub(super) rejected: u32,
    pub(super) may_have_run: bool,
    /// Place of the model on the route's ladder.
    pub rung: usize,
    pub(super) failure: &'static str,
}

impl Drop for CallRun {
    fn drop(&mut self) {
        if self.call.head.session.is_some() {
            let service = &self.call.service.name;
            let session = self.call.session_key();
            self.gate
                .book()
                .note_session_end(clock::now(), service, session);
        }
    }
}

enum AnswerVerdict {
    Reply(Response<AnyBody>),
    Again,
}

impl CallRun {
    fn new(gate: Arc<ForwardGate>, call: InboundCall) -> Self {
        gate.book().note_call(call.came_at, &call.service.name);
        Self {
            gate,
            call,
            tried: BTreeSet::new(),
            runs: 0,
            rejected: 0,
            may_have_run: false,
            rung: 0,
            failure: "",
        }
    }

    /// Model that the entry has chosen, where the caller leaves the choice.
    pub fn model(&self) -> Option<Arc<str>> {
        match self.call.head.model {
            ModelWish::Any => self.call.route.models.get(self.rung).cloned(),
            _ => None,
        }
    }

    async fn answer(mut self) -> Response<AnyBody> {
        let mut kept: Option<Response<AnyBody>> = None;
        loop {
            let endpoint = match self.place().await {
                Ok(endpoint) => endpoint,
                Err(refusal) => return kept.unwrap_or_else(|| self.refuse(&refusal)),
            };
            match self.attempt(endpoint, self.call.head.resume_after).await {
                Ok(mut answer) if self.call.route.kind.is_stream() && is_success(&answer) => {
                    if self.climbs(&mut answer) {
                        continue;
                    }
                    match StreamRelay::begin(self, answer).await {
                        Ok(response) => return response,
                        Err(run) => self = *run,
                    }
                }
                Ok(answer) => match self.take_whole(answer, &mut kept).await {
                    AnswerVerdict::Reply(response) => return response,
                    AnswerVerdict::Again => {}
                },
                Err(failure) => self.note_cut(&failure),
            }
            if !self.may_repeat() {
                let refusal = self.give_up();
                return kept.unwrap_or_else(|| self.refuse(&refusal));
            }
        }
    }

    /// Chooses an endpoint, waiting a little where none takes work.
    pub async fn place(&mut self) -> Result<ChosenEndpoint, CallRefusal> {
        let began_at = clock::now();
        self.gate.share.freshen(began_at).await;
        loop {
            let now = clock::now();
            if self.call.left(now) < MIN_LEFT {
                return Err(self.give_up());
            }
            let none = match self.choose(now) {
                Ok(endpoint) => return Ok(endpoint),
                Err(none) => none,
            };
            let patience = self.call.aim().mul_f64(PLACE_SHARE);
            if now.since(began_at) >= patience {
                return Err(self.refusal(now, none.reason()));
            }
            tokio::time::sleep(PLACE_INTERVAL).await;
        }
    }

    fn choose(&self, now: TimePoint) -> Result<ChosenEndpoint, NoEndpoint> {
        let request = PlaceRequest {
            service: &self.call.service,
            session: self.call.session_key(),
            prompt: self.prompt(),
            lane: self.lane(),
            tried: &self.tried,
        };
        self.gate.book().choose(now, &request)
    }

    /// A model that the caller names is not the entry's to place by size.
    pub fn lane(&self) -> ModelLane {
        let has_ladder = self.call.head.model == ModelWish::Any && self.call.route.models.len() > 1;
        match (has_ladder, self.rung) {
            (false, _) => ModelLane::Any,
            (true, 0) => ModelLane::Small,
            (true, _) => ModelLane::Large,
        }
    }

    /// The parts of the prompt that other calls share are all but the last.
    fn prompt(&self) -> PromptSize {
        let model = self.model();
        let model = model.as_deref().unwrap_or(&self.call.route.name);
        let kind = key_hash(model.as_bytes());
        let Some((own, shared)) = self.call.head.prompt.split_last() else {
            return PromptSize {
                kind,
                ..PromptSize::default()
            };
        };
        let ids: Vec<u64> = shared.iter().map(|part| part.id).collect();
        PromptSize {
            kind,
            shared: (!ids.is_empty()).then(|| prefix_key(&ids, model)),
            shared_tokens: shared.iter().map(|part| f64::from(part.tokens)).sum(),
            own_tokens: f64::from(own.tokens),
        }
    }

    /// Sends one attempt.
    pub async fn attempt(
        &mut self,
        endpoint: ChosenEndpoint,
        resume_after: Option<u64>,
    ) -> Result<LiveAnswer, AttemptFailure> {
        let now = clock::now();
        let reading = &endpoint.reading;
        let wait = self.answer_wait(now, reading.expected());
        spdlog::info!(
            "call {}: session {:016x} goes to {} with version {}, rung {}, waits {:.0} ms and reads {} tokens in {:.0} ms.",
            self.call.head.id,
            self.call.session_key(),
            endpoint.id,
            endpoint.version,
            self.rung,
            reading.wait_ms,
            reading.tokens,
            reading.work_ms
        );
        self.tried.insert(Arc::clone(&endpoint.id));
        self.runs += 1;
        let model = self.model();
        let sent = send_attempt(
            &self.gate,
            &self.call,
            endpoint.clone(),
            model.as_deref(),
            resume_after,
            wait,
        );
        let outcome = sent.await;
        if let Err(failure) = &outcome {
            self.blame(&endpoint, failure);
        }
        outcome
    }

    fn blame(&mut self, endpoint: &ChosenEndpoint, failure: &AttemptFailure) {
        let now = clock::now();
        let version = &endpoint.version;
        self.gate
            .metrics
            .note_attempt(&self.call, version, Some(failure));
        spdlog::warn!(
            "call {}: attempt {} at {} failed after {} ms: {failure:?}.",
            self.call.head.id,
            self.runs,
            endpoint.id,
            now.since(self.call.came_at).as_millis()
        );
        match failure {
            AttemptFailure::Unreachable(_) => {
                self.gate.links.forget(&endpoint.address);
                self.gate.book().note_down(now, &endpoint.id);
            }
            AttemptFailure::NotRun { .. } => {}
            AttemptFailure::Broken(_) => self.note_bad_answer(now, endpoint),
            AttemptFailure::Silent(wait) => {
                self.gate.book().note_silence(now, endpoint, *wait);
                self.note_bad_answer(now, endpoint);
            }
        }
    }

    /// Notes that an endpoint failed a call that it had.
    pub fn note_bad_answer(&self, now: TimePoint, endpoint: &ChosenEndpoint) {
        let mut book = self.gate.book();
        if book.note_failure(now, &endpoint.id) {
            spdlog::warn!("health: {} is ejected.", endpoint.id);
        }
        let arm = self.arm();
        book.note_arm(&self.call.service.name, &endpoint.version, &arm, None);
    }

    /// Notes that an endpoint answered well, or began to.
    pub fn note_good_answer(&self, now: TimePoint, answer: &LiveAnswer) {
        let ticket = &answer.ticket;
        let took = now.since(ticket.began_at);
        let version = &ticket.endpoint.version;
        self.gate.metrics.note_attempt(&self.call, version, None);
        let arm = self.arm();
        let mut book = self.gate.book();
        book.note_begun(now, &ticket.endpoint, took);
        book.health
            .note_success(&ticket.endpoint.id, key_hash(arm.as_bytes()), took);
        let took = Some(took.as_secs_f64());
        book.note_arm(&self.call.service.name, version, &arm, took);
    }

    fn arm(&self) -> String {
        let model = self.model();
        format!(
            "{}/{}",
            self.call.route.name,
            model.as_deref().unwrap_or_default()
        )
    }

    /// How long an attempt may stay silent that is `expected` to begin to answer after a while.
    pub fn answer_wait(&self, now: TimePoint, expected: Duration) -> Duration {
        let left = self.call.left(now);
        // An attempt that cannot be followed by another is not given up for its silence.
        let is_last = self.runs + 1 >= self.call.route.max_attempts
            || !self.gate.book().has_repeat(now, &self.call.service.name);
        let aim = self.call.aim();
        match self.call.route.kind {
            CallKind::Idempotent if !is_last => left.min(aim.mul_f64(SILENCE_FACTOR)),
            CallKind::Stream { is_resumable: true } if !is_last => {
                let longest = aim.mul_f64(STREAM_SILENCE_SHARE);
                let usual = expected.mul_f64(STREAM_SILENCE_FACTOR) + STREAM_SILENCE_MARGIN;
                left.min(longest.min(usual).max(STREAM_SILENCE_MARGIN))
            }
            _ => left,
        }
    }

    /// Whether the route allows another attempt.
    pub fn has_attempts(&self) -> bool {
        self.runs < self.call.route.max_attempts
            && self.rejected <= REJECTED_ATTEMPTS + self.call.route.max_attempts
    }

    /// Notes why an attempt brought no answer, or no whole one.
    pub fn note_cut(&mut self, failure: &AttemptFailure) {
        match failure {
            AttemptFailure::Unreachable(_) => {
                self.runs -= 1;
                self.rejected += 1;
                self.failure = "no endpoint could be reached";
            }
            AttemptFailure::NotRun { .. } => {
                self.runs -= 1;
                self.rejected += 1;
                self.failure = "the endpoints are full";
            }
            AttemptFailure::Broken(_) => {
                self.may_have_run = true;
                self.failure = "the endpoint broke off";
            }
            AttemptFailure::Silent(_) => {
                self.may_have_run = true;
                self.failure = "the endpoint stayed silent";
            }
        }
    }

    /// Whether the call may be sent once more, which draws on the budget.
    pub fn may_repeat(&mut self) -> bool {
        let now = clock::now();
        let is_safe = !self.may_have_run || self.call.route.kind.is_repeatable();
        is_safe
            && self.has_attempts()
            && self.call.left(now) > MIN_LEFT
            && self.gate.book().take_repeat(now, &self.call.service.name)
    }

    /// Whether the answer is dropped for that of a larger model.
    fn climbs(&mut self, answer: &mut LiveAnswer) -> bool {
        if self.call.head.model != ModelWish::Any {
            return false;
        }
        let now = clock::now();
        let rungs = self.call.route.models.len();
        let ladder = ModelLadder::new(self.gate.ladder.clone(), rungs);
        let pool = self.gate.book().pool_pressure(now, &self.call.service.name);
        let confidence = answer.head.confidence;
        let candidate = ClimbCandidate {
            rung: self.rung,
            confidence,
            waited: now.since(self.call.came_at),
            aim: self.call.aim(),
        };
        let next = ladder.next(&candidate, pool);
        let Some(next) = next else { return false };
        if self.runs >= self.call.route.max_attempts
            || !self.gate.book().take_repeat(now, &self.call.service.name)
        {
            return false;
        }
        spdlog::info!(
            "call {}: confidence {:?} on rung {} is low; rung {next} is asked, with a wait of {} ms at the pool, load {:.2} and {} ms between events.",
            self.call.head.id,
            confidence,
            self.rung,
            pool.wait.as_millis(),
            pool.load,
            pool.event_gap.as_millis()
        );
        self.note_good_answer(now, answer);
        answer.ticket.settle();
        self.gate.metrics.note_climb(&self.call);
        self.rung = next;
        self.tried.clear();
        true
    }

    async fn take_whole(
        &mut self,
        mut answer: LiveAnswer,
        kept: &mut Option<Response<AnyBody>>,
    ) -> AnswerVerdict {
        let wait = self.answer_wait(clock::now(), Duration::ZERO);
        let endpoint = answer.ticket.endpoint.clone();
        let body = match tokio::time::timeout(wait, read_whole(&mut answer.body)).await {
            Ok(Ok(body)) => body,
            Ok(Err(reason)) => {
                let failure = AttemptFailure::Broken(reason);
                self.blame(&endpoint, &failure);
                self.note_cut(&failure);
                return AnswerVerdict::Again;
            }
            Err(_) => {
                let failure = AttemptFailure::Silent(wait);
                self.blame(&endpoint, &failure);
                self.note_cut(&failure);
                return AnswerVerdict::Again;
            }
        };
        let now = clock::now();
        let status = answer.parts.status;
        let is_failure = status.is_server_error();
        if is_failure {
            self.note_bad_answer(now, &endpoint);
        } else {
            self.note_good_answer(now, &answer);
        }
        self.log_answer(now, &answer, body.len());
        self.gate.metrics.note_whole(now, &self.call);
        let mut response = Response::new(full(body));
        *response.status_mut() = status;
        *response.headers_mut() = answer.parts.headers.clone();
        (self.gate.dialect.clean_answer)(response.headers_mut());
        answer.release(now);
        // Such a status would promise that the call has not run.
        let is_false_promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if is_false_promise && !self.call.route.kind.is_repeatable() {
            let refusal = CallRefusal::Failed("the endpoint failed");
            return AnswerVerdict::Reply(self.refuse(&refusal));
        }
        if is_failure && self.call.route.kind.is_repeatable() {
            self.may_have_run = true;
            self.failure = "the endpoint failed";
            *kept = Some(response);
            return AnswerVerdict::Again;
        }
        AnswerVerdict::Reply(response)
    }
}

fn is_success(answer: &LiveAnswer) -> bool {
    answer.parts.status.is_success()
}

async fn read_whole(body: &mut Incoming) -> Result<Bytes, String> {
    let collected = body.collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| error.to_string())
}
