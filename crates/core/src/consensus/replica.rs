//! One replica of the log: its state and what the driver calls.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::entry_log::EntryLog;
use super::members::MemberConfig;
use super::message::{
    EntryBody, HardState, LogEntry, LogIndex, PeerMessage, ReplicaId, SnapshotImage, TermNumber,
};
use super::settings::ReplicaSettings;
use crate::time::TimePoint;

/// What a replica does at present.
#[derive(Clone, Debug)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for one.
    Follower {
        /// The leader of the term, once heard.
        leader: Option<ReplicaId>,
    },
    /// Asks whether it could win an election.
    PreCandidate {
        /// Replicas that would vote for it.
        granted: BTreeSet<ReplicaId>,
    },
    /// Stands for election.
    Candidate {
        /// Replicas that voted for it; itself only once its vote is saved.
        granted: BTreeSet<ReplicaId>,
    },
    /// Leads the term.
    Leader(LeaderState),
}

/// What a leader knows of its followers.
#[derive(Clone, Debug, Default)]
pub struct LeaderState {
    pub(super) followers: BTreeMap<ReplicaId, FollowerState>,
    pub(super) next_heartbeat: TimePoint,
    pub(super) elected_at: TimePoint,
    pub(super) noop_index: LogIndex,
}

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
pub struct FollowerState {
    /// When this leader began to send to it.
    pub(super) tracked_since: TimePoint,
    pub(super) next: LogIndex,
    pub(super) matched: LogIndex,
    /// Send time of the newest message that the follower has answered.
    pub(super) answered: Option<TimePoint>,
    /// A message with entries is under way since then.
    pub(super) in_flight_since: Option<TimePoint>,
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// This replica does not lead, or its lease is over; the leader, if known.
    NotLeader(Option<ReplicaId>),
    /// A change of members is under way.
    ChangePending,
    /// The replica is a member already.
    AlreadyMember,
    /// The replica is no member.
    NoSuchMember,
    /// Too few of the remaining voters answer.
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

/// What must be saved, in this order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SaveBatch {
    /// Snapshot that replaces the log up to its index.
    pub snapshot: Option<SnapshotImage>,
    /// New entries; they replace those on disk from the first one's index on.
    pub entries: Vec<LogEntry>,
    /// New term and vote.
    pub hard_state: Option<HardState>,
}

impl SaveBatch {
    /// Whether there is nothing to save.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// How far a save reaches, to be handed back to [`ReplicaCore::on_saved`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SavedPoint {
    index: LogIndex,
    term: TermNumber,
    hard: HardState,
}

/// What the driver has to do now.
#[derive(Clone, Debug, Default)]
pub struct ReadyBatch {
    /// To be saved and synced.
    pub save: SaveBatch,
    /// Handed back once `save` is synced.
    pub point: SavedPoint,
    /// To be sent at once.
    pub send_now: Vec<(ReplicaId, PeerMessage)>,
    /// To be sent once `save` is synced.
    pub send_after_save: Vec<(ReplicaId, PeerMessage)>,
    /// Snapshot that replaces the state machine, before `committed` is applied.
    pub restore: Option<SnapshotImage>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry>,
}

/// One replica of the log.
#[derive(Clone, Debug)]
pub struct ReplicaCore {
    pub(super) id: ReplicaId,
    pub(super) settings: ReplicaSettings,
    pub(super) hard: HardState,
    pub(super) saved_hard: HardState,
    pub(super) log: EntryLog,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    pub(super) saved: LogIndex,
    pub(super) config: MemberConfig,
    pub(super) config_index: LogIndex,
    pub(super) snapshot: SnapshotImage,
    pub(super) role: ReplicaRole,
    pub(super) election_at: TimePoint,
    pub(super) heard_leader_at: Option<TimePoint>,
    pub(super) rng: Pcg64,
    pub(super) outbox_now: Vec<(ReplicaId, PeerMessage)>,
    pub(super) outbox_after_save: Vec<(ReplicaId, PeerMessage)>,
    pub(super) unsaved_from: LogIndex,
    pub(super) unsaved_hard: bool,
    pub(super) unsaved_snapshot: bool,
    pub(super) restore: Option<SnapshotImage>,
}

