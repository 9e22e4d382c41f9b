//! Load: endpoints that crash or leave while they run long streams.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    CopyAnswer, CopyDecision, CopyTarget, EndpointProcess, EngineRule, MovePlace, RunCopySettings,
    RunMove, RunOutlook, RunProgress, SourceState, TerminationHistory, decide_copy,
    select_copy_target,
};
use chestnutloft_core::time::TimePoint;

const POOL: usize = 90;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn engine(token_bytes: u64) -> EngineRule {
    EngineRule {
        token_bytes,
        link_mbps: 88_000.0,
        has_moves: true,
        has_backups: true,
        ..EngineRule::default()
    }
}

fn cheap_memory() -> EngineRule {
    engine(18_432)
}

fn dear_memory() -> EngineRule {
    engine(327_680)
}

fn after_terminations(count: usize) -> TerminationHistory {
    let mut history = TerminationHistory::default();
    for number in 0..count {
        let process = EndpointProcess::new(&format!("w{number}"), 1);
        history.record(at(0), &Arc::from("llm"), process);
    }
    history
}

/// A run of 5 s with 12,000 tokens whose repetition would make it late.
fn long_run(history: &TerminationHistory) -> RunOutlook {
    let rest = seconds(5.0);
    RunOutlook {
        rest,
        tokens: 12_000.0,
        repeat_prefill: seconds(2.0),
        max_pause: seconds(1.2),
        loss_probability: history.loss_probability(at(0), "llm", POOL, rest),
        ..RunOutlook::default()
    }
}

fn leaving_run(rest_s: f64) -> RunOutlook {
    RunOutlook {
        is_leaving: true,
        rest: seconds(rest_s),
        ..long_run(&TerminationHistory::default())
    }
}

fn decide(engine: &EngineRule, run: &RunOutlook) -> CopyDecision {
    decide_copy(&RunCopySettings::default(), engine, run)
}

fn copied(handle: &str) -> CopyAnswer {
    CopyAnswer::Copied {
        handle: handle.to_owned(),
    }
}

/// A move whose run has been told to stop after a first copy.
fn stopping_move() -> RunMove {
    let mut moving = RunMove::default();
    moving.apply(&copied("h1"));
    moving.begin_stop();
    moving
}

/// Guards against copies of gigabytes per call where nothing has happened, and against lost streams
/// where a copy costs little.
#[test]
fn backups_follow_the_price_of_memory_and_the_signs_of_trouble() {
    for (terminations, cheap, dear) in [
        (0, CopyDecision::Neither, CopyDecision::Neither),
        (1, CopyDecision::BackUp, CopyDecision::Neither),
        (18, CopyDecision::BackUp, CopyDecision::BackUp),
    ] {
        let run = long_run(&after_terminations(terminations));

        assert_eq!(decide(&cheap_memory(), &run), cheap, "{terminations}");
        assert_eq!(decide(&dear_memory(), &run), dear, "{terminations}");
    }
}

/// Guards against copies of prompts that another endpoint processes again in time.
#[test]
fn run_that_is_repeated_in_time_is_not_backed_up() {
    let run = RunOutlook {
        repeat_prefill: seconds(1.0),
        ..long_run(&after_terminations(18))
    };

    assert_eq!(decide(&cheap_memory(), &run), CopyDecision::Neither);
}

/// Guards against copies for terminations that are long past or of another service.
#[test]
fn terminations_lose_their_weight() {
    let history = after_terminations(5);
    let probability = |millis, service| {
        history.loss_probability(at(millis), service, POOL, Duration::from_secs(5))
    };

    assert!(probability(10_000, "llm") < 0.4 * probability(0, "llm"));
    assert!(probability(36_000, "llm").abs() < f64::EPSILON);
    assert!(probability(0, "other").abs() < f64::EPSILON);
}

/// Guards against one crash that counts once for each call that it has cut.
#[test]
fn process_ends_once() {
    let mut history = after_terminations(1);

    history.record(at(5), &Arc::from("llm"), EndpointProcess::new("w0", 1));

    let once = after_terminations(1);
    let probability =
        |history: &TerminationHistory| history.loss_probability(at(5), "llm", POOL, seconds(5.0));
    assert!((probability(&history) - probability(&once)).abs() < 1e-12);
}

/// Guards against moves of streams that end before their endpoint, and of those that the declaration
/// does not offer moves for.
#[test]
fn only_long_rests_are_moved() {
    let unmovable = EngineRule {
        has_moves: false,
        ..cheap_memory()
    };

    assert_eq!(
        decide(&cheap_memory(), &leaving_run(3.0)),
        CopyDecision::Move
    );
    assert_eq!(
        decide(&cheap_memory(), &leaving_run(1.4)),
        CopyDecision::Neither
    );
    assert_eq!(decide(&unmovable, &leaving_run(3.0)), CopyDecision::Neither);
}

