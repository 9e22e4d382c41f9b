//! Model cascade: decides whether an answer is good enough to be forwarded to the caller or is
//! discarded in favour of one from a larger model.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// When a call is escalated to a larger model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EscalationSettings {
    /// Confidence, 0 to 100, below which an answer is discarded for that of a larger model.
    pub bar: f64,
    /// Fraction of the target latency after which calls are no longer escalated, because the answer
    /// would be late.
    pub latest_share: f64,
    /// Queueing delay of the pool, as a fraction of the target latency, above which the required
    /// confidence is lowered. A larger model takes several times the work, which delays all calls
    /// queued behind it.
    pub busy_share: f64,
    /// Queueing delay, as a fraction of the target latency, from which calls are no longer
    /// escalated.
    pub full_share: f64,
    /// Load of the pool, as a fraction of its slots, above which the required confidence is
    /// lowered. Each call that an endpoint runs slows down all of its streams.
    pub busy_load: f64,
    /// Load, as a fraction of the slots, from which calls are no longer escalated.
    pub full_load: f64,
    /// Time between events in streams of larger models, in milliseconds, above which the required
    /// confidence is lowered. The longer a stream runs, the more likely it misses its deadline or
    /// is lost in a crash, and each additional stream slows down the others.
    pub busy_gap_ms: f64,
    /// Time between events, in milliseconds, from which calls are no longer escalated.
    pub full_gap_ms: f64,
}

/// Load of the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Mean time that a new call waits at an endpoint before its prompt is processed.
    pub queue_delay: Duration,
    /// Running and queued calls, as a fraction of the slots.
    pub utilization: f64,
    /// Mean time between events in streams of larger models.
    pub event_gap: Duration,
}

/// An answer that may be discarded for that of a larger model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EscalationCandidate {
    /// Index of the model that answered; models are ordered cheapest first.
    pub model_index: usize,
    /// Confidence that the model reports for its answer, 0 to 100.
    pub confidence: Option<f64>,
    /// Time since the call arrived.
    pub elapsed: Duration,
    /// Target time until the answer begins.
    pub target_latency: Duration,
}

impl Default for EscalationSettings {
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

/// Decides on escalations among the models of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct EscalationPolicy {
    settings: EscalationSettings,
    model_count: usize,
}

impl EscalationPolicy {
    /// Creates a policy for `model_count` models.
    pub fn new(settings: EscalationSettings, model_count: usize) -> Self {
        Self {
            settings,
            model_count,
        }
    }

    /// Returns the index of the model to ask next, or `None` if the answer is to be forwarded.
    /// Always escalates straight to the largest model. An answer without a confidence is forwarded.
    pub fn next_model(&self, answer: &EscalationCandidate, pool: PoolLoad) -> Option<usize> {
        let confidence = answer.confidence?;
        let largest = self.model_count.checked_sub(1)?;
        let is_late = answer.elapsed > answer.target_latency.mul_f64(self.settings.latest_share);
        if answer.model_index >= largest
            || is_late
            || confidence >= self.required_confidence(answer, pool)
        {
            return None;
        }
        Some(largest)
    }

    /// The configured confidence while the pool is idle, falling linearly to 0 as it fills up.
    fn required_confidence(&self, answer: &EscalationCandidate, pool: PoolLoad) -> f64 {
        let settings = &self.settings;
        let delay_share =
            pool.queue_delay.as_secs_f64() / answer.target_latency.as_secs_f64().max(0.001);
        let gap_ms = pool.event_gap.as_secs_f64() * 1_000.0;
        let headroom = |measured: f64, busy: f64, full: f64| {
            ((full - measured) / (full - busy)).clamp(0.0, 1.0)
        };
        let by_queue_delay = headroom(delay_share, settings.busy_share, settings.full_share);
        let by_utilization = headroom(pool.utilization, settings.busy_load, settings.full_load);
        let by_event_gap = headroom(gap_ms, settings.busy_gap_ms, settings.full_gap_ms);
        settings.bar * by_queue_delay.min(by_utilization).min(by_event_gap)
    }
}