impl ReplicaCore {
    /// A replica that starts from what its disk holds.
    ///
    /// A replica that restarts has forgotten when it last heard a leader. It therefore counts as
    /// having heard one at `now`, so that it cannot help to end a lease that still runs.
    pub fn restart(
        now: TimePoint,
        id: ReplicaId,
        settings: ReplicaSettings,
        snapshot: SnapshotImage,
        hard: HardState,
        entries: Vec<LogEntry>,
        seed: u64,
    ) -> Self {
        let mut log = EntryLog::after(snapshot.index, snapshot.term);
        for entry in entries.into_iter().filter(|e| e.index > snapshot.index) {
            log.push(entry);
        }
        let mut core = Self {
            id,
            settings,
            hard,
            saved_hard: hard,
            commit: snapshot.index,
            applied: snapshot.index,
            saved: log.last_index(),
            config: snapshot.config.clone(),
            config_index: snapshot.index,
            unsaved_from: log.last_index() + 1,
            log,
            restore: (snapshot.index > 0).then(|| snapshot.clone()),
            snapshot,
            role: ReplicaRole::Follower { leader: None },
            election_at: now,
            heard_leader_at: Some(now),
            rng: Pcg64::seed_from_u64(seed),
            outbox_now: Vec::new(),
            outbox_after_save: Vec::new(),
            unsaved_hard: false,
            unsaved_snapshot: false,
        };
        core.refresh_config();
        core.schedule_election(now);
        core
    }

    /// A first replica of a new log: `config` names the first voters.
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

    /// Number of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Term of this replica.
    pub fn term(&self) -> TermNumber {
        self.hard.term
    }

    /// Term and vote.
    pub fn hard(&self) -> HardState {
        self.hard
    }

