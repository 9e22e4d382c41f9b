//! Slow start of a cold endpoint: a concurrency limit that grows as healthy answers come in.

use serde::{Deserialize, Serialize};

use crate::limit_growth::{GrowthRule, LimitGrowth};

/// Growth of a cold endpoint's concurrency limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RampSettings {
    /// Concurrent requests that a cold endpoint receives at first.
    pub initial_slots: u32,
    /// Percent by which the limit grows at each step.
    pub growth_percent: u32,
    /// Answers needed before the limit changes, as a multiple of the limit.
    pub answers_per_slot: u32,
    /// Consecutive healthy answers after which the endpoint counts as warm even if its limit is
    /// still below its slots: with little traffic, there is no further evidence to wait for.
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

impl RampSettings {
    fn growth_rule(&self) -> GrowthRule {
        GrowthRule {
            growth_percent: self.growth_percent,
            answers_per_slot: self.answers_per_slot,
            max_bad_share: self.slow_share,
        }
    }
}

/// Concurrency limit of one endpoint that warms up.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmupRamp {
    warm_after: u32,
    growth: LimitGrowth,
    healthy_streak: u32,
}

impl WarmupRamp {
    /// A cold endpoint that serves `full_slots` concurrent requests when warm.
    pub fn cold(settings: &RampSettings, full_slots: u32) -> Self {
        Self {
            warm_after: settings.warm_after,
            growth: LimitGrowth::new(settings.growth_rule(), settings.initial_slots, full_slots),
            healthy_streak: 0,
        }
    }

    /// An endpoint that is known to be warm.
    pub fn warm(settings: &RampSettings, full_slots: u32) -> Self {
        Self {
            growth: LimitGrowth::new(settings.growth_rule(), full_slots.max(1), full_slots),
            ..Self::cold(settings, full_slots)
        }
    }

    /// Number of concurrent requests that the endpoint may receive now.
    pub fn limit(&self) -> u32 {
        self.growth.limit()
    }

    /// Whether the endpoint has warmed up and the limit no longer applies.
    pub fn is_warm(&self) -> bool {
        self.growth.is_full() || self.healthy_streak >= self.warm_after
    }

    /// Records `healthy` answers, whose first token came in time, and `slow` ones, which were late
    /// or failed.
    pub fn observe(&mut self, healthy: u32, slow: u32) {
        if self.is_warm() {
            return;
        }
        if slow == 0 {
            self.healthy_streak += healthy;
        } else {
            self.healthy_streak = 0;
        }
        self.growth.observe(healthy, slow);
    }
}
