//! Whether a call is sent once more after a failed attempt.

use chestnutloft_wire::clock;

use super::attempt::AttemptFailure;
use super::pipeline::{CallExecution, MIN_ATTEMPT_TIME};

/// Number of times that a call with a shared prompt is sent again after it was lost with its endpoint.
const MAX_LOST_RETRIES: u32 = 1;
/// Number by which the attempts that did not run may exceed the route's limit of attempts.
const EXTRA_REJECTED_ATTEMPTS: u32 = 2;
/// Number of endpoints that refused the connection after which a call is given up. When part of a
/// pool crashes, each entry finds out by its own calls, and the crashed endpoints look idle.
const MAX_UNREACHABLE_ATTEMPTS: u32 = 32;

impl CallExecution {
    /// Whether the call may be sent again as far as its prompt is concerned: it may end endpoints.
    fn allows_repeat(&self) -> bool {
        let segments = &self.call.shared_segments;
        if segments.is_empty() || self.is_last_unsent {
            return true;
        }
        let state = self.context.state();
        if self.lost_attempts == 0 {
            !state.segments.has_block(segments)
        } else {
            self.lost_attempts <= MAX_LOST_RETRIES && state.segments.may_repeat(segments)
        }
    }

    /// Whether the route's limits allow another attempt.
    pub fn has_attempts_left(&self) -> bool {
        self.attempts < self.call.route.max_attempts
            && self.rejected_attempts <= EXTRA_REJECTED_ATTEMPTS + self.call.route.max_attempts
            && self.can_look_for_reachable()
    }

    /// Whether the call may go on to another endpoint after those that it could not reach. A refused
    /// connection takes a round trip only, so the call may try all endpoints that it knows, within
    /// its latency target.
    fn can_look_for_reachable(&self) -> bool {
        let min_attempts = EXTRA_REJECTED_ATTEMPTS + self.call.route.max_attempts;
        if self.unreachable_attempts <= min_attempts {
            return true;
        }
        let known = self
            .context
            .state()
            .available_endpoints(&self.call.service.name)
            .count();
        let is_early = clock::now().since(self.call.received_at) < self.call.latency_target();
        is_early && self.unreachable_attempts < MAX_UNREACHABLE_ATTEMPTS && self.tried.len() < known
    }

    /// Applies a failed attempt to the call: its attempt counts, and whether it may have run.
    pub fn apply_failure(&mut self, failure: &AttemptFailure) {
        self.call.executions.end_attempt(failure.attempt_end());
        match failure {
            AttemptFailure::Unreachable(_) => {
                self.attempts -= 1;
                self.unreachable_attempts += 1;
                self.is_last_unsent = true;
                self.failure = "no endpoint could be reached";
            }
            AttemptFailure::NotRun { is_misdirected } => {
                self.attempts -= 1;
                self.rejected_attempts += 1;
                self.failure = if *is_misdirected {
                    "the endpoints reject the model or are others than expected"
                } else {
                    "the endpoints are full"
                };
            }
            AttemptFailure::NotPermitted => {
                self.failure = "the call may run only once";
            }
            AttemptFailure::Broken(_) => {
                self.failure = "the endpoint broke off";
            }
            AttemptFailure::Unread => {
                self.failure = "the endpoint was still reading the request";
            }
            AttemptFailure::TimedOut(_) => {
                self.failure = "the endpoint stayed silent";
            }
        }
    }

    /// Whether the call may be sent once more. If so, takes a retry from the service's budget,
    /// unless the last attempt reached no endpoint and so put no load on the service.
    pub fn acquire_retry(&mut self) -> bool {
        let now = clock::now();
        self.call.executions.allows_attempt()
            && self.allows_repeat()
            && self.has_attempts_left()
            && self.call.time_left(now) > MIN_ATTEMPT_TIME
            && (self.is_last_unsent
                || self
                    .context
                    .state()
                    .take_retry(now, &self.call.service.name))
    }
}