    /// Newest committed index.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Newest index handed out for application.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Newest index in the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &SnapshotImage {
        &self.snapshot
    }

    /// Index of the newest snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.index
    }

    /// The log in memory.
    pub fn log(&self) -> &EntryLog {
        &self.log
    }

    /// Members in force.
    pub fn config(&self) -> &MemberConfig {
        &self.config
    }

    /// What the replica does at present.
    pub fn role(&self) -> &ReplicaRole {
        &self.role
    }

    /// Whether the replica leads its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// When this replica was elected, if it leads.
    pub fn elected_at(&self) -> Option<TimePoint> {
        match &self.role {
            ReplicaRole::Leader(state) => Some(state.elected_at),
            _ => None,
        }
    }

    /// The leader, as far as this replica knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        match &self.role {
            ReplicaRole::Follower { leader } => *leader,
            ReplicaRole::Leader(_) => Some(self.id),
            _ => None,
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: TimePoint) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_at && self.config.is_voter(self.id) {
            self.start_pre_vote(now);
        }
    }

    /// Takes a message from another replica.
    pub fn receive(&mut self, now: TimePoint, from: ReplicaId, message: PeerMessage) {
        if self.is_newer_term(now, &message) {
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
                // The sender repeats the request until the change shows in the members.
                let _ = self.propose_members(now, &change);
            }
        }
    }

    /// Proposes a command.
    ///
    /// # Errors
    /// [`ProposalError::NotLeader`] when this replica does not lead or its lease is over.
    pub fn propose(
        &mut self,
        now: TimePoint,
        command: &[u8],
    ) -> Result<(TermNumber, LogIndex), ProposalError> {
        if !self.is_serving(now) {
            return Err(ProposalError::NotLeader(self.leader()));
        }
        let index = self.append_own(now, EntryBody::Command(Arc::from(command)));
        Ok((self.hard.term, index))
    }

    /// What the driver has to do now. One batch is under way at a time: the next is taken after
    /// [`Self::on_saved`] for this one.
    pub fn take_ready(&mut self) -> ReadyBatch {
        let save = self.take_save();
        let last_index = self.log.last_index();
        ReadyBatch {
            save,
            point: SavedPoint {
                index: last_index,
                term: self.log.last_term(),
                hard: self.hard,
            },
            send_now: std::mem::take(&mut self.outbox_now),
            send_after_save: std::mem::take(&mut self.outbox_after_save),
            restore: self.restore.take(),
            committed: self.take_committed(),
        }
    }

    /// What can be done while a save is under way: messages that promise nothing durable, and
    /// committed entries.
    pub fn take_immediate(&mut self) -> ReadyBatch {
        ReadyBatch {
            send_now: std::mem::take(&mut self.outbox_now),
            restore: self.restore.take(),
            committed: self.take_committed(),
            ..ReadyBatch::default()
        }
    }

    fn take_save(&mut self) -> SaveBatch {
        let entries = self.log.after_index(self.unsaved_from - 1, usize::MAX);
        self.unsaved_from = self.log.last_index() + 1;
        let has_snapshot = std::mem::take(&mut self.unsaved_snapshot);
        let has_hard = std::mem::take(&mut self.unsaved_hard);
        SaveBatch {
            snapshot: has_snapshot.then(|| self.snapshot.clone()),
            entries,
            hard_state: has_hard.then_some(self.hard),
        }
    }

    fn take_committed(&mut self) -> Vec<LogEntry> {
        // A leader's own entries may commit by others' saves, but they are applied only from
        // the part of the log that is in memory.
        let count = usize::try_from(self.commit - self.applied).unwrap_or(usize::MAX);
        let committed = self.log.after_index(self.applied, count);
        self.applied = self.commit;
        committed
    }

    /// Learns that the batch with `point` is synced.
    pub fn on_saved(&mut self, now: TimePoint, point: SavedPoint) {
        self.saved_hard = point.hard;
        if self.log.term_at(point.index) == Some(point.term) {
            self.saved = self.saved.max(point.index);
        }
        self.count_own_vote(now);
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Replaces the log up to `index` by a snapshot of the state machine as of `index`, and keeps
    /// some entries for followers that lag. Returns the snapshot to be saved.
    pub fn compact(&mut self, index: LogIndex, data: Arc<[u8]>) -> Option<SnapshotImage> {
        if index <= self.snapshot.index || index > self.applied.min(self.saved) {
            return None;
        }
        let term = self.log.term_at(index)?;
        let config = self.config_as_of(index);
        self.snapshot = SnapshotImage {
            index,
            term,
            config,
            data,
        };
        let keep_from = index.saturating_sub(self.settings.kept_entries);
        if keep_from > self.log.base_index() {
            self.log.compact_to(keep_from);
        }
        Some(self.snapshot.clone())
    }

    fn config_as_of(&self, index: LogIndex) -> MemberConfig {
        let mut probe = index;
        while probe > self.log.base_index() {
            if let Some(LogEntry {
                body: EntryBody::Config(config),
                ..
            }) = self.log.get(probe)
            {
                return config.clone();
            }
            probe -= 1;
        }
        self.snapshot.config.clone()
    }

    pub(super) fn refresh_config(&mut self) {
        let newest = self.log.newest_config().map(|(i, c)| (i, c.clone()));
        let (index, config) =
            newest.unwrap_or_else(|| (self.snapshot.index, self.snapshot.config.clone()));
        self.config_index = index;
        self.config = config;
    }

    pub(super) fn schedule_election(&mut self, now: TimePoint) {
        let min = self.settings.election_min.as_micros();
        let max = self.settings.election_max.as_micros().max(min + 1);
        let wait = self.rng.random_range(min..max);
        let wait = u64::try_from(wait).unwrap_or(u64::MAX);
        self.election_at = now + std::time::Duration::from_micros(wait);
    }

    pub(super) fn send_now(&mut self, to: ReplicaId, message: PeerMessage) {
        self.outbox_now.push((to, message));
    }

    pub(super) fn send_after_save(&mut self, to: ReplicaId, message: PeerMessage) {
        self.outbox_after_save.push((to, message));
    }
}

/// Entries as an append message carries them.
#[derive(Clone, Debug)]
pub(super) struct AppendBatch {
    pub prev_index: LogIndex,
    pub prev_term: TermNumber,
    pub entries: Vec<LogEntry>,
    pub commit: LogIndex,
    pub sent_at: TimePoint,
}