/// Guards against trust in an estimate that the stream has already passed, and in one above the
/// limit of the answer.
#[test]
fn rest_follows_the_estimate_until_it_is_passed() {
    let progress = |events, expected, max| RunProgress {
        events,
        event_tokens: 10,
        expected_tokens: expected,
        max_tokens: max,
        event_gap: seconds(0.1),
    };

    assert_eq!(progress(10, Some(400), None).rest(), seconds(3.0));
    assert_eq!(progress(40, Some(100), Some(500)).rest(), seconds(1.0));
    assert_eq!(progress(10, Some(400), Some(200)).rest(), seconds(1.0));
    assert_eq!(progress(0, None, Some(200)).rest(), seconds(2.0));
}

/// Guards against a second run of a call whose first one is still at work.
#[test]
fn run_at_work_goes_on_nowhere_else() {
    let mut copying = RunMove::default();
    let mut refused = stopping_move();
    let mut unknown = stopping_move();
    copying.apply(&copied("h1"));
    refused.apply(&CopyAnswer::InProgress);
    unknown.apply(&CopyAnswer::Unknown);

    for moving in [copying, stopping_move(), refused, unknown] {
        assert!(moving.places(SourceState::MayRun).is_empty(), "{moving:?}");
    }
}

/// Guards against a copy that is lost to a run whose endpoint ends in the middle of the move: the copy
/// is behind the run, and the destination makes the rest again.
#[test]
fn copy_behind_a_run_that_has_ended_is_used() {
    let mut unknown = stopping_move();
    unknown.apply(&CopyAnswer::Unknown);

    assert_eq!(unknown.places(SourceState::Ended), [MovePlace::Destination]);
    assert!(unknown.has_failed() && unknown.may_have_stopped());
}

/// Guards against streams that are lost when a move fails at either end.
#[test]
fn stopped_run_goes_on_where_its_memory_is() {
    let mut moved = stopping_move();
    let mut full = stopping_move();
    moved.apply(&copied("h1"));
    full.apply(&CopyAnswer::NoCapacity {
        handle: Some("h2".to_owned()),
    });

    let places = moved.places(SourceState::MayRun);
    assert_eq!(places, [MovePlace::Destination, MovePlace::Source]);
    assert_eq!(full.places(SourceState::MayRun), [MovePlace::Source]);
    assert_eq!(full.handle(), Some("h2"));
}

/// A refusal before the run was told to stop leaves it running, without a copy.
#[test]
fn refused_copy_has_no_place() {
    for answer in [
        CopyAnswer::NoCapacity { handle: None },
        CopyAnswer::NoRun,
        CopyAnswer::InProgress,
        CopyAnswer::Unknown,
    ] {
        let mut moving = RunMove::default();

        moving.apply(&answer);

        assert!(moving.has_failed() && !moving.may_have_stopped());
        assert!(moving.places(SourceState::Ended).is_empty(), "{answer:?}");
    }
}

/// Guards against runs that all move to the same few endpoints when a third of them leaves at once
/// and entries do not know of each other's choices.
#[test]
fn runs_of_leaving_endpoints_are_spread() {
    let ids: Vec<String> = (0..60).map(|number| format!("w{number}")).collect();
    let targets: Vec<CopyTarget<'_>> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| CopyTarget {
            id,
            domain: if number % 3 == 0 { "north" } else { "south" },
            load: 12.0 + (number % 4) as f64,
            slots: 24.0,
        })
        .collect();
    let mut received = vec![0_u32; targets.len()];

    for key in 0..300 {
        let index = select_copy_target("north", key, &targets).expect("a target");
        assert_eq!(targets[index].domain, "north");
        received[index] += 1;
    }

    let used = received.iter().filter(|count| **count > 0).count();
    assert!(used >= 15, "{received:?}");
    assert!(received.iter().all(|count| *count <= 40), "{received:?}");
}

/// Guards against moves to endpoints where the run would wait.
#[test]
fn targets_have_a_free_slot() {
    let target = |id, domain, load| CopyTarget {
        id,
        domain,
        load,
        slots: 8.0,
    };

    let far = [target("a", "north", 8.0), target("b", "south", 2.0)];
    let full = [target("a", "north", 8.0), target("b", "south", 9.0)];

    assert_eq!(select_copy_target("north", 1, &far), Some(1));
    assert_eq!(select_copy_target("north", 1, &full), None);
}
