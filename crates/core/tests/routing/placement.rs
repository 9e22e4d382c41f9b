use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    EndpointCandidate, ModelLane, PlacementRequest, PlacementSettings, PrefillTimeEstimator,
    QueueDelayEstimator, QueueDelaySettings, QueueState, select_endpoint,
};
use chestnutloft_core::time::TimePoint;

fn candidate<'a>(id: &'a str, domain: &'a str) -> EndpointCandidate<'a> {
    EndpointCandidate {
        id,
        domain,
        load: 4.0,
        slots: 64.0,
        wait_ms: 0.0,
        slowdown: 1.0,
        is_recovering: false,
    }
}

fn request(prefix_key: Option<u64>) -> PlacementRequest<'static> {
    PlacementRequest {
        domain: "north",
        prefix_key,
        prefix_ms: 100.0,
        suffix_ms: 50.0,
        lane: ModelLane::Any,
    }
}

fn selected_id(request: &PlacementRequest<'_>, candidates: &[EndpointCandidate<'_>]) -> String {
    let selected =
        select_endpoint(&PlacementSettings::default(), request, candidates).expect("candidates");
    candidates[selected.index].id.to_owned()
}

#[test]
fn without_candidates_nothing_is_selected() {
    assert_eq!(
        select_endpoint(&PlacementSettings::default(), &request(None), &[]),
        None
    );
}

#[test]
fn the_own_failure_domain_is_preferred_if_delays_are_equal() {
    let candidates = [candidate("remote", "south"), candidate("local", "north")];

    assert_eq!(selected_id(&request(None), &candidates), "local");
}

#[test]
fn a_long_queueing_delay_outweighs_the_failure_domain() {
    let busy = EndpointCandidate {
        wait_ms: 400.0,
        ..candidate("local", "north")
    };

    assert_eq!(
        selected_id(&request(None), &[candidate("remote", "south"), busy]),
        "remote"
    );
}

#[test]
fn a_slow_endpoint_is_avoided() {
    let slow = EndpointCandidate {
        slowdown: 5.0,
        ..candidate("a", "north")
    };

    assert_eq!(
        selected_id(&request(None), &[slow, candidate("b", "north")]),
        "b"
    );
}

#[test]
fn calls_with_the_same_prefix_go_to_one_endpoint_until_it_is_busy() {
    let names = ["a", "b", "c", "d"];
    let candidates: Vec<_> = names.iter().map(|name| candidate(name, "north")).collect();
    let owner = selected_id(&request(Some(77)), &candidates);
    let mut busy = candidates.clone();
    for candidate in &mut busy {
        if candidate.id == owner {
            candidate.wait_ms = 600.0;
        }
    }

    assert_eq!(selected_id(&request(Some(77)), &candidates), owner);
    assert_ne!(selected_id(&request(Some(77)), &busy), owner);
}

#[test]
fn calls_from_all_failure_domains_go_to_the_same_owner_of_a_long_prefix() {
    let domains = ["north", "south", "west"];
    let names: Vec<String> = (0..12).map(|number| format!("w{number}")).collect();
    let spread = names.iter().zip(domains.iter().cycle());
    let candidates: Vec<_> = spread
        .map(|(name, domain)| candidate(name, domain))
        .collect();

    let owners: BTreeSet<String> = domains
        .iter()
        .map(|domain| {
            let request = PlacementRequest {
                domain,
                ..request(Some(77))
            };
            selected_id(&request, &candidates)
        })
        .collect();

    assert_eq!(owners.len(), 1, "{owners:?}");
}

#[test]
fn a_short_prefix_does_not_draw_a_call_into_another_failure_domain() {
    let names: Vec<String> = (0..12).map(|number| format!("w{number}")).collect();
    let spread = names.iter().zip(["north", "south"].iter().cycle());
    let candidates: Vec<_> = spread
        .map(|(name, domain)| candidate(name, domain))
        .collect();

    let is_local = |key: u64| {
        let request = PlacementRequest {
            prefix_ms: 5.0,
            ..request(Some(key))
        };
        let selected = select_endpoint(&PlacementSettings::default(), &request, &candidates);
        candidates[selected.expect("candidates").index].domain == "north"
    };

    assert!((0..50).all(is_local));
}

