//! Which calls an endpoint's address has rejected as meant for another endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::TimePoint;

/// Time for which calls for a model are not sent again to an address that has rejected one. The
/// endpoint is removed sooner if its address has a new owner that announces itself.
const REJECTION_TTL: Duration = Duration::from_secs(5);

/// Rejections of calls at the address of one endpoint. They may mean that another process listens
/// there, or only that the endpoint does not run the model, so each one counts for its model alone
/// and for a limited time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MisdirectedModels {
    /// Hash of each model, with the time until which its calls go elsewhere.
    until: BTreeMap<u64, TimePoint>,
}

impl MisdirectedModels {
    /// Records that a call for the model with this hash was rejected as misdirected.
    pub fn record(&mut self, now: TimePoint, model_hash: u64) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(model_hash, now + REJECTION_TTL);
    }

    /// Whether calls for the model with this hash may be sent to the endpoint.
    pub fn accepts(&self, now: TimePoint, model_hash: u64) -> bool {
        self.until
            .get(&model_hash)
            .is_none_or(|until| now >= *until)
    }
}
