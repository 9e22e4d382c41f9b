//! Reads a call and determines its route, workspace and deadline, or why it is refused.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use rand::Rng;

use chestnutloft_core::execution::{ExecutionRecord, NotRunProof};
use chestnutloft_core::hash::key_hash;
use chestnutloft_core::routing::{
    BodyDirection, KeyLookup, RouteRule, SentModel, ServiceRule, ServiceShare, WorkspaceRule,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use super::body_memory::{BodyReadError, discard_rest};
use super::codec::{CallHead, CallRefusal, MAX_URGENCY, PromptSegment, RequestedModel};
use super::context::ForwardContext;
use super::copy_calls::CopyLinks;

/// Share of a call's timeout for which it waits at an entry that has no routes yet.
const STARTUP_WAIT_SHARE: f64 = 0.6;
/// Upper bound of that wait: slightly longer than the keepers take to elect a leader.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(2_500);
/// Retry-after time of calls refused because the entry is shutting down.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Share of a call's timeout for which its body waits for memory.
const MEMORY_WAIT_SHARE: f64 = 0.25;
/// Upper bound of that wait: callers give up a call that is not read within a second.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(750);
/// Retry-after time of calls refused because other bodies take the memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Retry-after time of calls refused because the entry's routing state is missing or out of date.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Target gap between events for routes that declare none.
const DEFAULT_TARGET_GAP: Duration = Duration::from_secs(2);
/// Number of priorities of routes that an endpoint can tell apart within a workspace's priority.
const ROUTE_PRIORITIES: u32 = 4;

/// A call that has been matched to a route.
pub struct InboundCall {
    /// Request head as the codec read it.
    pub head: CallHead,
    /// Request head as the caller sent it.
    pub parts: Parts,
    /// Complete request body.
    pub body: Bytes,
    /// Matched route.
    pub route: Arc<RouteRule>,
    /// Service picked from those of the route.
    pub service: Arc<ServiceRule>,
    /// Workspace of the caller; `None` where the route needs no key.
    pub workspace: Option<Arc<WorkspaceRule>>,
    /// Ids of the prompt segments that other calls may have as well: all but the last.
    pub shared_segments: Arc<[u64]>,
    /// When the call was received.
    pub received_at: TimePoint,
    /// When the caller stops waiting.
    pub deadline: TimePoint,
    /// What is known of whether the call has run.
    pub executions: ExecutionRecord,
    /// Copies of the run's KV cache that the next attempt names.
    pub copies: CopyLinks,
}

impl InboundCall {
    /// Time left until the deadline.
    pub fn time_left(&self, now: TimePoint) -> Duration {
        self.deadline.since(now)
    }

    /// The route's latency target for the start of the response.
    pub fn latency_target(&self) -> Duration {
        Duration::from_millis(self.route.target_latency_ms)
    }

    /// The route's target for the time between events of a stream.
    pub fn target_gap(&self) -> Duration {
        let target_gap = self.route.target_gap_ms;
        target_gap.map_or(DEFAULT_TARGET_GAP, Duration::from_millis)
    }

    /// Priority of the workspace, where it has one, then that of the route; 0 is the most urgent.
    pub fn priority(&self) -> (u32, u32) {
        let workspace = self.workspace.as_ref().and_then(|rule| rule.priority);
        (workspace.unwrap_or_default(), self.route.priority)
    }

    /// Urgency that an endpoint is told: 0 is the most urgent.
    pub fn urgency(&self) -> u8 {
        let (workspace, route) = self.priority();
        let rank = workspace.saturating_mul(ROUTE_PRIORITIES) + route.min(ROUTE_PRIORITIES - 1);
        u8::try_from(rank).unwrap_or(MAX_URGENCY).min(MAX_URGENCY)
    }

    /// The model that the call is sent for: the one that the entry has chosen, or the caller.
    pub fn sent_model(&self, chosen: Option<&str>) -> SentModel {
        match (chosen, &self.head.model) {
            (Some(chosen), _) => SentModel::named(chosen),
            (None, RequestedModel::Named(name)) => SentModel::named(name),
            (None, _) => SentModel::Unnamed(key_hash(self.route.name.as_bytes())),
        }
    }

    /// Hash of the session name, or of the call id for a call without a session.
    pub fn session_key(&self) -> u64 {
        let call_id = || self.head.id.as_str();
        key_hash(
            self.head
                .session
                .as_deref()
                .unwrap_or_else(call_id)
                .as_bytes(),
        )
    }
}

fn shared_segments(prompt: &[PromptSegment]) -> Arc<[u64]> {
    let shared = prompt.split_last().map(|(_, shared)| shared);
    let shared = shared.unwrap_or_default().iter();
    shared.map(|segment| segment.id).collect()
}

/// Reads a call with its body and matches it to a route. The rest of a refused call's body is
/// discarded.
///
/// # Errors
/// [`CallRefusal`] when it cannot be served, with the call's id if it has one. No endpoint has run
/// the call then.
pub async fn receive_call(
    context: &ForwardContext,
    parts: Parts,
    mut body: Incoming,
) -> Result<InboundCall, (CallRefusal, Option<String>)> {
    let call = read_call(context, parts, &mut body).await;
    if call.is_err() {
        discard_rest(body);
    }
    call
}

async fn read_call(
    context: &ForwardContext,
    parts: Parts,
    body: &mut Incoming,
) -> Result<InboundCall, (CallRefusal, Option<String>)> {
    let received_at = clock::now();
    let head = (context.codec.read_call)(&parts).map_err(|refusal| (refusal, None))?;
    let id = Some(head.id.clone());
    let refuse = |refusal| (refusal, id.clone());
    let (executions, not_run) = ExecutionRecord::begin();
    if *context.refusing_calls.borrow() {
        return Err(refuse(CallRefusal::NotRun {
            proof: not_run,
            reason: "this entry is shutting down",
            retry_after: SHUTDOWN_RETRY_AFTER,
        }));
    }
    wait_for_routes(context, &head).await;
    let (route, service, workspace) =
        match_route(context, received_at, &head, &parts, &not_run).map_err(refuse)?;
    let route_timeout = Duration::from_millis(route.timeout_ms);
    let timeout = head.timeout.unwrap_or(route_timeout).min(route_timeout);
    let body = receive_body(context, body, timeout, not_run).await;
    let body = body.map_err(refuse)?;
    let is_idempotent = route.kind.is_repeatable();
    Ok(InboundCall {
        shared_segments: shared_segments(&head.prompt),
        head,
        parts,
        body,
        route,
        service,
        workspace,
        received_at,
        deadline: received_at + timeout,
        executions: executions.with_idempotence(is_idempotent),
        copies: CopyLinks::default(),
    })
}

/// Reads the body of a call that has `timeout` left.
async fn receive_body(
    context: &ForwardContext,
    body: &mut Incoming,
    timeout: Duration,
    not_run: NotRunProof,
) -> Result<Bytes, CallRefusal> {
    let max_bytes = context.state().declaration().limits.body_bytes;
    let max_wait = timeout.mul_f64(MEMORY_WAIT_SHARE).min(MAX_MEMORY_WAIT);
    let reading = context
        .bodies
        .read(BodyDirection::Request, body, max_bytes, max_wait);
    let refuse = |reason, retry_after: Duration| {
        let jitter = rand::rng().random_range(0.5..1.5);
        CallRefusal::NotRun {
            proof: not_run,
            reason,
            retry_after: retry_after.mul_f64(jitter),
        }
    };
    match tokio::time::timeout(timeout, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyReadError::TooLarge)) => Err(CallRefusal::BodyTooLarge),
        Ok(Err(BodyReadError::Cut(_))) => Err(CallRefusal::Malformed("the body is cut")),
        Ok(Err(BodyReadError::NoMemory)) => Err(refuse(
            "the bodies of other calls take the memory",
            MEMORY_RETRY_AFTER,
        )),
        Err(_) => Err(refuse(
            "the body did not arrive within the call's time",
            MEMORY_RETRY_AFTER,
        )),
    }
}

