//! Claims of non-idempotent requests: when a claim may be released and run again.

use std::time::Duration;

use chestnutloft_core::ledger::{
    AttemptId, ClaimOutcome, ClaimRequest, LedgerSettings, LedgerState, RequestKey, StoredAnswer,
};
use chestnutloft_core::time::TimePoint;

const KEY: RequestKey = RequestKey(7);

fn at(seconds: u64) -> TimePoint {
    TimePoint::ZERO + Duration::from_secs(1_000 + seconds)
}

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        entry: "entry-1".parse().expect("an id"),
        incarnation: 1,
        number,
    }
}

fn request(number: u64, deadline: TimePoint) -> ClaimRequest {
    ClaimRequest {
        key: KEY,
        fingerprint: 1,
        attempt: attempt(number),
        deadline,
    }
}

/// A ledger with a claim whose attempt has not reported an outcome long after the caller's deadline.
fn ledger_with_overdue_claim() -> LedgerState {
    let mut ledger = LedgerState::new(LedgerSettings::default());
    let granted = ledger.claim(&request(1, at(1)), at(0));
    assert_eq!(granted, ClaimOutcome::Granted);
    let unknown = ledger.claim(&request(2, at(601)), at(600));
    assert_eq!(unknown, ClaimOutcome::Unknown);
    ledger
}

#[test]
fn a_late_release_frees_the_key() {
    let mut ledger = ledger_with_overdue_claim();

    let is_released = ledger.release(KEY, &attempt(1));

    assert!(is_released);
    let again = ledger.claim(&request(3, at(602)), at(601));
    assert_eq!(again, ClaimOutcome::Granted);
}

#[test]
fn another_attempt_cannot_release_a_claim() {
    let mut ledger = ledger_with_overdue_claim();

    assert!(!ledger.release(KEY, &attempt(2)));

    let again = ledger.claim(&request(3, at(602)), at(601));
    assert_eq!(again, ClaimOutcome::Unknown);
}

#[test]
fn a_settled_claim_is_not_released() {
    let mut ledger = ledger_with_overdue_claim();
    let answer = StoredAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: Some(b"{}".to_vec()),
    };
    ledger.settle(KEY, &attempt(1), &answer, at(601));

    assert!(!ledger.release(KEY, &attempt(1)));

    let again = ledger.claim(&request(3, at(603)), at(602));
    assert_eq!(again, ClaimOutcome::Settled(answer));
}
