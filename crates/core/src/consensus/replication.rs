//! Log replication from the leader to its followers.

use super::EntryLog;
use super::message::{
    EntryBody, LogEntry, LogIndex, PeerMessage, ReplicaId, SnapshotImage, TermNumber,
};
use super::replica::{AppendBatch, FollowerProgress, ReplicaCore, ReplicaRole};
use crate::time::TimePoint;

impl ReplicaCore {
    pub(super) fn tick_leader(&mut self, now: TimePoint) {
        if self.has_lost_quorum(now) || self.is_removed() {
            let term = self.hard_state.term;
            self.become_follower(now, term, None);
            return;
        }
        self.promote_due_learner(now);
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        if now < state.next_heartbeat {
            return;
        }
        state.next_heartbeat = now + self.settings.heartbeat;
        self.replicate(now, true);
    }

    /// Whether a committed membership change has removed this leader.
    fn is_removed(&self) -> bool {
        !self.config.is_voter(self.id) && self.commit_index >= self.config_index
    }

    fn has_lost_quorum(&self, now: TimePoint) -> bool {
        let since_elected = self
            .elected_at()
            .map(|at| now.since(at))
            .unwrap_or_default();
        let has_stale_quorum = self
            .quorum_ack_time(now)
            .is_none_or(|at| now.since(at) > self.settings.election_max);
        has_stale_quorum && since_elected > self.settings.election_max
    }

    pub(super) fn append_as_leader(&mut self, now: TimePoint, body: EntryBody) -> LogIndex {
        let index = self.log.last_index() + 1;
        let is_config_change = matches!(body, EntryBody::Config(_));
        self.log.push(LogEntry {
            index,
            term: self.hard_state.term,
            body,
        });
        if is_config_change {
            self.refresh_config();
            self.track_members(now);
        }
        self.replicate(now, false);
        index
    }

    fn track_members(&mut self, now: TimePoint) {
        let next_index = self.log.last_index() + 1;
        let members: Vec<ReplicaId> = self.config.members_except(self.id).collect();
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        for id in members {
            state
                .followers
                .entry(id)
                .or_insert_with(|| FollowerProgress::new(now, next_index));
        }
        let config = &self.config;
        state
            .followers
            .retain(|id, _| config.address(*id).is_some());
    }

