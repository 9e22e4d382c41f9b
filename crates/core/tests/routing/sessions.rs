use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{SessionMark, SessionVersions, VersionWish, session_mark};
use chestnutloft_core::time::TimePoint;

const KEEP: Duration = Duration::from_secs(5);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn mark(key: u64) -> SessionMark {
    session_mark("llm", key)
}

#[test]
fn a_session_under_way_stays_on_the_old_version() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    for key in 0..100 {
        sessions.note(at(0), &service, mark(key), false);
    }

    let wish = |key: &u64| sessions.wish(at(100), mark(*key), 1.0, KEEP);
    let moved = (0..100).filter(|key| wish(key) != VersionWish::Old);

    assert_eq!(moved.count(), 0);
}

#[test]
fn a_session_stays_where_its_first_call_went() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    let first: Vec<bool> = (0..200).map(|key| key % 3 == 0).collect();
    for (key, is_on_target) in (0..200).zip(&first) {
        sessions.note(at(0), &service, mark(key), *is_on_target);
    }

    let later = |share| -> Vec<bool> {
        (0..200)
            .map(|key| sessions.wish(at(1_000), mark(key), share, KEEP))
            .inspect(|wish| assert_ne!(*wish, VersionWish::TargetFirst))
            .map(|wish| wish == VersionWish::Target)
            .collect()
    };

    assert_eq!(first, later(0.0));
    assert_eq!(first, later(1.0));
}

#[test]
fn entries_choose_the_same_sessions_and_about_the_share() {
    let one = SessionVersions::default();
    let other = SessionVersions::default();

    let chosen = |sessions: &SessionVersions| -> Vec<u64> {
        (0..2_000)
            .filter(|key| sessions.wish(at(0), mark(*key), 0.1, KEEP) != VersionWish::Old)
            .collect()
    };
    let first = chosen(&one);

    assert_eq!(first, chosen(&other));
    assert!((150..250).contains(&first.len()), "{}", first.len());
}

#[test]
fn an_idle_session_is_chosen_anew() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    sessions.note(at(0), &service, mark(7), false);

    let wish = sessions.wish(at(5_001), mark(7), 1.0, KEEP);

    assert_eq!(wish, VersionWish::TargetFirst);
}

#[test]
fn a_session_is_under_way_until_its_last_call_has_ended_for_a_while() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    sessions.note(at(0), &service, mark(7), false);

    sessions.touch(at(4_000), mark(7));
    let wish = sessions.wish(at(8_900), mark(7), 1.0, KEEP);

    assert_eq!(wish, VersionWish::Old);
}

#[test]
fn a_session_that_another_entry_saw_on_the_old_version_is_not_moved() {
    let service: Arc<str> = Arc::from("llm");
    let mut one = SessionVersions::default();
    let mut other = SessionVersions::default();
    for key in 0..200 {
        one.note(at(0), &service, mark(key), false);
    }

    other.bind(&one.bound_here(at(100), "llm", 0.2, KEEP));

    let moved =
        (0..200).filter(|key| other.wish(at(200), mark(*key), 0.2, KEEP) != VersionWish::Old);
    let new =
        (200..400).filter(|key| other.wish(at(200), mark(*key), 0.2, KEEP) != VersionWish::Old);
    assert_eq!(moved.count(), 0);
    assert!(new.count() > 20);
}

#[test]
fn only_sessions_of_the_share_are_told_to_other_entries() {
    let service: Arc<str> = Arc::from("llm");
    let other_service: Arc<str> = Arc::from("orders");
    let mut sessions = SessionVersions::default();
    for key in 0..1_000 {
        sessions.note(at(0), &service, mark(key), key % 2 == 0);
        sessions.note(at(0), &other_service, session_mark("orders", key), false);
    }

    let told = sessions.bound_here(at(100), "llm", 0.1, KEEP);
    let idle = sessions.bound_here(at(5_100), "llm", 0.1, KEEP);

    assert!((25..80).contains(&told.len()), "{}", told.len());
    assert_eq!(idle, Vec::<SessionMark>::new());
}
