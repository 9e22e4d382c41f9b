//! Calls that endpoints reject as misdirected.

use chestnutloft_core::routing::MisdirectedModels;
use chestnutloft_core::time::TimePoint;

const SMALL: u64 = 1;
const UNKNOWN: u64 = 9;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

/// Guards against endpoints that are left out for all calls because they do not run one model.
#[test]
fn rejected_model_does_not_keep_other_models_from_an_endpoint() {
    let mut misdirected = MisdirectedModels::default();

    misdirected.record(at(0), UNKNOWN);

    assert!(!misdirected.accepts(at(10), UNKNOWN));
    assert!(misdirected.accepts(at(10), SMALL));
}

/// Guards against endpoints that are left out for good.
#[test]
fn rejection_is_forgotten_after_some_seconds() {
    let mut misdirected = MisdirectedModels::default();

    misdirected.record(at(0), SMALL);

    assert!(!misdirected.accepts(at(4_999), SMALL));
    assert!(misdirected.accepts(at(5_000), SMALL));
}

/// Guards against memory that callers fill by naming ever other models.
#[test]
fn number_of_models_is_bounded() {
    let mut misdirected = MisdirectedModels::default();
    misdirected.record(at(0), SMALL);

    for number in 0..200 {
        misdirected.record(at(1), 1_000 + number);
    }

    assert!(misdirected.accepts(at(2), SMALL));
    assert!(!misdirected.accepts(at(2), 1_199));
    assert!(!misdirected.accepts_all(at(2)) && misdirected.accepts_all(at(5_001)));
}
