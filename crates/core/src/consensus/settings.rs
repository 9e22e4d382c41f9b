//! Timing of the replicated log.

use std::time::Duration;

/// Timing and limits of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSettings {
    /// Time between heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest silence of the leader before an election; also the time in which a replica that
    /// has heard from a leader votes for no other.
    pub election_min: Duration,
    /// Longest silence of the leader before an election.
    pub election_max: Duration,
    /// Largest difference in clock rate between two instances, as a share.
    pub clock_skew: f64,
    /// Entries sent in one message at most.
    pub batch_entries: usize,
    /// Entries kept behind the newest snapshot for followers that lag.
    pub kept_entries: u64,
    /// Voters at most; further members stay learners until a voter leaves.
    pub max_voters: usize,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_millis(900),
            clock_skew: 0.02,
            batch_entries: 512,
            kept_entries: 4_096,
            max_voters: usize::MAX,
        }
    }
}

impl ReplicaSettings {
    /// How long a leader may serve after a quorum was heard, on the leader's clock.
    pub fn leader_lease(&self) -> Duration {
        self.election_min.mul_f64(1.0 - self.clock_skew)
    }
}
