use std::sync::Arc;

use chestnutloft_core::routing::{EndpointDirectory, EndpointNotice, EndpointPhase, NoticeOutcome};

use crate::fixture::notice;

fn phase(directory: &EndpointDirectory, id: &str) -> Option<EndpointPhase> {
    directory.get(id).map(|endpoint| endpoint.notice.phase)
}

fn draining(id: &str, born_ms: u64, sequence: u64) -> EndpointNotice {
    EndpointNotice {
        phase: EndpointPhase::Draining,
        ..notice(id, born_ms, sequence)
    }
}

#[test]
fn a_repeated_notice_changes_nothing() {
    let mut directory = EndpointDirectory::default();

    let first = directory.apply(1, &notice("a", 100, 1));
    let second = directory.apply(2, &notice("a", 100, 2));

    assert_eq!(first, NoticeOutcome::Changes);
    assert_eq!(second, NoticeOutcome::Refreshes);
    assert_eq!(
        directory.get("a").map(|endpoint| endpoint.changed_at),
        Some(1)
    );
}

#[test]
fn a_late_notice_does_not_undo_draining() {
    let mut directory = EndpointDirectory::default();
    directory.apply(1, &notice("a", 100, 1));
    directory.apply(2, &draining("a", 100, 3));

    let late = directory.apply(3, &notice("a", 100, 2));

    assert_eq!(late, NoticeOutcome::Stale);
    assert_eq!(phase(&directory, "a"), Some(EndpointPhase::Draining));
}

#[test]
fn an_endpoint_that_left_stays_gone_until_it_restarts() {
    let mut directory = EndpointDirectory::default();
    directory.apply(1, &notice("a", 100, 1));
    directory.leave(2, "a", None);

    let late = directory.apply(3, &notice("a", 100, 9));
    let restarted = directory.apply(4, &notice("a", 200, 1));

    assert_eq!(late, NoticeOutcome::Stale);
    assert_eq!(restarted, NoticeOutcome::Changes);
    assert_eq!(phase(&directory, "a"), Some(EndpointPhase::Ready));
}

/// Guards against an endpoint that was cut off for longer than its silence is tolerated and stays
/// unused after that.
#[test]
fn endpoint_that_was_silent_comes_back_with_its_next_notice() {
    let mut directory = EndpointDirectory::default();
    directory.apply(1, &notice("a", 100, 5));

    let is_change = directory.expire(2, "a", 100);
    let while_silent = phase(&directory, "a");
    let late = directory.apply(3, &notice("a", 100, 5));
    let next = directory.apply(4, &notice("a", 100, 6));

    assert!(is_change);
    assert_eq!(while_silent, Some(EndpointPhase::Gone));
    assert_eq!(late, NoticeOutcome::Stale);
    assert_eq!(next, NoticeOutcome::Changes);
    assert_eq!(phase(&directory, "a"), Some(EndpointPhase::Ready));
}

#[test]
fn endpoint_that_deregisters_after_a_silence_stays_gone() {
    let mut directory = EndpointDirectory::default();
    directory.apply(1, &notice("a", 100, 5));
    directory.expire(2, "a", 100);

    directory.leave(3, "a", Some(100));
    let outcome = directory.apply(4, &notice("a", 100, 9));

    assert_eq!(outcome, NoticeOutcome::Stale);
}

#[test]
fn silence_of_an_earlier_incarnation_changes_nothing() {
    let mut directory = EndpointDirectory::default();
    directory.apply(1, &notice("a", 200, 1));

    let is_change = directory.expire(2, "a", 100);

    assert!(!is_change);
    assert_eq!(phase(&directory, "a"), Some(EndpointPhase::Ready));
}

#[test]
fn a_late_deregistration_of_an_earlier_incarnation_changes_nothing() {
    let mut directory = EndpointDirectory::default();
    directory.apply(1, &notice("a", 200, 1));

    let is_change = directory.leave(2, "a", Some(100));

    assert!(!is_change);
    assert_eq!(phase(&directory, "a"), Some(EndpointPhase::Ready));
}

