//! Endpoints as they announce themselves to the keepers.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number of a change of the replicated state: the index of its log entry.
pub type ChangeIndex = u64;

/// Gone endpoints that the directory remembers, so that late notices stay without effect.
const MAX_GONE_ENDPOINTS: usize = 2_000;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointPhase {
    /// Takes new work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Has left, or its address belongs to another.
    Gone,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    /// Name of the endpoint in this life.
    pub id: Arc<str>,
    /// When it started, in Unix milliseconds on its own clock; orders lives.
    pub born_ms: u64,
    /// Number of the notice within this life.
    pub sequence: u64,
    /// Service.
    pub service: Arc<str>,
    /// `IP:port`.
    pub address: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: EndpointPhase,
    /// How much longer it is cold, in milliseconds.
    pub cold_left_ms: u64,
}

/// An endpoint in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEndpoint {
    /// Newest notice that changed something.
    pub notice: EndpointNotice,
    /// When it last changed.
    pub changed_at: ChangeIndex,
}

/// What a notice does to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeOutcome {
    /// Something that entries must know changes.
    Changes,
    /// The endpoint lives, and nothing else is new.
    Refreshes,
    /// The notice is older than what is known.
    Stale,
}

/// All endpoints, the gone ones among them for a while.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDirectory {
    endpoints: BTreeMap<Arc<str>, PoolEndpoint>,
}

/// Change of one endpoint, as entries learn it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryChange {
    /// The endpoint.
    pub endpoint: PoolEndpoint,
    /// How much longer it is cold, as of now, in milliseconds.
    pub cold_left_ms: u64,
}

impl EndpointDirectory {
    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &PoolEndpoint> {
        self.endpoints.values()
    }

    /// The endpoint called `id`.
    pub fn get(&self, id: &str) -> Option<&PoolEndpoint> {
        self.endpoints.get(id)
    }

    /// What `notice` would do.
    pub fn classify(&self, notice: &EndpointNotice) -> NoticeOutcome {
        if self.is_address_taken_over(notice) {
            return NoticeOutcome::Stale;
        }
        let Some(known) = self.endpoints.get(&notice.id) else {
            return NoticeOutcome::Changes;
        };
        let known = &known.notice;
        let order = (notice.born_ms, notice.sequence).cmp(&(known.born_ms, known.sequence));
        if order.is_lt() || (notice.born_ms == known.born_ms && known.phase == EndpointPhase::Gone)
        {
            return NoticeOutcome::Stale;
        }
        let is_same = known.born_ms == notice.born_ms
            && known.service == notice.service
            && known.address == notice.address
            && known.domain == notice.domain
            && known.version == notice.version
            && known.slots == notice.slots
            && known.phase == notice.phase
            // A cold endpoint that warms up says less each time; only a relapse is news.
            && notice.cold_left_ms <= known.cold_left_ms;
        if is_same {
            NoticeOutcome::Refreshes
        } else {
            NoticeOutcome::Changes
        }
    }

    fn is_address_taken_over(&self, notice: &EndpointNotice) -> bool {
        self.endpoints.values().any(|other| {
            other.notice.id != notice.id
                && other.notice.address == notice.address
                && other.notice.born_ms > notice.born_ms
        })
    }

    /// Applies a notice.
    pub fn apply(&mut self, index: ChangeIndex, notice: &EndpointNotice) -> NoticeOutcome {
        let outcome = self.classify(notice);
        if outcome == NoticeOutcome::Stale {
            return outcome;
        }
        self.retire_address(index, notice);
        let changed_at = match (outcome, self.endpoints.get(&notice.id)) {
            (NoticeOutcome::Refreshes, Some(known)) => known.changed_at,
            _ => index,
        };
        let endpoint = PoolEndpoint {
            notice: notice.clone(),
            changed_at,
        };
        self.endpoints.insert(Arc::clone(&notice.id), endpoint);
        self.evict_oldest_gone();
        outcome
    }

    /// An address belongs to the endpoint that was born last.
    fn retire_address(&mut self, index: ChangeIndex, notice: &EndpointNotice) {
        for other in self.endpoints.values_mut() {
            let is_replaced = other.notice.id != notice.id
                && other.notice.address == notice.address
                && other.notice.phase != EndpointPhase::Gone;
            if is_replaced {
                other.notice.phase = EndpointPhase::Gone;
                other.changed_at = index;
            }
        }
    }

    /// Marks an endpoint as gone. Returns whether that is news.
    pub fn leave(&mut self, index: ChangeIndex, id: &str, born_ms: Option<u64>) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else {
            return false;
        };
        let is_other_incarnation = born_ms.is_some_and(|born| born != known.notice.born_ms);
        if is_other_incarnation || known.notice.phase == EndpointPhase::Gone {
            return false;
        }
        known.notice.phase = EndpointPhase::Gone;
        known.changed_at = index;
        true
    }

    fn evict_oldest_gone(&mut self) {
        let is_gone = |endpoint: &&PoolEndpoint| endpoint.notice.phase == EndpointPhase::Gone;
        if self.endpoints.values().filter(is_gone).count() <= MAX_GONE_ENDPOINTS {
            return;
        }
        let oldest = self.endpoints.values().filter(is_gone);
        let oldest = oldest.min_by_key(|endpoint| endpoint.changed_at);
        if let Some(id) = oldest.map(|endpoint| Arc::clone(&endpoint.notice.id)) {
            self.endpoints.remove(&id);
        }
    }
}
