//! Interval of the load exchange.

use std::time::Duration;

use chestnutloft_core::routing::{
    ExchangeInterval, ExchangeIntervalSettings, ManagedLoad, exchange_interval,
};

fn interval(load: Option<ManagedLoad>) -> ExchangeInterval {
    exchange_interval(&ExchangeIntervalSettings::default(), load)
}

fn millis(max_age: u64, batch_window: u64) -> ExchangeInterval {
    ExchangeInterval {
        max_age: Duration::from_millis(max_age),
        batch_window: Duration::from_millis(batch_window),
    }
}

fn load(slot_share: f64) -> ManagedLoad {
    ManagedLoad {
        slot_share,
        has_waiting: false,
    }
}

/// Guards against a changed exchange in deployments without managed capacity.
#[test]
fn the_interval_is_the_shortest_without_managed_capacity() {
    assert_eq!(interval(None), millis(15, 8));
}

/// Guards against overfilled endpoints: by old data, several entries take the same last places.
#[test]
fn the_interval_is_the_shortest_where_the_fullest_service_is_nearly_full() {
    for share in [0.7, 0.9, 1.0, 1.5] {
        assert_eq!(interval(Some(load(share))), millis(15, 8), "{share}");
    }
}

/// Guards against calls that wait for places which another entry has released up to 30 ms ago.
#[test]
fn the_interval_is_the_shortest_where_calls_wait() {
    let load = ManagedLoad {
        slot_share: 0.1,
        has_waiting: true,
    };

    assert_eq!(interval(Some(load)), millis(15, 8));
}

/// Guards against the cost of exchanges that decide nothing.
#[test]
fn the_interval_is_the_longest_far_from_full() {
    for share in [0.0, 0.2, 0.35] {
        assert_eq!(interval(Some(load(share))), millis(50, 30), "{share}");
    }
}

/// Guards against a jump of the interval by which entries switch back and forth.
#[test]
fn the_interval_falls_steadily_with_the_load() {
    let shares = (0..=100).map(|percent| f64::from(percent) / 100.0);
    let intervals: Vec<ExchangeInterval> =
        shares.map(|share| interval(Some(load(share)))).collect();

    for pair in intervals.windows(2) {
        let step = pair[0].max_age.checked_sub(pair[1].max_age);
        assert!(step.is_some_and(|step| step <= Duration::from_millis(2)));
        assert!(pair[0].batch_window >= pair[1].batch_window);
    }
}
