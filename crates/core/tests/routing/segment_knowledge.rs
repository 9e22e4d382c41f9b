use std::sync::Arc;

use chestnutloft_core::routing::{
    EndpointEnd, LostCall, SegmentAdmission, SegmentBlock, SegmentKnowledge, SegmentStage,
    SegmentSuspicion, SegmentSuspicions,
};
use chestnutloft_core::time::TimePoint;

const DEADLY: u64 = 66;

fn at(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}

fn block(stage: SegmentStage) -> SegmentBlock {
    SegmentBlock {
        segment: DEADLY,
        stage,
        failed_trials: 0,
    }
}

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| Arc::from(format!("entry-{number}")))
        .collect()
}

fn end(endpoint: &str) -> EndpointEnd {
    EndpointEnd {
        endpoint: Arc::from(endpoint),
        born_ms: 1,
        service: Arc::from("llm"),
        domain: Arc::from("a"),
        age_ms: 0,
        calls: Vec::new(),
    }
}

fn lost(call: u64) -> LostCall {
    LostCall {
        call,
        segments: vec![1, DEADLY],
    }
}

fn calls(ends: &[EndpointEnd]) -> Vec<u64> {
    let calls = ends.iter().flat_map(|end| &end.calls);
    calls.map(|call| call.call).collect()
}

#[test]
fn calls_with_a_blocked_segment_are_refused_and_others_admitted() {
    let mut knowledge = SegmentKnowledge::default();
    let names = names(3);
    knowledge.set_blocked(vec![block(SegmentStage::Blocked)]);

    let with_blocked = knowledge.admit(&[1, DEADLY], &names[0], &names);
    let others = knowledge.admit(&[1, 2], &names[0], &names);

    assert_eq!(with_blocked, SegmentAdmission::Blocked);
    assert_eq!(others, SegmentAdmission::Admitted);
}

#[test]
fn one_entry_sends_one_call_on_trial_at_a_time() {
    let names = names(20);
    let mut all: Vec<SegmentKnowledge> = vec![SegmentKnowledge::default(); names.len()];
    for knowledge in &mut all {
        knowledge.set_blocked(vec![block(SegmentStage::Trial { round: 3 })]);
    }
    let mut admit = |index: usize| all[index].admit(&[1, DEADLY], &names[index], &names);

    let first: Vec<_> = (0..names.len()).map(&mut admit).collect();
    let second: Vec<_> = (0..names.len()).map(&mut admit).collect();

    let trials = |all: &[SegmentAdmission]| {
        let all = all.iter();
        all.filter(|admission| **admission == SegmentAdmission::Trial)
            .count()
    };
    assert_eq!((trials(&first), trials(&second)), (1, 0));
}

#[test]
fn an_attempt_abandoned_before_the_end_of_its_endpoint_is_reported() {
    let mut knowledge = SegmentKnowledge::default();
    knowledge.record_abandoned(at(0), &Arc::from("e1"), lost(1));
    knowledge.record_abandoned(at(5_000), &Arc::from("e1"), lost(2));
    knowledge.record_abandoned(at(5_000), &Arc::from("e2"), lost(3));

    let has_calls = knowledge.record_end(at(5_200), end("e1"));

    assert!(has_calls);
    assert_eq!(calls(&knowledge.take_due_ends(at(5_300))), vec![2]);
}

#[test]
fn ends_are_reported_once_to_a_leader_and_again_to_the_next() {
    let mut knowledge = SegmentKnowledge::default();
    knowledge.record_abandoned(at(0), &Arc::from("e1"), lost(1));
    knowledge.record_end(at(0), end("e1"));

    let first = knowledge.take_due_ends(at(10));
    knowledge.confirm_ends();
    let second = knowledge.take_due_ends(at(20));
    knowledge.resend_all_ends();
    let to_next = knowledge.take_due_ends(at(30));

    assert_eq!((calls(&first), calls(&second)), (vec![1], vec![]));
    assert_eq!(calls(&to_next), vec![1]);
    assert_eq!(to_next[0].age_ms, 30);
}

#[test]
fn progress_from_before_a_block_is_not_reported() {
    let mut knowledge = SegmentKnowledge::default();
    knowledge.record_progress(at(0), &[DEADLY]);

    knowledge.set_blocked(vec![block(SegmentStage::Blocked)]);
    let before = knowledge.relevant_progress(at(10));
    knowledge.record_progress(at(20), &[DEADLY]);
    let after = knowledge.relevant_progress(at(30));

    assert!(before.is_empty());
    assert_eq!(after.len(), 1);
}

#[test]
fn a_call_with_a_segment_that_was_lost_twice_is_not_sent_again() {
    let mut knowledge = SegmentKnowledge::default();
    let suspicion = |segment, ends| SegmentSuspicion { segment, ends };
    knowledge.set_suspicions(SegmentSuspicions {
        segments: vec![suspicion(1, 1), suspicion(DEADLY, 2)],
        ended: Vec::new(),
    });

    assert!(knowledge.may_repeat(&[1, 2]));
    assert!(!knowledge.may_repeat(&[1, DEADLY]));
}

#[test]
fn a_call_on_trial_is_not_sent_again() {
    let mut knowledge = SegmentKnowledge::default();

    knowledge.set_blocked(vec![block(SegmentStage::Trial { round: 0 })]);

    assert!(!knowledge.may_repeat(&[1, DEADLY]));
    assert!(knowledge.may_repeat(&[1, 2]));
}

#[test]
fn remembered_progress_is_bounded() {
    let mut knowledge = SegmentKnowledge::default();
    for segment in 0..20_000 {
        knowledge.record_progress(at(segment), &[segment]);
    }
    knowledge.set_blocked(Vec::new());

    let all = (0..20_000).map(|segment| SegmentSuspicion { segment, ends: 1 });
    knowledge.set_suspicions(SegmentSuspicions {
        segments: all.collect(),
        ended: Vec::new(),
    });

    assert!(knowledge.relevant_progress(at(20_000)).len() <= 8_192);
}
