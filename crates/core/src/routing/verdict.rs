//! Whether the target version of a roll-out is good, by comparison with the old one.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One route on one version of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ArmKey {
    /// Service.
    pub service: Arc<str>,
    /// Version.
    pub version: Arc<str>,
    /// Route, with the model where it has several.
    pub route: Arc<str>,
}

/// What entries saw of an arm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmCount {
    /// Answers, failed ones among them.
    pub total: f64,
    /// Failed answers.
    pub failed: f64,
    /// Sum of the logarithms of the times of good answers, in seconds.
    pub log_time: f64,
    /// Sum of their squares.
    pub log_square: f64,
}

impl ArmCount {
    /// Adds one answer; `None` for one that failed, else the seconds that it took.
    pub fn note(&mut self, took_s: Option<f64>) {
        self.total += 1.0;
        match took_s {
            None => self.failed += 1.0,
            Some(seconds) => {
                let log = seconds.max(0.001).ln();
                self.log_time += log;
                self.log_square += log * log;
            }
        }
    }

    /// Adds the counts of another entry.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        self.log_time += other.log_time;
        self.log_square += other.log_square;
    }

    fn good(&self) -> f64 {
        self.total - self.failed
    }

    fn mean_log(&self) -> Option<f64> {
        (self.good() >= 1.0).then(|| self.log_time / self.good())
    }

    fn variance(&self) -> f64 {
        let mean = self.mean_log().unwrap_or_default();
        (self.log_square / self.good().max(1.0) - mean * mean).max(0.05)
    }
}

/// When a version counts as bad.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictSettings {
    /// Failed answers before a version can be bad.
    pub min_failed: f64,
    /// Share of failures above the old version's at which it is bad.
    pub excess: f64,
    /// Good answers before times are compared.
    pub min_timed: f64,
    /// Mean logarithm of times above the old version's at which it is bad.
    pub slow_log: f64,
    /// Standard errors by which the means must differ.
    pub sigmas: f64,
}

impl Default for VerdictSettings {
    fn default() -> Self {
        Self {
            min_failed: 4.0,
            excess: 0.12,
            min_timed: 8.0,
            slow_log: 0.5,
            sigmas: 3.0,
        }
    }
}

/// What the evidence says.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionVerdict {
    /// Nothing speaks against it.
    Sound,
    /// It is bad, for the reason given.
    Bad(String),
}

/// Evidence of all arms, as entries report it.
#[derive(Clone, Debug, Default)]
pub struct VerdictBook {
    settings: VerdictSettings,
    arms: BTreeMap<ArmKey, ArmCount>,
}

impl VerdictBook {
    /// Empty.
    pub fn new(settings: VerdictSettings) -> Self {
        Self {
            settings,
            arms: BTreeMap::new(),
        }
    }

    /// Adds a report.
    pub fn add(&mut self, key: &ArmKey, count: &ArmCount) {
        self.arms.entry(key.clone()).or_default().add(count);
    }

    /// Forgets the evidence of a service.
    pub fn forget(&mut self, service: &str) {
        self.arms.retain(|key, _| *key.service != *service);
    }

    /// Compares version `target` of `service` with all others.
    pub fn judge(&self, service: &str, target: &str) -> VersionVerdict {
        let of_service = self.arms.iter().filter(|(key, _)| *key.service == *service);
        let mut routes: BTreeMap<&str, (ArmCount, ArmCount)> = BTreeMap::new();
        for (key, count) in of_service {
            let (old, new) = routes.entry(&key.route).or_default();
            let side = if *key.version == *target { new } else { old };
            side.add(count);
        }
        let mut all = (ArmCount::default(), ArmCount::default());
        for (route, (old, new)) in &routes {
            if let Some(reason) = self.fault_of(old, new) {
                return VersionVerdict::Bad(format!("route {route}: {reason}"));
            }
            all.0.add(old);
            all.1.add(new);
        }
        match self.failures_of(&all.0, &all.1) {
            Some(reason) => VersionVerdict::Bad(reason),
            None => VersionVerdict::Sound,
        }
    }

    fn fault_of(&self, old: &ArmCount, new: &ArmCount) -> Option<String> {
        self.failures_of(old, new)
            .or_else(|| self.slowness_of(old, new))
    }

    fn failures_of(&self, old: &ArmCount, new: &ArmCount) -> Option<String> {
        let old_share = old.failed / old.total.max(1.0);
        let new_share = new.failed / new.total.max(1.0);
        let is_bad =
            new.failed >= self.settings.min_failed && new_share >= old_share + self.settings.excess;
        is_bad.then(|| {
            format!(
                "{} of {} answers failed, {:.0}% on the old version",
                new.failed,
                new.total,
                old_share * 100.0
            )
        })
    }

    fn slowness_of(&self, old: &ArmCount, new: &ArmCount) -> Option<String> {
        if new.good() < self.settings.min_timed || old.good() < self.settings.min_timed {
            return None;
        }
        let difference = new.mean_log()? - old.mean_log()?;
        let error = (new.variance() / new.good() + old.variance() / old.good()).sqrt();
        let is_slow =
            difference >= self.settings.slow_log && difference >= self.settings.sigmas * error;
        is_slow.then(|| format!("answers take {:.1} times as long", difference.exp()))
    }
}
