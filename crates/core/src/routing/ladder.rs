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
}

impl Default for LadderSettings {
    fn default() -> Self {
        Self {
            bar: 58.0,
            latest_share: 0.6,
            busy_share: 0.2,
            full_share: 0.9,
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

    /// Rung to start on.
    pub fn first(&self) -> usize {
        0
    }

    /// Rung to ask next, where the answer of `rung` with `confidence` is not good enough.
    ///
    /// `waited` is the time since the call came, `aim` the time within which its answer should
    /// begin, `pool_wait` the time that calls wait at the pool before they are read.
    pub fn next(
        &self,
        rung: usize,
        confidence: Option<f64>,
        waited: Duration,
        aim: Duration,
        pool_wait: Duration,
    ) -> Option<usize> {
        let confidence = confidence?;
        let top = self.rungs.checked_sub(1)?;
        let is_late = waited > aim.mul_f64(self.settings.latest_share);
        if rung >= top || is_late || confidence >= self.bar(pool_wait, aim) {
            return None;
        }
        Some(top)
    }

    /// The bar: full while the pool is calm, nothing where calls wait as long as they may.
    fn bar(&self, pool_wait: Duration, aim: Duration) -> f64 {
        let LadderSettings {
            bar,
            busy_share,
            full_share,
            ..
        } = self.settings;
        let share = pool_wait.as_secs_f64() / aim.as_secs_f64().max(0.001);
        bar * ((full_share - share) / (full_share - busy_share)).clamp(0.0, 1.0)
    }
}
