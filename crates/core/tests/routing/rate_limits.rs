use std::sync::Arc;

use chestnutloft_core::routing::{
    LimitStatement, LoadAggregator, LoadSummary, StatedLimits, endpoint_hash,
};
use chestnutloft_core::time::TimePoint;

fn at(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}

fn statement(per_s: Option<f64>, age_ms: u64) -> LimitStatement {
    LimitStatement {
        endpoint: endpoint_hash("e"),
        per_s,
        age_ms,
    }
}

fn limit(limits: &StatedLimits) -> Option<f64> {
    limits.per_s(endpoint_hash("e"))
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_call_lacks_it() {
    let mut limits = StatedLimits::default();
    let endpoint = endpoint_hash("e");

    assert!(limits.hear(at(100), endpoint, at(50), Some(3.4)));
    let is_changed_by_overtaken = limits.hear(at(120), endpoint, at(60), None);
    let while_named = limit(&limits);
    let is_changed_by_later = limits.hear(at(300), endpoint, at(200), None);

    assert!(!is_changed_by_overtaken);
    assert_eq!(while_named, Some(3.4));
    assert!(is_changed_by_later);
    assert_eq!(limit(&limits), None);
}

#[test]
fn the_newest_statement_of_any_entry_counts() {
    let mut limits = StatedLimits::default();
    limits.hear(at(1_000), endpoint_hash("e"), at(900), Some(2.0));

    limits.merge(at(1_100), &[statement(None, 500)]);
    let after_older = limit(&limits);
    limits.merge(at(1_100), &[statement(Some(5.0), 20)]);

    assert_eq!(after_older, Some(2.0));
    assert_eq!(limit(&limits), Some(5.0));
}

#[test]
fn entries_hear_of_limits_that_others_were_told() {
    let mut aggregator = LoadAggregator::default();
    let told = LoadSummary {
        limits: vec![statement(Some(1.0), 10)],
        ..LoadSummary::default()
    };
    aggregator.exchange(at(1_000), &Arc::from("a"), told);

    let reply = aggregator.exchange(at(31_000), &Arc::from("b"), LoadSummary::default());

    assert_eq!(reply.limits, vec![statement(Some(1.0), 30_010)]);
}

#[test]
fn old_statements_are_dropped() {
    let mut limits = StatedLimits::default();
    limits.hear(at(0), endpoint_hash("e"), at(0), Some(2.0));

    assert!(limits.statements(at(400_000)).is_empty());
    assert_eq!(limit(&limits), None);
}
