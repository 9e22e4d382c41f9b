use std::sync::Arc;

use chestnutloft_core::routing::{
    DeclarationUpdates, DirectoryChange, PoolEndpoint, RolloutOrder, RolloutStage,
    RouteDeclaration, RoutingCommand, RoutingOutcome, RoutingRevision, RoutingState, RoutingUpdate,
};

use crate::fixture::{declaration, notice, route, stored, workspace};

fn describe(endpoint: &PoolEndpoint) -> DirectoryChange {
    DirectoryChange {
        endpoint: endpoint.clone(),
        cold_left_ms: 0,
    }
}

fn update(state: &RoutingState, index: u64, declaration: u64) -> RoutingUpdate {
    let update = state.declaration_update(declaration).map(Arc::new);
    state.update_from(RoutingRevision { index, declaration }, update, describe)
}

fn order(target: &str) -> RolloutOrder {
    RolloutOrder {
        service: Arc::from("orders"),
        target: Arc::from(target),
        duration_ms: 10_000,
    }
}

#[test]
fn the_declaration_with_the_highest_number_is_in_force() {
    let mut state = RoutingState::default();
    state.apply(1, &RoutingCommand::Declare(stored(declaration(7))));

    let older = state.apply(2, &RoutingCommand::Declare(stored(declaration(5))));
    let mut other = declaration(7);
    other.routes.clear();
    let same = state.apply(3, &RoutingCommand::Declare(stored(other)));

    let current = state.declaration().expect("declared");
    assert_eq!(older, RoutingOutcome::Overtaken);
    assert_eq!(same, RoutingOutcome::Overtaken);
    assert_eq!(*current.declaration, declaration(7));
    assert_eq!(&*current.text, b"text of 7");
}

#[test]
fn an_entry_reaches_the_same_declaration_by_differences() {
    let mut state = RoutingState::default();
    let mut wanted = declaration(1);
    let mut known = RouteDeclaration::default();
    for number in 1..40_u64 {
        wanted.number = number * 3;
        let name = format!("r{number}");
        wanted.routes.push(route(&name, &format!("/{name}/")));
        if number % 3 == 0 {
            wanted.routes.remove(0);
        }
        if number % 4 == 0 {
            wanted.routes[0].timeout_ms += 1;
            wanted.workspaces[0] = workspace("riders", &[&name]);
        }
        state.apply(number, &RoutingCommand::Declare(stored(wanted.clone())));
        // The entry misses some declarations, and at times more than the keeper retains, so that it
        // needs a full update.
        if number % 5 == 0 || number > 30 {
            let update = update(&state, 0, known.number);
            let change = update.declaration.expect("changed declaration");
            Arc::unwrap_or_clone(change).apply(&mut known);

            let mut routes = known.routes.clone();
            let mut expected = wanted.routes.clone();
            routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
            expected.sort_by(|a, b| a.prefix.cmp(&b.prefix));
            assert_eq!(routes, expected, "number {number}");
            assert_eq!(known.workspaces, wanted.workspaces);
        }
    }
}

#[test]
fn a_difference_holds_only_what_changed() {
    let mut state = RoutingState::default();
    let mut wide = declaration(1);
    for number in 0..500 {
        let name = format!("r{number}");
        wide.routes.push(route(&name, &format!("/{name}/")));
    }
    state.apply(1, &RoutingCommand::Declare(stored(wide.clone())));
    wide.number = 2;
    wide.routes[100].timeout_ms = 9;

    state.apply(2, &RoutingCommand::Declare(stored(wide)));

    let change = update(&state, 1, 1)
        .declaration
        .expect("changed declaration");
    assert_eq!(change.routes.len(), 1);
    assert_eq!(change.services, None);
    assert_eq!(change.workspaces, None);
}

