//! Rate and concurrency limits of workspaces.

use std::time::Duration;

use crate::plan::WorkspaceRule;
use crate::time::TimePoint;

/// How an entry's share of a workspace's limits is worked out.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Factor on an even share, for callers that the balancer spreads unevenly.
    pub slack: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { slack: 1.2 }
    }
}

/// Whether a request is within the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitVerdict {
    /// Within.
    Within,
    /// The rate is used up; a request fits again after this time.
    RateExceeded(Duration),
    /// As many requests run as may.
    ConcurrencyExceeded,
}

/// Meter of one workspace on one entry.
///
/// The rate is a continuously decaying counter: there is no window whose boundary would let
/// twice the burst through.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceLimiter {
    used: f64,
    updated_at: TimePoint,
    in_flight: u32,
}

impl WorkspaceLimiter {
    /// Admits a request where the entry's share of the limits allows it.
    pub fn admit(
        &mut self,
        now: TimePoint,
        rule: &WorkspaceRule,
        entries: usize,
        settings: &LimitSettings,
    ) -> LimitVerdict {
        let share = entry_share(entries, settings);
        let rate = (rule.rate_per_s * share).max(f64::MIN_POSITIVE);
        let burst = (rule.burst * share).max(1.0);
        let concurrency = (f64::from(rule.concurrency) * share).max(1.0);
        if f64::from(self.in_flight) + 1.0 > concurrency {
            return LimitVerdict::ConcurrencyExceeded;
        }
        self.decay(now, rate);
        let excess = self.used + 1.0 - burst;
        if excess > 0.0 {
            let wait = (excess / rate).min(3_600.0);
            return LimitVerdict::RateExceeded(Duration::from_secs_f64(wait));
        }
        self.used += 1.0;
        self.in_flight += 1;
        LimitVerdict::Within
    }

    fn decay(&mut self, now: TimePoint, rate: f64) {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.used = (self.used - passed * rate).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// Notes that a request has ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Requests that run.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

fn entry_share(entries: usize, settings: &LimitSettings) -> f64 {
    if entries <= 1 {
        return 1.0;
    }
    (settings.slack / entries as f64).min(1.0)
}
