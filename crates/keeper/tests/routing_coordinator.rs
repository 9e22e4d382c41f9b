//! Decisions of the leader from the reports of entries.

use std::sync::Arc;

use tokio::sync::oneshot;

use chestnutloft_core::routing::{
    RolloutOrder, RolloutStage, RoutingCommand, RoutingRevision, RoutingState, SegmentSuspicions,
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

fn call(entry: &str, age_ms: u64, bound_sessions: Vec<u64>) -> WatchCall {
    WatchCall {
        entry: Arc::from(entry),
        known: RoutingRevision::default(),
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
    let mut coordinator = RoutingCoordinator::new(CoordinatorSettings::default());
    coordinator.start_leading(at(0));
    coordinator.update_rollout_clocks(at(0), &state);
    watch(
        &mut coordinator,
        &state,
        call("entry-1", DURATION_MS - 1_000, Vec::new()),
    );
    watch(&mut coordinator, &state, call("entry-2", 500, Vec::new()));

    let commands = coordinator.due_commands(at(10), &state);

    assert_eq!(stages(&commands), vec![RolloutStage::Completed]);
}

#[test]
fn without_reports_the_replicated_elapsed_time_is_used() {
    let state = state();
    let mut coordinator = RoutingCoordinator::new(CoordinatorSettings::default());
    coordinator.start_leading(at(0));
    coordinator.update_rollout_clocks(at(0), &state);

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
