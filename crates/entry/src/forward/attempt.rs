//! One attempt: sends a call to one endpoint and receives the response head.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};

use chestnutloft_core::execution::{AttemptEnd, AttemptPermit};
use chestnutloft_core::routing::LostCall;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::is_final_status;

use super::choice::ChosenEndpoint;
use super::codec::{AttemptHead, ExecutionStatus, ResponseHead};
use super::connections::{ConnectionError, EndpointConnection};
use super::context::ForwardContext;
use super::inbound::InboundCall;
use super::segments::lost_call;
use super::state::EntryState;
use super::write_meter::{CurrentMeter, send_within};

/// Idle time after which a connection is not reused for a call that may run only once: if the
/// endpoint resets an idle connection, that cannot be distinguished from a lost response.
const NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(1_500);
/// Idle time after which a connection is not reused for other calls.
const IDEMPOTENT_IDLE: Duration = Duration::from_mins(1);

/// Why an attempt got no valid response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The endpoint could not be reached; the call was not sent.
    Unreachable(String),
    /// The endpoint rejected the call without running it.
    NotRun {
        /// Whether the address belongs to another endpoint or the endpoint does not run the model;
        /// otherwise the endpoint is full.
        is_misdirected: bool,
    },
    /// The connection failed or the response is invalid; the call may have run.
    Broken(String),
    /// Nothing was received within this time; the call may have run.
    TimedOut(Duration),
    /// The endpoint was still reading the request when the call's time was over, which is no failure
    /// of the endpoint; the call may have run.
    Unread,
    /// The call may have run before and may run only once; this attempt was not sent.
    NotPermitted,
}

impl AttemptFailure {
    /// Whether the call may have run.
    pub fn attempt_end(&self) -> AttemptEnd {
        match self {
            Self::Unreachable(_) | Self::NotRun { .. } | Self::NotPermitted => AttemptEnd::NotRun,
            Self::Broken(_) | Self::TimedOut(_) | Self::Unread => AttemptEnd::Lost,
        }
    }

    /// The metric label.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::NotRun {
                is_misdirected: true,
            } => "misdirected",
            Self::NotRun { .. } => "full",
            Self::Broken(_) => "broken",
            Self::TimedOut(_) => "silent",
            Self::Unread => "unread",
            Self::NotPermitted => "not_permitted",
        }
    }
}

/// Counts an attempt as in flight at its endpoint until dropped.
pub struct AttemptGuard {
    context: Arc<ForwardContext>,
    call_id: String,
    is_logged: bool,
    /// Whether the response counts as a success of the endpoint already.
    pub is_success_recorded: bool,
    /// Endpoint of the attempt.
    pub endpoint: ChosenEndpoint,
    /// When the attempt started.
    pub started_at: TimePoint,
    /// Prefill work in milliseconds that counts as pending at the endpoint; `None` once the
    /// response has begun.
    pending_ms: Option<f64>,
    /// Whether the capacity of the call's service is managed.
    is_managed: bool,
    /// The call, until its answer has gone on or it is known not to have run.
    unanswered: Option<LostCall>,
}

impl AttemptGuard {
    /// Counts an attempt at `endpoint`, which is known without a choice.
    pub fn start(
        context: &Arc<ForwardContext>,
        now: TimePoint,
        call: &InboundCall,
        endpoint: ChosenEndpoint,
    ) -> Self {
        Self::reserve(context, &mut context.state(), now, call, endpoint)
    }

    /// Counts an attempt at `endpoint`, which was chosen by the same `state`: between a choice and a
    /// count under another lock, other calls would take the same place.
    pub fn reserve(
        context: &Arc<ForwardContext>,
        state: &mut EntryState,
        now: TimePoint,
        call: &InboundCall,
        endpoint: ChosenEndpoint,
    ) -> Self {
        let work_ms = endpoint.prefill.work_ms;
        state.start_attempt(now, &endpoint.id, work_ms);
        state.claim_capacity(now, &endpoint);
        if state.is_warming(&endpoint.id) {
            context.metrics.record_warming_call(call);
        }
        let pace_source = state.pace_source(now, &endpoint);
        if let Some(source) = pace_source {
            let service = &call.service.name;
            context.metrics.record_pace_source(service, source);
        }
        let is_managed = state.is_capacity_managed(&call.service.name);
        context.load_exchange.notify_work_changed(is_managed);
        Self {
            context: Arc::clone(context),
            call_id: call.head.id.clone(),
            is_logged: false,
            is_success_recorded: false,
            endpoint,
            started_at: now,
            pending_ms: Some(work_ms),
            is_managed,
            unanswered: lost_call(call),
        }
    }

