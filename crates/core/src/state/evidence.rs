//! Sequential tests (CUSUM) on ratings: they detect a drop in a version's quality, and their counts
//! decide whether a roll-out may advance.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::quality::RatingRecord;
use crate::ids::{KindId, VersionId};

/// Thresholds of the sequential tests.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceSettings {
    /// Drop in quality that the test is tuned to detect, as a share of answers.
    pub detectable_drop: f64,
    /// Sum of log-likelihood ratios at which the quality of a version counts as dropped.
    pub alarm_threshold: f64,
    /// Number of ratings that the declared quality is worth in the reference.
    pub reference_weight: f64,
    /// How far the quality of a new version may lie below the old one's, as a share of answers.
    pub rollout_tolerance: f64,
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        Self {
            detectable_drop: 0.15,
            alarm_threshold: 12.0,
            reference_weight: 20.0,
            rollout_tolerance: 0.03,
        }
    }
}

/// Effective number of ratings over which the reference averages with exponential decay.
const REFERENCE_WINDOW: f64 = 400.0;

/// Test statistics of one version and kind of request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// CUSUM statistic: sum of log-likelihood ratios, never below zero.
    pub suspicion: f64,
    /// Ratings since the last reset.
    pub count: f64,
    /// Good ratings among them.
    pub good: f64,
    /// Decayed number of good ratings in the reference, the long-run quality.
    pub reference_good: f64,
    /// Decayed number of all ratings in the reference.
    pub reference_count: f64,
}

/// Test statistics of all versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceTable {
    versions: BTreeMap<VersionId, BTreeMap<KindId, VersionEvidence>>,
}

impl EvidenceTable {
    /// Adds a rating. Returns whether the quality of the version that answered counts as dropped.
    pub fn add(
        &mut self,
        rating: &RatingRecord,
        declared: f64,
        settings: &EvidenceSettings,
    ) -> bool {
        let kinds = self.versions.entry(rating.answered_by.clone()).or_default();
        let evidence = kinds.entry(rating.kind.clone()).or_default();
        evidence.add(rating.is_good, declared, settings);
        evidence.suspicion >= settings.alarm_threshold
    }

    /// Number of ratings of `version` since its last reset, and of good ratings among them.
    pub fn recent(&self, version: &VersionId) -> (f64, f64) {
        let kinds = self.versions.get(version).into_iter().flatten();
        kinds.fold((0.0, 0.0), |(count, good), (_, evidence)| {
            (count + evidence.count, good + evidence.good)
        })
    }

    /// Test statistics of `version` for `kind`.
    pub fn get(&self, version: &VersionId, kind: &KindId) -> Option<&VersionEvidence> {
        self.versions.get(version)?.get(kind)
    }

    /// Whether a test of `version` has reached a quarter of the alarm threshold.
    pub fn is_suspect(&self, version: &VersionId, settings: &EvidenceSettings) -> bool {
        let mut kinds = self.versions.get(version).into_iter().flatten();
        kinds.any(|(_, evidence)| evidence.suspicion >= settings.alarm_threshold / 4.0)
    }

    /// Resets the tests of `version`, for example at the start of a roll-out step. The reference is
    /// kept.
    pub fn reset(&mut self, version: &VersionId) {
        let kinds = self.versions.get_mut(version).into_iter().flatten();
        for (_, evidence) in kinds {
            evidence.suspicion = 0.0;
            evidence.count = 0.0;
            evidence.good = 0.0;
        }
    }
}

impl VersionEvidence {
    fn add(&mut self, is_good: bool, declared: f64, settings: &EvidenceSettings) {
        let expected = self.expected(declared, settings);
        let ratio = log_likelihood_ratio(is_good, expected, settings.detectable_drop);
        self.suspicion = (self.suspicion + ratio).max(0.0);
        self.count += 1.0;
        self.good += f64::from(u8::from(is_good));
        // If the reference were updated while the statistic rises, it would follow a drop in
        // quality and hide it.
        if self.suspicion < settings.alarm_threshold / 3.0 {
            let decay = 1.0 - 1.0 / REFERENCE_WINDOW;
            self.reference_count = self.reference_count * decay + 1.0;
            self.reference_good = self.reference_good * decay + f64::from(u8::from(is_good));
        }
    }

    /// Expected quality: the declared one, gradually outweighed by the measured one.
    fn expected(&self, declared: f64, settings: &EvidenceSettings) -> f64 {
        let weight = settings.reference_weight;
        (self.reference_good + declared * weight) / (self.reference_count + weight)
    }
}

/// Log-likelihood ratio of one rating: the hypothesis that quality has dropped by `drop` against
/// the hypothesis that it is as expected.
fn log_likelihood_ratio(is_good: bool, expected: f64, drop: f64) -> f64 {
    let baseline = expected.clamp(0.05, 0.98);
    let dropped = (baseline - drop).max(0.02);
    if is_good {
        (dropped / baseline).ln()
    } else {
        ((1.0 - dropped) / (1.0 - baseline)).ln()
    }
}