/// Waits for the first routes. An entry that has just started receives them from the keepers within
/// a second or two, so a delayed response serves the caller better than a refusal.
async fn wait_for_routes(context: &ForwardContext, head: &CallHead) {
    let mut has_routes = context.has_routes.subscribe();
    if *has_routes.borrow_and_update() {
        return;
    }
    let max_wait = head.timeout.map_or(MAX_STARTUP_WAIT, |timeout| {
        timeout.mul_f64(STARTUP_WAIT_SHARE)
    });
    let routes = has_routes.wait_for(|has_routes| *has_routes);
    // If no routes arrive in time, `match_route` refuses the call.
    let _ = tokio::time::timeout(max_wait.min(MAX_STARTUP_WAIT), routes).await;
}

type MatchedRoute = (Arc<RouteRule>, Arc<ServiceRule>, Option<Arc<WorkspaceRule>>);

fn match_route(
    context: &ForwardContext,
    now: TimePoint,
    head: &CallHead,
    parts: &Parts,
    not_run: &NotRunProof,
) -> Result<MatchedRoute, CallRefusal> {
    let (table, is_current) = {
        let state = context.state();
        (state.table(), state.is_current(now))
    };
    let stale = |reason| CallRefusal::NotRun {
        proof: not_run.clone(),
        reason,
        retry_after: STALE_RETRY_AFTER,
    };
    if table.number == 0 {
        return Err(stale("no declaration is known yet"));
    }
    // A route or key that is missing from out-of-date state may have been added since: the caller
    // may retry instead of getting a final refusal.
    let refuse_if_current = |refusal| {
        if is_current {
            refusal
        } else {
            stale("the declaration known here is too old to refuse by")
        }
    };
    let route = table
        .route(&head.host, parts.uri.path())
        .ok_or_else(|| refuse_if_current(CallRefusal::NoRoute))?;
    let workspace = match table.look_up_key(route, head.key.as_deref()) {
        KeyLookup::NotRequired => None,
        KeyLookup::Unknown => return Err(refuse_if_current(CallRefusal::UnknownKey)),
        KeyLookup::Owner(_) if !is_current => {
            return Err(stale("the keys known here are too old"));
        }
        KeyLookup::Owner(workspace) => Some(workspace),
    };
    if !has_model(route, &head.model) {
        return Err(refuse_if_current(CallRefusal::UnknownModel));
    }
    let share = pick_service(route, head).ok_or_else(|| refuse_if_current(CallRefusal::NoRoute))?;
    let service = table
        .service(&share.service)
        .ok_or_else(|| refuse_if_current(CallRefusal::NoRoute))?;
    Ok((Arc::clone(route), Arc::clone(service), workspace))
}

/// Whether the route has the model that a call names, or lists no models.
fn has_model(route: &RouteRule, model: &RequestedModel) -> bool {
    match model {
        RequestedModel::Named(name) if !route.models.is_empty() => {
            route.models.iter().any(|known| **known == **name)
        }
        _ => true,
    }
}

/// Picks one of a route's services by weight. The hash of the session, or of the call id without
/// one, decides, so all calls of a session go to the same service.
fn pick_service<'a>(route: &'a RouteRule, head: &CallHead) -> Option<&'a ServiceShare> {
    let key = head.session.as_deref().unwrap_or(&head.id);
    route.pick_share(key_hash(key.as_bytes()))
}
