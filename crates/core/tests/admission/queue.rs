//! Order of the queue and what leaves it.

use std::time::Duration;

use chestnutloft_core::admission::{
    PriorityClass, QueueError, QueueSettings, WaitOutlook, WaitQueue, WaiterId,
};
use chestnutloft_core::time::TimePoint;

use crate::pool::{Arrival, LATE_MS, TARGET_MS, queued_call};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(5_000 + millis)
}

fn join(queue: &mut WaitQueue, workspace: &str, route: u32, work_ms: u64) -> WaiterId {
    let arrival = Arrival {
        at_ms: 0,
        workspace: workspace.to_owned(),
        route,
        work_ms,
    };
    let joined = queue.join(at(0), &queued_call(at(0), &arrival));
    joined.expect("the queue has room and no measured rate")
}

fn queue() -> WaitQueue {
    WaitQueue::new(QueueSettings::default())
}

/// Failure: a class is starved while a more urgent one always has calls waiting.
#[test]
fn lower_class_gets_its_minimum_share() {
    let mut queue = queue();
    for _ in 0..200 {
        join(&mut queue, "a", 0, 10);
    }
    let lower: Vec<_> = (0..20).map(|_| join(&mut queue, "b", 2, 10)).collect();

    let started: Vec<_> = (0..100).filter_map(|_| queue.pop(at(1))).collect();

    let from_lower = started.iter().filter(|id| lower.contains(id)).count();
    assert!((4..=6).contains(&from_lower), "{from_lower} of 100");
}

/// Failure: fair sharing by the number of calls, with which large calls take most of the time.
#[test]
fn workspaces_share_work_and_not_calls() {
    let mut queue = queue();
    let large: Vec<_> = (0..50).map(|_| join(&mut queue, "large", 0, 100)).collect();
    for _ in 0..200 {
        join(&mut queue, "small", 0, 10);
    }

    let started: Vec<_> = (0..110).filter_map(|_| queue.pop(at(1))).collect();

    let from_large = started.iter().filter(|id| large.contains(id)).count();
    assert!(
        (9..=11).contains(&from_large),
        "{from_large} large calls of 110"
    );
}

/// Failure: calls that can only be late take places before calls that can be in time, or stay after
/// their time.
#[test]
fn late_calls_are_behind_all_others_until_they_expire() {
    let mut queue = queue();
    let urgent = join(&mut queue, "a", 0, 10);
    let late_at = at(TARGET_MS + 1);
    let arrival = Arrival {
        at_ms: 0,
        workspace: "b".to_owned(),
        route: 2,
        work_ms: 10,
    };
    let on_time = queue.join(at(TARGET_MS), &queued_call(at(TARGET_MS), &arrival));
    let on_time = on_time.expect("the call can be served in time");

    assert_eq!(queue.next(late_at), Some(on_time));
    assert_eq!(
        queue.outlook(late_at, urgent),
        WaitOutlook::Waiting(at(LATE_MS))
    );
    assert_eq!(queue.take_expired(at(LATE_MS)), vec![urgent]);
    queue.leave(at(LATE_MS), on_time);
    assert!(queue.is_empty(), "a cancelled call keeps no place");
}

/// Failure: one waiting call that cannot use what is free blocks all others.
#[test]
fn call_that_cannot_use_a_place_is_passed_over_until_the_next_event() {
    let mut queue = queue();
    let first = join(&mut queue, "a", 0, 10);
    let second = join(&mut queue, "a", 1, 10);

    queue.pass_over(first);
    assert_eq!(queue.next(at(1)), Some(second));
    queue.begin_round();
    assert_eq!(queue.next(at(1)), Some(first));
}

/// Failure: a call joins although its expected start is after its latest start, and is refused only
/// once its time is over. Urgent calls still join, since less work is ahead of them.
#[test]
fn call_whose_expected_start_is_too_late_is_refused_at_once() {
    let mut queue = queue();
    for _ in 0..40 {
        join(&mut queue, "a", 1, 100);
    }
    queue.pop(at(200)).expect("calls wait");
    let now = at(200);
    let call = |route| Arrival {
        at_ms: 0,
        workspace: "b".to_owned(),
        route,
        work_ms: 10,
    };

    let refused = queue.join(now, &queued_call(now, &call(2)));
    let joined = queue.join(now, &queued_call(now, &call(0)));

    let wait = Duration::from_millis(39 * 100);
    assert_eq!(refused, Err(QueueError::DeadlineUnreachable(wait)));
    assert!(joined.is_ok());
    let route = 0;
    assert!(queue.has_waiting(
        now,
        PriorityClass {
            workspace: 0,
            route
        }
    ));
}
