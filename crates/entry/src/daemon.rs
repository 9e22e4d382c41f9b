//! Puts an entry together.

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
use chestnutloft_wire::rpc_client::PeerCaller;
use chestnutloft_wire::{clock, http};

use crate::beat::{self, BeatMessage, LeaseActor};
use crate::context::{ContextParts, EntryContext};
use crate::keepers::KeeperClient;
use crate::settings::EntrySettings;
use crate::{credit, exchange, gateway, rating};

/// Time between two looks at running requests during shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Why an entry could not start.
#[derive(Debug)]
pub enum StartError {
    /// The settings name no entry.
    NoName,
    /// An address cannot be listened on, or a thread not be started.
    Io(&'static str, std::io::Error),
    /// The actor could not start.
    Actor(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoName => write!(f, "the settings name no entry"),
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Actor(why) => write!(f, "the lease actor could not start: {why}"),
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
    lease: ActorRef<BeatMessage>,
    stop: watch::Sender<bool>,
    door: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryDaemon {
    /// Starts an entry.
    ///
    /// # Errors
    /// [`StartError`] when an address is taken or the settings name no entry.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartError> {
        Self::start_with(settings, RouterSettings::default()).await
    }

    /// Starts an entry with settings of its filters.
    ///
    /// # Errors
    /// [`StartError`] when an address is taken or the settings name no entry.
    pub async fn start_with(
        settings: EntrySettings,
        router: RouterSettings,
    ) -> Result<Self, StartError> {
        let io_at = |what| move |error| StartError::Io(what, error);
        let entry: EntryId = settings.entry.clone().ok_or(StartError::NoName)?;
        let rpc_listener = std::net::TcpListener::bind(settings.rpc).map_err(io_at("rpc"))?;
        let rpc_address = rpc_listener.local_addr().map_err(io_at("rpc"))?;
        let listener = TcpListener::bind(settings.http)
            .await
            .map_err(io_at("http"))?;
        let http_address = listener.local_addr().map_err(io_at("http"))?;
        let proof = cluster_proof(&settings.cluster_secret);
        let caller = PeerCaller::start(proof.clone()).map_err(io_at("rpc client"))?;
        let keepers = settings.keepers.iter().map(ToString::to_string).collect();
        let incarnation = clock::wall_now().as_micros();
        let parts = ContextParts {
            router: RouterState::new(router, settings.domain.clone(), incarnation),
            keepers: KeeperClient::start(caller.clone(), keepers),
            http: http::client(),
            entry,
            incarnation,
            rpc_address,
            caller,
        };
        let patience = settings.shutdown_patience;
        let context = EntryContext::new(settings, parts);
        let (stop, stopped) = watch::channel(false);
        let handler = call_handler(Arc::clone(&context));
        rpc::serve(rpc_listener, proof, handler, stopped.clone()).map_err(io_at("rpc"))?;
        let (lease, _) = Actor::spawn(None, LeaseActor, Arc::clone(&context))
            .await
            .map_err(|error| StartError::Actor(error.to_string()))?;
        let tasks = vec![
            tokio::spawn(credit::run(Arc::clone(&context))),
            tokio::spawn(exchange::run(Arc::clone(&context))),
            tokio::spawn(rating::run(Arc::clone(&context))),
        ];
        let answering = Arc::clone(&context);
        let service = move |request| gateway::answer(Arc::clone(&answering), request);
        let door = tokio::spawn(http::serve(listener, stopped, patience, service));
        spdlog::info!(
            "entry: {} serves callers at {http_address}, RPC at {rpc_address}.",
            context.entry
        );
        warn_if_open(&context.settings);
        Ok(Self {
            http: http_address,
            rpc: rpc_address,
            context,
            lease,
            stop,
            door,
            tasks,
        })
    }

    /// What the parts share.
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Ends the entry without cutting a request: first the balancer is told to look elsewhere,
    /// then new requests are refused, running ones finish, and the lease is given up.
    pub async fn shut_down(self) {
        self.context.set_unready();
        tokio::time::sleep(self.context.settings.unready_grace).await;
        self.context.close();
        self.drain().await;
        let _ = self.stop.send(true);
        let _ = self.door.await;
        self.lease.stop(None);
        beat::say_goodbye(&self.context).await;
        for task in self.tasks {
            task.abort();
        }
    }

    /// Waits until no request runs.
    async fn drain(&self) {
        let began = clock::now();
        let patience = self.context.settings.shutdown_patience;
        loop {
            let running = self.context.router().admit.in_flight();
            if running == 0 {
                return;
            }
            if clock::now().since(began) >= patience {
                spdlog::warn!("entry: {running} requests still run and are cut.");
                return;
            }
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Ends the entry at once, as a crash would: nothing is told to anyone.
    pub fn abort(self) {
        let _ = self.stop.send(true);
        self.lease.stop(None);
        self.context.lease().release();
        for task in self.tasks {
            task.abort();
        }
        self.door.abort();
    }
}

fn warn_if_open(settings: &EntrySettings) {
    if settings.operator_key_hashes.is_empty() && !settings.http.ip().is_loopback() {
        spdlog::warn!("entry: operators need no key at {}.", settings.http);
    }
}

fn call_handler(context: Arc<EntryContext>) -> CallHandler {
    Arc::new(move |method, payload| {
        let context = Arc::clone(&context);
        let answer: Pin<Box<dyn Future<Output = CallAnswer> + Send>> = match method {
            Method::Exchange => {
                Box::pin(rpc::answer(payload, move |call: ExchangeCall| async move {
                    exchange::answer(&context, call)
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
