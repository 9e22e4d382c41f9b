//! The leader's lease: while it runs, no other replica can be elected.

use std::time::Duration;

use super::message::ReplicaId;
use super::replica::{FollowerState, ReplicaCore, ReplicaRole};
use crate::time::TimePoint;

impl ReplicaCore {
    /// Whether this replica has heard from a leader within the shortest election timeout.
    pub fn hears_leader(&self, now: TimePoint) -> bool {
        if self.is_leader() {
            return self
                .quorum_answered_at(now)
                .is_some_and(|at| now.since(at) < self.settings.election_min);
        }
        self.heard_leader_at
            .is_some_and(|at| now.since(at) < self.settings.election_min)
    }

    /// When the newest message was sent that a quorum has answered, on this leader's clock.
    pub(super) fn quorum_answered_at(&self, now: TimePoint) -> Option<TimePoint> {
        let ReplicaRole::Leader(state) = &self.role else {
            return None;
        };
        let mut answered: Vec<TimePoint> = self
            .config
            .voters
            .keys()
            .filter_map(|id| {
                if *id == self.id {
                    Some(now)
                } else {
                    state.followers.get(id)?.answered
                }
            })
            .collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        answered.get(self.config.quorum() - 1).copied()
    }

    /// Whether this replica leads, its lease runs, and it has committed an entry of its own term.
    /// Until then it may neither read nor decide.
    pub fn is_serving(&self, now: TimePoint) -> bool {
        let ReplicaRole::Leader(state) = &self.role else {
            return false;
        };
        let has_lease = self
            .quorum_answered_at(now)
            .is_some_and(|at| now.since(at) < self.settings.leader_lease());
        has_lease && self.commit >= state.noop_index
    }

    /// Whether `id` has answered this leader lately.
    pub(super) fn is_answering(&self, now: TimePoint, id: ReplicaId) -> bool {
        let ReplicaRole::Leader(state) = &self.role else {
            return false;
        };
        state
            .followers
            .get(&id)
            .and_then(|follower| follower.answered)
            .is_some_and(|at| now.since(at) < self.settings.election_min)
    }

    /// Members with the newest index that they have saved and the time of their last answer.
    pub fn follower_progress(&self) -> Vec<(ReplicaId, u64, Option<TimePoint>)> {
        let ReplicaRole::Leader(state) = &self.role else {
            return Vec::new();
        };
        state
            .followers
            .iter()
            .map(|(id, follower)| (*id, follower.matched, follower.answered))
            .collect()
    }

    /// Members that this leader has not heard for `silence`, counted from when it began to send
    /// to them.
    pub fn silent_members(&self, now: TimePoint, silence: Duration) -> Vec<ReplicaId> {
        let ReplicaRole::Leader(state) = &self.role else {
            return Vec::new();
        };
        let is_silent = |follower: &FollowerState| {
            let heard_at = follower.answered.unwrap_or(follower.tracked_since);
            now.since(heard_at.max(follower.tracked_since)) >= silence
        };
        let silent = state.followers.iter().filter(|(_, f)| is_silent(f));
        silent.map(|(id, _)| *id).collect()
    }
}
