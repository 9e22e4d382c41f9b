//! Load: endpoints that are stopped while many entries call them.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    EndpointProcess, LeavingEndpoints, LeavingStatement, LoadAggregator, LoadSummary,
};
use chestnutloft_core::time::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::ZERO + Duration::from_millis(millis)
}

fn leaving(processes: &[EndpointProcess]) -> LoadSummary {
    let statement = |process: &EndpointProcess| LeavingStatement {
        process: *process,
        age_ms: 0,
    };
    LoadSummary {
        leaving: processes.iter().map(statement).collect(),
        ..LoadSummary::default()
    }
}

/// Guards against entries that go on calling an endpoint which has told another entry that it leaves.
#[test]
fn other_entries_hear_of_an_endpoint_that_leaves() {
    let mut aggregator = LoadAggregator::default();
    let process = EndpointProcess::new("w1", 1_000);

    aggregator.exchange(at(0), &Arc::from("entry-1"), leaving(&[process]));
    let heard = aggregator.exchange(at(20), &Arc::from("entry-2"), leaving(&[]));

    let statement = LeavingStatement {
        process,
        age_ms: 20,
    };
    assert_eq!(heard.leaving, [statement]);
}

#[test]
fn statement_is_news_once() {
    let mut endpoints = LeavingEndpoints::default();
    let process = EndpointProcess::new("w1", 1_000);
    let statement = LeavingStatement { process, age_ms: 5 };

    let first = endpoints.merge(at(10), &[statement]);
    let second = endpoints.merge(at(20), &[statement]);
    let own = endpoints.hear(at(30), process);

    assert_eq!(first, [process]);
    assert_eq!(second, []);
    assert!(!own);
}

/// Guards against a process that is spared because an earlier one at its address has left.
#[test]
fn process_that_started_later_does_not_leave() {
    let mut endpoints = LeavingEndpoints::default();

    endpoints.hear(at(0), EndpointProcess::new("w1", 1_000));

    assert!(!endpoints.contains(EndpointProcess::new("w1", 2_000)));
}

/// Guards against calls to an endpoint that leaves, was silent for long and comes back.
#[test]
fn statement_is_remembered_for_longer_than_it_is_passed_on() {
    let mut endpoints = LeavingEndpoints::default();
    let process = EndpointProcess::new("w1", 1_000);
    endpoints.hear(at(0), process);

    endpoints.statements(at(599_999));
    let is_remembered = endpoints.contains(process);
    endpoints.statements(at(600_000));

    assert!(is_remembered);
    assert!(!endpoints.contains(process));
}

/// Guards against statements that are passed on in a circle without end.
#[test]
fn statements_end() {
    let mut endpoints = LeavingEndpoints::default();
    endpoints.hear(at(0), EndpointProcess::new("w1", 1_000));

    let late = endpoints.statements(at(9_999));
    let too_late = endpoints.statements(at(10_000));
    let news = endpoints.merge(
        at(10_000),
        &[LeavingStatement {
            age_ms: 10_000,
            ..late[0]
        }],
    );

    assert_eq!(late.len(), 1);
    assert_eq!(too_late, []);
    assert_eq!(news, []);
}
