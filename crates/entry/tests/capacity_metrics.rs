//! Metrics of pace and of the capacity ledger, without a network.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    CallerLimits, CapacityClaim, DeclarationUpdate, DirectoryChange, EndpointNotice, EndpointPhase,
    EndpointUsage, EngineRule, LoadSummary, PaceReading, PaceSource, PoolEndpoint, RoutingUpdate,
    SentModel, ServiceRule, endpoint_hash,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_entry::forward::choice::{ChosenEndpoint, PrefillEstimate};
use chestnutloft_entry::forward::codec::ReportedLoad;
use chestnutloft_entry::forward::metrics::ForwardMetrics;
use chestnutloft_entry::forward::settings::{CapacitySettings, ForwardSettings};
use chestnutloft_entry::forward::state::EntryState;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn notice(id: &str) -> EndpointNotice {
    EndpointNotice {
        id: Arc::from(id),
        born_ms: 1,
        sequence: 1,
        service: Arc::from("llm"),
        address: Arc::from("10.0.0.1:80"),
        domain: Arc::from("north"),
        version: Arc::from("v1"),
        slots: 12,
        phase: EndpointPhase::Ready,
        cold_left_ms: 0,
        models: None,
    }
}

/// An entry that knows the endpoints e1 and e2 of one service, with 12 slots each.
fn state(is_ordered: bool) -> EntryState {
    let mut state = EntryState::new(&ForwardSettings {
        capacity: CapacitySettings {
            is_ordered,
            ..CapacitySettings::default()
        },
        ..ForwardSettings::default()
    });
    let service = ServiceRule {
        name: Arc::from("llm"),
        health_path: Arc::from("/health"),
        max_connections: 360,
        cold_ms: 0,
        cold_per_s: 0.0,
        models: Vec::new(),
        engine: Some(EngineRule::default()),
    };
    let endpoint = |id| DirectoryChange {
        endpoint: PoolEndpoint {
            notice: notice(id),
            changed_at: 1,
        },
        cold_left_ms: 0,
    };
    let update = RoutingUpdate {
        index: 1,
        declaration: Some(Arc::new(DeclarationUpdate {
            number: 1,
            is_whole: true,
            routes: Vec::new(),
            dropped: Vec::new(),
            services: Some(vec![service]),
            workspaces: None,
            limits: CallerLimits::default(),
        })),
        endpoints: ["e1", "e2"].map(endpoint).into(),
        ..RoutingUpdate::default()
    };
    state.apply(at(0), at(0), update);
    state
}

fn chosen(id: &str, claim: Option<CapacityClaim>) -> ChosenEndpoint {
    ChosenEndpoint::new(
        &notice(id),
        SentModel::Unnamed(0),
        PrefillEstimate::default(),
        claim,
    )
}

fn claim() -> CapacityClaim {
    CapacityClaim {
        is_large: false,
        tokens: 2_000.0,
    }
}

fn report_pace(state: &mut EntryState, millis: u64, id: &str, percent: u32) {
    let load = ReportedLoad {
        running: 0,
        waiting: 0,
        slots: None,
        pace_percent: Some(percent),
    };
    state.record_reported_load(at(millis), &Arc::from(id), load);
}

/// Guards against sums that leave out the calls of other entries, or count them as own ones.
#[test]
fn ledger_gauges_show_all_calls_and_the_part_of_this_entry() {
    let mut state = state(true);
    state.claim_capacity(at(0), &chosen("e1", Some(claim())));
    let peers = LoadSummary {
        usage: vec![EndpointUsage {
            endpoint: endpoint_hash("e2"),
            calls: 3,
            large_calls: 0,
            token_units: 4,
        }],
        ..LoadSummary::default()
    };
    state.apply_peer_load(at(10), &peers);

    let page = ForwardMetrics::default().render(&state.gauge_values(at(20)));

    for line in [
        "chestnutloft_ledger_calls{scope=\"all\",service=\"llm\",otel_scope_name=\"chestnutloft.entry\"} 4",
        "chestnutloft_ledger_calls{scope=\"own\",service=\"llm\",otel_scope_name=\"chestnutloft.entry\"} 1",
        "chestnutloft_ledger_tokens{scope=\"all\",service=\"llm\",otel_scope_name=\"chestnutloft.entry\"} 6096",
        "chestnutloft_ledger_tokens{scope=\"own\",service=\"llm\",otel_scope_name=\"chestnutloft.entry\"} 2000",
        "chestnutloft_ledger_places{service=\"llm\",otel_scope_name=\"chestnutloft.entry\"} 28",
    ] {
        assert!(page.lines().any(|shown| shown == line), "{line}\n{page}");
    }
}

/// Guards against time series for services whose endpoints are not chosen by expected time.
#[test]
fn services_that_are_placed_otherwise_have_no_capacity_series() {
    let state = state(false);

    let page = ForwardMetrics::default().render(&state.gauge_values(at(20)));

    assert_eq!(state.pace_source(at(20), &chosen("e1", None)), None);
    assert!(!page.contains("chestnutloft_ledger"), "{page}");
}

/// Guards against readings that are counted again with each look at the page.
#[test]
fn readings_are_counted_once_by_their_origin() {
    let mut state = state(true);
    let metrics = ForwardMetrics::default();
    report_pace(&mut state, 10, "e1", 300);
    let peers = LoadSummary {
        paces: ["e1", "e2"]
            .map(|id| PaceReading {
                endpoint: endpoint_hash(id),
                percent: 100,
                age_ms: 50,
            })
            .into(),
        ..LoadSummary::default()
    };
    // The reading of e1 is older than the own one.
    state.apply_peer_load(at(20), &peers);

    metrics.render(&state.gauge_values(at(20)));
    let page = metrics.render(&state.gauge_values(at(20)));

    for line in [
        "chestnutloft_pace_readings_total{origin=\"own\",otel_scope_name=\"chestnutloft.entry\"} 1",
        "chestnutloft_pace_readings_total{origin=\"peers\",otel_scope_name=\"chestnutloft.entry\"} 1",
    ] {
        assert!(page.lines().any(|shown| shown == line), "{line}\n{page}");
    }
    assert!(page.contains("chestnutloft_pace_slowest{"), "{page}");
}

/// Guards against an estimate that an operator takes for a reading when it is the mean, and against one
/// without any reading that counts as either.
#[test]
fn attempts_are_counted_by_what_the_pace_rests_on() {
    let mut state = state(true);
    report_pace(&mut state, 0, "e1", 150);
    let endpoint = chosen("e1", Some(claim()));
    let other = chosen("e2", Some(claim()));
    let metrics = ForwardMetrics::default();

    let sources = [
        state.pace_source(at(299), &endpoint),
        state.pace_source(at(300), &endpoint),
        state.pace_source(at(300), &other),
    ];
    for source in sources.into_iter().flatten() {
        metrics.record_pace_source("llm", source);
    }
    let page = metrics.render(&state.gauge_values(at(300)));

    let age = Duration::from_millis;
    let expected = [
        PaceSource::Reading(age(299)),
        PaceSource::Mean(age(300)),
        PaceSource::Unknown,
    ];
    assert_eq!(sources, expected.map(Some));
    for source in ["reading", "mean", "unknown"] {
        let line = format!(
            "chestnutloft_pace_choices_total{{service=\"llm\",source=\"{source}\",otel_scope_name=\"chestnutloft.entry\"}} 1"
        );
        assert!(page.contains(&line), "{line}\n{page}");
    }
    assert!(page.contains("chestnutloft_pace_age_seconds_count{service=\"llm\",otel_scope_name=\"chestnutloft.entry\"} 2"), "{page}");
}
