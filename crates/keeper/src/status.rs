//! What a keeper tells operators about the whole.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use chestnutloft_core::ids::{DomainId, RolloutId, VersionId};
use chestnutloft_core::ledger::{LedgerSize, SpendKey, SpendTotals};
use chestnutloft_core::plan::RolloutProgress;
use chestnutloft_core::state::EntryStatus;

/// A keeper as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Number of the replica.
    pub replica: u64,
    /// RPC address.
    pub address: String,
    /// Whether it counts for a quorum.
    pub is_voter: bool,
    /// Newest log index that it has saved, as far as known.
    pub matched: u64,
    /// Milliseconds since its last answer; `None` where it never answered.
    pub silent_ms: Option<u64>,
}

/// A change as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Revision.
    pub revision: u64,
    /// Who submitted it.
    pub operator: String,
    /// What it changed, in sentences.
    pub sentences: Vec<String>,
}

/// One row of spend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendRow {
    /// What it is for.
    pub key: SpendKey,
    /// The sum.
    pub cell: SpendTotals,
}

/// Status of the whole, from the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// Whether this keeper leads and its lease runs.
    pub is_serving: bool,
    /// Replica that leads, as far as known.
    pub leader: Option<u64>,
    /// Election term.
    pub term: u64,
    /// Newest committed log index.
    pub commit: u64,
    /// Log index of the newest snapshot.
    pub snapshot: u64,
    /// Bytes of the journal.
    pub journal_bytes: u64,
    /// Newest accepted revision.
    pub accepted: u64,
    /// Revision of the newest declaration.
    pub declared_at: u64,
    /// Newest revision in force everywhere; `None` while earlier leases may run.
    pub in_force: Option<u64>,
    /// Keepers.
    pub members: Vec<MemberStatus>,
    /// Entries.
    pub entries: Vec<EntryStatus>,
    /// Roll-outs.
    pub rollouts: BTreeMap<RolloutId, RolloutProgress>,
    /// Failure domains taken out by command.
    pub drained: Vec<DomainId>,
    /// Withdrawn versions.
    pub withdrawn: Vec<VersionId>,
    /// Versions in quarantine, with the reason.
    pub quarantined: BTreeMap<VersionId, String>,
    /// Records in the ledger.
    pub ledger: LedgerSize,
    /// Newest changes, newest first.
    pub changes: Vec<ChangeSummary>,
}
