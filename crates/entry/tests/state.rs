//! Endpoint choice of an entry during roll-outs, ends of endpoints, and what endpoints say of
//! themselves, without a network.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    DeclarationUpdate, DirectoryChange, EndedEndpoint, EndpointNotice, EndpointPhase,
    EndpointProcess, LeavingStatement, LoadSummary, LostCall, ModelLane, PoolEndpoint,
    RolloutOrder, RolloutStage, RolloutState, RoutingCommand, RoutingRevision, RoutingState,
    RoutingUpdate, SentModel, ServiceRule, SessionHash, session_hash,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_entry::forward::choice::{
    ChosenEndpoint, NoEndpoint, PromptSize, SelectionRequest,
};
use chestnutloft_entry::forward::codec::SelfReport;
use chestnutloft_entry::forward::settings::ForwardSettings;
use chestnutloft_entry::forward::state::EntryState;

/// Number of sessions: enough for some of them to fall into the share of a trial.
const SESSIONS: u64 = 200;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn service() -> ServiceRule {
    ServiceRule {
        name: Arc::from("llm"),
        health_path: Arc::from("/health"),
        max_connections: 360,
        cold_ms: 3_000,
        cold_per_s: 10.0,
        models: Vec::new(),
        engine: None,
    }
}

fn endpoint(id: &str, version: &str, index: u64, cold_left_ms: u64) -> DirectoryChange {
    let notice = EndpointNotice {
        id: Arc::from(id),
        born_ms: 1,
        sequence: 1,
        service: Arc::from("llm"),
        address: Arc::from(format!("10.0.0.{index}:80").as_str()),
        domain: Arc::from("north"),
        version: Arc::from(version),
        slots: 64,
        phase: EndpointPhase::Ready,
        cold_left_ms,
        models: None,
    };
    DirectoryChange {
        endpoint: PoolEndpoint {
            notice,
            changed_at: index,
        },
        cold_left_ms,
    }
}

fn rollout(stage: RolloutStage, index: u64) -> RolloutState {
    RolloutState {
        order: RolloutOrder {
            service: Arc::from("llm"),
            target: Arc::from("v2"),
            duration_ms: 24_000,
        },
        stage,
        elapsed_ms: 0,
        changed_at: index,
        stage_began_ms: 0,
        rejected: Vec::new(),
    }
}

/// A state with one endpoint, which runs version v1.
fn state_with_v1_endpoint() -> EntryState {
    let mut state = EntryState::new(&ForwardSettings::default());
    let update = RoutingUpdate {
        index: 1,
        declaration: Some(Arc::new(DeclarationUpdate {
            number: 1,
            is_whole: true,
            routes: Vec::new(),
            dropped: Vec::new(),
            services: Some(vec![service()]),
            workspaces: None,
            limits: chestnutloft_core::routing::CallerLimits::default(),
        })),
        endpoints: vec![endpoint("old", "v1", 1, 0)],
        ..RoutingUpdate::default()
    };
    state.apply(at(0), at(0), update);
    state
}

/// Starts a trial of version v2 at `now`, with `endpoints`.
fn start_trial(state: &mut EntryState, now: TimePoint, endpoints: Vec<DirectoryChange>) {
    let trial = RoutingUpdate {
        index: 2,
        endpoints,
        rollouts: Some(vec![rollout(RolloutStage::Trial, 2)]),
        ..RoutingUpdate::default()
    };
    state.apply(now, now, trial);
}

fn choose(
    state: &mut EntryState,
    now: TimePoint,
    session: u64,
) -> Result<ChosenEndpoint, NoEndpoint> {
    let service = service();
    let tried = BTreeSet::new();
    let request = SelectionRequest {
        service: &service,
        session,
        prompt: PromptSize::default(),
        lane: ModelLane::Any,
        sent_model: SentModel::Unnamed(0),
        passed_models: &[],
        tried: &tried,
        output_tokens: 0.0,
        max_pause: std::time::Duration::from_secs(2),
        limits: chestnutloft_core::admission::CapacityLimits::LastResort,
    };
    state.choose(now, &request)
}

