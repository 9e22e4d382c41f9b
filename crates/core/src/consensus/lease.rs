//! The leader lease: while it is valid, no other replica can be elected.

use std::time::Duration;

use super::message::ReplicaId;
use super::replica::{FollowerProgress, ReplicaCore, ReplicaRole};
use crate::time::TimePoint;

impl ReplicaCore {
    /// Whether this replica was in contact with a leader within the shortest election timeout. A
    /// leader counts as in contact with itself while a quorum answers it.
    pub fn has_leader_contact(&self, now: TimePoint) -> bool {
        if self.is_leader() {
            return self
                .quorum_ack_time(now)
                .is_some_and(|at| now.since(at) < self.settings.election_min);
        }
        self.last_leader_contact
            .is_some_and(|at| now.since(at) < self.settings.election_min)
    }

    /// Latest send time, on this leader's clock, such that a quorum of voters has answered a
    /// message sent then or later. `None` if this replica does not lead.
    pub(super) fn quorum_ack_time(&self, now: TimePoint) -> Option<TimePoint> {
        let ReplicaRole::Leader(state) = &self.role else {
            return None;
        };
        let mut ack_times: Vec<TimePoint> = self
            .config
            .voters
            .keys()
            .filter_map(|id| {
                if *id == self.id {
                    Some(now)
                } else {
                    state.followers.get(id)?.last_acked_send
                }
            })
            .collect();
        ack_times.sort_unstable_by(|a, b| b.cmp(a));
        ack_times.get(self.config.quorum_size() - 1).copied()
    }

    /// Whether this replica leads, holds a valid lease and has committed an entry of its own term.
    /// Otherwise it must serve no reads and accept no proposals.
    pub fn is_serving(&self, now: TimePoint) -> bool {
        let ReplicaRole::Leader(state) = &self.role else {
            return false;
        };
        let has_lease = self
            .quorum_ack_time(now)
            .is_some_and(|at| now.since(at) < self.settings.leader_lease());
        has_lease && self.commit_index >= state.noop_index
    }

    /// Whether `id` has answered a message that this leader sent within the shortest election
    /// timeout.
    pub(super) fn is_responsive(&self, now: TimePoint, id: ReplicaId) -> bool {
        let ReplicaRole::Leader(state) = &self.role else {
            return false;
        };
        state
            .followers
            .get(&id)
            .and_then(|follower| follower.last_acked_send)
            .is_some_and(|at| now.since(at) < self.settings.election_min)
    }

    /// Each follower with its match index and the send time of the last message it answered.
    pub fn follower_progress(&self) -> Vec<(ReplicaId, u64, Option<TimePoint>)> {
        let ReplicaRole::Leader(state) = &self.role else {
            return Vec::new();
        };
        state
            .followers
            .iter()
            .map(|(id, follower)| (*id, follower.match_index, follower.last_acked_send))
            .collect()
    }

    /// Members that have answered nothing for at least `timeout`, counted from when this leader
    /// began to send to them.
    pub fn unresponsive_members(&self, now: TimePoint, timeout: Duration) -> Vec<ReplicaId> {
        let ReplicaRole::Leader(state) = &self.role else {
            return Vec::new();
        };
        let is_unresponsive = |follower: &FollowerProgress| {
            let last_contact = follower.last_acked_send.unwrap_or(follower.tracked_since);
            now.since(last_contact.max(follower.tracked_since)) >= timeout
        };
        let unresponsive = state.followers.iter().filter(|(_, f)| is_unresponsive(f));
        unresponsive.map(|(id, _)| *id).collect()
    }
}
