//! Members of the replicated log and their change, one at a time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::message::{EntryBody, ReplicaId};
use super::replica::{ProposalError, ReplicaCore, ReplicaRole};
use crate::time::TimePoint;

/// Members as of one log entry, with their addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberConfig {
    /// Replicas that count for a quorum.
    pub voters: BTreeMap<ReplicaId, String>,
    /// Replicas that receive the log and do not count yet.
    pub learners: BTreeMap<ReplicaId, String>,
}

impl MemberConfig {
    /// Members that all vote.
    pub fn of_voters(voters: impl IntoIterator<Item = (ReplicaId, String)>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeMap::new(),
        }
    }

    /// Replicas that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `id` votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.voters.contains_key(&id)
    }

    /// All members but `id`.
    pub fn others(&self, id: ReplicaId) -> impl Iterator<Item = ReplicaId> {
        self.voters
            .keys()
            .chain(self.learners.keys())
            .copied()
            .filter(move |member| *member != id)
    }

    /// Address of `id`.
    pub fn address(&self, id: ReplicaId) -> Option<&str> {
        self.voters
            .get(&id)
            .or_else(|| self.learners.get(&id))
            .map(String::as_str)
    }
}

/// A change of members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// A replica joins as learner; the leader makes it a voter once it has caught up.
    Add(ReplicaId, String),
    /// A replica leaves.
    Remove(ReplicaId),
}

impl ReplicaCore {
    /// Proposes a change of members.
    ///
    /// # Errors
    /// [`ProposalError`] when this replica does not lead, when another change is under way, or
    /// when the voters that answer could not commit under the changed members.
    pub fn propose_members(
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
                let is_known = config.voters.remove(id).is_some();
                if !config.learners.contains_key(id) && !is_known {
                    return Err(ProposalError::NoSuchMember);
                }
                config.learners.remove(id);
                self.check_remaining(now, &config)?;
            }
        }
        self.append_own(now, EntryBody::Config(config));
        Ok(())
    }

    fn check_member_change(&self, now: TimePoint) -> Result<(), ProposalError> {
        if !self.is_serving(now) {
            return Err(ProposalError::NotLeader(self.leader()));
        }
        // Two changes at once could give two quorums that share no replica.
        if self.config_index > self.commit {
            return Err(ProposalError::ChangePending);
        }
        Ok(())
    }

    fn check_remaining(&self, now: TimePoint, config: &MemberConfig) -> Result<(), ProposalError> {
        let answering = config
            .voters
            .keys()
            .filter(|id| **id == self.id || self.is_answering(now, **id))
            .count();
        if answering < config.quorum() {
            return Err(ProposalError::QuorumAtRisk);
        }
        Ok(())
    }

    /// Makes a learner that has saved everything committed a voter.
    pub(super) fn promote_caught_up(&mut self, now: TimePoint) {
        let has_room = self.config.voters.len() < self.settings.max_voters;
        if !has_room || self.check_member_change(now).is_err() {
            return;
        }
        let Some(id) = self.caught_up_learner(now) else {
            return;
        };
        let mut config = self.config.clone();
        if let Some(address) = config.learners.remove(&id) {
            config.voters.insert(id, address);
            self.append_own(now, EntryBody::Config(config));
        }
    }

    /// A learner that answers and has saved everything committed.
    pub fn caught_up_learner(&self, now: TimePoint) -> Option<ReplicaId> {
        let ReplicaRole::Leader(state) = &self.role else {
            return None;
        };
        let has_all = |id: &ReplicaId| {
            state
                .followers
                .get(id)
                .is_some_and(|follower| follower.matched >= self.commit && follower.matched > 0)
        };
        self.config
            .learners
            .keys()
            .find(|id| has_all(id) && self.is_answering(now, **id))
            .copied()
    }
}
