use std::time::Duration;

use chestnutloft_core::routing::{LadderSettings, ModelLadder, PoolPressure};

const AIM: Duration = Duration::from_secs(2);
const EARLY: Duration = Duration::from_millis(100);
const CALM: PoolPressure = PoolPressure {
    wait: Duration::from_millis(20),
    load: 0.1,
};

fn ladder(rungs: usize) -> ModelLadder {
    ModelLadder::new(LadderSettings::default(), rungs)
}

#[test]
fn a_sure_answer_is_kept() {
    assert_eq!(ladder(3).next(0, Some(90.0), EARLY, AIM, CALM), None);
}

#[test]
fn an_unsure_answer_goes_to_the_largest_model() {
    assert_eq!(ladder(3).next(0, Some(20.0), EARLY, AIM, CALM), Some(2));
}

#[test]
fn the_largest_model_has_the_last_word() {
    assert_eq!(ladder(3).next(2, Some(0.0), EARLY, AIM, CALM), None);
    assert_eq!(ladder(1).next(0, Some(0.0), EARLY, AIM, CALM), None);
}

#[test]
fn nothing_is_asked_again_too_late_or_without_an_opinion() {
    let late = Duration::from_millis(1_900);

    assert_eq!(ladder(3).next(0, Some(20.0), late, AIM, CALM), None);
    assert_eq!(ladder(3).next(0, None, EARLY, AIM, CALM), None);
}

fn climbs(pool: PoolPressure) -> usize {
    (0..100)
        .filter(|confidence| {
            let confidence = Some(f64::from(*confidence));
            ladder(3).next(0, confidence, EARLY, AIM, pool).is_some()
        })
        .count()
}

#[test]
fn waits_at_the_pool_lower_the_bar() {
    let waiting = |millis| PoolPressure {
        wait: Duration::from_millis(millis),
        ..CALM
    };

    assert!(climbs(CALM) > climbs(waiting(1_000)));
    assert!(climbs(waiting(1_000)) > climbs(waiting(1_600)));
    assert_eq!(climbs(waiting(1_900)), 0);
}

#[test]
fn load_of_the_pool_lowers_the_bar() {
    let loaded = |load| PoolPressure { load, ..CALM };

    assert!(climbs(CALM) > climbs(loaded(0.6)));
    assert!(climbs(loaded(0.6)) > climbs(loaded(0.9)));
    assert_eq!(climbs(loaded(1.1)), 0);
}
