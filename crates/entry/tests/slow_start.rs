//! Slow start at an entry: what starts it, which calls it limits, and which answers count, without a
//! network.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    AnswerCount, CallerLimits, DeclarationUpdate, DirectoryChange, EndpointNotice, EndpointPhase,
    EngineRule, LoadAggregator, LoadSummary, ModelLane, PoolEndpoint, RoutingUpdate, SentModel,
    ServiceRule, endpoint_hash,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_entry::forward::choice::{
    ChosenEndpoint, NoEndpoint, PromptSize, SelectionRequest,
};
use chestnutloft_entry::forward::codec::SelfReport;
use chestnutloft_entry::forward::settings::{CapacitySettings, ForwardSettings};
use chestnutloft_entry::forward::state::EntryState;

/// Endpoints that an entry knows from its first update; fewer than a third of the pool warms up
/// with one more.
const KNOWN: u64 = 8;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn service() -> ServiceRule {
    ServiceRule {
        name: Arc::from("llm"),
        health_path: Arc::from("/health"),
        max_connections: 360,
        cold_ms: 3_000,
        cold_per_s: 0.0,
        models: Vec::new(),
        engine: Some(EngineRule::default()),
    }
}

fn endpoint(number: u64, born_ms: u64, change: u64) -> DirectoryChange {
    let notice = EndpointNotice {
        id: Arc::from(format!("e{number}").as_str()),
        born_ms,
        sequence: change,
        service: Arc::from("llm"),
        address: Arc::from(format!("10.0.0.{number}:80").as_str()),
        domain: Arc::from(if number == 0 { "south" } else { "north" }),
        version: Arc::from("v1"),
        slots: 12,
        phase: EndpointPhase::Ready,
        cold_left_ms: 0,
        models: None,
    };
    DirectoryChange {
        endpoint: PoolEndpoint {
            notice,
            changed_at: change,
        },
        cold_left_ms: 0,
    }
}

/// An entry that knows [`KNOWN`] endpoints, all at their full share.
fn state(is_ordered: bool) -> EntryState {
    state_with(CapacitySettings {
        is_ordered,
        ..CapacitySettings::default()
    })
}

fn state_with(capacity: CapacitySettings) -> EntryState {
    let mut state = EntryState::new(&ForwardSettings {
        capacity,
        ..ForwardSettings::default()
    });
    let update = RoutingUpdate {
        index: 1,
        declaration: Some(Arc::new(DeclarationUpdate {
            number: 1,
            is_whole: true,
            routes: Vec::new(),
            dropped: Vec::new(),
            services: Some(vec![service()]),
            workspaces: None,
            limits: CallerLimits::default(),
        })),
        endpoints: (0..KNOWN).map(|number| endpoint(number, 1, 1)).collect(),
        ..RoutingUpdate::default()
    };
    state.apply(at(0), at(0), update);
    state
}

fn apply_endpoint(state: &mut EntryState, millis: u64, index: u64, change: DirectoryChange) {
    let update = RoutingUpdate {
        index,
        endpoints: vec![change],
        ..RoutingUpdate::default()
    };
    state.apply(at(millis), at(millis), update);
}

fn choose(state: &mut EntryState, millis: u64) -> Result<ChosenEndpoint, NoEndpoint> {
    choose_for(state, millis, 1)
}

fn choose_for(
    state: &mut EntryState,
    millis: u64,
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
    state.choose(at(millis), &request)
}

/// Calls that fill the known endpoints to three quarters, so that one with a free place gets some.
const MANY_CALLS: usize = 72;

/// Sends `count` calls that last, and returns how many the endpoint `id` got.
fn calls_at(state: &mut EntryState, millis: u64, count: usize, id: &str) -> usize {
    let sent = (0..count).filter(|call| {
        let chosen = choose_for(state, millis, *call as u64);
        let chosen = chosen.expect("an endpoint takes the call");
        state.start_attempt(at(millis), &chosen.id, 1.0);
        state.claim_capacity(at(millis), &chosen);
        *chosen.id == *id
    });
    sent.count()
}

/// Chosen as `id` of the process that started at 1 ms.
fn chosen(state: &mut EntryState, id: &str) -> ChosenEndpoint {
    let any = choose(state, 0).expect("an endpoint takes the call");
    ChosenEndpoint {
        id: Arc::from(id),
        ..any
    }
}

/// Guards against a full share for a new endpoint, which draws calls since it is idle.
#[test]
fn endpoint_that_joins_gets_one_call_at_a_time() {
    let mut state = state(true);
    apply_endpoint(&mut state, 100, 2, endpoint(9, 5, 2));

    let first = calls_at(&mut state, 200, MANY_CALLS, "e9");
    let values = state.gauge_values(at(200));
    let later = calls_at(&mut state, 6_000, 27, "e9");

    assert_eq!(first, 1);
    assert_eq!(values.warming_endpoints, 1);
    assert_eq!(later, 0, "the first call has not been answered");
}

