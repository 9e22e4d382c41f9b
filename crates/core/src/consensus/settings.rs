//! Timing and limits of consensus.

use std::time::Duration;

/// Timing and limits of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSettings {
    /// Interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Shortest time without contact with a leader before an election. For this time after contact,
    /// a replica also votes for no other candidate.
    pub election_min: Duration,
    /// Longest time without contact with a leader before an election.
    pub election_max: Duration,
    /// Largest relative difference in clock rate between two instances (0.02 is 2%).
    pub clock_skew: f64,
    /// Maximum number of entries in a message.
    pub batch_entries: usize,
    /// Maximum number of command bytes in a message, unless a single entry has more.
    pub batch_bytes: usize,
    /// Number of entries before the last snapshot to keep in memory for lagging followers.
    pub kept_entries: u64,
    /// Maximum number of command bytes in these entries.
    pub kept_bytes: usize,
    /// Number of voters up to which each caught-up learner is promoted.
    pub target_voters: usize,
    /// Maximum number of voters. Above [`Self::target_voters`], learners are promoted only to an odd
    /// number of voters, which tolerates more losses.
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
            batch_bytes: 1024 * 1024,
            kept_entries: 4_096,
            kept_bytes: 4 * 1024 * 1024,
            target_voters: usize::MAX,
            max_voters: usize::MAX,
        }
    }
}

impl ReplicaSettings {
    /// How long a leader may serve after it sent a message that a quorum answered, on the leader's
    /// clock. Shorter than `election_min` by `clock_skew`, because followers measure that time on
    /// their own clocks.
    pub fn leader_lease(&self) -> Duration {
        self.election_min.mul_f64(1.0 - self.clock_skew)
    }
}
