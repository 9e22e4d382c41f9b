//! State shared by all stages of the request path.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chestnutloft_core::routing::EscalationSettings;
use tokio::sync::{Notify, watch};

use super::admission_queues::AdmissionQueues;
use super::body_memory::BodyMemoryPools;
use super::codec::EntryCodec;
use super::connections::ConnectionPool;
use super::load_exchange::LoadExchange;
use super::metrics::ForwardMetrics;
use super::settings::ForwardSettings;
use super::state::EntryState;

/// State shared by all stages of the request path.
pub struct ForwardContext {
    /// Name of this entry.
    pub name: Arc<str>,
    /// Wire format of calls, attempts and responses.
    pub codec: EntryCodec,
    /// When a call is escalated to a larger model.
    pub escalation: EscalationSettings,
    /// Metric instruments.
    pub metrics: ForwardMetrics,
    /// Memory for bodies.
    pub bodies: BodyMemoryPools,
    /// Idle connections to endpoints.
    pub connections: ConnectionPool,
    /// Exchange of pending work per endpoint with the other entries.
    pub load_exchange: LoadExchange,
    /// Calls that wait for an endpoint.
    pub(super) admission: AdmissionQueues,
    /// Changes when a waiting call may find capacity: an attempt has ended, an endpoint or new load
    /// information has come.
    pub capacity_changed: watch::Sender<()>,
    /// Set once shutdown has begun.
    pub shutting_down: watch::Receiver<bool>,
    /// Set during shutdown, once new calls are refused.
    pub refusing_calls: watch::Receiver<bool>,
    /// Notified when there are observations of prompt segments to report.
    pub segment_news: Notify,
    /// Changes when the set of blocked prompt segments does.
    pub segment_blocks: watch::Sender<()>,
    /// Set once the entry has a declaration with routes to serve.
    pub has_routes: watch::Sender<bool>,
    state: Mutex<EntryState>,
}

impl ForwardContext {
    /// Creates the context of an entry with `settings`.
    pub fn new(
        settings: &ForwardSettings,
        codec: EntryCodec,
        shutting_down: watch::Receiver<bool>,
        refusing_calls: watch::Receiver<bool>,
    ) -> Self {
        let state = EntryState::new(settings);
        let metrics = ForwardMetrics::default();
        Self {
            name: Arc::from(settings.name.as_str()),
            codec,
            escalation: settings.ladder.clone(),
            bodies: BodyMemoryPools::new(settings.memory_bytes(), metrics.ended_relays.clone()),
            metrics,
            connections: ConnectionPool::default(),
            load_exchange: LoadExchange::default(),
            admission: AdmissionQueues::default(),
            capacity_changed: watch::Sender::new(()),
            shutting_down,
            refusing_calls,
            segment_news: Notify::new(),
            segment_blocks: watch::Sender::new(()),
            has_routes: watch::Sender::new(false),
            state: Mutex::new(state),
        }
    }

    /// Locks the state that routing decisions are based on.
    pub fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }
}
