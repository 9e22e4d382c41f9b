//! Settings of the ledger.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Retention periods and limits of the ledger.
///
/// They are part of the replicated state, because replicas that expired records by local settings
/// would diverge.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// Number of shards; keys are distributed over them by hash.
    pub shards: usize,
    /// How long the answer of a settled claim is kept, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub answer_retention: Duration,
    /// How long a settled or unknown claim itself is kept, with or without its answer, in
    /// milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub tombstone_retention: Duration,
    /// How long the binding of an idle session is kept, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub session_retention: Duration,
    /// How long a bill is kept to detect duplicates, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub bill_retention: Duration,
    /// How long after its deadline a claim may stay in the running state before it counts as
    /// unknown, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub running_grace: Duration,
    /// Maximum size of a stored body, in bytes; a larger answer is stored without its body.
    pub answer_bytes: usize,
    /// Maximum number of claims in one shard; further claims are rejected.
    pub shard_claims: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            shards: 16,
            answer_retention: Duration::from_hours(1),
            tombstone_retention: Duration::from_hours(48),
            session_retention: Duration::from_hours(24),
            bill_retention: Duration::from_hours(1),
            running_grace: Duration::from_secs(5),
            answer_bytes: 16 * 1024,
            shard_claims: 50_000,
        }
    }
}
