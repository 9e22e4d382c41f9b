//! Compares the models that routes list with those that endpoints announce.

use std::collections::BTreeSet;
use std::sync::Arc;

use chestnutloft_core::hash::key_hash;
use chestnutloft_core::time::TimePoint;

use super::state::{EndpointState, EntryState};

/// A service and the name of a model.
pub(super) type ServiceModel = (Arc<str>, Arc<str>);

impl EntryState {
    /// Compares the models that routes list with those that endpoints announce, and logs what has
    /// changed.
    pub(super) fn refresh_models(&mut self) {
        let (mut unserved, mut partial) = (BTreeSet::new(), BTreeSet::new());
        for listed in self.table.listed_models() {
            let (service, model) = listed;
            let hash = key_hash(model.as_bytes());
            let of_service = |endpoint: &&EndpointState| endpoint.notice.service == *service;
            let mut endpoints = self.endpoints.values().filter(of_service);
            if endpoints.any(|endpoint| !endpoint.models.may_run(hash)) {
                partial.insert(Arc::clone(service));
            }
            let mut available = self.available_endpoints(service).peekable();
            let has_endpoints = available.peek().is_some();
            if has_endpoints && !available.any(|endpoint| endpoint.models.may_run(hash)) {
                unserved.insert(listed.clone());
            }
        }
        for (service, model) in unserved.difference(&self.unserved_models) {
            spdlog::warn!(
                "models: no endpoint of service {service} runs model {model}, which a route lists."
            );
        }
        for (service, model) in self.unserved_models.difference(&unserved) {
            spdlog::info!("models: model {model} of service {service} is no longer missing.");
        }
        self.unserved_models = unserved;
        self.partial_services = partial;
    }

    /// Whether all endpoints of `service` take calls for all models that its routes list, as far as
    /// this entry knows.
    pub(super) fn has_uniform_models(&self, now: TimePoint, service: &str) -> bool {
        self.rejections_until.is_none_or(|until| now >= until)
            && !self.partial_services.contains(service)
    }

    /// Models that routes list and no endpoint of their service runs.
    pub fn unserved_models(&self) -> impl Iterator<Item = (&str, &str)> {
        let models = self.unserved_models.iter();
        models.map(|(service, model)| (&**service, &**model))
    }
}
