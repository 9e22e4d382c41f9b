//! Decisions of the leader from the reports of entries.

use std::sync::Arc;

use tokio::sync::oneshot;

use chestnutloft_core::routing::{
    ArmCount, ArmKey, EndpointNotice, EndpointPhase, NoticeOutcome, RolloutOrder, RolloutStage,
    RouteDeclaration, RoutingCommand, RoutingRevision, RoutingState, SegmentSuspicions,
    ServiceRule, StoredDeclaration,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_keeper::routing_coordinator::{CoordinatorSettings, RoutingCoordinator};
use chestnutloft_wire::message::{
    RolloutAge, WatchCall, WatchReply, sessions_hash, suspicions_hash,
};

const DURATION_MS: u64 = 24_000;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: Arc::from("llm"),
        target: Arc::from("v2"),
        duration_ms: DURATION_MS,
    }
}

/// Replicated state after a restart of all keepers, with one second of the roll-out elapsed.
fn state() -> RoutingState {
    let mut state = RoutingState::default();
    state.apply(1, &RoutingCommand::StartRollout(order()));
    let progress = RoutingCommand::MoveRollout {
        service: order().service,
        target: order().target,
        stage: RolloutStage::Trial,
        elapsed_ms: 1_000,
    };
    state.apply(2, &progress);
    state
}

/// A keeper that leads since 0 ms.
fn leader_of(state: &RoutingState) -> RoutingCoordinator {
    let mut coordinator = RoutingCoordinator::new(CoordinatorSettings::default());
    coordinator.start_leading(at(0));
    coordinator.update_rollout_clocks(at(0), state);
    coordinator
}

/// Poll of an entry that knows of the roll-out, and so of the change that started it.
fn call(entry: &str, age_ms: u64, bound_sessions: Vec<u64>) -> WatchCall {
    WatchCall {
        entry: Arc::from(entry),
        known: RoutingRevision {
            index: 1,
            ..RoutingRevision::default()
        },
        peers_hash: 0,
        arms: None,
        rollouts: vec![RolloutAge {
            service: order().service,
            target: order().target,
            age_ms,
        }],
        bound_sessions,
        bound_hash: sessions_hash(&[]),
        ends: Vec::new(),
        progress: Vec::new(),
        suspicions_hash: suspicions_hash(&SegmentSuspicions::default()),
    }
}

fn watch(
    coordinator: &mut RoutingCoordinator,
    state: &RoutingState,
    call: WatchCall,
) -> WatchReply {
    let (reply, mut answer) = oneshot::channel();
    coordinator.watch(at(0), call, reply);
    coordinator.answer_watches(at(0), state);
    answer.try_recv().expect("an answer")
}

fn stages(commands: &[RoutingCommand]) -> Vec<RolloutStage> {
    let stage = |command: &RoutingCommand| match command {
        RoutingCommand::MoveRollout { stage, .. } => Some(*stage),
        _ => None,
    };
    commands.iter().filter_map(stage).collect()
}

#[test]
fn a_restarted_leader_takes_the_elapsed_time_of_a_roll_out_from_entries() {
    let state = state();
    let mut coordinator = leader_of(&state);
    watch(
        &mut coordinator,
        &state,
        call("entry-1", DURATION_MS - 1_000, Vec::new()),
    );
    watch(&mut coordinator, &state, call("entry-2", 500, Vec::new()));

    let commands = coordinator.due_commands(at(510), &state);

    assert_eq!(stages(&commands), vec![RolloutStage::Shift]);
}

fn move_to(stage: RolloutStage) -> RoutingCommand {
    RoutingCommand::MoveRollout {
        service: order().service,
        target: order().target,
        stage,
        elapsed_ms: 2_000,
    }
}

/// A leader of a state with a roll-out that was rolled back at 0 ms.
fn leader_after_roll_back() -> (RoutingCoordinator, RoutingState) {
    let mut state = state();
    let mut coordinator = leader_of(&state);
    state.apply(3, &move_to(RolloutStage::RolledBack));
    coordinator.update_rollout_clocks(at(0), &state);
    (coordinator, state)
}

