//! Points in time as plain numbers that are passed in as arguments, so that every decision can be
//! replayed.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an epoch that depends on the use.
///
/// Leases and timeouts use a monotonic epoch; plans and the ledger use the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TimePoint(u64);

impl TimePoint {
    /// The epoch itself.
    pub const ZERO: Self = Self(0);

    /// A point in time `micros` microseconds after the epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A point in time `millis` milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// A point in time `secs` seconds after the epoch.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the epoch, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Whole seconds since the epoch, rounded down.
    pub const fn as_secs(self) -> u64 {
        self.0 / 1_000_000
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Whole milliseconds since `earlier`, rounded down, or zero if `earlier` is later than `self`.
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0) / 1_000
    }
}

impl Add<Duration> for TimePoint {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for TimePoint {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for TimePoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03} s", self.as_secs(), self.as_millis() % 1_000)
    }
}
