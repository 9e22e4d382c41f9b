//! Status of the cluster as a keeper reports it to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use chestnutloft_core::ids::{DomainId, RolloutId, VersionId};
use chestnutloft_core::ledger::{LedgerSize, SpendKey, SpendTotals};
use chestnutloft_core::plan::RolloutProgress;
use chestnutloft_core::state::EntryStatus;

/// Status of a keeper as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Number of the replica.
    pub replica: u64,
    /// RPC address.
    pub address: String,
    /// Whether it counts towards a quorum.
    pub is_voter: bool,
    /// Last log index that it is known to have saved.
    pub matched: u64,
    /// Milliseconds since the leader sent the last message that it answered; `None` if it never
    /// answered.
    pub silent_ms: Option<u64>,
}

/// A change to the plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Revision that the change led to.
    pub revision: u64,
    /// Name of the operator who submitted it.
    pub operator: String,
    /// Description of the change.
    pub sentences: Vec<String>,
}

/// Total of the bills for one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendRow {
    /// What the bills are summed by.
    pub key: SpendKey,
    /// The totals.
    pub cell: SpendTotals,
}

/// Status of the cluster. Complete only if it comes from the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// Whether this keeper leads with a valid lease.
    pub is_serving: bool,
    /// Number of the leader, if known.
    pub leader: Option<u64>,
    /// Election term.
    pub term: u64,
    /// Last committed log index.
    pub commit: u64,
    /// Log index of the last snapshot.
    pub snapshot: u64,
    /// Size of the journal in bytes.
    pub journal_bytes: u64,
    /// Size of the commands in memory, in bytes.
    pub log_bytes: u64,
    /// Latest accepted revision.
    pub accepted: u64,
    /// Revision of the latest declaration.
    pub declared_at: u64,
    /// Latest revision in force on every entry; `None` while leases of an earlier leader may be valid.
    pub in_force: Option<u64>,
    /// Keepers.
    pub members: Vec<MemberStatus>,
    /// Entries.
    pub entries: Vec<EntryStatus>,
    /// Roll-outs.
    pub rollouts: BTreeMap<RolloutId, RolloutProgress>,
    /// Failure domains that operators have drained.
    pub drained: Vec<DomainId>,
    /// Withdrawn versions.
    pub withdrawn: Vec<VersionId>,
    /// Versions in quarantine, with the reason.
    pub quarantined: BTreeMap<VersionId, String>,
    /// Number of records in the ledger.
    pub ledger: LedgerSize,
    /// Most recent changes, newest first.
    pub changes: Vec<ChangeSummary>,
}
