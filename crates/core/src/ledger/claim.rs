//! Claims: the right to run a non-idempotent request once.

use serde::{Deserialize, Serialize};

use crate::hash::content_hash;
use crate::ids::{EntryId, WorkspaceId};
use crate::time::TimePoint;

/// Hash of a workspace and the idempotency key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// The key of `idempotency_key` in `workspace`.
    pub fn new(workspace: &WorkspaceId, idempotency_key: &str) -> Self {
        let text = format!("{workspace}\u{0}{idempotency_key}");
        Self(content_hash(text.as_bytes()))
    }
}

/// One attempt of one life of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Entry that makes the attempt.
    pub entry: EntryId,
    /// Life of that entry.
    pub incarnation: u64,
    /// Number of the attempt within that life.
    pub number: u64,
}

/// Asks for the right to run a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Hash of method, path and body: a key may not be used again for other content.
    pub fingerprint: u128,
    /// Attempt that asks.
    pub attempt: AttemptId,
    /// When the caller stops waiting, in Unix time.
    pub deadline: TimePoint,
}

/// The answer that a settled claim stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` when it was too large to store or its retention is over.
    pub body: Option<Vec<u8>>,
}

/// Answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The attempt may run the request.
    Granted,
    /// Another attempt is running it.
    Running,
    /// It ran; this is its answer.
    Settled(StoredAnswer),
    /// An attempt may have run it, and its answer is lost.
    Unknown,
    /// The key was used for other content.
    Mismatch,
    /// The shard holds as many claims as it may.
    Full,
}

/// Answer to settling a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleOutcome {
    /// The answer is stored.
    Stored,
    /// The claim was settled before; nothing changed.
    AlreadySettled,
    /// The attempt holds no claim.
    NotHeld,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum ClaimState {
    Running,
    Unknown,
    Settled(StoredAnswer),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    pub fingerprint: u128,
    pub attempt: AttemptId,
    pub deadline: TimePoint,
    pub state: ClaimState,
    pub changed_at: TimePoint,
}

impl ClaimRecord {
    pub fn granted(request: &ClaimRequest, stamp: TimePoint) -> Self {
        Self {
            fingerprint: request.fingerprint,
            attempt: request.attempt.clone(),
            deadline: request.deadline,
            state: ClaimState::Running,
            changed_at: stamp,
        }
    }

    /// What a request for a key that is claimed already is told.
    pub fn outcome_for(&self, request: &ClaimRequest) -> ClaimOutcome {
        if self.fingerprint != request.fingerprint {
            return ClaimOutcome::Mismatch;
        }
        match &self.state {
            // A resend after a lost answer.
            ClaimState::Running if self.attempt == request.attempt => ClaimOutcome::Granted,
            ClaimState::Running => ClaimOutcome::Running,
            ClaimState::Unknown => ClaimOutcome::Unknown,
            ClaimState::Settled(answer) => ClaimOutcome::Settled(answer.clone()),
        }
    }
}
