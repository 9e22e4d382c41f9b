//! Executes a call: makes attempts until a response is good enough or no further one is allowed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};

use chestnutloft_core::admission::StreamAlternative;
use chestnutloft_core::execution::{AttemptEnd, AttemptPermit};
use chestnutloft_core::hash::key_hash;
use chestnutloft_core::routing::{BodyDirection, CallKind, ModelLane, SegmentAdmission};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::{AnyBody, full};

use super::attempt::{AttemptFailure, AttemptGuard, EndpointResponse, send_attempt};
use super::body_memory::BodyReadError;
use super::choice::{ChosenEndpoint, PromptSize, prefix_hash};
use super::codec::{CallRefusal, RequestedModel};
use super::context::ForwardContext;
use super::escalation::{HeldAnswer, send_beside_held};
use super::inbound::{InboundCall, receive_call};
use super::relay::StreamRelay;
use super::segments::{TrialGuard, report_end, wait_until_blocked};

/// Time that must be left until the deadline to start an attempt.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);
/// Multiple of the latency target after which an idempotent call without a response is retried.
const IDEMPOTENT_TIMEOUT_FACTOR: f64 = 2.5;
/// Share of the latency target after which a stream without a first event is retried.
const STREAM_TARGET_SHARE: f64 = 0.9;
/// Multiple of the expected delay after which a stream without a first event is retried.
const STREAM_DELAY_FACTOR: f64 = 4.0;
/// Time added to that multiple, and the lower bound of a stream's timeout: an unnecessary second
/// attempt costs another endpoint the prefill of the whole prompt.
const STREAM_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Multiple of the expected delay for which a stream is waited for even past its latency target:
/// another endpoint would take as long for a long prompt, and begin later.
const LONG_PROMPT_DELAY_FACTOR: f64 = 2.0;
/// Largest response body that is not relayed as a stream. A failing endpoint may send bytes without
/// end, which would take up the entry's memory.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;
/// Share of the response timeout for which a response waits for memory. Below 1, so that a lack of
/// memory is told from an endpoint that sends nothing.
const MEMORY_WAIT_SHARE: f64 = 0.9;

/// Handles one call, from its request to the response for the caller.
pub async fn handle_call(
    context: Arc<ForwardContext>,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    let (parts, body) = request.into_parts();
    match receive_call(&context, parts, body).await {
        Ok(call) => run_admitted(context, call).await,
        Err((refusal, id)) => {
            let logged_id = id.as_deref().unwrap_or("without id");
            spdlog::info!("call {logged_id}: refused: {refusal}.");
            context.metrics.record_refusal(None, &refusal);
            (context.codec.write_refusal)(&refusal, id.as_deref())
        }
    }
}

/// Runs a call unless a segment of its prompt is blocked, also while it waits for an answer.
async fn run_admitted(context: Arc<ForwardContext>, call: InboundCall) -> Response<AnyBody> {
    let segments = Arc::clone(&call.shared_segments);
    let id = call.head.id.clone();
    let admission = context.state().admit_segments(&segments);
    let _trial = (admission == SegmentAdmission::Trial)
        .then(|| TrialGuard::new(Arc::clone(&context), Arc::clone(&segments)));
    if admission != SegmentAdmission::Blocked {
        let blocked = wait_until_blocked(Arc::clone(&context), segments);
        let running = CallExecution::new(Arc::clone(&context), call).run();
        tokio::select! {
            response = running => return response,
            () = blocked => {}
        }
    }
    let refusal = CallRefusal::PromptBlocked;
    spdlog::info!("call {id}: refused: {refusal}.");
    context.metrics.record_refusal(None, &refusal);
    (context.codec.write_refusal)(&refusal, Some(&id))
}

