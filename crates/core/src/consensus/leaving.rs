//! Members that leave in order: one that is about to stop first has its vote taken over by another.

use serde::{Deserialize, Serialize};

use super::members::MemberChange;
use super::message::{PeerMessage, ReplicaId};
use super::replica::{ReplicaCore, ReplicaRole};
use crate::time::TimePoint;

/// How far a member has left the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaveStatus {
    /// The leader has not yet removed the member, or is not known.
    Pending,
    /// The removal is committed.
    Removed,
    /// No other member can take over the vote. The member keeps it while it is stopped, so that a
    /// cluster whose members are restarted in turn does not shrink.
    Needed,
}

impl ReplicaCore {
    /// Starts to leave the cluster. Each tick asks the leader until [`Self::leave_status`] is final.
    pub fn start_leaving(&mut self) {
        self.leave_status.get_or_insert(LeaveStatus::Pending);
    }

    /// How far this replica has left; `None` before [`Self::start_leaving`].
    pub fn leave_status(&self) -> Option<LeaveStatus> {
        self.leave_status
    }

    pub(super) fn tick_leaving(&mut self, now: TimePoint) {
        if self.leave_status != Some(LeaveStatus::Pending) {
            return;
        }
        if self.is_leader() || self.has_committed_removal(self.id) {
            let status = self.release_member(now, self.id);
            self.leave_status = Some(status);
            return;
        }
        // A removed follower gets no more messages and loses sight of the leader. Any voter may be
        // the leader then, and the others do not answer.
        let known_leader = self.leader();
        let voters = self.config.voters.keys().copied();
        let receivers: Vec<ReplicaId> = voters
            .filter(|id| *id != self.id && known_leader.is_none_or(|leader| leader == *id))
            .collect();
        for id in receivers {
            self.send_now(id, PeerMessage::Leave);
        }
    }

    pub(super) fn on_leave(&mut self, now: TimePoint, from: ReplicaId) {
        if self.is_serving(now) {
            let status = self.release_member(now, from);
            self.send_now(from, PeerMessage::LeaveReply(status));
        }
    }

    pub(super) fn on_leave_reply(&mut self, status: LeaveStatus) {
        if let Some(LeaveStatus::Pending) = self.leave_status {
            self.leave_status = Some(status);
        }
    }

    /// Whether a leader has heard from `id` lately that it is about to stop.
    pub(super) fn is_leaving(&self, now: TimePoint, id: ReplicaId) -> bool {
        let ReplicaRole::Leader(state) = &self.role else {
            return false;
        };
        let asked_at = state.leaving.get(&id);
        asked_at.is_some_and(|at| now.since(*at) < self.settings.election_max)
    }

    fn has_committed_removal(&self, id: ReplicaId) -> bool {
        self.config.address(id).is_none() && self.commit_index >= self.config_index
    }

    /// Takes the next step to remove `id`: promotes the learner that takes over its vote, or removes
    /// it. The promotion goes first, so that no step leaves fewer voters than the target.
    fn release_member(&mut self, now: TimePoint, id: ReplicaId) -> LeaveStatus {
        if self.has_committed_removal(id) {
            return LeaveStatus::Removed;
        }
        if let ReplicaRole::Leader(state) = &mut self.role {
            state.leaving.insert(id, now);
        }
        if self.check_member_change(now).is_err() {
            return LeaveStatus::Pending;
        }
        let is_surplus = self.config.voters.len() > self.settings.target_voters;
        if is_surplus || !self.config.is_voter(id) {
            // A rejected removal is proposed again when the member asks again.
            let _ = self.propose_member_change(now, &MemberChange::Remove(id));
            return LeaveStatus::Pending;
        }
        self.promote_caught_up_learner(now);
        if self.has_candidate(now) {
            LeaveStatus::Pending
        } else {
            LeaveStatus::Needed
        }
    }

    /// Whether a voter was just promoted, or a learner may still catch up.
    fn has_candidate(&self, now: TimePoint) -> bool {
        let silent = self.unresponsive_members(now, self.settings.election_max);
        let mut learners = self.config.learners.keys();
        self.config_index > self.commit_index
            || learners.any(|id| !self.is_leaving(now, *id) && !silent.contains(id))
    }
}
