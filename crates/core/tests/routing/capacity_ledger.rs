//! Calls and tokens that endpoints hold, over all entries.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::admission::ClassReserve;
use chestnutloft_core::routing::{
    CapacityClaim, CapacityLedger, EndpointCapacity, LoadAggregator, LoadSummary, UsageSum,
};
use chestnutloft_core::time::TimePoint;

const ENDPOINT: u32 = 7;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn claim(tokens: f64) -> CapacityClaim {
    CapacityClaim {
        is_large: false,
        tokens,
    }
}

fn exchange(
    aggregator: &mut LoadAggregator,
    now: TimePoint,
    name: &str,
    ledger: &mut CapacityLedger,
) {
    let report = LoadSummary {
        usage: ledger.report(),
        ..LoadSummary::default()
    };
    let reply = aggregator.exchange(now, &Arc::from(name), report);
    ledger.set_peers(now, &reply.usage);
}

/// Places of an endpoint with 12 slots.
fn places() -> f64 {
    ClassReserve::default().places(12.0)
}

/// Guards against entries that each fill an endpoint, since they see their own calls only.
#[test]
fn entries_decide_by_the_calls_of_all() {
    let mut aggregator = LoadAggregator::default();
    let mut ledgers = vec![CapacityLedger::default(); 72];
    let capacity = EndpointCapacity {
        places: places(),
        large_places: f64::INFINITY,
        tokens: 400_000.0,
    };
    let mut sent = 0;

    for (index, ledger) in ledgers.iter_mut().enumerate() {
        let name = format!("entry-{index}");
        exchange(&mut aggregator, at(0), &name, ledger);
        if capacity.has_room(ledger.usage(at(0), ENDPOINT), claim(2_000.0)) {
            ledger.claim(ENDPOINT, claim(2_000.0));
            sent += 1;
        }
        exchange(&mut aggregator, at(0), &name, ledger);
    }

    // 12 run, and an eighth of the slots waits.
    assert_eq!(sent, 14);
}

/// Guards against an endpoint that ends because its calls exceed its memory: 12 running and 2
/// waiting calls of 60,000 tokens are twice as much as it has.
#[test]
fn calls_never_exceed_the_memory_of_an_endpoint() {
    let capacity = EndpointCapacity {
        places: places(),
        large_places: f64::INFINITY,
        tokens: 400_567.0,
    };
    let mut ledger = CapacityLedger::default();
    let large = claim(60_000.0);

    while capacity.has_room(ledger.usage(at(0), ENDPOINT), large) {
        ledger.claim(ENDPOINT, large);
    }

    let usage = ledger.usage(at(0), ENDPOINT);
    assert!(usage.tokens <= capacity.tokens, "{usage:?}");
    assert!(usage.calls >= 6.0, "{usage:?}");
}

/// Guards against the starvation of the largest calls: one that takes more than the usual share of
/// the memory runs alone, and one that can never fit is not sent.
#[test]
fn the_largest_call_runs_alone() {
    let capacity = EndpointCapacity {
        places: places(),
        large_places: f64::INFINITY,
        tokens: 100_000.0,
    };
    let idle = UsageSum::default();

    assert!(capacity.has_room(idle, claim(99_000.0)));
    assert!(!capacity.has_room(idle, claim(101_000.0)));
}

/// Guards against room that stays taken after an entry was killed with calls in flight.
#[test]
fn claims_of_an_entry_that_ended_expire() {
    let mut aggregator = LoadAggregator::default();
    let mut killed = CapacityLedger::default();
    let mut other = CapacityLedger::default();
    for _ in 0..12 {
        killed.claim(ENDPOINT, claim(1_000.0));
    }

    exchange(&mut aggregator, at(0), "killed", &mut killed);
    exchange(&mut aggregator, at(100), "other", &mut other);
    let before = other.usage(at(100), ENDPOINT);
    exchange(&mut aggregator, at(2_100), "other", &mut other);
    let after = other.usage(at(2_100), ENDPOINT);

    assert!((before.calls - 12.0).abs() < 0.1, "{before:?}");
    assert!(after.calls < 0.1, "{after:?}");
}

