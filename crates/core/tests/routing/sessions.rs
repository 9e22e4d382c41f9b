use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::SessionVersions;
use chestnutloft_core::time::TimePoint;

const KEEP: Duration = Duration::from_secs(5);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

#[test]
fn a_session_under_way_stays_on_the_old_version() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    for key in 0..100 {
        sessions.note(at(0), &service, key, false);
    }

    let moved = (0..100).filter(|key| sessions.is_on_target(at(100), &service, *key, 1.0, KEEP));

    assert_eq!(moved.count(), 0);
}

#[test]
fn a_session_stays_where_its_first_call_went() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    let first: Vec<bool> = (0..200)
        .map(|key| sessions.is_on_target(at(0), &service, key, 0.5, KEEP))
        .collect();

    let later: Vec<bool> = (0..200)
        .map(|key| sessions.is_on_target(at(1_000), &service, key, 0.0, KEEP))
        .collect();

    assert_eq!(first, later);
}

#[test]
fn entries_choose_the_same_sessions_and_about_the_share() {
    let service: Arc<str> = Arc::from("llm");
    let mut one = SessionVersions::default();
    let mut other = SessionVersions::default();

    let chosen = |sessions: &mut SessionVersions| -> Vec<u64> {
        (0..2_000)
            .filter(|key| sessions.is_on_target(at(0), &service, *key, 0.1, KEEP))
            .collect()
    };
    let first = chosen(&mut one);

    assert_eq!(first, chosen(&mut other));
    assert!((150..250).contains(&first.len()), "{}", first.len());
}

#[test]
fn an_idle_session_is_chosen_anew() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    sessions.note(at(0), &service, 7, false);

    assert!(sessions.is_on_target(at(5_001), &service, 7, 1.0, KEEP));
}
