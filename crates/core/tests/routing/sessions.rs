use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{SessionHash, SessionVersions, VersionPreference, session_hash};
use chestnutloft_core::time::TimePoint;

const SESSION_TIMEOUT: Duration = Duration::from_secs(5);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn hash(key: u64) -> SessionHash {
    session_hash("llm", key)
}

#[test]
fn an_active_session_stays_on_the_old_version() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    for key in 0..100 {
        sessions.record(at(0), &service, hash(key), false);
    }

    let preference = |key: &u64| sessions.preference(at(100), hash(*key), 1.0, SESSION_TIMEOUT);
    let moved = (0..100).filter(|key| preference(key) != VersionPreference::Old);

    assert_eq!(moved.count(), 0);
}

#[test]
fn a_session_stays_on_the_version_of_its_first_call() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    let first: Vec<bool> = (0..200).map(|key| key % 3 == 0).collect();
    for (key, is_on_target) in (0..200).zip(&first) {
        sessions.record(at(0), &service, hash(key), *is_on_target);
    }

    let later = |share| -> Vec<bool> {
        (0..200)
            .map(|key| sessions.preference(at(1_000), hash(key), share, SESSION_TIMEOUT))
            .inspect(|preference| assert_ne!(*preference, VersionPreference::TargetFirst))
            .map(|preference| preference == VersionPreference::Target)
            .collect()
    };

    assert_eq!(first, later(0.0));
    assert_eq!(first, later(1.0));
}

#[test]
fn entries_select_the_same_sessions_and_about_the_trial_share() {
    let one = SessionVersions::default();
    let other = SessionVersions::default();

    let chosen = |sessions: &SessionVersions| -> Vec<u64> {
        (0..2_000)
            .filter(|key| {
                sessions.preference(at(0), hash(*key), 0.1, SESSION_TIMEOUT)
                    != VersionPreference::Old
            })
            .collect()
    };
    let first = chosen(&one);

    assert_eq!(first, chosen(&other));
    assert!((150..250).contains(&first.len()), "{}", first.len());
}

#[test]
fn an_expired_session_is_treated_as_new() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    sessions.record(at(0), &service, hash(7), false);

    let preference = sessions.preference(at(5_001), hash(7), 1.0, SESSION_TIMEOUT);

    assert_eq!(preference, VersionPreference::TargetFirst);
}

#[test]
fn the_session_timeout_starts_when_the_last_call_ends() {
    let service: Arc<str> = Arc::from("llm");
    let mut sessions = SessionVersions::default();
    sessions.record(at(0), &service, hash(7), false);

    sessions.touch(at(4_000), hash(7));
    let preference = sessions.preference(at(8_900), hash(7), 1.0, SESSION_TIMEOUT);

    assert_eq!(preference, VersionPreference::Old);
}

#[test]
fn a_session_pinned_by_another_entry_is_not_moved() {
    let service: Arc<str> = Arc::from("llm");
    let mut one = SessionVersions::default();
    let mut other = SessionVersions::default();
    for key in 0..200 {
        one.record(at(0), &service, hash(key), false);
    }

    other.pin_to_old(&one.pinned_to_old(at(100), "llm", 0.2, SESSION_TIMEOUT));

    let moved = (0..200).filter(|key| {
        other.preference(at(200), hash(*key), 0.2, SESSION_TIMEOUT) != VersionPreference::Old
    });
    let new = (200..400).filter(|key| {
        other.preference(at(200), hash(*key), 0.2, SESSION_TIMEOUT) != VersionPreference::Old
    });
    assert_eq!(moved.count(), 0);
    assert!(new.count() > 20);
}

#[test]
fn only_sessions_within_the_trial_share_are_sent_to_other_entries() {
    let service: Arc<str> = Arc::from("llm");
    let other_service: Arc<str> = Arc::from("orders");
    let mut sessions = SessionVersions::default();
    for key in 0..1_000 {
        sessions.record(at(0), &service, hash(key), key % 2 == 0);
        sessions.record(at(0), &other_service, session_hash("orders", key), false);
    }

    let pinned = sessions.pinned_to_old(at(100), "llm", 0.1, SESSION_TIMEOUT);
    let expired = sessions.pinned_to_old(at(5_100), "llm", 0.1, SESSION_TIMEOUT);

    assert!((25..80).contains(&pinned.len()), "{}", pinned.len());
    assert_eq!(expired, Vec::<SessionHash>::new());
}
