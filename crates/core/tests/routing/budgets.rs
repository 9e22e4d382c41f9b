use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    EndpointRateLimiter, RateShare, ServiceRetryBudget, ServiceRetrySettings,
};
use chestnutloft_core::time::TimePoint;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

fn entries(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| Arc::from(format!("e{number}")))
        .collect()
}

#[test]
fn additional_sends_of_all_entries_stay_within_the_budget_of_each_window() {
    let service: Arc<str> = Arc::from("llm");
    let settings = ServiceRetrySettings {
        ratio: 0.9,
        slack: 52.0,
        window: Duration::from_secs(10),
        ..ServiceRetrySettings::default()
    };
    for seed in 0..20 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut budgets = vec![ServiceRetryBudget::new(settings.clone()); 6];
        let mut calls: VecDeque<TimePoint> = VecDeque::new();
        let mut retries: VecDeque<TimePoint> = VecDeque::new();
        for step in 0..6_000_u64 {
            let now = TimePoint::from_millis(10_000 + step * 10);
            let is_busy = step / 1_000 % 2 == 0;
            let budget = rng.random_range(0..budgets.len());
            if rng.random_bool(if is_busy { 0.5 } else { 0.02 }) {
                budgets[budget].record_call(now, &service);
                calls.push_back(now);
            }
            if budgets[budget].try_take(now, &service, 6) {
                retries.push_back(now);
            }
            let window = |at: &&TimePoint, spans: u32| now.since(**at) <= settings.window * spans;
            let recent = retries.iter().filter(|at| window(at, 1)).count();
            // The limit is based on the calls of this window or the previous one, whichever has
            // more.
            let current = calls.iter().filter(|at| window(at, 1)).count();
            let last_two = calls.iter().filter(|at| window(at, 2)).count();
            let max_calls = current.max(last_two - current) as f64;

            assert!(
                recent as f64 <= settings.ratio * max_calls + settings.slack,
                "seed {seed}"
            );
        }
    }
}

#[test]
fn all_entries_together_stay_within_the_call_rate_of_an_endpoint() {
    for count in [1, 6, 9, 85, 420] {
        let names = entries(count);
        for (endpoint, per_s) in [("a", 10.0), ("b", 16.0), ("c", 4.0), ("d", 0.4), ("e", 1.7)] {
            let shares = names.iter().map(|own| {
                let share = EndpointRateLimiter::entry_share(endpoint, own, &names, per_s);
                share.calls as f64 / share.window.as_secs_f64()
            });
            let all: f64 = shares.sum();

            assert!(
                all <= per_s + 0.001,
                "{count} entries send {all} of {per_s}"
            );
            assert!(all >= per_s * 0.5, "{count} entries send {all} of {per_s}");
        }
    }
}

#[test]
fn an_entry_stays_within_its_share_in_each_second() {
    let mut limiter = EndpointRateLimiter::default();
    let id: Arc<str> = Arc::from("a");
    let share = RateShare {
        calls: 2,
        window: Duration::from_secs(1),
    };
    let mut sent: Vec<TimePoint> = Vec::new();

    for step in 0..500_u64 {
        let now = TimePoint::from_millis(5_000 + step * 10);
        if limiter.has_capacity(now, &id, share) {
            limiter.record_call(now, &id);
            sent.push(now);
        }
    }

    for (position, at) in sent.iter().enumerate() {
        let within = sent[position..]
            .iter()
            .filter(|other| other.since(*at) < Duration::from_secs(1));
        assert!(within.count() <= 2);
    }
    assert!(sent.len() >= 8, "{} sent in 5 s", sent.len());
}
