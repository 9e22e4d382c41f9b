//! Which models an endpoint can run.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{ModelSupport, SentModel};
use chestnutloft_core::time::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn model(name: &str) -> SentModel {
    SentModel::named(name)
}

/// An endpoint that has announced `names` at 0 ms.
fn announcing(names: &[&str]) -> ModelSupport {
    let mut support = ModelSupport::default();
    announce(&mut support, 0, names);
    support
}

fn announce(support: &mut ModelSupport, millis: u64, names: &[&str]) {
    let names: Vec<Arc<str>> = names.iter().map(|name| Arc::from(*name)).collect();
    support.announce(at(millis), Some(&names));
}

/// Guards against calls that find out by a rejection what the endpoint has announced.
#[test]
fn endpoint_gets_calls_for_the_models_that_it_announces() {
    let support = announcing(&["small"]);

    assert!(support.accepts(at(1), model("small")));
    assert!(!support.accepts(at(1), model("tiny")));
}

/// Guards against endpoints without an announcement that get no calls, and against calls that name
/// no model being kept from endpoints that announce some.
#[test]
fn unknown_models_count_as_run() {
    assert!(ModelSupport::default().accepts(at(1), model("tiny")));
    assert!(announcing(&["small"]).accepts(at(1), SentModel::Unnamed(7)));
}

/// Guards against an endpoint that announces a model, rejects it, and is asked again and again.
#[test]
fn rejection_counts_more_than_a_repeated_announcement() {
    let mut support = announcing(&["small"]);

    support.record_rejection(at(10), at(5), model("small"));
    announce(&mut support, 20, &["small"]);

    assert!(!support.accepts(at(30), model("small")));
    let left = support.rejection_left(at(30), model("small"));
    assert_eq!(left, Some(Duration::from_millis(4_980)));
    assert!(support.accepts(at(5_010), model("small")));
}

/// Guards against a model that an endpoint has taken up, but gets no calls for because it rejected
/// one before.
#[test]
fn new_announcement_ends_earlier_rejections() {
    let mut support = announcing(&["small"]);
    support.record_rejection(at(10), at(5), model("tiny"));

    announce(&mut support, 20, &["small", "tiny"]);

    assert!(support.accepts(at(20), model("tiny")));
}

/// Guards against a rejection that arrives after the announcement which it is older than.
#[test]
fn late_rejection_does_not_count_against_a_newer_announcement() {
    let mut support = announcing(&["small"]);
    announce(&mut support, 20, &["small", "tiny"]);

    support.record_rejection(at(25), at(15), model("tiny"));
    assert!(support.accepts(at(25), model("tiny")));

    support.record_rejection(at(30), at(21), model("tiny"));
    assert!(!support.accepts(at(30), model("tiny")));
}

/// Guards against callers who are told to return for a model that the endpoint does not announce.
#[test]
fn rejection_of_a_model_that_is_not_announced_names_no_time() {
    let mut support = announcing(&["small"]);

    support.record_rejection(at(10), at(5), model("tiny"));

    assert_eq!(support.rejection_left(at(11), model("tiny")), None);
}
