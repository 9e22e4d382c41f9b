//! Choice of an endpoint: the shortest expected time, with the failure domain, cached prefixes
//! and the models that it runs as terms.
//!
//! An endpoint generates one token for each of its calls in turn. A call of a small model that
//! shares it with calls of a large one is held up by their steps, so the two are kept apart: a
//! few endpoints, the same ones on each entry, form the lane of the smallest model.

use serde::{Deserialize, Serialize};

use crate::hash::rendezvous_weight;

/// Weights of the terms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementSettings {
    /// Time that a full endpoint adds to a call, in milliseconds; less load adds less.
    pub full_ms: f64,
    /// Time that each call beyond the slots adds, in milliseconds.
    pub waiting_ms: f64,
    /// Price of another failure domain, in milliseconds.
    pub remote_ms: f64,
    /// Price of an endpoint that comes back from an ejection, in milliseconds.
    pub trial_ms: f64,
    /// Weight of reading a prefix that the endpoint has not cached.
    pub prefix_weight: f64,
    /// Endpoints of a failure domain that keep a prefix.
    pub prefix_copies: usize,
    /// Share of the endpoints that form the lane of the smallest model.
    pub small_lane_share: f64,
    /// Price of an endpoint in the other lane, in milliseconds.
    pub other_lane_ms: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            full_ms: 400.0,
            waiting_ms: 60.0,
            remote_ms: 40.0,
            trial_ms: 200.0,
            prefix_weight: 1.5,
            prefix_copies: 1,
            small_lane_share: 0.2,
            other_lane_ms: 300.0,
        }
    }
}

/// An endpoint that could take the call.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSeat<'a> {
    /// Its name.
    pub id: &'a str,
    /// Failure domain.
    pub domain: &'a str,
    /// Calls that it runs and holds, as far as known here.
    pub load: f64,
    /// Calls that it runs at once.
    pub slots: f64,
    /// Time that a new call waits there before it is read, in milliseconds.
    pub wait_ms: f64,
    /// How many times longer it takes than its pool.
    pub pace: f64,
    /// Whether it comes back from an ejection.
    pub is_on_trial: bool,
}

/// Endpoints that a call of a model prefers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ModelLane {
    /// All: the caller names the model, or there is none.
    #[default]
    Any,
    /// Those of the smallest model.
    Small,
    /// Those of larger models.
    Large,
}

/// Endpoints below which there are no lanes: each is needed for all models.
const MIN_LANE_SEATS: usize = 3;

/// What the call asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementWish<'a> {
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// Key of the prompt's shared parts; calls with the same key read the same prefix.
    pub prefix: Option<u64>,
    /// Time to read those parts, in milliseconds.
    pub prefix_ms: f64,
    /// Time to read the rest of the prompt, in milliseconds.
    pub own_ms: f64,
    /// Lane of the model.
    pub lane: ModelLane,
}

/// The endpoint chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeatChoice {
    /// Its place among the seats.
    pub index: usize,
    /// Whether it keeps the prompt's shared parts.
    pub keeps_prefix: bool,
}

/// The best of `seats`, by expected time.
pub fn choose_seat(
    settings: &PlacementSettings,
    wish: &PlacementWish<'_>,
    seats: &[EndpointSeat<'_>],
) -> Option<SeatChoice> {
    let in_lane = lane_members(settings, wish.lane, seats);
    let owners = prefix_owners(settings, wish, seats, &in_lane);
    let expected = |index: usize| {
        let other_lane_ms = if in_lane[index] {
            0.0
        } else {
            settings.other_lane_ms
        };
        expected_ms(settings, wish, &seats[index], owners[index]) + other_lane_ms
    };
    (0..seats.len())
        .map(|index| (index, expected(index)))
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(index, _)| SeatChoice {
            index,
            keeps_prefix: owners[index],
        })
}

fn expected_ms(
    settings: &PlacementSettings,
    wish: &PlacementWish<'_>,
    seat: &EndpointSeat<'_>,
    keeps_prefix: bool,
) -> f64 {
    let prefix_ms = if keeps_prefix {
        0.0
    } else {
        wish.prefix_ms * settings.prefix_weight
    };
    let over = (seat.load + 1.0 - seat.slots).max(0.0);
    let crowd_ms = settings.full_ms * seat.load / seat.slots.max(1.0) + over * settings.waiting_ms;
    let is_remote = seat.domain != wish.domain;
    (wish.own_ms + prefix_ms + crowd_ms) * seat.pace
        + seat.wait_ms
        + if is_remote { settings.remote_ms } else { 0.0 }
        + if seat.is_on_trial {
            settings.trial_ms
        } else {
            0.0
        }
}

/// Which of `seats` belong to `lane`: by a hash of their names, so that entries agree.
fn lane_members(
    settings: &PlacementSettings,
    lane: ModelLane,
    seats: &[EndpointSeat<'_>],
) -> Vec<bool> {
    if lane == ModelLane::Any || seats.len() < MIN_LANE_SEATS {
        return vec![true; seats.len()];
    }
    let small = (seats.len() as f64 * settings.small_lane_share).ceil() as usize;
    let weights = seats
        .iter()
        .map(|seat| rendezvous_weight(b"small lane", seat.id.as_bytes()));
    let weights: Vec<u64> = weights.collect();
    let mut sorted = weights.clone();
    sorted.sort_unstable_by(|a, b| b.cmp(a));
    let lowest = sorted[..small].last().copied().unwrap_or(u64::MAX);
    let is_member = |weight: &u64| (*weight >= lowest) == (lane == ModelLane::Small);
    weights.iter().map(is_member).collect()
}

/// Which of `seats` are among those of their failure domain and lane that keep the prefix.
fn prefix_owners(
    settings: &PlacementSettings,
    wish: &PlacementWish<'_>,
    seats: &[EndpointSeat<'_>],
    in_lane: &[bool],
) -> Vec<bool> {
    let Some(prefix) = wish.prefix else {
        return vec![false; seats.len()];
    };
    let weights = seats
        .iter()
        .map(|seat| rendezvous_weight(&prefix.to_le_bytes(), seat.id.as_bytes()));
    let weights: Vec<u64> = weights.collect();
    let is_owner = |index: usize| {
        let is_ahead = |other: &usize| {
            in_lane[*other]
                && seats[*other].domain == seats[index].domain
                && weights[*other] > weights[index]
        };
        in_lane[index] && (0..seats.len()).filter(is_ahead).count() < settings.prefix_copies
    };
    (0..seats.len()).map(is_owner).collect()
}
