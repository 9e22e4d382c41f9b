//! The clocks that the daemons hand to the deciding code.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use chestnutloft_core::time::TimePoint;

/// Moves the epoch an hour back, so that spans can be subtracted from the first readings.
const HEAD_START_US: u64 = 3_600_000_000;

static START: OnceLock<u64> = OnceLock::new();

/// Microseconds since the machine started, the time that it was suspended included: a lease must
/// not outlive a suspension of its holder.
fn boot_micros() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000_000 + nanos / 1_000
}

/// Monotonic time since this process first asked.
pub fn now() -> TimePoint {
    let start = START.get_or_init(boot_micros);
    let elapsed = boot_micros().saturating_sub(*start);
    TimePoint::from_micros(elapsed + HEAD_START_US)
}

/// Unix time.
pub fn wall_now() -> TimePoint {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    TimePoint::from_micros(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