/// Guards against an entry that stops sending, or counts old calls for ever, while no keeper leads.
#[test]
fn usage_of_the_others_loses_weight_without_an_aggregator() {
    let mut aggregator = LoadAggregator::default();
    let mut busy = CapacityLedger::default();
    let mut cut_off = CapacityLedger::default();
    for _ in 0..12 {
        busy.claim(ENDPOINT, claim(1_000.0));
    }
    exchange(&mut aggregator, at(0), "busy", &mut busy);
    exchange(&mut aggregator, at(0), "cut-off", &mut cut_off);

    let calls = |millis| {
        let now = at(0) + Duration::from_millis(millis);
        cut_off.usage(now, ENDPOINT).calls
    };

    assert!((calls(400) - 12.0).abs() < 0.1);
    assert!(calls(2_000) < 9.0 && calls(2_000) > 3.0);
    assert!(calls(4_000) < 0.1);
}

/// Guards against room that leaks when calls end.
#[test]
fn calls_that_ended_leave_nothing_behind() {
    let mut ledger = CapacityLedger::default();
    let claims = [claim(10.0), claim(70_000.0)];

    for claim in claims {
        ledger.claim(ENDPOINT, claim);
    }
    for claim in claims {
        ledger.release(ENDPOINT, claim);
    }
    ledger.release(ENDPOINT, claims[0]);

    assert_eq!(ledger.report(), vec![]);
    assert_eq!(ledger.usage(at(0), ENDPOINT), UsageSum::default());
}

/// An endpoint with a memory of `tokens`, and calls there that take 40,000 tokens each.
fn endpoint(tokens: f64, calls: f64) -> (EndpointCapacity, UsageSum) {
    let places = places();
    let mut usage = UsageSum::default();
    (usage.calls, usage.tokens) = (calls, calls * 40_000.0);
    (
        EndpointCapacity {
            places,
            large_places: f64::INFINITY,
            tokens,
        },
        usage,
    )
}

/// Guards against a share that is taken of free places where the memory is exceeded first, or of free
/// memory where no place is left.
#[test]
fn room_is_limited_by_places_and_by_memory() {
    let room = |memory, calls, tokens| {
        let (capacity, usage) = endpoint(memory, calls);
        capacity.room_for(usage, claim(tokens)) as u32
    };

    assert_eq!(room(0.0, 4.0, 50_000.0), 10, "the memory is unknown");
    assert_eq!(room(400_000.0, 4.0, 1_000.0), 10);
    assert_eq!(room(400_000.0, 4.0, 90_000.0), 2);
    assert_eq!(room(400_000.0, 9.0, 1_000.0), 0);
    assert_eq!(room(4_000_000.0, 15.0, 1_000.0), 0);
    assert_eq!(room(400_000.0, 0.0, 380_000.0), 1, "it runs alone");
}

/// Guards against an endpoint that ends because two entries send a long prompt there by the same
/// sums, and against a margin that keeps short calls from endpoints with room.
#[test]
fn two_entries_that_send_a_large_call_at_once_stay_within_the_memory() {
    for calls in 1..10 {
        let (capacity, usage) = endpoint(400_000.0, f64::from(calls));
        let room = |tokens| capacity.room_among_entries(usage, claim(tokens)) as u32;
        for tokens in [30_000.0, 60_000.0, 150_000.0] {
            let sent = if room(tokens) >= 1 { 2.0 } else { 0.0 };
            assert!(
                usage.tokens + sent * tokens <= capacity.tokens,
                "{usage:?}, {tokens}"
            );
        }
        assert_eq!(
            room(15_000.0),
            capacity.room_for(usage, claim(15_000.0)) as u32
        );
    }
}
