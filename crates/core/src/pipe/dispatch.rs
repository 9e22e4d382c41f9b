//! Fifth filter: attempts of one request, and what follows when one fails.

use std::time::Duration;

use rand::Rng;

use super::intake::RequestTicket;
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
pub enum NextStep {
    /// Try another endpoint after this wait.
    Retry(Duration),
    /// Tell the caller; the request did or did not run.
    GiveUp(RunState),
}

/// Attempts of one request.
#[derive(Clone, Debug, Default)]
pub struct AttemptLog {
    tried: Vec<EndpointId>,
    ran: Option<RunState>,
}

impl AttemptLog {
    /// Endpoints tried so far: a retry goes elsewhere.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Notes the start of an attempt.
    pub fn start(&mut self, endpoint: &EndpointId) {
        self.tried.push(endpoint.clone());
    }

    /// Whether the request may have run in any attempt so far.
    pub fn run_state(&self) -> RunState {
        self.ran.unwrap_or(RunState::NotRun)
    }

    /// Decides what follows a failed attempt.
    pub fn fail(
        &mut self,
        now: TimePoint,
        failure: AttemptFailure,
        ticket: &RequestTicket,
        budget: &mut RetryBudget,
        settings: &RetrySettings,
        rng: &mut impl Rng,
    ) -> NextStep {
        let state = failure.run_state();
        if state != RunState::NotRun {
            self.ran = Some(state);
        }
        let is_safe = ticket.is_idempotent || self.run_state() == RunState::NotRun;
        let attempts = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        if !is_safe || attempts >= settings.max_attempts {
            return NextStep::GiveUp(self.run_state());
        }
        let wait = settings.jittered_backoff(attempts, rng);
        if now + wait >= ticket.deadline || !budget.try_withdraw() {
            return NextStep::GiveUp(self.run_state());
        }
        NextStep::Retry(wait)
    }
}
