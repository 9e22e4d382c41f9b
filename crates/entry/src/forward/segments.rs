//! Observes ends of endpoints that a call may have caused, and holds back calls whose prompt is blocked.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::hash::key_hash;
use chestnutloft_core::routing::{EndedEndpoint, EndpointEnd, EndpointPhase, LostCall};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use super::choice::ChosenEndpoint;
use super::connections::{ConnectionError, EndpointConnection};
use super::context::ForwardContext;
use super::inbound::InboundCall;
use super::state::EntryState;

/// Number of events from one endpoint after which an answer has gone on.
pub const PROGRESS_EVENTS: u64 = 3;

impl EntryState {
    /// Describes the end of an endpoint; `None` if the endpoint was leaving.
    fn describe_end(&self, id: &str) -> Option<EndpointEnd> {
        let endpoint = self.endpoints.get(id)?;
        let notice = &endpoint.notice;
        (notice.phase == EndpointPhase::Ready).then(|| EndpointEnd {
            endpoint: Arc::clone(&notice.id),
            born_ms: notice.born_ms,
            service: Arc::clone(&notice.service),
            domain: Arc::clone(&notice.domain),
            age_ms: 0,
            calls: Vec::new(),
        })
    }

    /// Records endpoints that ended, as the leading keeper knows from other entries. Returns whether
    /// an attempt of this entry may be the cause.
    pub fn record_known_ends(&mut self, now: TimePoint, ended: &[EndedEndpoint]) -> bool {
        let mut has_news = false;
        for ended in ended {
            if let Some(end) = self.describe_end(&ended.endpoint) {
                let at = now - Duration::from_millis(ended.age_ms);
                let end = EndpointEnd {
                    born_ms: ended.born_ms,
                    ..end
                };
                has_news |= self.segments.record_end(at, end);
            }
        }
        has_news
    }
}

/// The call as part of the end of an endpoint; `None` if it shares no prompt segment.
pub fn lost_call(call: &InboundCall) -> Option<LostCall> {
    let segments = &call.shared_segments;
    (!segments.is_empty()).then(|| LostCall {
        call: key_hash(call.head.id.as_bytes()),
        segments: segments.to_vec(),
    })
}

/// Reports the calls that were lost at `endpoint` before their answers went on, if the endpoint has
/// ended: its address then refuses connections.
pub fn report_end(context: &Arc<ForwardContext>, endpoint: &ChosenEndpoint) {
    let lost_at = clock::now();
    let state = context.state();
    let Some(end) = state.describe_end(&endpoint.id) else {
        return;
    };
    let is_known = state.segments.knows_end(&end);
    drop(state);
    if is_known {
        record_confirmed_end(context, lost_at, end);
        return;
    }
    let context = Arc::clone(context);
    let address = Arc::clone(&endpoint.address);
    tokio::spawn(async move {
        match EndpointConnection::open(&address).await {
            Ok(connection) => context.connections.put(clock::now(), &address, connection),
            Err(ConnectionError::Refused(_)) => record_confirmed_end(&context, lost_at, end),
            Err(error) => spdlog::debug!(
                "segments: cannot tell whether endpoint {} has ended: {error:?}.",
                end.endpoint
            ),
        }
    });
}

fn record_confirmed_end(context: &ForwardContext, at: TimePoint, end: EndpointEnd) {
    if context.state().segments.record_end(at, end) {
        context.segment_news.notify_one();
    }
}

/// Completes when a segment in `segments` is blocked.
pub async fn wait_until_blocked(context: Arc<ForwardContext>, segments: Arc<[u64]>) {
    let mut changes = context.segment_blocks.subscribe();
    while !context.state().segments.is_blocked(&segments) {
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Counts a call as on trial until dropped.
pub struct TrialGuard {
    context: Arc<ForwardContext>,
    segments: Arc<[u64]>,
}

impl TrialGuard {
    /// Starts the trial of a call with `segments`.
    pub fn new(context: Arc<ForwardContext>, segments: Arc<[u64]>) -> Self {
        Self { context, segments }
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.context.state().segments.finish_trial(&self.segments);
    }
}