fn version_of(state: &mut EntryState, now: TimePoint, session: u64) -> String {
    let chosen = choose(state, now, session).expect("an endpoint should be available");
    chosen.version.to_string()
}

#[test]
fn session_started_before_target_version_was_available_stays_on_old_version() {
    let mut state = state_with_v1_endpoint();
    start_trial(&mut state, at(10), Vec::new());
    let versions_before: Vec<String> = (0..SESSIONS)
        .map(|session| version_of(&mut state, at(20), session))
        .collect();
    let target_available = RoutingUpdate {
        index: 3,
        endpoints: vec![endpoint("new", "v2", 3, 0)],
        ..RoutingUpdate::default()
    };
    state.apply(at(500), at(500), target_available);

    let versions_after: Vec<String> = (0..SESSIONS)
        .map(|session| version_of(&mut state, at(1_600), session))
        .collect();
    let new_sessions =
        (SESSIONS..2 * SESSIONS).map(|session| version_of(&mut state, at(1_600), session));

    assert_eq!(versions_before, versions_after);
    assert!(new_sessions.into_iter().any(|version| version == "v2"));
}

#[test]
fn new_trial_sessions_fall_back_to_old_version_while_target_is_cold() {
    let mut state = state_with_v1_endpoint();
    start_trial(&mut state, at(10), vec![endpoint("new", "v2", 2, 3_000)]);

    let refused = (0..20 * SESSIONS)
        .filter(|session| match choose(&mut state, at(1_500), *session) {
            Ok(chosen) => {
                state.start_attempt(at(1_500), &chosen.id, 1.0);
                state.finish_attempt(&chosen.id);
                false
            }
            Err(_) => true,
        })
        .count();

    assert_eq!(refused, 0);
}

#[test]
fn session_keeps_its_version_for_the_idle_time_after_its_last_call_ended() {
    let mut state = state_with_v1_endpoint();
    let idle_timeout = Duration::from_secs(5);
    let _ = (0..SESSIONS)
        .map(|session| version_of(&mut state, at(20), session))
        .count();
    start_trial(&mut state, at(1_000), vec![endpoint("new", "v2", 2, 0)]);
    for session in 0..SESSIONS {
        state.record_session_end(at(4_000), "llm", session);
    }

    let later = at(4_000) + idle_timeout.mul_f64(0.9);
    let moved = (0..SESSIONS).filter(|session| version_of(&mut state, later, *session) == "v2");

    assert_eq!(moved.count(), 0);
}

/// Sessions that other entries serve are known by the keepers' list only. A roll-out of another
/// service must not release them.
#[test]
fn sessions_pinned_by_other_entries_stay_on_the_old_version_when_another_service_is_rolled_out() {
    let mut state = state_with_v1_endpoint();
    start_trial(&mut state, at(10), vec![endpoint("new", "v2", 2, 0)]);
    let pinned: Vec<SessionHash> = (0..SESSIONS).map(|key| session_hash("llm", key)).collect();
    state.bind_sessions(&pinned);
    let mut other = rollout(RolloutStage::Trial, 3);
    other.order.service = Arc::from("orders");
    let other_trial = RoutingUpdate {
        index: 3,
        rollouts: Some(vec![rollout(RolloutStage::Trial, 2), other]),
        ..RoutingUpdate::default()
    };
    state.apply(at(500), at(500), other_trial);

    let moved = (0..SESSIONS).filter(|session| version_of(&mut state, at(1_600), *session) == "v2");

    assert_eq!(moved.count(), 0);
}

#[test]
fn outcomes_of_a_roll_out_are_reported_again_after_a_failed_poll() {
    let mut state = state_with_v1_endpoint();
    start_trial(&mut state, at(10), Vec::new());
    let (service, version) = (Arc::from("llm"), Arc::from("v1"));
    state.record_arm(&service, &version, "route/model", None);

    let first = state.take_arm_counts();
    let without_failure = state.take_arm_counts();
    state.resend_arm_counts();
    let after_failure = state.take_arm_counts();

    assert_eq!(without_failure, None);
    assert_eq!(after_failure, first);
    assert!(first.is_some());
}

