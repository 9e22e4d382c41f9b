//! Session bindings: the version that a session stays on.

use serde::{Deserialize, Serialize};

use crate::hash::content_hash;
use crate::ids::{VersionId, WorkspaceId};
use crate::plan::PlanView;
use crate::time::TimePoint;

/// Hash of a workspace and a session name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey(pub u128);

impl SessionKey {
    /// The key of session `name` in `workspace`.
    pub fn new(workspace: &WorkspaceId, name: &str) -> Self {
        let text = format!("{workspace}\u{0}{name}");
        Self(content_hash(text.as_bytes()))
    }
}

/// Answer to a request to bind a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BindOutcome {
    /// The session is bound to this version, now or since before.
    Bound(VersionId),
    /// Its version is withdrawn and has no successor in service.
    NoSuccessor(VersionId),
    /// The wished version is withdrawn or its workspace may not use it.
    NotAllowed(VersionId),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct BindingRecord {
    pub version: VersionId,
    pub used_at: TimePoint,
}

impl BindingRecord {
    /// Moves the binding off a withdrawn version, and off nothing else.
    pub fn resolve(&mut self, plan: &PlanView<'_>) -> BindOutcome {
        match plan.successor(&self.version) {
            Some(version) => {
                self.version = version.clone();
                BindOutcome::Bound(version)
            }
            None => BindOutcome::NoSuccessor(self.version.clone()),
        }
    }
}
