//! Reports on how long changes take to reach all entries.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::time::TimePoint;
use chestnutloft_keeper::propagation::PropagationTracker;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn entries(confirmed: &[(&str, u64)]) -> Vec<(Arc<str>, u64)> {
    let named = confirmed.iter();
    named
        .map(|(name, index)| (Arc::from(*name), *index))
        .collect()
}

#[test]
fn a_change_is_settled_once_the_last_entry_has_it() {
    let mut tracker = PropagationTracker::default();
    tracker.record_change(at(0), 7);
    let some = entries(&[("a", 7), ("b", 6)]);
    let all = entries(&[("a", 9), ("b", 7)]);

    let before = tracker.settle(at(100), some.iter().map(|(name, index)| (name, *index)));
    let after = tracker.settle(at(250), all.iter().map(|(name, index)| (name, *index)));
    let again = tracker.settle(at(300), all.iter().map(|(name, index)| (name, *index)));

    assert_eq!(before, None);
    assert_eq!(after, Some((7, Duration::from_millis(250))));
    assert_eq!(again, None);
}

#[test]
fn a_change_that_an_entry_lacks_for_a_second_is_reported_once_with_its_name() {
    let mut tracker = PropagationTracker::default();
    tracker.record_change(at(0), 7);
    let confirmed = entries(&[("a", 7), ("b", 6)]);
    let views = || confirmed.iter().map(|(name, index)| (name, *index));

    let early = tracker.overdue(at(900), views());
    let late = tracker.overdue(at(1_100), views());
    let again = tracker.overdue(at(1_200), views());

    assert_eq!(early, None);
    let late = late.expect("an overdue change");
    assert_eq!((late.index, late.missing), (7, 1));
    assert_eq!(late.named, [Arc::from("b")]);
    assert_eq!(again, None);
}
