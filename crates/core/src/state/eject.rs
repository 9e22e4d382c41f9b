//! Outlier detection: ejects endpoints that fail or are slow, with hysteresis and a cap on the
//! number of ejected endpoints.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::EndpointId;
use crate::time::TimePoint;

/// When an endpoint is ejected, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionSettings {
    /// Share of failures at which an endpoint is ejected.
    pub eject_threshold: f64,
    /// Share of failures below which an endpoint counts as recovered: its next ejection lasts
    /// [`Self::base_duration`] again.
    pub recovery_threshold: f64,
    /// Answers needed before an endpoint may be ejected.
    pub min_answers: f64,
    /// Answers over which the share of failures is averaged (exponentially weighted).
    pub window_answers: f64,
    /// Duration of the first ejection; it doubles with each further one without recovery.
    pub base_duration: Duration,
    /// Maximum duration of an ejection.
    pub max_duration: Duration,
    /// Maximum share of a pool's endpoints that may be ejected at the same time.
    pub max_ejected_share: f64,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        Self {
            eject_threshold: 0.5,
            recovery_threshold: 0.25,
            min_answers: 4.0,
            window_answers: 10.0,
            base_duration: Duration::from_secs(3),
            max_duration: Duration::from_secs(48),
            max_ejected_share: 0.3,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct EndpointHealth {
    /// Decayed number of failed answers.
    failed: f64,
    /// Decayed number of all answers.
    count: f64,
    /// Ejections since the endpoint last counted as recovered.
    ejections: u32,
}

/// Health of endpoints as observed by this entry.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    settings: EjectionSettings,
    health: HashMap<EndpointId, EndpointHealth>,
    /// When each ejected endpoint returns. Kept apart from `health` so that the cost of counting
    /// ejected endpoints does not grow with the number of all endpoints.
    ejected_until: HashMap<EndpointId, TimePoint>,
}

impl OutlierDetector {
    /// Creates a detector that has seen no answers.
    pub fn new(settings: EjectionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether `endpoint` is ejected now.
    pub fn is_ejected(&self, now: TimePoint, endpoint: &EndpointId) -> bool {
        self.ejected_until
            .get(endpoint)
            .is_some_and(|until| now < *until)
    }

    /// Records an answer of `endpoint`, which is in a pool of `pool_size` endpoints. A slow answer
    /// counts as failed too. Returns whether this answer got the endpoint ejected.
    pub fn observe(
        &mut self,
        now: TimePoint,
        endpoint: &EndpointId,
        has_failed: bool,
        pool_size: usize,
    ) -> bool {
        self.ejected_until.retain(|_, until| now < *until);
        let ejected = self.ejected_until.len();
        let settings = &self.settings;
        let health = self.health.entry(endpoint.clone()).or_default();
        let decay = 1.0 - 1.0 / settings.window_answers;
        health.count = health.count * decay + 1.0;
        health.failed = health.failed * decay + f64::from(u8::from(has_failed));
        let share = health.failed / health.count;
        if self.ejected_until.contains_key(endpoint) {
            return false;
        }
        if share < settings.recovery_threshold {
            health.ejections = 0;
        }
        let is_below_cap = (ejected + 1) as f64 <= pool_size as f64 * settings.max_ejected_share;
        let is_bad = has_failed && share >= settings.eject_threshold;
        if !is_bad || health.count < settings.min_answers || !is_below_cap {
            return false;
        }
        let factor = 2_u32.saturating_pow(health.ejections.min(8));
        let duration = (settings.base_duration * factor).min(settings.max_duration);
        health.ejections += 1;
        self.ejected_until.insert(endpoint.clone(), now + duration);
        true
    }

    /// Discards the health of an endpoint and lifts its ejection.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.health.remove(endpoint);
        self.ejected_until.remove(endpoint);
    }
}