/// A call in progress.
pub struct CallExecution {
    /// State shared by all stages of the request path.
    pub context: Arc<ForwardContext>,
    /// The call.
    pub call: InboundCall,
    /// Endpoints that the call has been sent to for the current model.
    pub(super) tried: BTreeSet<Arc<str>>,
    /// Attempts made, not counting rejected ones.
    pub(super) attempts: u32,
    /// Attempts that an endpoint rejected without running the call.
    pub(super) rejected_attempts: u32,
    /// Attempts that did not reach an endpoint.
    pub(super) unreachable_attempts: u32,
    /// Attempts that were lost with the endpoint before the answer went on.
    pub(super) lost_attempts: u32,
    /// Whether the last attempt did not reach an endpoint.
    pub(super) is_last_unsent: bool,
    /// Answer of a smaller model, while a larger one has not taken the call.
    pub(super) held_answer: Option<HeldAnswer>,
    /// Index of the current model in the route's list, smallest first.
    pub model_index: usize,
    /// Group of endpoints preferred for the current model.
    pub lane: ModelLane,
    /// Models that an endpoint has rejected without having announced which ones it runs.
    pub(super) rejected_models: Vec<usize>,
    /// Whether the caller has received a part of the current model's answer.
    pub(super) is_model_fixed: bool,
    /// Reason of the last failed attempt; empty before the first failure.
    pub(super) failure: &'static str,
}

impl Drop for CallExecution {
    fn drop(&mut self) {
        if self.call.head.session.is_some() {
            let service = &self.call.service.name;
            let session = self.call.session_key();
            self.context
                .state()
                .record_session_end(clock::now(), service, session);
        }
    }
}

/// What follows an attempt.
enum CallStep {
    /// Another attempt.
    Continue,
    /// The end of the call, with a complete response.
    Return(Response<AnyBody>),
    /// Relaying the stream of an endpoint.
    Relay(Box<EndpointResponse>),
    /// The end of the call without a response.
    End(CallRefusal),
}

impl CallExecution {
    fn new(context: Arc<ForwardContext>, call: InboundCall) -> Self {
        context
            .state()
            .record_call(call.received_at, &call.service.name);
        Self {
            context,
            call,
            tried: BTreeSet::new(),
            attempts: 0,
            rejected_attempts: 0,
            unreachable_attempts: 0,
            lost_attempts: 0,
            is_last_unsent: false,
            held_answer: None,
            model_index: 0,
            lane: ModelLane::Any,
            rejected_models: Vec::new(),
            is_model_fixed: false,
            failure: "",
        }
    }

    /// Model chosen by the entry; `None` where the caller leaves it no choice.
    pub fn model(&self) -> Option<Arc<str>> {
        self.model_at(self.model_index)
    }

    pub(super) fn model_at(&self, index: usize) -> Option<Arc<str>> {
        match self.call.head.model {
            RequestedModel::Any => self.call.route.models.get(index).cloned(),
            _ => None,
        }
    }

    async fn run(mut self) -> Response<AnyBody> {
        // A server error that is returned if no later attempt yields a better response.
        let mut fallback: Option<Response<AnyBody>> = None;
        self.choose_first_model(clock::now());
        loop {
            let response = match self.next_step(&mut fallback).await {
                CallStep::Continue => continue,
                CallStep::Return(response) => return response,
                CallStep::Relay(response) => *response,
                CallStep::End(refusal) => match self.take_held_answer(&refusal) {
                    Some(response) => response,
                    None => return fallback.unwrap_or_else(|| self.refuse(&refusal)),
                },
            };
            match StreamRelay::start(self, response).await {
                Ok(forwarded_response) => return forwarded_response,
                Err(execution) => self = *execution,
            }
            if !self.acquire_retry() {
                let refusal = self.final_refusal();
                return fallback.unwrap_or_else(|| self.refuse(&refusal));
            }
        }
    }

    /// Makes the next attempt.
    async fn next_step(&mut self, fallback: &mut Option<Response<AnyBody>>) -> CallStep {
        let guard = match self.choose_endpoint().await {
            Ok(guard) => guard,
            Err(refusal) => return CallStep::End(refusal),
        };
        match self.attempt(guard, self.call.head.resume_after).await {
            Ok(response) if self.is_answer_stream(&response) => {
                self.discard_held_answer();
                let response = self.try_escalate(response);
                return response.map_or(CallStep::Continue, |response| {
                    CallStep::Relay(Box::new(response))
                });
            }
            Ok(response) => {
                if let Some(response) = self.buffer_response(response, fallback).await {
                    return CallStep::Return(response);
                }
            }
            Err(_) => {}
        }
        if self.acquire_retry() {
            CallStep::Continue
        } else {
            CallStep::End(self.final_refusal())
        }
    }

