//! How much of the free room of a pool one entry may take before its next load exchange.
//!
//! Addresses loads in which few places are free and many entries have waiting calls. Entries read
//! the same sums. If each took all that they show as free, dozens of calls would go to the same
//! endpoint before the next exchange: it rejects them, or ends because its memory is exceeded.

use std::time::Duration;

use crate::hash::key_hash;
use crate::time::TimePoint;

/// Time after which a share is renewed without an exchange. Calls have ended by then that the last
/// sums contain.
const FIRST_ROUND: Duration = Duration::from_millis(25);
/// Longest time until a share is renewed without an exchange.
const MAX_ROUND: Duration = Duration::from_millis(200);
/// Age up to which the others' demand counts in full, and from which it no longer counts; as long as
/// for their calls.
const FULL_WEIGHT_AGE: Duration = Duration::from_millis(500);
const MAX_DEMAND_AGE: Duration = Duration::from_secs(4);
/// Longest time for which the others' starts are estimated. Calls that were started earlier have ended
/// for the most part.
const MAX_BLIND_TIME: Duration = Duration::from_millis(500);
/// Half-life of the measured rate of starts.
const RATE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Time from the report of an entry until the others have received it and the calls that they have
/// chosen by older sums have been counted.
const EXCHANGE_DELAY: Duration = Duration::from_millis(20);

/// Demand for services whose capacity is managed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EntryDemand {
    /// Calls that wait.
    pub waiting: f64,
    /// Calls started per second.
    pub starts_per_s: f64,
}

impl EntryDemand {
    fn total(self) -> f64 {
        self.waiting + self.starts_per_s
    }

    /// Calls that may be started within `time`.
    fn starts_within(self, time: Duration) -> f64 {
        self.waiting + self.starts_per_s * time.as_secs_f64()
    }
}

/// Demand of an entry and of all others together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandShare {
    /// Of this entry.
    pub own: EntryDemand,
    /// Of the others.
    pub peers: EntryDemand,
}

impl DemandShare {
    /// Part of the room that this entry may take. An entry counts with one call at least, since it
    /// asks for a place.
    fn own_share(&self) -> f64 {
        let own = self.own.total().max(1.0);
        own / (own + self.peers.total().max(0.0))
    }
}

/// Starts of one entry since the last exchange.
#[derive(Clone, Debug, Default)]
pub struct RoomShare {
    /// Distinguishes the entry from the others.
    seed: u64,
    /// Number of exchanges.
    exchanges: u64,
    renewed_at: TimePoint,
    /// Round of the last start: 0 from the exchange on, then one for each doubling of its age.
    round: u32,
    round_starts: u32,
    rate_per_s: f64,
    rate_at: TimePoint,
}

impl RoomShare {
    /// The share of the entry `name`.
    pub fn new(name: &str) -> Self {
        Self {
            seed: key_hash(name.as_bytes()),
            ..Self::default()
        }
    }

    /// Records that new sums have been received.
    pub fn renew(&mut self, now: TimePoint) {
        self.exchanges += 1;
        self.renewed_at = now;
        self.round = 0;
        self.round_starts = 0;
    }

    /// Records that a call was started.
    pub fn record_start(&mut self, now: TimePoint) {
        let round = self.current_round(now);
        if round != self.round {
            self.round = round;
            self.round_starts = 0;
        }
        self.round_starts += 1;
        self.rate_per_s = self.starts_per_s(now) + 2.0_f64.ln() / RATE_HALF_LIFE.as_secs_f64();
        self.rate_at = now;
    }

    /// Calls that this entry starts per second.
    pub fn starts_per_s(&self, now: TimePoint) -> f64 {
        let half_lives = now.since(self.rate_at).as_secs_f64() / RATE_HALF_LIFE.as_secs_f64();
        self.rate_per_s * 0.5_f64.powf(half_lives)
    }

    /// Whether this entry may start one more call, where endpoints have room for `free` calls by what
    /// it knows. It may if the others leave room even if they start all that they can before the next
    /// exchange. Otherwise it may use its part of the room; where that is less than one call, it may
    /// start one in some of the rounds, so that the starts of all entries add up to the room.
    pub fn may_start(&self, now: TimePoint, free: f64, demand: &DemandShare) -> bool {
        let peers = demand.peers.starts_within(self.blind_time(now));
        if free >= 1.0 && free >= peers * self.peer_weight(now) + 1.0 {
            return true;
        }
        let round = self.current_round(now);
        let started = if round == self.round {
            f64::from(self.round_starts)
        } else {
            0.0
        };
        let allowed = (free + started) * demand.own_share();
        let whole = allowed.floor();
        let has_fraction = started < whole + 1.0 && allowed - whole > self.random_fraction(round);
        free >= 1.0 && (started + 1.0 <= whole || has_fraction)
    }

    /// Number of endpoints over which calls are spread: the others start as many calls before this
    /// entry hears of them, and all would choose the one that the sums show as best.
    pub fn spread(&self, now: TimePoint, demand: &DemandShare) -> usize {
        let starts = demand.peers.starts_per_s * self.blind_time(now).as_secs_f64();
        (starts * self.peer_weight(now)).ceil().max(1.0) as usize
    }

    /// Time in which others may have started calls that the sums do not contain.
    fn blind_time(&self, now: TimePoint) -> Duration {
        (now.since(self.renewed_at) + EXCHANGE_DELAY).min(MAX_BLIND_TIME)
    }

    /// Weight of the others' last reported demand. It is lost once they may have ended.
    fn peer_weight(&self, now: TimePoint) -> f64 {
        let age = now.since(self.renewed_at).saturating_sub(FULL_WEIGHT_AGE);
        let fading_time = MAX_DEMAND_AGE.saturating_sub(FULL_WEIGHT_AGE);
        (1.0 - age.as_secs_f64() / fading_time.as_secs_f64()).max(0.0)
    }

    /// Rounds since the last exchange: the first ones are twice as long each time.
    fn current_round(&self, now: TimePoint) -> u32 {
        let age = now.since(self.renewed_at).as_secs_f64();
        let first = FIRST_ROUND.as_secs_f64();
        let doubling_rounds = (age / first + 1.0).log2();
        let constant_rounds = now.since(self.renewed_at).as_micros() / MAX_ROUND.as_micros();
        (doubling_rounds as u32).max(constant_rounds as u32)
    }

    /// A number from 0 to 1 that differs between entries and rounds.
    fn random_fraction(&self, round: u32) -> f64 {
        let mut bytes = [0; 20];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.exchanges.to_le_bytes());
        bytes[16..].copy_from_slice(&round.to_le_bytes());
        f64::from(key_hash(&bytes) as u32) / f64::from(u32::MAX)
    }
}
