//! Which calls an endpoint's address has rejected as meant for another endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::TimePoint;

/// Time for which calls for a model are not sent again to an address that has rejected one. The
/// endpoint is removed sooner if its address has a new owner that announces itself.
const REJECTION_TTL: Duration = Duration::from_secs(5);

/// Maximum number of models that are kept for an address. Callers may name any model.
const MAX_MODELS: usize = 64;

/// Hash of the name of the model that a call is sent for.
pub type ModelHash = u64;

/// Rejections of calls at the address of one endpoint. They may mean that another process listens
/// there, or only that the endpoint does not run the model, so each one counts for its model alone
/// and for a limited time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MisdirectedModels {
    /// Time until which the calls of each model go elsewhere.
    until: BTreeMap<ModelHash, TimePoint>,
}

impl MisdirectedModels {
    /// Records that a call for `model` was rejected as misdirected. Returns when the rejection is
    /// forgotten.
    pub fn record(&mut self, now: TimePoint, model: ModelHash) -> TimePoint {
        self.until.retain(|_, until| now < *until);
        let is_full = self.until.len() >= MAX_MODELS && !self.until.contains_key(&model);
        let oldest = self.until.iter().min_by_key(|(_, until)| **until);
        if let Some(oldest) = oldest.map(|(model, _)| *model)
            && is_full
        {
            self.until.remove(&oldest);
        }
        let until = now + REJECTION_TTL;
        self.until.insert(model, until);
        until
    }

    /// Removes the rejections of `model`.
    pub fn forget(&mut self, model: ModelHash) {
        self.until.remove(&model);
    }

    /// Whether calls for `model` may be sent to the endpoint.
    pub fn accepts(&self, now: TimePoint, model: ModelHash) -> bool {
        self.left(now, model).is_none()
    }

    /// Time until calls for `model` may be sent to the endpoint; `None` if they may be now.
    pub fn left(&self, now: TimePoint, model: ModelHash) -> Option<Duration> {
        let until = self.until.get(&model).filter(|until| now < **until);
        until.map(|until| until.since(now))
    }

    /// Whether the address has rejected no call lately.
    pub fn accepts_all(&self, now: TimePoint) -> bool {
        self.until.values().all(|until| now >= *until)
    }
}
