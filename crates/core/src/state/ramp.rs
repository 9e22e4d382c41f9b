//! How much a cold endpoint bears: a limit that grows on evidence.

use serde::{Deserialize, Serialize};

/// Growth of a cold endpoint's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RampSettings {
    /// Requests that a cold endpoint gets at once.
    pub initial_slots: u32,
    /// Percent by which the limit grows at each step.
    pub growth_percent: u32,
    /// Answers before the next step, as a multiple of the limit.
    pub answers_per_slot: u32,
    /// Healthy answers in this life after which the endpoint is warm whatever its limit: more
    /// evidence does not come where there is little traffic.
    pub warm_after: u32,
    /// Share of slow answers that halves the limit.
    pub slow_share: f64,
}

impl Default for RampSettings {
    fn default() -> Self {
        Self {
            initial_slots: 1,
            growth_percent: 50,
            answers_per_slot: 3,
            warm_after: 300,
            slow_share: 0.34,
        }
    }
}

/// The ramp of one endpoint in one life.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmupRamp {
    settings: RampSettings,
    limit: u32,
    full: u32,
    healthy: u32,
    slow: u32,
    healthy_in_all: u32,
}

impl WarmupRamp {
    /// A cold endpoint that serves `full` requests at once when warm.
    pub fn cold(settings: &RampSettings, full: u32) -> Self {
        Self {
            settings: settings.clone(),
            limit: settings.initial_slots.min(full.max(1)),
            full: full.max(1),
            healthy: 0,
            slow: 0,
            healthy_in_all: 0,
        }
    }

    /// An endpoint that is known to be warm.
    pub fn warm(settings: &RampSettings, full: u32) -> Self {
        Self {
            limit: full.max(1),
            ..Self::cold(settings, full)
        }
    }

    /// Requests that the endpoint bears now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the ramp is over.
    pub fn is_warm(&self) -> bool {
        self.limit() >= self.full || self.healthy_in_all >= self.settings.warm_after
    }

    /// Takes evidence: answers whose first token came in time, and answers that were slow or
    /// refused.
    pub fn observe(&mut self, healthy: u32, slow: u32) {
        if self.is_warm() {
            return;
        }
        self.healthy += healthy;
        self.slow += slow;
        let seen = self.healthy + self.slow;
        if slow == 0 {
            self.healthy_in_all += healthy;
        } else {
            self.healthy_in_all = 0;
        }
        if seen < self.limit() * self.settings.answers_per_slot {
            return;
        }
        let slow_share = f64::from(self.slow) / f64::from(seen);
        if slow_share >= self.settings.slow_share {
            self.limit = (self.limit / 2).max(1);
        } else {
            let growth = (self.limit * self.settings.growth_percent / 100).max(1);
            self.limit = (self.limit + growth).min(self.full);
        }
        self.healthy = 0;
        self.slow = 0;
    }
}
