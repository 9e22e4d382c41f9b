//! Monotonic and wall clock. The core crate reads no clock; it gets the time as an argument.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use chestnutloft_core::time::TimePoint;

/// Offset of one hour added to monotonic times, so that durations can be subtracted from the first
/// readings without underflow.
const EPOCH_OFFSET_US: u64 = 3_600_000_000;

static PROCESS_START_US: OnceLock<u64> = OnceLock::new();

/// Microseconds since boot, including time in suspend: a lease must expire also while its holder is
/// suspended.
fn boot_time_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000_000 + nanos / 1_000
}

/// Monotonic time since the first call in this process, plus an offset of one hour.
pub fn now() -> TimePoint {
    let process_start = PROCESS_START_US.get_or_init(boot_time_us);
    let elapsed = boot_time_us().saturating_sub(*process_start);
    TimePoint::from_micros(elapsed + EPOCH_OFFSET_US)
}

/// Wall-clock time since the Unix epoch.
pub fn wall_now() -> TimePoint {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    TimePoint::from_micros(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
