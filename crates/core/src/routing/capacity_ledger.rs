//! Calls and tokens that endpoints hold, over all entries.
//!
//! Answers loads in which many entries fill the same endpoints: each entry knows only the calls that
//! it sent itself, and an endpoint's own reports are seconds old by the next answer from it. Entries
//! therefore exchange what they have at each endpoint and decide by the sum.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

use super::load_aggregation::EndpointHash;
use super::sum_delta::UsageCounts;

/// Tokens per unit of a report, to keep reports small.
const TOKENS_PER_UNIT: f64 = 1_024.0;
/// Age up to which the other entries' usage counts in full: calls run for longer than that.
const FULL_WEIGHT_AGE: Duration = Duration::from_millis(500);
/// Age at which the other entries' usage no longer counts. By then most of the calls have ended.
const MAX_USAGE_AGE: Duration = Duration::from_secs(4);
/// Share of an endpoint's memory that calls may take. The rest covers calls that other entries have
/// sent since the last exchange: an endpoint whose memory is exceeded ends.
const MEMORY_SHARE: f64 = 0.9;

/// Share of an endpoint's memory from which a call counts as large.
const LARGE_CLAIM_SHARE: f64 = 0.05;

/// What one or more entries have at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUsage {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Calls that it runs or queues.
    pub calls: u32,
    /// Those of them that a larger model than the smallest answers.
    pub large_calls: u32,
    /// Tokens of these calls, in units of 1,024.
    pub token_units: u32,
}

/// Room that one call takes at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityClaim {
    /// Whether a larger model than the smallest answers.
    pub is_large: bool,
    /// Tokens of the prompt and the expected answer.
    pub tokens: f64,
}

/// Calls and tokens at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageSum {
    /// Calls that it runs or queues.
    pub calls: f64,
    /// Those of them that a larger model than the smallest answers.
    pub large_calls: f64,
    /// Tokens of these calls.
    pub tokens: f64,
}

impl UsageSum {
    fn add(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            large_calls: self.large_calls + other.large_calls,
            tokens: self.tokens + other.tokens,
        }
    }

    fn scale(self, factor: f64) -> Self {
        Self {
            calls: self.calls * factor,
            large_calls: self.large_calls * factor,
            tokens: self.tokens * factor,
        }
    }

    fn of_report(usage: &EndpointUsage) -> Self {
        Self {
            calls: f64::from(usage.calls),
            large_calls: f64::from(usage.large_calls),
            tokens: f64::from(usage.token_units) * TOKENS_PER_UNIT,
        }
    }
}

/// Capacity of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointCapacity {
    /// Calls that it may hold, as far as the class of the call to place may use them.
    pub places: f64,
    /// Calls to larger models that it may hold.
    pub large_places: f64,
    /// Tokens that fit into its memory; 0 if unknown.
    pub tokens: f64,
}

impl EndpointCapacity {
    /// Whether an endpoint with `usage` may take one more call.
    pub fn has_room(&self, usage: UsageSum, claim: CapacityClaim) -> bool {
        self.room_for(usage, claim) >= 1.0
    }

    /// Number of calls with this claim that an endpoint with `usage` may take while other entries send
    /// calls, too: a second one may send a large call before it hears of this one.
    pub fn room_among_entries(&self, usage: UsageSum, claim: CapacityClaim) -> f64 {
        let is_large = claim.tokens > self.tokens * LARGE_CLAIM_SHARE;
        let margin = if is_large && usage.calls >= 1.0 {
            claim.tokens
        } else {
            0.0
        };
        let usage = UsageSum {
            tokens: usage.tokens + margin,
            ..usage
        };
        self.room_for(usage, claim)
    }

    /// Number of calls with this claim that an endpoint with `usage` may take.
    pub fn room_for(&self, usage: UsageSum, claim: CapacityClaim) -> f64 {
        let mut places = (self.places - usage.calls).floor().max(0.0);
        if claim.is_large {
            places = places.min((self.large_places - usage.large_calls).floor().max(0.0));
        }
        if self.tokens <= 0.0 {
            return places;
        }
        let free_tokens = self.tokens * MEMORY_SHARE - usage.tokens;
        let fitting = (free_tokens / claim.tokens.max(1.0)).floor();
        // A call that alone takes more than the share runs at an endpoint without others.
        let is_alone = usage.calls < 1.0 && claim.tokens <= self.tokens;
        places.min(fitting.max(f64::from(u8::from(is_alone))))
    }
}

/// Calls of this entry at all endpoints, and the sums over the other entries.
#[derive(Clone, Debug, Default)]
pub struct CapacityLedger {
    own: HashMap<EndpointHash, UsageSum>,
    peers: HashMap<EndpointHash, UsageSum>,
    peers_at: TimePoint,
}

