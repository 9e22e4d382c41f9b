//! Model cascade: decides whether an answer is good enough to be forwarded to the caller or is
//! discarded in favor of one from a larger model.
//!
//! A larger model is asked if the expected gain pays for it. The gain is the worth of the answer
//! times the chance that the present one is wrong. The price is what the larger model charges for
//! the call, multiplied as the pool fills up: its time is then taken from other calls. So an idle
//! pool escalates whatever pays, and a filling pool first gives up the escalations that gain least
//! for their price.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admission::ClassRank;

/// When a call is escalated to a larger model. Worth and price are in the unit of the declared
/// cost of models.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EscalationSettings {
    /// Worth of a right answer for each 1,000 tokens of its prompt.
    pub prompt_worth: f64,
    /// Worth of a right answer for each 1,000 tokens that it may generate.
    pub output_worth: f64,
    /// Price of a prompt token, as a fraction of that of a generated token.
    pub prompt_price_share: f64,
    /// Confidence, 0 to 100, at which an answer is as likely right as wrong.
    pub even_confidence: f64,
    /// Points of confidence that change the odds of a right answer by a factor of e.
    pub confidence_scale: f64,
    /// Chance of a wrong answer below which it is always forwarded.
    pub min_error_chance: f64,
    /// Fraction of the target latency after which calls are no longer escalated, because the answer
    /// would be late.
    pub latest_share: f64,
    /// Queueing delay of the pool, as a fraction of the target latency, above which escalations
    /// become dearer. A larger model takes several times the work, which delays all calls queued
    /// behind it.
    pub busy_share: f64,
    /// Queueing delay, as a fraction of the target latency, from which calls are no longer
    /// escalated.
    pub full_share: f64,
    /// Load of the pool, as a fraction of its slots, above which escalations become dearer. Each
    /// call that an endpoint runs slows down all of its streams.
    pub busy_load: f64,
    /// Load, as a fraction of the slots, from which calls are no longer escalated.
    pub full_load: f64,
    /// Time between events in streams of larger models, as a multiple of that in an idle pool,
    /// above which escalations become dearer. The longer a stream runs, the more likely it misses
    /// its deadline or is lost in a crash.
    pub busy_slowdown: f64,
    /// Multiple from which calls are no longer escalated.
    pub full_slowdown: f64,
}

/// Load of a pool, as a fraction of its slots, between which escalations become dearer until they
/// stop.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadBounds {
    /// Load above which escalations become dearer.
    pub busy: f64,
    /// Load from which calls are no longer escalated.
    pub full: f64,
}

impl Default for LoadBounds {
    fn default() -> Self {
        Self {
            busy: 0.3,
            full: 1.0,
        }
    }
}

/// Bounds by the class of the call. A larger model takes ten times the endpoint time of the smallest
/// one, so a filling pool first gives up the escalations of the less urgent classes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassLoadBounds {
    /// Bounds of the most urgent class.
    pub most_urgent: LoadBounds,
    /// Bounds of the least urgent class; the others lie between.
    pub least_urgent: LoadBounds,
}

impl Default for ClassLoadBounds {
    fn default() -> Self {
        Self {
            most_urgent: LoadBounds {
                busy: 0.85,
                full: 1.25,
            },
            least_urgent: LoadBounds {
                busy: 0.3,
                full: 0.7,
            },
        }
    }
}

impl ClassLoadBounds {
    /// Bounds of a class with this rank.
    pub fn of_rank(&self, rank: ClassRank) -> LoadBounds {
        let (first, last) = (self.most_urgent, self.least_urgent);
        LoadBounds {
            busy: rank.interpolate(first.busy, last.busy),
            full: rank.interpolate(first.full, last.full),
        }
    }
}

/// Load of the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLoad {
    /// Mean time that a new call waits at an endpoint before its prompt is processed.
    pub queue_delay: Duration,
    /// Running and queued calls, as a fraction of the slots.
    pub utilization: f64,
    /// Time between events in streams of larger models, as a multiple of that in an idle pool.
    pub slowdown: f64,
}

impl Default for PoolLoad {
    fn default() -> Self {
        Self {
            queue_delay: Duration::ZERO,
            utilization: 0.0,
            slowdown: 1.0,
        }
    }
}

/// Tokens of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallTokens {
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens that the call may generate.
    pub output: f64,
}

/// Share of the latency target within which the largest model must be expected to answer for it to be
/// asked first.
const DIRECT_SHARE: f64 = 0.9;

/// Expected times until the models' answers to a call begin.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstDelays {
    /// Of the smallest model.
    pub smallest: Duration,
    /// Of the largest model.
    pub largest: Duration,
    /// Target time until the answer begins.
    pub target_latency: Duration,
}

/// An answer that may be discarded for that of a larger model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EscalationCandidate {
    /// Index of the model that answered; models are ordered cheapest first.
    pub model_index: usize,
    /// Confidence that the model reports for its answer, 0 to 100.
    pub confidence: Option<f64>,
    /// Size of the call.
    pub tokens: CallTokens,
    /// Time since the call arrived.
    pub elapsed: Duration,
    /// Target time until the answer begins.
    pub target_latency: Duration,
    /// Expected time until the largest model's answer begins if it is asked now; zero if not known.
    pub expected_delay: Duration,
}