/// Guards against a limit where the capacity of the service is not managed.
#[test]
fn endpoint_of_a_service_without_managed_capacity_is_not_limited() {
    let mut state = state(false);
    apply_endpoint(&mut state, 100, 2, endpoint(9, 5, 2));

    let calls = calls_at(&mut state, 200, 27, "e9");

    assert_eq!(calls, 3);
    assert_eq!(state.load_summary(at(200)).answers, []);
}

/// Guards against a setting without effect, and against one that also ends the limits that
/// endpoints state.
#[test]
fn slow_start_that_is_turned_off_leaves_the_stated_limits() {
    let calls = |has_slow_start, stated_per_s: Option<f64>| {
        let mut state = state_with(CapacitySettings {
            is_ordered: true,
            has_slow_start,
            ..CapacitySettings::default()
        });
        apply_endpoint(&mut state, 100, 2, endpoint(9, 5, 2));
        state.record_limit(at(150), "e9", at(140), stated_per_s);
        let peers = LoadSummary {
            answers: vec![AnswerCount {
                endpoint: endpoint_hash("e1"),
                epoch: u64::MAX,
                ..AnswerCount::default()
            }],
            ..LoadSummary::default()
        };
        state.apply_peer_load(at(150), &peers);
        let calls = calls_at(&mut state, 200, MANY_CALLS, "e9");
        (calls, state.gauge_values(at(200)).warming_endpoints)
    };

    let with_slow_start = calls(true, None);
    let (without, warming) = calls(false, None);
    let limited = calls(false, Some(1.0));

    assert_eq!(with_slow_start, (1, 2));
    assert!((6..=12).contains(&without), "{without} calls");
    assert_eq!(warming, 0);
    assert_eq!(limited, (1, 0));
}

/// Guards against answers that are not counted or not reported.
#[test]
fn sound_answers_raise_the_limit_and_are_reported() {
    let mut state = state(true);
    apply_endpoint(&mut state, 100, 2, endpoint(9, 5, 2));
    let mut endpoint = chosen(&mut state, "e9");
    endpoint.born_ms = 5;

    state.record_warmup_answer(at(200), &endpoint, true);
    let calls = calls_at(&mut state, 200, MANY_CALLS, "e9");
    let counts = state.load_summary(at(200)).answers;

    assert_eq!(calls, 2);
    assert_eq!((counts[0].sound, counts[0].bad), (1, 0));
}

/// Guards against long prompts and overloaded pools that take healthy endpoints back to single probes,
/// and against a rejection that counts as a failure.
#[test]
fn late_answers_count_as_bad_only_beyond_twice_the_expected_delay() {
    let mut state = state(true);
    apply_endpoint(&mut state, 100, 2, endpoint(9, 5, 2));
    let mut endpoint = chosen(&mut state, "e9");
    endpoint.born_ms = 5;
    endpoint.prefill.wait_ms = 900.0;
    endpoint.prefill.work_ms = 100.0;
    let target = Duration::from_millis(500);

    let took = |millis| Duration::from_millis(millis);
    state.record_warmup_start(at(200), &endpoint, took(2_000), target);
    state.record_warmup_rejection(at(210), &endpoint);
    endpoint.prefill.wait_ms = 0.0;
    state.record_warmup_start(at(400), &endpoint, took(500), target);
    state.record_warmup_start(at(410), &endpoint, took(501), target);

    let count = state.load_summary(at(420)).answers[0];
    assert_eq!((count.sound, count.bad, count.rejected), (2, 1, 1));
}

/// Guards against an unhealthy endpoint whose own late answers raise what is expected of it.
#[test]
fn endpoint_with_late_answers_is_not_trusted_since_they_are_expected() {
    for (delay_ms, lasting_calls) in [(700, 0), (700, MANY_CALLS), (1_900, 0), (1_900, MANY_CALLS)]
    {
        let mut state = state(true);
        calls_at(&mut state, 90, lasting_calls, "e9");
        apply_endpoint(&mut state, 100, 2, endpoint(9, 5, 2));
        let mut aggregator = LoadAggregator::default();
        let mut running: Vec<(u64, u64, ChosenEndpoint)> = Vec::new();
        let mut calls = 0;

        for millis in (200..5_200).step_by(5) {
            let now = at(millis);
            for (_, sent_at, chosen) in running.extract_if(.., |(ends, ..)| *ends <= millis) {
                let took = Duration::from_millis(millis - sent_at);
                state.finish_prefill(&chosen.id, chosen.prefill.work_ms);
                state.record_response_start(now, &chosen, took);
                state.record_warmup_start(now, &chosen, took, Duration::from_millis(500));
                state.finish_attempt(&chosen.id);
                state.release_capacity(&chosen);
            }
            let load = state.load_summary(now);
            let peers = aggregator.exchange(now, &Arc::from("entry"), load);
            state.apply_peer_load(now, &peers);
            if let Ok(chosen) = choose_for(&mut state, millis, millis) {
                let is_late = *chosen.id == *"e9";
                calls += usize::from(is_late);
                state.start_attempt(now, &chosen.id, chosen.prefill.work_ms);
                state.claim_capacity(now, &chosen);
                let delay = if is_late { delay_ms } else { 20 };
                running.push((millis + delay, millis, chosen));
            }
        }

        assert!(
            (1..=3).contains(&calls),
            "{delay_ms} ms beside {lasting_calls} calls: {calls} calls"
        );
        assert!(state.is_warming("e9"));
    }
}

