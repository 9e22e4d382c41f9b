use std::time::Duration;

use chestnutloft_core::routing::{LadderSettings, ModelLadder};

const AIM: Duration = Duration::from_secs(2);
const EARLY: Duration = Duration::from_millis(100);
const CALM: Duration = Duration::from_millis(20);

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

#[test]
fn waits_at_the_pool_lower_the_bar() {
    let climbs = |wait_ms| {
        (0..100)
            .filter(|confidence| {
                let confidence = Some(f64::from(*confidence));
                let wait = Duration::from_millis(wait_ms);
                ladder(3).next(0, confidence, EARLY, AIM, wait).is_some()
            })
            .count()
    };

    assert!(climbs(20) > climbs(1_000));
    assert!(climbs(1_000) > climbs(1_600));
    assert_eq!(climbs(1_900), 0);
}
