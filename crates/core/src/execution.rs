//! What is known of whether a request has run, over all its attempts at endpoints.

use crate::pipe::RunState;

/// How an attempt ended, as far as it tells whether the request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The request was not sent, or the endpoint rejected it without running it.
    NotRun,
    /// The endpoint has answered, whether or not the answer is forwarded.
    Answered,
    /// The request may have run, or may still run, without an answer.
    Lost,
}

/// Proof that a request has not run and will not run. Only an [`ExecutionRecord`] creates one, so a
/// refusal that contains it cannot promise more than is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotRunProof(());

/// Attempts of one request. An attempt counts as run from its start until its end proves that it
/// has not: an end that is not recorded withholds the promise instead of making a false one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutionRecord {
    open: u32,
    answered: u32,
    lost: u32,
}

impl ExecutionRecord {
    /// Begins the record of a request that has just been received, with the proof that it has not
    /// run so far.
    pub fn begin() -> (Self, NotRunProof) {
        (Self::default(), NotRunProof(()))
    }

    /// Records that the request is about to be sent to an endpoint.
    pub fn start_attempt(&mut self) {
        self.open += 1;
    }

    /// Records the end of an open attempt.
    pub fn end_attempt(&mut self, end: AttemptEnd) {
        self.open = self.open.saturating_sub(1);
        match end {
            AttemptEnd::NotRun => {}
            AttemptEnd::Answered => self.answered += 1,
            AttemptEnd::Lost => self.lost += 1,
        }
    }

    /// Proof that the request has not run, unless an attempt may have run it.
    pub fn not_run(&self) -> Option<NotRunProof> {
        (*self == Self::default()).then_some(NotRunProof(()))
    }

    /// Whether the request has run.
    pub fn run_state(&self) -> RunState {
        if self.answered > 0 {
            RunState::Ran
        } else if self.not_run().is_some() {
            RunState::NotRun
        } else {
            RunState::Unknown
        }
    }

    /// Whether the request may be sent to another endpoint. One that is not idempotent may not after
    /// an attempt whose outcome is unknown; an answer that was discarded does not prevent it.
    pub fn allows_attempt(&self, is_idempotent: bool) -> bool {
        is_idempotent || (self.lost == 0 && self.open == 0)
    }
}
