//! Selects the endpoint with the lowest expected time for a call. The estimate includes the
//! endpoint's load, failure domain, cached prompt prefixes and lane.
//!
//! An endpoint decodes its calls round-robin, one token per call and round. A call to a small model
//! that runs next to calls to a large one is slowed down by their longer decoding steps. The two
//! are therefore kept apart: a few endpoints, the same ones at every entry, form the lane of the
//! smallest model.

use serde::{Deserialize, Serialize};

use crate::hash::rendezvous_weight;

/// Weights of the terms of the expected time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// Time added to a call by an endpoint whose slots are all in use, in milliseconds. Scales
    /// linearly with the load.
    pub full_ms: f64,
    /// Time added by each call beyond the slots, in milliseconds.
    pub waiting_ms: f64,
    /// Penalty for an endpoint in another failure domain, in milliseconds.
    pub remote_ms: f64,
    /// Penalty for an endpoint that is recovering from an ejection, in milliseconds.
    pub trial_ms: f64,
    /// Factor on the time to process a prefix that the endpoint has not cached.
    pub prefix_weight: f64,
    /// Number of endpoints that keep a given prefix cached.
    pub prefix_copies: usize,
    /// Share of the endpoints that form the lane of the smallest model.
    pub small_lane_share: f64,
    /// Penalty for an endpoint outside the call's lane, in milliseconds.
    pub other_lane_ms: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            full_ms: 400.0,
            waiting_ms: 60.0,
            remote_ms: 40.0,
            trial_ms: 200.0,
            prefix_weight: 4.0,
            prefix_copies: 1,
            small_lane_share: 0.2,
            other_lane_ms: 300.0,
        }
    }
}

/// An endpoint that can take the call.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointCandidate<'a> {
    /// Id of the endpoint.
    pub id: &'a str,
    /// Failure domain.
    pub domain: &'a str,
    /// Running and queued calls, as far as this entry knows.
    pub load: f64,
    /// Maximum number of calls that it runs concurrently.
    pub slots: f64,
    /// Time that a new call waits before its prompt is processed, in milliseconds.
    pub wait_ms: f64,
    /// Latency relative to its pool; 2.0 means twice as long.
    pub slowdown: f64,
    /// Whether it was ejected and has not answered successfully since.
    pub is_recovering: bool,
}

/// Group of endpoints that a call prefers, by the size of its model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ModelLane {
    /// No preference: the caller chose the model, or the call uses none.
    #[default]
    Any,
    /// The endpoints of the smallest model.
    Small,
    /// The endpoints of larger models.
    Large,
}

/// Minimum number of endpoints for lanes to be used. With fewer, each has to serve all models.
const MIN_ENDPOINTS_FOR_LANES: usize = 3;

/// Properties of the call to place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementRequest<'a> {
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// Key of the prompt prefix that the call shares with others; equal keys mean equal prefixes.
    pub prefix_key: Option<u64>,
    /// Time to process the shared prefix, in milliseconds.
    pub prefix_ms: f64,
    /// Time to process the rest of the prompt, in milliseconds.
    pub suffix_ms: f64,
    /// Lane of the model.
    pub lane: ModelLane,
}

/// The endpoint selected for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectedEndpoint {
    /// Index into the candidates.
    pub index: usize,
    /// Whether it is one of the endpoints that keep the call's prefix cached.
    pub owns_prefix: bool,
}

/// Selects the candidate with the lowest expected time; `None` if there are no candidates.
pub fn select_endpoint(
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    candidates: &[EndpointCandidate<'_>],
) -> Option<SelectedEndpoint> {
    let in_lane = lane_members(settings, request.lane, candidates);
    let owners = find_prefix_owners(settings, request, candidates, &in_lane);
    let expected = |index: usize| {
        let other_lane_ms = if in_lane[index] {
            0.0
        } else {
            settings.other_lane_ms
        };
        expected_ms(settings, request, &candidates[index], owners[index]) + other_lane_ms
    };
    (0..candidates.len())
        .map(|index| (index, expected(index)))
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(index, _)| SelectedEndpoint {
            index,
            owns_prefix: owners[index],
        })
}

fn expected_ms(
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    candidate: &EndpointCandidate<'_>,
    owns_prefix: bool,
) -> f64 {
    let prefix_ms = if owns_prefix {
        0.0
    } else {
        request.prefix_ms * settings.prefix_weight
    };
    let excess = (candidate.load + 1.0 - candidate.slots).max(0.0);
    let load_ms =
        settings.full_ms * candidate.load / candidate.slots.max(1.0) + excess * settings.waiting_ms;
    let is_remote = candidate.domain != request.domain;
    (request.suffix_ms + prefix_ms + load_ms) * candidate.slowdown
        + candidate.wait_ms
        + if is_remote { settings.remote_ms } else { 0.0 }
        + if candidate.is_recovering {
            settings.trial_ms
        } else {
            0.0
        }
}

/// Returns for each candidate whether it belongs to `lane`. Membership depends only on a hash of
/// the ids, so that all entries agree on it.
fn lane_members(
    settings: &PlacementSettings,
    lane: ModelLane,
    candidates: &[EndpointCandidate<'_>],
) -> Vec<bool> {
    if lane == ModelLane::Any || candidates.len() < MIN_ENDPOINTS_FOR_LANES {
        return vec![true; candidates.len()];
    }
    let small = (candidates.len() as f64 * settings.small_lane_share).ceil() as usize;
    let weights = candidates
        .iter()
        .map(|candidate| rendezvous_weight(b"small lane", candidate.id.as_bytes()));
    let weights: Vec<u64> = weights.collect();
    let mut sorted = weights.clone();
    sorted.sort_unstable_by(|a, b| b.cmp(a));
    let lowest = sorted[..small].last().copied().unwrap_or(u64::MAX);
    let is_member = |weight: &u64| (*weight >= lowest) == (lane == ModelLane::Small);
    weights.iter().map(is_member).collect()
}

/// Returns for each candidate whether it owns the call's prefix, that is, whether it ranks among
/// the first `prefix_copies` of its lane by rendezvous hash.
///
/// Failure domains do not count: if each of them had an owner, calls with the prefix would reach an
/// owner so rarely that it would have evicted the prefix by the next one.
fn find_prefix_owners(
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    candidates: &[EndpointCandidate<'_>],
    in_lane: &[bool],
) -> Vec<bool> {
    let mut owners = vec![false; candidates.len()];
    let Some(prefix) = request.prefix_key else {
        return owners;
    };
    let members = (0..candidates.len()).filter(|index| in_lane[*index]);
    let weigh = |index: usize| {
        let id = candidates[index].id.as_bytes();
        (rendezvous_weight(&prefix.to_le_bytes(), id), index)
    };
    let mut ranked: Vec<(u64, usize)> = members.map(weigh).collect();
    let copies = settings.prefix_copies.min(ranked.len());
    if copies > 0 {
        ranked.select_nth_unstable_by(copies - 1, |a, b| b.cmp(a));
    }
    for (_, index) in &ranked[..copies] {
        owners[*index] = true;
    }
    owners
}
