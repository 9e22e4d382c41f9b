//! Limits that hold over all entries, kept by each entry alone with its share of them.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::hash::rendezvous_weight;
use crate::time::TimePoint;

/// Buckets that the sliding window of a budget is counted in.
const BUCKETS: u64 = 20;

/// Budget of repeated sends to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRetrySettings {
    /// Repeats allowed for each call of a caller.
    pub ratio: f64,
    /// Repeats allowed on top in a window, over all entries.
    pub slack: f64,
    /// The sliding window.
    pub window: Duration,
    /// Share of the slack that is used, so that entries that start or leave break no limit.
    pub slack_share: f64,
}

impl Default for ServiceRetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
            slack_share: 0.7,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct WindowCount {
    buckets: VecDeque<(u64, f64)>,
}

impl WindowCount {
    fn add(&mut self, bucket: u64, amount: f64) {
        match self.buckets.back_mut() {
            Some((last, count)) if *last == bucket => *count += amount,
            _ => self.buckets.push_back((bucket, amount)),
        }
    }

    fn sum(&mut self, bucket: u64) -> f64 {
        while let Some((first, _)) = self.buckets.front()
            && first + BUCKETS < bucket
        {
            self.buckets.pop_front();
        }
        self.buckets.iter().map(|(_, count)| count).sum()
    }
}

/// This entry's part of a service's budget of repeats.
#[derive(Clone, Debug)]
pub struct ServiceRetryBudget {
    settings: ServiceRetrySettings,
    calls: HashMap<Arc<str>, WindowCount>,
    retries: HashMap<Arc<str>, WindowCount>,
}

impl ServiceRetryBudget {
    /// An unused budget.
    pub fn new(settings: ServiceRetrySettings) -> Self {
        Self {
            settings,
            calls: HashMap::new(),
            retries: HashMap::new(),
        }
    }

    fn bucket(&self, now: TimePoint) -> u64 {
        let width = u64::try_from(self.settings.window.as_micros()).unwrap_or(u64::MAX) / BUCKETS;
        now.as_micros() / width.max(1)
    }

    /// Notes a call of a caller.
    pub fn record_call(&mut self, now: TimePoint, service: &Arc<str>) {
        let bucket = self.bucket(now);
        let calls = self.calls.entry(Arc::clone(service)).or_default();
        calls.add(bucket, 1.0);
        calls.sum(bucket);
    }

    /// Whether a call to `service` may be sent once more; if so, the repeat is counted.
    /// `entries` is the number of entries that share the slack.
    pub fn try_take(&mut self, now: TimePoint, service: &Arc<str>, entries: usize) -> bool {
        let is_available = self.is_available(now, service, entries);
        if is_available {
            let bucket = self.bucket(now);
            let retries = self.retries.entry(Arc::clone(service)).or_default();
            retries.add(bucket, 1.0);
        }
        is_available
    }

    /// Whether a call to `service` could be sent once more.
    pub fn is_available(&mut self, now: TimePoint, service: &Arc<str>, entries: usize) -> bool {
        let bucket = self.bucket(now);
        let calls = self.calls.entry(Arc::clone(service)).or_default();
        let earned = calls.sum(bucket) * self.settings.ratio;
        let slack = self.settings.slack * self.settings.slack_share / entries.max(1) as f64;
        let retries = self.retries.entry(Arc::clone(service)).or_default();
        retries.sum(bucket) + 1.0 <= earned + slack
    }
}

/// Time over which sends to a cold endpoint are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Calls that each of the entries that serve a cold endpoint may send within the window at least.
const MIN_COLD_CALLS_PER_ENTRY: f64 = 2.0;

/// This entry's part of what cold endpoints bear.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    sent: HashMap<Arc<str>, VecDeque<TimePoint>>,
}

impl ColdStartLimiter {
    /// Calls that this entry may send to the cold endpoint `id` within one second. Where the
    /// endpoint bears fewer than [`MIN_COLD_CALLS_PER_ENTRY`] calls of each entry, only some entries may send.
    pub fn entry_limit(id: &str, own: &str, entries: &[Arc<str>], per_s: f64) -> usize {
        let senders = (per_s / MIN_COLD_CALLS_PER_ENTRY).floor().max(1.0) as usize;
        let own_weight = rendezvous_weight(id.as_bytes(), own.as_bytes());
        let rank = entries
            .iter()
            .filter(|entry| ***entry != *own)
            .filter(|entry| rendezvous_weight(id.as_bytes(), entry.as_bytes()) > own_weight)
            .count();
        let senders = senders.min(entries.len().max(1));
        if rank >= senders {
            return 0;
        }
        (per_s / senders as f64).floor().max(1.0) as usize
    }

    /// Whether another call may be sent to the cold endpoint `id` now.
    pub fn has_capacity(&self, now: TimePoint, id: &str, limit: usize) -> bool {
        let recent = |at: &&TimePoint| now.since(**at) < COLD_WINDOW;
        let sent = self.sent.get(id);
        sent.map_or(0, |sent| sent.iter().filter(recent).count()) < limit
    }

    /// Notes a call sent to the cold endpoint `id`.
    pub fn record_call(&mut self, now: TimePoint, id: &Arc<str>) {
        let sent = self.sent.entry(Arc::clone(id)).or_default();
        while sent.front().is_some_and(|at| now.since(*at) >= COLD_WINDOW) {
            sent.pop_front();
        }
        sent.push_back(now);
    }
}
