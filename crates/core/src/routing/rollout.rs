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

/// Shares of a roll-out's duration at which its stage changes.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutTiming {
    /// Time before the deadline at which everything moves to the new version: long enough for
    /// the answers that the old version has begun.
    pub shift_before: Duration,
    /// Time before the deadline at which the roll-out is completed.
    pub complete_before: Duration,
    /// Share of the duration that the trial lasts at least.
    pub trial_share: f64,
}

impl Default for RolloutTiming {
    fn default() -> Self {
        Self {
            shift_before: Duration::from_millis(2_500),
            complete_before: Duration::from_millis(900),
            trial_share: 0.75,
        }
    }
}

impl RolloutTiming {
    /// Stage that a good version has reached after `elapsed_ms`.
    pub fn stage_of_good(&self, order: &RolloutOrder, elapsed_ms: u64) -> RolloutStage {
        let duration = Duration::from_millis(order.duration_ms);
        let elapsed = Duration::from_millis(elapsed_ms);
        let shift_at = duration
            .saturating_sub(self.shift_before)
            .max(duration.mul_f64(self.trial_share));
        let complete_at = duration.saturating_sub(self.complete_before).max(shift_at);
        if elapsed >= complete_at {
            RolloutStage::Completed
        } else if elapsed >= shift_at {
            RolloutStage::Shift
        } else {
            RolloutStage::Trial
        }
    }
}
