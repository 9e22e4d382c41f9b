//! Limits that apply to all entries together. Each entry enforces its own share without
//! coordinating with the others.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::hash::rendezvous_rank;
use crate::time::TimePoint;

/// Buckets per sliding window.
const BUCKETS: u64 = 20;

/// Limit on additional sends of calls to a service: retries, and escalations to a larger model.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRetrySettings {
    /// Additional sends allowed per call from a caller.
    pub ratio: f64,
    /// Additional sends allowed per window on top of that, for all entries together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of the slack that is used. The rest keeps the limit from being exceeded while
    /// entries start or stop.
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

/// Sum over a sliding window, stored as `(bucket number, amount)` pairs.
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

/// This entry's share of the budget for additional sends, per service.
#[derive(Clone, Debug)]
pub struct ServiceRetryBudget {
    settings: ServiceRetrySettings,
    calls: HashMap<Arc<str>, WindowCount>,
    retries: HashMap<Arc<str>, WindowCount>,
}

impl ServiceRetryBudget {
    /// Creates a budget from which nothing has been taken.
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

    /// Records a first-time call from a caller.
    pub fn record_call(&mut self, now: TimePoint, service: &Arc<str>) {
        let bucket = self.bucket(now);
        let calls = self.calls.entry(Arc::clone(service)).or_default();
        calls.add(bucket, 1.0);
        calls.sum(bucket);
    }

    /// Takes one additional send to `service` from the budget and returns whether one was left.
    /// `entry_count` is the number of entries that share the slack.
    pub fn try_take(&mut self, now: TimePoint, service: &Arc<str>, entry_count: usize) -> bool {
        let is_available = self.is_available(now, service, entry_count);
        if is_available {
            let bucket = self.bucket(now);
            let retries = self.retries.entry(Arc::clone(service)).or_default();
            retries.add(bucket, 1.0);
        }
        is_available
    }

    /// Whether an additional send to `service` is left, without taking it.
    pub fn is_available(&mut self, now: TimePoint, service: &Arc<str>, entry_count: usize) -> bool {
        let bucket = self.bucket(now);
        let calls = self.calls.entry(Arc::clone(service)).or_default();
        let earned = calls.sum(bucket) * self.settings.ratio;
        let slack = self.settings.slack * self.settings.slack_share / entry_count.max(1) as f64;
        let retries = self.retries.entry(Arc::clone(service)).or_default();
        retries.sum(bucket) + 1.0 <= earned + slack
    }
}

/// Window over which calls are counted, at rates of one or more in a window.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Longest window, so that the end of a limit is noticed.
const MAX_RATE_WINDOW: Duration = Duration::from_secs(10);
/// Minimum number of calls per window for an entry that sends to an endpoint with a limit.
const MIN_CALLS_PER_ENTRY: f64 = 2.0;

/// Calls that one entry may send to an endpoint in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateShare {
    /// Number of calls.
    pub calls: usize,
    /// Length of the window.
    pub window: Duration,
}

/// This entry's share of the call rates that endpoints can take, because they are cold or have named
/// a limit.
#[derive(Clone, Debug, Default)]
pub struct EndpointRateLimiter {
    sent: HashMap<Arc<str>, VecDeque<TimePoint>>,
}

impl EndpointRateLimiter {
    /// Returns how many calls the entry `own` may send to the endpoint `id`.
    ///
    /// `per_s` is the limit for all entries together. If it allows fewer than
    /// `MIN_CALLS_PER_ENTRY` calls per second for each entry, only the entries that rank first in a
    /// rendezvous hash may send, and the others get 0.
    pub fn entry_share(id: &str, own: &str, entries: &[Arc<str>], per_s: f64) -> RateShare {
        let senders = (per_s / MIN_CALLS_PER_ENTRY).floor().max(1.0) as usize;
        let senders = senders.min(entries.len().max(1));
        let is_sender = senders >= entries.len() || rendezvous_rank(id, own, entries) < senders;
        let calls = per_s / senders as f64;
        let min_per_s = 1.0 / MAX_RATE_WINDOW.as_secs_f64();
        RateShare {
            calls: if is_sender {
                calls.floor().max(1.0) as usize
            } else {
                0
            },
            window: RATE_WINDOW.div_f64(calls.clamp(min_per_s, 1.0)),
        }
    }

    /// Whether another call may be sent to the endpoint `id`. `share` is this entry's
    /// [`Self::entry_share`].
    pub fn has_capacity(&self, now: TimePoint, id: &str, share: RateShare) -> bool {
        let recent = |at: &&TimePoint| now.since(**at) < share.window;
        let sent = self.sent.get(id);
        sent.map_or(0, |sent| sent.iter().filter(recent).count()) < share.calls
    }

    /// Records a call sent to the endpoint `id`.
    pub fn record_call(&mut self, now: TimePoint, id: &Arc<str>) {
        let sent = self.sent.entry(Arc::clone(id)).or_default();
        while sent
            .front()
            .is_some_and(|at| now.since(*at) >= MAX_RATE_WINDOW)
        {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Discards the calls to an endpoint that is gone.
    pub fn forget(&mut self, id: &str) {
        self.sent.remove(id);
    }
}
