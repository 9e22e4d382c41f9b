//! Loads that reach uneven endpoints from many entries at once, and what callers receive.

use rand::Rng;

use chestnutloft_core::routing::TimedPlacementSettings;

use super::load_fixture::{LoadPlay, PoolSettings, arrivals, call, no_arrivals};

/// Plays 72 entries whose reports are 0.2 to 2 s old, on endpoints that are half full.
fn play_old_reports(placement: TimedPlacementSettings) -> LoadPlay {
    let settings = PoolSettings {
        placement,
        ..PoolSettings::default()
    };
    let mut play = LoadPlay::new(settings, 20, 72);
    for (number, entry) in play.entries.iter_mut().enumerate() {
        entry.interval_ms = Some(200 + number as u64 * 25);
    }
    play.run(6_000, arrivals(4, 72, |_| 150.0, |_| call(60.0, 900.0)));
    play.run(9_000, no_arrivals);
    play
}

/// Load: 72 entries whose reports are 0.2 to 2 s old. Guards against endpoints that get most of the
/// calls for as long as the others' reports say that they are free.
#[test]
fn entries_with_old_reports_spread_their_calls() {
    let play = play_old_reports(TimedPlacementSettings::default());

    let busiest = play.busiest_share();
    assert!(busiest < 2.0, "{busiest:.2} times the mean");
    assert_eq!(play.waiting_calls(), 0);
}

/// Load: the same. Guards against calls beyond an endpoint's places, and callers that wait there,
/// because entries follow old reports. The reference ignores the reports: it spreads calls by hash.
#[test]
fn old_reports_are_no_worse_than_none() {
    let reference = play_old_reports(TimedPlacementSettings {
        equal_ms: f64::INFINITY,
        ..TimedPlacementSettings::default()
    });

    let play = play_old_reports(TimedPlacementSettings::default());

    let (peak, places) = (play.peak_calls(), play.settings.places());
    let reference_peak = reference.peak_calls();
    assert!(
        peak <= reference_peak,
        "{peak} calls, {reference_peak} without reports, {places} places"
    );
    assert!(play.delay_ms(0.99) <= reference.delay_ms(0.99));
}

fn play_speeds(is_noisy: bool, uses_pace: bool) -> LoadPlay {
    let settings = PoolSettings {
        slots: 24,
        tokens: 549_576.0,
        uses_pace,
        is_noisy,
        ..PoolSettings::default()
    };
    let mut play = LoadPlay::new(settings, 30, 85);
    for (number, endpoint) in play.endpoints.iter_mut().enumerate() {
        endpoint.speed = [0.7, 0.7, 1.7][number % 3];
    }
    let call = |rng: &mut rand_pcg::Pcg64| call(rng.random_range(30.0..150.0), 300.0);
    play.run(8_000, arrivals(5, 85, |_| 170.0, call));
    play.run(12_000, no_arrivals);
    play
}

/// Load: endpoints of three speeds, with and without other work that makes 15% of them 2.5 times
/// slower for 0.6 s and that entries observe through answers only. Guards against placement that
/// takes them for equal. The same calls without pace are the reference.
#[test]
fn callers_wait_less_at_endpoints_of_three_speeds() {
    for is_noisy in [false, true] {
        let reference = play_speeds(is_noisy, false);

        let timed = play_speeds(is_noisy, true);

        let (calls, reference_calls) = (timed.answers.len(), reference.answers.len());
        assert_eq!(calls, reference_calls);
        let late = |play: &LoadPlay| 1.0 - play.share_within(200.0, calls);
        let (late, reference_late) = (late(&timed), late(&reference));
        assert!(
            late < reference_late / 2.0,
            "noise {is_noisy}: {late:.3} late, {reference_late:.3} without pace"
        );
        let (p90_ms, reference_ms) = (timed.delay_ms(0.9), reference.delay_ms(0.9));
        assert!(
            p90_ms < reference_ms * 0.8,
            "noise {is_noisy}: p90 {p90_ms:.0} ms, {reference_ms:.0} ms without pace"
        );
    }
}

/// Load: 85 entries that read the same figures, by which a third of the endpoints is half full, have
/// eight calls each before they hear of each other again. Guards against entries that all choose the
/// same endpoints.
#[test]
fn entries_that_read_the_same_figures_spread_their_calls() {
    const ENTRIES: usize = 85;
    let settings = PoolSettings {
        slots: 24,
        tokens: 549_576.0,
        ..PoolSettings::default()
    };
    let mut play = LoadPlay::new(settings, 90, ENTRIES);
    let calls = |count: usize, decode_ms| -> Vec<_> {
        let call = |number| (number % ENTRIES, call(40.0, decode_ms));
        (0..count).map(call).collect()
    };
    let mut before = calls(360, 60_000.0);
    play.run(1_000, |_| std::mem::take(&mut before));
    for entry in &mut play.entries {
        entry.interval_ms = Some(60_000);
    }

    let mut burst = calls(8 * ENTRIES, 500.0);
    play.run(1_005, |_| std::mem::take(&mut burst));
    play.run(5_000, no_arrivals);

    assert!(play.busiest_share() < 2.0, "{:.2}", play.busiest_share());
    let (peak, places) = (play.peak_calls(), play.settings.places());
    assert!(peak <= places, "{peak} calls, {places} places");
    let p99_ms = play.delay_ms(0.99);
    assert!(p99_ms < 1_000.0, "p99 {p99_ms:.0} ms");
}

/// Load: within 8 s, the demand of one of three failure domains rises to more than its endpoints can
/// take, while that of the others falls. Guards against callers that wait in the busy domain beside
/// free endpoints, and against calls that leave their domain while it has room.
#[test]
fn demand_that_shifts_between_domains_is_served_by_all_of_them() {
    const SHIFT_MS: std::ops::Range<f64> = 3_000.0..11_000.0;
    let mut play = LoadPlay::new(PoolSettings::default(), 30, 72);
    for (number, endpoint) in play.endpoints.iter_mut().enumerate() {
        endpoint.domain = number % 3;
    }
    for (number, entry) in play.entries.iter_mut().enumerate() {
        entry.domain = number % 3;
    }
    let domain_load = |domain: usize| {
        let change_per_s = [90.0, -45.0, -45.0][domain];
        let rate = move |now_ms: u64| {
            let passed = (now_ms as f64 - SHIFT_MS.start) / (SHIFT_MS.end - SHIFT_MS.start);
            60.0 + change_per_s * passed.clamp(0.0, 1.0)
        };
        let mut load = arrivals(10 + domain as u64, 24, rate, |_| call(60.0, 900.0));
        move |now_ms| {
            let calls = load(now_ms).into_iter();
            calls.map(move |(entry, call)| (entry * 3 + domain, call))
        }
    };
    let mut loads = [0, 1, 2].map(domain_load);

    play.run(14_000, |now_ms| {
        loads.iter_mut().flat_map(|load| load(now_ms)).collect()
    });
    play.run(16_000, no_arrivals);

    let in_time = play.share_within(250.0, play.answers.len());
    assert!(in_time > 0.995, "{in_time:.4} within 250 ms");
    let (peak, places) = (play.peak_calls(), play.settings.places());
    assert!(peak <= places, "{peak} calls, {places} places");
    let early = play.answers.iter();
    let early = early.filter(|answer| (answer.arrived_ms as f64) < SHIFT_MS.start);
    let remote = early.clone().filter(|answer| answer.is_remote).count();
    assert!(
        remote * 20 < early.count(),
        "{remote} calls left a calm domain"
    );
}
