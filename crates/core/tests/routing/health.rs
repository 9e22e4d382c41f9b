use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{HealthSettings, PoolHealth};
use chestnutloft_core::time::TimePoint;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

fn pool(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| Arc::from(format!("w{number}")))
        .collect()
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

/// Sends calls to random endpoints of a pool for 10 s. The first endpoint fails `bad_share` of
/// them, the others `good_share`. Returns the share of calls withheld because of an ejection, from
/// the first endpoint and from the others.
fn withheld_shares(seed: u64, bad_share: f64, good_share: f64) -> (f64, f64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut health = PoolHealth::new(HealthSettings::default());
    let pool = pool(9);
    let mut withheld = [0_u32; 2];
    let mut offered = [0_u32; 2];
    for step in 0..1_000_u64 {
        let now = at(step * 10);
        let chosen = rng.random_range(0..pool.len());
        let group = usize::from(chosen > 0);
        offered[group] += 1;
        if health.is_ejected(now, &pool[chosen]) {
            withheld[group] += 1;
            continue;
        }
        let share = if chosen == 0 { bad_share } else { good_share };
        if rng.random_bool(share) {
            health.record_failure(now, &pool[chosen], &pool);
        } else {
            health.record_success(&pool[chosen], 1, Duration::from_millis(30));
        }
    }
    let share = |group: usize| f64::from(withheld[group]) / f64::from(offered[group].max(1));
    (share(0), share(1))
}

#[test]
fn an_endpoint_that_fails_part_of_its_calls_is_ejected_most_of_the_time() {
    for seed in 0..10 {
        let (bad, good) = withheld_shares(seed, 0.45, 0.02);

        assert!(bad > 0.5, "seed {seed}: {bad}");
        assert!(good < 0.1, "seed {seed}: {good}");
    }
}

#[test]
fn failures_common_to_all_endpoints_eject_few() {
    let sum: f64 = (0..10)
        .map(|seed| withheld_shares(seed, 0.14, 0.14).1)
        .sum();

    assert!(sum / 10.0 < 0.15, "{}", sum / 10.0);
}

#[test]
fn a_pool_is_never_ejected_as_a_whole() {
    let mut health = PoolHealth::new(HealthSettings::default());
    let pool = pool(5);
    for step in 0..200 {
        let id = &pool[step % pool.len()];
        // The endpoints fail one after the other, so that each exceeds the pool's failure rate for
        // a while.
        if step / 40 == step % pool.len() {
            health.record_failure(at(step as u64), id, &pool);
        }
    }

    let ejected = pool
        .iter()
        .filter(|id| health.is_ejected(at(200), id))
        .count();
    assert!(ejected <= 2, "{ejected} of 5");
}

#[test]
fn an_unreachable_endpoint_returns_after_its_ejection() {
    let mut health = PoolHealth::new(HealthSettings::default());
    let id: Arc<str> = Arc::from("w0");

    health.record_unreachable(at(0), &id);
    let is_ejected = health.is_ejected(at(100), &id);
    let has_returned = !health.is_ejected(at(2_000), &id);
    let is_recovering = health.is_recovering(&id);
    health.record_success(&id, 1, Duration::from_millis(30));

    assert!(is_ejected && has_returned && is_recovering);
    assert!(!health.is_recovering(&id));
}

#[test]
fn a_slow_endpoint_has_a_higher_slowdown() {
    let mut health = PoolHealth::new(HealthSettings::default());
    let pool = pool(4);
    for step in 0..200 {
        let chosen = step % pool.len();
        let took = if chosen == 0 { 250 } else { 50 };
        health.record_success(&pool[chosen], 1, Duration::from_millis(took));
    }

    assert!(health.slowdown(&pool[0]) > 2.0 * health.slowdown(&pool[1]));
}
