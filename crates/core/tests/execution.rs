//! Whether a request has run, over all its attempts.

use chestnutloft_core::execution::{AttemptEnd, ExecutionRecord};
use chestnutloft_core::pipe::RunState;

/// Record of a request whose attempts, as far as they are permitted, had these ends.
fn record_of(is_idempotent: bool, ends: &[AttemptEnd]) -> ExecutionRecord {
    let mut record = ExecutionRecord::default().with_idempotence(is_idempotent);
    for end in ends {
        if record.start_attempt().is_some() {
            record.end_attempt(*end);
        }
    }
    record
}

/// Whether a request may be sent once more after attempts with these ends.
fn allows_attempt_after(is_idempotent: bool, ends: &[AttemptEnd]) -> bool {
    let mut record = record_of(is_idempotent, ends);
    let is_allowed = record.allows_attempt();
    assert_eq!(record.start_attempt().is_some(), is_allowed);
    is_allowed
}

#[test]
fn rejected_attempts_leave_the_request_not_run() {
    let ends = [AttemptEnd::NotRun, AttemptEnd::NotRun];
    let record = record_of(false, &ends);

    assert!(record.not_run().is_some());
    assert_eq!(record.run_state(), RunState::NotRun);
    assert!(allows_attempt_after(false, &ends));
}

/// Guards against a refusal that promises that a request has not run, after a model has run it and
/// its answer was discarded for that of a larger model, which then rejected it.
#[test]
fn rejection_after_a_discarded_answer_proves_nothing() {
    let record = record_of(true, &[AttemptEnd::Answered, AttemptEnd::NotRun]);

    assert_eq!(record.not_run(), None);
    assert_eq!(record.run_state(), RunState::Ran);
}

/// Guards against a second run of a request after an answer that was discarded (review/15).
#[test]
fn discarded_answer_allows_a_further_attempt_only_for_idempotent_requests() {
    for ends in [
        &[AttemptEnd::Answered][..],
        &[AttemptEnd::NotRun, AttemptEnd::Answered],
    ] {
        assert!(!allows_attempt_after(false, ends), "{ends:?}");
        assert!(allows_attempt_after(true, ends), "{ends:?}");
    }
}

/// Guards against a second run of a request whose first attempt was lost.
#[test]
fn lost_attempt_allows_a_further_one_only_for_idempotent_requests() {
    let record = record_of(true, &[AttemptEnd::Lost, AttemptEnd::NotRun]);

    assert_eq!(record.not_run(), None);
    assert_eq!(record.run_state(), RunState::Unknown);
    assert!(!allows_attempt_after(false, &[AttemptEnd::Lost]));
    assert!(allows_attempt_after(true, &[AttemptEnd::Lost]));
}

/// Guards against an end that a code path forgets to record, and against two attempts at a time.
#[test]
fn open_attempt_counts_as_run() {
    let mut record = ExecutionRecord::default();

    let first = record.start_attempt();

    assert!(first.is_some());
    assert_eq!(record.not_run(), None);
    assert!(!record.allows_attempt());
    assert_eq!(record.start_attempt(), None);
}

/// A run that goes on from a copy is the same run, so any request may do so. It may not start anew
/// afterwards.
#[test]
fn run_may_go_on_from_a_copy() {
    let mut record = record_of(false, &[AttemptEnd::Answered]);

    let _permit = record.continue_run();
    record.end_attempt(AttemptEnd::NotRun);

    assert_eq!(record.run_state(), RunState::Ran);
    assert_eq!(record.start_attempt(), None);
}
