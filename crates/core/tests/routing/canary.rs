use std::sync::Arc;

use chestnutloft_core::routing::{
    ArmCount, ArmKey, CanaryAnalysis, CanaryThresholds, VersionVerdict,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

struct Arm {
    route: &'static str,
    version: &'static str,
    answers: usize,
    failed_share: f64,
    slow_share: f64,
}

fn evaluate(seed: u64, arms: &[Arm]) -> VersionVerdict {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut analysis = CanaryAnalysis::new(CanaryThresholds::default());
    for arm in arms {
        let key = ArmKey {
            service: Arc::from("llm"),
            version: Arc::from(arm.version),
            route: Arc::from(arm.route),
        };
        let mut count = ArmCount::default();
        for _ in 0..arm.answers {
            let base: f64 = rng.random_range(0.05..0.4);
            let factor = if rng.random_bool(arm.slow_share) {
                8.0
            } else {
                1.0
            };
            let has_failed = rng.random_bool(arm.failed_share);
            count.record((!has_failed).then_some(base * factor));
        }
        analysis.add(&key, &count);
    }
    analysis.evaluate("llm", "v2")
}

fn arm(route: &'static str, version: &'static str, answers: usize) -> Arm {
    Arm {
        route,
        version,
        answers,
        failed_share: 0.02,
        slow_share: 0.0,
    }
}

fn unhealthy_seeds(arms: impl Fn() -> Vec<Arm>) -> usize {
    (0..200)
        .filter(|seed| evaluate(*seed, &arms()) != VersionVerdict::Healthy)
        .count()
}

#[test]
fn a_healthy_version_is_rarely_reported_as_unhealthy() {
    let arms = || {
        vec![
            arm("long", "v1", 300),
            arm("long", "v2", 40),
            arm("short", "v1", 300),
            arm("short", "v2", 40),
        ]
    };

    assert!(
        unhealthy_seeds(arms) <= 4,
        "{} of 200",
        unhealthy_seeds(arms)
    );
}

#[test]
fn a_failing_version_is_detected_after_few_answers() {
    let arms = || {
        let failing = Arm {
            failed_share: 0.4,
            ..arm("long", "v2", 25)
        };
        vec![arm("long", "v1", 200), failing]
    };

    assert!(
        unhealthy_seeds(arms) >= 195,
        "{} of 200",
        unhealthy_seeds(arms)
    );
}

#[test]
fn a_version_that_fails_on_one_route_is_detected() {
    let arms = || {
        let failing = Arm {
            failed_share: 0.5,
            ..arm("short", "v2", 20)
        };
        vec![
            arm("long", "v1", 400),
            arm("long", "v2", 60),
            arm("short", "v1", 200),
            failing,
        ]
    };

    assert!(
        unhealthy_seeds(arms) >= 190,
        "{} of 200",
        unhealthy_seeds(arms)
    );
}

#[test]
fn a_version_with_some_slow_answers_is_detected() {
    let arms = || {
        let slow = Arm {
            slow_share: 0.5,
            ..arm("long", "v2", 40)
        };
        vec![arm("long", "v1", 200), slow]
    };

    assert!(
        unhealthy_seeds(arms) >= 190,
        "{} of 200",
        unhealthy_seeds(arms)
    );
}

#[test]
fn failures_common_to_both_versions_do_not_count() {
    let arms = || {
        let failing = |version, answers| Arm {
            failed_share: 0.14,
            ..arm("long", version, answers)
        };
        vec![failing("v1", 300), failing("v2", 60)]
    };

    assert!(
        unhealthy_seeds(arms) <= 10,
        "{} of 200",
        unhealthy_seeds(arms)
    );
}
