//! How long the relay of a stream waits for an endpoint that sends nothing.

use std::time::Duration;

use chestnutloft_core::admission::{SilenceLimits, StreamAlternative};
use chestnutloft_core::routing::CallKind;
use chestnutloft_core::time::TimePoint;

use super::pipeline::CallExecution;

/// Multiple of the route's target gap between events after which a stream is resumed elsewhere. A
/// busy endpoint may exceed the target, and another endpoint has to process the whole prompt first,
/// so resuming makes the stream late in any case: it pays only if the endpoint has stopped.
const GAP_TIMEOUT_FACTOR: f64 = 2.0;

/// Time since which the endpoint of a stream has sent nothing that the caller waits for.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamSilence {
    since: TimePoint,
    /// Whether the caller has received events.
    has_events: bool,
}

impl StreamSilence {
    /// Silence of an attempt that was started at `since` and has sent no event.
    pub(super) fn before_first_event(since: TimePoint) -> Self {
        Self {
            since,
            has_events: false,
        }
    }

    /// Silence that began at `since` in a stream that has begun.
    pub(super) fn after_events(since: TimePoint) -> Self {
        Self {
            since,
            has_events: true,
        }
    }

    /// Time left until the stream is abandoned; `None` if that is at its deadline. `has_other` says
    /// whether another attempt is possible.
    pub(super) fn time_left(
        self,
        now: TimePoint,
        execution: &CallExecution,
        has_other: bool,
    ) -> Option<Duration> {
        if !execution.ends_when_silent() {
            let timeout = execution.call.target_gap().mul_f64(GAP_TIMEOUT_FACTOR);
            return has_other.then_some(timeout);
        }
        let service = &execution.call.service.name;
        let alternative = if has_other && execution.context.state().can_retry(now, service) {
            StreamAlternative::OtherEndpoint
        } else {
            StreamAlternative::CallerOnly
        };
        let limit = execution.max_silence(alternative, self.has_events);
        Some(limit.saturating_sub(now.since(self.since)))
    }

    /// Whether the stream ends even if no other endpoint can run it.
    pub(super) fn is_over(self, now: TimePoint, execution: &CallExecution) -> bool {
        let limit = execution.max_silence(StreamAlternative::CallerOnly, self.has_events);
        execution.ends_when_silent() && now.since(self.since) >= limit
    }
}

impl CallExecution {
    /// Whether the stream ends after a long silence although no other endpoint can resume it. A
    /// response that an endpoint has lost would hold the caller until the deadline.
    pub(super) fn ends_when_silent(&self) -> bool {
        self.call.route.kind == (CallKind::Stream { is_resumable: true })
            && self.is_capacity_managed()
    }

    /// Longest silence of an endpoint of the call's stream.
    pub(super) fn max_silence(&self, alternative: StreamAlternative, has_events: bool) -> Duration {
        let limits = SilenceLimits {
            latency_target: self.call.latency_target(),
            target_gap: self.call.target_gap(),
        };
        if has_events {
            limits.pause(alternative)
        } else {
            limits.first_event(alternative)
        }
    }
}