impl Default for EscalationSettings {
    fn default() -> Self {
        Self {
            prompt_worth: 0.09,
            output_worth: 4.0,
            prompt_price_share: 0.25,
            even_confidence: 50.0,
            confidence_scale: 6.0,
            min_error_chance: 0.02,
            latest_share: 0.6,
            busy_share: 0.1,
            full_share: 0.6,
            busy_load: 0.3,
            full_load: 1.0,
            busy_slowdown: 2.0,
            full_slowdown: 7.0,
        }
    }
}

impl EscalationSettings {
    /// Chance that an answer of this confidence, 0 to 100, is wrong.
    pub fn error_chance(&self, confidence: f64) -> f64 {
        let odds = ((confidence - self.even_confidence) / self.confidence_scale).exp();
        1.0 / (1.0 + odds)
    }

    /// Worth of a right answer to a call of this size.
    pub(super) fn worth(&self, tokens: CallTokens) -> f64 {
        (tokens.prompt * self.prompt_worth + tokens.output * self.output_worth) / 1_000.0
    }

    /// Price of a call of this size at a model of `cost` per 1,000 generated tokens.
    pub(super) fn price(&self, tokens: CallTokens, cost: f64) -> f64 {
        let billed_tokens = tokens.prompt * self.prompt_price_share + tokens.output;
        billed_tokens / 1_000.0 * cost
    }

    /// Capacity left in the pool, from 1 while it is idle to 0 when it is full.
    pub(super) fn headroom(&self, target_latency: Duration, pool: PoolLoad) -> f64 {
        let delay_share = pool.queue_delay.as_secs_f64() / target_latency.as_secs_f64().max(0.001);
        let left = |measured: f64, busy: f64, full: f64| {
            ((full - measured) / (full - busy)).clamp(0.0, 1.0)
        };
        let by_queue_delay = left(delay_share, self.busy_share, self.full_share);
        let by_utilization = left(pool.utilization, self.busy_load, self.full_load);
        let by_slowdown = left(pool.slowdown, self.busy_slowdown, self.full_slowdown);
        by_queue_delay.min(by_utilization).min(by_slowdown)
    }
}

/// Decides on escalations among the models of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct EscalationPolicy {
    settings: EscalationSettings,
    /// Cost of each model per 1,000 generated tokens, smallest model first.
    costs: Vec<f64>,
}

impl EscalationPolicy {
    /// Creates a policy for models with these costs per 1,000 generated tokens, smallest first.
    pub fn new(settings: EscalationSettings, costs: Vec<f64>) -> Self {
        Self { settings, costs }
    }

    /// Returns the index of the model to ask next, or `None` if the answer is to be forwarded.
    /// Always escalates straight to the largest model. An answer without a confidence is forwarded.
    pub fn next_model(&self, answer: &EscalationCandidate, pool: PoolLoad) -> Option<usize> {
        let confidence = answer.confidence?;
        let largest = self.costs.len().checked_sub(1)?;
        let is_late = answer.elapsed > answer.target_latency.mul_f64(self.settings.latest_share);
        // An answer after the target is worth less than one of the smaller model in time.
        let is_too_slow = !answer.expected_delay.is_zero()
            && answer.elapsed + answer.expected_delay > answer.target_latency;
        if answer.model_index >= largest || is_late || is_too_slow {
            return None;
        }
        let is_paid_for =
            self.settings.error_chance(confidence) >= self.min_error_chance(answer, pool);
        is_paid_for.then_some(largest)
    }

    /// Index of the model to ask first. The smallest model answers most calls for the least cost,
    /// unless its answer would only take the time that the largest one needs to answer within the
    /// target.
    pub fn first_model(&self, delays: &FirstDelays, pool: PoolLoad) -> usize {
        let target = delays.target_latency;
        let in_turn = delays.smallest + delays.largest;
        let is_in_time_alone = delays.largest <= target.mul_f64(DIRECT_SHARE);
        let is_idle = pool.utilization < self.settings.full_load;
        if is_in_time_alone && in_turn > target && is_idle {
            self.costs.len().saturating_sub(1)
        } else {
            0
        }
    }

    /// Chance of a wrong answer from which asking the largest model pays. Above 1, it never does.
    fn min_error_chance(&self, answer: &EscalationCandidate, pool: PoolLoad) -> f64 {
        let settings = &self.settings;
        let worth = settings.worth(answer.tokens);
        let cost = self.costs.last().copied().unwrap_or_default();
        let price = settings.price(answer.tokens, cost);
        let idle_chance = (price / worth.max(f64::EPSILON)).max(settings.min_error_chance);
        let headroom = settings.headroom(answer.target_latency, pool);
        idle_chance / headroom.max(f64::EPSILON)
    }
}
