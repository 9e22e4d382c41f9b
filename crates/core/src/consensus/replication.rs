//! Replication of entries from the leader to its followers.

use super::EntryLog;
use super::message::{
    EntryBody, LogEntry, LogIndex, PeerMessage, ReplicaId, SnapshotImage, TermNumber,
};
use super::replica::{AppendBatch, FollowerState, ReplicaCore, ReplicaRole};
use crate::time::TimePoint;

impl ReplicaCore {
    pub(super) fn tick_leader(&mut self, now: TimePoint) {
        if self.has_lost_quorum(now) || self.has_left() {
            let term = self.hard.term;
            self.become_follower(now, term, None);
            return;
        }
        self.promote_caught_up(now);
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        if now < state.next_heartbeat {
            return;
        }
        state.next_heartbeat = now + self.settings.heartbeat;
        self.forget_lost_messages(now);
        self.replicate(now, true);
    }

    /// Whether a committed change of members has removed this leader.
    fn has_left(&self) -> bool {
        !self.config.is_voter(self.id) && self.commit >= self.config_index
    }

    fn has_lost_quorum(&self, now: TimePoint) -> bool {
        let since_elected = self
            .elected_at()
            .map(|at| now.since(at))
            .unwrap_or_default();
        let is_silent = self
            .quorum_answered_at(now)
            .is_none_or(|at| now.since(at) > self.settings.election_max);
        is_silent && since_elected > self.settings.election_max
    }

    /// A message that got no answer within an election timeout counts as lost.
    fn forget_lost_messages(&mut self, now: TimePoint) {
        let patience = self.settings.election_min;
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        for follower in state.followers.values_mut() {
            let is_lost = follower
                .in_flight_since
                .is_some_and(|at| now.since(at) > patience);
            if is_lost {
                follower.in_flight_since = None;
                follower.next = follower.matched + 1;
            }
        }
    }

    pub(super) fn append_own(&mut self, now: TimePoint, body: EntryBody) -> LogIndex {
        let index = self.log.last_index() + 1;
        let is_config = matches!(body, EntryBody::Config(_));
        self.log.push(LogEntry {
            index,
            term: self.hard.term,
            body,
        });
        if is_config {
            self.refresh_config();
            self.track_members(now);
        }
        self.replicate(now, false);
        index
    }

    fn track_members(&mut self, now: TimePoint) {
        let next = self.log.last_index() + 1;
        let members: Vec<ReplicaId> = self.config.others(self.id).collect();
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        for id in members {
            state
                .followers
                .entry(id)
                .or_insert_with(|| FollowerState::new(now, next));
        }
        let config = &self.config;
        state
            .followers
            .retain(|id, _| config.address(*id).is_some());
    }

    /// Sends each follower what it lacks. A follower with entries under way gets more only with
    /// the next heartbeat or answer, which keeps messages few and large under load.
    pub(super) fn replicate(&mut self, now: TimePoint, is_heartbeat: bool) {
        let followers: Vec<ReplicaId> = match &self.role {
            ReplicaRole::Leader(state) => state.followers.keys().copied().collect(),
            _ => return,
        };
        for id in followers {
            self.replicate_to(now, id, is_heartbeat);
        }
    }

