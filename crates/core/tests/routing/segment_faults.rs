use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    EndpointEnd, LostCall, SegmentBlock, SegmentChange, SegmentFaultDetector, SegmentFaultSettings,
    SegmentProgress, SegmentStage,
};
use chestnutloft_core::time::TimePoint;

const FIRST: u64 = 1;
const SUBJECT: u64 = 2;
const DEADLY: u64 = 66;
const POOL_SIZE: usize = 6;

fn at(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}

fn call(call: u64, segments: &[u64]) -> LostCall {
    LostCall {
        call,
        segments: segments.to_vec(),
    }
}

fn end(endpoint: u64, domain: &str, calls: Vec<LostCall>) -> EndpointEnd {
    EndpointEnd {
        endpoint: Arc::from(format!("e{endpoint}")),
        born_ms: 1,
        service: Arc::from("llm"),
        domain: Arc::from(domain),
        age_ms: 0,
        calls,
    }
}

fn blocked(segment: u64, stage: SegmentStage, failed_trials: u32) -> SegmentBlock {
    SegmentBlock {
        segment,
        stage,
        failed_trials,
    }
}

/// A detector with the blocks that it has called for.
struct Detection {
    detector: SegmentFaultDetector,
    blocks: BTreeMap<u64, SegmentBlock>,
}

impl Detection {
    fn new() -> Self {
        Self {
            detector: SegmentFaultDetector::new(SegmentFaultSettings::default()),
            blocks: BTreeMap::new(),
        }
    }

    fn lose(&mut self, ms: u64, endpoint: u64, calls: Vec<LostCall>) {
        let domain = ["a", "b", "c"][endpoint as usize % 3];
        self.detector
            .record_end(at(ms), end(endpoint, domain, calls));
        self.advance(ms);
    }

    fn progress(&mut self, ms: u64, segment: u64) {
        let progress = SegmentProgress { segment, age_ms: 0 };
        self.detector.record_progress(at(ms), progress);
    }

    fn advance(&mut self, ms: u64) {
        for change in self
            .detector
            .due_changes(at(ms), &self.blocks, |_| POOL_SIZE)
        {
            match change {
                SegmentChange::Set(block) => self.blocks.insert(block.segment, block),
                SegmentChange::Clear { segment } => self.blocks.remove(&segment),
            };
        }
    }

    /// Evaluates at `ms` and again once a candidate has settled.
    fn settle(&mut self, ms: u64) -> Vec<u64> {
        self.advance(ms);
        self.advance(ms + 200);
        self.blocks.keys().copied().collect()
    }

    /// Blocks [`DEADLY`] at 2,200 ms.
    fn with_block() -> Self {
        let mut detection = Self::new();
        for number in 0..3 {
            let calls = vec![call(number, &[FIRST, DEADLY])];
            detection.progress(number * 1_000, FIRST);
            detection.lose(number * 1_000, number, calls);
        }
        assert_eq!(detection.settle(2_000), vec![DEADLY]);
        detection.advance(2_300);
        detection
    }
}

#[test]
fn a_segment_is_blocked_after_three_calls_with_it_were_lost() {
    let mut detection = Detection::new();

    for number in 0..3 {
        assert!(detection.settle(number * 1_000).is_empty(), "{number}");
        detection.lose(
            number * 1_000 + 500,
            number,
            vec![call(number, &[FIRST + 10 * number, DEADLY])],
        );
    }

    assert_eq!(detection.settle(3_000), vec![DEADLY]);
}

#[test]
fn of_segments_that_are_always_lost_together_the_later_one_is_blocked() {
    let mut detection = Detection::new();

    for number in 0..3 {
        let calls = vec![call(number, &[FIRST, SUBJECT, DEADLY])];
        detection.lose(number * 1_000, number, calls);
    }

    assert_eq!(detection.settle(3_000), vec![DEADLY]);
}

#[test]
fn a_call_that_is_lost_again_beside_the_cause_does_not_get_its_segments_blocked() {
    let mut detection = Detection::new();

    for (ms, endpoint) in [(0, 0), (1_000, 1)] {
        let bystander = call(9, &[FIRST, SUBJECT]);
        let cause = call(1, &[FIRST, DEADLY]);
        detection.lose(ms, endpoint, vec![bystander, cause]);
    }
    for (ms, endpoint) in [(2_000, 2), (3_000, 3)] {
        detection.lose(ms, endpoint, vec![call(2, &[FIRST + 10, DEADLY])]);
    }

    assert_eq!(detection.settle(4_000), vec![DEADLY]);
}

#[test]
fn an_answer_that_went_on_clears_its_segments() {
    let mut detection = Detection::new();

    for number in 0..10 {
        detection.lose(number * 1_000, number, vec![call(number, &[FIRST])]);
        detection.progress(number * 1_000 + 300, FIRST);
    }

    assert!(detection.settle(11_000).is_empty());
}