    /// Whether `response` is the successful start of a stream.
    fn is_answer_stream(&self, response: &EndpointResponse) -> bool {
        self.call.route.kind.is_stream() && response.parts.status.is_success()
    }

    /// Tokens that the answer is expected to have: the caller's estimate, within its limit.
    pub(super) fn expected_output_tokens(&self) -> f64 {
        let head = &self.call.head;
        let limit = head.max_output_tokens.map_or(f64::INFINITY, f64::from);
        let expected = head.expected_output_tokens.or(head.max_output_tokens);
        expected.map_or(0.0, f64::from).min(limit)
    }

    /// Size of the prompt. All segments but the last form the prefix that other calls share.
    pub(super) fn prompt(&self) -> PromptSize {
        self.prompt_for(self.model_index)
    }

    /// Size of the prompt for one of the route's models.
    pub(super) fn prompt_for(&self, model_index: usize) -> PromptSize {
        let model = self.model_at(model_index);
        let model = model.as_deref().unwrap_or(&self.call.route.name);
        let model_hash = key_hash(model.as_bytes());
        let Some((suffix, prefix)) = self.call.head.prompt.split_last() else {
            return PromptSize {
                model_hash,
                ..PromptSize::default()
            };
        };
        PromptSize {
            model_hash,
            prefix_hash: (!prefix.is_empty())
                .then(|| prefix_hash(&self.call.shared_segments, model)),
            prefix_tokens: prefix.iter().map(|segment| f64::from(segment.tokens)).sum(),
            suffix_tokens: f64::from(suffix.tokens),
        }
    }

    /// Makes the attempt that `guard` counts. Records a failure and applies it to the call.
    pub async fn attempt(
        &mut self,
        mut guard: AttemptGuard,
        resume_after: Option<u64>,
    ) -> Result<EndpointResponse, AttemptFailure> {
        let now = clock::now();
        let permit = self.permit_attempt(&mut guard)?;
        let endpoint = guard.endpoint.clone();
        let prefill = &endpoint.prefill;
        let timeout = self.response_timeout(now, prefill.expected_delay());
        spdlog::info!(
            "call {}: session {:016x} with shared prompt segments {:x?} sent to endpoint {} with version {}, model index {}; expected queueing {:.0} ms, prefill of {} tokens in {:.0} ms.",
            self.call.head.id,
            self.call.session_key(),
            self.call.shared_segments,
            endpoint.id,
            endpoint.version,
            self.model_index,
            prefill.wait_ms,
            prefill.uncached_tokens,
            prefill.work_ms
        );
        self.plan_backup(now, &endpoint);
        self.tried.insert(Arc::clone(&endpoint.id));
        self.attempts += 1;
        self.is_last_unsent = false;
        let model = self.model();
        let sending = send_attempt(
            &self.context,
            &self.call,
            (guard, permit),
            model.as_deref(),
            resume_after,
            timeout,
        );
        let outcome = send_beside_held(sending, &mut self.held_answer).await;
        if let Err(failure) = &outcome {
            self.fail_attempt(&endpoint, failure);
        }
        outcome
    }

    /// Permission for the attempt that `guard` counts. One that names a copy goes on with the present
    /// run.
    fn permit_attempt(
        &mut self,
        guard: &mut AttemptGuard,
    ) -> Result<AttemptPermit, AttemptFailure> {
        let executions = &mut self.call.executions;
        if self.call.copies.source.is_some() {
            return Ok(executions.continue_run());
        }
        executions.start_attempt().ok_or_else(|| {
            spdlog::error!(
                "call {}: not sent to endpoint {}: it may have run and may run only once.",
                self.call.head.id,
                guard.endpoint.id
            );
            guard.mark_logged();
            guard.mark_harmless();
            AttemptFailure::NotPermitted
        })
    }

