//! Messages between replicas and records of the log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::members::{MemberChange, MemberConfig};
use crate::time::TimePoint;

/// Number of a replica. A replica that loses its disk comes back under a new number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

/// Election term.
pub type TermNumber = u64;

/// Position in the log; the first entry has index 1.
pub type LogIndex = u64;

/// What must be saved before a vote is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: TermNumber,
    /// Vote in that term.
    pub vote: Option<ReplicaId>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position.
    pub index: LogIndex,
    /// Term of the leader that created it.
    pub term: TermNumber,
    /// Content.
    pub body: EntryBody,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// First entry of a term; commits the entries of earlier terms.
    Noop,
    /// A command of the state machine.
    Command(Arc<[u8]>),
    /// The members from here on.
    Config(MemberConfig),
}

/// State machine and members as of one index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotImage {
    /// Newest entry that the snapshot contains.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: TermNumber,
    /// Members as of that entry.
    pub config: MemberConfig,
    /// State machine, in its own encoding.
    pub data: Arc<[u8]>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks whether a vote would be granted, without starting a term.
    PreVote {
        /// Term that the election would have.
        term: TermNumber,
        /// Newest log index of the sender.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: TermNumber,
    },
    /// Answer to [`PeerMessage::PreVote`].
    PreVoteReply {
        /// Term asked about, or the newer term of the sender.
        term: TermNumber,
        /// Whether the vote would be granted.
        is_granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Term of the election.
        term: TermNumber,
        /// Newest log index of the sender.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: TermNumber,
    },
    /// Answer to [`PeerMessage::Vote`].
    VoteReply {
        /// Term of the sender.
        term: TermNumber,
        /// Whether the vote is granted.
        is_granted: bool,
    },
    /// Entries, or a heartbeat where there are none.
    Append {
        /// Term of the leader.
        term: TermNumber,
        /// Index before the first entry.
        prev_index: LogIndex,
        /// Term at that index.
        prev_term: TermNumber,
        /// Entries.
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
        /// Newest index known to match; on rejection, where to try next.
        index: LogIndex,
        /// Whether the entries fitted.
        is_match: bool,
        /// `sent_at` of the message answered.
        sent_at: TimePoint,
    },
    /// A snapshot for a follower that lags behind the log.
    Snapshot {
        /// Term of the leader.
        term: TermNumber,
        /// The snapshot.
        image: SnapshotImage,
        /// When the leader sent it, on its own clock.
        sent_at: TimePoint,
    },
    /// Asks the leader for a change of members.
    Members(MemberChange),
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
            Self::Members(_) => None,
        }
    }
}
