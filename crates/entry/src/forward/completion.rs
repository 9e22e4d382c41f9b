//! How a call ends: with an endpoint's answer, or with the reason why there is none.

use std::time::Duration;

use hyper::Response;
use rand::Rng;

use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::AnyBody;

use super::attempt::LiveAnswer;
use super::dialect::CallRefusal;
use super::pipeline::{CallRun, MIN_LEFT};

/// Shortest time after which a refused caller comes back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Longest.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(900);

impl CallRun {
    /// Logs what the caller gets.
    pub fn log_answer(&self, now: TimePoint, answer: &LiveAnswer, bytes: usize) {
        let status = answer.parts.status.as_u16();
        self.gate.metrics.note_answer(&self.call, status, self.rung);
        spdlog::info!(
            "call {}: {} answers {} on route {} with {bytes} bytes after {} ms, attempt {}, rung {}.",
            self.call.head.id,
            answer.ticket.endpoint.id,
            status,
            self.call.route.name,
            now.since(self.call.came_at).as_millis(),
            self.runs,
            self.rung
        );
    }

    /// Why no further attempt is made.
    pub(super) fn give_up(&self) -> CallRefusal {
        let now = clock::now();
        if !self.may_have_run {
            return self.refusal(now, "its time is over");
        }
        if self.call.left(now) < MIN_LEFT {
            CallRefusal::TimedOut
        } else {
            CallRefusal::Failed(self.failure)
        }
    }

    /// The refusal for `reason`, which promises that nothing has run only where that is so.
    pub(super) fn refusal(&self, now: TimePoint, reason: &'static str) -> CallRefusal {
        if self.may_have_run {
            return CallRefusal::Failed(reason);
        }
        let reason = if self.failure.is_empty() {
            reason
        } else {
            self.failure
        };
        let latest = (self.call.left(now) / 4).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let spread = rand::rng().random_range(0.4..1.0);
        CallRefusal::NotRun {
            reason,
            retry_after: latest.mul_f64(spread),
        }
    }

    /// Writes a refusal, in the log as well.
    pub(super) fn refuse(&self, refusal: &CallRefusal) -> Response<AnyBody> {
        self.gate.metrics.note_refusal(Some(&self.call), refusal);
        spdlog::info!(
            "call {}: refused on route {} after {} ms and {} attempts: {refusal}.",
            self.call.head.id,
            self.call.route.name,
            clock::now().since(self.call.came_at).as_millis(),
            self.runs
        );
        (self.gate.dialect.write_refusal)(refusal, Some(&self.call.head.id))
    }
}
