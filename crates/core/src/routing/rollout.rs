//! Roll-outs that move a service to a new version by a deadline.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::directory::ChangeIndex;

/// An operator's request to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service to move.
    pub service: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// Time from the request until the roll-out must be complete, in milliseconds.
    pub duration_ms: u64,
}

/// Stage of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutStage {
    /// Canary: a small share of new sessions goes to the new version.
    Trial,
    /// All new calls go to the new version; the old one finishes its running calls.
    Shift,
    /// Done: the old version may be stopped.
    Completed,
    /// The new version failed its trial and gets no calls.
    RolledBack,
}

impl RolloutStage {
    /// Whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// A roll-out in progress or ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The operator's request.
    pub order: RolloutOrder,
    /// Current stage.
    pub stage: RolloutStage,
    /// Time since the request as counted by successive leaders, in milliseconds. Each leader adds
    /// the time that it measures itself. No two leaders' clocks are compared, so a clock step does
    /// not advance a roll-out.
    pub elapsed_ms: u64,
    /// Last change of the stage.
    pub changed_at: ChangeIndex,
    /// Time since the request at which the stage began, in milliseconds.
    pub stage_began_ms: u64,
    /// Versions that earlier roll-outs of the service were rolled back from and that have not been
    /// ordered again since, oldest first.
    pub rejected: Vec<Arc<str>>,
}

/// Number of rejected versions of a service that are kept.
const MAX_REJECTED_VERSIONS: usize = 16;

impl RolloutState {
    /// The first stage of `order`, which was replicated as change `index` and follows the roll-out
    /// `previous` of its service.
    pub(super) fn start(index: ChangeIndex, order: &RolloutOrder, previous: Option<&Self>) -> Self {
        let mut rejected = previous.map_or_else(Vec::new, Self::rejected_versions);
        rejected.retain(|version| *version != order.target);
        let excess = rejected.len().saturating_sub(MAX_REJECTED_VERSIONS);
        rejected.drain(..excess);
        Self {
            order: order.clone(),
            stage: RolloutStage::Trial,
            elapsed_ms: 0,
            changed_at: index,
            stage_began_ms: 0,
            rejected,
        }
    }

    /// All versions that get no calls because they were rolled back, oldest first.
    fn rejected_versions(&self) -> Vec<Arc<str>> {
        let is_rolled_back = self.stage == RolloutStage::RolledBack;
        let target = is_rolled_back.then(|| Arc::clone(&self.order.target));
        self.rejected.iter().cloned().chain(target).collect()
    }

    /// Whether `version` gets no calls because it was rolled back.
    pub fn rejects(&self, version: &str) -> bool {
        let is_rolled_back = self.stage == RolloutStage::RolledBack;
        is_rolled_back && *self.order.target == *version
            || self.rejected.iter().any(|rejected| **rejected == *version)
    }
}

/// When a roll-out advances to its next stage.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutTiming {
    /// Time before the deadline at which all calls move to the new version. Must leave the old
    /// version enough time to finish the answers that it has begun.
    pub shift_before: Duration,
    /// Upper bound of `shift_before`, as a fraction of the roll-out's duration.
    pub max_shift_share: f64,
    /// Time before the deadline at which the roll-out is completed. Must leave enough time for an
    /// election of a new leader.
    pub complete_before: Duration,
    /// Upper bound of `complete_before`, as a fraction of the roll-out's duration.
    pub max_complete_share: f64,
}

impl Default for RolloutTiming {
    fn default() -> Self {
        Self {
            shift_before: Duration::from_millis(3_200),
            max_shift_share: 0.25,
            complete_before: Duration::from_millis(1_500),
            max_complete_share: 0.08,
        }
    }
}

impl RolloutTiming {
    /// Stage that `rollout` takes after `elapsed_ms` if the new version is healthy. No stage is left
    /// out, and the shift is not cut short, also where that takes until after the deadline: the old
    /// version needs the time to finish its calls, and the new one has not had all calls before.
    pub fn next_stage(&self, rollout: &RolloutState, elapsed_ms: u64) -> RolloutStage {
        let due = self.stage_if_healthy(&rollout.order, elapsed_ms);
        let complete_before = self.complete_before(&rollout.order);
        let shift = self.shift_before(&rollout.order);
        let shift = shift.saturating_sub(complete_before);
        let shifted = Duration::from_millis(elapsed_ms.saturating_sub(rollout.stage_began_ms));
        let is_shifted = rollout.stage == RolloutStage::Shift && shifted >= shift;
        if due == RolloutStage::Completed && !is_shifted {
            RolloutStage::Shift
        } else {
            due
        }
    }

    fn shift_before(&self, order: &RolloutOrder) -> Duration {
        let duration = Duration::from_millis(order.duration_ms);
        self.shift_before
            .min(duration.mul_f64(self.max_shift_share))
    }

    fn complete_before(&self, order: &RolloutOrder) -> Duration {
        let duration = Duration::from_millis(order.duration_ms);
        let complete = duration.mul_f64(self.max_complete_share);
        self.complete_before.min(complete)
    }

    /// Stage that is due after `elapsed_ms` if the new version is healthy.
    pub fn stage_if_healthy(&self, order: &RolloutOrder, elapsed_ms: u64) -> RolloutStage {
        let duration = Duration::from_millis(order.duration_ms);
        let elapsed = Duration::from_millis(elapsed_ms);
        let (shift, complete) = (self.shift_before(order), self.complete_before(order));
        if elapsed + complete >= duration {
            RolloutStage::Completed
        } else if elapsed + shift >= duration {
            RolloutStage::Shift
        } else {
            RolloutStage::Trial
        }
    }
}
