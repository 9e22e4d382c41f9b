//! Retention and bounds of the ledger.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Retention and bounds of the ledger. They are part of the replicated state: replicas that expired
/// records by settings of their own would no longer agree.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// Shards; keys are spread over them by hash.
    pub shards: usize,
    /// How long the answer of a settled claim is kept, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub answer_retention: Duration,
    /// How long a settled or unknown claim is remembered without its answer, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub tombstone_retention: Duration,
    /// How long an idle session keeps its binding, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub session_retention: Duration,
    /// How long a bill is remembered against being booked twice, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub bill_retention: Duration,
    /// How long past its deadline a running claim counts as running, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub running_grace: Duration,
    /// Largest stored answer, in bytes; a larger one is remembered without its body.
    pub answer_bytes: usize,
    /// Claims in one shard at most; beyond it new claims are refused.
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
