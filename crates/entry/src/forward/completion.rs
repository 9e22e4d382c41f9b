//! Final outcome of a call: an endpoint's response, or a refusal.

use std::time::Duration;

use hyper::Response;
use rand::Rng;

use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::AnyBody;

use super::attempt::EndpointResponse;
use super::codec::{CallRefusal, UnservableCause};
use super::pipeline::{CallExecution, MIN_ATTEMPT_TIME};

/// Lower bound of the retry-after time before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Upper bound of the retry-after time before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(900);

impl CallExecution {
    /// Logs and counts the response that the caller receives.
    pub fn log_response(&self, now: TimePoint, response: &EndpointResponse, bytes: usize) {
        let status = response.parts.status.as_u16();
        self.context
            .metrics
            .record_response(&self.call, status, self.model_index);
        spdlog::info!(
            "call {}: endpoint {} responded with status {} on route {}, {bytes} bytes buffered, after {} ms, attempt {}, model index {}.",
            self.call.head.id,
            response.guard.endpoint.id,
            status,
            self.call.route.name,
            now.since(self.call.received_at).as_millis(),
            self.attempts,
            self.model_index
        );
    }

    /// The refusal for a call that is not attempted again.
    pub(super) fn final_refusal(&self) -> CallRefusal {
        let now = clock::now();
        if self.call.executions.not_run().is_some() {
            return self.refusal(now, "its time is over");
        }
        if self.call.time_left(now) < MIN_ATTEMPT_TIME {
            CallRefusal::TimedOut
        } else {
            CallRefusal::Failed(self.failure)
        }
    }

    /// The refusal for `reason`. It tells the caller that the call has not run only if no attempt
    /// may have run it.
    pub(super) fn refusal(&self, now: TimePoint, reason: &'static str) -> CallRefusal {
        self.refusal_for(now, reason, Duration::ZERO)
    }

    /// The refusal for `reason`, which holds for `min_delay` at least. The callers return spread over
    /// a time after it.
    pub(super) fn refusal_for(
        &self,
        now: TimePoint,
        reason: &'static str,
        min_delay: Duration,
    ) -> CallRefusal {
        let max_delay = (self.call.time_left(now) / 4).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let jitter = rand::rng().random_range(0.4..1.0);
        self.refusal_after(reason, min_delay + max_delay.mul_f64(jitter))
    }

    /// The refusal for `reason` that tells the caller to return after `retry_after`.
    pub(super) fn refusal_after(&self, reason: &'static str, retry_after: Duration) -> CallRefusal {
        let Some(proof) = self.call.executions.not_run() else {
            return CallRefusal::Failed(reason);
        };
        let reason = if self.failure.is_empty() {
            reason
        } else {
            self.failure
        };
        CallRefusal::NotRun {
            proof,
            reason,
            retry_after,
        }
    }

    /// The refusal of a call that no endpoint can take, for `min_delay` at least.
    pub(super) fn unservable_refusal(
        &self,
        now: TimePoint,
        cause: UnservableCause,
        min_delay: Duration,
    ) -> CallRefusal {
        match self.refusal_for(now, cause.reason(), min_delay) {
            CallRefusal::NotRun {
                proof, retry_after, ..
            } => CallRefusal::Unservable {
                proof,
                cause,
                retry_after,
            },
            refusal => refusal,
        }
    }

    /// Logs and counts `refusal` and builds the response for the caller.
    pub(super) fn refuse(&self, refusal: &CallRefusal) -> Response<AnyBody> {
        self.context
            .metrics
            .record_refusal(Some(&self.call), refusal);
        spdlog::info!(
            "call {}: refused on route {} after {} ms and {} attempts: {refusal}.",
            self.call.head.id,
            self.call.route.name,
            clock::now().since(self.call.received_at).as_millis(),
            self.attempts
        );
        (self.context.codec.write_refusal)(refusal, Some(&self.call.head.id))
    }
}
