//! Raft consensus with pre-votes, leader leases and single-server membership changes.
//!
//! [`ReplicaCore`] does no I/O. Its driver passes in ticks, messages and proposals, writes and
//! syncs the batch that [`ReplicaCore::take_ready`] returns, and then calls
//! [`ReplicaCore::on_saved`]. Messages that acknowledge durable state are sent only after that
//! sync.

mod election;
mod entry_log;
pub mod journal;
mod lease;
mod leaving;
mod members;
mod message;
mod replica;
mod replication;
mod settings;

pub use entry_log::EntryLog;
pub use leaving::LeaveStatus;
pub use members::{MemberChange, MemberConfig};
pub use message::{
    EntryBody, HardState, LogEntry, LogIndex, PeerMessage, ReplicaId, SnapshotImage, TermNumber,
};
pub use replica::{ProposalError, ReadyBatch, ReplicaCore, ReplicaRole, SaveBatch, SavedPoint};
pub use settings::ReplicaSettings;
