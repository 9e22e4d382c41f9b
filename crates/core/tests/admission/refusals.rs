//! When refused callers come back, and when a silent stream ends.

use std::time::Duration;

use chestnutloft_core::admission::{
    RefusalLoad, RefusalSchedule, RefusalSettings, SilenceLimits, StreamAlternative,
};
use chestnutloft_core::time::TimePoint;

fn load(time_left_ms: u64) -> RefusalLoad {
    RefusalLoad {
        work_ahead_ms: 200.0,
        work_ms: 50.0,
        work_per_ms: Some(2.0),
        time_left: Duration::from_millis(time_left_ms),
    }
}

fn times(schedule: &mut RefusalSchedule, time_left_ms: u64, count: usize) -> Vec<Duration> {
    let now = TimePoint::from_secs(5);
    let times = (0..count).map(|_| schedule.retry_after(now, &load(time_left_ms)));
    times.collect()
}

/// Failure: all refused callers return at the same time, or sooner than there is capacity.
#[test]
fn refused_callers_return_one_after_another_as_work_drains() {
    let mut schedule = RefusalSchedule::new(RefusalSettings::default());

    let times = times(&mut schedule, 9_000, 20);

    assert_eq!(times[0], Duration::from_millis(125));
    assert!(
        times
            .windows(2)
            .all(|pair| pair[1] == pair[0] + Duration::from_millis(25))
    );
}

/// Failure: a caller is told a time that leaves it no chance, or callers gather at the upper bound.
#[test]
fn times_are_bounded_by_the_time_left_and_spread_there() {
    let mut schedule = RefusalSchedule::new(RefusalSettings::default());

    let mut bounded = times(&mut schedule, 300, 50);

    assert!(
        bounded
            .iter()
            .all(|time| *time <= Duration::from_millis(100))
    );
    assert!(
        bounded
            .iter()
            .all(|time| *time >= Duration::from_millis(50))
    );
    bounded.sort();
    bounded.dedup();
    assert!(bounded.len() > 40, "{} different times", bounded.len());
    let unknown = RefusalLoad {
        work_per_ms: None,
        ..load(30_000)
    };
    let time = schedule.retry_after(TimePoint::from_secs(6), &unknown);
    assert!(time <= Duration::from_secs(10) && time >= Duration::from_secs(5));
}

/// Failure: a stream whose response was lost stays silent until its deadline, 12.9 s after its second
/// run began.
#[test]
fn silent_stream_ends_long_before_its_deadline() {
    let limits = SilenceLimits {
        latency_target: Duration::from_millis(2_500),
        target_gap: Duration::from_millis(1_200),
    };

    let limit = |alternative| (limits.first_event(alternative), limits.pause(alternative));

    let millis = Duration::from_millis;
    assert_eq!(
        limit(StreamAlternative::OtherEndpoint),
        (millis(2_500), millis(4_800))
    );
    assert_eq!(
        limit(StreamAlternative::CallerOnly),
        (millis(5_000), millis(9_600))
    );
}
