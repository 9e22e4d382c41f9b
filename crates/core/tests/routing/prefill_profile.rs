//! Times to process prompts, for prompts of very unlike length that each entry sees rarely.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{LoadAggregator, LoadSummary, PrefillProfile, SpeedSample};
use chestnutloft_core::time::TimePoint;

const MODEL: u64 = 11;

/// Sends the samples of an entry, and returns the means that it gets back.
fn exchange(
    aggregator: &mut LoadAggregator,
    entry: &str,
    prefills: Vec<SpeedSample>,
) -> PrefillProfile {
    let load = LoadSummary {
        prefills,
        ..LoadSummary::default()
    };
    let reply = aggregator.exchange(TimePoint::from_millis(10_000), &Arc::from(entry), load);
    let mut profile = PrefillProfile::default();
    profile.set(&reply.prefills);
    profile
}

/// `count` measurements of prompts with `tokens` tokens.
fn samples(profile: &PrefillProfile, tokens: f64, took_ms: f64, count: usize) -> Vec<SpeedSample> {
    vec![profile.sample(MODEL, tokens, Duration::from_secs_f64(took_ms / 1_000.0)); count]
}

/// Profile of an entry that has just started, after others measured these lengths and times.
fn profile_after(measured: &[(f64, f64)], count: usize) -> PrefillProfile {
    let mut aggregator = LoadAggregator::default();
    for (tokens, took_ms) in measured {
        let samples = samples(&PrefillProfile::default(), *tokens, *took_ms, count);
        exchange(&mut aggregator, "other", samples);
    }
    exchange(&mut aggregator, "started", Vec::new())
}

/// Guards against an entry that has just started and places long prompts by the time per token of
/// short ones: it takes them for several times shorter than they are.
#[test]
fn started_entry_knows_that_long_prompts_take_more_per_token() {
    let measured = [(1_500.0, 45.0), (7_000.0, 280.0), (30_000.0, 2_100.0)];

    let profile = profile_after(&measured, 5);

    for (tokens, took_ms) in measured {
        let ms = profile.prefill_ms(MODEL, tokens).unwrap_or_default();
        assert!((ms / took_ms - 1.0).abs() < 0.03, "{ms}, {took_ms}");
    }
}

/// Guards against one call that waited unseen at an endpoint and makes prompts of its length look
/// dear at all entries.
#[test]
fn one_measurement_with_hidden_waiting_does_not_raise_the_mean() {
    let rise = |count| {
        let mut aggregator = LoadAggregator::default();
        let usual = samples(&PrefillProfile::default(), 7_000.0, 280.0, count);
        let before = exchange(&mut aggregator, "one", usual);
        exchange(
            &mut aggregator,
            "one",
            samples(&before, 7_000.0, 5_600.0, 1),
        );
        let after = exchange(&mut aggregator, "two", Vec::new());
        let ms = |profile: PrefillProfile| profile.prefill_ms(MODEL, 7_000.0).unwrap_or(0.0);
        ms(after) / ms(before)
    };

    assert!(rise(40) < 1.025, "{}", rise(40));
    assert!(rise(3) < 1.125, "{}", rise(3));
}

/// Guards against guesses for models and lengths that nobody measured, or only once or twice.
#[test]
fn nothing_is_known_before_the_first_measurements() {
    let few = profile_after(&[(7_000.0, 280.0)], 2);
    let enough = profile_after(&[(7_000.0, 280.0)], 3);

    assert_eq!(PrefillProfile::default().prefill_ms(MODEL, 7_000.0), None);
    assert_eq!(few.prefill_ms(MODEL, 7_000.0), None);
    assert!(enough.prefill_ms(MODEL, 7_000.0).is_some());
    assert_eq!(enough.prefill_ms(MODEL + 1, 7_000.0), None);
}

/// Guards against a long prompt of a length not measured yet that counts as a short one, and against
/// lengths that take the mean of a far shorter one although a nearer one was measured.
#[test]
fn length_without_measurements_takes_the_mean_of_the_next_shorter_one() {
    let profile = profile_after(&[(1_500.0, 45.0), (7_000.0, 280.0), (60_000.0, 6_600.0)], 5);
    let only_long = profile_after(&[(60_000.0, 6_600.0)], 5);
    let per_token = |profile: &PrefillProfile, tokens| {
        let ms = profile.prefill_ms(MODEL, tokens).unwrap_or_default();
        (ms / (tokens + 400.0) * 1e6).round() as u32
    };

    for (tokens, measured) in [(25_000.0, 7_000.0), (3_000.0, 1_500.0), (2e5, 6e4)] {
        assert_eq!(per_token(&profile, tokens), per_token(&profile, measured));
    }
    assert!(per_token(&only_long, 1_500.0) > 0);
    assert_eq!(per_token(&only_long, 1_500.0), per_token(&only_long, 6e4));
}
