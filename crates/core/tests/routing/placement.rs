use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    EndpointSeat, ModelLane, PlacementSettings, PlacementWish, PressureBook, PressureSettings,
    QueueState, WorkEstimate, choose_seat,
};
use chestnutloft_core::time::TimePoint;

fn seat<'a>(id: &'a str, domain: &'a str) -> EndpointSeat<'a> {
    EndpointSeat {
        id,
        domain,
        load: 4.0,
        slots: 64.0,
        wait_ms: 0.0,
        pace: 1.0,
        is_on_trial: false,
    }
}

fn wish(prefix: Option<u64>) -> PlacementWish<'static> {
    PlacementWish {
        domain: "north",
        prefix,
        prefix_ms: 100.0,
        own_ms: 50.0,
        lane: ModelLane::Any,
    }
}

fn chosen(wish: &PlacementWish<'_>, seats: &[EndpointSeat<'_>]) -> String {
    let place = choose_seat(&PlacementSettings::default(), wish, seats).expect("seats");
    seats[place.index].id.to_owned()
}

#[test]
fn without_seats_nothing_is_chosen() {
    assert_eq!(
        choose_seat(&PlacementSettings::default(), &wish(None), &[]),
        None
    );
}

#[test]
fn the_own_failure_domain_is_preferred_where_waits_are_equal() {
    let seats = [seat("far", "south"), seat("near", "north")];

    assert_eq!(chosen(&wish(None), &seats), "near");
}

#[test]
fn a_long_wait_outweighs_the_failure_domain() {
    let busy = EndpointSeat {
        wait_ms: 400.0,
        ..seat("near", "north")
    };

    assert_eq!(chosen(&wish(None), &[seat("far", "south"), busy]), "far");
}

#[test]
fn a_slow_endpoint_gets_less() {
    let slow = EndpointSeat {
        pace: 5.0,
        ..seat("a", "north")
    };

    assert_eq!(chosen(&wish(None), &[slow, seat("b", "north")]), "b");
}

#[test]
fn calls_with_one_prefix_go_to_one_endpoint_until_it_is_busy() {
    let names = ["a", "b", "c", "d"];
    let seats: Vec<_> = names.iter().map(|name| seat(name, "north")).collect();
    let owner = chosen(&wish(Some(77)), &seats);
    let mut busy = seats.clone();
    for seat in &mut busy {
        if seat.id == owner {
            seat.wait_ms = 600.0;
        }
    }

    assert_eq!(chosen(&wish(Some(77)), &seats), owner);
    assert_ne!(chosen(&wish(Some(77)), &busy), owner);
}

#[test]
fn an_endpoint_that_left_moves_few_prefixes() {
    let names: Vec<String> = (0..8).map(|number| format!("w{number}")).collect();
    let all: Vec<_> = names.iter().map(|name| seat(name, "north")).collect();
    let fewer = &all[..7];

    let moved = (0..400)
        .filter(|key| chosen(&wish(Some(*key)), &all) != chosen(&wish(Some(*key)), fewer))
        .count();

    assert!(moved < 100, "{moved} of 400");
}

#[test]
fn waits_grow_with_what_was_sent_and_fade_with_time() {
    let mut pressure = PressureBook::new(PressureSettings::default());
    let id: Arc<str> = Arc::from("a");
    let now = TimePoint::from_millis(10_000);

    pressure.begin(&id, 120.0);
    pressure.begin(&id, 80.0);
    let pending = pressure.wait_ms(now, &id);
    pressure.end(&id, 120.0);
    pressure.end(&id, 80.0);
    let idle = pressure.wait_ms(now, &id);
    pressure.note_delay(now, &id, 100.0, Duration::from_millis(1_100));
    let delayed = pressure.wait_ms(now, &id);
    let later = pressure.wait_ms(now + Duration::from_secs(3), &id);

    assert!((pending - 200.0).abs() < 1e-9, "{pending}");
    assert!(idle.abs() < 1e-9, "{idle}");
    assert!(delayed > 300.0, "{delayed}");
    assert!(later < delayed / 10.0, "{later}");
}

#[test]
fn work_is_learnt_without_the_waits_before_it() {
    let mut work = WorkEstimate::default();
    for step in 0..2_000_u64 {
        let wait = if step % 3 == 0 { 0 } else { 900 };
        let queue = if wait == 0 {
            QueueState::Idle
        } else {
            QueueState::Waiting
        };
        work.note(1, 3_600.0, Duration::from_millis(200 + wait), queue);
    }

    let learnt = work.work_ms(1, 3_600.0);
    assert!((180.0..230.0).contains(&learnt), "{learnt}");
}

fn pool(ids: &[String]) -> Vec<EndpointSeat<'_>> {
    ids.iter().map(|id| seat(id, "north")).collect()
}

fn lane(lane: ModelLane, ids: &[String], waits_ms: f64) -> BTreeSet<String> {
    let choose = |key: u64| {
        let wish = PlacementWish {
            lane,
            ..wish(Some(key))
        };
        let mut seats = pool(ids);
        for seat in &mut seats {
            seat.wait_ms = waits_ms;
        }
        chosen(&wish, &seats)
    };
    (0..400).map(choose).collect()
}

#[test]
fn small_and_large_models_run_at_endpoints_of_their_own() {
    let ids: Vec<String> = (0..9).map(|number| format!("i-{number}")).collect();

    let small = lane(ModelLane::Small, &ids, 0.0);
    let large = lane(ModelLane::Large, &ids, 0.0);

    assert_eq!(small.len(), 2);
    assert_eq!(large.len(), 7);
    assert!(small.is_disjoint(&large));
}

#[test]
fn a_call_leaves_its_lane_where_that_has_a_long_wait() {
    let ids: Vec<String> = (0..9).map(|number| format!("i-{number}")).collect();
    let small = lane(ModelLane::Small, &ids, 0.0);
    let mut seats = pool(&ids);
    for seat in &mut seats {
        seat.wait_ms = if small.contains(seat.id) { 900.0 } else { 0.0 };
    }
    let wish = PlacementWish {
        lane: ModelLane::Small,
        ..wish(None)
    };

    assert!(!small.contains(&chosen(&wish, &seats)));
}

#[test]
fn two_endpoints_serve_all_models() {
    let ids: Vec<String> = (0..2).map(|number| format!("i-{number}")).collect();

    assert_eq!(lane(ModelLane::Large, &ids, 0.0).len(), 2);
}
