//! Messages between replicas, and the entries and snapshots they carry.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::leaving::LeaveStatus;
use super::members::{MemberChange, MemberConfig};
use crate::time::TimePoint;

/// Identifies a replica. A replica that loses its disk must come back with a new identifier.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

/// Raft term.
pub type TermNumber = u64;

/// Position in the log; the first entry has index 1.
pub type LogIndex = u64;

/// Term and vote, which must be on disk before a vote is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: TermNumber,
    /// Candidate that got this replica's vote in that term.
    pub vote: Option<ReplicaId>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that created it.
    pub term: TermNumber,
    /// What the entry does when it is applied.
    pub body: EntryBody,
}

impl LogEntry {
    /// Size of the command in bytes; 0 for entries without one, which are small.
    pub fn command_bytes(&self) -> usize {
        match &self.body {
            EntryBody::Command(command) => command.len(),
            EntryBody::Noop | EntryBody::Config(_) => 0,
        }
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// First entry of a term; commits the entries of earlier terms.
    Noop,
    /// A state machine command, in the state machine's own encoding.
    Command(Arc<[u8]>),
    /// The members from this index on, effective once appended.
    Config(MemberConfig),
}

/// State machine and members after applying the entry at `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotImage {
    /// Index of the last entry that the snapshot covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: TermNumber,
    /// Members as of that entry.
    pub config: MemberConfig,
    /// State machine in its own encoding; empty in the first snapshot of a log.
    pub data: Arc<[u8]>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks whether the receiver would grant a vote, without starting a new term.
    PreVote {
        /// Term of the election that would follow.
        term: TermNumber,
        /// Last log index of the sender.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: TermNumber,
    },
    /// Answer to [`PeerMessage::PreVote`].
    PreVoteReply {
        /// Requested term if granted, else the sender's own term.
        term: TermNumber,
        /// Whether the sender would vote for the receiver.
        is_granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Term of the election.
        term: TermNumber,
        /// Last log index of the sender.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: TermNumber,
    },
    /// Answer to [`PeerMessage::Vote`].
    VoteReply {
        /// Term of the sender.
        term: TermNumber,
        /// Whether the sender votes for the receiver.
        is_granted: bool,
    },
    /// Appends entries; without entries it is a heartbeat.
    Append {
        /// Term of the leader.
        term: TermNumber,
        /// Index just before the first entry.
        prev_index: LogIndex,
        /// Term at that index.
        prev_term: TermNumber,
        /// Consecutive entries after `prev_index`.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit: LogIndex,
        /// When the leader sent it, on its own clock.
        sent_at: TimePoint,
    },
    /// Answer to [`PeerMessage::Append`] and [`PeerMessage::Snapshot`].
    AppendReply {
        /// Term of the sender.
        term: TermNumber,
        /// Last matching index; on rejection, the index after which to retry.
        index: LogIndex,
        /// Whether the log matched at `prev_index`.
        is_match: bool,
        /// `sent_at` of the message that this answers.
        sent_at: TimePoint,
    },
    /// A snapshot for a follower that needs entries which the leader has compacted.
    Snapshot {
        /// Term of the leader.
        term: TermNumber,
        /// Snapshot that replaces the log and state machine of the follower.
        image: SnapshotImage,
        /// When the leader sent it, on its own clock.
        sent_at: TimePoint,
    },
    /// Asks the leader for a membership change.
    Members(MemberChange),
    /// Asks the leader to remove the sender, which is about to stop. Repeated until the answer is
    /// final.
    Leave,
    /// Answer to [`PeerMessage::Leave`].
    LeaveReply(LeaveStatus),
}

impl PeerMessage {
    /// Term that the message carries, if any.
    pub fn term(&self) -> Option<TermNumber> {
        match self {
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Snapshot { term, .. } => Some(*term),
            Self::Members(_) | Self::Leave | Self::LeaveReply(_) => None,
        }
    }
}
