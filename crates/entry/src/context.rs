//! State shared by the tasks of an entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};

use chestnutloft_core::admission::WaiterId;
use chestnutloft_core::ids::EntryId;
use chestnutloft_core::ledger::AttemptId;
use chestnutloft_core::pipe::{Refusal, RefusalCode, RouterState};
use chestnutloft_core::state::{EntryLease, LiveEntry, PoolKey};
use chestnutloft_wire::clock;
use chestnutloft_wire::http::HttpClient;
use chestnutloft_wire::rpc_client::RpcClient;

use crate::credit::CreditRegistry;
use crate::explain::DecisionLog;
use crate::keeper_client::KeeperClient;
use crate::metrics::EntryMetrics;
use crate::rating::RatingSampler;
use crate::session::SessionCache;
use crate::settings::EntrySettings;

/// State shared by the tasks of an entry.
pub struct EntryContext {
    /// Settings of this entry.
    pub settings: EntrySettings,
    /// Name of this entry.
    pub entry: EntryId,
    /// Start time of this process in Unix microseconds; grows with each restart of the entry.
    pub incarnation: u64,
    /// Address at which other entries reach this one by RPC.
    pub rpc_address: SocketAddr,
    /// Client for the keepers.
    pub keepers: KeeperClient,
    /// RPC client for other entries.
    pub rpc_client: RpcClient,
    /// HTTP client for endpoints and the rating service.
    pub http: HttpClient,
    /// Cache of session bindings.
    pub sessions: SessionCache,
    /// Recent routing decisions, for `chestnutloft explain`.
    pub decisions: DecisionLog,
    /// Selects answers for rating.
    pub ratings: RatingSampler,
    /// Metrics of this entry.
    pub metrics: EntryMetrics,
    /// Notified when a request could not start because this entry holds no slot of a cold endpoint.
    pub cold_slot_demand: Notify,
    router: Mutex<RouterState>,
    lease: Mutex<EntryLease>,
    live_entries: Mutex<Vec<LiveEntry>>,
    credit_registry: Mutex<CreditRegistry>,
    queue_wakers: Mutex<HashMap<(PoolKey, WaiterId), oneshot::Sender<()>>>,
    attempt_counter: AtomicU64,
    is_draining: AtomicBool,
    is_admission_stopped: AtomicBool,
}

/// Components that are created before the context.
pub struct ContextParts {
    /// Name of this entry.
    pub entry: EntryId,
    /// Start time of this process in Unix microseconds.
    pub incarnation: u64,
    /// RPC address that this entry gives to other entries.
    pub rpc_address: SocketAddr,
    /// Client for the keepers.
    pub keepers: KeeperClient,
    /// RPC client for other entries.
    pub rpc_client: RpcClient,
    /// HTTP client for endpoints and the rating service.
    pub http: HttpClient,
    /// Routing state.
    pub router: RouterState,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EntryContext {
    /// Creates the shared state from its components.
    pub fn new(settings: EntrySettings, parts: ContextParts) -> Arc<Self> {
        Arc::new(Self {
            entry: parts.entry,
            incarnation: parts.incarnation,
            rpc_address: parts.rpc_address,
            keepers: parts.keepers,
            rpc_client: parts.rpc_client,
            http: parts.http,
            sessions: SessionCache::default(),
            decisions: DecisionLog::default(),
            ratings: RatingSampler::new(&settings),
            metrics: EntryMetrics::default(),
            cold_slot_demand: Notify::new(),
            router: Mutex::new(parts.router),
            lease: Mutex::new(EntryLease::default()),
            live_entries: Mutex::new(Vec::new()),
            credit_registry: Mutex::new(CreditRegistry::default()),
            queue_wakers: Mutex::new(HashMap::new()),
            attempt_counter: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_admission_stopped: AtomicBool::new(false),
            settings,
        })
    }

    /// Locks the routing state. The guard must not be held across an `await`.
    pub fn router(&self) -> MutexGuard<'_, RouterState> {
        lock(&self.router)
    }

    /// Locks the lease.
    pub fn lease(&self) -> MutexGuard<'_, EntryLease> {
        lock(&self.lease)
    }

    /// Locks the list of live entries that the keepers sent last.
    pub fn live_entries(&self) -> MutexGuard<'_, Vec<LiveEntry>> {
        lock(&self.live_entries)
    }

    /// Locks the slot credits of the cold endpoints that this entry owns.
    pub fn credit_registry(&self) -> MutexGuard<'_, CreditRegistry> {
        lock(&self.credit_registry)
    }

    /// Locks the channels that wake queued requests.
    pub fn queue_wakers(
        &self,
    ) -> MutexGuard<'_, HashMap<(PoolKey, WaiterId), oneshot::Sender<()>>> {
        lock(&self.queue_wakers)
    }

    /// Allocates an attempt id. Ids are unique across restarts through the incarnation.
    pub fn next_attempt(&self) -> AttemptId {
        AttemptId {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            number: self.attempt_counter.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Builds a request id that is unique in the cluster.
    pub fn request_id(&self, attempt: &AttemptId) -> String {
        format!("{}-{:x}-{}", self.entry, self.incarnation, attempt.number)
    }

    /// Whether load balancers may send requests to this entry.
    pub fn is_ready(&self) -> bool {
        !self.is_draining.load(Ordering::Relaxed) && self.lease().is_valid(clock::now())
    }

    /// Makes `/readyz` report not ready. Requests are still admitted.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Refuses new requests from now on.
    pub fn stop_admission(&self) {
        self.is_admission_stopped.store(true, Ordering::Relaxed);
    }

    /// Whether the entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Checks that this entry may start new work.
    ///
    /// # Errors
    /// [`Refusal`] while the entry shuts down or holds no lease.
    pub fn check_may_start(&self) -> Result<(), Refusal> {
        if self.is_admission_stopped.load(Ordering::Relaxed) {
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
