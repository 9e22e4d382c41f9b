//! Elections: pre-votes, votes and the change of roles.

use std::collections::BTreeSet;

use super::message::{EntryBody, HardState, LogIndex, PeerMessage, ReplicaId, TermNumber};
use super::replica::{FollowerState, LeaderState, ReplicaCore, ReplicaRole};
use crate::time::TimePoint;

impl ReplicaCore {
    /// Whether `message` moves this replica to a newer term.
    ///
    /// A pre-vote moves nobody. A vote request is not heard while a leader is, so that a replica
    /// that was cut off cannot unseat a leader whose lease still runs.
    pub(super) fn is_newer_term(&self, now: TimePoint, message: &PeerMessage) -> bool {
        let Some(term) = message.term() else {
            return false;
        };
        if term <= self.hard.term {
            return false;
        }
        match message {
            PeerMessage::PreVote { .. } => false,
            PeerMessage::PreVoteReply { is_granted, .. } => !is_granted,
            PeerMessage::Vote { .. } => !self.hears_leader(now),
            _ => true,
        }
    }

    pub(super) fn become_follower(
        &mut self,
        now: TimePoint,
        term: TermNumber,
        leader: Option<ReplicaId>,
    ) {
        if term > self.hard.term {
            self.set_hard(HardState { term, vote: None });
        }
        self.role = ReplicaRole::Follower { leader };
        self.schedule_election(now);
    }

    fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
        self.unsaved_hard = true;
    }

    pub(super) fn start_pre_vote(&mut self, now: TimePoint) {
        self.schedule_election(now);
        self.role = ReplicaRole::PreCandidate {
            granted: BTreeSet::from([self.id]),
        };
        let message = PeerMessage::PreVote {
            term: self.hard.term + 1,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.ask_voters(&message, false);
        self.count_pre_votes(now);
    }

    fn ask_voters(&mut self, message: &PeerMessage, is_after_save: bool) {
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
        let is_granted = term > self.hard.term
            && !self.hears_leader(now)
            && self.is_up_to_date(last_index, last_term);
        let reply_term = if is_granted { term } else { self.hard.term };
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
        let expected = self.hard.term + 1;
        if let ReplicaRole::PreCandidate { granted } = &mut self.role
            && is_granted
            && term == expected
        {
            granted.insert(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: TimePoint) {
        let ReplicaRole::PreCandidate { granted } = &self.role else {
            return;
        };
        if self.is_quorum(granted) {
            self.start_election(now);
        }
    }

    fn is_quorum(&self, granted: &BTreeSet<ReplicaId>) -> bool {
        let voters = granted.iter().filter(|id| self.config.is_voter(**id));
        voters.count() >= self.config.quorum()
    }

    fn start_election(&mut self, now: TimePoint) {
        self.set_hard(HardState {
            term: self.hard.term + 1,
            vote: Some(self.id),
        });
        self.schedule_election(now);
        self.role = ReplicaRole::Candidate {
            granted: BTreeSet::new(),
        };
        let message = PeerMessage::Vote {
            term: self.hard.term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.ask_voters(&message, true);
    }

    /// Counts this candidate's own vote once it is saved.
    pub(super) fn count_own_vote(&mut self, now: TimePoint) {
        let is_saved = self.saved_hard == self.hard && self.hard.vote == Some(self.id);
        if let ReplicaRole::Candidate { granted } = &mut self.role
            && is_saved
        {
            granted.insert(self.id);
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
        if term < self.hard.term {
            let reply = PeerMessage::VoteReply {
                term: self.hard.term,
                is_granted: false,
            };
            self.send_after_save(from, reply);
            return;
        }
        if term > self.hard.term {
            // A leader is heard: the request is not answered, so that no term is given away.
            return;
        }
        let is_free = self.hard.vote.is_none_or(|vote| vote == from);
        let is_granted = is_free
            && matches!(self.role, ReplicaRole::Follower { leader: None })
            && self.is_up_to_date(last_index, last_term);
        if is_granted {
            self.set_hard(HardState {
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
        let own_term = self.hard.term;
        if let ReplicaRole::Candidate { granted } = &mut self.role
            && is_granted
            && term == own_term
        {
            granted.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: TimePoint) {
        let ReplicaRole::Candidate { granted } = &self.role else {
            return;
        };
        if self.is_quorum(granted) {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: TimePoint) {
        let next = self.log.last_index() + 1;
        let followers = self
            .config
            .others(self.id)
            .map(|id| (id, FollowerState::new(now, next)))
            .collect();
        self.role = ReplicaRole::Leader(LeaderState {
            followers,
            next_heartbeat: now + self.settings.heartbeat,
            elected_at: now,
            noop_index: next,
        });
        self.append_own(now, EntryBody::Noop);
    }
}

impl FollowerState {
    pub(super) fn new(now: TimePoint, next: LogIndex) -> Self {
        Self {
            tracked_since: now,
            next,
            matched: 0,
            answered: None,
            in_flight_since: None,
        }
    }
}
