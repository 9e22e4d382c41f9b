//! Sample declarations and endpoints.

use std::sync::Arc;

use chestnutloft_core::routing::{
    CallKind, EndpointNotice, EndpointPhase, RouteDeclaration, RouteRule, ServiceRule,
    ServiceShare, StoredDeclaration, WorkspaceRule,
};

pub fn route(name: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: Arc::from(name),
        host: Arc::from("shop.example"),
        prefix: Arc::from(prefix),
        kind: CallKind::Idempotent,
        timeout_ms: 1_200,
        target_latency_ms: 150,
        target_gap_ms: None,
        priority: 0,
        models: Vec::new(),
        shares: vec![share("orders", 1)],
        max_attempts: 2,
        needs_key: true,
    }
}

pub fn share(service: &str, weight: u32) -> ServiceShare {
    ServiceShare {
        service: Arc::from(service),
        weight,
    }
}

pub fn service(name: &str) -> ServiceRule {
    ServiceRule {
        name: Arc::from(name),
        health_path: Arc::from("/health"),
        max_connections: 96,
        cold_ms: 3_000,
        cold_per_s: 10.0,
        models: Vec::new(),
        engine: None,
    }
}

pub fn workspace(name: &str, keys: &[&str]) -> WorkspaceRule {
    WorkspaceRule {
        name: Arc::from(name),
        keys: keys.iter().map(|key| Arc::from(*key)).collect(),
        priority: None,
    }
}

pub fn declaration(number: u64) -> RouteDeclaration {
    RouteDeclaration {
        number,
        routes: vec![route("all", "/"), route("refills", "/refills/")],
        services: vec![service("orders")],
        workspaces: vec![
            workspace("riders", &["k1", "k2"]),
            workspace("shops", &["k3"]),
        ],
        ..RouteDeclaration::default()
    }
}

pub fn stored(declaration: RouteDeclaration) -> StoredDeclaration {
    StoredDeclaration {
        text: Arc::from(format!("text of {}", declaration.number).as_bytes()),
        declaration: Arc::new(declaration),
    }
}

pub fn notice(id: &str, born_ms: u64, sequence: u64) -> EndpointNotice {
    EndpointNotice {
        id: Arc::from(id),
        born_ms,
        sequence,
        service: Arc::from("orders"),
        address: Arc::from("10.0.0.1:80"),
        domain: Arc::from("north"),
        version: Arc::from("v1"),
        slots: 6,
        phase: EndpointPhase::Ready,
        cold_left_ms: 0,
        models: None,
    }
}
