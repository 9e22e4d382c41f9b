//! Selects the endpoint at which a call is expected to cost least time, by the load that all entries
//! have there and the pace of the endpoint.
//!
//! Answers loads in which endpoints are unlike, or are filled by many entries at once. Prompts are
//! processed between the tokens of running streams, so a prompt delays each stream of its endpoint:
//! the time that it takes from them counts as well as its own.

use serde::{Deserialize, Serialize};

use crate::hash::{key_hash, rendezvous_key};

use super::capacity_ledger::UsageSum;

/// Weights of the terms of the expected cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimedPlacementSettings {
    /// Time added by an endpoint whose slots are all in use, in milliseconds. Scales with the square
    /// of the calls: a few calls hardly slow each other down.
    pub full_ms: f64,
    /// Share of the endpoints that are preferred for long prompts. A long prompt delays all streams of
    /// its endpoint by more than their callers accept, so other calls leave these endpoints free in a
    /// pool that is lightly loaded.
    pub long_prompt_share: f64,
    /// Time added to a call without a long prompt by such an endpoint, in milliseconds.
    pub long_prompt_ms: f64,
    /// Time added by each call that has to wait for a slot, in milliseconds.
    pub waiting_ms: f64,
    /// Share of a prompt's processing time that counts for each stream that it delays.
    pub delay_share: f64,
    /// Further share for the part of the endpoint's pending work beyond half of the pause between
    /// events that callers accept. The other half is for the event itself and for later prompts.
    pub pause_share: f64,
    /// Share of the time to process a cached prefix again that counts on top, for what the work
    /// takes from other calls.
    pub reread_share: f64,
    /// Time added where the call runs beside calls of the other size of model, in milliseconds: an
    /// endpoint decodes in turn, so the small model waits for the steps of the large one.
    pub mixed_ms: f64,
    /// Penalty for an endpoint in another failure domain, in milliseconds.
    pub remote_ms: f64,
    /// Penalty for an endpoint that is recovering from an ejection, in milliseconds.
    pub trial_ms: f64,
    /// Costs count as equal if they differ by less than this share of what exceeds the time for the
    /// call's own prompt, which it takes everywhere. Many entries choose by the same
    /// figures at the same time, and would otherwise all take the same endpoint.
    pub equal_share: f64,
    /// Costs that differ by less than this count as equal, in milliseconds.
    pub equal_ms: f64,
    /// Most that the endpoints over which calls are spread may cost beyond the best one, in
    /// milliseconds. A slow endpoint costs a call more than a few others at the best one do.
    pub spread_ms: f64,
}

impl Default for TimedPlacementSettings {
    fn default() -> Self {
        Self {
            full_ms: 250.0,
            long_prompt_share: 0.2,
            long_prompt_ms: 60.0,
            waiting_ms: 150.0,
            delay_share: 0.04,
            pause_share: 1.0,
            reread_share: 0.5,
            mixed_ms: 20.0,
            remote_ms: 60.0,
            trial_ms: 200.0,
            equal_share: 0.15,
            equal_ms: 12.0,
            spread_ms: 150.0,
        }
    }
}

impl TimedPlacementSettings {
    /// Whether the endpoint `id` is one of those that are preferred for long prompts. All entries
    /// agree, since only the id counts.
    fn is_for_long_prompts(&self, id: &str) -> bool {
        let position = key_hash(id.as_bytes()) as u32;
        f64::from(position) < self.long_prompt_share * f64::from(u32::MAX)
    }

    /// Weights for services without engines: their calls take a few milliseconds, so that small
    /// differences count.
    pub fn plain() -> Self {
        Self {
            long_prompt_share: 0.0,
            remote_ms: 15.0,
            equal_share: 0.05,
            equal_ms: 3.0,
            ..Self::default()
        }
    }
}

/// An endpoint that can take the call.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedCandidate<'a> {
    /// Id of the endpoint.
    pub id: &'a str,
    /// Whether it is in another failure domain than the entry.
    pub is_remote: bool,
    /// Calls and tokens of all entries there.
    pub usage: UsageSum,
    /// Maximum number of calls that it runs concurrently.
    pub slots: f64,
    /// Usual time that a new call waits before its prompt is processed, in milliseconds.
    pub wait_ms: f64,
    /// Time that work takes there now, as a multiple of the usual time.
    pub pace: f64,
    /// Whether it was ejected and has not answered successfully since.
    pub is_recovering: bool,
    /// Whether it presumably has the call's prompt prefix cached.
    pub has_prefix: bool,
}

