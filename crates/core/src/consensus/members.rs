//! Cluster membership, which changes one member at a time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::message::{EntryBody, ReplicaId};
use super::replica::{ProposalError, ReplicaCore, ReplicaRole};
use crate::time::TimePoint;

/// The members and their addresses, as set by one log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberConfig {
    /// Replicas that count towards a quorum.
    pub voters: BTreeMap<ReplicaId, String>,
    /// Replicas that receive the log but do not count towards a quorum yet.
    pub learners: BTreeMap<ReplicaId, String>,
}

impl MemberConfig {
    /// A configuration without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = (ReplicaId, String)>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeMap::new(),
        }
    }

    /// Number of voters that form a majority.
    pub fn quorum_size(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `id` is a voter, not a learner.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains_key(&id)
    }

    /// All members except `id`, voters first.
    pub fn members_except(&self, id: ReplicaId) -> impl Iterator<Item = ReplicaId> {
        self.voters
            .keys()
            .chain(self.learners.keys())
            .copied()
            .filter(move |member| *member != id)
    }

    /// RPC address of `id`, if it is a member.
    pub fn address(&self, id: ReplicaId) -> Option<&str> {
        self.voters
            .get(&id)
            .or_else(|| self.learners.get(&id))
            .map(String::as_str)
    }
}

/// A membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica as a learner. The leader promotes it to a voter once it has caught up.
    Add(ReplicaId, String),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

impl ReplicaCore {
    /// Proposes a membership change.
    ///
    /// # Errors
    /// [`ProposalError`] if this replica is not a serving leader, if another change is not yet
    /// committed, if `change` does not apply to the current members, or if the responsive voters
    /// would be no quorum after the change.
    pub fn propose_member_change(
        &mut self,
        now: TimePoint,
        change: &MemberChange,
    ) -> Result<(), ProposalError> {
        self.check_member_change(now)?;
        let mut config = self.config.clone();
        match change {
            MemberChange::Add(id, address) => {
                if config.address(*id).is_some() {
                    return Err(ProposalError::AlreadyMember);
                }
                config.learners.insert(*id, address.clone());
            }
            MemberChange::Remove(id) => {
                let was_voter = config.voters.remove(id).is_some();
                if !config.learners.contains_key(id) && !was_voter {
                    return Err(ProposalError::NoSuchMember);
                }
                config.learners.remove(id);
                self.check_remaining_quorum(now, &config)?;
            }
        }
        self.append_as_leader(now, EntryBody::Config(config));
        Ok(())
    }

    pub(super) fn check_member_change(&self, now: TimePoint) -> Result<(), ProposalError> {
        if !self.is_serving(now) {
            return Err(ProposalError::NotLeader(self.leader()));
        }
        // Two concurrent changes could lead to two quorums that share no replica.
        if self.config_index > self.commit_index {
            return Err(ProposalError::ChangePending);
        }
        Ok(())
    }

    fn check_remaining_quorum(
        &self,
        now: TimePoint,
        config: &MemberConfig,
    ) -> Result<(), ProposalError> {
        let responsive = config
            .voters
            .keys()
            .filter(|id| **id == self.id || self.is_responsive(now, **id))
            .count();
        if responsive < config.quorum_size() {
            return Err(ProposalError::QuorumAtRisk);
        }
        Ok(())
    }

    /// Promotes a caught-up learner to a voter, if there is room for one.
    pub(super) fn promote_due_learner(&mut self, now: TimePoint) {
        if self.has_voter_slot(now) && self.check_member_change(now).is_ok() {
            self.promote_caught_up_learner(now);
        }
    }

    /// Whether a promotion raises the number of losses that the voters tolerate, at once or together
    /// with the promotion of a second learner. An even number of voters tolerates no more losses than
    /// one voter less, and needs a larger share of them in touch.
    fn has_voter_slot(&self, now: TimePoint) -> bool {
        let voter_count = self.config.voters.len();
        if voter_count < self.settings.target_voters {
            return true;
        }
        let makes_odd =
            voter_count.is_multiple_of(2) || self.caught_up_learners(now).nth(1).is_some();
        voter_count < self.settings.max_voters && makes_odd
    }

    pub(super) fn promote_caught_up_learner(&mut self, now: TimePoint) {
        let Some(id) = self.caught_up_learner(now) else {
            return;
        };
        let mut config = self.config.clone();
        if let Some(address) = config.learners.remove(&id) {
            config.voters.insert(id, address);
            self.append_as_leader(now, EntryBody::Config(config));
        }
    }

    /// A responsive learner that has saved every committed entry and is not about to stop.
    pub fn caught_up_learner(&self, now: TimePoint) -> Option<ReplicaId> {
        self.caught_up_learners(now).next()
    }

    fn caught_up_learners(&self, now: TimePoint) -> impl Iterator<Item = ReplicaId> {
        let learners = self.config.learners.keys().copied();
        learners.filter(move |id| {
            self.is_caught_up(*id) && self.is_responsive(now, *id) && !self.is_leaving(now, *id)
        })
    }

    fn is_caught_up(&self, id: ReplicaId) -> bool {
        let ReplicaRole::Leader(state) = &self.role else {
            return false;
        };
        state.followers.get(&id).is_some_and(|follower| {
            follower.match_index >= self.commit_index && follower.match_index > 0
        })
    }

    /// Whether a voter can be removed and the others still are, or become by a promotion, as many as
    /// [`target_voters`](super::ReplicaSettings::target_voters).
    pub fn has_spare_member(&self, now: TimePoint) -> bool {
        self.config.voters.len() > self.settings.target_voters
            || self.caught_up_learner(now).is_some()
    }
}