/// Guards against an order that is acknowledged and never carried out.
#[test]
fn order_after_a_roll_back_is_new_once_it_cannot_be_a_resent_one() {
    let (coordinator, state) = leader_after_roll_back();

    let resent = coordinator.rollout_command(at(4_999), &state, order());
    let new = coordinator.rollout_command(at(5_000), &state, order());

    assert_eq!(resent, RoutingCommand::StartRollout(order()));
    assert_eq!(new, RoutingCommand::RestartRollout(order()));
}

#[test]
fn order_that_is_carried_out_is_not_new() {
    let state = state();
    let coordinator = leader_of(&state);

    let command = coordinator.rollout_command(at(20_000), &state, order());

    assert_eq!(command, RoutingCommand::StartRollout(order()));
}

/// Guards against a second roll-out that ends by the failures and the time of the first one.
#[test]
fn roll_out_that_starts_again_counts_neither_time_nor_failures_of_the_first() {
    let (mut coordinator, mut state) = leader_after_roll_back();
    let key = ArmKey {
        service: order().service,
        version: order().target,
        route: Arc::from("r"),
    };
    let mut failures = ArmCount::default();
    (0..20).for_each(|_| failures.record(None));
    let mut report = call("entry-1", 0, Vec::new());
    report.rollouts.clear();
    report.known.index = 3;
    report.arms = Some(vec![(key, failures)]);
    state.apply(4, &RoutingCommand::RestartRollout(order()));
    coordinator.update_rollout_clocks(at(9_000), &state);

    watch(&mut coordinator, &state, report.clone());
    let early = coordinator.due_commands(at(10_500), &state);
    report.known.index = 4;
    watch(&mut coordinator, &state, report);
    let late = coordinator.due_commands(at(11_000), &state);

    assert_eq!(stages(&early), vec![RolloutStage::Trial]);
    assert_eq!(stages(&late), vec![RolloutStage::RolledBack]);
}

/// Guards against failures of a version that was rolled back which make the next one look sound.
#[test]
fn next_version_is_not_compared_with_one_that_was_rolled_back() {
    let (mut coordinator, mut state) = leader_after_roll_back();
    let next = RolloutOrder {
        target: Arc::from("v3"),
        ..order()
    };
    state.apply(4, &RoutingCommand::StartRollout(next));
    coordinator.update_rollout_clocks(at(0), &state);
    let mut report = call("entry-1", 0, Vec::new());
    report.rollouts.clear();
    report.known.index = 4;
    report.arms = Some(vec![arm("v1", 0), arm(&order().target, 30), arm("v3", 10)]);

    watch(&mut coordinator, &state, report);
    let commands = coordinator.due_commands(at(1_500), &state);

    assert_eq!(stages(&commands), vec![RolloutStage::RolledBack]);
}

/// Outcomes of 40 answers on version `version`.
fn arm(version: &str, failed: u32) -> (ArmKey, ArmCount) {
    let key = ArmKey {
        service: order().service,
        version: Arc::from(version),
        route: Arc::from("r"),
    };
    let mut count = ArmCount::default();
    (0..40).for_each(|number| count.record((number >= failed).then_some(0.1)));
    (key, count)
}

/// Guards against a roll-out that a new leader completes by the time alone, before the entries have
/// told it of the outcomes (review/12).
#[test]
fn new_leader_completes_no_roll_out_before_it_has_reports() {
    let mut state = state();
    state.apply(
        3,
        &RoutingCommand::MoveRollout {
            service: order().service,
            target: order().target,
            stage: RolloutStage::Trial,
            elapsed_ms: DURATION_MS - 100,
        },
    );
    let report = |entry, arms| WatchCall {
        arms: Some(arms),
        ..call(entry, 0, Vec::new())
    };

    let mut silent = leader_of(&state);
    let without_reports = stages(&silent.due_commands(at(600), &state));
    assert_eq!(without_reports, vec![]);

    for (failed, expected) in [(0, RolloutStage::Shift), (10, RolloutStage::RolledBack)] {
        let mut coordinator = leader_of(&state);
        watch(
            &mut coordinator,
            &state,
            report("entry-1", vec![arm("v1", 0)]),
        );
        let with_first_report = stages(&coordinator.due_commands(at(20), &state));
        let all = vec![arm("v1", 0), arm("v2", failed)];
        watch(&mut coordinator, &state, report("entry-2", all));
        let with_all_reports = stages(&coordinator.due_commands(at(520), &state));

        assert_eq!(with_first_report, vec![]);
        assert_eq!(with_all_reports, vec![expected]);
    }
}

