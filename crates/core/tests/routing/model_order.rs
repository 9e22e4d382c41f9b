//! In which order the models of a route are tried that some endpoints run.

use chestnutloft_core::routing::{HostLoad, ModelOrderSettings, ModelStep, order_models};

/// Models of an endpoint by their indexes, and its load on ten slots.
type Host = (&'static [usize], f64);

const BY_SIZE: [usize; 3] = [0, 1, 2];

fn order(preference: &[usize], hosts: &[Host]) -> Vec<usize> {
    let steps = steps(preference, hosts).into_iter();
    steps.map(|step| step.index).collect()
}

fn steps(preference: &[usize], hosts: &[Host]) -> Vec<ModelStep> {
    let runs = |host: &Host, index: usize| host.0.contains(&index);
    let load = |host: &Host| HostLoad {
        calls: host.1,
        slots: 10.0,
    };
    order_models(
        &ModelOrderSettings::default(),
        preference,
        hosts,
        runs,
        load,
    )
}

/// Guards against a larger model that takes over at full load, though no other endpoint runs it.
#[test]
fn the_first_model_is_enough_where_all_endpoints_run_it() {
    let hosts: [Host; 2] = [(&[0, 1, 2], 30.0), (&[0, 1, 2], 10.0)];

    assert_eq!(order(&BY_SIZE, &hosts), [0]);
    assert_eq!(order(&[2, 1], &hosts), [2]);
}

/// Guards against a call that waits for a model which nobody runs.
#[test]
fn models_that_no_endpoint_runs_are_left_out() {
    let hosts: [Host; 2] = [(&[1], 0.0), (&[1], 0.0)];

    assert_eq!(order(&BY_SIZE, &hosts), [1]);
    assert_eq!(order(&[2], &hosts), [0; 0]);
}

/// Guards against a full endpoint of a new model beside idle ones of the others.
#[test]
fn full_endpoints_of_one_model_leave_calls_to_those_of_others() {
    let idle: [Host; 3] = [(&[0], 2.0), (&[1, 2], 0.0), (&[1, 2], 0.0)];
    let full: [Host; 3] = [(&[0], 8.0), (&[1, 2], 0.0), (&[1, 2], 0.0)];
    let all_full: [Host; 3] = [(&[0], 9.0), (&[1, 2], 9.0), (&[1, 2], 9.0)];

    assert_eq!(order(&BY_SIZE, &idle), [0, 1]);
    assert_eq!(order(&BY_SIZE, &full), [1, 0]);
    assert_eq!(order(&BY_SIZE, &all_full), [0, 1]);
}

/// Guards against the room of one endpoint being counted for two models.
#[test]
fn only_endpoints_that_run_no_earlier_model_give_room() {
    let hosts: [Host; 2] = [(&[0, 1], 9.0), (&[1], 9.0)];

    assert_eq!(order(&BY_SIZE, &hosts), [0, 1]);
}

/// Guards against calls that take a larger model at endpoints that run the smaller one, because
/// another endpoint that does not is idle.
#[test]
fn further_models_are_tried_only_where_no_preferred_one_is_run() {
    let hosts: [Host; 3] = [(&[0, 1], 9.0), (&[0, 1], 9.0), (&[1], 0.0)];

    let steps = steps(&BY_SIZE, &hosts);

    let passed: Vec<_> = steps
        .iter()
        .map(|step| (step.index, &*step.passed))
        .collect();
    assert_eq!(passed, [(1, &[0][..]), (0, &[][..])]);
}