/// Properties of the call to place.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TimedRequest {
    /// Hash of the call, which spreads calls over equal endpoints.
    pub call_hash: u64,
    /// Usual time to process the shared prefix, in milliseconds.
    pub prefix_ms: f64,
    /// Usual time to process the rest of the prompt, in milliseconds.
    pub suffix_ms: f64,
    /// Whether a larger model than the smallest answers; `None` if calls are not told apart so.
    pub is_large: Option<bool>,
    /// Longest pause between events that callers of the service accept, in milliseconds.
    pub max_pause_ms: f64,
    /// Number of the best endpoints over which calls are spread; see [`super::RoomShare::spread`].
    pub spread: usize,
}

/// Selects an endpoint of low expected cost and returns its index; `None` if there are no candidates.
///
/// Calls are spread over the endpoints whose costs count as equal, and over the `spread` best ones in
/// any case. An endpoint that has the prompt's prefix cached is selected if it costs least: it is the
/// best one for few calls.
pub fn select_by_time(
    settings: &TimedPlacementSettings,
    request: &TimedRequest,
    candidates: &[TimedCandidate<'_>],
) -> Option<usize> {
    let costs: Vec<f64> = candidates
        .iter()
        .map(|candidate| expected_cost(settings, request, candidate))
        .collect();
    let by_cost = |a: &usize, b: &usize| costs[*a].total_cmp(&costs[*b]);
    let least = (0..candidates.len()).min_by(by_cost)?;
    if candidates[least].has_prefix {
        return Some(least);
    }
    let avoidable_ms = (costs[least] - request.prefill_ms(true)).max(0.0);
    let equal_limit = costs[least] + avoidable_ms * settings.equal_share + settings.equal_ms;
    let spread_limit = spread_limit(request, candidates, &costs);
    let limit = equal_limit.max(spread_limit.min(costs[least] + settings.spread_ms));
    let weight = rendezvous_key(&request.call_hash.to_le_bytes());
    let spread = |index: &usize| weight(candidates[*index].id.as_bytes());
    let equal = (0..candidates.len())
        .filter(|index| costs[*index] <= limit && !candidates[*index].has_prefix);
    equal.max_by_key(spread)
}

/// Cost of the last of the best endpoints over which calls are spread, those with the prefix aside.
fn spread_limit(request: &TimedRequest, candidates: &[TimedCandidate<'_>], costs: &[f64]) -> f64 {
    if request.spread <= 1 {
        return 0.0;
    }
    let others = candidates.iter().zip(costs);
    let others = others.filter(|(candidate, _)| !candidate.has_prefix);
    let mut others: Vec<f64> = others.map(|(_, cost)| *cost).collect();
    let Some(last) = others.len().min(request.spread).checked_sub(1) else {
        return 0.0;
    };
    *others.select_nth_unstable_by(last, f64::total_cmp).1
}

impl TimedRequest {
    fn prefill_ms(&self, has_prefix: bool) -> f64 {
        self.suffix_ms + if has_prefix { 0.0 } else { self.prefix_ms }
    }
}

fn expected_cost(
    settings: &TimedPlacementSettings,
    request: &TimedRequest,
    candidate: &TimedCandidate<'_>,
) -> f64 {
    let prefill_ms = request.prefill_ms(candidate.has_prefix);
    let calls = candidate.usage.calls;
    let waiting = (calls + 1.0 - candidate.slots).max(0.0);
    let load = calls / candidate.slots.max(1.0);
    let is_long = prefill_ms * candidate.pace > request.max_pause_ms / 2.0;
    let reserved_ms = if is_long || !settings.is_for_long_prompts(candidate.id) {
        0.0
    } else {
        settings.long_prompt_ms
    };
    let load_ms = settings.full_ms * load * load + settings.waiting_ms * waiting + reserved_ms;
    let work_ms = candidate.wait_ms + prefill_ms;
    let pause_ms = (work_ms * candidate.pace - request.max_pause_ms / 2.0).max(0.0);
    let delay_ms = calls
        * (prefill_ms * settings.delay_share + pause_ms.min(prefill_ms) * settings.pause_share);
    let reread_ms = if candidate.has_prefix {
        0.0
    } else {
        request.prefix_ms * settings.reread_share
    };
    let others = match request.is_large {
        Some(true) => calls - candidate.usage.large_calls,
        Some(false) => candidate.usage.large_calls,
        None => 0.0,
    };
    let mixed_ms = settings.mixed_ms * others.clamp(0.0, MAX_MIXED_CALLS);
    let by_pace_ms = (work_ms + load_ms + delay_ms + mixed_ms) * candidate.pace;
    by_pace_ms
        + reread_ms
        + if candidate.is_remote {
            settings.remote_ms
        } else {
            0.0
        }
        + if candidate.is_recovering {
            settings.trial_ms
        } else {
            0.0
        }
}

/// Number of calls of the other size of model beyond which more of them make no difference.
const MAX_MIXED_CALLS: f64 = 3.0;
