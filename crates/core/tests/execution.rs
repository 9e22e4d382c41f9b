//! Whether a request has run, over all its attempts.

use chestnutloft_core::execution::{AttemptEnd, ExecutionRecord};
use chestnutloft_core::pipe::RunState;

fn record_of(ends: &[AttemptEnd]) -> ExecutionRecord {
    let mut record = ExecutionRecord::default();
    for end in ends {
        record.start_attempt();
        record.end_attempt(*end);
    }
    record
}

#[test]
fn rejected_attempts_leave_the_request_not_run() {
    let record = record_of(&[AttemptEnd::NotRun, AttemptEnd::NotRun]);

    assert!(record.not_run().is_some());
    assert_eq!(record.run_state(), RunState::NotRun);
    assert!(record.allows_attempt(false));
}

/// Guards against a refusal that promises that a request has not run, after a model has run it and
/// its answer was discarded for that of a larger model, which then rejected it.
#[test]
fn rejection_after_a_discarded_answer_proves_nothing() {
    let record = record_of(&[AttemptEnd::Answered, AttemptEnd::NotRun]);

    assert_eq!(record.not_run(), None);
    assert_eq!(record.run_state(), RunState::Ran);
}

/// An answer that was discarded must not keep the request from a further endpoint that may run it.
#[test]
fn discarded_answer_allows_a_further_attempt() {
    let record = record_of(&[AttemptEnd::Answered, AttemptEnd::NotRun]);

    assert!(record.allows_attempt(false));
}

/// Guards against a second run of a request whose first attempt was lost.
#[test]
fn lost_attempt_allows_a_further_one_only_for_idempotent_requests() {
    let record = record_of(&[AttemptEnd::Lost, AttemptEnd::NotRun]);

    assert_eq!(record.not_run(), None);
    assert_eq!(record.run_state(), RunState::Unknown);
    assert!(!record.allows_attempt(false));
    assert!(record.allows_attempt(true));
}

/// Guards against an end that a code path forgets to record.
#[test]
fn open_attempt_counts_as_run() {
    let mut record = ExecutionRecord::default();

    record.start_attempt();

    assert_eq!(record.not_run(), None);
    assert!(!record.allows_attempt(false));
}
