//! Fifth stage: tracks the attempts of a request and decides on retries.

use std::time::Duration;

use rand::Rng;

use super::intake::ParsedRequest;
use super::refusal::RunState;
use crate::execution::{AttemptEnd, AttemptPermit, ExecutionRecord};
use crate::ids::EndpointId;
use crate::state::{RetryBudget, RetrySettings};
use crate::time::TimePoint;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection could not be established; nothing was sent.
    NotSent,
    /// The endpoint refused the request and states that it did not run it.
    Refused,
    /// The endpoint answered with a server error.
    ServerError,
    /// The connection broke after the request was sent, at least in part.
    Broken,
    /// The endpoint did not answer in time.
    TimedOut,
}

impl AttemptFailure {
    /// Whether the request may have run.
    pub fn attempt_end(self) -> AttemptEnd {
        match self {
            Self::NotSent | Self::Refused => AttemptEnd::NotRun,
            Self::ServerError | Self::Broken | Self::TimedOut => AttemptEnd::Lost,
        }
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint after this delay.
    Retry(Duration),
    /// Refuse the request. Holds whether it has run.
    GiveUp(RunState),
}

/// Attempts of one request so far.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    tried_endpoints: Vec<EndpointId>,
    executions: ExecutionRecord,
}

impl AttemptHistory {
    /// No attempts so far of a request that may run more than once if `is_idempotent`. The default is
    /// that of a request that may not.
    pub fn with_idempotence(is_idempotent: bool) -> Self {
        Self {
            executions: ExecutionRecord::default().with_idempotence(is_idempotent),
            ..Self::default()
        }
    }

    /// Endpoints tried so far. A retry uses another one.
    pub fn tried_endpoints(&self) -> &[EndpointId] {
        &self.tried_endpoints
    }

    /// Records the start of an attempt, if the request may run again.
    pub fn start(&mut self, endpoint: &EndpointId) -> Option<AttemptPermit> {
        let permit = self.executions.start_attempt()?;
        self.tried_endpoints.push(endpoint.clone());
        Some(permit)
    }

    /// Records an attempt that ended with a complete answer.
    pub fn record_answer(&mut self) {
        self.executions.end_attempt(AttemptEnd::Answered);
    }

    /// Begins the attempts at another version, whose endpoints are all untried.
    pub fn start_version(&mut self) {
        self.tried_endpoints.clear();
    }

    /// Whether the request may have run in any attempt so far.
    pub fn run_state(&self) -> RunState {
        self.executions.run_state()
    }

    /// Records a failed attempt and decides whether to retry. There is no retry if the request may
    /// have run and is not idempotent, if its attempts or the retry budget are used up, or if the
    /// delay would exceed its deadline.
    pub fn record_failure(
        &mut self,
        now: TimePoint,
        failure: AttemptFailure,
        request: &ParsedRequest,
        budget: &mut RetryBudget,
        settings: &RetrySettings,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        self.executions.end_attempt(failure.attempt_end());
        let is_safe = self.executions.allows_attempt();
        let attempts = u32::try_from(self.tried_endpoints.len()).unwrap_or(u32::MAX);
        if !is_safe || attempts >= settings.max_attempts {
            return RetryDecision::GiveUp(self.run_state());
        }
        let wait = settings.jittered_backoff(attempts, rng);
        if now + wait >= request.deadline || !budget.try_withdraw() {
            return RetryDecision::GiveUp(self.run_state());
        }
        RetryDecision::Retry(wait)
    }
}