impl CapacityLedger {
    /// Records that a call was sent to `endpoint`.
    pub fn claim(&mut self, endpoint: EndpointHash, claim: CapacityClaim) {
        let own = self.own.entry(endpoint).or_default();
        *own = own.add(UsageSum {
            calls: 1.0,
            large_calls: f64::from(u8::from(claim.is_large)),
            tokens: claim.tokens,
        });
    }

    /// Records that a call at `endpoint` has ended.
    pub fn release(&mut self, endpoint: EndpointHash, claim: CapacityClaim) {
        let Some(own) = self.own.get_mut(&endpoint) else {
            return;
        };
        own.calls -= 1.0;
        own.large_calls -= f64::from(u8::from(claim.is_large));
        own.tokens -= claim.tokens;
        if own.calls < 1.0 {
            self.own.remove(&endpoint);
        }
    }

    /// What this entry has at the endpoints.
    pub fn report(&self) -> Vec<EndpointUsage> {
        let usage = |(endpoint, sum): (&EndpointHash, &UsageSum)| EndpointUsage {
            endpoint: *endpoint,
            calls: sum.calls as u32,
            large_calls: sum.large_calls.max(0.0) as u32,
            token_units: (sum.tokens.max(0.0) / TOKENS_PER_UNIT).ceil() as u32,
        };
        self.own.iter().map(usage).collect()
    }

    /// Replaces the usage of the other entries with that reported at `now`.
    pub fn set_peers(&mut self, now: TimePoint, peers: &[EndpointUsage]) {
        let sums = peers.iter();
        self.peers = sums
            .map(|usage| (usage.endpoint, UsageSum::of_report(usage)))
            .collect();
        self.peers_at = now;
    }

    /// Calls and tokens of this entry at `endpoint`.
    pub fn own_usage(&self, endpoint: EndpointHash) -> UsageSum {
        self.own.get(&endpoint).copied().unwrap_or_default()
    }

    /// Replaces the usage of the other entries at the endpoints in `changed` with that reported at
    /// `now`. At all other endpoints, the last usage was still valid then.
    pub fn update_peers(&mut self, now: TimePoint, changed: &[EndpointUsage]) {
        for usage in changed {
            if usage.calls == 0 {
                self.peers.remove(&usage.endpoint);
            } else {
                self.peers
                    .insert(usage.endpoint, UsageSum::of_report(usage));
            }
        }
        self.peers_at = now;
    }

    /// Calls and tokens of all entries at `endpoint`. The part of the others loses weight once it is
    /// older than most calls last.
    pub fn usage(&self, now: TimePoint, endpoint: EndpointHash) -> UsageSum {
        let own = self.own_usage(endpoint);
        let peers = self.peers.get(&endpoint).copied().unwrap_or_default();
        let age = now.since(self.peers_at).saturating_sub(FULL_WEIGHT_AGE);
        let max_age = MAX_USAGE_AGE.saturating_sub(FULL_WEIGHT_AGE);
        let left = 1.0 - age.as_secs_f64() / max_age.as_secs_f64();
        own.add(peers.scale(left.max(0.0)))
    }
}

/// Sum of the usage that entries report.
#[derive(Clone, Debug, Default)]
pub struct UsageTotals {
    totals: BTreeMap<EndpointHash, EndpointUsage>,
}

impl UsageTotals {
    /// Adds the report of an entry.
    pub fn add(&mut self, report: &[EndpointUsage]) {
        for usage in report {
            let total = self.totals.entry(usage.endpoint).or_insert(EndpointUsage {
                endpoint: usage.endpoint,
                calls: 0,
                large_calls: 0,
                token_units: 0,
            });
            total.calls = total.calls.saturating_add(usage.calls);
            total.large_calls = total.large_calls.saturating_add(usage.large_calls);
            total.token_units = total.token_units.saturating_add(usage.token_units);
        }
    }

    /// Removes a report that was added before.
    pub fn remove(&mut self, report: &[EndpointUsage]) {
        for usage in report {
            if let Some(total) = self.totals.get_mut(&usage.endpoint) {
                total.calls = total.calls.saturating_sub(usage.calls);
                total.large_calls = total.large_calls.saturating_sub(usage.large_calls);
                total.token_units = total.token_units.saturating_sub(usage.token_units);
            }
        }
        self.totals.retain(|_, total| total.calls > 0);
    }

    /// The sums of all endpoints with calls.
    pub fn report(&self) -> Vec<EndpointUsage> {
        self.totals.values().copied().collect()
    }

    /// The same, in ascending order of the endpoints.
    pub(super) fn sums(&self) -> impl Iterator<Item = (EndpointHash, UsageCounts)> {
        self.totals.values().map(|total| {
            let counts = UsageCounts {
                calls: total.calls,
                large_calls: total.large_calls,
                token_units: total.token_units,
            };
            (total.endpoint, counts)
        })
    }
}
