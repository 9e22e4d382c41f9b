//! How fast streams go, from those that this entry passes on and those of other entries.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

/// Weight of a new gap against those remembered, once there are enough.
const MIN_SAMPLE_WEIGHT: f64 = 0.15;
/// Age of the newest gap at which the pace is not known any more: streams show one each second.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(3);

/// Mean time between two events, as seen at one or several entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EventGapReport {
    /// Sum of the means of all entries, in milliseconds.
    pub gap_ms: u32,
    /// Entries that saw streams lately.
    pub entries: u32,
}

impl EventGapReport {
    /// Both reports together.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            gap_ms: self.gap_ms.saturating_add(other.gap_ms),
            entries: self.entries + other.entries,
        }
    }

    /// Mean over the entries; zero where none saw a stream.
    pub fn mean(self) -> Duration {
        Duration::from_millis(u64::from(self.gap_ms)) / self.entries.max(1)
    }
}

/// Mean time between two events at this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventGapTracker {
    gap_s: f64,
    samples: f64,
    sampled_at: TimePoint,
}

impl EventGapTracker {
    /// Notes that `events` events took `took`.
    pub fn record(&mut self, now: TimePoint, events: f64, took: Duration) {
        if self.report(now).entries == 0 {
            self.samples = 0.0;
        }
        self.samples += 1.0;
        let sample_s = took.as_secs_f64() / events.max(1.0);
        self.gap_s += (sample_s - self.gap_s) * (1.0 / self.samples).max(MIN_SAMPLE_WEIGHT);
        self.sampled_at = now;
    }

    /// What this entry saw lately.
    pub fn report(&self, now: TimePoint) -> EventGapReport {
        if self.samples < 1.0 || now.since(self.sampled_at) >= SAMPLE_LIFETIME {
            return EventGapReport::default();
        }
        EventGapReport {
            gap_ms: (self.gap_s * 1_000.0) as u32,
            entries: 1,
        }
    }
}
