//! Choice of a model among endpoints that run some of them, without a network. It answers the loads
//! while a model is brought in at one endpoint after the other, or taken away.

use std::collections::BTreeSet;
use std::sync::Arc;

use chestnutloft_core::admission::CapacityLimits;
use chestnutloft_core::routing::{
    CallKind, CallerLimits, DeclarationUpdate, DirectoryChange, EndpointNotice, EndpointPhase,
    EngineRule, ModelLane, ModelStep, PoolEndpoint, RolloutOrder, RolloutStage, RolloutState,
    RouteRule, RoutingUpdate, SentModel, ServiceRule, ServiceShare,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_entry::forward::choice::{
    ChosenEndpoint, NoEndpoint, PromptSize, SelectionRequest,
};
use chestnutloft_entry::forward::model_choice::ModelRequest;
use chestnutloft_entry::forward::settings::{CapacitySettings, ForwardSettings};
use chestnutloft_entry::forward::state::EntryState;

const SLOTS: u32 = 10;
const BY_SIZE: [usize; 3] = [0, 1, 2];
const SESSION: u64 = 1;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn models() -> [SentModel; 3] {
    ["tiny", "small", "large"].map(SentModel::named)
}

fn service() -> ServiceRule {
    ServiceRule {
        name: Arc::from("llm"),
        health_path: Arc::from("/health"),
        max_connections: 360,
        cold_ms: 0,
        cold_per_s: 0.0,
        models: Vec::new(),
        engine: Some(EngineRule {
            slots: SLOTS,
            kv_tokens: 400_000,
            ..EngineRule::default()
        }),
    }
}

fn route() -> RouteRule {
    RouteRule {
        name: Arc::from("assist"),
        host: Arc::from("shop.example"),
        prefix: Arc::from("/"),
        shares: vec![ServiceShare {
            service: Arc::from("llm"),
            weight: 1,
        }],
        kind: CallKind::Stream { is_resumable: true },
        timeout_ms: 5_000,
        target_latency_ms: 1_000,
        target_gap_ms: None,
        priority: 0,
        models: ["tiny", "small", "large"].map(Arc::from).to_vec(),
        max_attempts: 3,
        needs_key: false,
    }
}

/// Endpoint `number`, which runs `version` and announces `models`.
fn endpoint(number: u64, version: &str, models: Option<&[&str]>) -> DirectoryChange {
    let names = models.map(|names| names.iter().map(|name| Arc::from(*name)).collect());
    let notice = EndpointNotice {
        id: Arc::from(format!("e{number}")),
        born_ms: 1,
        sequence: 1,
        service: Arc::from("llm"),
        address: Arc::from(format!("10.0.0.{number}:80")),
        domain: Arc::from("north"),
        version: Arc::from(version),
        slots: SLOTS,
        phase: EndpointPhase::Ready,
        cold_left_ms: 0,
        models: names,
    };
    DirectoryChange {
        endpoint: PoolEndpoint {
            notice,
            changed_at: 1,
        },
        cold_left_ms: 0,
    }
}

/// A state with `endpoints`, and a roll-out to version v2 in `rollout_stage`.
fn state(
    is_ordered: bool,
    endpoints: Vec<DirectoryChange>,
    rollout_stage: Option<RolloutStage>,
) -> EntryState {
    let mut state = EntryState::new(&ForwardSettings {
        capacity: CapacitySettings {
            is_ordered,
            ..CapacitySettings::default()
        },
        ..ForwardSettings::default()
    });
    let rollout = rollout_stage.map(|stage| RolloutState {
        order: RolloutOrder {
            service: Arc::from("llm"),
            target: Arc::from("v2"),
            duration_ms: 24_000,
        },
        stage,
        elapsed_ms: 0,
        changed_at: 1,
        stage_began_ms: 0,
        rejected: Vec::new(),
    });
    let update = RoutingUpdate {
        index: 1,
        declaration: Some(Arc::new(DeclarationUpdate {
            number: 1,
            is_whole: true,
            routes: vec![route()],
            dropped: Vec::new(),
            services: Some(vec![service()]),
            workspaces: None,
            limits: CallerLimits::default(),
        })),
        endpoints,
        rollouts: rollout.map(|rollout| vec![rollout]),
        ..RoutingUpdate::default()
    };
    state.apply(at(0), at(0), update);
    state
}

/// One endpoint that runs the model "tiny", and eight that run the others.
fn state_with_one_tiny(is_ordered: bool) -> EntryState {
    let others = (1..9).map(|number| endpoint(number, "v1", Some(&["small", "large"])));
    let tiny = endpoint(0, "v1", Some(&["tiny"]));
    state(is_ordered, others.chain([tiny]).collect(), None)
}

fn order(state: &EntryState, preference: &[usize]) -> Vec<usize> {
    let steps = steps(state, preference).into_iter();
    steps.map(|step| step.index).collect()
}

fn steps(state: &EntryState, preference: &[usize]) -> Vec<ModelStep> {
    let (service, models) = (service(), models());
    let request = ModelRequest {
        service: &service,
        session: SESSION,
        models: &models,
    };
    state.model_order(at(10), &request, preference)
}

fn choose(state: &mut EntryState, index: usize) -> Result<ChosenEndpoint, NoEndpoint> {
    choose_step(state, &ModelStep::of(index))
}

fn choose_step(state: &mut EntryState, step: &ModelStep) -> Result<ChosenEndpoint, NoEndpoint> {
    let (service, tried) = (service(), BTreeSet::new());
    let passed: Vec<SentModel> = step.passed.iter().map(|index| models()[*index]).collect();
    let request = SelectionRequest {
        service: &service,
        session: SESSION,
        prompt: PromptSize::default(),
        lane: ModelLane::Small,
        sent_model: models()[step.index],
        passed_models: &passed,
        tried: &tried,
        output_tokens: 10.0,
        max_pause: std::time::Duration::from_secs(1),
        limits: CapacityLimits::LastResort,
    };
    state.choose(at(10), &request)
}

/// Starts a call that prefers the smallest model; returns its model and its endpoint.
fn start_call(state: &mut EntryState) -> Option<(usize, Arc<str>)> {
    for step in steps(state, &BY_SIZE) {
        if let Ok(endpoint) = choose_step(state, &step) {
            state.start_attempt(at(10), &endpoint.id, 0.0);
            state.claim_capacity(at(10), &endpoint);
            return Some((step.index, endpoint.id));
        }
    }
    None
}

/// Guards against one endpoint with a new model that takes all calls while the others idle, and
/// against none of them getting calls.
#[test]
fn calls_beyond_the_room_of_a_new_model_go_to_the_others() {
    for is_ordered in [false, true] {
        let mut state = state_with_one_tiny(is_ordered);

        let calls: Vec<_> = (0..40).filter_map(|_| start_call(&mut state)).collect();

        let tiny = calls.iter().filter(|(index, _)| *index == 0).count();
        assert_eq!(calls.len(), 40);
        assert!((4..=SLOTS as usize).contains(&tiny), "{tiny}");
        let on_tiny = calls.iter().filter(|(_, id)| **id == *"e0").count();
        assert_eq!(on_tiny, tiny);
    }
}

/// Guards against the same at the end, when one endpoint of the old model is left.
#[test]
fn old_model_of_the_last_endpoint_is_not_overfilled() {
    let tiny = (0..8).map(|number| endpoint(number, "v1", Some(&["tiny"])));
    let small = endpoint(8, "v1", Some(&["small"]));
    let mut state = state(true, tiny.chain([small]).collect(), None);

    let calls: Vec<_> = (0..70).filter_map(|_| start_call(&mut state)).collect();

    let small = calls.iter().filter(|(index, _)| *index == 1).count();
    assert_eq!(calls.len(), 70);
    assert!(small <= SLOTS as usize, "{small}");
}

/// Guards against sessions that change their version because endpoints of the other version run a
/// smaller model.
#[test]
fn smaller_model_of_a_version_on_trial_is_left_to_its_sessions() {
    let endpoints = vec![
        endpoint(1, "v1", Some(&["small", "large"])),
        endpoint(2, "v2", Some(&["tiny", "small", "large"])),
    ];
    let mut state = state(false, endpoints, Some(RolloutStage::Trial));

    let order = order(&state, &BY_SIZE);
    let chosen = choose(&mut state, order[0]).expect("an endpoint");

    assert_eq!((order, &*chosen.version), (vec![1], "v1"));
}

/// Guards against calls that are kept from the version that a roll-out shifts to, because the
/// earlier one runs a smaller model.
#[test]
fn version_that_is_shifted_to_comes_before_a_smaller_model() {
    let endpoints = vec![
        endpoint(1, "v1", Some(&["tiny", "small"])),
        endpoint(2, "v2", Some(&["small", "large"])),
    ];
    let mut state = state(false, endpoints, Some(RolloutStage::Shift));

    let order = order(&state, &BY_SIZE);
    let chosen = choose(&mut state, order[0]).expect("an endpoint");

    assert_eq!((&*order, &*chosen.version), (&[1, 0][..], "v2"));
}

/// Guards against escalations that wait for the largest model, which nobody runs.
#[test]
fn escalation_goes_to_the_largest_model_that_is_run() {
    let state = state(
        false,
        vec![endpoint(1, "v1", Some(&["tiny", "small"]))],
        None,
    );

    assert_eq!(order(&state, &[2, 1]), [1]);
}

/// Guards against a wrong reason: endpoints are ready, but none runs the model.
#[test]
fn missing_model_is_told_from_missing_endpoints() {
    let mut without_endpoints = state(false, Vec::new(), None);
    let mut without_model = state(false, vec![endpoint(1, "v1", Some(&["small"]))], None);

    let none_ready = choose(&mut without_endpoints, 0);
    let no_model = choose(&mut without_model, 0);

    assert_eq!(none_ready, Err(NoEndpoint::NoneReady));
    let left = std::time::Duration::ZERO;
    assert_eq!(no_model, Err(NoEndpoint::NoModel { left }));
}

/// Guards against an endpoint that takes up a model and gets no calls for it.
#[test]
fn endpoint_that_announces_a_further_model_gets_its_calls() {
    let mut state = state(false, vec![endpoint(1, "v1", Some(&["small"]))], None);
    let update = RoutingUpdate {
        index: 2,
        endpoints: vec![endpoint(1, "v1", Some(&["tiny", "small"]))],
        ..RoutingUpdate::default()
    };

    state.apply(at(5), at(5), update);

    assert_eq!(order(&state, &BY_SIZE), [0]);
}

fn unserved(state: &EntryState) -> Vec<&str> {
    state.unserved_models().map(|(_, model)| model).collect()
}

/// Guards against a route that lists a model which nobody runs without the operator seeing it.
#[test]
fn listed_models_that_no_endpoint_announces_are_reported() {
    let mut partial = state(false, vec![endpoint(1, "v1", Some(&["small"]))], None);
    let silent = state(false, vec![endpoint(1, "v1", None)], None);
    assert_eq!(unserved(&partial), ["large", "tiny"]);
    assert_eq!(partial.gauge_values(at(1)).unserved_models, 2);
    assert_eq!(unserved(&silent), [""; 0]);

    let update = RoutingUpdate {
        index: 2,
        endpoints: vec![endpoint(2, "v1", Some(&["tiny", "large"]))],
        ..RoutingUpdate::default()
    };
    partial.apply(at(5), at(5), update);

    assert_eq!(unserved(&partial), [""; 0]);
}

/// Guards against all calls taking a larger model because one endpoint of a busy pool has rejected
/// the smallest one, for example since its address was taken.
#[test]
fn rejection_by_one_endpoint_leaves_the_others_at_the_smallest_model() {
    let all: &[&str] = &["tiny", "small", "large"];
    let endpoints = (0..9).map(|number| endpoint(number, "v1", Some(all)));
    let mut state = state(true, endpoints.collect(), None);
    let rejecting = choose(&mut state, 0).expect("an endpoint");
    state.record_misdirected(at(9), at(8), &rejecting);

    let calls: Vec<_> = (0..85).filter_map(|_| start_call(&mut state)).collect();

    let elsewhere = calls.iter().filter(|(_, id)| *id != rejecting.id);
    let models: Vec<usize> = elsewhere.map(|(index, _)| *index).collect();
    assert!(models.len() > 60, "{}", models.len());
    assert!(models.iter().all(|index| *index == 0), "{models:?}");
}
