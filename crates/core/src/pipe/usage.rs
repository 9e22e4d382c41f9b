//! Requests that this entry has in flight at each endpoint, and the latency that it observes.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::EndpointId;
use crate::state::{CreditHolder, EndpointRecord};

/// Number of samples over which a running mean is averaged.
const MEAN_WINDOW: f64 = 16.0;

/// Running mean of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunningMean {
    value_ms: f64,
    count: f64,
}

impl RunningMean {
    /// Adds a duration.
    pub fn add(&mut self, span: Duration) {
        self.count = (self.count + 1.0).min(MEAN_WINDOW);
        self.value_ms += (span.as_secs_f64() * 1_000.0 - self.value_ms) / self.count;
    }

    /// The mean in milliseconds; `None` without samples.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value_ms)
    }
}

/// This entry's use of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointUsage {
    /// Requests of this entry that are running there.
    pub in_flight: u32,
    /// Requests started since the endpoint's latest load report, less those finished.
    pub net_started_since_report: i32,
    /// Time to first token.
    pub first_token: RunningMean,
    /// Time to the complete answer.
    pub whole_answer: RunningMean,
    /// Slot credits held by this entry, needed while the endpoint is cold.
    pub credits: CreditHolder,
    /// Consecutive answers that were slow compared with the running mean.
    pub slow_streak: u32,
}

impl EndpointUsage {
    /// Estimates how many requests the endpoint is running or has queued.
    ///
    /// The reported load does not include requests started since the report. This entry knows its
    /// own; each of them counts as `unreported_factor` requests to allow for those of other
    /// entries.
    pub fn estimated_load(&self, record: &EndpointRecord, unreported_factor: f64) -> u32 {
        let load = &record.announcement.load;
        let reported = i64::from(load.running) + i64::from(load.waiting);
        let started = f64::from(self.net_started_since_report) * unreported_factor;
        let estimate = reported + started.round() as i64;
        u32::try_from(estimate.max(0))
            .unwrap_or(u32::MAX)
            .max(self.in_flight)
    }
}

/// Usage of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    usages: HashMap<EndpointId, EndpointUsage>,
}

impl UsageTable {
    /// Usage of `endpoint`, if there was any.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointUsage> {
        self.usages.get(endpoint)
    }

    /// Usage of `endpoint`, created if there was none.
    pub fn entry(&mut self, endpoint: &EndpointId) -> &mut EndpointUsage {
        if !self.usages.contains_key(endpoint) {
            self.usages
                .insert(endpoint.clone(), EndpointUsage::default());
        }
        self.usages.entry(endpoint.clone()).or_default()
    }

    /// Usage of all endpoints.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&EndpointId, &mut EndpointUsage)> {
        self.usages.iter_mut()
    }

    /// Removes `endpoint`, unless requests are still running there.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        if self.usages.get(endpoint).is_some_and(|u| u.in_flight == 0) {
            self.usages.remove(endpoint);
        }
    }

    /// Number of requests of this entry that are running on any endpoint.
    pub fn in_flight(&self) -> u32 {
        self.usages.values().map(|usage| usage.in_flight).sum()
    }
}
