//! Starts and shuts down an entry that forwards calls by declared routes.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use chestnutloft_wire::auth::cluster_proof;
use chestnutloft_wire::rpc_client::RpcClient;
use chestnutloft_wire::settings::SeedReader;
use chestnutloft_wire::{clock, listen, logs};

use super::admission_queues::run_admission;
use super::codec::EntryCodec;
use super::context::ForwardContext;
use super::load_exchange::run_load_exchange;
use super::server::{self, ConnectionCount, metrics_page, serve_callers, serve_status};
use super::settings::ForwardSettings;
use super::watch::{SeedList, watch_keepers};

/// Interval between sweeps of idle endpoint connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the shutdown time after which idle caller connections are closed. Until then the
/// load balancer learns of the shutdown and sends new connections elsewhere.
const DRAIN_SHARE: f64 = 0.28;
/// Share of the shutdown time after which new calls are refused, so that running ones can finish.
const REFUSE_SHARE: f64 = 0.36;
/// Share of the shutdown time after which the process exits even if calls are still running.
const EXIT_SHARE: f64 = 0.96;
/// Interval between checks for open caller connections during shutdown.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// Why an entry could not start.
#[derive(Debug)]
pub enum StartError {
    /// A listener could not be bound or a thread could not be started; the text names the step.
    Io(&'static str, std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(step, error) => write!(f, "{step}: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running entry.
pub struct ForwardDaemon {
    /// State shared by all stages of the request path.
    pub context: Arc<ForwardContext>,
    /// Bound address for callers.
    pub caller_address: SocketAddr,
    /// Address of the metrics page, if one is served and could be bound at once.
    pub metrics_address: Option<SocketAddr>,
    /// Bound address of the readiness check.
    pub readiness_address: SocketAddr,
    shutdown_time: Duration,
    /// Accepts caller connections.
    accepting: JoinHandle<()>,
    open_connections: ConnectionCount,
    shutting_down: watch::Sender<bool>,
    draining: watch::Sender<bool>,
    refusing_calls: watch::Sender<bool>,
}

impl ForwardDaemon {
    /// Starts an entry that uses the wire format `codec`. `seeds` reads the keeper addresses
    /// from the settings file again when no known keeper responds.
    ///
    /// # Errors
    /// [`StartError`] when an address cannot be bound or the RPC client cannot be started.
    pub async fn start(
        settings: &ForwardSettings,
        codec: EntryCodec,
        seeds: SeedReader,
    ) -> Result<Self, StartError> {
        let bind_error = |error| StartError::Io("no listener", error);
        let caller_listener = listen::bind("callers", settings.callers)
            .await
            .map_err(bind_error)?;
        let readiness_listener = listen::bind("the readiness check", settings.readiness)
            .await
            .map_err(bind_error)?;
        let address_of = |listener: &TcpListener| {
            let address = listener.local_addr();
            address.map_err(|error| StartError::Io("cannot read a listener's address", error))
        };
        let caller_address = address_of(&caller_listener)?;
        let readiness_address = address_of(&readiness_listener)?;
        let watch_client = RpcClient::start(cluster_proof(&settings.cluster_secret))
            .map_err(|error| StartError::Io("cannot start the RPC client", error))?;
        // A separate client, so that a stalled connection of one task does not delay the other.
        let load_client = RpcClient::start(cluster_proof(&settings.cluster_secret))
            .map_err(|error| StartError::Io("cannot start the RPC client", error))?;
        let (shutting_down, is_shutting_down) = watch::channel(false);
        let (draining, is_draining) = watch::channel(false);
        let (refusing_calls, is_refusing_calls) = watch::channel(false);
        let context = Arc::new(ForwardContext::new(
            settings,
            codec,
            is_shutting_down,
            is_refusing_calls,
        ));
        let open_connections = ConnectionCount::default();
        tokio::spawn(serve_status(
            Arc::clone(&context),
            readiness_listener,
            server::readiness,
        ));
        let metrics_address = serve_metrics(&context, settings.metrics).await;
        let accepting = tokio::spawn(serve_callers(
            Arc::clone(&context),
            caller_listener,
            Arc::clone(&open_connections),
            is_draining,
        ));
        tokio::spawn(watch_keepers(
            Arc::clone(&context),
            watch_client,
            SeedList::new(settings, seeds),
        ));
        tokio::spawn(run_load_exchange(Arc::clone(&context), load_client));
        tokio::spawn(run_admission(Arc::clone(&context)));
        tokio::spawn(sweep_connections(Arc::clone(&context)));
        spdlog::info!(
            "entry: {} listens for callers on {} in failure domain {}.",
            settings.name,
            caller_address,
            settings.domain
        );
        Ok(Self {
            context,
            caller_address,
            readiness_address,
            metrics_address,
            shutdown_time: settings.limits.shutdown,
            accepting,
            open_connections,
            shutting_down,
            draining,
            refusing_calls,
        })
    }

    /// Shuts the entry down without interrupting calls: it first reports itself as not ready,
    /// then closes idle connections, then takes no connection and no call any more and waits for the
    /// running ones until the shutdown time is nearly over.
    pub async fn shut_down(self) {
        let started_at = clock::now();
        let _ = self.shutting_down.send(true);
        tokio::time::sleep(self.shutdown_time.mul_f64(DRAIN_SHARE)).await;
        let _ = self.draining.send(true);
        let drain_time = self.shutdown_time.mul_f64(REFUSE_SHARE - DRAIN_SHARE);
        tokio::time::sleep(drain_time).await;
        let _ = self.refusing_calls.send(true);
        self.accepting.abort();
        let max_time = self.shutdown_time.mul_f64(EXIT_SHARE);
        while self.open_connections.load(Ordering::Relaxed) > 0
            && clock::now().since(started_at) < max_time
        {
            tokio::time::sleep(OPEN_CHECK_INTERVAL).await;
        }
        spdlog::info!(
            "entry: shutdown complete; {} caller connections still open.",
            self.open_connections.load(Ordering::Relaxed)
        );
    }
}

async fn serve_metrics(
    context: &Arc<ForwardContext>,
    address: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let context = Arc::clone(context);
    let serve = move |listener| serve_status(context, listener, metrics_page);
    listen::serve_optional("the metrics page", address?, serve).await
}

async fn sweep_connections(context: Arc<ForwardContext>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        context.connections.sweep(clock::now());
        logs::report_dropped_lines();
    }
}
