//! Roll-outs of a service's version against a deadline.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::directory::ChangeIndex;

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service.
    pub service: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// Time until it is to be done, in milliseconds.
    pub duration_ms: u64,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutStage {
    /// A small share of new sessions goes to the new version.
    Trial,
    /// Everything goes to the new version; the old one finishes what it has.
    Shift,
    /// Done: the old version may stop.
    Completed,
    /// The new version is bad and gets nothing.
    RolledBack,
}

impl RolloutStage {
    /// Whether the roll-out is decided.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// A roll-out under way or decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The order.
    pub order: RolloutOrder,
    /// How far it is.
    pub stage: RolloutStage,
    /// Time since the order as the leaders have counted it, in milliseconds. Clocks of two leaders
    /// are never compared, so a step of the time of day moves no roll-out.
    pub elapsed_ms: u64,
    /// When the stage last changed.
    pub changed_at: ChangeIndex,
}

/// When a roll-out changes its stage.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutTiming {
    /// Time before the deadline at which everything moves to the new version: long enough for
    /// the answers that the old version has begun.
    pub shift_before: Duration,
    /// Upper bound of `shift_before`, as a fraction of the roll-out's duration.
    pub max_shift_share: f64,
    /// Time before the deadline at which the roll-out is completed: long enough for an election.
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
    /// Stage that a good version has reached after `elapsed_ms`.
    pub fn stage_if_healthy(&self, order: &RolloutOrder, elapsed_ms: u64) -> RolloutStage {
        let duration = Duration::from_millis(order.duration_ms);
        let elapsed = Duration::from_millis(elapsed_ms);
        let shift = self
            .shift_before
            .min(duration.mul_f64(self.max_shift_share));
        let complete = self
            .complete_before
            .min(duration.mul_f64(self.max_complete_share));
        if elapsed + complete >= duration {
            RolloutStage::Completed
        } else if elapsed + shift >= duration {
            RolloutStage::Shift
        } else {
            RolloutStage::Trial
        }
    }
}
