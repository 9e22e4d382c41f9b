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
    /// Load of the pool, as a share of its slots, from which on the bar is lowered.
    pub busy_load: f64,
    /// Load at which no larger model is asked any more.
    pub full_load: f64,
}

impl Default for LadderSettings {
    fn default() -> Self {
        Self {
            bar: 58.0,
            latest_share: 0.6,
            busy_load: 0.7,
            full_load: 1.2,
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
    /// begin, `load` the running and waiting calls of the pool against its slots.
    pub fn next(
        &self,
        rung: usize,
        confidence: Option<f64>,
        waited: Duration,
        aim: Duration,
        load: f64,
    ) -> Option<usize> {
        let confidence = confidence?;
        let top = self.rungs.checked_sub(1)?;
        let is_late = waited > aim.mul_f64(self.settings.latest_share);
        if rung >= top || is_late || confidence >= self.bar(load) {
            return None;
        }
        Some(top)
    }

    /// The bar under `load`: full up to `busy_load`, nothing from `full_load` on.
    fn bar(&self, load: f64) -> f64 {
        let LadderSettings {
            bar,
            busy_load,
            full_load,
            ..
        } = self.settings;
        let share = (full_load - load) / (full_load - busy_load);
        bar * share.clamp(0.0, 1.0)
    }
}
