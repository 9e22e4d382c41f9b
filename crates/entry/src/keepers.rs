//! Calls to the keepers: finds the leader, batches commands, repeats what got no answer.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{Semaphore, mpsc, oneshot};

use chestnutloft_core::state::{EntryHeartbeat, KeeperCommand, KeeperOutcome, LeaseGrant};
use chestnutloft_wire::message::{BeatReply, RunCall, RunReply};
use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::{CallError, PeerCaller};

/// Time for one call to a keeper.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a heartbeat: a keeper that is cut off must not use up the lease.
const BEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a command over all tries: longer than an election.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(4);
/// Wait between two tries.
const TRY_WAIT: Duration = Duration::from_millis(60);
/// Commands in one batch at most.
const BATCH: usize = 256;
/// Batches under way at once.
const PARALLEL_BATCHES: usize = 3;

/// Why a command got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeeperError {
    /// No keeper took it in time, and none can have applied it.
    NotApplied,
    /// No keeper answered in time; it may be applied or not.
    Unsure,
}

impl fmt::Display for KeeperError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = COMMAND_TIMEOUT.as_secs();
        match self {
            Self::NotApplied => write!(f, "no keeper took the command for {seconds} s"),
            Self::Unsure => write!(f, "no keeper answered for {seconds} s"),
        }
    }
}

impl std::error::Error for KeeperError {}

struct PendingCommand {
    command: KeeperCommand,
    reply: oneshot::Sender<Result<KeeperOutcome, KeeperError>>,
}

/// A handle for calls to the keepers; cheap to clone.
#[derive(Clone)]
pub struct KeeperClient {
    route: Arc<LeaderRoute>,
    commands: mpsc::UnboundedSender<PendingCommand>,
}

/// Addresses of the keepers and the one to ask first.
struct LeaderRoute {
    caller: PeerCaller,
    addresses: Vec<String>,
    turn: AtomicUsize,
    hint: Mutex<Option<String>>,
}

impl LeaderRoute {
    fn target(&self) -> String {
        let hint = self.hint.lock().unwrap_or_else(PoisonError::into_inner);
        hint.clone().unwrap_or_else(|| {
            let turn = self.turn.load(Ordering::Relaxed);
            self.addresses[turn % self.addresses.len()].clone()
        })
    }

    fn follow(&self, hint: Option<String>) {
        if hint.is_none() {
            self.turn.fetch_add(1, Ordering::Relaxed);
        }
        *self.hint.lock().unwrap_or_else(PoisonError::into_inner) = hint;
    }
}

impl KeeperClient {
    /// Starts the task that sends commands.
    pub fn start(caller: PeerCaller, addresses: Vec<String>) -> Self {
        let (commands, inbox) = mpsc::unbounded_channel();
        let route = Arc::new(LeaderRoute {
            caller,
            addresses,
            turn: AtomicUsize::new(0),
            hint: Mutex::new(None),
        });
        tokio::spawn(batch_loop(Arc::clone(&route), inbox));
        Self { route, commands }
    }

    /// Runs a command. Commands are idempotent, so a try without an answer is repeated.
    ///
    /// # Errors
    /// [`KeeperError`] saying whether the command may be applied.
    pub async fn run(&self, command: KeeperCommand) -> Result<KeeperOutcome, KeeperError> {
        let (reply, answer) = oneshot::channel();
        let pending = PendingCommand { command, reply };
        if self.commands.send(pending).is_err() {
            return Err(KeeperError::NotApplied);
        }
        answer.await.unwrap_or(Err(KeeperError::Unsure))
    }

    /// Sends a heartbeat to the leader, as far as known.
    ///
    /// # Errors
    /// A sentence when no lease was granted.
    pub async fn beat(&self, beat: &EntryHeartbeat) -> Result<LeaseGrant, String> {
        let target = self.route.target();
        let caller = &self.route.caller;
        let reply = caller.call(&target, Method::Beat, beat, BEAT_TIMEOUT).await;
        match reply {
            Ok(BeatReply::Grant(grant)) => Ok(*grant),
            Ok(BeatReply::NotLeader(hint)) => {
                self.route.follow(hint);
                Err(format!("{target} does not lead"))
            }
            Ok(BeatReply::Superseded) => {
                Err("another process runs under the name of this entry".to_owned())
            }
            Err(error) => {
                self.route.follow(None);
                Err(error.to_string())
            }
        }
    }
}

async fn batch_loop(route: Arc<LeaderRoute>, mut inbox: mpsc::UnboundedReceiver<PendingCommand>) {
    let slots = Arc::new(Semaphore::new(PARALLEL_BATCHES));
    while let Some(first) = inbox.recv().await {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let mut batch = vec![first];
        while batch.len() < BATCH
            && let Ok(next) = inbox.try_recv()
        {
            batch.push(next);
        }
        let route = Arc::clone(&route);
        tokio::spawn(async move {
            run_batch(&route, batch).await;
            drop(slot);
        });
    }
}

async fn run_batch(route: &LeaderRoute, batch: Vec<PendingCommand>) {
    let call = RunCall {
        commands: batch
            .iter()
            .map(|pending| pending.command.clone())
            .collect(),
    };
    let mut is_unsure = false;
    let tries = try_until_done(route, &call, &mut is_unsure);
    if let Ok(outcomes) = tokio::time::timeout(COMMAND_TIMEOUT, tries).await {
        for (pending, outcome) in batch.into_iter().zip(outcomes) {
            let _ = pending.reply.send(Ok(outcome));
        }
    } else {
        let error = if is_unsure {
            KeeperError::Unsure
        } else {
            KeeperError::NotApplied
        };
        for pending in batch {
            let _ = pending.reply.send(Err(error));
        }
    }
}

async fn try_until_done(
    route: &LeaderRoute,
    call: &RunCall,
    is_unsure: &mut bool,
) -> Vec<KeeperOutcome> {
    loop {
        let target = route.target();
        let reply = route
            .caller
            .call(&target, Method::Run, call, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(RunReply::Done(outcomes)) if outcomes.len() == call.commands.len() => {
                return outcomes;
            }
            Ok(RunReply::NotLeader(hint)) => route.follow(hint),
            Err(CallError::NotSent(_) | CallError::Refused(_)) => route.follow(None),
            Ok(RunReply::Done(_) | RunReply::Unsure)
            | Err(CallError::Unanswered(_) | CallError::Malformed) => {
                *is_unsure = true;
                route.follow(None);
            }
        }
        tokio::time::sleep(TRY_WAIT).await;
    }
}
