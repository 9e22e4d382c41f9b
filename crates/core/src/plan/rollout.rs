//! How far a roll-out has come.

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

/// State of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// Moving through its steps.
    Advancing,
    /// Held at its step by an operator.
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
    /// State.
    pub phase: RolloutPhase,
    /// When the step came into force, in Unix time.
    pub since: TimePoint,
    /// Why the phase was entered, in a sentence.
    pub reason: String,
}

impl RolloutProgress {
    /// The first step, entered at `wall_now`.
    pub fn start(wall_now: TimePoint) -> Self {
        Self {
            step: 0,
            phase: RolloutPhase::Advancing,
            since: wall_now,
            reason: "declared".to_owned(),
        }
    }
}
