use std::sync::Arc;

use chestnutloft_core::routing::{LoadShare, PaceReport, WaitingWork, WorkBoard, endpoint_mark};
use chestnutloft_core::time::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn entry(name: &str) -> Arc<str> {
    Arc::from(name)
}

fn work(endpoint: &str, work_ms: u32) -> WaitingWork {
    WaitingWork {
        endpoint: endpoint_mark(endpoint),
        work_ms,
    }
}

fn share(work: Vec<WaitingWork>) -> LoadShare {
    LoadShare {
        work,
        ..LoadShare::default()
    }
}

#[test]
fn an_entry_learns_what_waits_for_the_others() {
    let mut board = WorkBoard::default();
    board.exchange(
        at(0),
        &entry("a"),
        share(vec![work("one", 300), work("two", 50)]),
    );
    board.exchange(at(1), &entry("b"), share(vec![work("one", 200)]));

    let mut others = board.exchange(at(2), &entry("c"), share(vec![work("one", 1_000)]));

    others.work.sort_by_key(|item| item.work_ms);
    assert_eq!(others.work, vec![work("two", 50), work("one", 500)]);
}

#[test]
fn a_report_replaces_the_one_before() {
    let mut board = WorkBoard::default();
    board.exchange(at(0), &entry("a"), share(vec![work("one", 300)]));
    board.exchange(at(1), &entry("a"), share(vec![]));

    let others = board.exchange(at(2), &entry("b"), share(vec![]));

    assert_eq!(others.work, vec![]);
}

#[test]
fn the_report_of_an_entry_that_fell_silent_is_dropped() {
    let mut board = WorkBoard::default();
    board.exchange(at(0), &entry("a"), share(vec![work("one", 300)]));

    let others = board.exchange(at(2_100), &entry("b"), share(vec![]));

    assert_eq!(others.work, vec![]);
}

#[test]
fn the_pace_is_the_mean_of_the_entries_that_see_streams() {
    let mut board = WorkBoard::default();
    let pace = |gap_ms, entries| LoadShare {
        pace: PaceReport { gap_ms, entries },
        ..LoadShare::default()
    };
    board.exchange(at(0), &entry("a"), pace(100, 1));
    board.exchange(at(1), &entry("b"), pace(0, 0));
    board.exchange(at(2), &entry("c"), pace(200, 1));

    let others = board.exchange(at(3), &entry("b"), pace(0, 0));

    assert_eq!(others.pace.mean(), std::time::Duration::from_millis(150));
}
