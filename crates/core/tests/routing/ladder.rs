use std::time::Duration;

use chestnutloft_core::routing::{
    ClimbCandidate, LadderSettings, ModelLadder, PoolPressure, StreamPace,
};
use chestnutloft_core::time::TimePoint;

const AIM: Duration = Duration::from_secs(2);
const EARLY: Duration = Duration::from_millis(100);
const CALM: PoolPressure = PoolPressure {
    wait: Duration::from_millis(20),
    load: 0.1,
    event_gap: Duration::from_millis(25),
};

fn candidate(rung: usize, confidence: Option<f64>, waited: Duration) -> ClimbCandidate {
    ClimbCandidate {
        rung,
        confidence,
        waited,
        aim: AIM,
    }
}

fn ladder(rungs: usize) -> ModelLadder {
    ModelLadder::new(LadderSettings::default(), rungs)
}

#[test]
fn a_sure_answer_is_kept() {
    assert_eq!(ladder(3).next(&candidate(0, Some(90.0), EARLY), CALM), None);
}

#[test]
fn an_unsure_answer_goes_to_the_largest_model() {
    assert_eq!(
        ladder(3).next(&candidate(0, Some(20.0), EARLY), CALM),
        Some(2)
    );
}

#[test]
fn the_largest_model_has_the_last_word() {
    assert_eq!(ladder(3).next(&candidate(2, Some(0.0), EARLY), CALM), None);
    assert_eq!(ladder(1).next(&candidate(0, Some(0.0), EARLY), CALM), None);
}

#[test]
fn nothing_is_asked_again_too_late_or_without_an_opinion() {
    let late = Duration::from_millis(1_900);

    assert_eq!(ladder(3).next(&candidate(0, Some(20.0), late), CALM), None);
    assert_eq!(ladder(3).next(&candidate(0, None, EARLY), CALM), None);
}

fn climbs(pool: PoolPressure) -> usize {
    (0..100)
        .filter(|confidence| {
            let confidence = Some(f64::from(*confidence));
            ladder(3)
                .next(&candidate(0, confidence, EARLY), pool)
                .is_some()
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

#[test]
fn long_streams_lower_the_bar() {
    let at_gap = |millis| PoolPressure {
        event_gap: Duration::from_millis(millis),
        ..CALM
    };

    assert_eq!(climbs(CALM), climbs(at_gap(30)));
    assert!(climbs(CALM) > climbs(at_gap(90)));
    assert_eq!(climbs(at_gap(300)), 0);
}

#[test]
fn few_streams_show_their_pace_and_old_ones_none() {
    let start = TimePoint::from_millis(10_000);
    let mut pace = StreamPace::default();
    pace.note(start, 8.0, Duration::from_millis(1_600));

    let now = pace.report(start + Duration::from_secs(2));
    let later = pace.report(start + Duration::from_secs(4));

    assert_eq!(now.mean(), Duration::from_millis(200));
    assert_eq!(later.entries, 0);
}
