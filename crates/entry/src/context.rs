//! What all parts of an entry share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};

use chestnutloft_core::ids::EntryId;
use chestnutloft_core::ledger::AttemptId;
use chestnutloft_core::pipe::{Refusal, RefusalCode, RouterState, WaiterId};
use chestnutloft_core::state::{EntryLease, LiveEntry, PoolKey};
use chestnutloft_wire::clock;
use chestnutloft_wire::http::HttpClient;
use chestnutloft_wire::rpc_client::PeerCaller;

use crate::credit::CreditDesk;
use crate::explain::ExplainBook;
use crate::keepers::KeeperClient;
use crate::metrics::EntryMetrics;
use crate::rating::RatingSampler;
use crate::session::SessionCache;
use crate::settings::EntrySettings;

/// What all parts of an entry share.
pub struct EntryContext {
    /// Settings.
    pub settings: EntrySettings,
    /// Name of this entry.
    pub entry: EntryId,
    /// Life of this entry: larger with each restart.
    pub incarnation: u64,
    /// Address at which other entries reach it.
    pub rpc_address: SocketAddr,
    /// Calls to keepers.
    pub keepers: KeeperClient,
    /// Calls to other entries.
    pub caller: PeerCaller,
    /// Calls to endpoints.
    pub http: HttpClient,
    /// Known session bindings.
    pub sessions: SessionCache,
    /// Recent decisions.
    pub explain: ExplainBook,
    /// Samples answers for rating.
    pub ratings: RatingSampler,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Tells that slots of cold endpoints are in demand.
    pub demand: Notify,
    router: Mutex<RouterState>,
    lease: Mutex<EntryLease>,
    live: Mutex<Vec<LiveEntry>>,
    desk: Mutex<CreditDesk>,
    wakers: Mutex<HashMap<(PoolKey, WaiterId), oneshot::Sender<()>>>,
    attempts: AtomicU64,
    is_unready: AtomicBool,
    is_closed: AtomicBool,
}

/// Parts that are made before the context.
pub struct ContextParts {
    /// Name of this entry.
    pub entry: EntryId,
    /// Life of this entry.
    pub incarnation: u64,
    /// Address at which other entries reach it.
    pub rpc_address: SocketAddr,
    /// Calls to keepers.
    pub keepers: KeeperClient,
    /// Calls to other entries.
    pub caller: PeerCaller,
    /// Calls to endpoints.
    pub http: HttpClient,
    /// Router.
    pub router: RouterState,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EntryContext {
    /// Puts the context together.
    pub fn new(settings: EntrySettings, parts: ContextParts) -> Arc<Self> {
        Arc::new(Self {
            entry: parts.entry,
            incarnation: parts.incarnation,
            rpc_address: parts.rpc_address,
            keepers: parts.keepers,
            caller: parts.caller,
            http: parts.http,
            sessions: SessionCache::default(),
            explain: ExplainBook::default(),
            ratings: RatingSampler::new(&settings),
            metrics: EntryMetrics::default(),
            demand: Notify::new(),
            router: Mutex::new(parts.router),
            lease: Mutex::new(EntryLease::default()),
            live: Mutex::new(Vec::new()),
            desk: Mutex::new(CreditDesk::default()),
            wakers: Mutex::new(HashMap::new()),
            attempts: AtomicU64::new(0),
            is_unready: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            settings,
        })
    }

    /// The router. Held for decisions only, never across an `await`.
    pub fn router(&self) -> MutexGuard<'_, RouterState> {
        lock(&self.router)
    }

    /// The lease.
    pub fn lease(&self) -> MutexGuard<'_, EntryLease> {
        lock(&self.lease)
    }

    /// Live entries, as the keepers told last.
    pub fn live(&self) -> MutexGuard<'_, Vec<LiveEntry>> {
        lock(&self.live)
    }

    /// Books of the cold endpoints that this entry owns.
    pub fn desk(&self) -> MutexGuard<'_, CreditDesk> {
        lock(&self.desk)
    }

    /// Those who wait for a place, to be woken.
    pub fn wakers(&self) -> MutexGuard<'_, HashMap<(PoolKey, WaiterId), oneshot::Sender<()>>> {
        lock(&self.wakers)
    }

    /// A new attempt of this life.
    pub fn next_attempt(&self) -> AttemptId {
        AttemptId {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            number: self.attempts.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// A request id that no other request has.
    pub fn request_id(&self, attempt: &AttemptId) -> String {
        format!("{}-{:x}-{}", self.entry, self.incarnation, attempt.number)
    }

    /// Whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_unready.load(Ordering::Relaxed) && self.lease().is_valid(clock::now())
    }

    /// From now on the balancer is told to look elsewhere.
    pub fn set_unready(&self) {
        self.is_unready.store(true, Ordering::Relaxed);
    }

    /// From now on new requests are refused.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Whether the entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_unready.load(Ordering::Relaxed)
    }

    /// Whether new work may start.
    ///
    /// # Errors
    /// [`Refusal`] while the entry shuts down or holds no lease.
    pub fn check_may_start(&self) -> Result<(), Refusal> {
        if self.is_closed.load(Ordering::Relaxed) {
            let refusal = Refusal::not_run(RefusalCode::ShuttingDown, "this entry shuts down");
            return Err(refusal);
        }
        if !self.lease().is_valid(clock::now()) {
            let message = "this entry holds no lease from the keepers";
            return Err(Refusal::not_run(RefusalCode::NotInForce, message));
        }
        Ok(())
    }
}
