//! Load: an endpoint that rejects calls and asks for none for a while.

use std::time::Duration;

use chestnutloft_core::routing::EndpointRest;
use chestnutloft_core::time::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::ZERO + Duration::from_millis(millis)
}

#[test]
fn endpoint_rests_for_the_time_that_it_asked_for() {
    let mut rest = EndpointRest::default();

    rest.grant(at(100), Duration::from_millis(1_500));

    assert_eq!(rest.left(at(600)), Some(Duration::from_secs(1)));
    assert_eq!(rest.left(at(1_600)), None);
}

/// Guards against a rest that a later rejection with a shorter time ends early.
#[test]
fn shorter_rest_does_not_end_a_longer_one() {
    let mut rest = EndpointRest::default();

    rest.grant(at(0), Duration::from_secs(3));
    rest.grant(at(500), Duration::from_secs(1));

    assert_eq!(rest.left(at(2_000)), Some(Duration::from_secs(1)));
}

/// Guards against an endpoint that stays unused because of one absurd value.
#[test]
fn absurd_rest_is_capped() {
    let mut rest = EndpointRest::default();

    rest.grant(at(0), Duration::MAX);

    assert_eq!(rest.left(at(0)), Some(Duration::from_mins(5)));
}

#[test]
fn rest_of_no_time_changes_nothing() {
    let mut rest = EndpointRest::default();

    let is_new = rest.grant(at(0), Duration::ZERO);

    assert!(!is_new);
    assert_eq!(rest.left(at(0)), None);
}