/// Guards against a second roll-out that ends by the failures of the first one.
#[test]
fn outcomes_of_a_roll_out_that_was_rolled_back_do_not_count_for_the_next() {
    let mut state = state_with_v1_endpoint();
    start_trial(&mut state, at(10), Vec::new());
    let record = |state: &mut EntryState, version: &str| {
        state.record_arm(&Arc::from("llm"), &Arc::from(version), "r", None);
    };
    record(&mut state, "v1");
    record(&mut state, "v2");
    for (index, stage) in [(3, RolloutStage::RolledBack), (4, RolloutStage::Trial)] {
        let update = RoutingUpdate {
            index,
            rollouts: Some(vec![rollout(stage, index)]),
            ..RoutingUpdate::default()
        };
        state.apply(at(index), at(index), update);
    }

    let counts = state.take_arm_counts().expect("counts");

    let versions: Vec<&str> = counts.iter().map(|(key, _)| &*key.version).collect();
    assert_eq!(versions, ["v1"]);
}

/// The roll-outs that a keeper sends after `commands`.
fn rollouts_after(commands: &[RoutingCommand]) -> RoutingUpdate {
    let mut routing = RoutingState::default();
    for (index, command) in (10..).zip(commands) {
        routing.apply(index, command);
    }
    routing.update_from(RoutingRevision::default(), None, |_| unreachable!())
}

/// Orders a roll-out of version `target`.
fn start(target: &str) -> RoutingCommand {
    RoutingCommand::StartRollout(RolloutOrder {
        target: Arc::from(target),
        ..rollout(RolloutStage::Trial, 0).order
    })
}

/// Records the stage of the roll-out of version `target`.
fn advance(target: &str, stage: RolloutStage) -> RoutingCommand {
    RoutingCommand::MoveRollout {
        service: Arc::from("llm"),
        target: Arc::from(target),
        stage,
        elapsed_ms: 5_000,
    }
}

/// Endpoints that sessions go to at versions v1, v2 and v3 after `commands`.
fn chosen_after(commands: &[RoutingCommand]) -> BTreeSet<Arc<str>> {
    let mut state = state_with_v1_endpoint();
    let update = RoutingUpdate {
        endpoints: vec![
            endpoint("second", "v2", 2, 0),
            endpoint("third", "v3", 3, 0),
        ],
        ..rollouts_after(commands)
    };
    state.apply(at(10), at(10), update);
    let mut chosen = BTreeSet::new();
    for session in 0..SESSIONS {
        if let Ok(endpoint) = choose(&mut state, at(2_000), session) {
            state.start_attempt(at(2_000), &endpoint.id, 1.0);
            chosen.insert(endpoint.id);
        }
    }
    chosen
}

/// Guards against calls for a version that was rolled back, once another roll-out of its service is
/// ordered (review/14).
#[test]
fn rolled_back_version_gets_no_calls_during_later_roll_outs() {
    let rolled_back = [start("v2"), advance("v2", RolloutStage::RolledBack)];
    let next_stages = [
        RolloutStage::Trial,
        RolloutStage::Shift,
        RolloutStage::Completed,
        RolloutStage::RolledBack,
    ];

    for stage in next_stages {
        let mut commands = rolled_back.to_vec();
        commands.extend([start("v3"), advance("v3", stage)]);

        let chosen = chosen_after(&commands);

        assert!(!chosen.contains("second"), "{stage:?}: {chosen:?}");
        assert!(!chosen.is_empty(), "{stage:?}");
    }
}

/// A version that is ordered again after it was rolled back gets calls again.
#[test]
fn version_that_is_ordered_again_gets_calls() {
    let commands = [
        start("v2"),
        advance("v2", RolloutStage::RolledBack),
        start("v3"),
        advance("v3", RolloutStage::RolledBack),
        start("v2"),
        advance("v2", RolloutStage::Shift),
    ];

    let chosen = chosen_after(&commands);

    assert!(chosen.contains("second"), "{chosen:?}");
    assert!(!chosen.contains("third"), "{chosen:?}");
}

