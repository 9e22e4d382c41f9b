//! The task that reads a stream from its endpoint, and what its caller's pauses change in it.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;

use chestnutloft_core::routing::ModelLane;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::AnyBody;

use crate::forward::attempt::AttemptFailure;
use crate::forward::caller_connection::ConnectionAbort;
use crate::forward::relay_buffer::{RelayBody, RelayBuffer, RelayedCall, StreamEnd};

use super::{GapSampleStart, StreamRelay};

/// Number of events over which the mean time between the events of a stream is measured.
const GAP_SAMPLE_EVENTS: u64 = 6;
/// Pause that may lead to an interruption, and time after which an event is new and not one that the
/// endpoint's connection held before. Longer than a round trip.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Times during which nothing was read from the endpoint, since the caller did not read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallerPauses {
    pub total: Duration,
    /// Whether the endpoint has sent nothing new since the last pause, which it may have ended the
    /// response for.
    pub is_recent: bool,
}

impl CallerPauses {
    fn record_pause(&mut self, paused: Duration) {
        if paused >= MIN_PAUSE {
            self.total += paused;
            self.is_recent = true;
        }
    }

    /// Records a read from the endpoint that took `took`. Events that come after a wait are new, and
    /// not what the connection held from before the pause.
    pub fn record_read(&mut self, took: Duration, is_events: bool) {
        if is_events && took >= MIN_PAUSE {
            self.is_recent = false;
        }
    }
}

impl StreamRelay {
    /// Starts reading the stream; returns the body for the caller.
    pub(super) fn relay_to_caller(self) -> AnyBody {
        let call = &self.execution.call;
        let relayed_call = RelayedCall {
            id: call.head.id.clone(),
            service: Arc::clone(&call.service.name),
            connection: call.parts.extensions.get::<ConnectionAbort>().cloned(),
        };
        let registry = &self.execution.context.bodies.relays;
        let buffer = RelayBuffer::open(registry, relayed_call);
        let body = RelayBody(Arc::clone(&buffer));
        let task = tokio::spawn(self.run(Arc::clone(&buffer)));
        buffer.set_task(task.abort_handle());
        body.boxed_unsync()
    }

    /// Reads the stream at the endpoint's pace, as far as there is memory for what the caller has not
    /// read.
    async fn run(mut self, buffer: Arc<RelayBuffer>) {
        let end = loop {
            match self.next_events().await {
                Some(Ok(events)) => buffer.push(clock::now(), events),
                Some(Err(problem)) => break StreamEnd::Aborted(problem),
                None => break StreamEnd::Complete,
            }
            let paused = buffer.wait_for_room().await;
            self.pauses.record_pause(paused);
            if !paused.is_zero() {
                // A gap that includes a pause says nothing about the endpoint.
                self.gap_sample_start = GapSampleStart::default();
            }
        };
        buffer.finish(end);
    }

    /// Ends a stream that was interrupted after its caller had not read for a while. Endpoints cut
    /// off what is not read, so this is no failure of the endpoint, and no other one runs the call.
    pub(super) fn end_after_pause(&mut self, failure: &AttemptFailure) -> String {
        let problem = format!("interrupted while the caller did not read: {failure:?}");
        if let Some(mut response) = self.response.take() {
            response.guard.mark_logged();
            response.guard.mark_harmless();
            spdlog::info!(
                "call {}: stream from endpoint {} ended after {} events: {problem}.",
                self.execution.call.head.id,
                response.guard.endpoint.id,
                self.event_count
            );
        }
        self.execution.apply_failure(failure);
        self.is_finished = true;
        problem
    }

    /// Records the time between events of a larger model's stream once per [`GAP_SAMPLE_EVENTS`]
    /// events.
    pub(super) fn record_event_gap(&mut self) {
        if self.execution.lane != ModelLane::Large {
            return;
        }
        let now = clock::now();
        let Some(at) = self.gap_sample_start.at else {
            self.gap_sample_start = GapSampleStart {
                at: Some(now),
                event_count: self.event_count,
            };
            return;
        };
        let events = self.event_count - self.gap_sample_start.event_count;
        if events >= GAP_SAMPLE_EVENTS {
            let took = now.since(at);
            self.execution
                .context
                .state()
                .record_event_gap(now, events, took);
            self.gap_sample_start = GapSampleStart {
                at: Some(now),
                event_count: self.event_count,
            };
        }
    }
}
