//! How long work takes at an endpoint at this moment.

use std::sync::Arc;

use chestnutloft_core::routing::{
    LoadAggregator, LoadSummary, PaceReading, PaceReadings, SpeedMeans, speed_sample,
};
use chestnutloft_core::time::TimePoint;

const ENDPOINT: u32 = 7;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

/// Guards against a choice by readings that mean nothing: an endpoint that says 0 would get all
/// calls, one that says 4,000,000,000 none for ever.
#[test]
fn implausible_readings_are_ignored() {
    let mut readings = PaceReadings::default();

    for percent in [0, 10_001, u32::MAX] {
        assert!(!readings.record(at(0), ENDPOINT, percent));
    }

    assert!((readings.factor(at(0), ENDPOINT) - 1.0).abs() < f64::EPSILON);
}

/// Guards against trust in old readings: the load of a shared machine changes about twice a second.
#[test]
fn reading_returns_to_the_mean_as_it_ages() {
    let mut readings = PaceReadings::default();
    for index in 0..100 {
        readings.record(at(index * 10), ENDPOINT, 100);
    }
    readings.record(at(1_000), ENDPOINT, 250);

    let factor = |millis| readings.factor(at(millis), ENDPOINT);

    assert!((factor(1_000) - 2.5).abs() < 0.01);
    assert!((1.7..1.9).contains(&factor(1_300)));
    assert!((1.1..1.3).contains(&factor(3_000)));
}

/// Guards against an older reading that arrives late and replaces a newer one.
#[test]
fn late_reading_does_not_replace_a_newer_one() {
    let mut readings = PaceReadings::default();
    readings.record(at(500), ENDPOINT, 300);
    let late = PaceReading {
        endpoint: ENDPOINT,
        percent: 100,
        age_ms: 400,
    };

    readings.merge(at(600), &[late]);

    assert!(readings.factor(at(600), ENDPOINT) > 2.0);
}

/// Guards against entries that each find out alone: an entry sees a given endpoint every few
/// seconds, its readings change within one.
#[test]
fn entries_learn_of_each_others_readings_and_speeds() {
    let mut aggregator = LoadAggregator::default();
    let report = LoadSummary {
        paces: vec![PaceReading {
            endpoint: ENDPOINT,
            percent: 250,
            age_ms: 3,
        }],
        speeds: vec![speed_sample(ENDPOINT, 170.0, 100.0); 40],
        ..LoadSummary::default()
    };

    aggregator.exchange(at(0), &Arc::from("one"), report);
    let reply = aggregator.exchange(at(20), &Arc::from("other"), LoadSummary::default());
    let mut readings = PaceReadings::default();
    readings.merge(at(20), &reply.paces);
    let mut speeds = SpeedMeans::default();
    speeds.set(&reply.speeds);

    assert!(readings.factor(at(20), ENDPOINT) > 2.3);
    assert!((1.5..1.75).contains(&speeds.factor(ENDPOINT)));
}

/// Guards against replies that repeat what an entry knows: links between failure domains cost.
#[test]
fn readings_are_sent_to_each_entry_once() {
    let mut aggregator = LoadAggregator::default();
    let reading = PaceReading {
        endpoint: ENDPOINT,
        percent: 250,
        age_ms: 0,
    };
    let report = LoadSummary {
        paces: vec![reading],
        speeds: vec![speed_sample(ENDPOINT, 170.0, 100.0)],
        ..LoadSummary::default()
    };
    aggregator.exchange(at(0), &Arc::from("one"), report);

    let first = aggregator.exchange(at(100), &Arc::from("other"), LoadSummary::default());
    let second = aggregator.exchange(at(400), &Arc::from("other"), LoadSummary::default());

    assert_eq!((first.paces.len(), first.speeds.len()), (1, 1));
    assert_eq!((second.paces.len(), second.speeds.len()), (0, 0));
}

/// Guards against an endpoint that is judged by one large prompt.
#[test]
fn few_answers_count_as_usual() {
    let mut speeds = SpeedMeans::default();

    speeds.add(&[speed_sample(ENDPOINT, 5_000.0, 100.0)]);

    assert!(speeds.factor(ENDPOINT) < 1.3);
}