#[test]
fn removing_an_endpoint_moves_few_prefixes() {
    let names: Vec<String> = (0..8).map(|number| format!("w{number}")).collect();
    let all: Vec<_> = names.iter().map(|name| candidate(name, "north")).collect();
    let fewer = &all[..7];

    let moved = (0..400)
        .filter(|key| {
            selected_id(&request(Some(*key)), &all) != selected_id(&request(Some(*key)), fewer)
        })
        .count();

    assert!(moved < 100, "{moved} of 400");
}

#[test]
fn the_delay_grows_with_pending_work_and_decays_with_time() {
    let mut delays = QueueDelayEstimator::new(QueueDelaySettings::default());
    let id: Arc<str> = Arc::from("a");
    let now = TimePoint::from_millis(10_000);

    delays.add_pending(&id, 120.0);
    delays.add_pending(&id, 80.0);
    let pending = delays.wait_ms(now, &id);
    delays.remove_pending(&id, 120.0);
    delays.remove_pending(&id, 80.0);
    let idle = delays.wait_ms(now, &id);
    delays.record_delay(now, &id, 100.0, Duration::from_millis(1_100));
    let delayed = delays.wait_ms(now, &id);
    let later = delays.wait_ms(now + Duration::from_secs(3), &id);

    assert!((pending - 200.0).abs() < 1e-9, "{pending}");
    assert!(idle.abs() < 1e-9, "{idle}");
    assert!(delayed > 300.0, "{delayed}");
    assert!(later < delayed / 10.0, "{later}");
}

#[test]
fn the_prefill_estimate_excludes_queueing_delay() {
    let mut estimator = PrefillTimeEstimator::default();
    for step in 0..2_000_u64 {
        let wait = if step % 3 == 0 { 0 } else { 900 };
        let queue = if wait == 0 {
            QueueState::Idle
        } else {
            QueueState::Waiting
        };
        estimator.record(1, 3_600.0, Duration::from_millis(200 + wait), queue);
    }

    let estimate = estimator.prefill_ms(1, 3_600.0);
    assert!((180.0..230.0).contains(&estimate), "{estimate}");
}

fn pool(ids: &[String]) -> Vec<EndpointCandidate<'_>> {
    ids.iter().map(|id| candidate(id, "north")).collect()
}

fn lane(lane: ModelLane, ids: &[String], queue_delay_ms: f64) -> BTreeSet<String> {
    let choose = |key: u64| {
        let request = PlacementRequest {
            lane,
            ..request(Some(key))
        };
        let mut candidates = pool(ids);
        for candidate in &mut candidates {
            candidate.wait_ms = queue_delay_ms;
        }
        selected_id(&request, &candidates)
    };
    (0..400).map(choose).collect()
}

#[test]
fn small_and_large_models_use_disjoint_endpoints() {
    let ids: Vec<String> = (0..9).map(|number| format!("i-{number}")).collect();

    let small = lane(ModelLane::Small, &ids, 0.0);
    let large = lane(ModelLane::Large, &ids, 0.0);

    assert_eq!(small.len(), 2);
    assert_eq!(large.len(), 7);
    assert!(small.is_disjoint(&large));
}

#[test]
fn a_call_leaves_its_lane_if_the_queueing_delay_there_is_long() {
    let ids: Vec<String> = (0..9).map(|number| format!("i-{number}")).collect();
    let small = lane(ModelLane::Small, &ids, 0.0);
    let mut candidates = pool(&ids);
    for candidate in &mut candidates {
        candidate.wait_ms = if small.contains(candidate.id) {
            900.0
        } else {
            0.0
        };
    }
    let request = PlacementRequest {
        lane: ModelLane::Small,
        ..request(None)
    };

    assert!(!small.contains(&selected_id(&request, &candidates)));
}

#[test]
fn with_two_endpoints_there_are_no_lanes() {
    let ids: Vec<String> = (0..2).map(|number| format!("i-{number}")).collect();

    assert_eq!(lane(ModelLane::Large, &ids, 0.0).len(), 2);
}
