//! What an entry decides from what it knows, without a network.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    DeclarationUpdate, DirectoryChange, EndpointNotice, EndpointPhase, ModelLane, PoolEndpoint,
    RolloutOrder, RolloutStage, RolloutState, RoutingUpdate, ServiceRule,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_entry::forward::choice::{ChosenEndpoint, NoEndpoint, PlaceRequest, PromptSize};
use chestnutloft_entry::forward::settings::ForwardSettings;
use chestnutloft_entry::forward::state::EntryBook;

/// Sessions tried, so that some of them belong to the share of a trial.
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
    }
}

/// A book with one endpoint of version v1.
fn book() -> EntryBook {
    let mut book = EntryBook::new(&ForwardSettings::default());
    let update = RoutingUpdate {
        index: 1,
        declaration: Some(DeclarationUpdate {
            number: 1,
            is_whole: true,
            routes: Vec::new(),
            dropped: Vec::new(),
            services: Some(vec![service()]),
            workspaces: None,
            limits: chestnutloft_core::routing::CallerLimits::default(),
        }),
        endpoints: vec![endpoint("old", "v1", 1, 0)],
        ..RoutingUpdate::default()
    };
    book.apply(at(0), at(0), update);
    book
}

fn choose(
    book: &mut EntryBook,
    now: TimePoint,
    session: u64,
) -> Result<ChosenEndpoint, NoEndpoint> {
    let service = service();
    let tried = BTreeSet::new();
    let request = PlaceRequest {
        service: &service,
        session,
        prompt: PromptSize::default(),
        lane: ModelLane::Any,
        tried: &tried,
    };
    book.choose(now, &request)
}

fn version_of(book: &mut EntryBook, now: TimePoint, session: u64) -> String {
    let chosen = choose(book, now, session).expect("an endpoint");
    chosen.version.to_string()
}

#[test]
fn a_session_that_began_before_the_new_version_was_up_stays_on_the_old_one() {
    let mut book = book();
    let trial = RoutingUpdate {
        index: 2,
        rollouts: Some(vec![rollout(RolloutStage::Trial, 2)]),
        ..RoutingUpdate::default()
    };
    book.apply(at(10), at(10), trial);
    let first: Vec<String> = (0..SESSIONS)
        .map(|session| version_of(&mut book, at(20), session))
        .collect();
    let arrival = RoutingUpdate {
        index: 3,
        endpoints: vec![endpoint("new", "v2", 3, 0)],
        ..RoutingUpdate::default()
    };
    book.apply(at(500), at(500), arrival);

    let later: Vec<String> = (0..SESSIONS)
        .map(|session| version_of(&mut book, at(1_600), session))
        .collect();
    let new = (SESSIONS..2 * SESSIONS).map(|session| version_of(&mut book, at(1_600), session));

    assert_eq!(first, later);
    assert!(new.into_iter().any(|version| version == "v2"));
}

#[test]
fn new_sessions_of_a_trial_fall_back_where_the_new_version_is_cold() {
    let mut book = book();
    let trial = RoutingUpdate {
        index: 2,
        endpoints: vec![endpoint("new", "v2", 2, 3_000)],
        rollouts: Some(vec![rollout(RolloutStage::Trial, 2)]),
        ..RoutingUpdate::default()
    };
    book.apply(at(10), at(10), trial);

    let refused = (0..20 * SESSIONS)
        .filter(|session| match choose(&mut book, at(1_500), *session) {
            Ok(chosen) => {
                book.begin(at(1_500), &chosen.id, 1.0);
                book.end(&chosen.id);
                false
            }
            Err(_) => true,
        })
        .count();

    assert_eq!(refused, 0);
}

#[test]
fn a_session_stays_for_its_idle_time_after_the_end_of_its_last_call() {
    let mut book = book();
    let keep = Duration::from_secs(5);
    let _ = (0..SESSIONS)
        .map(|session| version_of(&mut book, at(20), session))
        .count();
    let trial = RoutingUpdate {
        index: 2,
        endpoints: vec![endpoint("new", "v2", 2, 0)],
        rollouts: Some(vec![rollout(RolloutStage::Trial, 2)]),
        ..RoutingUpdate::default()
    };
    book.apply(at(1_000), at(1_000), trial);
    for session in 0..SESSIONS {
        book.note_session_end(at(4_000), "llm", session);
    }

    let later = at(4_000) + keep.mul_f64(0.9);
    let moved = (0..SESSIONS).filter(|session| version_of(&mut book, later, *session) == "v2");

    assert_eq!(moved.count(), 0);
}
