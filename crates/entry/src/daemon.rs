//! Starts and stops an entry.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorRef};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use chestnutloft_core::ids::EntryId;
use chestnutloft_core::pipe::{RouterSettings, RouterState};
use chestnutloft_wire::auth::cluster_proof;
use chestnutloft_wire::message::{CreditCall, ExchangeCall};
use chestnutloft_wire::rpc::{self, CallAnswer, CallHandler, Method, Status};
use chestnutloft_wire::rpc_client::RpcClient;
use chestnutloft_wire::{clock, http, listen};

use crate::context::{ContextParts, EntryContext};
use crate::keeper_client::KeeperClient;
use crate::lease::{self, LeaseActor, LeaseMessage};
use crate::settings::EntrySettings;
use crate::{credit, exchange, gateway, rating};

/// Interval at which shutdown checks whether requests are still running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why an entry could not start.
#[derive(Debug)]
pub enum StartError {
    /// The settings do not set `entry`.
    MissingEntryName,
    /// Binding the named listener or starting its thread failed.
    Io(&'static str, std::io::Error),
    /// The lease actor could not be started.
    Actor(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingEntryName => write!(f, "setting `entry` is missing"),
            Self::Io(component, error) => write!(f, "{component}: {error}"),
            Self::Actor(reason) => write!(f, "the lease actor could not be started: {reason}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running entry.
pub struct EntryDaemon {
    /// Address for callers and endpoints.
    pub http: SocketAddr,
    /// RPC address.
    pub rpc: SocketAddr,
    context: Arc<EntryContext>,
    lease: ActorRef<LeaseMessage>,
    stop_signal: watch::Sender<bool>,
    http_server: JoinHandle<()>,
    background_tasks: Vec<JoinHandle<()>>,
}

impl EntryDaemon {
    /// Starts an entry with the default router settings.
    ///
    /// # Errors
    /// [`StartError`] when an address is taken or the settings name no entry.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartError> {
        Self::start_with(settings, RouterSettings::default()).await
    }

    /// Starts an entry with the given router settings.
    ///
    /// # Errors
    /// [`StartError`] when an address is taken or the settings name no entry.
    pub async fn start_with(
        settings: EntrySettings,
        router: RouterSettings,
    ) -> Result<Self, StartError> {
        let io_error = |component| move |error| StartError::Io(component, error);
        let entry: EntryId = settings.entry.clone().ok_or(StartError::MissingEntryName)?;
        let rpc_listener = listen::bind("RPC", settings.rpc).await;
        let rpc_listener = rpc_listener
            .and_then(TcpListener::into_std)
            .map_err(io_error("rpc"))?;
        let rpc_address = rpc_listener.local_addr().map_err(io_error("rpc"))?;
        let listener = listen::bind("callers and operators", settings.http)
            .await
            .map_err(io_error("http"))?;
        let http_address = listener.local_addr().map_err(io_error("http"))?;
        let proof = cluster_proof(&settings.cluster_secret);
        let rpc_client = RpcClient::start(proof.clone()).map_err(io_error("rpc client"))?;
        let keepers = settings.keepers.iter().map(ToString::to_string).collect();
        let incarnation = clock::wall_now().as_micros();
        let parts = ContextParts {
            router: RouterState::new(router, settings.domain.clone(), incarnation),
            keepers: KeeperClient::start(rpc_client.clone(), keepers),
            http: http::single_use_client(),
            entry,
            incarnation,
            rpc_address,
            rpc_client,
        };
        let shutdown_timeout = settings.shutdown_patience;
        let context = EntryContext::new(settings, parts);
        let (stop_signal, stopped) = watch::channel(false);
        let handler = rpc_handler(Arc::clone(&context));
        rpc::serve(rpc_listener, proof, handler, stopped.clone()).map_err(io_error("rpc"))?;
        let (lease, _) = Actor::spawn(None, LeaseActor, Arc::clone(&context))
            .await
            .map_err(|error| StartError::Actor(error.to_string()))?;
        let background_tasks = vec![
            tokio::spawn(credit::run(Arc::clone(&context))),
            tokio::spawn(exchange::run(Arc::clone(&context))),
            tokio::spawn(rating::run(Arc::clone(&context))),
        ];
        let handler_context = Arc::clone(&context);
        let service = move |request| gateway::handle(Arc::clone(&handler_context), request);
        let http_server = tokio::spawn(http::serve(listener, stopped, shutdown_timeout, service));
        spdlog::info!(
            "entry: {} listens on {http_address} for HTTP and on {rpc_address} for RPC.",
            context.entry
        );
        warn_if_no_operator_key(&context.settings);
        Ok(Self {
            http: http_address,
            rpc: rpc_address,
            context,
            lease,
            stop_signal,
            http_server,
            background_tasks,
        })
    }

    /// State shared by the tasks of this entry.
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Shuts the entry down gracefully: reports not ready for `unready_grace`, so that load
    /// balancers stop sending requests, then refuses new requests, waits for running ones and gives
    /// up the lease.
    pub async fn shut_down(self) {
        self.context.start_draining();
        tokio::time::sleep(self.context.settings.unready_grace).await;
        self.context.stop_admission();
        self.drain().await;
        let _ = self.stop_signal.send(true);
        let _ = self.http_server.await;
        self.lease.stop(None);
        lease::announce_departure(&self.context).await;
        for task in self.background_tasks {
            task.abort();
        }
    }

    /// Waits until no request is running, for at most `shutdown_patience`.
    async fn drain(&self) {
        let started_at = clock::now();
        let timeout = self.context.settings.shutdown_patience;
        loop {
            let in_flight = self.context.router().admission.in_flight();
            if in_flight == 0 {
                return;
            }
            if clock::now().since(started_at) >= timeout {
                spdlog::warn!(
                    "entry: {in_flight} requests still running after {} ms; stopping the HTTP server.",
                    timeout.as_millis()
                );
                return;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Stops the entry at once, as a crash would: without draining or notifying the keepers.
    pub fn abort(self) {
        let _ = self.stop_signal.send(true);
        self.lease.stop(None);
        self.context.lease().release();
        for task in self.background_tasks {
            task.abort();
        }
        self.http_server.abort();
    }
}

fn warn_if_no_operator_key(settings: &EntrySettings) {
    if settings.operator_key_hashes.is_empty() && !settings.http.ip().is_loopback() {
        spdlog::warn!(
            "entry: operator_key_hashes is empty: anyone who reaches {} may call the operator API.",
            settings.http
        );
    }
}

fn rpc_handler(context: Arc<EntryContext>) -> CallHandler {
    Arc::new(move |method, payload| {
        let context = Arc::clone(&context);
        let answer: Pin<Box<dyn Future<Output = CallAnswer> + Send>> = match method {
            Method::Exchange => {
                Box::pin(rpc::answer(payload, move |call: ExchangeCall| async move {
                    exchange::handle(&context, call)
                }))
            }
            Method::Credit => Box::pin(rpc::answer(payload, move |call: CreditCall| async move {
                credit::lend(&context, &call)
            })),
            Method::Replicate
            | Method::Run
            | Method::Beat
            | Method::Watch
            | Method::Join
            | Method::Share => Box::pin(async { (Status::NotHere, Vec::new()) }),
        };
        answer
    })
}
