//! Measured rate at which waiting calls are started.

use std::time::Duration;

use crate::time::TimePoint;

/// Waiting time that must have been observed before the rate is used: a rate over less is
/// dominated by the time between two events.
const MIN_OBSERVED_MS: f64 = 100.0;
/// Weight of a start in the mean work of a call.
const MEAN_WEIGHT: f64 = 0.1;

/// Work started per time in which calls were waiting, weighted towards the recent past. Time without
/// waiting calls is not counted, since the capacity is not used up then.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    work_ms: f64,
    /// Mean work of a started call; `None` before the first.
    mean_work_ms: Option<f64>,
    observed_ms: f64,
    /// Time up to which observation is counted; `None` while no call waits.
    counted_to: Option<TimePoint>,
}

impl DrainRate {
    /// Counts the time up to `now` if calls were waiting, and whether they are from now on.
    pub fn observe(&mut self, now: TimePoint, half_life: Duration, is_waiting: bool) {
        if let Some(from) = self.counted_to {
            let elapsed = now.since(from);
            let decay = 0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64());
            self.work_ms *= decay;
            self.observed_ms = self.observed_ms * decay + elapsed.as_secs_f64() * 1_000.0;
        }
        self.counted_to = is_waiting.then_some(now);
    }

    /// Counts `work_ms` of a waiting call that was started.
    pub fn record_start(&mut self, work_ms: f64) {
        self.work_ms += work_ms;
        let mean = self.mean_work_ms.unwrap_or(work_ms);
        self.mean_work_ms = Some(mean + (work_ms - mean) * MEAN_WEIGHT);
    }

    /// Work in milliseconds that is started per millisecond, or `None` before enough was observed.
    /// One call is counted as about to start: without a start for some time, the next one may still
    /// come after as long again.
    pub fn work_per_ms(&self) -> Option<f64> {
        let mean = self.mean_work_ms?;
        (self.observed_ms >= MIN_OBSERVED_MS).then(|| (self.work_ms + mean) / self.observed_ms)
    }

    /// Time until `work_ms` has been started. Zero before there is a measurement: a call is not
    /// refused on a guess.
    pub fn time_for(&self, work_ms: f64) -> Duration {
        let millis = |per_ms: f64| work_ms / per_ms.max(f64::MIN_POSITIVE);
        let millis = self.work_per_ms().map_or(0.0, millis);
        Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or(Duration::MAX)
    }
}
