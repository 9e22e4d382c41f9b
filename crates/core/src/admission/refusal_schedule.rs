//! When refused callers should come back, so that they return as capacity becomes free and not all
//! at once.

use std::time::Duration;

use crate::time::TimePoint;

/// Fraction of the golden ratio: multiples of it modulo 1 are spread evenly, however many there are.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;

/// Bounds of the time after which to return.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusalSettings {
    /// Lower bound: a caller that returns sooner finds the same queue.
    pub min_delay: Duration,
    /// Upper bound, as a share of the time that the call has left.
    pub max_share: f64,
}

impl Default for RefusalSettings {
    fn default() -> Self {
        Self {
            min_delay: Duration::from_millis(50),
            max_share: 1.0 / 3.0,
        }
    }
}

/// What the time after which to return depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RefusalLoad {
    /// Work that is started before the call, in milliseconds.
    pub work_ahead_ms: f64,
    /// Work of the call, in milliseconds.
    pub work_ms: f64,
    /// Work that is started per millisecond; `None` if it is not known.
    pub work_per_ms: Option<f64>,
    /// Time that the call has left.
    pub time_left: Duration,
}

/// Work of refused callers that have been told when to return. It is started before that of the
/// callers refused after them.
#[derive(Clone, Debug, Default)]
pub struct RefusalSchedule {
    settings: RefusalSettings,
    promised_ms: f64,
    updated_at: TimePoint,
    refusals: u32,
}

impl RefusalSchedule {
    /// A schedule without refused callers.
    pub fn new(settings: RefusalSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Time after which there is capacity for a call that is refused now. Where that time exceeds
    /// the upper bound, calls are spread over the upper half of what is allowed. The lower bound
    /// yields where it exceeds the upper one.
    pub fn retry_after(&mut self, now: TimePoint, load: &RefusalLoad) -> Duration {
        self.refusals = self.refusals.wrapping_add(1);
        let max_delay = load.time_left.mul_f64(self.settings.max_share);
        let min_delay = self.settings.min_delay.min(max_delay);
        let work_per_ms = load.work_per_ms.unwrap_or_default();
        let elapsed_ms = now.since(self.updated_at).as_secs_f64() * 1_000.0;
        self.promised_ms = (self.promised_ms - elapsed_ms * work_per_ms).max(0.0);
        self.updated_at = now;
        let ahead_ms = load.work_ahead_ms + self.promised_ms + load.work_ms;
        let delay = Duration::try_from_secs_f64(ahead_ms / work_per_ms / 1_000.0);
        match delay.ok().filter(|delay| *delay <= max_delay) {
            Some(delay) => {
                self.promised_ms += load.work_ms;
                delay.max(min_delay)
            }
            None => max_delay.mul_f64(0.5 + 0.5 * self.spread()).max(min_delay),
        }
    }

    /// A number from 0 to 1 that differs between consecutive refusals.
    fn spread(&self) -> f64 {
        (f64::from(self.refusals) * GOLDEN_FRACTION).fract()
    }
}