#[test]
fn an_update_is_computed_once_for_all_entries_with_the_same_declaration() {
    let mut state = RoutingState::default();
    let mut updates = DeclarationUpdates::default();
    state.apply(1, &RoutingCommand::Declare(stored(declaration(1))));
    state.apply(2, &RoutingCommand::Declare(stored(declaration(2))));

    let first = updates.update(&state, 1).expect("a newer declaration");
    let second = updates.update(&state, 1).expect("a newer declaration");
    let current = updates.update(&state, 2);
    state.apply(3, &RoutingCommand::Declare(stored(declaration(3))));
    let third = updates.update(&state, 1).expect("a newer declaration");

    assert!(Arc::ptr_eq(&first, &second));
    assert_eq!(first.number, 2);
    assert_eq!(current, None);
    assert_eq!(third.number, 3);
}

#[test]
fn each_change_is_sent_to_an_entry_once() {
    let mut state = RoutingState::default();
    state.apply(1, &RoutingCommand::Announce(notice("a", 100, 1)));
    let first = update(&state, 0, 0);

    let again = update(&state, first.index, 0);
    let domain = Arc::from("north");
    let is_out = true;
    state.apply(2, &RoutingCommand::Evacuate { domain, is_out });
    let evacuated = update(&state, first.index, 0);

    assert_eq!(first.endpoints.len(), 1);
    assert_eq!(again.endpoints.len(), 0);
    assert_eq!(evacuated.endpoints.len(), 0);
    assert_eq!(evacuated.evacuated, Some(vec![Arc::from("north")]));
}

#[test]
fn a_repeated_roll_out_request_does_not_reset_progress() {
    let mut state = RoutingState::default();
    state.apply(1, &RoutingCommand::StartRollout(order("v2")));
    let progress = RoutingCommand::MoveRollout {
        service: Arc::from("orders"),
        target: Arc::from("v2"),
        stage: RolloutStage::Shift,
        elapsed_ms: 8_000,
    };
    state.apply(2, &progress);

    state.apply(3, &RoutingCommand::StartRollout(order("v2")));

    assert_eq!(state.rollouts["orders"].stage, RolloutStage::Shift);
    assert_eq!(state.rollouts["orders"].elapsed_ms, 8_000);
}

#[test]
fn a_roll_out_that_has_ended_does_not_change() {
    let mut state = RoutingState::default();
    state.apply(1, &RoutingCommand::StartRollout(order("v2")));
    let progress = |stage| RoutingCommand::MoveRollout {
        service: Arc::from("orders"),
        target: Arc::from("v2"),
        stage,
        elapsed_ms: 9_000,
    };
    state.apply(2, &progress(RolloutStage::RolledBack));

    let outcome = state.apply(3, &progress(RolloutStage::Completed));

    assert_eq!(outcome, RoutingOutcome::Overtaken);
    assert_eq!(state.rollouts["orders"].stage, RolloutStage::RolledBack);
}

fn move_to(stage: RolloutStage) -> RoutingCommand {
    RoutingCommand::MoveRollout {
        service: Arc::from("orders"),
        target: Arc::from("v2"),
        stage,
        elapsed_ms: 9_000,
    }
}

/// Guards against an order that is acknowledged and never carried out.
#[test]
fn roll_out_that_was_rolled_back_starts_again() {
    let mut state = RoutingState::default();
    state.apply(1, &RoutingCommand::StartRollout(order("v2")));
    state.apply(2, &move_to(RolloutStage::RolledBack));

    state.apply(3, &RoutingCommand::RestartRollout(order("v2")));
    state.apply(4, &RoutingCommand::RestartRollout(order("v2")));

    let rollout = &state.rollouts["orders"];
    assert_eq!(rollout.stage, RolloutStage::Trial);
    assert_eq!((rollout.elapsed_ms, rollout.changed_at), (0, 3));
}

#[test]
fn completed_roll_out_does_not_start_again() {
    let mut state = RoutingState::default();
    state.apply(1, &RoutingCommand::StartRollout(order("v2")));
    state.apply(2, &move_to(RolloutStage::Completed));

    state.apply(3, &RoutingCommand::RestartRollout(order("v2")));

    assert_eq!(state.rollouts["orders"].stage, RolloutStage::Completed);
}
