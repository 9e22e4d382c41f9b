//! Loads at which demand exceeds capacity.

use crate::pool::{Outcome, arrivals, on_time_share, serve};

/// Failure: a workspace at nine times its usual load takes the places of the others.
#[test]
fn workspace_at_nine_times_its_load_harms_no_other() {
    let mut calls = arrivals((0, 10_000), 11, "surging", 0, 100);
    for index in 0..8 {
        calls.extend(arrivals(
            (index * 7, 10_000),
            100,
            &format!("usual-{index}"),
            0,
            100,
        ));
    }

    let served = serve(calls, |_| 10);

    assert!(on_time_share(&served, |call| call.workspace != "surging") > 0.99);
    let surging = on_time_share(&served, |call| call.workspace == "surging");
    assert!(
        surging > 0.15,
        "the surging workspace keeps its share: {surging}"
    );
}

/// Failure: a burst of the least urgent kind delays urgent calls, or gets nothing at all, or waits
/// for a refusal.
#[test]
fn burst_of_least_urgent_kind_delays_no_urgent_call() {
    let mut calls = arrivals((0, 8_000), 20, "one", 0, 100);
    calls.extend(arrivals((0, 8_000), 50, "two", 1, 100));
    calls.extend(arrivals((2_000, 6_000), 5, "three", 2, 100));

    let served = serve(calls, |_| 10);

    assert!(on_time_share(&served, |call| call.route == 0) > 0.99);
    assert!(on_time_share(&served, |call| call.route == 1) > 0.99);
    let burst: Vec<_> = served.iter().filter(|(call, _)| call.route == 2).collect();
    let is_started = |outcome: &Outcome| matches!(outcome, Outcome::Started { .. });
    let started = burst
        .iter()
        .filter(|(_, outcome)| is_started(outcome))
        .count();
    assert!(
        started * 7 > burst.len(),
        "{started} of {} started",
        burst.len()
    );
    for (call, outcome) in &burst {
        if let Outcome::Refused { at_ms, .. } = outcome {
            assert_eq!(*at_ms, call.at_ms, "a refusal comes at once");
        }
    }
}

/// Failure: with a fifth of the places gone, a kind whose demand doubles pushes out more urgent ones,
/// or ends the less urgent ones completely.
#[test]
fn loss_of_a_fifth_with_doubled_demand_serves_the_urgent_first() {
    let mut calls = arrivals((0, 8_000), 40, "one", 0, 100);
    calls.extend(arrivals((0, 2_000), 40, "two", 1, 100));
    calls.extend(arrivals((2_000, 8_000), 20, "two", 1, 100));
    calls.extend(arrivals((0, 8_000), 40, "three", 2, 100));

    let served = serve(calls, |ms| if ms < 2_000 { 10 } else { 8 });

    let shares = [0, 1, 2].map(|route| on_time_share(&served, |call| call.route == route));
    assert!(shares[0] > 0.98 && shares[1] > 0.9, "{shares:?}");
    assert!(
        shares[0] >= shares[1] - 0.02 && shares[1] >= shares[2] - 0.02,
        "{shares:?}"
    );
    assert!(shares[2] > 0.25, "{shares:?}");
}

/// Failure: calls wait or are refused although there is room for all.
#[test]
fn nobody_waits_with_room_for_all() {
    let mut calls = arrivals((0, 3_000), 20, "one", 0, 90);
    calls.extend(arrivals((0, 3_000), 20, "two", 2, 90));

    let served = serve(calls, |_| 10);

    let is_immediate = |outcome: &Outcome| *outcome == Outcome::Started { wait_ms: 0 };
    assert!(served.iter().all(|(_, outcome)| is_immediate(outcome)));
}
