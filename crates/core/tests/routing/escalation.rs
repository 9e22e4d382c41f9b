use std::time::Duration;

use chestnutloft_core::admission::ClassRank;
use chestnutloft_core::routing::{
    CallTokens, ClassLoadBounds, EscalationCandidate, EscalationPolicy, EscalationSettings,
    EventGapTracker, FirstDelays, IdleGap, PoolLoad,
};
use chestnutloft_core::time::TimePoint;

const TARGET_LATENCY: Duration = Duration::from_secs(2);
const EARLY: Duration = Duration::from_millis(100);
const IDLE: PoolLoad = PoolLoad {
    queue_delay: Duration::from_millis(20),
    utilization: 0.1,
    slowdown: 1.0,
};
/// Cost of three models, smallest first.
const COSTS: [f64; 3] = [0.015, 0.12, 0.23];
/// A long answer to a short prompt.
const PLAN: CallTokens = CallTokens {
    prompt: 800.0,
    output: 280.0,
};
/// A few words on a long prompt: dear to read, and worth little.
const LABEL: CallTokens = CallTokens {
    prompt: 2_400.0,
    output: 20.0,
};

fn candidate(
    model_index: usize,
    confidence: Option<f64>,
    elapsed: Duration,
) -> EscalationCandidate {
    EscalationCandidate {
        model_index,
        confidence,
        tokens: PLAN,
        elapsed,
        target_latency: TARGET_LATENCY,
        expected_delay: Duration::ZERO,
    }
}

fn policy(models: usize) -> EscalationPolicy {
    EscalationPolicy::new(EscalationSettings::default(), COSTS[..models].to_vec())
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
    escalations_of(PLAN, pool)
}

/// Number of calls that are escalated, out of one for each full point of confidence.
fn escalations_of(tokens: CallTokens, pool: PoolLoad) -> usize {
    (0..100)
        .filter(|confidence| {
            let answer = EscalationCandidate {
                tokens,
                ..candidate(0, Some(f64::from(*confidence)), EARLY)
            };
            policy(3).next_model(&answer, pool).is_some()
        })
        .count()
}

#[test]
fn an_escalation_has_to_pay_for_its_price() {
    let of_plans = escalations_of(PLAN, IDLE);
    let of_labels = escalations_of(LABEL, IDLE);

    assert!(of_labels + 10 <= of_plans, "{of_labels}, {of_plans}");
}

#[test]
fn a_filling_pool_gives_up_first_what_gains_least_for_its_price() {
    let filling = PoolLoad {
        slowdown: 4.5,
        ..IDLE
    };

    let lost_share = |tokens| {
        let idle = escalations_of(tokens, IDLE) as f64;
        1.0 - escalations_of(tokens, filling) as f64 / idle
    };

    assert!(lost_share(PLAN) < 0.1, "{}", lost_share(PLAN));
    assert!(lost_share(LABEL) > 2.0 * lost_share(PLAN));
}

#[test]
fn models_without_a_declared_cost_are_used_for_uncertain_answers_only() {
    let policy = EscalationPolicy::new(EscalationSettings::default(), vec![0.0; 3]);

    let uncertain = policy.next_model(&candidate(0, Some(60.0), EARLY), IDLE);
    let certain = policy.next_model(&candidate(0, Some(95.0), EARLY), IDLE);

    assert_eq!(uncertain, Some(2));
    assert_eq!(certain, None);
}

#[test]
fn queueing_delay_reduces_escalations() {
    let waiting = |millis| PoolLoad {
        queue_delay: Duration::from_millis(millis),
        ..IDLE
    };

    assert!(escalations(IDLE) > escalations(waiting(700)));
    assert!(escalations(waiting(700)) > escalations(waiting(1_100)));
    assert_eq!(escalations(waiting(1_300)), 0);
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
fn slow_streams_reduce_escalations() {
    let slowed_down = |slowdown| PoolLoad { slowdown, ..IDLE };

    assert_eq!(escalations(IDLE), escalations(slowed_down(1.9)));
    assert!(escalations(IDLE) > escalations(slowed_down(5.0)));
    assert_eq!(escalations(slowed_down(7.5)), 0);
}

#[test]
fn streams_are_compared_with_those_of_the_same_pool_when_idle() {
    let mut gap = IdleGap::default();
    for step in 0..200 {
        let is_idle = step % 5 == 0;
        gap.record(Duration::from_millis(if is_idle { 140 } else { 280 }));
    }

    let idle = gap.slowdown(Duration::from_millis(140));
    let busy = gap.slowdown(Duration::from_millis(420));

    assert!((0.8..1.2).contains(&idle), "{idle}");
    assert!((2.4..3.6).contains(&busy), "{busy}");
}

#[test]
fn without_measurements_streams_count_as_fast() {
    let gap = IdleGap::default();

    assert!((gap.slowdown(Duration::from_millis(400)) - 1.0).abs() < f64::EPSILON);
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

/// Guards against less urgent calls that take the time of the largest model in a filling pool, so
/// that more urgent ones are relayed unchanged.
#[test]
fn in_a_filling_pool_the_least_urgent_class_stops_escalating_first() {
    let escalates = |rank, load: f64| {
        let bounds = ClassLoadBounds::default().of_rank(rank);
        let mut settings = EscalationSettings::default();
        (settings.busy_load, settings.full_load) = (bounds.busy, bounds.full);
        let policy = EscalationPolicy::new(settings, COSTS.to_vec());
        let pool = PoolLoad {
            utilization: load,
            ..IDLE
        };
        policy
            .next_model(&candidate(0, Some(20.0), EARLY), pool)
            .is_some()
    };
    let loads = [0.3, 0.7, 1.0, 1.3];

    let of_rank = |rank| loads.map(|load| escalates(rank, load));

    assert_eq!(of_rank(ClassRank::MOST_URGENT), [true, true, true, false]);
    assert_eq!(of_rank(ClassRank::MIDDLE), [true, true, false, false]);
    assert_eq!(
        of_rank(ClassRank::LEAST_URGENT),
        [true, false, false, false]
    );
}

/// Guards against an answer in time that is discarded for one that can only be late, where prompts
/// take long to process or wait behind others.
#[test]
fn an_escalation_whose_answer_could_only_be_late_is_not_made() {
    let mut answer = candidate(0, Some(20.0), EARLY);

    for (delay, next) in [
        (Duration::from_millis(1_900), Some(2)),
        (TARGET_LATENCY, None),
    ] {
        answer.expected_delay = delay;
        assert_eq!(policy(3).next_model(&answer, IDLE), next);
    }
}

/// Guards against long prompts that the smallest model reads first, which leaves too little time for
/// the largest one, and against calls that start with the largest model in a full pool.
#[test]
fn call_starts_with_the_largest_model_if_there_is_no_time_for_both() {
    let first = |smallest, largest, load| {
        let delays = FirstDelays {
            smallest: Duration::from_millis(smallest),
            largest: Duration::from_millis(largest),
            target_latency: TARGET_LATENCY,
        };
        let pool = PoolLoad {
            utilization: load,
            ..IDLE
        };
        policy(3).first_model(&delays, pool)
    };

    assert_eq!(first(700, 1_500, 0.1), 2);
    assert_eq!(first(300, 1_500, 0.1), 0, "there is time for both");
    assert_eq!(first(700, 1_950, 0.1), 0, "the largest would be late");
    assert_eq!(first(700, 1_500, 1.1), 0, "the pool is full");
}
