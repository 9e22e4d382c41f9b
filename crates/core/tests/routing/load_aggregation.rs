use std::sync::Arc;

use chestnutloft_core::routing::{
    EventGapReport, LoadAggregator, LoadSummary, WaitingWork, endpoint_hash,
};
use chestnutloft_core::time::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn entry(name: &str) -> Arc<str> {
    Arc::from(name)
}

fn work(endpoint: &str, work_ms: u32) -> WaitingWork {
    WaitingWork {
        endpoint: endpoint_hash(endpoint),
        work_ms,
    }
}

fn load(work: Vec<WaitingWork>) -> LoadSummary {
    LoadSummary {
        work,
        ..LoadSummary::default()
    }
}

#[test]
fn an_entry_gets_the_sum_of_the_other_entries_work() {
    let mut aggregator = LoadAggregator::default();
    aggregator.exchange(
        at(0),
        &entry("a"),
        load(vec![work("one", 300), work("two", 50)]),
    );
    aggregator.exchange(at(1), &entry("b"), load(vec![work("one", 200)]));

    let mut others = aggregator.exchange(at(2), &entry("c"), load(vec![work("one", 1_000)]));

    others.work.sort_by_key(|item| item.work_ms);
    assert_eq!(others.work, vec![work("two", 50), work("one", 500)]);
}

#[test]
fn a_report_replaces_the_previous_one_of_its_entry() {
    let mut aggregator = LoadAggregator::default();
    aggregator.exchange(at(0), &entry("a"), load(vec![work("one", 300)]));
    aggregator.exchange(at(1), &entry("a"), load(vec![]));

    let others = aggregator.exchange(at(2), &entry("b"), load(vec![]));

    assert_eq!(others.work, vec![]);
}

#[test]
fn the_report_of_an_entry_that_stopped_reporting_expires() {
    let mut aggregator = LoadAggregator::default();
    aggregator.exchange(at(0), &entry("a"), load(vec![work("one", 300)]));

    let others = aggregator.exchange(at(2_100), &entry("b"), load(vec![]));

    assert_eq!(others.work, vec![]);
}

#[test]
fn the_event_gap_is_the_mean_over_entries_with_streams() {
    let mut aggregator = LoadAggregator::default();
    let event_gap = |gap_sum_ms, entries| LoadSummary {
        event_gap: EventGapReport {
            gap_sum_ms,
            entries,
        },
        ..LoadSummary::default()
    };
    aggregator.exchange(at(0), &entry("a"), event_gap(100, 1));
    aggregator.exchange(at(1), &entry("b"), event_gap(0, 0));
    aggregator.exchange(at(2), &entry("c"), event_gap(200, 1));

    let others = aggregator.exchange(at(3), &entry("b"), event_gap(0, 0));

    assert_eq!(
        others.event_gap.mean(),
        std::time::Duration::from_millis(150)
    );
}
