use std::sync::Arc;

use chestnutloft_core::routing::{WaitingWork, WorkBoard, endpoint_mark};
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

#[test]
fn an_entry_learns_what_waits_for_the_others() {
    let mut board = WorkBoard::default();
    board.exchange(at(0), &entry("a"), vec![work("one", 300), work("two", 50)]);
    board.exchange(at(1), &entry("b"), vec![work("one", 200)]);

    let mut others = board.exchange(at(2), &entry("c"), vec![work("one", 1_000)]);

    others.sort_by_key(|item| item.work_ms);
    assert_eq!(others, vec![work("two", 50), work("one", 500)]);
}

#[test]
fn a_report_replaces_the_one_before() {
    let mut board = WorkBoard::default();
    board.exchange(at(0), &entry("a"), vec![work("one", 300)]);
    board.exchange(at(1), &entry("a"), vec![]);

    let others = board.exchange(at(2), &entry("b"), vec![]);

    assert_eq!(others, vec![]);
}

#[test]
fn the_report_of_an_entry_that_fell_silent_is_dropped() {
    let mut board = WorkBoard::default();
    board.exchange(at(0), &entry("a"), vec![work("one", 300)]);

    let others = board.exchange(at(2_100), &entry("b"), vec![]);

    assert_eq!(others, vec![]);
}
