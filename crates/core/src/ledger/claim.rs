//! Claims: the exclusive right to run a non-idempotent request.

use serde::{Deserialize, Serialize};

use crate::hash::content_hash;
use crate::ids::{EntryId, WorkspaceId};
use crate::time::TimePoint;

/// Hash of a workspace and the idempotency key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Creates the key of `idempotency_key` in `workspace`.
    pub fn new(workspace: &WorkspaceId, idempotency_key: &str) -> Self {
        let text = format!("{workspace}\u{0}{idempotency_key}");
        Self(content_hash(text.as_bytes()))
    }
}

/// Identifies an attempt of an entry to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Entry that makes the attempt.
    pub entry: EntryId,
    /// Incarnation of that entry.
    pub incarnation: u64,
    /// Number of the attempt within that incarnation.
    pub number: u64,
}

/// Request for a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Hash of method, path and body. A key must not be reused for a request with other content.
    pub fingerprint: u128,
    /// Attempt that requests the claim.
    pub attempt: AttemptId,
    /// When the caller stops waiting for the answer, in Unix time.
    pub deadline: TimePoint,
}

/// Answer that is stored with a settled claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Body; `None` if it was too large to store or its retention period is over.
    pub body: Option<Vec<u8>>,
}

/// Result of a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The attempt may run the request.
    Granted,
    /// Another attempt is running the request.
    Running,
    /// The request has run; this is its answer.
    Settled(StoredAnswer),
    /// An earlier attempt may have run the request, but its answer is lost.
    Unknown,
    /// The key was used before for a request with other content.
    Mismatch,
    /// The shard holds the maximum number of claims.
    Full,
}

/// Result of settling a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleOutcome {
    /// The answer is stored.
    Stored,
    /// The claim was already settled; nothing changed.
    AlreadySettled,
    /// The attempt does not hold the claim.
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

    /// Outcome of `request` for a key that already has this claim.
    pub fn outcome_for(&self, request: &ClaimRequest) -> ClaimOutcome {
        if self.fingerprint != request.fingerprint {
            return ClaimOutcome::Mismatch;
        }
        match &self.state {
            // The attempt repeats its request because the first answer was lost.
            ClaimState::Running if self.attempt == request.attempt => ClaimOutcome::Granted,
            ClaimState::Running => ClaimOutcome::Running,
            ClaimState::Unknown => ClaimOutcome::Unknown,
            ClaimState::Settled(answer) => ClaimOutcome::Settled(answer.clone()),
        }
    }
}