/// Guards against a roll-out that a new leader completes from its trial: the old version's endpoints,
/// which stop at once, would cut their calls, and the new version has had no load before (review/12).
#[test]
fn late_roll_out_has_its_whole_shift_before_it_is_completed() {
    let mut state = state();
    let mut coordinator = leader_of(&state);
    watch(
        &mut coordinator,
        &state,
        call("entry-1", DURATION_MS, Vec::new()),
    );
    let mut changes = Vec::new();
    for millis in (510..4_000).step_by(10) {
        for command in coordinator.due_commands(at(millis), &state) {
            let before = state.rollouts["llm"].stage;
            state.apply(state.changed_at + 1, &command);
            if state.rollouts["llm"].stage != before {
                changes.push((millis, state.rollouts["llm"].stage));
            }
        }
    }

    // The shift of a roll-out of 24 s takes 1.7 s.
    assert_eq!(
        changes,
        [(510, RolloutStage::Shift), (2_210, RolloutStage::Completed)]
    );
}

/// Guards against a second roll-out that is completed at once by an entry that still runs the first.
#[test]
fn entry_that_still_runs_the_first_roll_out_does_not_advance_the_second() {
    let (mut coordinator, mut state) = leader_after_roll_back();
    state.apply(4, &RoutingCommand::RestartRollout(order()));
    coordinator.update_rollout_clocks(at(0), &state);
    let mut behind = call("entry-1", DURATION_MS, Vec::new());
    behind.known.index = 2;

    watch(&mut coordinator, &state, behind);
    let commands = coordinator.due_commands(at(1_500), &state);

    assert_eq!(stages(&commands), vec![RolloutStage::Trial]);
}

#[test]
fn without_reports_the_replicated_elapsed_time_is_used() {
    let state = state();
    let mut coordinator = leader_of(&state);

    let commands = coordinator.due_commands(at(1_500), &state);

    assert_eq!(stages(&commands), vec![RolloutStage::Trial]);
}

#[test]
fn sessions_bound_at_one_entry_are_sent_to_other_entries() {
    let state = state();
    let mut coordinator = RoutingCoordinator::new(CoordinatorSettings::default());
    coordinator.start_leading(at(0));
    watch(&mut coordinator, &state, call("entry-1", 10, vec![7, 9]));

    let reply = watch(&mut coordinator, &state, call("entry-2", 10, vec![8]));

    let WatchReply::Current { bound_sessions, .. } = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(bound_sessions, Some(vec![7, 8, 9]));
}

fn notice(id: &str, service: &str, born_ms: u64) -> EndpointNotice {
    EndpointNotice {
        id: Arc::from(id),
        born_ms,
        sequence: 1,
        service: Arc::from(service),
        address: Arc::from("10.0.0.9:80"),
        domain: Arc::from("north"),
        version: Arc::from("v1"),
        slots: 8,
        phase: EndpointPhase::Ready,
        cold_left_ms: 0,
        models: None,
    }
}

fn declare(service: &str) -> RoutingCommand {
    let declaration = RouteDeclaration {
        number: 1,
        services: vec![ServiceRule {
            name: Arc::from(service),
            health_path: Arc::from("/health"),
            max_connections: 8,
            cold_ms: 0,
            cold_per_s: 0.0,
            models: Vec::new(),
            engine: None,
        }],
        ..RouteDeclaration::default()
    };
    RoutingCommand::Declare(StoredDeclaration {
        declaration: Arc::new(declaration),
        text: Arc::from([]),
    })
}

#[test]
fn a_notice_for_an_undeclared_service_does_not_take_the_address_of_an_endpoint() {
    let mut coordinator = RoutingCoordinator::new(CoordinatorSettings::default());
    let mut state = RoutingState::default();
    state.apply(1, &declare("llm"));
    state.apply(2, &RoutingCommand::Announce(notice("a", "llm", 100)));

    let foreign = coordinator.record_notice(at(0), &state, &notice("b", "other", 200));
    let own = coordinator.record_notice(at(10), &state, &notice("a", "llm", 100));

    assert_eq!(foreign, NoticeOutcome::Stale);
    assert_eq!(own, NoticeOutcome::Refreshes);
}

