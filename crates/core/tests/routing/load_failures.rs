//! Loads on the capacity of endpoints while entries or the aggregator fail, and what callers receive.

use chestnutloft_core::routing::LoadAggregator;
use rand::Rng;

use super::load_fixture::{Call, Endpoint, LoadPlay, PoolSettings, arrivals, call, no_arrivals};

/// Time after which an entry's report expires, in milliseconds.
const REPORT_LIFETIME_MS: u64 = 2_000;

/// Load: 72 entries with prompts of which two fifths take a seventh of an endpoint's memory, for more
/// calls than the endpoints hold. Guards against endpoints that end because entries sent them more
/// tokens than fit, and against the largest prompts never finding room beside smaller ones.
#[test]
fn long_prompts_do_not_overfill_endpoints_and_are_served() {
    const LARGE_TOKENS: f64 = 60_000.0;
    let mut play = LoadPlay::new(PoolSettings::default(), 10, 72);
    let prompt = |rng: &mut rand_pcg::Pcg64| Call {
        tokens: if rng.random_bool(0.4) {
            LARGE_TOKENS
        } else {
            rng.random_range(6_000.0..30_000.0)
        },
        ..call(60.0, 2_500.0)
    };

    play.run(6_000, arrivals(1, 72, |_| 60.0, prompt));
    play.run(14_000, no_arrivals);

    let large = play.answers.iter();
    let large = large.filter(|answer| answer.tokens >= LARGE_TOKENS);
    let longest_ms = large.map(|answer| answer.delay_ms).fold(0.0, f64::max);
    assert!(longest_ms < 9_000.0, "{longest_ms:.0} ms");
    assert_eq!(play.waiting_calls(), 0);
    let peaks = play.endpoints.iter().map(|endpoint| endpoint.peak_tokens);
    let peak_tokens = peaks.fold(0.0, f64::max);
    assert_eq!(play.lost_calls, 0, "an endpoint held {peak_tokens} tokens");
}

/// Load: 12 entries fill most places while no keeper leads for 3 s, then a new one begins without
/// reports. Guards against callers that wait or endpoints that overflow meanwhile, and against sums
/// that stay wrong afterwards.
#[test]
fn callers_are_served_without_an_aggregator_and_sums_are_exact_after_its_return() {
    const ENTRIES: usize = 12;
    let mut play = LoadPlay::new(PoolSettings::default(), 10, ENTRIES);
    let mut load = arrivals(2, ENTRIES, |_| 80.0, |_| call(60.0, 900.0));
    play.run(2_000, &mut load);

    play.aggregator = None;
    play.run(5_000, &mut load);
    play.aggregator = Some(LoadAggregator::default());
    play.run(6_000, &mut load);
    // First each entry reports its calls, then it gets the sums with all reports.
    play.exchange_all();
    play.exchange_all();
    let largest_error = largest_error(&play);
    play.run(8_000, no_arrivals);

    let (peak_calls, places) = (play.peak_calls(), play.settings.places());
    // The others' calls lose weight meanwhile, so the places are no strict bound.
    assert!(
        peak_calls <= places + 2,
        "{peak_calls} calls, {places} places"
    );
    assert_eq!(play.waiting_calls(), 0);
    let longest_ms = play.delay_ms(1.0);
    assert!(longest_ms < 1_000.0, "a caller waited {longest_ms:.0} ms");
    assert!(largest_error < 1.0, "a sum is wrong by {largest_error}");
}

/// Load: an entry holds half of all places, no keeper leads, and another entry has more calls than
/// the rest can hold. Guards against an entry that forgets the calls of others with the leader.
#[test]
fn calls_of_others_count_while_no_aggregator_answers() {
    const HELD: usize = 70;
    const LOST_MS: u64 = 1_000;
    let mut play = LoadPlay::new(PoolSettings::default(), 10, 2);
    let mut held = vec![(0, call(5.0, 60_000.0)); HELD];
    play.run(LOST_MS, |_| std::mem::take(&mut held));
    play.exchange_all();
    let mut load = arrivals(6, 1, |_| 300.0, |_| call(5.0, 1_000.0));
    let load = |now_ms| -> Vec<(usize, Call)> {
        let calls = load(now_ms).into_iter();
        calls.map(|(_, call)| (1, call)).collect()
    };

    play.aggregator = None;
    play.run(LOST_MS + 400, load);
    let waiting = play.waiting_calls();
    play.aggregator = Some(LoadAggregator::default());
    play.exchange_all();
    play.exchange_all();
    play.run(6_000, no_arrivals);

    let (peak_calls, places) = (play.peak_calls(), play.settings.places());
    assert!(waiting > 0, "the load should exceed the places left");
    assert!(peak_calls <= places, "{peak_calls} calls, {places} places");
    assert_eq!(play.waiting_calls(), 0);
}

