//! Passive health checking: ejects endpoints from their pool by the outcome of calls.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::TimePoint;

/// When an endpoint is ejected and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// Number of calls over which the failure rate is averaged, with exponential decay.
    pub window_calls: f64,
    /// Minimum number of calls before an endpoint can be ejected.
    pub min_calls: f64,
    /// Failure rate above that of the rest of the pool at which an endpoint is ejected.
    pub excess_failure_rate: f64,
    /// Duration of the first ejection, doubled with each consecutive one.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection for failures.
    pub max_ejection: Duration,
    /// Duration of an ejection of an endpoint that refuses connections or does not answer.
    pub unreachable_ejection: Duration,
    /// Maximum share of a pool that can be ejected for failures. Unreachable endpoints are ejected
    /// regardless.
    pub max_ejected_share: f64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            window_calls: 10.0,
            min_calls: 3.0,
            excess_failure_rate: 0.25,
            base_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(8),
            unreachable_ejection: Duration::from_millis(700),
            max_ejected_share: 0.4,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct EndpointHealth {
    /// Failed calls, decayed like `count`.
    failed: f64,
    /// All calls, with exponential decay.
    count: f64,
    /// Mean logarithm of the endpoint's latency relative to that of its pool.
    log_slowdown: f64,
    /// Consecutive ejections.
    ejections: u32,
    /// End of the last ejection; `None` once a call has succeeded since.
    ejected_until: Option<TimePoint>,
}

/// Running mean of the logarithm of the latency, in seconds, of one kind of call.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyMean {
    log_mean: f64,
    count: f64,
}

/// Number of calls over which the latency of a kind of call is averaged.
const LATENCY_WINDOW_CALLS: f64 = 200.0;
/// Number of calls over which the slowdown of an endpoint is averaged.
const SLOWDOWN_WINDOW_CALLS: f64 = 8.0;
/// Bound on the log ratio of a single call, so that one outlier does not dominate the mean.
const MAX_LOG_RATIO: f64 = 2.5;

/// Health of the endpoints that this entry calls, as it observes it.
#[derive(Clone, Debug, Default)]
pub struct PoolHealth {
    settings: HealthSettings,
    endpoints: HashMap<Arc<str>, EndpointHealth>,
    latencies: HashMap<u64, LatencyMean>,
}

impl PoolHealth {
    /// Creates a tracker without any observations.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether `id` is ejected and gets no calls.
    pub fn is_ejected(&self, now: TimePoint, id: &str) -> bool {
        let health = self.endpoints.get(id);
        health.is_some_and(|health| health.ejected_until.is_some_and(|until| now < until))
    }

    /// End of the last ejection of `id`, if it has not answered successfully since.
    pub fn ejected_until(&self, id: &str) -> Option<TimePoint> {
        self.endpoints.get(id)?.ejected_until
    }

    /// Whether `id` is or was ejected and has not answered successfully since.
    pub fn is_recovering(&self, id: &str) -> bool {
        let health = self.endpoints.get(id);
        health.is_some_and(|health| health.ejected_until.is_some())
    }

    /// Latency of `id` relative to its pool; 2.0 means twice as long.
    pub fn slowdown(&self, id: &str) -> f64 {
        self.endpoints
            .get(id)
            .map_or(1.0, |health| health.log_slowdown.exp())
    }

    /// Records a successful answer after `took`. Latency is compared among calls of the same
    /// `kind`, which stands for calls of similar length.
    pub fn record_success(&mut self, id: &Arc<str>, kind: u64, took: Duration) {
        let log_latency = took.as_secs_f64().max(0.001).ln();
        let mean = self.latencies.entry(kind).or_default();
        let previous_count = mean.count;
        let log_ratio = log_latency - mean.log_mean;
        mean.count = (mean.count + 1.0).min(LATENCY_WINDOW_CALLS);
        mean.log_mean += log_ratio / mean.count;
        let health = self.endpoints.entry(Arc::clone(id)).or_default();
        if previous_count >= 5.0 {
            let log_ratio = log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
            health.log_slowdown += (log_ratio - health.log_slowdown) / SLOWDOWN_WINDOW_CALLS;
        }
        health.observe(self.settings.window_calls, false);
        health.ejected_until = None;
        if health.failed < 0.5 {
            health.ejections = 0;
        }
    }

    /// Records a failed call and returns whether it got the endpoint ejected. `pool` holds the
    /// endpoints of the same service.
    pub fn record_failure(&mut self, now: TimePoint, id: &Arc<str>, pool: &[Arc<str>]) -> bool {
        let can_eject = self.can_eject(now, id, pool);
        let pool_failure_rate = self.pool_failure_rate(id, pool);
        let settings = self.settings.clone();
        let health = self.endpoints.entry(Arc::clone(id)).or_default();
        health.observe(settings.window_calls, true);
        let exceeds_pool_rate =
            health.failed / health.count >= pool_failure_rate + settings.excess_failure_rate;
        let has_enough_calls = health.count >= settings.min_calls || health.ejected_until.is_some();
        if !(exceeds_pool_rate && has_enough_calls && can_eject) {
            return false;
        }
        let factor = 2_u32.saturating_pow(health.ejections.min(4));
        let ejection = (settings.base_ejection * factor).min(settings.max_ejection);
        health.ejections += 1;
        health.ejected_until = Some(now + ejection);
        true
    }

    /// Records that the endpoint cannot be reached, and ejects it.
    pub fn record_unreachable(&mut self, now: TimePoint, id: &Arc<str>) {
        let ejection = self.settings.unreachable_ejection;
        let health = self.endpoints.entry(Arc::clone(id)).or_default();
        health.observe(self.settings.window_calls, true);
        health.ejected_until = Some(now + ejection);
    }

    /// Discards what is known of an endpoint, for example after it restarted.
    pub fn forget(&mut self, id: &str) {
        self.endpoints.remove(id);
    }

    fn can_eject(&self, now: TimePoint, id: &str, pool: &[Arc<str>]) -> bool {
        let ejected = pool
            .iter()
            .filter(|other| ***other != *id && self.is_ejected(now, other))
            .count();
        (ejected + 1) as f64 <= pool.len() as f64 * self.settings.max_ejected_share
    }

    fn pool_failure_rate(&self, id: &str, pool: &[Arc<str>]) -> f64 {
        let others = pool.iter().filter(|other| ***other != *id);
        let (failed, count) = others
            .filter_map(|other| self.endpoints.get(other))
            .fold((0.0, 0.0), |(failed, count), health| {
                (failed + health.failed, count + health.count)
            });
        if count < 1.0 { 0.0 } else { failed / count }
    }
}

impl EndpointHealth {
    fn observe(&mut self, window_calls: f64, has_failed: bool) {
        let decay = 1.0 - 1.0 / window_calls;
        self.count = self.count * decay + 1.0;
        self.failed = self.failed * decay + f64::from(u8::from(has_failed));
    }
}
