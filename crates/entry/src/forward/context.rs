//! The parts that all filters of the request path share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chestnutloft_core::routing::LadderSettings;
use tokio::sync::watch;

use super::connections::LinkPool;
use super::dialect::EntryDialect;
use super::load_exchange::WorkShare;
use super::metrics::ForwardMetrics;
use super::settings::ForwardSettings;
use super::state::EntryBook;

/// Shared parts of the request path.
pub struct ForwardGate {
    /// Name of this entry.
    pub name: Arc<str>,
    /// How calls are written on the wire.
    pub dialect: EntryDialect,
    /// Choice of models.
    pub ladder: LadderSettings,
    /// Metrics.
    pub metrics: ForwardMetrics,
    /// Connections to endpoints.
    pub links: LinkPool,
    /// Exchange with the other entries of what waits at endpoints.
    pub share: WorkShare,
    /// Whether this entry is shutting down.
    pub leaving: watch::Receiver<bool>,
    /// Whether it refuses new calls for that reason.
    pub refusing: watch::Receiver<bool>,
    /// Set once the entry knows a declaration.
    pub informed: watch::Sender<bool>,
    book: Mutex<EntryBook>,
}

impl ForwardGate {
    /// The parts for an entry with `settings`.
    pub fn new(
        settings: &ForwardSettings,
        dialect: EntryDialect,
        leaving: watch::Receiver<bool>,
        refusing: watch::Receiver<bool>,
    ) -> Self {
        let book = EntryBook::new(settings);
        Self {
            name: Arc::from(settings.name.as_str()),
            dialect,
            ladder: settings.ladder.clone(),
            metrics: ForwardMetrics::default(),
            links: LinkPool::default(),
            share: WorkShare::default(),
            leaving,
            refusing,
            informed: watch::Sender::new(false),
            book: Mutex::new(book),
        }
    }

    /// What this entry knows.
    pub fn book(&self) -> MutexGuard<'_, EntryBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }
}
