//! State of one replica and the interface that its driver calls.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::entry_log::EntryLog;
use super::leaving::LeaveStatus;
use super::members::MemberConfig;
use super::message::{
    EntryBody, HardState, LogEntry, LogIndex, PeerMessage, ReplicaId, SnapshotImage, TermNumber,
};
use super::settings::ReplicaSettings;
use crate::time::TimePoint;

/// Role of a replica in the current term.
#[derive(Clone, Debug)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for contact with one.
    Follower {
        /// The leader of the term, once it has made contact.
        leader: Option<ReplicaId>,
    },
    /// Asks the voters whether it could win an election.
    PreCandidate {
        /// Replicas that would vote for it.
        votes: BTreeSet<ReplicaId>,
    },
    /// Has started an election.
    Candidate {
        /// Replicas that voted for it, including itself once its own vote is on disk.
        votes: BTreeSet<ReplicaId>,
    },
    /// Leader of the term.
    Leader(LeaderState),
}

/// State that only a leader keeps.
#[derive(Clone, Debug, Default)]
pub struct LeaderState {
    pub(super) followers: BTreeMap<ReplicaId, FollowerProgress>,
    pub(super) next_heartbeat: TimePoint,
    pub(super) elected_at: TimePoint,
    /// Index of the no-op entry that this leader appended when it was elected.
    pub(super) noop_index: LogIndex,
    /// When each member that is about to stop last asked to be removed.
    pub(super) leaving: BTreeMap<ReplicaId, TimePoint>,
}

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub struct FollowerProgress {
    /// When this leader began to send to the follower.
    pub(super) tracked_since: TimePoint,
    /// Index of the next entry to send.
    pub(super) next_index: LogIndex,
    /// Last index that the follower is known to have saved.
    pub(super) match_index: LogIndex,
    /// Send time, on the leader's clock, of the latest message that the follower has answered.
    pub(super) last_acked_send: Option<TimePoint>,
    /// When the unanswered message with entries or a snapshot was sent. It is sent again only once
    /// the follower answers a later heartbeat with a rejection, so that one which answers nothing
    /// has a single such message under way.
    pub(super) in_flight_since: Option<TimePoint>,
}

/// Why a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// This replica is not a serving leader; holds the leader, if known.
    NotLeader(Option<ReplicaId>),
    /// Another membership change is not yet committed.
    ChangePending,
    /// The replica to add is already a member.
    AlreadyMember,
    /// The replica to remove is not a member.
    NoSuchMember,
    /// Fewer than a quorum of the remaining voters are responsive.
    QuorumAtRisk,
}

impl fmt::Display for ProposalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(Some(id)) => write!(f, "replica {} leads", id.0),
            Self::NotLeader(None) => write!(f, "no leader is known"),
            Self::ChangePending => write!(f, "another change of members is under way"),
            Self::AlreadyMember => write!(f, "the replica is a member already"),
            Self::NoSuchMember => write!(f, "the replica is no member"),
            Self::QuorumAtRisk => write!(f, "too few of the remaining voters answer"),
        }
    }
}

impl std::error::Error for ProposalError {}

/// State to write to disk and sync, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SaveBatch {
    /// Snapshot that replaces the log up to its index.
    pub snapshot: Option<SnapshotImage>,
    /// New entries, which replace the entries on disk from the first one's index on.
    pub entries: Vec<LogEntry>,
    /// New term and vote.
    pub hard_state: Option<HardState>,
}

