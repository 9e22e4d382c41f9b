//! What ratings say about the quality of each way to answer.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{KindId, VersionId, WorkspaceId};

/// A way to answer a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RouteArm {
    /// One version answers.
    Single(VersionId),
    /// A cheap version answers first; where its own confidence is low, a strong one answers.
    Cascade {
        /// First step.
        cheap: VersionId,
        /// Second step.
        strong: VersionId,
    },
}

impl RouteArm {
    /// The version that a session is bound to when this arm serves it.
    pub fn version(&self) -> &VersionId {
        match self {
            Self::Single(version) => version,
            Self::Cascade { strong, .. } => strong,
        }
    }

    /// All versions that may run.
    pub fn versions(&self) -> impl Iterator<Item = &VersionId> {
        let (first, second) = match self {
            Self::Single(version) => (version, None),
            Self::Cascade { cheap, strong } => (cheap, Some(strong)),
        };
        std::iter::once(first).chain(second)
    }
}

/// One rated answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RatingRecord {
    /// Workspace that asked.
    pub workspace: WorkspaceId,
    /// Kind of request.
    pub kind: KindId,
    /// How it was answered.
    pub arm: RouteArm,
    /// Version whose answer the caller got.
    pub answered_by: VersionId,
    /// Whether the answer was rated good.
    pub is_good: bool,
}

/// What an estimate is kept for. Without a workspace it pools all workspaces.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QualityKey {
    /// Workspace, or `None` for the pool.
    pub workspace: Option<WorkspaceId>,
    /// Kind of request.
    pub kind: KindId,
    /// How it is answered.
    pub arm: RouteArm,
}

/// Ratings of one key; older ones weigh less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RatingTotals {
    /// Weight of good ratings.
    pub good: f64,
    /// Weight of all ratings.
    pub count: f64,
}

impl RatingTotals {
    fn add(&mut self, is_good: bool, memory: f64) {
        let keep = 1.0 - 1.0 / memory;
        self.good = self.good * keep + f64::from(u8::from(is_good));
        self.count = self.count * keep + 1.0;
    }

    fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.good / self.count)
    }
}

/// How ratings become estimates.
#[derive(Clone, Debug, PartialEq)]
pub struct QualitySettings {
    /// Ratings that an estimate remembers.
    pub memory: f64,
    /// Ratings that the declared quality counts for.
    pub prior_weight: f64,
    /// Ratings of other workspaces that count for a workspace at most.
    pub pool_weight: f64,
    /// Standard deviations between the mean and a bound.
    pub bound_width: f64,
}

impl Default for QualitySettings {
    fn default() -> Self {
        Self {
            memory: 2_000.0,
            prior_weight: 40.0,
            pool_weight: 1_000.0,
            bound_width: 0.7,
        }
    }
}

/// An estimate of quality with its bounds, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QualityEstimate {
    /// Lower confidence bound.
    pub lower: f64,
    /// Mean.
    pub mean: f64,
    /// Upper confidence bound.
    pub upper: f64,
    /// Ratings behind it, with the prior.
    pub weight: f64,
}

/// Estimates of the quality of each way to answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QualityTable {
    cells: BTreeMap<QualityKey, RatingTotals>,
    suspects: BTreeSet<VersionId>,
    /// Grows with each rating, so that readers fetch only a book that changed.
    version: u64,
}

impl QualityTable {
    /// Adds a rating.
    pub fn add(&mut self, rating: &RatingRecord, settings: &QualitySettings) {
        self.version += 1;
        let own = QualityKey {
            workspace: Some(rating.workspace.clone()),
            kind: rating.kind.clone(),
            arm: rating.arm.clone(),
        };
        let pool = QualityKey {
            workspace: None,
            ..own.clone()
        };
        for key in [own, pool] {
            let cell = self.cells.entry(key).or_default();
            cell.add(rating.is_good, settings.memory);
        }
    }
    /// Notes whether ratings of `version` raise the suspicion that it has turned bad.
    pub fn set_suspect(&mut self, version: &VersionId, is_suspect: bool) {
        if !is_suspect {
            self.suspects.remove(version);
        } else if !self.suspects.contains(version) {
            self.suspects.insert(version.clone());
        }
    }

    /// Whether every answer of `version` should be rated, to decide soon.
    pub fn is_suspect(&self, version: &VersionId) -> bool {
        self.suspects.contains(version)
    }

    /// Number of changes so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of estimates.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Whether nothing was rated yet.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Forgets what was rated for ways that use `version`.
    pub fn forget(&mut self, version: &VersionId) {
        self.version += 1;
        self.cells
            .retain(|key, _| key.arm.versions().all(|used| used != version));
    }

    /// The pooled cell of `arm` for `kind`.
    pub fn pooled(&self, kind: &KindId, arm: &RouteArm) -> Option<&RatingTotals> {
        self.cells.get(&QualityKey {
            workspace: None,
            kind: kind.clone(),
            arm: arm.clone(),
        })
    }

    /// Ratings of `arm` in every kind, pooled.
    pub fn pooled_over_kinds(&self, arm: &RouteArm) -> RatingTotals {
        self.cells
            .iter()
            .filter(|(key, _)| key.workspace.is_none() && key.arm == *arm)
            .fold(RatingTotals::default(), |sum, (_, cell)| RatingTotals {
                good: sum.good + cell.good,
                count: sum.count + cell.count,
            })
    }

    /// The estimate for `key`: own ratings on top of the pool's on top of the declared quality.
    pub fn estimate(
        &self,
        key: &QualityKey,
        declared: f64,
        settings: &QualitySettings,
    ) -> QualityEstimate {
        let own = self.cells.get(key).copied().unwrap_or_default();
        let pool = self
            .pooled(&key.kind, &key.arm)
            .copied()
            .unwrap_or_default();
        let others = RatingTotals {
            good: (pool.good - own.good).max(0.0),
            count: (pool.count - own.count).max(0.0),
        };
        let shared = others.count.min(settings.pool_weight);
        let shared_good = others.mean().unwrap_or_default() * shared;
        let good = own.good + shared_good + declared * settings.prior_weight;
        let weight = own.count + shared + settings.prior_weight;
        bounds(good, weight, settings.bound_width)
    }
}

/// Mean and bounds of a beta distribution with `good` of `weight` observations.
fn bounds(good: f64, weight: f64, width: f64) -> QualityEstimate {
    let mean = (good / weight).clamp(0.0, 1.0);
    let deviation = (mean * (1.0 - mean) / (weight + 1.0)).sqrt();
    QualityEstimate {
        lower: (mean - width * deviation).max(0.0),
        mean,
        upper: (mean + width * deviation).min(1.0),
        weight,
    }
}
