//! Assembles and runs a keeper.

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

use chestnutloft_core::consensus::{LeaveStatus, MemberConfig, ReplicaCore, ReplicaId};
use chestnutloft_core::routing::LoadAggregator;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::auth::cluster_proof;
use chestnutloft_wire::message::{
    HeartbeatReply, JoinCall, JoinReply, ReplicateCall, RunCall, RunReply, ShareCall, WatchReply,
};
use chestnutloft_wire::rpc::{self, CallAnswer, CallHandler, Method, Status};
use chestnutloft_wire::rpc_client::RpcClient;
use chestnutloft_wire::settings::SeedReader;
use chestnutloft_wire::{clock, http, listen, logs};

use crate::actor::{MembershipView, ReplicaActor, ReplicaArguments, ReplicaMessage};
use crate::control::{ControlCodec, ControlService};
use crate::formation::{self, JOIN_INTERVAL, LEAVE_TIMEOUT};
use crate::metrics::KeeperMetrics;
use crate::operator::OperatorApi;
use crate::settings::KeeperSettings;
use crate::storage::{DataFolder, StorageError};

/// How long open HTTP requests may take to finish at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a keeper could not start.
#[derive(Debug)]
pub enum StartError {
    /// Opening or formatting the data folder failed.
    Storage(StorageError),
    /// Listening on an address or starting a thread failed; holds what it was for.
    Io(String, std::io::Error),
    /// Starting the actor failed.
    Actor(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Storage(error) => error.fmt(f),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Actor(reason) => write!(f, "the replica could not start: {reason}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running keeper.
pub struct KeeperDaemon {
    /// RPC address.
    pub rpc: SocketAddr,
    /// HTTP address for operators and endpoints.
    pub http: SocketAddr,
    replica: ActorRef<ReplicaMessage>,
    /// Whether keepers join and leave the cluster without an operator.
    is_self_forming: bool,
    stop: watch::Sender<bool>,
    actor: JoinHandle<()>,
    http_server: JoinHandle<()>,
}

/// Formats the data folder of an initial voter.
///
/// # Errors
/// [`StorageError`] if the folder is already formatted or cannot be written.
pub fn init(settings: &KeeperSettings) -> Result<(), StorageError> {
    let config = settings.initial_config();
    DataFolder::format(&settings.data, ReplicaId(settings.replica), &config)
}

/// Formats the data folder of a replica that will be added to an existing cluster.
///
/// # Errors
/// [`StorageError`] if the folder is already formatted or cannot be written.
pub fn join(settings: &KeeperSettings) -> Result<(), StorageError> {
    let config = MemberConfig::default();
    DataFolder::format(&settings.data, ReplicaId(settings.replica), &config)
}

impl KeeperDaemon {
    /// Starts a keeper on a formatted data folder.
    ///
    /// # Errors
    /// [`StartError`] if the folder is corrupt or an address cannot be bound.
    pub async fn start(settings: KeeperSettings) -> Result<Self, StartError> {
        let listener = bind_rpc(&settings).await?;
        Self::start_on(settings, listener).await
    }

    /// Starts a keeper that founds or joins its cluster without an operator, serves RPC on
    /// `listener`, and serves operators and endpoints in the wire format `codec`. `seeds` reads the
    /// seeds from the settings file again whenever the keeper is not an active member.
    ///
    /// # Errors
    /// [`StartError`] if the folder is corrupt or an address cannot be bound.
    pub async fn start_joining(
        mut settings: KeeperSettings,
        listener: std::net::TcpListener,
        codec: ControlCodec,
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
        Self::start_serving(settings, listener, Some((codec, seeds))).await
    }

    /// Starts a keeper that serves RPC on `listener` instead of `settings.rpc`.
    ///
    /// # Errors
    /// [`StartError`] if the folder is corrupt or an address cannot be bound.
    pub async fn start_on(
        settings: KeeperSettings,
        listener: std::net::TcpListener,
    ) -> Result<Self, StartError> {
        Self::start_serving(settings, listener, None).await
    }

    async fn start_serving(
        mut settings: KeeperSettings,
        listener: std::net::TcpListener,
        joining: Option<(ControlCodec, SeedReader)>,
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
            content.hard_state,
            content.entries,
            election_seed(replica, now),
        );
        let proof = cluster_proof(&settings.cluster_secret);
        let rpc_client = RpcClient::start(proof.clone()).map_err(io_at("rpc client"))?;
        let arguments = ReplicaArguments {
            settings: settings.clone(),
            core,
            folder,
            rpc_client: rpc_client.clone(),
        };
        let (replica, actor) = Actor::spawn(None, ReplicaActor, arguments)
            .await
            .map_err(|error| StartError::Actor(error.to_string()))?;
        let (stop, stopped) = watch::channel(false);
        let handler = rpc_handler(replica.clone());
        let rpc = rpc::serve(listener, proof, handler, stopped.clone()).map_err(io_at("rpc"))?;
        let listener = listen::bind("operators and endpoints", settings.http)
            .await
            .map_err(io_at("http"))?;
        let http = listener.local_addr().map_err(io_at("http"))?;
        let operators = OperatorApi {
            replica: replica.clone(),
            key_hashes: settings.operator_key_hashes.clone().into(),
            metrics: KeeperMetrics::default(),
        };
        if let Some(address) = settings.metrics {
            let api = operators.clone();
            let service = move |request| api.clone().answer_metrics(request);
            let stopped = stopped.clone();
            let serve = move |listener| http::serve(listener, stopped, SHUTDOWN_TIMEOUT, service);
            listen::serve_optional("the metrics page", address, serve).await;
        }
        let http_server = if let Some((codec, seeds)) = joining {
            tokio::spawn(request_membership(
                replica.clone(),
                rpc_client,
                settings.clone(),
                seeds,
            ));
            let control = ControlService {
                replica: replica.clone(),
                address: http,
                codec,
            };
            let service = move |request| control.clone().answer(request);
            tokio::spawn(http::serve(listener, stopped, SHUTDOWN_TIMEOUT, service))
        } else {
            let service = move |request| operators.clone().answer(request);
            tokio::spawn(http::serve(listener, stopped, SHUTDOWN_TIMEOUT, service))
        };
        spdlog::info!(
            "keeper: replica {} is serving RPC at {rpc} and HTTP at {http}.",
            settings.replica
        );
        warn_if_unauthenticated(&settings);
        Ok(Self {
            rpc,
            http,
            replica,
            is_self_forming: settings.formation.is_some(),
            stop,
            actor,
            http_server,
        })
    }

    /// The replica's actor.
    pub fn replica(&self) -> &ActorRef<ReplicaMessage> {
        &self.replica
    }

    /// Waits until the actor stops by itself, as it does after a failed save.
    pub async fn failed(&mut self) {
        let _ = (&mut self.actor).await;
    }

    /// Waits until the leader has removed this keeper, or needs it as a voter.
    async fn leave(&self) {
        let status = ask(&self.replica, LeaveStatus::Pending, ReplicaMessage::Leave);
        match tokio::time::timeout(LEAVE_TIMEOUT, status).await {
            Ok(LeaveStatus::Removed) => {
                spdlog::info!("members: this keeper has left the cluster; stopping.");
            }
            Ok(LeaveStatus::Needed) => {
                spdlog::info!(
                    "members: no other keeper can take over this vote; stopping as a voter."
                );
            }
            Ok(LeaveStatus::Pending) | Err(_) => {
                spdlog::warn!(
                    "members: the cluster has not removed this keeper within {} ms; stopping as a member.",
                    LEAVE_TIMEOUT.as_millis()
                );
            }
        }
    }

    /// Stops the keeper. If the cluster replaces failed keepers by itself, another keeper takes over
    /// its vote first. The other voters elect a new leader if it led.
    pub async fn shut_down(self) {
        if self.is_self_forming {
            self.leave().await;
        }
        let _ = self.stop.send(true);
        let _ = self.http_server.await;
        self.replica.stop(None);
        let _ = self.actor.await;
    }
}

fn warn_if_unauthenticated(settings: &KeeperSettings) {
    if settings.operator_key_hashes.is_empty() && !settings.http.ip().is_loopback() {
        spdlog::warn!(
            "keeper: no operator key is set; anyone who can reach {} may make changes.",
            settings.http
        );
    }
}

/// Binds the RPC address of the settings.
///
/// # Errors
/// [`StartError::Io`] if the address cannot be bound.
pub async fn bind_rpc(settings: &KeeperSettings) -> Result<std::net::TcpListener, StartError> {
    let listener = listen::bind("RPC", settings.rpc).await;
    listener
        .and_then(TcpListener::into_std)
        .map_err(|error| StartError::Io("rpc".to_owned(), error))
}

/// Sends join requests to all known keepers whenever this one is not an active member.
async fn request_membership(
    replica: ActorRef<ReplicaMessage>,
    rpc_client: RpcClient,
    settings: KeeperSettings,
    seed_reader: SeedReader,
) {
    let call = JoinCall {
        replica: ReplicaId(settings.replica),
        address: settings.rpc.to_string(),
    };
    let mut suggested: Vec<String> = Vec::new();
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        logs::report_dropped_lines();
        let view = ask(
            &replica,
            MembershipView::default(),
            ReplicaMessage::Membership,
        )
        .await;
        if view.is_active_member {
            continue;
        }
        let mut targets: Vec<String> = std::mem::take(&mut suggested);
        let seeds = seed_reader().unwrap_or_default();
        let seeds = formation::seed_addresses(&seeds, settings.rpc.port());
        targets.extend(seeds.iter().map(ToString::to_string));
        targets.extend(view.members);
        let mut distinct = HashSet::new();
        targets.retain(|target| *target != call.address && distinct.insert(target.clone()));
        let calls = targets.iter().map(|target| {
            rpc_client.call::<_, JoinReply>(target, Method::Join, &call, JOIN_TIMEOUT)
        });
        for reply in futures_util::future::join_all(calls).await {
            match reply {
                Ok(JoinReply::Noted) => {
                    spdlog::debug!("members: the leader has recorded the join request.");
                }
                Ok(JoinReply::Ask(addresses)) => suggested.extend(addresses),
                Err(error) => spdlog::debug!("members: join request failed: {error}."),
            }
        }
    }
}

/// Seed for random election timeouts, different for each replica and each start.
fn election_seed(replica: ReplicaId, now: TimePoint) -> u64 {
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

fn rpc_handler(replica: ActorRef<ReplicaMessage>) -> CallHandler {
    let aggregator = Arc::new(Mutex::new(LoadAggregator::default()));
    Arc::new(move |method, payload| {
        let replica = replica.clone();
        let aggregator = Arc::clone(&aggregator);
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
            Method::Beat => Box::pin(rpc::answer(payload, move |heartbeat| async move {
                let make = |reply| ReplicaMessage::Heartbeat(heartbeat, reply);
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
                let mut aggregator = aggregator.lock().unwrap_or_else(PoisonError::into_inner);
                aggregator.exchange(clock::now(), &call.entry, call.share)
            })),
            Method::Exchange | Method::Credit => Box::pin(async { (Status::NotHere, Vec::new()) }),
        };
        answer
    })
}