    /// Records the failure of an attempt and applies it to the call.
    fn fail_attempt(&mut self, endpoint: &ChosenEndpoint, failure: &AttemptFailure) {
        self.record_attempt_failure(endpoint, failure);
        if let AttemptFailure::NotRun {
            is_misdirected: true,
        } = failure
        {
            self.record_rejected_model(endpoint);
        }
        self.apply_failure(failure);
    }

    /// Logs and counts a failed attempt and adjusts the state of its endpoint.
    fn record_attempt_failure(&mut self, endpoint: &ChosenEndpoint, failure: &AttemptFailure) {
        let now = clock::now();
        let version = &endpoint.version;
        self.context
            .metrics
            .record_attempt(&self.call, version, Some(failure));
        spdlog::warn!(
            "call {}: attempt {} at endpoint {} failed {} ms after the call was received: {failure:?}.",
            self.call.head.id,
            self.attempts,
            endpoint.id,
            now.since(self.call.received_at).as_millis()
        );
        match failure {
            AttemptFailure::Unreachable(_) => {
                self.context.connections.close_all(&endpoint.address);
                let mut state = self.context.state();
                state.record_warmup_answer(now, endpoint, false);
                state.record_unreachable(now, &endpoint.id);
            }
            AttemptFailure::NotRun { is_misdirected } => {
                if !is_misdirected {
                    let mut state = self.context.state();
                    state.record_warmup_rejection(now, endpoint);
                }
            }
            AttemptFailure::Unread | AttemptFailure::NotPermitted => {}
            AttemptFailure::Broken(_) => {
                self.record_lost(endpoint);
                self.record_failure(now, endpoint);
            }
            AttemptFailure::TimedOut(timeout) => {
                self.context.state().record_timeout(now, endpoint, *timeout);
                self.record_failure(now, endpoint);
            }
        }
    }

    /// Records that the call was lost at `endpoint` before its answer went on.
    pub fn record_lost(&mut self, endpoint: &ChosenEndpoint) {
        self.lost_attempts += 1;
        if !self.call.shared_segments.is_empty() {
            report_end(&self.context, endpoint);
        }
    }

    /// Records that an endpoint failed a call that it had received.
    pub fn record_failure(&self, now: TimePoint, endpoint: &ChosenEndpoint) {
        let mut state = self.context.state();
        state.record_warmup_answer(now, endpoint, false);
        if state.record_failure(now, &endpoint.id) {
            spdlog::warn!("health: endpoint {} ejected after a failure.", endpoint.id);
        }
        let arm = self.arm();
        state.record_arm(&self.call.service.name, &endpoint.version, &arm, None);
    }

    /// Records once that an endpoint has responded successfully, or has begun to.
    pub fn record_success(&self, now: TimePoint, response: &mut EndpointResponse) {
        let guard = &mut response.guard;
        if std::mem::replace(&mut guard.is_success_recorded, true) {
            return;
        }
        let took = now.since(guard.started_at);
        self.record_confidence(response);
        let guard = &response.guard;
        let version = &guard.endpoint.version;
        self.context
            .metrics
            .record_attempt(&self.call, version, None);
        let arm = self.arm();
        let mut state = self.context.state();
        state.record_response_start(now, &guard.endpoint, took);
        let target = self.call.latency_target();
        state.record_warmup_start(now, &guard.endpoint, took, target);
        state
            .health
            .record_success(&guard.endpoint.id, key_hash(arm.as_bytes()), took);
        let took = Some(took.as_secs_f64());
        state.record_arm(&self.call.service.name, version, &arm, took);
    }

    /// Records that an answer went on, which began at `began_at`.
    pub fn record_progress(&self, began_at: TimePoint) {
        let mut state = self.context.state();
        state
            .segments
            .record_progress(began_at, &self.call.shared_segments);
    }

    /// Route and model: the outcomes of versions are compared separately for each such pair.
    fn arm(&self) -> String {
        let model = self.model();
        format!(
            "{}/{}",
            self.call.route.name,
            model.as_deref().unwrap_or_default()
        )
    }

