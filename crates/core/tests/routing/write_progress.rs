use std::time::Duration;

use chestnutloft_core::routing::WriteProgress;
use chestnutloft_core::time::TimePoint;

const TIMEOUT: Duration = Duration::from_secs(3);

fn at(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}

/// Guards against a longer wait for a silent endpoint that has received the whole request.
#[test]
fn a_request_that_is_written_at_once_gets_no_extra_time() {
    let mut progress = WriteProgress::start(at(0));
    progress.record_write(at(2_900));

    assert_eq!(progress.extra_time(at(3_000), TIMEOUT), Duration::ZERO);
}

/// Guards against an endpoint that is blamed while it reads, and one that is never given up.
#[test]
fn the_timeout_starts_anew_with_each_write() {
    let mut progress = WriteProgress::start(at(0));
    progress.record_wait();
    progress.record_write(at(800));
    progress.record_wait();

    let extra_time = progress.extra_time(at(3_000), TIMEOUT);

    assert_eq!(extra_time, Duration::from_millis(800));
    assert_eq!(progress.extra_time(at(3_800), TIMEOUT), Duration::ZERO);
}

/// Guards against an endpoint that is blamed between two steps of its pace, where the timeout is
/// shorter than such a step.
#[test]
fn the_time_without_a_write_follows_the_pace_of_the_endpoint() {
    let mut progress = WriteProgress::start(at(0));
    progress.record_wait();
    progress.record_write(at(2_500));
    progress.record_wait();

    let extra_time = progress.extra_time(at(5_000), Duration::from_millis(100));

    assert_eq!(extra_time, Duration::from_millis(2_500));
}

/// Guards against an endpoint that is blamed while the last part of the body is on its way.
#[test]
fn a_body_that_took_long_to_write_leaves_as_long_for_the_response() {
    let mut progress = WriteProgress::start(at(0));
    progress.record_wait();
    progress.record_write(at(5_000));

    let extra_time = progress.extra_time(at(9_000), TIMEOUT);

    assert_eq!(extra_time, Duration::from_secs(1));
}
