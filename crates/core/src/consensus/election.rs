//! Leader election: pre-votes, votes and role changes.

use std::collections::{BTreeMap, BTreeSet};

use super::message::{EntryBody, HardState, LogIndex, PeerMessage, ReplicaId, TermNumber};
use super::replica::{FollowerProgress, LeaderState, ReplicaCore, ReplicaRole};
use crate::time::TimePoint;

impl ReplicaCore {
    /// Whether this replica must adopt the newer term that `message` carries.
    ///
    /// A pre-vote request never changes the term. A vote request is ignored while this replica is
    /// in contact with a leader, so that a replica that was partitioned away cannot depose a leader
    /// whose lease is still valid.
    pub(super) fn adopts_term_of(&self, now: TimePoint, message: &PeerMessage) -> bool {
        let Some(term) = message.term() else {
            return false;
        };
        if term <= self.hard_state.term {
            return false;
        }
        match message {
            PeerMessage::PreVote { .. } => false,
            PeerMessage::PreVoteReply { is_granted, .. } => !is_granted,
            PeerMessage::Vote { .. } => !self.has_leader_contact(now),
            _ => true,
        }
    }

    pub(super) fn become_follower(
        &mut self,
        now: TimePoint,
        term: TermNumber,
        leader: Option<ReplicaId>,
    ) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        self.role = ReplicaRole::Follower { leader };
        self.schedule_election(now);
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.is_hard_state_unsaved = true;
    }

    pub(super) fn start_pre_vote(&mut self, now: TimePoint) {
        self.schedule_election(now);
        self.role = ReplicaRole::PreCandidate {
            votes: BTreeSet::from([self.id]),
        };
        let message = PeerMessage::PreVote {
            term: self.hard_state.term + 1,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_other_voters(&message, false);
        self.count_pre_votes(now);
    }

    fn send_to_other_voters(&mut self, message: &PeerMessage, is_after_save: bool) {
        let own = self.id;
        let voters: Vec<ReplicaId> = self.config.voters.keys().copied().collect();
        for voter in voters.into_iter().filter(|v| *v != own) {
            if is_after_save {
                self.send_after_save(voter, message.clone());
            } else {
                self.send_now(voter, message.clone());
            }
        }
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: TermNumber) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: TimePoint,
        from: ReplicaId,
        term: TermNumber,
        last_index: LogIndex,
        last_term: TermNumber,
    ) {
        let is_granted = term > self.hard_state.term
            && !self.has_leader_contact(now)
            && self.is_up_to_date(last_index, last_term);
        let reply_term = if is_granted {
            term
        } else {
            self.hard_state.term
        };
        let reply = PeerMessage::PreVoteReply {
            term: reply_term,
            is_granted,
        };
        self.send_now(from, reply);
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: TimePoint,
        from: ReplicaId,
        term: TermNumber,
        is_granted: bool,
    ) {
        let expected_term = self.hard_state.term + 1;
        if let ReplicaRole::PreCandidate { votes } = &mut self.role
            && is_granted
            && term == expected_term
        {
            votes.insert(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: TimePoint) {
        let ReplicaRole::PreCandidate { votes } = &self.role else {
            return;
        };
        if self.is_quorum(votes) {
            self.start_election(now);
        }
    }

    fn is_quorum(&self, votes: &BTreeSet<ReplicaId>) -> bool {
        let from_voters = votes.iter().filter(|id| self.config.is_voter(**id));
        from_voters.count() >= self.config.quorum_size()
    }

    fn start_election(&mut self, now: TimePoint) {
        self.set_hard_state(HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id),
        });
        self.schedule_election(now);
        self.role = ReplicaRole::Candidate {
            votes: BTreeSet::new(),
        };
        let message = PeerMessage::Vote {
            term: self.hard_state.term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_other_voters(&message, true);
    }

    /// Counts this candidate's vote for itself once the vote is on disk.
    pub(super) fn count_own_vote(&mut self, now: TimePoint) {
        let is_saved =
            self.saved_hard_state == self.hard_state && self.hard_state.vote == Some(self.id);
        if let ReplicaRole::Candidate { votes } = &mut self.role
            && is_saved
        {
            votes.insert(self.id);
            self.count_votes(now);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: TimePoint,
        from: ReplicaId,
        term: TermNumber,
        last_index: LogIndex,
        last_term: TermNumber,
    ) {
        if term < self.hard_state.term {
            let reply = PeerMessage::VoteReply {
                term: self.hard_state.term,
                is_granted: false,
            };
            self.send_after_save(from, reply);
            return;
        }
        if term > self.hard_state.term {
            // `receive` adopts a newer term first, unless this replica is in contact with a leader.
            // The request then gets no answer, so that it does not learn this replica's term.
            return;
        }
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let is_granted = can_vote
            && matches!(self.role, ReplicaRole::Follower { leader: None })
            && self.is_up_to_date(last_index, last_term);
        if is_granted {
            self.set_hard_state(HardState {
                term,
                vote: Some(from),
            });
            self.schedule_election(now);
        }
        self.send_after_save(from, PeerMessage::VoteReply { term, is_granted });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: TimePoint,
        from: ReplicaId,
        term: TermNumber,
        is_granted: bool,
    ) {
        let own_term = self.hard_state.term;
        if let ReplicaRole::Candidate { votes } = &mut self.role
            && is_granted
            && term == own_term
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: TimePoint) {
        let ReplicaRole::Candidate { votes } = &self.role else {
            return;
        };
        if self.is_quorum(votes) {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: TimePoint) {
        let next_index = self.log.last_index() + 1;
        let followers = self
            .config
            .members_except(self.id)
            .map(|id| (id, FollowerProgress::new(now, next_index)))
            .collect();
        self.role = ReplicaRole::Leader(LeaderState {
            followers,
            next_heartbeat: now + self.settings.heartbeat,
            elected_at: now,
            noop_index: next_index,
            leaving: BTreeMap::new(),
        });
        self.append_as_leader(now, EntryBody::Noop);
    }
}

impl FollowerProgress {
    pub(super) fn new(now: TimePoint, next_index: LogIndex) -> Self {
        Self {
            tracked_since: now,
            next_index,
            match_index: 0,
            last_acked_send: None,
            in_flight_since: None,
        }
    }
}
