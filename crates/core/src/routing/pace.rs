//! How fast streams go and how long they are, from those that this entry passes on.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::TimePoint;

/// Weight of a new gap against the one remembered.
const GAP_WEIGHT: f64 = 0.15;
/// Time in which a remembered gap counts for half where no stream shows a newer one.
const GAP_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of a new length against the mean.
const LENGTH_WEIGHT: f64 = 0.05;
/// Events of a stream on a route that has had none yet.
const FIRST_LENGTH: f64 = 20.0;

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

/// Mean number of events of the streams of each route.
#[derive(Clone, Debug, Default)]
pub struct RouteLengths {
    means: HashMap<Arc<str>, f64>,
}

impl RouteLengths {
    /// Notes that a stream of `route` has ended after `events`.
    pub fn note(&mut self, route: &Arc<str>, events: u64) {
        let mean = self.means.entry(Arc::clone(route)).or_insert(FIRST_LENGTH);
        *mean += (events as f64 - *mean) * LENGTH_WEIGHT;
    }

    /// Events of a stream of `route` on average.
    pub fn mean(&self, route: &str) -> f64 {
        self.means.get(route).copied().unwrap_or(FIRST_LENGTH)
    }
}
