//! Puts a keeper together.

use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ractor::{Actor, ActorRef};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use chestnutloft_core::consensus::{MemberConfig, ReplicaCore, ReplicaId};
use chestnutloft_core::routing::WorkBoard;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::auth::cluster_proof;
use chestnutloft_wire::message::{
    HeartbeatReply, JoinCall, JoinReply, ReplicateCall, RunCall, RunReply, ShareCall, WatchReply,
};
use chestnutloft_wire::rpc::{self, CallAnswer, CallHandler, Method, Status};
use chestnutloft_wire::rpc_client::RpcClient;
use chestnutloft_wire::settings::SeedReader;
use chestnutloft_wire::{clock, http, logs};

use crate::actor::{MembershipView, ReplicaActor, ReplicaArguments, ReplicaMessage};
use crate::control::{ControlDesk, ControlDialect};
use crate::formation::{self, JOIN_INTERVAL};
use crate::metrics::KeeperMetrics;
use crate::operator::OperatorDoor;
use crate::settings::KeeperSettings;
use crate::storage::{DataFolder, StorageError};

/// Time that open operator requests get at shutdown.
const SHUTDOWN_PATIENCE: Duration = Duration::from_secs(2);
/// Time for one call that asks to join.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a keeper could not start.
#[derive(Debug)]
pub enum StartError {
    /// The data folder cannot be used.
    Storage(StorageError),
    /// An address cannot be listened on, or a thread not be started.
    Io(String, std::io::Error),
    /// The actor could not start.
    Actor(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Storage(error) => error.fmt(f),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Actor(why) => write!(f, "the replica could not start: {why}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running keeper.
pub struct KeeperDaemon {
    /// RPC address.
    pub rpc: SocketAddr,
    /// Operators' address.
    pub http: SocketAddr,
    replica: ActorRef<ReplicaMessage>,
    stop: watch::Sender<bool>,
    actor: JoinHandle<()>,
    door: JoinHandle<()>,
}

/// Formats the data folder of a first voter.
///
/// # Errors
/// [`StorageError`] when the folder is in use or cannot be written.
pub fn init(settings: &KeeperSettings) -> Result<(), StorageError> {
    let config = settings.first_config();
    DataFolder::format(&settings.data, ReplicaId(settings.replica), &config)
}

/// Formats the data folder of a replica that waits to be added.
///
/// # Errors
/// [`StorageError`] when the folder is in use or cannot be written.
pub fn join(settings: &KeeperSettings) -> Result<(), StorageError> {
    let config = MemberConfig::default();
    DataFolder::format(&settings.data, ReplicaId(settings.replica), &config)
}

impl KeeperDaemon {
    /// Starts a keeper on a formatted data folder.
    ///
    /// # Errors
    /// [`StartError`] when the folder cannot be trusted or an address is taken.
    pub async fn start(settings: KeeperSettings) -> Result<Self, StartError> {
        let listener = bind_rpc(&settings)?;
        Self::start_on(settings, listener).await
    }

    /// Starts a keeper that founds or joins its cluster by itself, serves RPC on `listener`, and
    /// serves operators and endpoints in `dialect`. `seeds` reads the settings file anew while no
    /// leader is heard.
    ///
    /// # Errors
    /// [`StartError`] when the folder cannot be trusted or an address is taken.
    pub async fn start_joining(
        mut settings: KeeperSettings,
        listener: std::net::TcpListener,
        dialect: ControlDialect,
        seeds: SeedReader,
    ) -> Result<Self, StartError> {
        settings.rpc = listener
            .local_addr()
            .map_err(|error| StartError::Io("rpc".to_owned(), error))?;
        if let Some(formation) = &settings.formation {
            let replica =
                formation::prepare_folder(&settings, formation).map_err(StartError::Storage)?;
            settings.replica = replica.0;
        }
        Self::start_serving(settings, listener, Some((dialect, seeds))).await
    }

    /// Starts a keeper that serves RPC on `listener`, whatever `settings.rpc` says.
    ///
    /// # Errors
    /// [`StartError`] when the folder cannot be trusted or an address is taken.
    pub async fn start_on(
        settings: KeeperSettings,
        listener: std::net::TcpListener,
    ) -> Result<Self, StartError> {
        Self::start_serving(settings, listener, None).await
    }

    async fn start_serving(
        mut settings: KeeperSettings,
        listener: std::net::TcpListener,
        joining: Option<(ControlDialect, SeedReader)>,
    ) -> Result<Self, StartError> {
        let io_at = |what: &str| {
            let what = what.to_owned();
            move |error| StartError::Io(what, error)
        };
        let replica = ReplicaId(settings.replica);
        let (folder, content) =
            DataFolder::open(&settings.data, replica).map_err(StartError::Storage)?;
        settings.rpc = listener.local_addr().map_err(io_at("rpc"))?;
        let now = clock::now();
        let core = ReplicaCore::restart(
            now,
            replica,
            settings.replica_settings(),
            content.snapshot,
            content.hard,
            content.entries,
            seed(replica, now),
        );
        let proof = cluster_proof(&settings.cluster_secret);
        let caller = RpcClient::start(proof.clone()).map_err(io_at("rpc client"))?;
        let arguments = ReplicaArguments {
            settings: settings.clone(),
            core,
            folder,
            caller: caller.clone(),
        };
        let (replica, actor) = Actor::spawn(None, ReplicaActor, arguments)
            .await
            .map_err(|error| StartError::Actor(error.to_string()))?;
        let (stop, stopped) = watch::channel(false);
        let handler = call_handler(replica.clone());
        let rpc = rpc::serve(listener, proof, handler, stopped.clone()).map_err(io_at("rpc"))?;
        let listener = TcpListener::bind(settings.http)
            .await
            .map_err(io_at("http"))?;
        let http = listener.local_addr().map_err(io_at("http"))?;
        let operators = OperatorDoor {
            replica: replica.clone(),
            key_hashes: settings.operator_key_hashes.clone().into(),
            metrics: KeeperMetrics::default(),
        };
        if let Some(address) = settings.metrics {
            let listener = TcpListener::bind(address).await.map_err(io_at("metrics"))?;
            let door = operators.clone();
            let service = move |request| door.clone().answer_metrics(request);
            let stopped = stopped.clone();
            tokio::spawn(http::serve(listener, stopped, SHUTDOWN_PATIENCE, service));
        }
        let door = if let Some((dialect, seeds)) = joining {
            tokio::spawn(ask_to_join(
                replica.clone(),
                caller,
                settings.clone(),
                seeds,
            ));
            let desk = ControlDesk {
                replica: replica.clone(),
                address: http,
                dialect,
            };
            let service = move |request| desk.clone().answer(request);
            tokio::spawn(http::serve(listener, stopped, SHUTDOWN_PATIENCE, service))
        } else {
            let service = move |request| operators.clone().answer(request);
            tokio::spawn(http::serve(listener, stopped, SHUTDOWN_PATIENCE, service))
        };
        spdlog::info!(
            "keeper: replica {} serves RPC at {rpc}, operators at {http}.",
            settings.replica
        );
        warn_if_open(&settings);
        Ok(Self {
            rpc,
            http,
            replica,
            stop,
            actor,
            door,
        })
    }

    /// The replica's actor.
    pub fn replica(&self) -> &ActorRef<ReplicaMessage> {
        &self.replica
    }

    /// Waits until the replica has ended by itself, as after a failed sync.
    pub async fn failed(&mut self) {
        let _ = (&mut self.actor).await;
    }

    /// Ends the keeper. What was synced is on disk; the others elect another leader.
    pub async fn shut_down(self) {
        let _ = self.stop.send(true);
        let _ = self.door.await;
        self.replica.stop(None);
        let _ = self.actor.await;
    }
}

fn warn_if_open(settings: &KeeperSettings) {
    if settings.operator_key_hashes.is_empty() && !settings.http.ip().is_loopback() {
        spdlog::warn!("keeper: operators need no key at {}.", settings.http);
    }
}

/// Listens for RPC at the address of the settings.
///
/// # Errors
/// [`StartError::Io`] when the address is taken.
pub fn bind_rpc(settings: &KeeperSettings) -> Result<std::net::TcpListener, StartError> {
    std::net::TcpListener::bind(settings.rpc)
        .map_err(|error| StartError::Io("rpc".to_owned(), error))
}

/// Asks the keepers that are known to make this one a member, as long as it is none.
async fn ask_to_join(
    replica: ActorRef<ReplicaMessage>,
    caller: RpcClient,
    settings: KeeperSettings,
    reader: SeedReader,
) {
    let call = JoinCall {
        replica: ReplicaId(settings.replica),
        address: settings.rpc.to_string(),
    };
    let mut hints: Vec<String> = Vec::new();
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        logs::report_dropped_lines();
        let view = ask(
            &replica,
            MembershipView::default(),
            ReplicaMessage::Membership,
        )
        .await;
        if view.is_settled {
            continue;
        }
        let mut asked: Vec<String> = std::mem::take(&mut hints);
        let seeds = reader().unwrap_or_default();
        let seeds = formation::seed_addresses(&seeds, settings.rpc.port());
        asked.extend(seeds.iter().map(ToString::to_string));
        asked.extend(view.members);
        let mut known = HashSet::new();
        asked.retain(|other| *other != call.address && known.insert(other.clone()));
        let calls = asked
            .iter()
            .map(|other| caller.call::<_, JoinReply>(other, Method::Join, &call, JOIN_TIMEOUT));
        for reply in futures_util::future::join_all(calls).await {
            match reply {
                Ok(JoinReply::Noted) => spdlog::debug!("members: asked to join."),
                Ok(JoinReply::Ask(others)) => hints.extend(others),
                Err(error) => spdlog::debug!("members: not asked: {error}."),
            }
        }
    }
}

/// A seed for election timeouts that differs between replicas and between lives.
fn seed(replica: ReplicaId, now: TimePoint) -> u64 {
    let wall = clock::wall_now().as_micros();
    replica.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ wall ^ now.as_micros()
}

async fn ask<T>(
    replica: &ActorRef<ReplicaMessage>,
    fallback: T,
    make: impl FnOnce(oneshot::Sender<T>) -> ReplicaMessage,
) -> T {
    let (reply, answer) = oneshot::channel();
    if replica.cast(make(reply)).is_err() {
        return fallback;
    }
    answer.await.unwrap_or(fallback)
}

fn call_handler(replica: ActorRef<ReplicaMessage>) -> CallHandler {
    let board = Arc::new(Mutex::new(WorkBoard::default()));
    Arc::new(move |method, payload| {
        let replica = replica.clone();
        let board = Arc::clone(&board);
        let answer: Pin<Box<dyn Future<Output = CallAnswer> + Send>> = match method {
            Method::Replicate => Box::pin(rpc::answer(
                payload,
                move |call: ReplicateCall| async move {
                    let _ = replica.cast(ReplicaMessage::Replicate(call));
                },
            )),
            Method::Run => Box::pin(rpc::answer(payload, move |call: RunCall| async move {
                let make = |reply| ReplicaMessage::Run(call.commands, reply);
                ask(&replica, RunReply::Unsure, make).await
            })),
            Method::Beat => Box::pin(rpc::answer(payload, move |beat| async move {
                let make = |reply| ReplicaMessage::Beat(beat, reply);
                ask(&replica, HeartbeatReply::NotLeader(None), make).await
            })),
            Method::Watch => Box::pin(rpc::answer(payload, move |call| async move {
                let make = |reply| ReplicaMessage::Watch(call, reply);
                ask(&replica, WatchReply::NotLeader(None), make).await
            })),
            Method::Join => Box::pin(rpc::answer(payload, move |call| async move {
                let make = |reply| ReplicaMessage::Join(call, reply);
                ask(&replica, JoinReply::Ask(Vec::new()), make).await
            })),
            Method::Share => Box::pin(rpc::answer(payload, move |call: ShareCall| async move {
                let mut board = board.lock().unwrap_or_else(PoisonError::into_inner);
                board.exchange(clock::now(), &call.entry, call.share)
            })),
            Method::Exchange | Method::Credit => Box::pin(async { (Status::NotHere, Vec::new()) }),
        };
        answer
    })
}
