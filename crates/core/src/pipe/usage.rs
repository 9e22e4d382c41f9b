//! What this entry knows of its own use of each endpoint.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::EndpointId;
use crate::state::{CreditHolder, EndpointRecord};

/// Answers that a running mean remembers.
const MEAN_MEMORY: f64 = 16.0;

/// A running mean of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunningMean {
    value_ms: f64,
    count: f64,
}

impl RunningMean {
    /// Adds a duration.
    pub fn add(&mut self, span: Duration) {
        self.count = (self.count + 1.0).min(MEAN_MEMORY);
        self.value_ms += (span.as_secs_f64() * 1_000.0 - self.value_ms) / self.count;
    }

    /// The mean in milliseconds, once there is one.
    pub fn millis(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value_ms)
    }
}

/// This entry's use of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointUsage {
    /// Requests of this entry that run there.
    pub in_flight: u32,
    /// Requests started since the endpoint's newest load report, less those finished.
    pub since_report: i32,
    /// First-token times.
    pub first_token: RunningMean,
    /// Whole-answer times.
    pub whole_answer: RunningMean,
    /// Slots, while the endpoint is cold.
    pub wallet: CreditHolder,
    /// Slow answers in a row, against the running mean.
    pub slow_streak: u32,
}

impl EndpointUsage {
    /// Requests that the endpoint has, as far as report and own use tell.    ///
    /// Other entries start requests there too. What this entry started since the report stands for
    /// `unseen` requests of each kind: itself and those that it cannot see.
    pub fn estimated_load(&self, record: &EndpointRecord, unseen: f64) -> u32 {
        let load = &record.announcement.load;
        let reported = i64::from(load.running) + i64::from(load.waiting);
        let since = f64::from(self.since_report) * unseen;
        let estimate = reported + since.round() as i64;
        u32::try_from(estimate.max(0))
            .unwrap_or(u32::MAX)
            .max(self.in_flight)
    }
}

/// Use of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    usages: HashMap<EndpointId, EndpointUsage>,
}

impl UsageTable {
    /// Use of `endpoint`.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointUsage> {
        self.usages.get(endpoint)
    }

    /// Use of `endpoint`, to be changed.
    pub fn entry(&mut self, endpoint: &EndpointId) -> &mut EndpointUsage {
        if !self.usages.contains_key(endpoint) {
            self.usages
                .insert(endpoint.clone(), EndpointUsage::default());
        }
        self.usages.entry(endpoint.clone()).or_default()
    }

    /// All uses.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&EndpointId, &mut EndpointUsage)> {
        self.usages.iter_mut()
    }

    /// Forgets `endpoint`, unless requests still run there.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        if self.usages.get(endpoint).is_some_and(|u| u.in_flight == 0) {
            self.usages.remove(endpoint);
        }
    }

    /// Requests of this entry that run on any endpoint.
    pub fn in_flight(&self) -> u32 {
        self.usages.values().map(|usage| usage.in_flight).sum()
    }
}
