//! Estimates how long a new call waits at an endpoint before its prompt is processed.
//!
//! An endpoint processes prompts one after the other, interleaved with decoding for its running
//! calls, so the number of calls is a poor predictor of the wait. The estimate is based on the
//! pending work, including that of other entries, and on the delays of recent calls.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

use super::load_aggregation::{EndpointHash, WaitingWork, endpoint_hash};

/// How observed delays are averaged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueDelaySettings {
    /// Half-life of an observed delay, in milliseconds.
    pub half_life_ms: f64,
    /// Weight of a new observation in the moving average, 0 to 1.
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

/// Calls that this entry has sent to an endpoint and that have not begun to answer.
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

/// Queueing delay of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct QueueDelayEstimator {
    settings: QueueDelaySettings,
    endpoints: HashMap<Arc<str>, EndpointQueue>,
    peer_work_ms: HashMap<EndpointHash, f64>,
    peer_work_at: TimePoint,
}

impl QueueDelayEstimator {
    /// Creates an estimator without any observations.
    pub fn new(settings: QueueDelaySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    fn endpoint(&mut self, id: &Arc<str>) -> &mut EndpointQueue {
        let new_queue = || EndpointQueue {
            hash: endpoint_hash(id),
            ..EndpointQueue::default()
        };
        self.endpoints
            .entry(Arc::clone(id))
            .or_insert_with(new_queue)
    }

    /// Work that this entry has sent and that has not begun to answer, per endpoint.
    pub fn waiting_work(&self) -> Vec<WaitingWork> {
        let waiting = self.endpoints.values();
        let waiting = waiting.filter(|endpoint| endpoint.pending.work_ms >= 1.0);
        let item = |endpoint: &EndpointQueue| WaitingWork {
            endpoint: endpoint.hash,
            work_ms: endpoint.pending.work_ms as u32,
        };
        waiting.map(item).collect()
    }

    /// Replaces the pending work of the other entries with that reported at `now`.
    pub fn set_peer_work(&mut self, now: TimePoint, peer_work: &[WaitingWork]) {
        let items = peer_work.iter();
        self.peer_work_ms = items
            .map(|item| (item.endpoint, f64::from(item.work_ms)))
            .collect();
        self.peer_work_at = now;
    }

    /// Replaces the pending work of the other entries at the endpoints in `changed` with that reported
    /// at `now`. At all other endpoints, the last sum was still valid then.
    pub fn update_peer_work(&mut self, now: TimePoint, changed: &[WaitingWork]) {
        for item in changed {
            if item.work_ms == 0 {
                self.peer_work_ms.remove(&item.endpoint);
            } else {
                let work_ms = f64::from(item.work_ms);
                self.peer_work_ms.insert(item.endpoint, work_ms);
            }
        }
        self.peer_work_at = now;
    }

    /// Pending work of the other entries at an endpoint, less the time since it was reported, in which
    /// the endpoint has worked on it.
    fn peer_wait_ms(&self, now: TimePoint, endpoint: EndpointHash) -> f64 {
        let Some(reported) = self.peer_work_ms.get(&endpoint) else {
            return 0.0;
        };
        let age_ms = now.since(self.peer_work_at).as_secs_f64() * 1_000.0;
        (reported - age_ms).max(0.0)
    }

    /// Records that a call with `work_ms` of work was sent to `id`.
    pub fn add_pending(&mut self, id: &Arc<str>, work_ms: f64) {
        let pending = &mut self.endpoint(id).pending;
        pending.calls += 1;
        pending.work_ms += work_ms;
    }

    /// Records that a call with `work_ms` of work has begun to answer or has failed.
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

    /// Records that a call with `work_ms` of work began to answer, or was abandoned, `took` after
    /// it was sent. What exceeds `work_ms` counts as queueing delay.
    pub fn record_delay(&mut self, now: TimePoint, id: &Arc<str>, work_ms: f64, took: Duration) {
        let QueueDelaySettings { weight, .. } = self.settings;
        let previous = self.delay_ms(now, id);
        let measured = (took.as_secs_f64() * 1_000.0 - work_ms).max(0.0);
        let endpoint = self.endpoint(id);
        endpoint.delay_ms = previous * (1.0 - weight) + measured * weight;
        endpoint.delay_updated_at = now;
    }

    fn delay_ms(&self, now: TimePoint, id: &str) -> f64 {
        let endpoint = self.endpoints.get(id);
        endpoint.map_or(0.0, |endpoint| self.aged_delay_ms(now, endpoint))
    }

    fn aged_delay_ms(&self, now: TimePoint, endpoint: &EndpointQueue) -> f64 {
        if endpoint.delay_ms <= 0.0 {
            return 0.0;
        }
        let age_ms = now.since(endpoint.delay_updated_at).as_secs_f64() * 1_000.0;
        endpoint.delay_ms * 0.5_f64.powf(age_ms / self.settings.half_life_ms)
    }

    /// Expected wait of a new call to `id` before its prompt is processed, in milliseconds.
    pub fn wait_ms(&self, now: TimePoint, id: &str) -> f64 {
        let Some(endpoint) = self.endpoints.get(id) else {
            return self.peer_wait_ms(now, endpoint_hash(id));
        };
        let pending_ms = endpoint.pending.work_ms + self.peer_wait_ms(now, endpoint.hash);
        pending_ms.max(self.aged_delay_ms(now, endpoint))
    }

    /// Discards what is known of an endpoint.
    pub fn forget(&mut self, id: &str) {
        self.endpoints.remove(id);
    }
}

/// Relative step of an estimate towards each new measurement. Equal steps up and down make it
/// converge to the median.
const ESTIMATE_STEP: f64 = 0.05;
/// Fraction of the step for a measurement that may include queueing delay. Such a measurement is
/// an upper bound, so it can only lower the estimate.
const WAITING_STEP_FACTOR: f64 = 0.3;
/// Fixed cost of a call, in equivalent prompt tokens.
const FIXED_COST_TOKENS: f64 = 400.0;
/// Initial estimate, in milliseconds per token.
const INITIAL_MS_PER_TOKEN: f64 = 0.02;

/// State of an endpoint's queue when a call was sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueState {
    /// No pending work was known, so the time taken is that of the call's own work.
    Idle,
    /// Work was pending, so the time taken may include queueing delay.
    Waiting,
}

/// Estimates the prefill time of prompts, that is, the time to process them before the first
/// token. Tracks the median at idle endpoints for each kind of call.
#[derive(Clone, Debug, Default)]
pub struct PrefillTimeEstimator {
    ms_per_token: HashMap<u64, f64>,
}

impl PrefillTimeEstimator {
    /// Prefill time for `tokens` uncached prompt tokens, in milliseconds. `kind` identifies the
    /// model.
    pub fn prefill_ms(&self, kind: u64, tokens: f64) -> f64 {
        let rate = self.ms_per_token.get(&kind);
        (tokens + FIXED_COST_TOKENS) * rate.copied().unwrap_or(INITIAL_MS_PER_TOKEN)
    }

    /// Records that a call with `tokens` uncached prompt tokens took `took` until its answer began.
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