    fn replicate_to(&mut self, now: TimePoint, id: ReplicaId, is_heartbeat: bool) {
        let last_index = self.log.last_index();
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        let Some(follower) = state.followers.get_mut(&id) else {
            return;
        };
        let is_waiting = follower.in_flight_since.is_some();
        let has_more = follower.next <= last_index;
        if !is_heartbeat && (is_waiting || !has_more) {
            return;
        }
        let prev_index = follower.next - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(now, id);
            return;
        };
        let entries = if is_waiting {
            Vec::new()
        } else {
            self.log
                .after_index(prev_index, self.settings.batch_entries)
        };
        if !entries.is_empty() {
            follower.next += entries.len() as u64;
            follower.in_flight_since = Some(now);
        }
        let message = PeerMessage::Append {
            term: self.hard.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            sent_at: now,
        };
        self.send_now(id, message);
    }

    fn send_snapshot(&mut self, now: TimePoint, id: ReplicaId) {
        let image = self.snapshot.clone();
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        let Some(follower) = state.followers.get_mut(&id) else {
            return;
        };
        let term = self.hard.term;
        if follower.in_flight_since.is_some() {
            // A heartbeat that cannot match still keeps the follower from an election.
            let message = PeerMessage::Append {
                term,
                prev_index: image.index,
                prev_term: image.term,
                entries: Vec::new(),
                commit: 0,
                sent_at: now,
            };
            self.send_now(id, message);
            return;
        }
        follower.in_flight_since = Some(now);
        follower.next = image.index + 1;
        self.send_now(
            id,
            PeerMessage::Snapshot {
                term,
                image,
                sent_at: now,
            },
        );
    }

    fn follow(&mut self, now: TimePoint, from: ReplicaId, term: TermNumber) {
        self.become_follower(now, term, Some(from));
        self.heard_leader_at = Some(now);
    }

    fn reply_append(&mut self, to: ReplicaId, index: LogIndex, is_match: bool, sent_at: TimePoint) {
        let term = self.hard.term;
        let reply = PeerMessage::AppendReply {
            term,
            index,
            is_match,
            sent_at,
        };
        self.send_after_save(to, reply);
    }

    pub(super) fn on_append(
        &mut self,
        now: TimePoint,
        from: ReplicaId,
        term: TermNumber,
        batch: AppendBatch,
    ) {
        if term < self.hard.term {
            self.reply_append(from, 0, false, batch.sent_at);
            return;
        }
        self.follow(now, from, term);
        if batch.prev_index < self.log.base_index() {
            // Entries up to the base are committed here already.
            let base = self.log.base_index();
            self.reply_append(from, base, true, batch.sent_at);
            return;
        }
        if self.log.term_at(batch.prev_index) != Some(batch.prev_term) {
            let hint = self
                .log
                .before_term_of(batch.prev_index.min(self.log.last_index()));
            self.reply_append(from, hint, false, batch.sent_at);
            return;
        }
        let matched = batch.prev_index + batch.entries.len() as u64;
        self.take_entries(batch.entries);
        self.set_commit(batch.commit.min(matched));
        self.reply_append(from, matched, true, batch.sent_at);
    }

    fn take_entries(&mut self, entries: Vec<LogEntry>) {
        let mut has_config = false;
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.drop_from(entry.index);
                    has_config = true;
                }
                None => {}
            }
            has_config |= matches!(entry.body, EntryBody::Config(_));
            self.log.push(entry);
        }
        if has_config {
            self.refresh_config();
        }
    }

    fn drop_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.saved = self.saved.min(index - 1);
        self.unsaved_from = self.unsaved_from.min(index);
    }

    fn set_commit(&mut self, commit: LogIndex) {
        self.commit = self.commit.max(commit);
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: TimePoint,
        from: ReplicaId,
        term: TermNumber,
        index: LogIndex,
        is_match: bool,
        sent_at: TimePoint,
    ) {
        if term != self.hard.term {
            return;
        }
        let last_index = self.log.last_index();
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        let Some(follower) = state.followers.get_mut(&from) else {
            return;
        };
        follower.answered = follower.answered.max(Some(sent_at));
        if is_match {
            follower.matched = follower.matched.max(index.min(last_index));
            follower.next = follower.next.max(follower.matched + 1);
            // Only the answer to the newest message with entries frees the way for more.
            if follower.matched + 1 >= follower.next {
                follower.in_flight_since = None;
            }
        } else if follower.in_flight_since.is_none_or(|at| sent_at >= at) {
            follower.next = (index + 1).max(follower.matched + 1);
            follower.in_flight_since = None;
        }
        self.advance_commit();
        self.replicate_to(now, from, false);
    }

    /// Commits what a quorum has saved, as far as it is of this term.
    pub(super) fn advance_commit(&mut self) {
        let ReplicaRole::Leader(state) = &self.role else {
            return;
        };
        let mut saved: Vec<LogIndex> = self
            .config
            .voters
            .keys()
            .map(|id| {
                if *id == self.id {
                    self.saved
                } else {
                    state.followers.get(id).map_or(0, |f| f.matched)
                }
            })
            .collect();
        saved.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum_saved) = saved.get(self.config.quorum() - 1).copied() else {
            return;
        };
        let is_own_term = self.log.term_at(quorum_saved) == Some(self.hard.term);
        if quorum_saved > self.commit && is_own_term {
            self.commit = quorum_saved;
        }
    }

    pub(super) fn on_snapshot(
        &mut self,
        now: TimePoint,
        from: ReplicaId,
        term: TermNumber,
        image: SnapshotImage,
        sent_at: TimePoint,
    ) {
        if term < self.hard.term {
            self.reply_append(from, 0, false, sent_at);
            return;
        }
        self.follow(now, from, term);
        let index = image.index;
        if self.log.term_at(index) == Some(image.term) {
            // The log holds all of it already, and perhaps more that was acknowledged: a late
            // snapshot must not drop that.
            self.set_commit(index);
        } else if index > self.commit {
            self.install(image);
        }
        self.reply_append(from, index, true, sent_at);
    }

    fn install(&mut self, image: SnapshotImage) {
        self.log = EntryLog::after(image.index, image.term);
        self.commit = image.index;
        self.applied = image.index;
        self.saved = image.index;
        self.unsaved_from = image.index + 1;
        self.restore = Some(image.clone());
        self.snapshot = image;
        self.unsaved_snapshot = true;
        self.refresh_config();
    }
}
