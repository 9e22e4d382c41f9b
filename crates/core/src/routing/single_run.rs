//! Choice of the model for a call that may run only once.
//!
//! Load: a route with several models whose calls may run only once, so that no answer can be replaced
//! by that of a larger model. The model is chosen before the call runs, from how sure the models were
//! of their answers to earlier calls of the same route and size. [`AnswerErrors`] keeps that,
//! [`choose_single_model`] decides. The smallest model runs the call while nothing speaks for a larger
//! one, and as the pool fills up.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::escalation::{CallTokens, EscalationSettings, PoolLoad};
use super::model_support::SentModel;
use crate::hash::key_hash;

/// Share of the latency target within which a larger model must be expected to answer.
const IN_TIME_SHARE: f64 = 0.9;
/// Where a larger model is chosen, one call in this many runs on a smaller one, so that the estimates
/// of the smaller models stay current.
const SAMPLE_INTERVAL: u64 = 16;
/// Part of its weight that an answer keeps with each later one.
const RETENTION: f64 = 1.0 - 1.0 / 64.0;
/// Number of answers that an estimate needs to count as much as the one that it starts from.
const PRIOR_ANSWERS: f64 = 8.0;

/// Chance of wrong answers by route, size of call and model, as far as the models' confidence shows
/// it. Models without answers count as always right, so that each is chosen until its answers say
/// otherwise; the smallest one counts so too, which leaves it in use.
#[derive(Clone, Debug, Default)]
pub struct AnswerErrors {
    means: HashMap<ErrorKey, ErrorMean>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ErrorKey {
    /// Hash of the route's name.
    route: u64,
    model: SentModel,
    /// Size of the calls; `None` for those of all sizes.
    size: Option<u32>,
}

/// Mean chance of wrong answers, in which older answers count less.
#[derive(Clone, Copy, Debug, Default)]
struct ErrorMean {
    sum: f64,
    weight: f64,
}

impl ErrorMean {
    fn record(&mut self, error_chance: f64) {
        self.sum = self.sum * RETENTION + error_chance;
        self.weight = self.weight * RETENTION + 1.0;
    }

    /// The mean, which starts at `prior`.
    fn mean_from(self, prior: f64) -> f64 {
        (self.sum + prior * PRIOR_ANSWERS) / (self.weight + PRIOR_ANSWERS)
    }
}

/// Size of a call: calls of one size differ by less than a factor of two.
fn size_of(tokens: CallTokens) -> u32 {
    let total = (tokens.prompt + tokens.output).max(1.0);
    total.log2() as u32
}

impl AnswerErrors {
    /// Records that an answer of `model` to a call of the route is wrong with this chance.
    pub fn record(&mut self, route: &str, model: SentModel, tokens: CallTokens, error_chance: f64) {
        let route = key_hash(route.as_bytes());
        for size in [None, Some(size_of(tokens))] {
            let key = ErrorKey { route, model, size };
            self.means.entry(key).or_default().record(error_chance);
        }
    }

    /// Expected chance that `model` answers a call of the route wrongly.
    pub fn estimate(&self, route: &str, model: SentModel, tokens: CallTokens) -> f64 {
        let route = key_hash(route.as_bytes());
        let mean = |size| {
            let key = ErrorKey { route, model, size };
            self.means.get(&key).copied().unwrap_or_default()
        };
        let of_route = mean(None).mean_from(0.0);
        mean(Some(size_of(tokens))).mean_from(of_route)
    }

    /// Forgets all routes but those with one of `names`.
    pub fn retain_routes<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let names = names.into_iter().map(|name| key_hash(name.as_bytes()));
        let routes: HashSet<u64> = names.collect();
        self.means.retain(|key, _| routes.contains(&key.route));
    }
}

/// A model that endpoints run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelOption {
    /// Index in the route's list, smallest first.
    pub model_index: usize,
    /// Cost per 1,000 generated tokens.
    pub cost: f64,
    /// Expected chance of a wrong answer.
    pub error_chance: f64,
    /// Expected time until the answer begins; zero if not known.
    pub expected_delay: Duration,
    /// Load of the endpoints that run the model.
    pub pool: PoolLoad,
}

/// A call that may run only once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SingleRunCall {
    /// Size of the call.
    pub tokens: CallTokens,
    /// Target time until the answer begins.
    pub target_latency: Duration,
    /// Hash of the call's id, by which calls are picked to run on a smaller model.
    pub sample_key: u64,
}

/// Why a model runs a call that may run only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SingleRunReason {
    /// Endpoints run no other model.
    OnlyModel,
    /// No larger model is expected to be right so much more often that it pays for its price.
    NothingToGain,
    /// The larger models that would pay are expected to answer too late.
    TooSlow,
    /// The larger models that would pay are too busy.
    TooBusy,
    /// The larger model pays for its price.
    Gain,
    /// A larger model pays, but this call shows how a smaller one does.
    Sample,
}

impl SingleRunReason {
    /// The metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::OnlyModel => "only_model",
            Self::NothingToGain => "nothing_to_gain",
            Self::TooSlow => "too_slow",
            Self::TooBusy => "too_busy",
            Self::Gain => "gain",
            Self::Sample => "sample",
        }
    }
}

/// The model that runs a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SingleRunChoice {
    /// Position of the model among the options.
    pub option: usize,
    /// Why it was chosen.
    pub reason: SingleRunReason,
}

/// Chooses among `options`, smallest model first, the one that runs `call`: the larger model whose
/// expected gain over the smallest one exceeds its additional price the most, if there is one. The
/// price rises with the load of the model's pool. `None` if there are no options.
pub fn choose_single_model(
    settings: &EscalationSettings,
    call: &SingleRunCall,
    options: &[ModelOption],
) -> Option<SingleRunChoice> {
    let (smallest, larger) = options.split_first()?;
    let stay = |reason| Some(SingleRunChoice { option: 0, reason });
    if larger.is_empty() {
        return stay(SingleRunReason::OnlyModel);
    }
    let worth = settings.worth(call.tokens);
    let surplus = |option: &ModelOption, headroom: f64| {
        let gain = smallest.error_chance - option.error_chance;
        let price = settings.price(call.tokens, (option.cost - smallest.cost).max(0.0));
        let surplus = gain * worth - price / headroom.max(f64::EPSILON);
        (gain >= settings.min_error_chance && surplus > 0.0).then_some(surplus)
    };
    let paying = || {
        let numbered = larger.iter().zip(1..);
        numbered.filter(|(option, _)| surplus(option, 1.0).is_some())
    };
    if paying().next().is_none() {
        return stay(SingleRunReason::NothingToGain);
    }
    let latest = call.target_latency.mul_f64(IN_TIME_SHARE);
    let in_time = || paying().filter(|(option, _)| option.expected_delay <= latest);
    if in_time().next().is_none() {
        return stay(SingleRunReason::TooSlow);
    }
    let affordable = in_time().filter_map(|(option, number)| {
        let headroom = settings.headroom(call.target_latency, option.pool);
        Some((surplus(option, headroom)?, number))
    });
    let Some((_, best)) = affordable.max_by(|(a, _), (b, _)| a.total_cmp(b)) else {
        return stay(SingleRunReason::TooBusy);
    };
    Some(if call.sample_key.is_multiple_of(SAMPLE_INTERVAL) {
        let smaller = best as u64;
        SingleRunChoice {
            option: (call.sample_key / SAMPLE_INTERVAL % smaller) as usize,
            reason: SingleRunReason::Sample,
        }
    } else {
        SingleRunChoice {
            option: best,
            reason: SingleRunReason::Gain,
        }
    })
}
