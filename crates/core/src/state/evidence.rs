//! Sequential tests: whether a version has turned bad, and whether a roll-out may go on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::quality::RatingRecord;
use crate::ids::{KindId, VersionId};

/// Sensitivity of the sequential tests.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceSettings {
    /// Drop of quality that must be noticed, as a share of answers.
    pub drop: f64,
    /// Sum of log-likelihood ratios at which a version counts as bad.
    pub alarm: f64,
    /// Ratings that the declared quality counts for in the reference.
    pub reference_weight: f64,
    /// Quality that a new version may lie below the old one, as a share of answers.
    pub rollout_tolerance: f64,
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        Self {
            drop: 0.15,
            alarm: 12.0,
            reference_weight: 20.0,
            rollout_tolerance: 0.03,
        }
    }
}

/// Ratings that the reference remembers at most.
const REFERENCE_MEMORY: f64 = 400.0;

/// Evidence about one version and kind of request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// Sum of log-likelihood ratios, never below zero.
    pub suspicion: f64,
    /// Ratings since the evidence was last reset.
    pub count: f64,
    /// Good ratings among them.
    pub good: f64,
    /// Good ratings behind the long-run quality.
    pub reference_good: f64,
    /// Ratings behind the long-run quality.
    pub reference_count: f64,
}

/// Evidence about all versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceTable {
    versions: BTreeMap<VersionId, BTreeMap<KindId, VersionEvidence>>,
}

impl EvidenceTable {
    /// Adds a rating. Returns whether the version that answered now counts as bad.
    pub fn add(
        &mut self,
        rating: &RatingRecord,
        declared: f64,
        settings: &EvidenceSettings,
    ) -> bool {
        let kinds = self.versions.entry(rating.answered_by.clone()).or_default();
        let evidence = kinds.entry(rating.kind.clone()).or_default();
        evidence.add(rating.is_good, declared, settings);
        evidence.suspicion >= settings.alarm
    }

    /// Ratings of `version` since its evidence was last reset, and the good ones among them.
    pub fn recent(&self, version: &VersionId) -> (f64, f64) {
        let kinds = self.versions.get(version).into_iter().flatten();
        kinds.fold((0.0, 0.0), |(count, good), (_, evidence)| {
            (count + evidence.count, good + evidence.good)
        })
    }

    /// Evidence about `version` for `kind`.
    pub fn get(&self, version: &VersionId, kind: &KindId) -> Option<&VersionEvidence> {
        self.versions.get(version)?.get(kind)
    }

    /// Whether evidence against `version` has gathered that does not suffice yet.
    pub fn is_suspect(&self, version: &VersionId, settings: &EvidenceSettings) -> bool {
        let mut kinds = self.versions.get(version).into_iter().flatten();
        kinds.any(|(_, evidence)| evidence.suspicion >= settings.alarm / 4.0)
    }

    /// Starts the evidence about `version` anew, as with a new roll-out step.
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
        self.suspicion = (self.suspicion + ratio(is_good, expected, settings.drop)).max(0.0);
        self.count += 1.0;
        self.good += f64::from(u8::from(is_good));
        // A reference learnt while suspicion grows would follow the version down.
        if self.suspicion < settings.alarm / 3.0 {
            let keep = 1.0 - 1.0 / REFERENCE_MEMORY;
            self.reference_count = self.reference_count * keep + 1.0;
            self.reference_good = self.reference_good * keep + f64::from(u8::from(is_good));
        }
    }

    /// Quality that counts as usual: the declared one, replaced bit by bit by what was measured.
    fn expected(&self, declared: f64, settings: &EvidenceSettings) -> f64 {
        let weight = settings.reference_weight;
        (self.reference_good + declared * weight) / (self.reference_count + weight)
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
