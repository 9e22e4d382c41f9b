//! Puts an entry that serves by routes together.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;

use chestnutloft_wire::auth::cluster_proof;
use chestnutloft_wire::rpc_client::RpcClient;
use chestnutloft_wire::settings::SeedReader;
use chestnutloft_wire::{clock, logs};

use super::call::ForwardGate;
use super::dialect::EntryDialect;
use super::door::{self, OpenCount, metrics_page, serve_callers, serve_pages};
use super::settings::ForwardSettings;
use super::share::share_work;
use super::watch::{SeedList, watch_keepers};

/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the time for shutting down during which kept connections stay open: the balancer
/// needs it to send new connections elsewhere.
const KEEP_SHARE: f64 = 0.28;
/// Share after which new calls are refused, so that those under way can end.
const ACCEPT_SHARE: f64 = 0.36;
/// Share after which the process ends even with calls under way.
const END_SHARE: f64 = 0.96;
/// Wait between two looks at open connections.
const OPEN_INTERVAL: Duration = Duration::from_millis(30);

/// Why an entry could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on, or a thread not be started.
    Io(&'static str, std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running entry.
pub struct ForwardDaemon {
    /// Shared parts of the request path.
    pub gate: Arc<ForwardGate>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the metrics page.
    pub metrics: Option<SocketAddr>,
    /// Address at which the entry tells whether it takes new connections.
    pub readiness: SocketAddr,
    shutdown: Duration,
    open: OpenCount,
    leaving: watch::Sender<bool>,
    draining: watch::Sender<bool>,
    refusing: watch::Sender<bool>,
}

impl ForwardDaemon {
    /// Starts an entry that speaks `dialect`. `seeds` reads the settings file anew when no keeper
    /// that is known answers.
    ///
    /// # Errors
    /// [`StartError`] when an address is taken.
    pub async fn start(
        settings: &ForwardSettings,
        dialect: EntryDialect,
        seeds: SeedReader,
    ) -> Result<Self, StartError> {
        let callers = TcpListener::bind(settings.callers)
            .await
            .map_err(|error| StartError::Io("callers", error))?;
        let readiness = TcpListener::bind(settings.readiness)
            .await
            .map_err(|error| StartError::Io("readiness", error))?;
        let address_of = |listener: &TcpListener| {
            let address = listener.local_addr();
            address.map_err(|error| StartError::Io("listener", error))
        };
        let callers_at = address_of(&callers)?;
        let readiness_at = address_of(&readiness)?;
        let caller = RpcClient::start(cluster_proof(&settings.cluster_secret))
            .map_err(|error| StartError::Io("rpc client", error))?;
        // Apart from the caller that waits for news: a silent link must not delay the other.
        let sharer = RpcClient::start(cluster_proof(&settings.cluster_secret))
            .map_err(|error| StartError::Io("rpc client", error))?;
        let (leaving, is_leaving) = watch::channel(false);
        let (draining, is_draining) = watch::channel(false);
        let (refusing, is_refusing) = watch::channel(false);
        let gate = Arc::new(ForwardGate::new(settings, dialect, is_leaving, is_refusing));
        let open = OpenCount::default();
        tokio::spawn(serve_pages(Arc::clone(&gate), readiness, door::readiness));
        let metrics = bind_metrics(settings.metrics).await?;
        let metrics_at = metrics.as_ref().map(address_of).transpose()?;
        if let Some(listener) = metrics {
            tokio::spawn(serve_pages(Arc::clone(&gate), listener, metrics_page));
        }
        tokio::spawn(serve_callers(
            Arc::clone(&gate),
            callers,
            Arc::clone(&open),
            is_draining,
        ));
        tokio::spawn(watch_keepers(
            Arc::clone(&gate),
            caller,
            SeedList::new(settings, seeds),
        ));
        tokio::spawn(share_work(Arc::clone(&gate), sharer));
        tokio::spawn(sweep_links(Arc::clone(&gate)));
        spdlog::info!(
            "entry: {} serves callers at {} in {}.",
            settings.name,
            callers_at,
            settings.domain
        );
        Ok(Self {
            gate,
            callers: callers_at,
            readiness: readiness_at,
            metrics: metrics_at,
            shutdown: settings.limits.shutdown,
            open,
            leaving,
            draining,
            refusing,
        })
    }

    /// Ends the entry without cutting a call: it tells the balancer first, then closes
    /// connections as they go idle, then refuses new calls and waits for those under way.
    pub async fn shut_down(self) {
        let began_at = clock::now();
        let _ = self.leaving.send(true);
        tokio::time::sleep(self.shutdown.mul_f64(KEEP_SHARE)).await;
        let _ = self.draining.send(true);
        let accepting = self.shutdown.mul_f64(ACCEPT_SHARE - KEEP_SHARE);
        tokio::time::sleep(accepting).await;
        let _ = self.refusing.send(true);
        let end = self.shutdown.mul_f64(END_SHARE);
        while self.open.load(Ordering::Relaxed) > 0 && clock::now().since(began_at) < end {
            tokio::time::sleep(OPEN_INTERVAL).await;
        }
        spdlog::info!(
            "entry: ends with {} open connections.",
            self.open.load(Ordering::Relaxed)
        );
    }
}

async fn bind_metrics(address: Option<SocketAddr>) -> Result<Option<TcpListener>, StartError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address).await;
    listener
        .map(Some)
        .map_err(|error| StartError::Io("metrics", error))
}

async fn sweep_links(gate: Arc<ForwardGate>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        gate.links.sweep(clock::now());
        logs::report_dropped_lines();
    }
}
