//! Progress of roll-outs.

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// Advancing through its steps.
    Advancing,
    /// Paused at its step by an operator.
    Stopped,
    /// All new sessions are back on the old version.
    RolledBack,
    /// All new sessions use the new version.
    Complete,
}

/// Progress of one roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// Index of the step in force.
    pub step: usize,
    /// Current phase.
    pub phase: RolloutPhase,
    /// When the step and phase took effect, in Unix time.
    pub since: TimePoint,
    /// Why they took effect, as text for operators.
    pub reason: String,
}

impl RolloutProgress {
    /// Progress of a roll-out that starts at `wall_now`.
    pub fn start(wall_now: TimePoint) -> Self {
        Self {
            step: 0,
            phase: RolloutPhase::Advancing,
            since: wall_now,
            reason: "declared".to_owned(),
        }
    }
}
