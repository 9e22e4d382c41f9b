//! Sequential tests: whether a version has turned bad, and whether a roll-out may go on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::quality::RatingRecord;
use crate::ids::VersionId;

/// Sensitivity of the sequential tests.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceSettings {
    /// Drop of quality that must be noticed, as a share of answers.
    pub drop: f64,
    /// Sum of log-likelihood ratios at which a version counts as bad.
    pub alarm: f64,
    /// Ratings after which the measured quality replaces the declared one as reference.
    pub reference_ratings: f64,
    /// Quality that a new version may lie below the old one, as a share of answers.
    pub rollout_tolerance: f64,
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        Self {
            drop: 0.15,
            alarm: 5.5,
            reference_ratings: 60.0,
            rollout_tolerance: 0.03,
        }
    }
}

/// Evidence about one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// Sum of log-likelihood ratios, never below zero.
    pub suspicion: f64,
    /// Ratings since the evidence was last reset.
    pub count: f64,
    /// Good ratings among them.
    pub good: f64,
    /// Long-run quality, learnt slowly.
    pub reference: f64,
    /// Ratings behind the reference.
    pub reference_count: f64,
}

/// Evidence about all versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceBook {
    versions: BTreeMap<VersionId, VersionEvidence>,
}

impl EvidenceBook {
    /// Adds a rating. Returns whether the version that answered now counts as bad.
    pub fn add(
        &mut self,
        rating: &RatingRecord,
        declared: f64,
        settings: &EvidenceSettings,
    ) -> bool {
        let version = rating.answered_by.clone();
        let evidence = self.versions.entry(version).or_default();
        evidence.add(rating.is_good, declared, settings);
        evidence.suspicion >= settings.alarm
    }

    /// Evidence about `version`.
    pub fn get(&self, version: &VersionId) -> Option<&VersionEvidence> {
        self.versions.get(version)
    }

    /// Starts the evidence about `version` anew, as with a new roll-out step.
    pub fn reset(&mut self, version: &VersionId) {
        if let Some(evidence) = self.versions.get_mut(version) {
            evidence.suspicion = 0.0;
            evidence.count = 0.0;
            evidence.good = 0.0;
        }
    }
}

impl VersionEvidence {
    fn add(&mut self, is_good: bool, declared: f64, settings: &EvidenceSettings) {
        let expected = self.expected(declared, settings);
        self.suspicion = (self.suspicion + ratio(is_good, expected, settings.drop)).max(0.0);
        self.count += 1.0;
        self.good += f64::from(u8::from(is_good));
        // A reference learnt while suspicion grows would follow the version down.
        if self.suspicion < settings.alarm / 2.0 {
            self.reference_count += 1.0;
            let weight = self.reference_count.min(settings.reference_ratings * 5.0);
            self.reference += (f64::from(u8::from(is_good)) - self.reference) / weight;
        }
    }

    fn expected(&self, declared: f64, settings: &EvidenceSettings) -> f64 {
        if self.reference_count >= settings.reference_ratings {
            self.reference
        } else {
            declared
        }
    }

    /// Share of good ratings since the last reset.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.good / self.count)
    }
}

/// Log-likelihood ratio of one rating: quality dropped by `drop` against quality as expected.
fn ratio(is_good: bool, expected: f64, drop: f64) -> f64 {
    let usual = expected.clamp(0.05, 0.98);
    let dropped = (usual - drop).max(0.02);
    if is_good {
        (dropped / usual).ln()
    } else {
        ((1.0 - dropped) / (1.0 - usual)).ln()
    }
}
