//! The replicated state machine, and the proposals whose senders wait for the outcome.

use std::collections::BTreeMap;
use std::sync::Arc;

use chestnutloft_core::consensus::{EntryBody, LogEntry, LogIndex, SnapshotImage, TermNumber};
use chestnutloft_core::state::{KeeperCommand, KeeperOutcome, KeeperState, StampedCommand};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::message::RunReply;
use tokio::sync::oneshot;

struct PendingProposal {
    term: TermNumber,
    reply: oneshot::Sender<RunReply>,
}

/// Replicated state with the proposals that wait to be applied.
#[derive(Default)]
pub struct StateMachine {
    state: KeeperState,
    pending: BTreeMap<LogIndex, PendingProposal>,
}

impl StateMachine {
    /// Creates an empty state machine.
    pub fn new() -> Self {
        Self::default()
    }

    /// The state after the last applied entry.
    pub fn state(&self) -> &KeeperState {
        &self.state
    }

    /// Restores the state from a snapshot. The first snapshot of a log has no data, and is ignored.
    pub fn restore(&mut self, image: &SnapshotImage) {
        if image.data.is_empty() {
            return;
        }
        match postcard::from_bytes(&image.data) {
            Ok(state) => self.state = state,
            Err(error) => {
                spdlog::critical!(
                    "state: snapshot at index {} cannot be decoded, the state stays as it was: {error}.",
                    image.index
                );
            }
        }
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Arc<[u8]> {
        postcard::to_stdvec(&self.state).unwrap_or_default().into()
    }

    /// Encodes commands for the log, with the leader's Unix time.
    pub fn encode_commands(commands: Vec<KeeperCommand>, stamp: TimePoint) -> Vec<u8> {
        let stamped = StampedCommand {
            stamp,
            command: KeeperCommand::Batch(commands),
        };
        postcard::to_stdvec(&stamped).unwrap_or_default()
    }

    /// Registers `reply` to be answered once the entry at `index` is applied.
    pub fn add_pending(
        &mut self,
        term: TermNumber,
        index: LogIndex,
        reply: oneshot::Sender<RunReply>,
    ) {
        self.pending.insert(index, PendingProposal { term, reply });
    }

    /// Applies a committed entry, and answers the proposal that waits for it.
    pub fn apply(&mut self, entry: &LogEntry) {
        let outcomes = match &entry.body {
            EntryBody::Command(bytes) => self.apply_command(entry.index, bytes),
            EntryBody::Noop | EntryBody::Config(_) => Vec::new(),
        };
        if let Some(proposal) = self.pending.remove(&entry.index) {
            // An entry of another leader may have replaced the proposed one.
            let reply = if proposal.term == entry.term {
                RunReply::Done(outcomes)
            } else {
                RunReply::Unsure
            };
            let _ = proposal.reply.send(reply);
        }
    }

    fn apply_command(&mut self, index: LogIndex, bytes: &[u8]) -> Vec<KeeperOutcome> {
        let Ok(stamped) = postcard::from_bytes::<StampedCommand>(bytes) else {
            spdlog::critical!("state: log entry {index} cannot be decoded and is skipped.");
            return Vec::new();
        };
        match self.state.apply(&stamped) {
            KeeperOutcome::Batch(outcomes) => outcomes,
            single => vec![single],
        }
    }

    /// Answers all pending proposals with [`RunReply::Unsure`], after this keeper lost leadership.
    pub fn fail_pending(&mut self) {
        for proposal in std::mem::take(&mut self.pending).into_values() {
            let _ = proposal.reply.send(RunReply::Unsure);
        }
    }
}