/// Load: an entry that holds half of all places is killed, and two others have more calls than the
/// rest can hold. Guards against places that stay lost after the report has expired, and against
/// claims that end before it: the entry may only be cut off, and its calls still run.
#[test]
fn places_of_a_killed_entry_are_used_again_when_its_report_expires() {
    const KILLED_MS: u64 = 1_500;
    const HELD: usize = 70;
    let mut play = LoadPlay::new(PoolSettings::default(), 10, 3);
    let mut held = vec![(0, call(5.0, 60_000.0)); HELD];
    let mut load = arrivals(3, 3, |_| 150.0, |_| call(20.0, 1_000.0));
    play.run(KILLED_MS, |now_ms| {
        let mut calls = std::mem::take(&mut held);
        calls.extend(load(now_ms));
        calls
    });

    play.kill(0);
    let mut load = arrivals(4, 2, |_| 150.0, |_| call(20.0, 1_000.0));
    let mut load = |now_ms| -> Vec<(usize, Call)> {
        let calls = load(now_ms).into_iter();
        calls.map(|(entry, call)| (entry + 1, call)).collect()
    };
    let mut most_before = 0;
    while play.now_ms < KILLED_MS + REPORT_LIFETIME_MS - 100 {
        play.run(play.now_ms + 5, &mut load);
        most_before = most_before.max(calls_at_endpoints(&play));
    }
    let waiting_before = play.waiting_calls();
    play.run(KILLED_MS + REPORT_LIFETIME_MS + 100, &mut load);
    let calls_after = calls_at_endpoints(&play);
    play.run(8_000, no_arrivals);

    let all_places = 10 * play.settings.places();
    assert!(waiting_before > 0, "the load should exceed the places left");
    assert!(most_before <= all_places - HELD, "{most_before} calls");
    assert!(calls_after > all_places - HELD / 2, "{calls_after} calls");
    let left: usize = play.entries[1..]
        .iter()
        .map(|entry| entry.waiting.len())
        .sum();
    assert_eq!(left, 0);
}

/// Load: 12 entries have waiting calls when the calls at half of the places end at once. Guards
/// against entries that each take all of the free places before they hear of each other.
#[test]
fn entries_share_places_that_become_free_at_once() {
    const ENTRIES: usize = 12;
    let mut play = LoadPlay::new(PoolSettings::default(), 10, ENTRIES);
    let mut first: Vec<_> = (0..140)
        .map(|number| {
            let decode_ms = if number % 2 == 0 { 1_500.0 } else { 4_000.0 };
            (0, call(5.0, decode_ms))
        })
        .collect();
    play.run(1_000, |_| std::mem::take(&mut first));

    play.run(
        3_000,
        arrivals(5, ENTRIES, |_| 100.0, |_| call(20.0, 1_000.0)),
    );
    play.run(8_000, no_arrivals);

    let (peak_calls, places) = (play.peak_calls(), play.settings.places());
    assert_eq!(play.waiting_calls(), 0);
    assert!(
        peak_calls <= places + 1,
        "{peak_calls} calls, {places} places"
    );
}

fn calls_at_endpoints(play: &LoadPlay) -> usize {
    play.endpoints.iter().map(Endpoint::calls).sum()
}

/// Largest difference between the calls at an endpoint and what an entry knows of them.
fn largest_error(play: &LoadPlay) -> f64 {
    let errors = play.entries.iter().flat_map(|entry| {
        let endpoints = play.endpoints.iter();
        endpoints.map(|endpoint| {
            let known = entry.known_calls(play.now_ms, endpoint);
            (known - endpoint.calls() as f64).abs()
        })
    });
    errors.fold(0.0, f64::max)
}
