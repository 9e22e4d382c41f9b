//! Endpoints that have processed a prompt prefix and presumably still have it cached.
//!
//! Answers loads in which many subjects share long prefixes: an entry that takes a prefix for cached
//! where it is not sends work to an endpoint that nobody expects there. Entries tell each other where
//! they sent a prefix, so that a call finds any endpoint that has it, and one with a new prefix goes
//! where there is least to do.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

use super::load_aggregation::EndpointHash;

/// Time after its last use for which a prefix counts as cached.
const PREFIX_LIFETIME: Duration = Duration::from_secs(45);
/// Time after which the use of a known prefix is told again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Endpoints that are remembered for one prefix; the least recently used ones go first.
const MAX_HOLDERS: usize = 6;
/// Prefixes that an entry remembers.
const MAX_PREFIXES: usize = 20_000;
/// Placements that the aggregator keeps for entries that have not got them.
const MAX_PLACEMENTS: usize = 8_192;

/// Short hash of a prefix for one model, to keep reports small.
pub type PrefixHash = u32;

/// A prefix that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixPlacement {
    /// The prefix.
    pub prefix: PrefixHash,
    /// The endpoint.
    pub endpoint: EndpointHash,
}

#[derive(Clone, Copy, Debug)]
struct PrefixHolder {
    endpoint: EndpointHash,
    used_at: TimePoint,
}

/// Endpoints that have each prefix cached, as far as this entry knows.
#[derive(Clone, Debug, Default)]
pub struct PrefixDirectory {
    holders: HashMap<PrefixHash, Vec<PrefixHolder>>,
    news: Vec<PrefixPlacement>,
}

impl PrefixDirectory {
    /// Records that this entry sent a call with `prefix` to `endpoint`.
    pub fn record(&mut self, now: TimePoint, prefix: PrefixHash, endpoint: EndpointHash) {
        let known_at = self.insert(now, prefix, endpoint);
        if known_at.is_none_or(|at| now.since(at) >= REFRESH_INTERVAL) {
            self.news.push(PrefixPlacement { prefix, endpoint });
        }
    }

    /// Adds placements by other entries.
    pub fn merge(&mut self, now: TimePoint, placements: &[PrefixPlacement]) {
        for placement in placements {
            self.insert(now, placement.prefix, placement.endpoint);
        }
    }

    /// Inserts a placement and returns when it was known before.
    fn insert(
        &mut self,
        now: TimePoint,
        prefix: PrefixHash,
        endpoint: EndpointHash,
    ) -> Option<TimePoint> {
        if self.holders.len() >= MAX_PREFIXES && !self.holders.contains_key(&prefix) {
            self.drop_expired(now);
        }
        let holders = self.holders.entry(prefix).or_default();
        let known = holders.iter_mut().find(|known| known.endpoint == endpoint);
        if let Some(known) = known {
            return Some(std::mem::replace(&mut known.used_at, now));
        }
        if holders.len() >= MAX_HOLDERS
            && let Some(oldest) = (0..holders.len()).min_by_key(|index| holders[*index].used_at)
        {
            holders.swap_remove(oldest);
        }
        holders.push(PrefixHolder {
            endpoint,
            used_at: now,
        });
        None
    }

    /// Drops what has expired, or everything if that is not enough.
    fn drop_expired(&mut self, now: TimePoint) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| now.since(holder.used_at) < PREFIX_LIFETIME);
        }
        self.holders.retain(|_, holders| !holders.is_empty());
        if self.holders.len() >= MAX_PREFIXES {
            self.holders.clear();
        }
    }

    /// Endpoints that presumably have `prefix` cached.
    pub fn holders(
        &self,
        now: TimePoint,
        prefix: PrefixHash,
    ) -> impl Iterator<Item = EndpointHash> + '_ {
        let holders = self.holders.get(&prefix).into_iter().flatten();
        holders
            .filter(move |holder| now.since(holder.used_at) < PREFIX_LIFETIME)
            .map(|holder| holder.endpoint)
    }

    /// Forgets an endpoint, whose process has ended.
    pub fn forget(&mut self, endpoint: EndpointHash) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.endpoint != endpoint);
        }
    }

    /// Takes the placements that the other entries have not been told yet.
    pub fn take_news(&mut self) -> Vec<PrefixPlacement> {
        std::mem::take(&mut self.news)
    }
}

/// Recent placements of all entries, in the order in which they were reported.
#[derive(Clone, Debug, Default)]
pub struct PlacementLog {
    placements: VecDeque<PrefixPlacement>,
    /// Number of placements that were dropped from the front.
    dropped: u64,
    /// Number of placements that each entry has got.
    sent: HashMap<Arc<str>, u64>,
}

impl PlacementLog {
    /// Adds the placements of `entry` and returns those that it has not got yet.
    pub fn exchange(
        &mut self,
        entry: &Arc<str>,
        placements: &[PrefixPlacement],
    ) -> Vec<PrefixPlacement> {
        let sent = self.sent.get(entry).copied().unwrap_or_default();
        let skipped = sent.saturating_sub(self.dropped);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let unknown = self.placements.iter().skip(skipped).copied().collect();
        self.placements.extend(placements);
        while self.placements.len() > MAX_PLACEMENTS {
            self.placements.pop_front();
            self.dropped += 1;
        }
        let total = self.dropped + self.placements.len() as u64;
        self.sent.insert(Arc::clone(entry), total);
        unknown
    }

    /// Forgets an entry that no longer reports.
    pub fn forget(&mut self, entry: &str) {
        self.sent.remove(entry);
    }
}
