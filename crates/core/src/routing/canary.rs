//! Canary analysis: compares the failures and latency of the target version of a roll-out with
//! those of the other versions.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An arm of the comparison: the calls of one route to one version of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ArmKey {
    /// Service.
    pub service: Arc<str>,
    /// Version.
    pub version: Arc<str>,
    /// Route, with the model if the route has several.
    pub route: Arc<str>,
}

/// Answers observed for an arm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmCount {
    /// Number of answers, including failed ones.
    pub total: f64,
    /// Number of failed answers.
    pub failed: f64,
    /// Sum of the natural logarithms of the latencies of successful answers, in seconds.
    pub log_time: f64,
    /// Sum of the squares of these logarithms.
    pub log_square: f64,
}

impl ArmCount {
    /// Adds an answer with its latency in seconds, or `None` if it failed.
    pub fn record(&mut self, latency_s: Option<f64>) {
        self.total += 1.0;
        match latency_s {
            None => self.failed += 1.0,
            Some(seconds) => {
                let log = seconds.max(0.001).ln();
                self.log_time += log;
                self.log_square += log * log;
            }
        }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        self.log_time += other.log_time;
        self.log_square += other.log_square;
    }

    fn succeeded(&self) -> f64 {
        self.total - self.failed
    }

    fn mean_log(&self) -> Option<f64> {
        (self.succeeded() >= 1.0).then(|| self.log_time / self.succeeded())
    }

    fn log_variance(&self) -> f64 {
        let mean = self.mean_log().unwrap_or_default();
        (self.log_square / self.succeeded().max(1.0) - mean * mean).max(0.05)
    }
}

/// When a version counts as unhealthy.
#[derive(Clone, Debug, PartialEq)]
pub struct CanaryThresholds {
    /// Minimum number of failed answers for the failure rate to count.
    pub min_failed: f64,
    /// Failure rate above that of the old version from which the version is unhealthy.
    pub excess_failure_rate: f64,
    /// Minimum number of successful answers of each version for latencies to be compared.
    pub min_latency_samples: f64,
    /// Increase of the mean log latency from which the version is unhealthy; 0.5 is a factor of
    /// 1.65.
    pub min_log_slowdown: f64,
    /// Minimum increase of the mean log latency, in standard errors of the difference.
    pub min_standard_errors: f64,
}

impl Default for CanaryThresholds {
    fn default() -> Self {
        Self {
            min_failed: 4.0,
            excess_failure_rate: 0.12,
            min_latency_samples: 8.0,
            min_log_slowdown: 0.5,
            min_standard_errors: 3.0,
        }
    }
}

/// Result of the analysis of a version.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionVerdict {
    /// No regression was found.
    Healthy,
    /// A regression was found; holds a description of it.
    Unhealthy(String),
}

/// Collects the counts that entries report and evaluates them.
#[derive(Clone, Debug, Default)]
pub struct CanaryAnalysis {
    thresholds: CanaryThresholds,
    arms: BTreeMap<ArmKey, ArmCount>,
}

impl CanaryAnalysis {
    /// Creates an analysis without any counts.
    pub fn new(thresholds: CanaryThresholds) -> Self {
        Self {
            thresholds,
            arms: BTreeMap::new(),
        }
    }

    /// Adds counts to an arm.
    pub fn add(&mut self, key: &ArmKey, count: &ArmCount) {
        self.arms.entry(key.clone()).or_default().add(count);
    }

    /// Discards the counts of a service.
    pub fn forget(&mut self, service: &str) {
        self.arms.retain(|key, _| *key.service != *service);
    }

    /// Compares version `target` of `service` with all its other versions, first on each route and
    /// then over all routes. The overall comparison covers failures only.
    pub fn evaluate(&self, service: &str, target: &str) -> VersionVerdict {
        let of_service = self.arms.iter().filter(|(key, _)| *key.service == *service);
        let mut routes: BTreeMap<&str, (ArmCount, ArmCount)> = BTreeMap::new();
        for (key, count) in of_service {
            let (old, new) = routes.entry(&key.route).or_default();
            let counts = if *key.version == *target { new } else { old };
            counts.add(count);
        }
        let mut all = (ArmCount::default(), ArmCount::default());
        for (route, (old, new)) in &routes {
            if let Some(reason) = self.find_regression(old, new) {
                return VersionVerdict::Unhealthy(format!("route {route}: {reason}"));
            }
            all.0.add(old);
            all.1.add(new);
        }
        match self.failure_regression(&all.0, &all.1) {
            Some(reason) => VersionVerdict::Unhealthy(reason),
            None => VersionVerdict::Healthy,
        }
    }

    fn find_regression(&self, old: &ArmCount, new: &ArmCount) -> Option<String> {
        self.failure_regression(old, new)
            .or_else(|| self.latency_regression(old, new))
    }

    fn failure_regression(&self, old: &ArmCount, new: &ArmCount) -> Option<String> {
        let old_rate = old.failed / old.total.max(1.0);
        let new_rate = new.failed / new.total.max(1.0);
        let is_regression = new.failed >= self.thresholds.min_failed
            && new_rate >= old_rate + self.thresholds.excess_failure_rate;
        is_regression.then(|| {
            format!(
                "{} of {} answers failed, {:.0}% on the old version",
                new.failed,
                new.total,
                old_rate * 100.0
            )
        })
    }

    fn latency_regression(&self, old: &ArmCount, new: &ArmCount) -> Option<String> {
        if new.succeeded() < self.thresholds.min_latency_samples
            || old.succeeded() < self.thresholds.min_latency_samples
        {
            return None;
        }
        let difference = new.mean_log()? - old.mean_log()?;
        let error =
            (new.log_variance() / new.succeeded() + old.log_variance() / old.succeeded()).sqrt();
        let is_slow = difference >= self.thresholds.min_log_slowdown
            && difference >= self.thresholds.min_standard_errors * error;
        is_slow.then(|| format!("answers take {:.1} times as long", difference.exp()))
    }
}
