//! The clocks that the daemons hand to the deciding code.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use chestnutloft_core::time::TimePoint;

static START: OnceLock<Instant> = OnceLock::new();

/// Monotonic time since this process first asked, moved by an hour so that spans can be
/// subtracted from it.
pub fn now() -> TimePoint {
    let start = START.get_or_init(Instant::now);
    let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    TimePoint::from_micros(micros + 3_600_000_000)
}

/// Unix time.
pub fn wall_now() -> TimePoint {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    TimePoint::from_micros(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
