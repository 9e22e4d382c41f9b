//! Ejection of endpoints that fail or are slow, with hysteresis and a cap.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::EndpointId;
use crate::time::TimePoint;

/// When an endpoint is ejected and when it returns.
#[derive(Clone, Debug, PartialEq)]
pub struct EjectionSettings {
    /// Share of failures at which an endpoint is ejected.
    pub eject_threshold: f64,
    /// Share of failures below which an endpoint may return.
    pub recovery_threshold: f64,
    /// Answers before an endpoint is judged.
    pub min_answers: f64,
    /// Answers that the share remembers.
    pub window_answers: f64,
    /// First stay outside, doubled with each ejection in a row.
    pub base_duration: Duration,
    /// Longest stay outside.
    pub max_duration: Duration,
    /// Share of a service's endpoints that may be ejected at once.
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
    failed: f64,
    count: f64,
    ejections: u32,
}

/// Health of endpoints as this entry sees it.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    settings: EjectionSettings,
    health: HashMap<EndpointId, EndpointHealth>,
    /// Ejected endpoints alone, so that counting them does not grow with all endpoints.
    out: HashMap<EndpointId, TimePoint>,
}

impl OutlierDetector {
    /// An empty book.
    pub fn new(settings: EjectionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether `endpoint` is ejected now.
    pub fn is_ejected(&self, now: TimePoint, endpoint: &EndpointId) -> bool {
        self.out.get(endpoint).is_some_and(|until| now < *until)
    }

    /// Notes an answer of `endpoint`, one of `peers` endpoints of its service. Returns whether
    /// the endpoint is ejected by it.
    pub fn observe(
        &mut self,
        now: TimePoint,
        endpoint: &EndpointId,
        has_failed: bool,
        peers: usize,
    ) -> bool {
        self.out.retain(|_, until| now < *until);
        let ejected = self.out.len();
        let settings = &self.settings;
        let health = self.health.entry(endpoint.clone()).or_default();
        let keep = 1.0 - 1.0 / settings.window_answers;
        health.count = health.count * keep + 1.0;
        health.failed = health.failed * keep + f64::from(u8::from(has_failed));
        let share = health.failed / health.count;
        if self.out.contains_key(endpoint) {
            return false;
        }
        if share < settings.recovery_threshold {
            health.ejections = 0;
        }
        let has_room = (ejected + 1) as f64 <= peers as f64 * settings.max_ejected_share;
        let is_bad = has_failed && share >= settings.eject_threshold;
        if !is_bad || health.count < settings.min_answers || !has_room {
            return false;
        }
        let factor = 2_u32.saturating_pow(health.ejections.min(8));
        let stay = (settings.base_duration * factor).min(settings.max_duration);
        health.ejections += 1;
        self.out.insert(endpoint.clone(), now + stay);
        true
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.health.remove(endpoint);
        self.out.remove(endpoint);
    }
}
