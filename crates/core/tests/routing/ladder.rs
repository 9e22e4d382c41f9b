use std::time::Duration;

use chestnutloft_core::routing::{LadderSettings, ModelLadder};

const AIM: Duration = Duration::from_secs(2);
const EARLY: Duration = Duration::from_millis(100);

fn ladder(rungs: usize) -> ModelLadder {
    ModelLadder::new(LadderSettings::default(), rungs)
}

#[test]
fn a_sure_answer_is_kept() {
    assert_eq!(ladder(3).next(0, Some(90.0), EARLY, AIM, 0.1), None);
}

#[test]
fn an_unsure_answer_goes_to_the_largest_model() {
    assert_eq!(ladder(3).next(0, Some(20.0), EARLY, AIM, 0.1), Some(2));
}

#[test]
fn the_largest_model_has_the_last_word() {
    assert_eq!(ladder(3).next(2, Some(0.0), EARLY, AIM, 0.1), None);
    assert_eq!(ladder(1).next(0, Some(0.0), EARLY, AIM, 0.1), None);
}

#[test]
fn nothing_is_asked_again_too_late_or_without_an_opinion() {
    let late = Duration::from_millis(1_900);

    assert_eq!(ladder(3).next(0, Some(20.0), late, AIM, 0.1), None);
    assert_eq!(ladder(3).next(0, None, EARLY, AIM, 0.1), None);
}

#[test]
fn load_lowers_the_bar() {
    let climbs = |load| {
        (0..100)
            .filter(|confidence| {
                let confidence = Some(f64::from(*confidence));
                ladder(3).next(0, confidence, EARLY, AIM, load).is_some()
            })
            .count()
    };

    assert!(climbs(0.1) > climbs(0.95));
    assert!(climbs(0.95) > climbs(1.1));
    assert_eq!(climbs(1.3), 0);
}
