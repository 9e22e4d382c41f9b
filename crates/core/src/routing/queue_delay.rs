//! How long an endpoint keeps a new call waiting, from what this entry sees of it.
//!
//! An endpoint reads prompts one after the other between the tokens of all that it runs, so the
//! number of its calls says little. What counts is the work that waits, that of other entries
//! included, and the delay that the last calls met.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

use super::load_aggregation::{EndpointHash, WaitingWork, endpoint_hash};

/// How pressure is measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueDelaySettings {
    /// Time in which a delay seen counts for half.
    pub half_life_ms: f64,
    /// Weight of a new delay against the one remembered.
    pub weight: f64,
}

impl Default for QueueDelaySettings {
    fn default() -> Self {
        Self {
            half_life_ms: 500.0,
            weight: 0.6,
        }
    }
}

/// Work of one endpoint that this entry has sent and that has not begun to answer.
#[derive(Clone, Copy, Debug, Default)]
struct PendingWork {
    calls: u32,
    work_ms: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct EndpointQueue {
    hash: EndpointHash,
    pending: PendingWork,
    delay_ms: f64,
    delay_updated_at: TimePoint,
}

/// Pressure of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct QueueDelayEstimator {
    settings: QueueDelaySettings,
    endpoints: HashMap<Arc<str>, EndpointQueue>,
    peer_work_ms: HashMap<EndpointHash, f64>,
    peer_work_at: TimePoint,
}

impl QueueDelayEstimator {
    /// Empty.
    pub fn new(settings: QueueDelaySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    fn endpoint(&mut self, id: &Arc<str>) -> &mut EndpointQueue {
        let unknown = || EndpointQueue {
            hash: endpoint_hash(id),
            ..EndpointQueue::default()
        };
        self.endpoints.entry(Arc::clone(id)).or_insert_with(unknown)
    }

    /// What this entry has sent that has not begun to answer.
    pub fn waiting_work(&self) -> Vec<WaitingWork> {
        let waiting = self.endpoints.values();
        let waiting = waiting.filter(|endpoint| endpoint.pending.work_ms >= 1.0);
        let item = |endpoint: &EndpointQueue| WaitingWork {
            endpoint: endpoint.hash,
            work_ms: endpoint.pending.work_ms as u32,
        };
        waiting.map(item).collect()
    }

    /// Notes what waits for other entries as of `now`.
    pub fn set_peer_work(&mut self, now: TimePoint, peer_work: &[WaitingWork]) {
        let items = peer_work.iter();
        self.peer_work_ms = items
            .map(|item| (item.endpoint, f64::from(item.work_ms)))
            .collect();
        self.peer_work_at = now;
    }

    /// What waits for other entries at `id`; the endpoint works on it as time passes.
    fn peer_wait_ms(&self, now: TimePoint, id: &str) -> f64 {
        let Some(reported) = self.peer_work_ms.get(&endpoint_hash(id)) else {
            return 0.0;
        };
        let age_ms = now.since(self.peer_work_at).as_secs_f64() * 1_000.0;
        (reported - age_ms).max(0.0)
    }

    /// Notes a call of `work_ms` sent to `id`.
    pub fn add_pending(&mut self, id: &Arc<str>, work_ms: f64) {
        let pending = &mut self.endpoint(id).pending;
        pending.calls += 1;
        pending.work_ms += work_ms;
    }

    /// Notes that a call of `work_ms` has begun to answer, or will not.
    pub fn remove_pending(&mut self, id: &str, work_ms: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let pending = &mut endpoint.pending;
            pending.calls = pending.calls.saturating_sub(1);
            pending.work_ms = if pending.calls == 0 {
                0.0
            } else {
                (pending.work_ms - work_ms).max(0.0)
            };
        }
    }

    /// Notes that a call of `work_ms` began to answer, or was given up, `took` after it was sent.
    pub fn record_delay(&mut self, now: TimePoint, id: &Arc<str>, work_ms: f64, took: Duration) {
        let QueueDelaySettings { weight, .. } = self.settings;
        let previous = self.delay_ms(now, id);
        let measured = (took.as_secs_f64() * 1_000.0 - work_ms).max(0.0);
        let endpoint = self.endpoint(id);
        endpoint.delay_ms = previous * (1.0 - weight) + measured * weight;
        endpoint.delay_updated_at = now;
    }

    fn delay_ms(&self, now: TimePoint, id: &str) -> f64 {
        self.endpoints.get(id).map_or(0.0, |endpoint| {
            let age_ms = now.since(endpoint.delay_updated_at).as_secs_f64() * 1_000.0;
            endpoint.delay_ms * 0.5_f64.powf(age_ms / self.settings.half_life_ms)
        })
    }

    /// Time that a new call to `id` waits before it is read, in milliseconds.
    pub fn wait_ms(&self, now: TimePoint, id: &str) -> f64 {
        let own = self
            .endpoints
            .get(id)
            .map_or(0.0, |endpoint| endpoint.pending.work_ms);
        (own + self.peer_wait_ms(now, id)).max(self.delay_ms(now, id))
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, id: &str) {
        self.endpoints.remove(id);
    }
}

/// Step of an estimate towards each new time, as a share.
const ESTIMATE_STEP: f64 = 0.05;
/// Part of the step for a time that may hold a wait: it can only show that the work is less.
const WAITING_STEP_FACTOR: f64 = 0.3;
/// Tokens that every call costs beside those it reads.
const FIXED_COST_TOKENS: f64 = 400.0;
/// First estimate, in milliseconds for each token.
const INITIAL_MS_PER_TOKEN: f64 = 0.02;

/// Whether work waited at an endpoint when a call was sent there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueState {
    /// Nothing is known to have waited: the time taken is that of the call's own work.
    Idle,
    /// The time taken may hold a wait.
    Waiting,
}

/// How long calls of each kind take to read: the median of the times at idle endpoints.
#[derive(Clone, Debug, Default)]
pub struct PrefillTimeEstimator {
    ms_per_token: HashMap<u64, f64>,
}

impl PrefillTimeEstimator {
    /// Work of a call that reads `tokens`, in milliseconds; `kind` names the model.
    pub fn prefill_ms(&self, kind: u64, tokens: f64) -> f64 {
        let rate = self.ms_per_token.get(&kind);
        (tokens + FIXED_COST_TOKENS) * rate.copied().unwrap_or(INITIAL_MS_PER_TOKEN)
    }

    /// Notes that a call which read `tokens` took `took`.
    pub fn record(&mut self, kind: u64, tokens: f64, took: Duration, queue: QueueState) {
        let measured = took.as_secs_f64() * 1_000.0 / (tokens + FIXED_COST_TOKENS);
        let rate = self
            .ms_per_token
            .entry(kind)
            .or_insert(INITIAL_MS_PER_TOKEN);
        let is_lower = measured < *rate;
        *rate *= match (queue, is_lower) {
            (QueueState::Idle, true) => 1.0 - ESTIMATE_STEP,
            (QueueState::Idle, false) => 1.0 + ESTIMATE_STEP,
            (QueueState::Waiting, true) => 1.0 - ESTIMATE_STEP * WAITING_STEP_FACTOR,
            (QueueState::Waiting, false) => 1.0,
        };
    }
}