#[test]
fn an_answer_reported_while_a_candidate_settles_prevents_the_block() {
    let mut detection = Detection::new();
    for number in 0..3 {
        detection.lose(number * 1_000, number, vec![call(number, &[FIRST])]);
    }

    detection.advance(2_050);
    detection.progress(2_100, FIRST);
    detection.advance(2_300);

    assert!(detection.blocks.is_empty());
}

#[test]
fn a_segment_that_was_answered_before_needs_more_ends() {
    let mut detection = Detection::new();
    detection.progress(0, DEADLY);

    for number in 1..=4 {
        detection.lose(number * 1_000, number, vec![call(number, &[DEADLY])]);
        detection.progress(0, DEADLY);
    }
    assert!(detection.settle(4_200).is_empty());
    detection.lose(5_000, 5, vec![call(5, &[DEADLY])]);

    assert_eq!(detection.settle(5_200), vec![DEADLY]);
}

#[test]
fn the_simultaneous_end_of_a_failure_domain_counts_against_no_segment() {
    let mut detection = Detection::new();

    for round in 0..5 {
        for endpoint in 0..3 {
            let number = round * 10 + endpoint;
            let calls = vec![call(number, &[SUBJECT])];
            let end = end(number, "a", calls);
            detection.detector.record_end(at(round * 5_000), end);
        }
    }

    assert!(detection.settle(30_000).is_empty());
}

#[test]
fn simultaneous_ends_count_once() {
    let mut detection = Detection::new();

    for endpoint in 0..3 {
        let calls = vec![call(endpoint, &[SUBJECT])];
        detection.lose(1_000, endpoint, calls);
    }

    assert!(detection.settle(2_000).is_empty());
}

#[test]
fn one_end_that_several_entries_report_counts_once() {
    let mut detection = Detection::new();

    for number in 0..6 {
        detection.lose(1_000 + number, 1, vec![call(number, &[SUBJECT])]);
    }

    assert!(detection.settle(2_000).is_empty());
}

#[test]
fn a_block_becomes_a_trial_and_a_failed_trial_a_longer_block() {
    let mut detection = Detection::with_block();
    let first = SegmentFaultSettings::default().block;

    detection.advance(2_300 + millis(first));
    let trial = blocked(DEADLY, SegmentStage::Trial { round: 0 }, 0);
    assert_eq!(detection.blocks[&DEADLY], trial);
    detection.advance(70_000);
    detection.lose(71_000, 9, vec![call(90, &[DEADLY])]);
    detection.advance(71_600);
    let renewed = blocked(DEADLY, SegmentStage::Blocked, 1);
    assert_eq!(detection.blocks[&DEADLY], renewed);
    detection.advance(71_700);
    detection.advance(71_700 + millis(first));

    assert_eq!(detection.blocks[&DEADLY], renewed);
}

#[test]
fn an_answer_on_trial_releases_the_segment() {
    let mut detection = Detection::with_block();
    detection.advance(70_000);

    detection.progress(71_000, DEADLY);

    assert!(detection.settle(71_100).is_empty());
}

#[test]
fn a_trial_without_calls_moves_to_another_entry() {
    let mut detection = Detection::with_block();
    detection.advance(70_000);

    detection.advance(70_600);
    detection.advance(81_000);

    let next = blocked(DEADLY, SegmentStage::Trial { round: 1 }, 0);
    assert_eq!(detection.blocks[&DEADLY], next);
}

#[test]
fn a_block_that_another_segment_explains_is_released() {
    let mut detection = Detection::new();
    for number in 0..3 {
        let calls = vec![
            call(number, &[FIRST, DEADLY]),
            call(100 + number, &[FIRST, FIRST, SUBJECT]),
        ];
        detection.lose(number * 1_000, number, calls);
    }
    assert_eq!(detection.settle(3_000), vec![SUBJECT]);

    detection.lose(4_000, 4, vec![call(4, &[DEADLY])]);

    detection.settle(4_200);
    assert_eq!(detection.settle(5_300), vec![DEADLY]);
}

#[test]
fn a_new_leader_keeps_blocks_while_it_waits_for_reports_of_progress() {
    let mut detection = Detection::with_block();
    detection.detector = SegmentFaultDetector::new(SegmentFaultSettings::default());

    for number in 0..6 {
        let other = if number < 3 { DEADLY } else { 7 };
        detection.lose(
            3_000 + number * 300,
            number,
            vec![call(number, &[FIRST, other])],
        );
        assert!(detection.blocks.contains_key(&DEADLY), "{number}");
    }
    detection.progress(4_700, FIRST);

    assert!(detection.settle(4_800).contains(&DEADLY));
}

#[test]
fn reports_are_bounded_and_expire() {
    let mut detection = Detection::new();
    for number in 0..1_000 {
        detection.lose(number, number, vec![call(number, &[1_000 + number])]);
    }
    let settings = SegmentFaultSettings::default();
    assert!(detection.detector.suspicions(at(1_000)).segments.len() <= settings.max_ends);

    let later = millis(settings.max_age) + 2_000;
    detection.lose(later, 5_000, vec![call(5_000, &[SUBJECT])]);

    assert_eq!(detection.detector.suspicions(at(later)).segments.len(), 1);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("a short duration")
}