/// Guards against an endpoint that has deregistered and is registered by a notice that was on its way.
#[test]
fn notice_that_arrives_after_the_deregistration_does_not_register_its_endpoint() {
    let mut directory = EndpointDirectory::default();

    let is_change = directory.leave(1, "a", Some(100));
    let late = directory.apply(2, &notice("a", 100, 1));
    let restarted = directory.apply(3, &notice("a", 200, 1));

    assert!(!is_change);
    assert_eq!(late, NoticeOutcome::Stale);
    assert_eq!(restarted, NoticeOutcome::Changes);
    assert_eq!(phase(&directory, "a"), Some(EndpointPhase::Ready));
}

#[test]
fn a_deregistration_of_a_later_incarnation_ends_the_known_one() {
    let mut directory = EndpointDirectory::default();
    directory.apply(1, &notice("a", 100, 1));

    let is_change = directory.leave(2, "a", Some(200));
    let late = directory.apply(3, &notice("a", 200, 1));

    assert!(is_change);
    assert_eq!(late, NoticeOutcome::Stale);
    assert_eq!(phase(&directory, "a"), Some(EndpointPhase::Gone));
}

#[test]
fn an_address_belongs_to_the_endpoint_that_started_last() {
    let mut directory = EndpointDirectory::default();
    directory.apply(1, &notice("old", 100, 5));
    directory.apply(2, &notice("new", 200, 1));

    let late = directory.apply(3, &notice("old", 100, 6));

    assert_eq!(late, NoticeOutcome::Stale);
    assert_eq!(phase(&directory, "old"), Some(EndpointPhase::Gone));
    assert_eq!(phase(&directory, "new"), Some(EndpointPhase::Ready));
}

#[test]
fn only_an_increase_of_the_remaining_warm_up_time_is_a_change() {
    let mut directory = EndpointDirectory::default();
    let cold = |sequence, cold_left_ms| EndpointNotice {
        cold_left_ms,
        ..notice("a", 100, sequence)
    };
    directory.apply(1, &cold(1, 2_000));

    assert_eq!(directory.classify(&cold(2, 800)), NoticeOutcome::Refreshes);
    directory.apply(2, &cold(2, 0));
    assert_eq!(directory.classify(&cold(3, 2_500)), NoticeOutcome::Changes);
}

#[test]
fn old_gone_endpoints_are_evicted() {
    let mut directory = EndpointDirectory::default();

    for number in 0..5_000_u64 {
        let id = format!("e{number}");
        let mut notice = notice(&id, 100 + number, 1);
        notice.address = Arc::from(format!("10.0.0.1:{number}"));
        directory.apply(number, &notice);
        directory.leave(number, &id, None);
    }

    assert!(directory.iter().count() <= 2_001);
    assert!(directory.get("e4999").is_some());
}

/// Guards against entries that never learn that an endpoint runs other models.
#[test]
fn notice_with_other_models_changes_the_endpoint() {
    let mut directory = EndpointDirectory::default();
    directory.apply(1, &notice("a", 100, 1));
    let models: Arc<[Arc<str>]> = Arc::from([Arc::from("small")]);
    let with_models = |sequence| EndpointNotice {
        models: Some(Arc::clone(&models)),
        ..notice("a", 100, sequence)
    };

    assert_eq!(directory.apply(2, &with_models(2)), NoticeOutcome::Changes);
    assert_eq!(
        directory.apply(3, &with_models(3)),
        NoticeOutcome::Refreshes
    );
}

/// Guards against entries that are not told of a cold time no longer than the one before it.
#[test]
fn applied_notice_of_a_cold_endpoint_is_a_change() {
    let mut directory = EndpointDirectory::default();
    let cold = |sequence, cold_left_ms| EndpointNotice {
        cold_left_ms,
        ..notice("a", 100, sequence)
    };
    directory.apply(1, &cold(1, 3_000));

    let cold_again = directory.apply(2, &cold(2, 2_700));
    let warm = directory.apply(3, &cold(3, 0));

    assert_eq!(cold_again, NoticeOutcome::Changes);
    assert_eq!(warm, NoticeOutcome::Refreshes);
    let changed_at = directory.get("a").map(|endpoint| endpoint.changed_at);
    assert_eq!(changed_at, Some(2));
}
