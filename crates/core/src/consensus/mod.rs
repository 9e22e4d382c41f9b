//! A replicated log as a state machine without input and output.
//!
//! The driver feeds ticks, messages and proposals in, saves what [`ReplicaCore::take_ready`]
//! returns, and reports back with [`ReplicaCore::on_saved`]. Messages that promise something
//! durable leave only after that save.

mod election;
mod entry_log;
pub mod journal;
mod lease;
mod members;
mod message;
mod replica;
mod replication;
mod settings;

pub use entry_log::EntryLog;
pub use members::{MemberChange, MemberConfig};
pub use message::{
    EntryBody, HardState, LogEntry, LogIndex, PeerMessage, ReplicaId, SnapshotImage, TermNumber,
};
pub use replica::{ProposalError, ReadyBatch, ReplicaCore, ReplicaRole, SaveBatch, SavedPoint};
pub use settings::ReplicaSettings;