    /// Timeout until the response of an attempt begins, where it is expected after
    /// `expected_delay`.
    pub fn response_timeout(&self, now: TimePoint, expected_delay: Duration) -> Duration {
        let time_left = self.call.time_left(now);
        // The last possible attempt may take until the deadline, except that a stream of a managed
        // service ends when its response is presumably lost: the caller can still retry by then.
        let is_last = self.attempts + 1 >= self.call.route.max_attempts
            || !self.context.state().can_retry(now, &self.call.service.name);
        let target = self.call.latency_target();
        match self.call.route.kind {
            CallKind::Idempotent if !is_last => {
                time_left.min(target.mul_f64(IDEMPOTENT_TIMEOUT_FACTOR))
            }
            CallKind::Stream { is_resumable: true } if !is_last => {
                let by_target = target.mul_f64(STREAM_TARGET_SHARE);
                let by_delay = expected_delay.mul_f64(STREAM_DELAY_FACTOR) + STREAM_TIMEOUT_MARGIN;
                let least = if self.is_capacity_managed() {
                    expected_delay.mul_f64(LONG_PROMPT_DELAY_FACTOR) + STREAM_TIMEOUT_MARGIN
                } else {
                    STREAM_TIMEOUT_MARGIN
                };
                time_left.min(by_target.min(by_delay).max(least))
            }
            CallKind::Stream { is_resumable: true } if self.ends_when_silent() => {
                time_left.min(self.max_silence(StreamAlternative::CallerOnly, false))
            }
            _ => time_left,
        }
    }

    /// Reads the whole body of a response that is not relayed as a stream. Returns `None` if the
    /// attempt has failed; a server error is stored as the fallback.
    async fn buffer_response(
        &mut self,
        mut response: EndpointResponse,
        fallback: &mut Option<Response<AnyBody>>,
    ) -> Option<Response<AnyBody>> {
        let timeout = self.response_timeout(clock::now(), Duration::ZERO);
        let endpoint = response.guard.endpoint.clone();
        let reading = self.context.bodies.read(
            BodyDirection::Response,
            &mut response.body,
            MAX_BUFFERED_BYTES,
            timeout.mul_f64(MEMORY_WAIT_SHARE),
        );
        let body = match tokio::time::timeout(timeout, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyReadError::NoMemory)) => {
                // No failure of the endpoint: other bodies take this entry's memory.
                self.call.executions.end_attempt(AttemptEnd::Lost);
                self.failure = "the bodies of other calls take the memory";
                return None;
            }
            Ok(Err(error)) => {
                let failure = AttemptFailure::Broken(format!("{error:?}"));
                self.fail_attempt(&endpoint, &failure);
                return None;
            }
            Err(_) => {
                self.fail_attempt(&endpoint, &AttemptFailure::TimedOut(timeout));
                return None;
            }
        };
        let now = clock::now();
        let status = response.parts.status;
        let is_repeatable = self.call.route.kind.is_repeatable();
        let is_server_error = status.is_server_error();
        // These statuses would tell the caller that the call has not run, although it may have.
        let implies_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        let is_withheld = implies_not_run && !is_repeatable;
        self.call
            .executions
            .end_attempt(if is_server_error || is_withheld {
                AttemptEnd::Lost
            } else {
                AttemptEnd::Answered
            });
        if is_server_error {
            self.record_failure(now, &endpoint);
        } else {
            self.record_progress(response.guard.started_at);
            self.record_success(now, &mut response);
        }
        self.log_response(now, &response, body.len());
        self.context.metrics.record_full_response(now, &self.call);
        let mut forwarded_response = Response::new(full(body));
        *forwarded_response.status_mut() = status;
        *forwarded_response.headers_mut() = response.parts.headers.clone();
        (self.context.codec.strip_hop_by_hop)(forwarded_response.headers_mut());
        response.release(now);
        if !is_server_error && !is_withheld {
            return Some(forwarded_response);
        }
        self.failure = "the endpoint failed";
        if !is_withheld {
            *fallback = Some(forwarded_response);
        }
        None
    }
}
