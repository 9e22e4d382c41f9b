//! Choice of the model that answers, and whether its answer is good enough to be passed on.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the ladder decides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LadderSettings {
    /// Confidence, 0 to 100, below which an answer of the first rung is dropped for a larger
    /// model's.
    pub bar: f64,
    /// Share of the aim after which no larger model is asked any more: its answer would be late.
    pub latest_share: f64,
    /// Wait at the pool, as a share of the aim, from which on the bar is lowered: a larger model
    /// takes several times the work, and those who wait behind it pay for it.
    pub busy_share: f64,
    /// Wait at which no larger model is asked any more.
    pub full_share: f64,
    /// Load of the pool, as a share of its slots, from which on the bar is lowered: all that an
    /// endpoint runs slows each stream down.
    pub busy_load: f64,
    /// Load at which no larger model is asked any more.
    pub full_load: f64,
}

/// How busy the endpoints of a service are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolPressure {
    /// Time that calls wait before they are read.
    pub wait: Duration,
    /// Calls that run and wait, as a share of the slots.
    pub load: f64,
}

impl Default for LadderSettings {
    fn default() -> Self {
        Self {
            bar: 58.0,
            latest_share: 0.6,
            busy_share: 0.2,
            full_share: 0.9,
            busy_load: 0.3,
            full_load: 1.0,
        }
    }
}

/// Rungs of one call.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelLadder {
    settings: LadderSettings,
    rungs: usize,
}

impl ModelLadder {
    /// A ladder of `rungs` models, cheapest first.
    pub fn new(settings: LadderSettings, rungs: usize) -> Self {
        Self { settings, rungs }
    }

    /// Rung to ask next, where the answer of `rung` with `confidence` is not good enough.
    ///
    /// `waited` is the time since the call came, `aim` the time within which its answer should
    /// begin, `pool` how busy the pool is.
    pub fn next(
        &self,
        rung: usize,
        confidence: Option<f64>,
        waited: Duration,
        aim: Duration,
        pool: PoolPressure,
    ) -> Option<usize> {
        let confidence = confidence?;
        let top = self.rungs.checked_sub(1)?;
        let is_late = waited > aim.mul_f64(self.settings.latest_share);
        if rung >= top || is_late || confidence >= self.bar(pool, aim) {
            return None;
        }
        Some(top)
    }

    /// The bar: full while the pool is calm, nothing where it is as busy as it may be.
    fn bar(&self, pool: PoolPressure, aim: Duration) -> f64 {
        let LadderSettings {
            bar,
            busy_share,
            full_share,
            busy_load,
            full_load,
            ..
        } = self.settings;
        let wait_share = pool.wait.as_secs_f64() / aim.as_secs_f64().max(0.001);
        let room =
            |seen: f64, busy: f64, full: f64| ((full - seen) / (full - busy)).clamp(0.0, 1.0);
        let by_wait = room(wait_share, busy_share, full_share);
        let by_load = room(pool.load, busy_load, full_load);
        bar * by_wait.min(by_load)
    }
}
