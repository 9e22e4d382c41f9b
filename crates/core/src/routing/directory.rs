//! Service discovery: the endpoints that have announced themselves to the keepers.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies a change of the replicated state by the index of its log entry.
pub type ChangeIndex = u64;

/// Maximum number of gone endpoints that are kept, so that notices that arrive late do not bring
/// them back.
const MAX_GONE_ENDPOINTS: usize = 2_000;

/// Lifecycle phase of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointPhase {
    /// Accepts new calls.
    Ready,
    /// Finishes its calls and accepts no new ones.
    Draining,
    /// Has deregistered or was silent for too long, or another endpoint has taken over its address.
    Gone,
}

/// Announcement that an endpoint sends about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Start time in Unix milliseconds, by the endpoint's own clock. A restart gets a later time,
    /// so this identifies and orders the incarnations of an endpoint.
    pub born_ms: u64,
    /// Sequence number of the notice within the incarnation.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// `IP:port`.
    pub address: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Version of the service that it runs.
    pub version: Arc<str>,
    /// Maximum number of calls that it runs concurrently.
    pub slots: u32,
    /// Lifecycle phase.
    pub phase: EndpointPhase,
    /// Remaining warm-up time when the notice was sent, in milliseconds.
    pub cold_left_ms: u64,
    /// Names of the models that it runs; `None` if it names none.
    pub models: Option<Arc<[Arc<str>]>>,
}

impl EndpointNotice {
    /// The end of an incarnation of which no notice is known.
    fn ended(id: &str, born_ms: u64) -> Self {
        let unknown: Arc<str> = Arc::from("");
        Self {
            id: Arc::from(id),
            born_ms,
            sequence: u64::MAX,
            service: Arc::clone(&unknown),
            address: Arc::clone(&unknown),
            domain: Arc::clone(&unknown),
            version: unknown,
            slots: 0,
            phase: EndpointPhase::Gone,
            cold_left_ms: 0,
            models: None,
        }
    }

    /// Ends the incarnation: all its notices count as earlier than this one.
    fn end(&mut self) {
        self.phase = EndpointPhase::Gone;
        self.sequence = u64::MAX;
    }
}

/// An endpoint as recorded in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEndpoint {
    /// Latest notice applied, with its phase set to [`EndpointPhase::Gone`] once the endpoint is
    /// gone.
    pub notice: EndpointNotice,
    /// Last change that entries must learn of.
    pub changed_at: ChangeIndex,
}

/// Effect of a notice on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeOutcome {
    /// Changes something that entries must learn of.
    Changes,
    /// Only confirms that the endpoint is alive.
    Refreshes,
    /// Out of date; ignored.
    Stale,
}

/// Known endpoints, including those that have recently gone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDirectory {
    endpoints: BTreeMap<Arc<str>, PoolEndpoint>,
}

/// Change of an endpoint, as sent to entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryChange {
    /// The endpoint.
    pub endpoint: PoolEndpoint,
    /// Remaining warm-up time when the change is sent, in milliseconds.
    pub cold_left_ms: u64,
}

impl EndpointDirectory {
    /// Known endpoints, including gone ones, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &PoolEndpoint> {
        self.endpoints.values()
    }

    /// Looks up an endpoint by its id.
    pub fn get(&self, id: &str) -> Option<&PoolEndpoint> {
        self.endpoints.get(id)
    }

    /// Determines the effect of `notice` without applying it. That an endpoint has turned cold again
    /// is seen only if it stays cold for longer than in the latest notice applied.
    pub fn classify(&self, notice: &EndpointNotice) -> NoticeOutcome {
        if self.is_address_taken_over(notice) {
            return NoticeOutcome::Stale;
        }
        let Some(known) = self.endpoints.get(&notice.id) else {
            return NoticeOutcome::Changes;
        };
        let known = &known.notice;
        let order = (notice.born_ms, notice.sequence).cmp(&(known.born_ms, known.sequence));
        let is_known_end = order.is_eq() && known.phase == EndpointPhase::Gone;
        if order.is_lt() || is_known_end {
            return NoticeOutcome::Stale;
        }
        let is_same = known.born_ms == notice.born_ms
            && known.service == notice.service
            && known.address == notice.address
            && known.domain == notice.domain
            && known.version == notice.version
            && known.slots == notice.slots
            && known.phase == notice.phase
            && known.models == notice.models
            // The remaining warm-up time shrinks with each notice of a cold endpoint.
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

    /// Applies `notice` as change `index`.
    pub fn apply(&mut self, index: ChangeIndex, notice: &EndpointNotice) -> NoticeOutcome {
        // The leader tells by its clock whether an endpoint is still cold or cold again, and has only
        // those notices applied that entries must learn of.
        let outcome = match self.classify(notice) {
            NoticeOutcome::Stale => return NoticeOutcome::Stale,
            NoticeOutcome::Refreshes if notice.cold_left_ms == 0 => NoticeOutcome::Refreshes,
            NoticeOutcome::Refreshes | NoticeOutcome::Changes => NoticeOutcome::Changes,
        };
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

    /// Marks other endpoints with the address of `notice` as gone: an address belongs to the
    /// endpoint that started last.
    fn retire_address(&mut self, index: ChangeIndex, notice: &EndpointNotice) {
        for other in self.endpoints.values_mut() {
            let is_replaced = other.notice.id != notice.id
                && other.notice.address == notice.address
                && other.notice.phase != EndpointPhase::Gone;
            if is_replaced {
                other.notice.end();
                other.changed_at = index;
            }
        }
    }

    /// Marks an endpoint as gone because it was silent, and returns whether that changed anything. The
    /// next notice of the same incarnation brings it back.
    pub fn expire(&mut self, index: ChangeIndex, id: &str, born_ms: u64) -> bool {
        let known = self.endpoints.get_mut(id);
        let known = known.filter(|known| {
            known.notice.born_ms == born_ms && known.notice.phase != EndpointPhase::Gone
        });
        let Some(known) = known else {
            return false;
        };
        known.notice.phase = EndpointPhase::Gone;
        known.changed_at = index;
        true
    }

    /// Marks an endpoint as gone and returns whether entries must learn of that. With `born_ms`, only
    /// that incarnation and earlier ones are removed, also if none of their notices has arrived yet.
    pub fn leave(&mut self, index: ChangeIndex, id: &str, born_ms: Option<u64>) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else {
            if let Some(born_ms) = born_ms {
                let endpoint = PoolEndpoint {
                    notice: EndpointNotice::ended(id, born_ms),
                    changed_at: index,
                };
                self.endpoints.insert(Arc::from(id), endpoint);
                self.evict_oldest_gone();
            }
            return false;
        };
        let born_ms = born_ms.unwrap_or(known.notice.born_ms);
        if born_ms < known.notice.born_ms {
            return false;
        }
        let was_gone = known.notice.phase == EndpointPhase::Gone && born_ms == known.notice.born_ms;
        known.notice.born_ms = born_ms;
        known.notice.end();
        if !was_gone {
            known.changed_at = index;
        }
        !was_gone
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