impl SaveBatch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What a [`SaveBatch`] covers, to be passed to [`ReplicaCore::on_saved`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SavedPoint {
    index: LogIndex,
    term: TermNumber,
    hard_state: HardState,
}

/// Work for the driver.
#[derive(Clone, Debug, Default)]
pub struct ReadyBatch {
    /// State to write and sync.
    pub save: SaveBatch,
    /// Passed to [`ReplicaCore::on_saved`] once `save` is synced.
    pub point: SavedPoint,
    /// Messages to send immediately.
    pub send_now: Vec<(ReplicaId, PeerMessage)>,
    /// Messages to send once `save` is synced.
    pub send_after_save: Vec<(ReplicaId, PeerMessage)>,
    /// Snapshot to load into the state machine before `committed` is applied.
    pub restore: Option<SnapshotImage>,
    /// Committed entries to apply, in order.
    pub committed: Vec<LogEntry>,
}

/// A Raft replica without I/O.
#[derive(Clone, Debug)]
pub struct ReplicaCore {
    pub(super) id: ReplicaId,
    pub(super) settings: ReplicaSettings,
    pub(super) hard_state: HardState,
    /// Hard state as of the last completed save.
    pub(super) saved_hard_state: HardState,
    pub(super) log: EntryLog,
    pub(super) commit_index: LogIndex,
    pub(super) applied_index: LogIndex,
    /// Last index that is on this replica's disk.
    pub(super) saved_index: LogIndex,
    pub(super) config: MemberConfig,
    /// Index of the log entry or snapshot that set `config`.
    pub(super) config_index: LogIndex,
    pub(super) snapshot: SnapshotImage,
    pub(super) role: ReplicaRole,
    pub(super) election_deadline: TimePoint,
    pub(super) last_leader_contact: Option<TimePoint>,
    pub(super) rng: Pcg64,
    pub(super) outbox_now: Vec<(ReplicaId, PeerMessage)>,
    pub(super) outbox_after_save: Vec<(ReplicaId, PeerMessage)>,
    pub(super) first_unsaved_index: LogIndex,
    pub(super) is_hard_state_unsaved: bool,
    pub(super) is_snapshot_unsaved: bool,
    pub(super) restore: Option<SnapshotImage>,
    pub(super) leave_status: Option<LeaveStatus>,
}

impl ReplicaCore {
    /// Creates a replica from the contents of its disk. `seed` randomizes its election timeouts.
    ///
    /// A restarted replica does not know when it last had contact with a leader. It assumes contact
    /// at `now`, so that it cannot help to elect another leader while a lease may still be valid.
    pub fn restart(
        now: TimePoint,
        id: ReplicaId,
        settings: ReplicaSettings,
        snapshot: SnapshotImage,
        hard_state: HardState,
        entries: Vec<LogEntry>,
        seed: u64,
    ) -> Self {
        let mut log = EntryLog::starting_after(snapshot.index, snapshot.term);
        for entry in entries.into_iter().filter(|e| e.index > snapshot.index) {
            log.push(entry);
        }
        let mut core = Self {
            id,
            settings,
            hard_state,
            saved_hard_state: hard_state,
            commit_index: snapshot.index,
            applied_index: snapshot.index,
            saved_index: log.last_index(),
            config: snapshot.config.clone(),
            config_index: snapshot.index,
            first_unsaved_index: log.last_index() + 1,
            log,
            restore: (snapshot.index > 0).then(|| snapshot.clone()),
            snapshot,
            role: ReplicaRole::Follower { leader: None },
            election_deadline: now,
            last_leader_contact: Some(now),
            rng: Pcg64::seed_from_u64(seed),
            outbox_now: Vec::new(),
            outbox_after_save: Vec::new(),
            is_hard_state_unsaved: false,
            is_snapshot_unsaved: false,
            leave_status: None,
        };
        core.refresh_config();
        core.schedule_election(now);
        core
    }

    /// Creates a replica of a new log with the initial members `config`.
    pub fn bootstrap(
        now: TimePoint,
        id: ReplicaId,
        settings: ReplicaSettings,
        config: MemberConfig,
        seed: u64,
    ) -> Self {
        let snapshot = SnapshotImage {
            config,
            ..SnapshotImage::default()
        };
        Self::restart(
            now,
            id,
            settings,
            snapshot,
            HardState::default(),
            Vec::new(),
            seed,
        )
    }

    /// Identifier of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current term, which may not be on disk yet.
    pub fn term(&self) -> TermNumber {
        self.hard_state.term
    }

    /// Current term and vote, which may not be on disk yet.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Last index known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Last index returned in [`ReadyBatch::committed`] or covered by a restored snapshot.
    pub fn applied_index(&self) -> LogIndex {
        self.applied_index
    }

    /// Last index in the log, saved or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Last snapshot that was taken here or received from a leader.
    pub fn snapshot(&self) -> &SnapshotImage {
        &self.snapshot
    }

    /// Index of [`Self::snapshot`], 0 before the first one.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.index
    }

    /// The in-memory log.
    pub fn log(&self) -> &EntryLog {
        &self.log
    }

    /// Members as of the last membership entry, committed or not.
    pub fn config(&self) -> &MemberConfig {
        &self.config
    }

    /// Timing and limits.
    pub fn settings(&self) -> &ReplicaSettings {
        &self.settings
    }

    /// Current role.
    pub fn role(&self) -> &ReplicaRole {
        &self.role
    }

    /// Whether the replica leads its term. See [`Self::is_serving`] for whether it may act as such.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// When this replica was elected; `None` if it does not lead.
    pub fn elected_at(&self) -> Option<TimePoint> {
        match &self.role {
            ReplicaRole::Leader(state) => Some(state.elected_at),
            _ => None,
        }
    }

    /// The leader, if known to this replica.
    pub fn leader(&self) -> Option<ReplicaId> {
        match &self.role {
            ReplicaRole::Follower { leader } => *leader,
            ReplicaRole::Leader(_) => Some(self.id),
            _ => None,
        }
    }

    /// Advances time: sends due heartbeats and starts due elections.
    pub fn tick(&mut self, now: TimePoint) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_deadline && self.config.is_voter(self.id) {
            self.start_pre_vote(now);
        }
        self.tick_leaving(now);
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now: TimePoint, from: ReplicaId, message: PeerMessage) {
        if self.adopts_term_of(now, &message) {
            let term = message.term().unwrap_or_default();
            self.become_follower(now, term, None);
        }
        match message {
            PeerMessage::PreVote {
                term,
                last_index,
                last_term,
            } => {
                self.on_pre_vote(now, from, term, last_index, last_term);
            }
            PeerMessage::PreVoteReply { term, is_granted } => {
                self.on_pre_vote_reply(now, from, term, is_granted);
            }
            PeerMessage::Vote {
                term,
                last_index,
                last_term,
            } => {
                self.on_vote(now, from, term, last_index, last_term);
            }
            PeerMessage::VoteReply { term, is_granted } => {
                self.on_vote_reply(now, from, term, is_granted);
            }
            PeerMessage::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                sent_at,
            } => {
                let batch = AppendBatch {
                    prev_index,
                    prev_term,
                    entries,
                    commit,
                    sent_at,
                };
                self.on_append(now, from, term, batch);
            }
            PeerMessage::AppendReply {
                term,
                index,
                is_match,
                sent_at,
            } => {
                self.on_append_reply(now, from, term, index, is_match, sent_at);
            }
            PeerMessage::Snapshot {
                term,
                image,
                sent_at,
            } => {
                self.on_snapshot(now, from, term, image, sent_at);
            }
            PeerMessage::Members(change) => {
                // The sender retries until the members reflect the change.
                let _ = self.propose_member_change(now, &change);
            }
            PeerMessage::Leave => self.on_leave(now, from),
            PeerMessage::LeaveReply(status) => self.on_leave_reply(status),
        }
    }

    /// Proposes a command.
    ///
    /// # Errors
    /// [`ProposalError::NotLeader`] unless this replica is a serving leader.
    pub fn propose(
        &mut self,
        now: TimePoint,
        command: &[u8],
    ) -> Result<(TermNumber, LogIndex), ProposalError> {
        if !self.is_serving(now) {
            return Err(ProposalError::NotLeader(self.leader()));
        }
        let index = self.append_as_leader(now, EntryBody::Command(Arc::from(command)));
        Ok((self.hard_state.term, index))
    }

    /// Returns the pending work. Only one batch may be in progress: call this again only after
    /// [`Self::on_saved`] for the previous batch.
    pub fn take_ready(&mut self) -> ReadyBatch {
        let save = self.take_save();
        let last_index = self.log.last_index();
        ReadyBatch {
            save,
            point: SavedPoint {
                index: last_index,
                term: self.log.last_term(),
                hard_state: self.hard_state,
            },
            send_now: std::mem::take(&mut self.outbox_now),
            send_after_save: std::mem::take(&mut self.outbox_after_save),
            restore: self.restore.take(),
            committed: self.take_committed(),
        }
    }

    /// Returns the work that need not wait for the save in progress: committed entries, and
    /// messages that acknowledge no durable state.
    pub fn take_immediate(&mut self) -> ReadyBatch {
        ReadyBatch {
            send_now: std::mem::take(&mut self.outbox_now),
            restore: self.restore.take(),
            committed: self.take_committed(),
            ..ReadyBatch::default()
        }
    }

    fn take_save(&mut self) -> SaveBatch {
        let entries = self
            .log
            .entries_after(self.first_unsaved_index - 1, usize::MAX);
        self.first_unsaved_index = self.log.last_index() + 1;
        let has_snapshot = std::mem::take(&mut self.is_snapshot_unsaved);
        let has_hard_state = std::mem::take(&mut self.is_hard_state_unsaved);
        SaveBatch {
            snapshot: has_snapshot.then(|| self.snapshot.clone()),
            entries,
            hard_state: has_hard_state.then_some(self.hard_state),
        }
    }

    fn take_committed(&mut self) -> Vec<LogEntry> {
        // The in-memory log may be ahead of this replica's disk: a leader's entry can commit on a
        // quorum of other voters before its own save completes.
        let count = usize::try_from(self.commit_index - self.applied_index).unwrap_or(usize::MAX);
        let committed = self.log.entries_after(self.applied_index, count);
        self.applied_index = self.commit_index;
        committed
    }

    /// Reports that the batch with `point` is synced.
    pub fn on_saved(&mut self, now: TimePoint, point: SavedPoint) {
        self.saved_hard_state = point.hard_state;
        if self.log.term_at(point.index) == Some(point.term) {
            self.saved_index = self.saved_index.max(point.index);
        }
        self.count_own_vote(now);
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Records `data` as the snapshot of the state machine at `index`, and compacts the log except
    /// for [`ReplicaSettings::kept_entries`] entries that lagging followers may still need, with at
    /// most [`ReplicaSettings::kept_bytes`] of commands. Returns the snapshot to save, or `None` if
    /// `index` is not newer than the last snapshot or is not yet applied and saved.
    pub fn compact(&mut self, index: LogIndex, data: Arc<[u8]>) -> Option<SnapshotImage> {
        if index <= self.snapshot.index || index > self.applied_index.min(self.saved_index) {
            return None;
        }
        let term = self.log.term_at(index)?;
        let config = self.config_at(index);
        self.snapshot = SnapshotImage {
            index,
            term,
            config,
            data,
        };
        let keep_from = index.saturating_sub(self.settings.kept_entries).max(
            self.log
                .start_of_last_bytes(index, self.settings.kept_bytes),
        );
        if keep_from > self.log.base_index() {
            self.log.compact_to(keep_from);
        }
        Some(self.snapshot.clone())
    }

    fn config_at(&self, index: LogIndex) -> MemberConfig {
        let mut candidate = index;
        while candidate > self.log.base_index() {
            if let Some(LogEntry {
                body: EntryBody::Config(config),
                ..
            }) = self.log.get(candidate)
            {
                return config.clone();
            }
            candidate -= 1;
        }
        self.snapshot.config.clone()
    }

    pub(super) fn refresh_config(&mut self) {
        let latest = self.log.latest_config().map(|(i, c)| (i, c.clone()));
        let (index, config) =
            latest.unwrap_or_else(|| (self.snapshot.index, self.snapshot.config.clone()));
        self.config_index = index;
        self.config = config;
    }

    pub(super) fn schedule_election(&mut self, now: TimePoint) {
        let min = self.settings.election_min.as_micros();
        let max = self.settings.election_max.as_micros().max(min + 1);
        let timeout = self.rng.random_range(min..max);
        let timeout = u64::try_from(timeout).unwrap_or(u64::MAX);
        self.election_deadline = now + std::time::Duration::from_micros(timeout);
    }

    pub(super) fn send_now(&mut self, to: ReplicaId, message: PeerMessage) {
        self.outbox_now.push((to, message));
    }

    pub(super) fn send_after_save(&mut self, to: ReplicaId, message: PeerMessage) {
        self.outbox_after_save.push((to, message));
    }
}

/// Fields of [`PeerMessage::Append`] other than the term.
#[derive(Clone, Debug)]
pub(super) struct AppendBatch {
    pub prev_index: LogIndex,
    pub prev_term: TermNumber,
    pub entries: Vec<LogEntry>,
    pub commit: LogIndex,
    pub sent_at: TimePoint,
}
