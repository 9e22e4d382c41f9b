//! Client for the keepers: finds the leader, sends commands in batches and retries them.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{Semaphore, mpsc, oneshot};

use chestnutloft_core::state::{EntryHeartbeat, KeeperCommand, KeeperOutcome, LeaseGrant};
use chestnutloft_wire::message::{HeartbeatReply, RunCall, RunReply};
use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::{CallError, RpcClient};

/// Timeout of one command batch sent to one keeper.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of one heartbeat: short, so that the lease does not expire while the entry waits for a
/// keeper that is cut off.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a command over all attempts: longer than a leader election.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of commands in one batch.
const MAX_BATCH_COMMANDS: usize = 256;
/// Maximum number of batches in flight.
const MAX_CONCURRENT_BATCHES: usize = 3;

/// Why a command has no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeeperError {
    /// No keeper accepted the command in time; it was certainly not applied.
    NotApplied,
    /// A keeper may have received the command, but none confirmed it in time; it may have been
    /// applied.
    OutcomeUnknown,
}

impl fmt::Display for KeeperError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = COMMAND_TIMEOUT.as_secs();
        match self {
            Self::NotApplied => write!(f, "no keeper took the command for {seconds} s"),
            Self::OutcomeUnknown => write!(f, "no keeper answered for {seconds} s"),
        }
    }
}

impl std::error::Error for KeeperError {}

struct PendingCommand {
    command: KeeperCommand,
    reply: oneshot::Sender<Result<KeeperOutcome, KeeperError>>,
}

/// A handle for calls to the keepers. Clones share one command queue.
#[derive(Clone)]
pub struct KeeperClient {
    leader: Arc<LeaderTracker>,
    commands: mpsc::UnboundedSender<PendingCommand>,
}

/// Addresses of the keepers and the address of the leader, if known.
struct LeaderTracker {
    rpc_client: RpcClient,
    keeper_addresses: Vec<String>,
    next_index: AtomicUsize,
    known_leader: Mutex<Option<String>>,
}

impl LeaderTracker {
    /// Address of the known leader, otherwise of the next keeper in turn.
    fn next_address(&self) -> String {
        let known_leader = self
            .known_leader
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        known_leader.clone().unwrap_or_else(|| {
            let index = self.next_index.load(Ordering::Relaxed);
            self.keeper_addresses[index % self.keeper_addresses.len()].clone()
        })
    }

    /// Sets the known leader. `None` selects the next keeper in turn.
    fn set_leader(&self, leader: Option<String>) {
        if leader.is_none() {
            self.next_index.fetch_add(1, Ordering::Relaxed);
        }
        *self
            .known_leader
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = leader;
    }
}

impl KeeperClient {
    /// Starts the task that sends queued commands.
    pub fn start(rpc_client: RpcClient, keeper_addresses: Vec<String>) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        let leader = Arc::new(LeaderTracker {
            rpc_client,
            keeper_addresses,
            next_index: AtomicUsize::new(0),
            known_leader: Mutex::new(None),
        });
        tokio::spawn(send_batches(Arc::clone(&leader), receiver));
        Self { leader, commands }
    }

    /// Runs a command. Commands are idempotent, so an unanswered attempt is retried.
    ///
    /// # Errors
    /// [`KeeperError`], which says whether the command may have been applied.
    pub async fn run(&self, command: KeeperCommand) -> Result<KeeperOutcome, KeeperError> {
        let (reply, answer) = oneshot::channel();
        let pending = PendingCommand { command, reply };
        if self.commands.send(pending).is_err() {
            return Err(KeeperError::NotApplied);
        }
        answer.await.unwrap_or(Err(KeeperError::OutcomeUnknown))
    }

    /// Sends a heartbeat to the known leader, otherwise to the next keeper in turn. Does not retry.
    ///
    /// # Errors
    /// The reason why no lease was granted.
    pub async fn send_heartbeat(&self, heartbeat: &EntryHeartbeat) -> Result<LeaseGrant, String> {
        let address = self.leader.next_address();
        let rpc_client = &self.leader.rpc_client;
        let reply = rpc_client
            .call(&address, Method::Beat, heartbeat, HEARTBEAT_TIMEOUT)
            .await;
        match reply {
            Ok(HeartbeatReply::Grant(grant)) => Ok(*grant),
            Ok(HeartbeatReply::NotLeader(known_leader)) => {
                self.leader.set_leader(known_leader);
                Err(format!("keeper {address} is not the leader"))
            }
            Ok(HeartbeatReply::Superseded) => {
                Err("a newer process runs under the name of this entry".to_owned())
            }
            Err(error) => {
                self.leader.set_leader(None);
                Err(error.to_string())
            }
        }
    }
}

async fn send_batches(
    leader: Arc<LeaderTracker>,
    mut receiver: mpsc::UnboundedReceiver<PendingCommand>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_BATCHES));
    while let Some(first) = receiver.recv().await {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_COMMANDS
            && let Ok(next) = receiver.try_recv()
        {
            batch.push(next);
        }
        let leader = Arc::clone(&leader);
        tokio::spawn(async move {
            run_batch(&leader, batch).await;
            drop(permit);
        });
    }
}

async fn run_batch(leader: &LeaderTracker, batch: Vec<PendingCommand>) {
    let call = RunCall {
        commands: batch
            .iter()
            .map(|pending| pending.command.clone())
            .collect(),
    };
    let mut may_be_applied = false;
    let attempts = run_with_retries(leader, &call, &mut may_be_applied);
    if let Ok(outcomes) = tokio::time::timeout(COMMAND_TIMEOUT, attempts).await {
        for (pending, outcome) in batch.into_iter().zip(outcomes) {
            let _ = pending.reply.send(Ok(outcome));
        }
    } else {
        let error = if may_be_applied {
            KeeperError::OutcomeUnknown
        } else {
            KeeperError::NotApplied
        };
        for pending in batch {
            let _ = pending.reply.send(Err(error));
        }
    }
}

async fn run_with_retries(
    leader: &LeaderTracker,
    call: &RunCall,
    may_be_applied: &mut bool,
) -> Vec<KeeperOutcome> {
    loop {
        let address = leader.next_address();
        let reply = leader
            .rpc_client
            .call(&address, Method::Run, call, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(RunReply::Done(outcomes)) if outcomes.len() == call.commands.len() => {
                return outcomes;
            }
            Ok(RunReply::NotLeader(known_leader)) => leader.set_leader(known_leader),
            Err(CallError::NotSent(_) | CallError::Refused(_)) => leader.set_leader(None),
            Ok(RunReply::Done(_) | RunReply::Unsure)
            | Err(CallError::Unanswered(_) | CallError::Malformed) => {
                *may_be_applied = true;
                leader.set_leader(None);
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
