//! The state machine beside the log, and the callers that wait for its answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use chestnutloft_core::consensus::{EntryBody, LogEntry, LogIndex, SnapshotImage, TermNumber};
use chestnutloft_core::state::{KeeperCommand, KeeperOutcome, KeeperState, StampedCommand};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::message::RunReply;
use tokio::sync::oneshot;

struct WaitingCall {
    term: TermNumber,
    reply: oneshot::Sender<RunReply>,
}

/// The state machine and those who wait for it.
#[derive(Default)]
pub struct StateHost {
    state: KeeperState,
    waiting: BTreeMap<LogIndex, WaitingCall>,
}

impl StateHost {
    /// An empty state machine.
    pub fn new() -> Self {
        Self::default()
    }

    /// The state.
    pub fn state(&self) -> &KeeperState {
        &self.state
    }

    /// Replaces the state by that of a snapshot. The first snapshot of a log is empty.
    pub fn restore(&mut self, image: &SnapshotImage) {
        if image.data.is_empty() {
            return;
        }
        match postcard::from_bytes(&image.data) {
            Ok(state) => self.state = state,
            Err(error) => {
                spdlog::critical!("state: snapshot {} does not decode: {error}.", image.index);
            }
        }
    }

    /// The state in the encoding of snapshots.
    pub fn encode(&self) -> Arc<[u8]> {
        postcard::to_stdvec(&self.state).unwrap_or_default().into()
    }

    /// Encodes commands for the log.
    pub fn encode_commands(commands: Vec<KeeperCommand>, stamp: TimePoint) -> Vec<u8> {
        let stamped = StampedCommand {
            stamp,
            command: KeeperCommand::Batch(commands),
        };
        postcard::to_stdvec(&stamped).unwrap_or_default()
    }

    /// Notes that `reply` waits for the entry at `index`.
    pub fn wait_for(
        &mut self,
        term: TermNumber,
        index: LogIndex,
        reply: oneshot::Sender<RunReply>,
    ) {
        self.waiting.insert(index, WaitingCall { term, reply });
    }

    /// Applies a committed entry and answers who waits for it.
    pub fn apply(&mut self, entry: &LogEntry) {
        let outcomes = match &entry.body {
            EntryBody::Command(bytes) => self.run(entry.index, bytes),
            EntryBody::Noop | EntryBody::Config(_) => Vec::new(),
        };
        if let Some(call) = self.waiting.remove(&entry.index) {
            // Another leader's entry may have taken the place of the one waited for.
            let reply = if call.term == entry.term {
                RunReply::Done(outcomes)
            } else {
                RunReply::Unsure
            };
            let _ = call.reply.send(reply);
        }
    }

    fn run(&mut self, index: LogIndex, bytes: &[u8]) -> Vec<KeeperOutcome> {
        let Ok(stamped) = postcard::from_bytes::<StampedCommand>(bytes) else {
            spdlog::critical!("state: entry {index} does not decode.");
            return Vec::new();
        };
        match self.state.apply(&stamped) {
            KeeperOutcome::Batch(outcomes) => outcomes,
            single => vec![single],
        }
    }

    /// Tells all who wait that this keeper leads no more.
    pub fn abandon(&mut self) {
        for (_, call) in std::mem::take(&mut self.waiting) {
            let _ = call.reply.send(RunReply::Unsure);
        }
    }
}
