//! Session bindings: each session is bound to one model version.

use serde::{Deserialize, Serialize};

use crate::hash::content_hash;
use crate::ids::{VersionId, WorkspaceId};
use crate::plan::PlanView;
use crate::time::TimePoint;

/// Hash of a workspace and the name of one of its sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey(pub u128);

impl SessionKey {
    /// Creates the key of session `name` in `workspace`.
    pub fn new(workspace: &WorkspaceId, name: &str) -> Self {
        let text = format!("{workspace}\u{0}{name}");
        Self(content_hash(text.as_bytes()))
    }
}

/// Result of binding a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BindOutcome {
    /// The session is bound to this version, by this request or an earlier one.
    Bound(VersionId),
    /// The session's version is withdrawn and has no successor in service.
    NoSuccessor(VersionId),
    /// The requested version is withdrawn.
    NotAllowed(VersionId),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct BindingRecord {
    pub version: VersionId,
    pub used_at: TimePoint,
}

impl BindingRecord {
    /// Returns the bound version. A withdrawn version is first replaced by its successor; no other
    /// event moves a session to another version.
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
