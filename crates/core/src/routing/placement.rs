//! Choice of an endpoint: the shortest expected time, with the failure domain and cached
//! prefixes as terms.

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
}

/// The best of `seats`, by expected time.
pub fn choose_seat(
    settings: &PlacementSettings,
    wish: &PlacementWish<'_>,
    seats: &[EndpointSeat<'_>],
) -> Option<usize> {
    seats
        .iter()
        .enumerate()
        .map(|(index, seat)| (index, expected_ms(settings, wish, seats, seat)))
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(index, _)| index)
}

fn expected_ms(
    settings: &PlacementSettings,
    wish: &PlacementWish<'_>,
    seats: &[EndpointSeat<'_>],
    seat: &EndpointSeat<'_>,
) -> f64 {
    let prefix_ms = if keeps_prefix(settings, wish, seats, seat) {
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

/// Whether `seat` is among those of its failure domain that keep the prefix.
pub fn keeps_prefix(
    settings: &PlacementSettings,
    wish: &PlacementWish<'_>,
    seats: &[EndpointSeat<'_>],
    seat: &EndpointSeat<'_>,
) -> bool {
    let Some(prefix) = wish.prefix else {
        return false;
    };
    let weight = |id: &str| rendezvous_weight(&prefix.to_le_bytes(), id.as_bytes());
    let own = weight(seat.id);
    let peers = seats.iter().filter(|other| other.domain == seat.domain);
    peers.filter(|other| weight(other.id) > own).count() < settings.prefix_copies
}
