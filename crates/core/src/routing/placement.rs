//! Choice of an endpoint: the shortest expected time, with the failure domain and cached
//! prefixes as terms.

use crate::hash::rendezvous_weight;

/// Weights of the terms.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Time that a full endpoint adds to a call, in milliseconds; less load adds less.
    pub full_ms: f64,
    /// Time that each call that waits adds, in milliseconds.
    pub waiting_ms: f64,
    /// Price of another failure domain, in milliseconds.
    pub remote_ms: f64,
    /// Prompt tokens that an endpoint reads in a millisecond.
    pub tokens_per_ms: f64,
    /// Price of an endpoint that comes back from an ejection, in milliseconds.
    pub trial_ms: f64,
    /// Weight of reading a prompt that the endpoint has not cached.
    pub prefill_weight: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            full_ms: 800.0,
            waiting_ms: 60.0,
            remote_ms: 40.0,
            tokens_per_ms: 50.0,
            trial_ms: 200.0,
            prefill_weight: 1.5,
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
    /// Tokens of those parts.
    pub prefix_tokens: f64,
}

/// The best of `seats`, by expected time.
pub fn choose_seat(
    settings: &PlacementSettings,
    wish: &PlacementWish<'_>,
    seats: &[EndpointSeat<'_>],
) -> Option<usize> {
    let owner = |seat: &EndpointSeat<'_>| {
        let key = wish.prefix?.to_le_bytes();
        let peers = seats.iter().filter(|other| other.domain == seat.domain);
        peers
            .max_by_key(|other| rendezvous_weight(&key, other.id.as_bytes()))
            .map(|other| other.id)
    };
    let score = |seat: &EndpointSeat<'_>| {
        let load_share = seat.load / seat.slots.max(1.0);
        let waiting = (seat.load + 1.0 - seat.slots).max(0.0);
        let is_cached = owner(seat) == Some(seat.id);
        let prefill = if is_cached {
            0.0
        } else {
            wish.prefix_tokens / settings.tokens_per_ms * settings.prefill_weight
        };
        let work = settings.full_ms * load_share + waiting * settings.waiting_ms + prefill;
        let is_remote = seat.domain != wish.domain;
        (work + settings.full_ms / 20.0) * seat.pace
            + if is_remote { settings.remote_ms } else { 0.0 }
            + if seat.is_on_trial {
                settings.trial_ms
            } else {
                0.0
            }
    };
    seats
        .iter()
        .enumerate()
        .map(|(index, seat)| (index, score(seat)))
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(index, _)| index)
}
