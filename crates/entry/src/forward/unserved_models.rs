//! Models that routes list and no endpoint announces, for the log and the metrics page.

use std::collections::BTreeSet;
use std::sync::Arc;

use chestnutloft_core::hash::key_hash;

use super::state::EntryState;

/// A service and the name of a model.
pub(super) type ServiceModel = (Arc<str>, Arc<str>);

impl EntryState {
    /// Finds the models of services with endpoints that none of these runs, and logs what has changed.
    pub(super) fn refresh_unserved_models(&mut self) {
        let listed = self.table.listed_models();
        let is_unserved = |listed: &&ServiceModel| self.is_unserved(&listed.0, &listed.1);
        let unserved: BTreeSet<ServiceModel> = listed.filter(is_unserved).cloned().collect();
        for (service, model) in unserved.difference(&self.unserved_models) {
            spdlog::warn!(
                "models: no endpoint of service {service} runs model {model}, which a route lists."
            );
        }
        for (service, model) in self.unserved_models.difference(&unserved) {
            spdlog::info!("models: model {model} of service {service} is no longer missing.");
        }
        self.unserved_models = unserved;
    }

    fn is_unserved(&self, service: &str, model: &str) -> bool {
        let hash = key_hash(model.as_bytes());
        let mut endpoints = self.available_endpoints(service).peekable();
        endpoints.peek().is_some()
            && endpoints
                .all(|endpoint| endpoint.models.is_announced() && !endpoint.models.announces(hash))
    }

    /// Models that routes list and no endpoint of their service runs.
    pub fn unserved_models(&self) -> impl Iterator<Item = (&str, &str)> {
        let models = self.unserved_models.iter();
        models.map(|(service, model)| (&**service, &**model))
    }
}