#[test]
fn an_end_that_is_known_elsewhere_belongs_to_the_process_that_ended() {
    let mut state = state_with_v1_endpoint();
    let id: Arc<str> = Arc::from("old");
    let call = LostCall {
        call: 1,
        segments: vec![7],
    };
    state.segments.record_abandoned(at(100), &id, call);
    let mut restarted = endpoint("old", "v1", 2, 0);
    restarted.endpoint.notice.born_ms = 2;
    let update = RoutingUpdate {
        index: 2,
        endpoints: vec![restarted],
        ..RoutingUpdate::default()
    };
    state.apply(at(200), at(200), update);

    let ended = EndedEndpoint {
        endpoint: id,
        born_ms: 1,
        age_ms: 150,
    };
    let has_news = state.record_known_ends(at(300), &[ended]);

    assert!(has_news);
    assert_eq!(state.segments.take_due_ends(at(300))[0].born_ms, 1);
}

/// An update with one change of the endpoint "old".
fn endpoint_update(index: u64, born_ms: u64, phase: EndpointPhase) -> RoutingUpdate {
    let mut change = endpoint("old", "v1", 1, 0);
    change.endpoint.notice.born_ms = born_ms;
    change.endpoint.notice.phase = phase;
    RoutingUpdate {
        index,
        endpoints: vec![change],
        ..RoutingUpdate::default()
    }
}

const LEAVING: SelfReport = SelfReport {
    is_leaving: true,
    rest: None,
};

/// Guards against calls to an endpoint that has told this entry that it leaves, where the state of
/// the keepers does not know it yet, or has removed and added the endpoint meanwhile.
#[test]
fn no_state_of_the_keepers_brings_back_a_process_that_leaves() {
    let mut state = state_with_v1_endpoint();
    let chosen = choose(&mut state, at(10), 1).expect("an endpoint");

    state.record_self_report(at(20), &chosen, LEAVING);
    state.apply(at(30), at(30), endpoint_update(2, 1, EndpointPhase::Ready));
    let after_update = choose(&mut state, at(30), 1);
    state.apply(at(40), at(40), endpoint_update(3, 1, EndpointPhase::Gone));
    state.apply(at(50), at(50), endpoint_update(4, 1, EndpointPhase::Ready));
    let after_return = choose(&mut state, at(50), 1);

    assert_eq!(after_update, Err(NoEndpoint::NoneReady));
    assert_eq!(after_return, Err(NoEndpoint::NoneReady));
}

/// Guards against an endpoint that stays unused because its previous process answered late.
#[test]
fn late_answer_of_a_replaced_process_says_nothing_about_its_successor() {
    let mut state = state_with_v1_endpoint();
    let chosen = choose(&mut state, at(10), 1).expect("an endpoint");
    state.apply(at(20), at(20), endpoint_update(2, 2, EndpointPhase::Ready));
    let report = SelfReport {
        rest: Some(Duration::from_mins(1)),
        ..LEAVING
    };

    let is_news = state.record_self_report(at(30), &chosen, report);

    assert!(!is_news);
    assert!(choose(&mut state, at(30), 1).is_ok());
}

/// Guards against calls to an endpoint that has told another entry that it leaves.
#[test]
fn endpoint_that_leaves_by_the_word_of_a_peer_gets_calls_after_its_next_start() {
    let mut state = state_with_v1_endpoint();
    let statement = LeavingStatement {
        process: EndpointProcess::new("old", 1),
        age_ms: 5,
    };
    let peers = LoadSummary {
        leaving: vec![statement],
        ..LoadSummary::default()
    };

    state.apply_peer_load(at(10), &peers);
    let before_start = choose(&mut state, at(10), 1);
    state.apply(at(20), at(20), endpoint_update(2, 2, EndpointPhase::Ready));
    let after_start = choose(&mut state, at(20), 1);

    assert_eq!(before_start, Err(NoEndpoint::NoneReady));
    assert!(after_start.is_ok());
}
