//! Finds route, workspace and time of a call, or the reason to refuse it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;

use chestnutloft_core::hash::key_hash;
use chestnutloft_core::routing::{KeyVerdict, RouteRule, ServiceRule, ServiceShare, WorkspaceRule};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::{ReadError, read_body};

use super::call::ForwardGate;
use super::dialect::{CallHead, CallRefusal};

/// Share of a caller's patience for which its call waits at an entry that has just started.
const START_SHARE: f64 = 0.6;
/// Longest such wait: a little more than the keepers need to elect a leader.
const MAX_START_WAIT: Duration = Duration::from_millis(2_500);
/// When callers come back that an entry which shuts down refuses.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(200);
/// When callers come back that no entry could serve for want of a current state.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// A call with all that the following filters need.
pub struct InboundCall {
    /// Head as the dialect read it.
    pub head: CallHead,
    /// Head as the caller sent it.
    pub parts: Parts,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<RouteRule>,
    /// Service that answers.
    pub service: Arc<ServiceRule>,
    /// Workspace of the caller.
    pub workspace: Option<Arc<WorkspaceRule>>,
    /// When the call came.
    pub came_at: TimePoint,
    /// When its final answer is due.
    pub due_at: TimePoint,
}

impl InboundCall {
    /// Time that is left.
    pub fn left(&self, now: TimePoint) -> Duration {
        self.due_at.since(now)
    }

    /// Time within which the answer should begin.
    pub fn aim(&self) -> Duration {
        Duration::from_millis(self.route.aim_ms)
    }

    /// Key of the session, or of the call itself where it belongs to none.
    pub fn session_key(&self) -> u64 {
        let own = || self.head.id.as_str();
        key_hash(self.head.session.as_deref().unwrap_or_else(own).as_bytes())
    }
}

/// Reads a call whole.
///
/// # Errors
/// [`CallRefusal`] when it cannot be served; the call has not run then.
pub async fn take_call(
    gate: &ForwardGate,
    parts: Parts,
    body: Incoming,
) -> Result<InboundCall, (CallRefusal, Option<String>)> {
    let came_at = clock::now();
    let head = (gate.dialect.read_call)(&parts).map_err(|refusal| (refusal, None))?;
    let id = Some(head.id.clone());
    let refuse = |refusal| (refusal, id.clone());
    if *gate.refusing.borrow() {
        return Err(refuse(CallRefusal::NotRun {
            reason: "this entry is shutting down",
            retry_after: LEAVING_RETRY_AFTER,
        }));
    }
    wait_for_state(gate, &head).await;
    let found = find_route(gate, came_at, &head, &parts).map_err(refuse)?;
    let limit = gate.book().declaration().limits.body_bytes;
    let body = read_body(body, limit).await.map_err(|error| {
        refuse(match error {
            ReadError::TooLarge => CallRefusal::BodyTooLarge,
            ReadError::Truncated(_) => CallRefusal::Malformed("the body is cut"),
        })
    })?;
    let (route, service, workspace) = found;
    let timeout = Duration::from_millis(route.timeout_ms);
    let patience = head.patience.unwrap_or(timeout).min(timeout);
    Ok(InboundCall {
        head,
        parts,
        body,
        route,
        service,
        workspace,
        came_at,
        due_at: came_at + patience,
    })
}

/// An entry that has just started hears from the keepers within a second or two: callers who
/// come meanwhile are better served late than refused.
async fn wait_for_state(gate: &ForwardGate, head: &CallHead) {
    let mut informed = gate.informed.subscribe();
    if *informed.borrow_and_update() {
        return;
    }
    let patience = head
        .patience
        .map_or(MAX_START_WAIT, |patience| patience.mul_f64(START_SHARE));
    let wait = informed.wait_for(|is_informed| *is_informed);
    // Past the wait, the call is refused for want of a declaration.
    let _ = tokio::time::timeout(patience.min(MAX_START_WAIT), wait).await;
}

type FoundRoute = (Arc<RouteRule>, Arc<ServiceRule>, Option<Arc<WorkspaceRule>>);

fn find_route(
    gate: &ForwardGate,
    now: TimePoint,
    head: &CallHead,
    parts: &Parts,
) -> Result<FoundRoute, CallRefusal> {
    let (table, is_current) = {
        let book = gate.book();
        (book.table(), book.is_current(now))
    };
    let stale = |reason| CallRefusal::NotRun {
        reason,
        retry_after: STALE_RETRY_AFTER,
    };
    if table.number == 0 {
        return Err(stale("no declaration is known yet"));
    }
    let unknown = |refusal| {
        if is_current {
            refusal
        } else {
            stale("the declaration known here is too old to refuse by")
        }
    };
    let route = table
        .route(&head.host, parts.uri.path())
        .ok_or_else(|| unknown(CallRefusal::NoRoute))?;
    let workspace = match table.key_verdict(route, head.key.as_deref()) {
        KeyVerdict::NotNeeded => None,
        KeyVerdict::Unknown => return Err(unknown(CallRefusal::UnknownKey)),
        KeyVerdict::Holder(_) if !is_current => {
            return Err(stale("the keys known here are too old"));
        }
        KeyVerdict::Holder(workspace) => Some(workspace),
    };
    let share = pick_share(&route.shares, head).ok_or_else(|| unknown(CallRefusal::NoRoute))?;
    let service = table
        .service(&share.service)
        .ok_or_else(|| unknown(CallRefusal::NoRoute))?;
    Ok((Arc::clone(route), Arc::clone(service), workspace))
}

/// Splits calls by weight; the calls of a session go to one service.
fn pick_share<'a>(shares: &'a [ServiceShare], head: &CallHead) -> Option<&'a ServiceShare> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    let key = head.session.as_deref().unwrap_or(&head.id);
    let mut point = key_hash(key.as_bytes()).checked_rem(total)?;
    shares.iter().find(|share| {
        let weight = u64::from(share.weight);
        let is_hit = point < weight;
        point = point.saturating_sub(weight);
        is_hit
    })
}
