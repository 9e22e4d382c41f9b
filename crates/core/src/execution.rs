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

/// Permission for one attempt. Only an [`ExecutionRecord`] creates one, and sending a request takes
/// it, so no path can run a request again without asking the record.
#[derive(Debug, PartialEq, Eq)]
pub struct AttemptPermit(());

/// Attempts of one request. An attempt counts as run from its start until its end proves that it
/// has not: an end that is not recorded withholds the promise instead of making a false one.
///
/// A request may run only once unless it is known to be idempotent. An answer that the caller never
/// gets is a run like any other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutionRecord {
    is_idempotent: bool,
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

    /// The same record, of a request that may run more than once if `is_idempotent`.
    #[must_use]
    pub fn with_idempotence(self, is_idempotent: bool) -> Self {
        Self {
            is_idempotent,
            ..self
        }
    }

    /// Starts an attempt that runs the request, if [`Self::allows_attempt`].
    pub fn start_attempt(&mut self) -> Option<AttemptPermit> {
        self.allows_attempt().then(|| self.open_attempt())
    }

    /// Starts an attempt that goes on with the present run from a copy of its memory. That is no
    /// second run, and endpoints without the copy reject it.
    pub fn continue_run(&mut self) -> AttemptPermit {
        self.open_attempt()
    }

    fn open_attempt(&mut self) -> AttemptPermit {
        self.open += 1;
        AttemptPermit(())
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
        let attempts = self.open + self.answered + self.lost;
        (attempts == 0).then_some(NotRunProof(()))
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

    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.is_idempotent
    }

    /// Whether the request may be sent to another endpoint. One that is not idempotent may not once
    /// an attempt may have run it, whatever has become of the answer.
    pub fn allows_attempt(&self) -> bool {
        self.is_idempotent || self.not_run().is_some()
    }
}