/// Guards against answers of the process before a restart that count for the new one.
#[test]
fn answers_of_a_replaced_process_do_not_count() {
    let mut state = state(true);
    let earlier = chosen(&mut state, "e1");
    apply_endpoint(&mut state, 100, 2, endpoint(1, 5, 2));

    state.record_warmup_answer(at(200), &earlier, false);

    let counts = state.load_summary(at(200)).answers;
    assert_eq!((counts[0].sound, counts[0].bad), (0, 0));
}

/// Guards against a cause of a cold endpoint that starts no warm-up.
#[test]
fn each_cause_starts_a_warm_up() {
    type Cause = fn(&mut EntryState);
    let restarted: Cause = |state| apply_endpoint(state, 100, 2, endpoint(0, 5, 2));
    let new_version: Cause = |state| {
        let mut changed = endpoint(0, 1, 2);
        changed.endpoint.notice.version = Arc::from("v2");
        apply_endpoint(state, 100, 2, changed);
    };
    let cold: Cause = |state| {
        let mut changed = endpoint(0, 1, 2);
        changed.cold_left_ms = 3_000;
        apply_endpoint(state, 100, 2, changed);
    };
    let silent: Cause = |state| {
        state.start_attempt(at(90), &Arc::from("e0"), 1.0);
        let mut gone = endpoint(0, 1, 2);
        gone.endpoint.notice.phase = EndpointPhase::Gone;
        apply_endpoint(state, 100, 2, gone);
        apply_endpoint(state, 200, 3, endpoint(0, 1, 3));
    };
    let evacuated: Cause = |state| {
        for (index, domains) in [(2, vec![Arc::from("south")]), (3, Vec::new())] {
            let update = RoutingUpdate {
                index,
                evacuated: Some(domains),
                ..RoutingUpdate::default()
            };
            state.apply(at(100), at(100), update);
        }
    };
    let rested: Cause = |state| {
        let report = SelfReport {
            rest: Some(Duration::from_secs(1)),
            ..SelfReport::default()
        };
        let endpoint = chosen(state, "e0");
        state.record_self_report(at(100), &endpoint, report);
    };
    let ejected: Cause = |state| state.record_unreachable(at(100), &Arc::from("e0"));

    let causes = [
        ("restart", restarted),
        ("version", new_version),
        ("cold", cold),
        ("silence", silent),
        ("domain", evacuated),
        ("rest", rested),
        ("ejection", ejected),
    ];
    for (name, cause) in causes {
        let mut state = state(true);

        cause(&mut state);

        assert!(state.is_warming("e0"), "{name}");
        assert_eq!(state.gauge_values(at(300)).warming_endpoints, 1, "{name}");
    }
}

/// Guards against an ordinary notice, or the first update, that takes the pool back to single calls.
#[test]
fn known_endpoints_do_not_warm_up_without_cause() {
    let mut state = state(true);

    apply_endpoint(&mut state, 100, 2, endpoint(1, 1, 2));

    assert_eq!(state.gauge_values(at(100)).warming_endpoints, 0);
}

/// Guards against calls that are refused since all endpoints have just started.
#[test]
fn pool_that_starts_as_a_whole_is_not_limited() {
    let mut state = state(true);
    for number in 0..KNOWN {
        apply_endpoint(&mut state, 100, 2 + number, endpoint(number, 5, 2));
    }

    let calls = calls_at(&mut state, 200, 80, "e1");

    // Equal endpoints are chosen by a hash of the call, so their shares differ by a call or two.
    assert!(
        (8..=12).contains(&calls),
        "{calls} of 80 calls at one of 8 endpoints"
    );
}

/// Guards against calls that are refused, or mostly probes, when many endpoints return together.
#[test]
fn third_of_a_pool_that_returns_together_gets_a_fifth_of_the_calls() {
    let mut state = state(true);
    for number in KNOWN..12 {
        apply_endpoint(&mut state, 100, 2 + number, endpoint(number, 5, 2));
    }

    let probes = (0..100).filter(|session| {
        let chosen = choose_for(&mut state, 200, *session).expect("an endpoint takes the call");
        state.start_attempt(at(200), &chosen.id, 1.0);
        let is_probe = state.is_warming(&chosen.id);
        if is_probe {
            state.finish_attempt(&chosen.id);
        }
        is_probe
    });

    // One more than a fifth: the first call may be a probe.
    let count = probes.count();
    assert!((10..=21).contains(&count), "{count}");
}
