//! Fifth filter: attempts of one request, and what follows when one fails.

use std::time::Duration;

use rand::Rng;

use super::intake::ParsedRequest;
use super::refusal::RunState;
use crate::ids::EndpointId;
use crate::state::{RetryBudget, RetrySettings};
use crate::time::TimePoint;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection was not made: no byte was sent.
    NotSent,
    /// The endpoint refused and says that it did not run the request.
    Refused,
    /// The endpoint answered with a server error.
    ServerError,
    /// The connection broke after bytes were sent.
    Broken,
    /// No answer in time.
    TimedOut,
}

impl AttemptFailure {
    /// Whether the request may have run.
    pub fn run_state(self) -> RunState {
        match self {
            Self::NotSent | Self::Refused => RunState::NotRun,
            Self::ServerError | Self::Broken | Self::TimedOut => RunState::Unknown,
        }
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint after this wait.
    Retry(Duration),
    /// Tell the caller; the request did or did not run.
    GiveUp(RunState),
}

/// Attempts of one request.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    tried_endpoints: Vec<EndpointId>,
    run_state: Option<RunState>,
}

impl AttemptHistory {
    /// Endpoints tried so far: a retry goes elsewhere.
    pub fn tried_endpoints(&self) -> &[EndpointId] {
        &self.tried_endpoints
    }

    /// Notes the start of an attempt.
    pub fn start(&mut self, endpoint: &EndpointId) {
        self.tried_endpoints.push(endpoint.clone());
    }

    /// Whether the request may have run in any attempt so far.
    pub fn run_state(&self) -> RunState {
        self.run_state.unwrap_or(RunState::NotRun)
    }

    /// Decides what follows a failed attempt.
    pub fn record_failure(
        &mut self,
        now: TimePoint,
        failure: AttemptFailure,
        request: &ParsedRequest,
        budget: &mut RetryBudget,
        settings: &RetrySettings,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        let state = failure.run_state();
        if state != RunState::NotRun {
            self.run_state = Some(state);
        }
        let is_safe = request.is_idempotent || self.run_state() == RunState::NotRun;
        let attempts = u32::try_from(self.tried_endpoints.len()).unwrap_or(u32::MAX);
        if !is_safe || attempts >= settings.attempts {
            return RetryDecision::GiveUp(self.run_state());
        }
        let wait = settings.wait(attempts, rng);
        if now + wait >= request.deadline || !budget.take() {
            return RetryDecision::GiveUp(self.run_state());
        }
        RetryDecision::Retry(wait)
    }
}
