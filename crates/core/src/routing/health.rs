//! Health of endpoints by the evidence of calls.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::TimePoint;

/// When an endpoint is ejected and how it returns.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// Calls that the share of failures remembers.
    pub memory: f64,
    /// Calls before an endpoint is judged.
    pub min_calls: f64,
    /// Share of failures above that of the whole pool at which an endpoint is ejected.
    pub excess: f64,
    /// Stay outside, doubled with each ejection in a row.
    pub stay: Duration,
    /// Longest stay outside.
    pub longest_stay: Duration,
    /// Stay of an endpoint that refuses connections or is silent.
    pub down_stay: Duration,
    /// Share of a pool that may be ejected for failures.
    pub ejected_share: f64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            memory: 10.0,
            min_calls: 3.0,
            excess: 0.25,
            stay: Duration::from_secs(2),
            longest_stay: Duration::from_secs(8),
            down_stay: Duration::from_millis(700),
            ejected_share: 0.4,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct EndpointHealth {
    failed: f64,
    count: f64,
    /// Logarithm of the endpoint's times against those of its pool.
    pace: f64,
    ejections: u32,
    out_until: Option<TimePoint>,
}

/// Mean logarithm of the times of one kind of call.
#[derive(Clone, Copy, Debug, Default)]
struct PaceMean {
    mean: f64,
    count: f64,
}

/// Calls that a mean time remembers.
const PACE_MEMORY: f64 = 200.0;
/// Calls that an endpoint's pace remembers.
const ENDPOINT_PACE_MEMORY: f64 = 8.0;
/// Bounds of an endpoint's pace: a single odd time must not decide.
const PACE_BOUND: f64 = 2.5;

/// Health of the endpoints that this entry calls.
#[derive(Clone, Debug, Default)]
pub struct PoolHealth {
    settings: HealthSettings,
    endpoints: HashMap<Arc<str>, EndpointHealth>,
    paces: HashMap<u64, PaceMean>,
}

impl PoolHealth {
    /// Empty.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether `id` gets no calls now.
    pub fn is_out(&self, now: TimePoint, id: &str) -> bool {
        let health = self.endpoints.get(id);
        health.is_some_and(|health| health.out_until.is_some_and(|until| now < until))
    }

    /// Whether `id` was ejected lately and has not answered well since.
    pub fn is_on_trial(&self, id: &str) -> bool {
        let health = self.endpoints.get(id);
        health.is_some_and(|health| health.out_until.is_some())
    }

    /// How many times longer `id` takes than its pool.
    pub fn pace(&self, id: &str) -> f64 {
        self.endpoints
            .get(id)
            .map_or(1.0, |health| health.pace.exp())
    }

    /// Notes a good answer that took `took`; `kind` names calls of like length.
    pub fn note_success(&mut self, id: &Arc<str>, kind: u64, took: Duration) {
        let log_time = took.as_secs_f64().max(0.001).ln();
        let mean = self.paces.entry(kind).or_default();
        let known = mean.count;
        let ratio = log_time - mean.mean;
        mean.count = (mean.count + 1.0).min(PACE_MEMORY);
        mean.mean += ratio / mean.count;
        let health = self.endpoints.entry(Arc::clone(id)).or_default();
        if known >= 5.0 {
            let ratio = ratio.clamp(-PACE_BOUND, PACE_BOUND);
            health.pace += (ratio - health.pace) / ENDPOINT_PACE_MEMORY;
        }
        health.observe(self.settings.memory, false);
        health.out_until = None;
        if health.failed < 0.5 {
            health.ejections = 0;
        }
    }

    /// Notes a failed call. `pool` are the endpoints of the same service. Returns whether the
    /// endpoint is ejected by it.
    pub fn note_failure(&mut self, now: TimePoint, id: &Arc<str>, pool: &[Arc<str>]) -> bool {
        let has_room = self.has_room(now, id, pool);
        let pool_share = self.pool_share(id, pool);
        let settings = self.settings.clone();
        let health = self.endpoints.entry(Arc::clone(id)).or_default();
        health.observe(settings.memory, true);
        let is_bad = health.failed / health.count >= pool_share + settings.excess;
        let is_judged = health.count >= settings.min_calls || health.out_until.is_some();
        if !(is_bad && is_judged && has_room) {
            return false;
        }
        let factor = 2_u32.saturating_pow(health.ejections.min(4));
        let stay = (settings.stay * factor).min(settings.longest_stay);
        health.ejections += 1;
        health.out_until = Some(now + stay);
        true
    }

    /// Notes that the endpoint cannot be reached.
    pub fn note_down(&mut self, now: TimePoint, id: &Arc<str>) {
        let stay = self.settings.down_stay;
        let health = self.endpoints.entry(Arc::clone(id)).or_default();
        health.observe(self.settings.memory, true);
        health.out_until = Some(now + stay);
    }

    /// Forgets an endpoint, as after a restart.
    pub fn forget(&mut self, id: &str) {
        self.endpoints.remove(id);
    }

    fn has_room(&self, now: TimePoint, id: &str, pool: &[Arc<str>]) -> bool {
        let out = pool
            .iter()
            .filter(|other| ***other != *id && self.is_out(now, other))
            .count();
        (out + 1) as f64 <= pool.len() as f64 * self.settings.ejected_share
    }

    fn pool_share(&self, id: &str, pool: &[Arc<str>]) -> f64 {
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
    fn observe(&mut self, memory: f64, has_failed: bool) {
        let keep = 1.0 - 1.0 / memory;
        self.count = self.count * keep + 1.0;
        self.failed = self.failed * keep + f64::from(u8::from(has_failed));
    }
}
