//! Cost of updating entries to a declaration that moves all routes.

use std::sync::Arc;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};

use chestnutloft_core::routing::{
    CallKind, DeclarationUpdates, RouteDeclaration, RouteRule, RouteTable, RoutingCommand,
    RoutingState, ServiceRule, ServiceShare, StoredDeclaration,
};

fn route(number: u64, generation: u64) -> RouteRule {
    RouteRule {
        name: format!("r{number}").into(),
        host: Arc::from("shop.example"),
        prefix: format!("/{generation}/{number}/").into(),
        kind: CallKind::Idempotent,
        timeout_ms: 1_200,
        target_latency_ms: 150,
        target_gap_ms: None,
        priority: 2,
        models: Vec::new(),
        shares: vec![ServiceShare {
            service: Arc::from("orders"),
            weight: 1,
        }],
        max_attempts: 2,
        needs_key: true,
    }
}

fn declaration(generation: u64, routes: u64) -> RouteDeclaration {
    RouteDeclaration {
        number: generation,
        routes: (0..routes)
            .map(|number| route(number, generation))
            .collect(),
        services: vec![ServiceRule {
            name: Arc::from("orders"),
            health_path: Arc::from("/health"),
            max_connections: 64,
            cold_ms: 0,
            cold_per_s: 0.0,
            models: Vec::new(),
            engine: None,
        }],
        ..RouteDeclaration::default()
    }
}

fn state(routes: u64) -> RoutingState {
    let mut state = RoutingState::default();
    for generation in 1..=2 {
        let stored = StoredDeclaration {
            declaration: Arc::new(declaration(generation, routes)),
            text: Arc::from([]),
        };
        state.apply(generation, &RoutingCommand::Declare(stored));
    }
    state
}

fn update_entries(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("declaration");
    group.sample_size(10);
    for routes in [100, 1_400, 10_000] {
        let state = state(routes);
        group.bench_with_input(
            BenchmarkId::new("updates_for_82_entries", routes),
            &state,
            |bencher, state| {
                bencher.iter(|| {
                    let mut updates = DeclarationUpdates::default();
                    (0..82).filter_map(|_| updates.update(state, 1)).count()
                });
            },
        );
        let update = state.declaration_update(1).expect("a newer declaration");
        let known = declaration(1, routes);
        group.bench_with_input(
            BenchmarkId::new("apply", routes),
            &update,
            |bencher, update| {
                bencher.iter_batched(
                    || (update.clone(), known.clone()),
                    |(update, mut known)| {
                        update.apply(&mut known);
                        RouteTable::new(&known)
                    },
                    BatchSize::LargeInput,
                );
            },
        );
    }
    group.finish();
}

criterion_group!(benches, update_entries);
criterion_main!(benches);
