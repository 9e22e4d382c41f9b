//! Estimates of answer quality from ratings, for each way to answer a request.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{KindId, VersionId, WorkspaceId};

/// A way to answer a request, as an arm of the multi-armed bandit that chooses versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RouteArm {
    /// One version answers.
    Single(VersionId),
    /// A cheap version answers first; if it reports low confidence, a strong version answers.
    Cascade {
        /// Version that answers first.
        cheap: VersionId,
        /// Version that answers if the first one's confidence is low.
        strong: VersionId,
    },
}

impl RouteArm {
    /// The version that a session is bound to if this arm serves it.
    pub fn version(&self) -> &VersionId {
        match self {
            Self::Single(version) => version,
            Self::Cascade { strong, .. } => strong,
        }
    }

    /// All versions that may run a request.
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
    /// Workspace that sent the request.
    pub workspace: WorkspaceId,
    /// Kind of request.
    pub kind: KindId,
    /// How the request was routed.
    pub arm: RouteArm,
    /// Version whose answer the caller received.
    pub answered_by: VersionId,
    /// Whether the answer was rated good.
    pub is_good: bool,
}

/// Key of an estimate.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QualityKey {
    /// Workspace, or `None` for the estimate pooled over all workspaces.
    pub workspace: Option<WorkspaceId>,
    /// Kind of request.
    pub kind: KindId,
    /// How the request is routed.
    pub arm: RouteArm,
}

/// Exponentially decayed sums of the ratings of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RatingTotals {
    /// Decayed number of good ratings.
    pub good: f64,
    /// Decayed number of all ratings.
    pub count: f64,
}

impl RatingTotals {
    fn add(&mut self, is_good: bool, window: f64) {
        let decay = 1.0 - 1.0 / window;
        self.good = self.good * decay + f64::from(u8::from(is_good));
        self.count = self.count * decay + 1.0;
    }

    fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.good / self.count)
    }
}

/// How estimates are computed from ratings.
#[derive(Clone, Debug, PartialEq)]
pub struct QualitySettings {
    /// Effective number of ratings over which the exponential decay averages.
    pub window: f64,
    /// Number of ratings that the declared quality is worth.
    pub prior_weight: f64,
    /// Maximum number of ratings that those of other workspaces together are worth.
    pub pool_weight: f64,
    /// Distance of the confidence bounds from the mean, in standard deviations.
    pub bound_width: f64,
}

impl Default for QualitySettings {
    fn default() -> Self {
        Self {
            window: 2_000.0,
            prior_weight: 40.0,
            pool_weight: 1_000.0,
            bound_width: 0.7,
        }
    }
}

/// An estimate of quality with its confidence bounds, each from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QualityEstimate {
    /// Lower confidence bound.
    pub lower: f64,
    /// Posterior mean.
    pub mean: f64,
    /// Upper confidence bound.
    pub upper: f64,
    /// Number of ratings that the estimate rests on, including the prior.
    pub weight: f64,
}

/// Ratings of each way to answer, from which quality is estimated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QualityTable {
    cells: BTreeMap<QualityKey, RatingTotals>,
    suspects: BTreeSet<VersionId>,
    /// Increases with each change, so that an entry fetches the table only when it has changed.
    version: u64,
}

impl QualityTable {
    /// Adds a rating to the workspace's own totals and to the pooled ones.
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
            let totals = self.cells.entry(key).or_default();
            totals.add(rating.is_good, settings.window);
        }
    }

    /// Sets whether the ratings of `version` suggest that its quality has dropped.
    pub fn set_suspect(&mut self, version: &VersionId, is_suspect: bool) {
        if !is_suspect {
            self.suspects.remove(version);
        } else if !self.suspects.contains(version) {
            self.suspects.insert(version.clone());
        }
    }

    /// Whether the quality of `version` may have dropped, so that all its answers should be rated
    /// for an early decision.
    pub fn is_suspect(&self, version: &VersionId) -> bool {
        self.suspects.contains(version)
    }

    /// Version of the table: the number of changes so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of estimates.
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Whether there are no estimates.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Discards the ratings of all arms that use `version`.
    pub fn forget(&mut self, version: &VersionId) {
        self.version += 1;
        self.cells
            .retain(|key, _| key.arm.versions().all(|used| used != version));
    }

    /// Ratings of `arm` for `kind`, pooled over all workspaces.
    pub fn pooled(&self, kind: &KindId, arm: &RouteArm) -> Option<&RatingTotals> {
        self.cells.get(&QualityKey {
            workspace: None,
            kind: kind.clone(),
            arm: arm.clone(),
        })
    }

    /// Ratings of `arm`, pooled over all kinds and workspaces.
    pub fn pooled_over_kinds(&self, arm: &RouteArm) -> RatingTotals {
        self.cells
            .iter()
            .filter(|(key, _)| key.workspace.is_none() && key.arm == *arm)
            .fold(RatingTotals::default(), |sum, (_, totals)| RatingTotals {
                good: sum.good + totals.good,
                count: sum.count + totals.count,
            })
    }

    /// The estimate for `key`: the workspace's own ratings, with the declared quality and the
    /// ratings of other workspaces as the prior.
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
        let other_workspaces = RatingTotals {
            good: (pool.good - own.good).max(0.0),
            count: (pool.count - own.count).max(0.0),
        };
        let pool_weight = other_workspaces.count.min(settings.pool_weight);
        let pool_good = other_workspaces.mean().unwrap_or_default() * pool_weight;
        let good = own.good + pool_good + declared * settings.prior_weight;
        let weight = own.count + pool_weight + settings.prior_weight;
        bounds(good, weight, settings.bound_width)
    }
}

/// Mean and confidence bounds of a beta distribution with `good` of `weight` observations. `width`
/// is the distance of the bounds from the mean in standard deviations.
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
