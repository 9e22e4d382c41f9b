//! Load exchange at an entry without a network: which reports ask for sums as differences.

use std::sync::Arc;

use chestnutloft_core::routing::{
    CallerLimits, DeclarationUpdate, EngineRule, LoadAggregator, RoutingUpdate, ServiceRule,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_entry::forward::settings::{CapacitySettings, ForwardSettings};
use chestnutloft_entry::forward::state::EntryState;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn service(name: &str, engine: Option<EngineRule>) -> ServiceRule {
    ServiceRule {
        name: Arc::from(name),
        health_path: Arc::from("/health"),
        max_connections: 360,
        cold_ms: 3_000,
        cold_per_s: 0.0,
        models: Vec::new(),
        engine,
    }
}

/// An entry with a plain service and one that runs models.
fn state(is_ordered: bool) -> EntryState {
    let mut state = EntryState::new(&ForwardSettings {
        capacity: CapacitySettings {
            is_ordered,
            ..CapacitySettings::default()
        },
        ..ForwardSettings::default()
    });
    let services = vec![
        service("plain", None),
        service("llm", Some(EngineRule::default())),
    ];
    let update = RoutingUpdate {
        index: 1,
        declaration: Some(Arc::new(DeclarationUpdate {
            number: 1,
            is_whole: true,
            routes: Vec::new(),
            dropped: Vec::new(),
            services: Some(services),
            workspaces: None,
            limits: CallerLimits::default(),
        })),
        ..RoutingUpdate::default()
    };
    state.apply(at(0), at(0), update);
    state
}

/// Guards against a changed exchange in deployments without managed capacity.
#[test]
fn only_entries_with_managed_capacity_ask_for_differences() {
    let with_managed = state(true).load_summary(at(1)).applied_reply;
    let without = state(false).load_summary(at(1)).applied_reply;

    assert_eq!(with_managed, Some(0));
    assert_eq!(without, None);
}

/// Guards against differences to a reply that the entry has not got: after a failed exchange, the next
/// report asks for all sums.
#[test]
fn the_report_after_a_failed_exchange_asks_for_all_sums() {
    let mut state = state(true);
    let mut aggregator = LoadAggregator::default();
    let name: Arc<str> = Arc::from("entry");
    let reply = aggregator.exchange(at(1), &name, state.load_summary(at(1)));
    state.apply_peer_load(at(1), &reply);
    let number = reply.sums.expect("sums").number;

    let next = state.load_summary(at(2)).applied_reply;
    state.reset_peer_sums();
    let after_failure = state.load_summary(at(3)).applied_reply;

    assert_eq!(next, Some(number));
    assert_eq!(after_failure, Some(0));
}
