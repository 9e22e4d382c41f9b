//! Rate and concurrency limits of workspaces.

use std::time::Duration;

use crate::plan::WorkspaceRule;
use crate::time::TimePoint;

/// How a workspace's limits are divided among the entries.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Factor by which an entry's share exceeds an even split, because the load balancer does not
    /// spread callers evenly.
    pub slack: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { slack: 1.2 }
    }
}

/// Result of checking a request against the limits of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitVerdict {
    /// The request is admitted.
    Within,
    /// The rate limit is exceeded; the next request is admitted after this time.
    RateExceeded(Duration),
    /// The maximum number of requests is in flight.
    ConcurrencyExceeded,
}

/// Rate and concurrency limiter of one workspace on one entry.
///
/// The rate limit is a leaky bucket rather than a fixed window, which would let twice the burst
/// through at its boundary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceLimiter {
    /// Fill level of the bucket, in requests.
    level: f64,
    updated_at: TimePoint,
    in_flight: u32,
}

impl WorkspaceLimiter {
    /// Admits a request if the entry's share of the limits allows it.
    pub fn admit(
        &mut self,
        now: TimePoint,
        rule: &WorkspaceRule,
        entry_count: usize,
        settings: &LimitSettings,
    ) -> LimitVerdict {
        let share = entry_share(entry_count, settings);
        let rate = (rule.rate_per_s * share).max(f64::MIN_POSITIVE);
        let burst = (rule.burst * share).max(1.0);
        let concurrency = (f64::from(rule.concurrency) * share).max(1.0);
        if f64::from(self.in_flight) + 1.0 > concurrency {
            return LimitVerdict::ConcurrencyExceeded;
        }
        self.drain(now, rate);
        let excess = self.level + 1.0 - burst;
        if excess > 0.0 {
            let wait = (excess / rate).min(3_600.0);
            return LimitVerdict::RateExceeded(Duration::from_secs_f64(wait));
        }
        self.level += 1.0;
        self.in_flight += 1;
        LimitVerdict::Within
    }

    fn drain(&mut self, now: TimePoint, rate: f64) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.level = (self.level - elapsed * rate).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// Records that a request has ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

fn entry_share(entry_count: usize, settings: &LimitSettings) -> f64 {
    if entry_count <= 1 {
        return 1.0;
    }
    (settings.slack / entry_count as f64).min(1.0)
}
