//! Answers of endpoints that warm up, as entries report them and as the aggregator sums them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

use super::load_aggregation::EndpointHash;

/// Age at which a count is dropped: a warm-up that takes longer has newer ones.
const MAX_COUNT_AGE: Duration = Duration::from_secs(10);
/// Time between searches for expired counts.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Answers of an endpoint since it began to warm up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCount {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Warm-up that the answers belong to; a later one has a higher number.
    pub epoch: u64,
    /// Answers that began in time.
    pub sound: u32,
    /// Answers that were late or failed.
    pub bad: u32,
    /// Calls that were rejected for lack of room.
    pub rejected: u32,
}

#[derive(Clone, Copy, Debug)]
struct HeardCount {
    received_at: TimePoint,
    sound: u32,
    bad: u32,
    rejected: u32,
}

#[derive(Clone, Debug, Default)]
struct EndpointAnswers {
    epoch: u64,
    sound: u32,
    bad: u32,
    rejected: u32,
    heard: HashMap<Arc<str>, HeardCount>,
}

impl EndpointAnswers {
    fn remove(&mut self, entry: &str) {
        if let Some(heard) = self.heard.remove(entry) {
            self.sound = self.sound.saturating_sub(heard.sound);
            self.bad = self.bad.saturating_sub(heard.bad);
            self.rejected = self.rejected.saturating_sub(heard.rejected);
        }
    }

    fn replace(&mut self, now: TimePoint, entry: &Arc<str>, count: &AnswerCount) {
        if count.epoch < self.epoch {
            return;
        }
        if count.epoch > self.epoch {
            *self = Self {
                epoch: count.epoch,
                ..Self::default()
            };
        }
        self.remove(entry);
        self.sound = self.sound.saturating_add(count.sound);
        self.bad = self.bad.saturating_add(count.bad);
        self.rejected = self.rejected.saturating_add(count.rejected);
        let heard = HeardCount {
            received_at: now,
            sound: count.sound,
            bad: count.bad,
            rejected: count.rejected,
        };
        self.heard.insert(Arc::clone(entry), heard);
    }

    fn prune(&mut self, now: TimePoint) {
        let is_expired = |heard: &HeardCount| now.since(heard.received_at) >= MAX_COUNT_AGE;
        let expired = self.heard.iter().filter(|(_, heard)| is_expired(heard));
        let expired: Vec<Arc<str>> = expired.map(|(entry, _)| Arc::clone(entry)).collect();
        for entry in expired {
            self.remove(&entry);
        }
    }

    /// Sum over all entries but `entry`; `None` if no other entry has reported.
    fn sum_without(&self, endpoint: EndpointHash, entry: &str) -> Option<AnswerCount> {
        let own = self.heard.get(entry);
        if self.heard.len() == usize::from(own.is_some()) {
            return None;
        }
        Some(AnswerCount {
            endpoint,
            epoch: self.epoch,
            sound: self.sound.saturating_sub(own.map_or(0, |own| own.sound)),
            bad: self.bad.saturating_sub(own.map_or(0, |own| own.bad)),
            rejected: self
                .rejected
                .saturating_sub(own.map_or(0, |own| own.rejected)),
        })
    }
}

/// Latest counts of all entries, of the latest warm-up of each endpoint.
///
/// A count stays until it expires, also if its entry stops reporting it: the entry has been lost, or
/// the endpoint has its full share there while others still need the evidence.
#[derive(Clone, Debug, Default)]
pub struct AnswerTable {
    endpoints: HashMap<EndpointHash, EndpointAnswers>,
    pruned_at: TimePoint,
}

impl AnswerTable {
    /// Replaces the counts of `entry` and returns the sums over all other entries.
    pub fn exchange(
        &mut self,
        now: TimePoint,
        entry: &Arc<str>,
        counts: &[AnswerCount],
    ) -> Vec<AnswerCount> {
        for count in counts {
            let answers = self.endpoints.entry(count.endpoint).or_default();
            answers.replace(now, entry, count);
        }
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.endpoints.retain(|_, answers| {
                answers.prune(now);
                !answers.heard.is_empty()
            });
        }
        let sums = self.endpoints.iter();
        sums.filter_map(|(endpoint, answers)| answers.sum_without(*endpoint, entry))
            .collect()
    }
}