    /// Marks the outcome of the attempt as logged: a response, a failure, or an escalation to a
    /// larger model. A guard dropped without it logs that the call was cancelled.
    pub fn mark_logged(&mut self) {
        self.is_logged = true;
    }

    /// Marks the answer as having gone on, or the call as not run: the end of the endpoint is then
    /// not the fault of the call.
    pub fn mark_harmless(&mut self) {
        self.unanswered = None;
    }

    /// Removes the prefill work of the attempt from the endpoint's pending work.
    pub fn finish_prefill(&mut self) {
        if let Some(work_ms) = self.pending_ms.take() {
            self.context
                .state()
                .finish_prefill(&self.endpoint.id, work_ms);
            let exchange = &self.context.load_exchange;
            exchange.notify_work_changed(self.is_managed);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        let mut state = self.context.state();
        state.finish_attempt(&self.endpoint.id);
        state.release_capacity(&self.endpoint);
        if let Some(call) = self.unanswered.take() {
            let now = clock::now();
            state
                .segments
                .record_abandoned(now, &self.endpoint.id, call);
        }
        drop(state);
        if self.is_managed {
            self.context.load_exchange.notify_work_changed(true);
        }
        self.context.capacity_changed.send_replace(());
        if !self.is_logged {
            spdlog::info!(
                "call {}: attempt at endpoint {} cancelled after {} ms.",
                self.call_id,
                self.endpoint.id,
                clock::now().since(self.started_at).as_millis()
            );
        }
    }
}

/// A response whose body has not been read yet. Dropping it closes the connection, which makes the
/// endpoint cancel the call.
pub struct EndpointResponse {
    /// Dropped before the body, whose end would otherwise close the connection without a reset.
    connection: EndpointConnection,
    /// Response head as the endpoint sent it.
    pub parts: Parts,
    /// Response head as the codec read it.
    pub head: ResponseHead,
    /// Unread body.
    pub body: Incoming,
    /// Counts the attempt as in flight.
    pub guard: AttemptGuard,
}

impl EndpointResponse {
    /// Returns the connection to the pool. The body must have been received completely.
    pub fn release(self, now: TimePoint) {
        let Self {
            mut guard,
            connection,
            ..
        } = self;
        guard.mark_logged();
        guard.mark_harmless();
        let address = &guard.endpoint.address;
        guard.context.connections.put(now, address, connection);
    }
}

/// Sends `call` to the endpoint of `guard` and waits up to `timeout` for a valid response head.
///
/// # Errors
/// [`AttemptFailure`], which tells whether the call may have run.
pub async fn send_attempt(
    context: &Arc<ForwardContext>,
    call: &InboundCall,
    (mut guard, permit): (AttemptGuard, AttemptPermit),
    model: Option<&str>,
    resume_after: Option<u64>,
    timeout: Duration,
) -> Result<EndpointResponse, AttemptFailure> {
    let meter = CurrentMeter::default();
    let sending = send_call(
        context,
        call,
        permit,
        &guard.endpoint,
        (model, resume_after),
        &meter,
    );
    let outcome = send_within(sending, timeout, call.deadline, &meter).await;
    let (response, mut connection) = match outcome {
        Ok(received) => received,
        Err(failure) => {
            guard.mark_logged();
            if matches!(failure, AttemptFailure::Unreachable(_)) {
                guard.mark_harmless();
            }
            return Err(failure);
        }
    };
    let (parts, body) = response.into_parts();
    let head = (context.codec.read_response)(&parts, &call.head.id);
    connection.record_response(&head);
    let response = EndpointResponse {
        connection,
        parts,
        head,
        body,
        guard,
    };
    if is_copy_missing(call, &response) {
        let EndpointResponse { mut guard, .. } = response;
        guard.mark_logged();
        guard.mark_harmless();
        return Err(AttemptFailure::NotRun {
            is_misdirected: false,
        });
    }
    check_response(context, response)
}

/// Whether the endpoint does not have the copy that the attempt was to go on from. It has not run
/// the call then, and says nothing about its load.
fn is_copy_missing(call: &InboundCall, response: &EndpointResponse) -> bool {
    let is_unavailable = response.parts.status == StatusCode::SERVICE_UNAVAILABLE;
    call.copies.source.is_some() && is_unavailable && response.head.has_call_id
}

fn check_response(
    context: &ForwardContext,
    mut response: EndpointResponse,
) -> Result<EndpointResponse, AttemptFailure> {
    let checked = validate_head(context, &response);
    if let Err(failure) = &checked {
        response.guard.mark_logged();
        if matches!(failure, AttemptFailure::NotRun { .. }) {
            response.guard.mark_harmless();
        }
    }
    checked.map(|()| response)
}

fn validate_head(
    context: &ForwardContext,
    response: &EndpointResponse,
) -> Result<(), AttemptFailure> {
    let head = &response.head;
    let id = &response.guard.endpoint.id;
    let now = clock::now();
    let status = response.parts.status;
    if !is_final_status(status) {
        return Err(AttemptFailure::Broken(format!(
            "the status {status} ends no call"
        )));
    }
    if head.execution != ExecutionStatus::Misdirected {
        let sent_at = response.guard.started_at;
        let mut state = context.state();
        if state.record_limit(now, id, sent_at, head.limit_per_s) {
            context.load_exchange.notify_changed();
        }
        if state.record_self_report(now, &response.guard.endpoint, head.self_report) {
            context.load_exchange.notify_changed();
        }
    }
    if head.execution != ExecutionStatus::MayHaveRun {
        let is_misdirected = head.execution == ExecutionStatus::Misdirected;
        let mut state = context.state();
        if is_misdirected {
            let guard = &response.guard;
            state.record_misdirected(now, guard.started_at, &guard.endpoint);
        } else {
            state.record_full(now, id);
        }
        drop(state);
        return Err(AttemptFailure::NotRun { is_misdirected });
    }
    if !head.has_call_id {
        return Err(AttemptFailure::Broken(
            "the response does not carry the id of this call".to_owned(),
        ));
    }
    if head.is_encoded {
        return Err(AttemptFailure::Broken(
            "the response has a content encoding".to_owned(),
        ));
    }
    if !head.is_signed {
        return Err(AttemptFailure::Broken(format!(
            "the response with status {status} has no signature"
        )));
    }
    if let Some(load) = head.load {
        context.state().record_reported_load(now, id, load);
    }
    Ok(())
}

/// Sends `call` once, which takes the permission to do so. Pooled connections that were closed before
/// the call was sent are passed over.
async fn send_call(
    context: &ForwardContext,
    call: &InboundCall,
    _permit: AttemptPermit,
    endpoint: &ChosenEndpoint,
    (model, resume_after): (Option<&str>, Option<u64>),
    meter: &CurrentMeter,
) -> Result<(hyper::Response<Incoming>, EndpointConnection), AttemptFailure> {
    let max_idle = if call.executions.is_idempotent() {
        IDEMPOTENT_IDLE
    } else {
        NON_IDEMPOTENT_IDLE
    };
    loop {
        let now = clock::now();
        let pooled = context.connections.take(now, &endpoint.address, max_idle);
        let is_new = pooled.is_none();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => EndpointConnection::open(&endpoint.address)
                .await
                .map_err(attempt_failure)?,
        };
        let request = build_request(context, call, endpoint, model, resume_after);
        meter.set(&connection.meter);
        match connection.send(request).await {
            Ok(response) => return Ok((response, connection)),
            // The endpoint has closed this pooled connection: try the next one.
            Err(ConnectionError::Closed) if !is_new => {}
            Err(error) => return Err(attempt_failure(error)),
        }
    }
}

fn attempt_failure(error: ConnectionError) -> AttemptFailure {
    match error {
        ConnectionError::Unreachable(reason) | ConnectionError::Refused(reason) => {
            AttemptFailure::Unreachable(reason)
        }
        ConnectionError::Closed => AttemptFailure::Unreachable(
            "a new connection was closed before the call was sent".to_owned(),
        ),
        ConnectionError::Broken(reason) => AttemptFailure::Broken(reason),
    }
}

fn build_request(
    context: &ForwardContext,
    call: &InboundCall,
    endpoint: &ChosenEndpoint,
    model: Option<&str>,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let service = &call.service;
    let is_managed = context.state().is_capacity_managed(&service.name);
    let head = AttemptHead {
        endpoint: &endpoint.id,
        workspace: call.workspace.as_ref().map(|rule| &*rule.name),
        model,
        time_left: call.time_left(clock::now()),
        resume_after,
        urgency: is_managed.then(|| call.urgency()),
        backup: call.copies.backup_address(),
        copy: call.copies.source(),
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.headers_mut() = call.parts.headers.clone();
    (context.codec.write_attempt)(request.headers_mut(), &head);
    request
}
