//! How fast streams go, from those that this entry passes on.

use std::time::Duration;

use crate::time::TimePoint;

/// Weight of a new gap against the one remembered.
const GAP_WEIGHT: f64 = 0.15;
/// Time in which a remembered gap counts for half where no stream shows a newer one.
const GAP_HALF_LIFE: Duration = Duration::from_secs(2);

/// Mean time between two events.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPace {
    gap_s: f64,
    seen_at: TimePoint,
}

impl StreamPace {
    /// Notes that `events` events took `took`.
    pub fn note(&mut self, now: TimePoint, events: f64, took: Duration) {
        let seen = took.as_secs_f64() / events.max(1.0);
        let known = self.gap(now).as_secs_f64();
        self.gap_s = known + (seen - known) * GAP_WEIGHT;
        self.seen_at = now;
    }

    /// Time between two events, as far as known.
    pub fn gap(&self, now: TimePoint) -> Duration {
        let age = now.since(self.seen_at).as_secs_f64() / GAP_HALF_LIFE.as_secs_f64();
        Duration::from_secs_f64(self.gap_s * 0.5_f64.powf(age))
    }
}