    /// Sends each follower the entries that it lacks. A follower with entries in flight gets no
    /// more until it has answered, which keeps messages few and large under load.
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
        let has_entries_in_flight = follower.in_flight_since.is_some();
        let has_more = follower.next_index <= last_index;
        if !is_heartbeat && (has_entries_in_flight || !has_more) {
            return;
        }
        let prev_index = follower.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            self.send_snapshot(now, id);
            return;
        };
        let entries = if has_entries_in_flight {
            Vec::new()
        } else {
            let settings = &self.settings;
            self.log
                .batch_after(prev_index, settings.batch_entries, settings.batch_bytes)
        };
        if !entries.is_empty() {
            follower.next_index += entries.len() as u64;
            follower.in_flight_since = Some(now);
        }
        let message = PeerMessage::Append {
            term: self.hard_state.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit_index,
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
        let term = self.hard_state.term;
        if follower.in_flight_since.is_some() {
            // The follower may reject this heartbeat for lack of a matching entry, but it still
            // resets its election timeout.
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
        follower.next_index = image.index + 1;
        self.send_now(
            id,
            PeerMessage::Snapshot {
                term,
                image,
                sent_at: now,
            },
        );
    }

    fn follow_leader(&mut self, now: TimePoint, from: ReplicaId, term: TermNumber) {
        self.become_follower(now, term, Some(from));
        self.last_leader_contact = Some(now);
    }

    fn reply_append(&mut self, to: ReplicaId, index: LogIndex, is_match: bool, sent_at: TimePoint) {
        let term = self.hard_state.term;
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
        if term < self.hard_state.term {
            self.reply_append(from, 0, false, batch.sent_at);
            return;
        }
        self.follow_leader(now, from, term);
        if batch.prev_index < self.log.base_index() {
            // Entries up to the base are already committed here.
            let base = self.log.base_index();
            self.reply_append(from, base, true, batch.sent_at);
            return;
        }
        if self.log.term_at(batch.prev_index) != Some(batch.prev_term) {
            let retry_index = if batch.prev_index > self.log.last_index() {
                self.log.last_index()
            } else {
                self.log.last_index_before_term_at(batch.prev_index)
            };
            self.reply_append(from, retry_index, false, batch.sent_at);
            return;
        }
        let match_index = batch.prev_index + batch.entries.len() as u64;
        self.append_received(batch.entries);
        self.raise_commit_index(batch.commit.min(match_index));
        self.reply_append(from, match_index, true, batch.sent_at);
    }

    fn append_received(&mut self, entries: Vec<LogEntry>) {
        let mut has_config_change = false;
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.truncate_log_from(entry.index);
                    has_config_change = true;
                }
                None => {}
            }
            has_config_change |= matches!(entry.body, EntryBody::Config(_));
            self.log.push(entry);
        }
        if has_config_change {
            self.refresh_config();
        }
    }

    fn truncate_log_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.saved_index = self.saved_index.min(index - 1);
        self.first_unsaved_index = self.first_unsaved_index.min(index);
    }

    fn raise_commit_index(&mut self, index: LogIndex) {
        self.commit_index = self.commit_index.max(index);
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
        if term != self.hard_state.term {
            return;
        }
        let last_index = self.log.last_index();
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        let Some(follower) = state.followers.get_mut(&from) else {
            return;
        };
        follower.last_acked_send = follower.last_acked_send.max(Some(sent_at));
        if is_match {
            follower.match_index = follower.match_index.max(index.min(last_index));
            follower.next_index = follower.next_index.max(follower.match_index + 1);
            // More entries may be sent only once everything sent so far has matched.
            if follower.match_index + 1 >= follower.next_index {
                follower.in_flight_since = None;
            }
        } else if follower.in_flight_since.is_none_or(|at| sent_at >= at) {
            follower.next_index = (index + 1).max(follower.match_index + 1);
            follower.in_flight_since = None;
        }
        self.advance_commit();
        self.replicate_to(now, from, false);
    }

    /// Commits the entries that a quorum has saved, if the last of them is of this term.
    pub(super) fn advance_commit(&mut self) {
        let ReplicaRole::Leader(state) = &self.role else {
            return;
        };
        let mut saved_indexes: Vec<LogIndex> = self
            .config
            .voters
            .keys()
            .map(|id| {
                if *id == self.id {
                    self.saved_index
                } else {
                    state.followers.get(id).map_or(0, |f| f.match_index)
                }
            })
            .collect();
        saved_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum_index) = saved_indexes.get(self.config.quorum_size() - 1).copied() else {
            return;
        };
        let is_own_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
        if quorum_index > self.commit_index && is_own_term {
            self.commit_index = quorum_index;
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
        if term < self.hard_state.term {
            self.reply_append(from, 0, false, sent_at);
            return;
        }
        self.follow_leader(now, from, term);
        let index = image.index;
        if self.log.term_at(index) == Some(image.term) {
            // The log already holds these entries, and maybe later ones that were acknowledged. A
            // delayed snapshot must not drop those.
            self.raise_commit_index(index);
        } else if index > self.commit_index {
            self.install_snapshot(image);
        }
        self.reply_append(from, index, true, sent_at);
    }

    fn install_snapshot(&mut self, image: SnapshotImage) {
        self.log = EntryLog::starting_after(image.index, image.term);
        self.commit_index = image.index;
        self.applied_index = image.index;
        self.saved_index = image.index;
        self.first_unsaved_index = image.index + 1;
        self.restore = Some(image.clone());
        self.snapshot = image;
        self.is_snapshot_unsaved = true;
        self.refresh_config();
    }
}
