//! In which order a call whose model the router chooses tries the models of its route.
//!
//! Endpoints may run some of the models only, for example while a new model is brought in at one
//! endpoint after the other. The order answers two loads: calls for a model that no endpoint runs,
//! and calls that the few endpoints of one model have no room for while those of another are idle.

use serde::{Deserialize, Serialize};

/// When the endpoints of a model count as full.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ModelOrderSettings {
    /// Load of a model's endpoints, as a fraction of their slots, from which calls go to the
    /// endpoints of another model first.
    pub full_load: f64,
}

impl Default for ModelOrderSettings {
    fn default() -> Self {
        Self { full_load: 0.8 }
    }
}

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostLoad {
    /// Running and queued calls.
    pub calls: f64,
    /// Maximum number of calls that it runs concurrently.
    pub slots: f64,
}

/// A model to try, at the endpoints that run it and none of the models in `passed`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelStep {
    /// Index of the model.
    pub index: usize,
    /// Indexes of the models that the call prefers and that endpoints run.
    pub passed: Vec<usize>,
}

impl ModelStep {
    /// The model with `index`, at all endpoints that run it.
    pub fn of(index: usize) -> Self {
        Self {
            index,
            passed: Vec::new(),
        }
    }
}

/// Models to try, from the indexes in `preference`: each that an endpoint runs which runs no model
/// before it. Those whose endpoints are full come last. `runs` tells whether an endpoint runs the
/// model with an index.
pub fn order_models<H>(
    settings: &ModelOrderSettings,
    preference: &[usize],
    hosts: &[H],
    runs: impl Fn(&H, usize) -> bool,
    load: impl Fn(&H) -> HostLoad,
) -> Vec<ModelStep> {
    let mut rest: Vec<&H> = hosts.iter().collect();
    let mut steps = Vec::new();
    let mut passed = Vec::new();
    for index in preference {
        let (running, others): (Vec<&H>, Vec<&H>) =
            rest.into_iter().partition(|host| runs(host, *index));
        rest = others;
        if running.is_empty() {
            continue;
        }
        let step = ModelStep {
            index: *index,
            passed: passed.clone(),
        };
        steps.push((step, running));
        passed.push(*index);
    }
    let is_full = |running: &[&H]| {
        let loads = running.iter().map(|host| load(host));
        let total = loads.fold(HostLoad::default(), |sum, host| HostLoad {
            calls: sum.calls + host.calls,
            slots: sum.slots + host.slots,
        });
        total.calls >= total.slots * settings.full_load
    };
    if steps.len() > 1 {
        steps.sort_by_cached_key(|(_, running)| is_full(running));
    }
    steps.into_iter().map(|(step, _)| step).collect()
}
