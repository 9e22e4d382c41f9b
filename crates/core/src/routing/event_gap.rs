//! Mean time between events in streamed answers, at this entry and averaged over all entries.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

/// Minimum weight of a new measurement in the moving average. The first measurements weigh more.
const MIN_SAMPLE_WEIGHT: f64 = 0.15;
/// Age at which the last measurement expires. A running stream produces one per second.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(3);

/// Mean time between events of one or more entries, as a sum and a count so that reports can be
/// merged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EventGapReport {
    /// Sum of the entries' means, in milliseconds.
    #[serde(rename = "gap_ms")]
    pub gap_sum_ms: u32,
    /// Number of entries with recent measurements.
    pub entries: u32,
}

impl EventGapReport {
    /// Combines two reports.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            gap_sum_ms: self.gap_sum_ms.saturating_add(other.gap_sum_ms),
            entries: self.entries + other.entries,
        }
    }

    /// Mean over the entries; zero if none has a recent measurement.
    pub fn mean(self) -> Duration {
        Duration::from_millis(u64::from(self.gap_sum_ms)) / self.entries.max(1)
    }
}

/// Moving average of the time between events in streams that this entry forwards.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventGapTracker {
    gap_s: f64,
    samples: f64,
    sampled_at: TimePoint,
}

impl EventGapTracker {
    /// Records that `events` events arrived within `took`.
    pub fn record(&mut self, now: TimePoint, events: f64, took: Duration) {
        if self.report(now).entries == 0 {
            self.samples = 0.0;
        }
        self.samples += 1.0;
        let sample_s = took.as_secs_f64() / events.max(1.0);
        self.gap_s += (sample_s - self.gap_s) * (1.0 / self.samples).max(MIN_SAMPLE_WEIGHT);
        self.sampled_at = now;
    }

    /// The current average, or an empty report if there is no recent measurement.
    pub fn report(&self, now: TimePoint) -> EventGapReport {
        if self.samples < 1.0 || now.since(self.sampled_at) >= SAMPLE_LIFETIME {
            return EventGapReport::default();
        }
        EventGapReport {
            gap_sum_ms: (self.gap_s * 1_000.0) as u32,
            entries: 1,
        }
    }
}

/// Relative step of the idle gap towards a shorter measurement.
const STEP_DOWN: f64 = 0.1;
/// Relative step towards a longer one. Much smaller than the other, so that the estimate settles at
/// a low quantile, which a busy time hardly moves.
const STEP_UP: f64 = 0.005;

/// Time between events in streams at an idle pool, learned as a low quantile of the measurements.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleGap {
    gap_s: Option<f64>,
}

impl IdleGap {
    /// Records the mean time between the events of a stream.
    pub fn record(&mut self, gap: Duration) {
        let measured = gap.as_secs_f64();
        let Some(estimate) = &mut self.gap_s else {
            self.gap_s = Some(measured);
            return;
        };
        *estimate *= if measured < *estimate {
            1.0 - STEP_DOWN
        } else {
            1.0 + STEP_UP
        };
    }

    /// `gap` as a multiple of the idle gap; 1 if there is nothing to compare or to compare with.
    pub fn slowdown(&self, gap: Duration) -> f64 {
        match self.gap_s {
            Some(idle) if idle > 0.0 && !gap.is_zero() => gap.as_secs_f64() / idle,
            _ => 1.0,
        }
    }
}
