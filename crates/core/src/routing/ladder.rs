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
    /// Time between two events of streams of larger models, in milliseconds, from which on the
    /// bar is lowered: long streams are lost to deadlines and crashes, and each further one makes
    /// all longer.
    pub busy_gap_ms: f64,
    /// Time between two events at which no larger model is asked any more, in milliseconds.
    pub full_gap_ms: f64,
}

/// How busy the endpoints of a service are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolPressure {
    /// Time that calls wait before they are read.
    pub wait: Duration,
    /// Calls that run and wait, as a share of the slots.
    pub load: f64,
    /// Time between two events of a stream of a larger model.
    pub event_gap: Duration,
}

/// A call whose answer may be dropped for that of a larger model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClimbCandidate {
    /// Model that answered.
    pub rung: usize,
    /// How sure it is of its answer, 0 to 100.
    pub confidence: Option<f64>,
    /// Time since the call came.
    pub waited: Duration,
    /// Time within which the answer should begin.
    pub aim: Duration,
}

impl Default for LadderSettings {
    fn default() -> Self {
        Self {
            bar: 52.0,
            latest_share: 0.6,
            busy_share: 0.2,
            full_share: 0.9,
            busy_load: 0.3,
            full_load: 1.0,
            busy_gap_ms: 60.0,
            full_gap_ms: 210.0,
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

    /// Rung to ask next, where the answer of `call` is not good enough for a pool as busy as
    /// `pool`.
    pub fn next(&self, call: &ClimbCandidate, pool: PoolPressure) -> Option<usize> {
        let confidence = call.confidence?;
        let top = self.rungs.checked_sub(1)?;
        let is_late = call.waited > call.aim.mul_f64(self.settings.latest_share);
        if call.rung >= top || is_late || confidence >= self.bar(call, pool) {
            return None;
        }
        Some(top)
    }

    /// The bar: full while the pool is calm, nothing where it is as busy as it may be.
    fn bar(&self, call: &ClimbCandidate, pool: PoolPressure) -> f64 {
        let settings = &self.settings;
        let wait_share = pool.wait.as_secs_f64() / call.aim.as_secs_f64().max(0.001);
        let gap_ms = pool.event_gap.as_secs_f64() * 1_000.0;
        let room =
            |seen: f64, busy: f64, full: f64| ((full - seen) / (full - busy)).clamp(0.0, 1.0);
        let by_wait = room(wait_share, settings.busy_share, settings.full_share);
        let by_load = room(pool.load, settings.busy_load, settings.full_load);
        let by_pace = room(gap_ms, settings.busy_gap_ms, settings.full_gap_ms);
        settings.bar * by_wait.min(by_load).min(by_pace)
    }
}
