use std::time::Duration;

use chestnutloft_core::routing::{
    EscalationCandidate, EscalationPolicy, EscalationSettings, EventGapTracker, PoolLoad,
};
use chestnutloft_core::time::TimePoint;

const TARGET_LATENCY: Duration = Duration::from_secs(2);
const EARLY: Duration = Duration::from_millis(100);
const IDLE: PoolLoad = PoolLoad {
    queue_delay: Duration::from_millis(20),
    utilization: 0.1,
    event_gap: Duration::from_millis(25),
};

fn candidate(
    model_index: usize,
    confidence: Option<f64>,
    elapsed: Duration,
) -> EscalationCandidate {
    EscalationCandidate {
        model_index,
        confidence,
        elapsed,
        target_latency: TARGET_LATENCY,
    }
}

fn policy(models: usize) -> EscalationPolicy {
    EscalationPolicy::new(EscalationSettings::default(), models)
}

#[test]
fn a_confident_answer_is_forwarded() {
    assert_eq!(
        policy(3).next_model(&candidate(0, Some(90.0), EARLY), IDLE),
        None
    );
}

#[test]
fn a_call_with_low_confidence_is_escalated_to_the_largest_model() {
    assert_eq!(
        policy(3).next_model(&candidate(0, Some(20.0), EARLY), IDLE),
        Some(2)
    );
}

#[test]
fn an_answer_of_the_largest_model_is_forwarded() {
    assert_eq!(
        policy(3).next_model(&candidate(2, Some(0.0), EARLY), IDLE),
        None
    );
    assert_eq!(
        policy(1).next_model(&candidate(0, Some(0.0), EARLY), IDLE),
        None
    );
}

#[test]
fn late_answers_and_those_without_a_confidence_are_forwarded() {
    let late = Duration::from_millis(1_900);

    assert_eq!(
        policy(3).next_model(&candidate(0, Some(20.0), late), IDLE),
        None
    );
    assert_eq!(policy(3).next_model(&candidate(0, None, EARLY), IDLE), None);
}

fn escalations(pool: PoolLoad) -> usize {
    (0..100)
        .filter(|confidence| {
            let confidence = Some(f64::from(*confidence));
            policy(3)
                .next_model(&candidate(0, confidence, EARLY), pool)
                .is_some()
        })
        .count()
}

#[test]
fn queueing_delay_reduces_escalations() {
    let waiting = |millis| PoolLoad {
        queue_delay: Duration::from_millis(millis),
        ..IDLE
    };

    assert!(escalations(IDLE) > escalations(waiting(1_000)));
    assert!(escalations(waiting(1_000)) > escalations(waiting(1_600)));
    assert_eq!(escalations(waiting(1_900)), 0);
}

#[test]
fn utilization_reduces_escalations() {
    let utilized = |utilization| PoolLoad {
        utilization,
        ..IDLE
    };

    assert!(escalations(IDLE) > escalations(utilized(0.6)));
    assert!(escalations(utilized(0.6)) > escalations(utilized(0.9)));
    assert_eq!(escalations(utilized(1.1)), 0);
}

#[test]
fn long_event_gaps_reduce_escalations() {
    let at_gap = |millis| PoolLoad {
        event_gap: Duration::from_millis(millis),
        ..IDLE
    };

    assert_eq!(escalations(IDLE), escalations(at_gap(30)));
    assert!(escalations(IDLE) > escalations(at_gap(90)));
    assert_eq!(escalations(at_gap(300)), 0);
}

#[test]
fn a_single_measurement_sets_the_event_gap_and_an_old_one_expires() {
    let start = TimePoint::from_millis(10_000);
    let mut tracker = EventGapTracker::default();
    tracker.record(start, 8.0, Duration::from_millis(1_600));

    let now = tracker.report(start + Duration::from_secs(2));
    let later = tracker.report(start + Duration::from_secs(4));

    assert_eq!(now.mean(), Duration::from_millis(200));
    assert_eq!(later.entries, 0);
}