#[test]
fn an_endpoint_whose_service_is_no_longer_declared_can_still_drain() {
    let mut coordinator = RoutingCoordinator::new(CoordinatorSettings::default());
    let mut state = RoutingState::default();
    state.apply(1, &RoutingCommand::Announce(notice("a", "llm", 100)));
    state.apply(2, &declare("other"));
    let draining = EndpointNotice {
        phase: EndpointPhase::Draining,
        sequence: 2,
        ..notice("a", "llm", 100)
    };

    let outcome = coordinator.record_notice(at(0), &state, &draining);

    assert_eq!(outcome, NoticeOutcome::Changes);
}

/// Guards against an endpoint that is cut off from the keepers for longer than `endpoint_silence` and
/// never used again, because it did not restart.
#[test]
fn endpoint_that_was_cut_off_is_used_again_after_its_next_notice() {
    let mut coordinator = RoutingCoordinator::new(CoordinatorSettings::default());
    let mut state = RoutingState::default();
    coordinator.start_leading(at(0));
    state.apply(1, &RoutingCommand::Announce(notice("a", "llm", 100)));
    for command in coordinator.due_commands(at(30_000), &state) {
        state.apply(2, &command);
    }
    let while_silent = state.directory.get("a").map(|known| known.notice.phase);

    let next = EndpointNotice {
        sequence: 2,
        ..notice("a", "llm", 100)
    };
    let outcome = coordinator.record_notice(at(31_000), &state, &next);
    state.apply(3, &RoutingCommand::Announce(next));

    let known = state.directory.get("a").map(|known| known.notice.phase);
    assert_eq!(while_silent, Some(EndpointPhase::Gone));
    assert_eq!(outcome, NoticeOutcome::Changes);
    assert_eq!(known, Some(EndpointPhase::Ready));
}

/// A notice of an endpoint that stays cold for `cold_left_ms`.
fn cold(sequence: u64, cold_left_ms: u64) -> EndpointNotice {
    EndpointNotice {
        sequence,
        cold_left_ms,
        ..notice("a", "llm", 100)
    }
}

/// Records `notice` as the leader does and applies it if it is a change. Returns whether entries are
/// sent the endpoint.
fn announce(
    coordinator: &mut RoutingCoordinator,
    state: &mut RoutingState,
    now: TimePoint,
    notice: EndpointNotice,
) -> bool {
    let index = state.changed_at;
    if coordinator.record_notice(now, state, &notice) == NoticeOutcome::Changes {
        state.apply(index + 1, &RoutingCommand::Announce(notice));
    }
    state.changed_at > index
}

/// Guards against the full share of calls for an endpoint that turns cold again, after a first cold
/// time that was as long (review/11).
#[test]
fn endpoint_that_turns_cold_again_is_sent_to_entries() {
    let mut state = RoutingState::default();
    let mut coordinator = leader_of(&state);
    let mut announce = |millis, notice| announce(&mut coordinator, &mut state, at(millis), notice);

    assert!(announce(0, cold(1, 3_000)));
    assert!(!announce(1_200, cold(2, 1_800)));
    assert!(!announce(2_600, cold(3, 600)));
    assert!(!announce(3_600, cold(4, 0)));

    // Cold again for as long, and before the end of that once more for a shorter time.
    assert!(announce(12_000, cold(5, 2_700)));
    assert!(!announce(13_200, cold(6, 1_500)));
    assert!(announce(14_400, cold(7, 1_500)));
}

/// Guards against a new leader that takes a cold endpoint for one that its entries know as cold.
#[test]
fn new_leader_sends_cold_endpoints_to_entries() {
    let mut state = RoutingState::default();
    let mut coordinator = leader_of(&state);
    announce(&mut coordinator, &mut state, at(0), cold(1, 3_000));
    coordinator.start_leading(at(9_000));

    let is_sent_cold = announce(&mut coordinator, &mut state, at(9_500), cold(2, 2_700));
    let is_sent_again = announce(&mut coordinator, &mut state, at(10_700), cold(3, 1_500));

    assert!(is_sent_cold);
    assert!(!is_sent_again);
}
