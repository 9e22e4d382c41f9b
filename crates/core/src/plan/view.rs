//! Read-only view of the plan in force, as used on the request path.

use super::change::PlanState;
use super::declaration::{QualityTarget, ServiceRule, VersionRule, WorkspaceRule};
use super::rollout::RolloutPhase;
use crate::ids::{DomainId, KindId, RolloutId, ServiceId, VersionId, WorkspaceId};
use crate::time::TimePoint;

/// Maximum length of a chain of successors that is followed.
const MAX_SUCCESSOR_STEPS: usize = 8;

/// A plan at one point of Unix time, which decides which planned outages are in effect.
#[derive(Clone, Copy, Debug)]
pub struct PlanView<'a> {
    plan: &'a PlanState,
    wall_now: TimePoint,
}

impl<'a> PlanView<'a> {
    /// Creates a view of `plan` at `wall_now`.
    pub fn new(plan: &'a PlanState, wall_now: TimePoint) -> Self {
        Self { plan, wall_now }
    }

    /// The underlying plan.
    pub fn plan(&self) -> &'a PlanState {
        self.plan
    }

    /// Rule of workspace `id`, if it is declared.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&'a WorkspaceRule> {
        self.plan.declaration.workspaces.get(id)
    }

    /// Rule of service `id`, if it is declared.
    pub fn service(&self, id: &ServiceId) -> Option<&'a ServiceRule> {
        self.plan.declaration.services.get(id)
    }

    /// Rule of version `id`, if it is declared.
    pub fn version(&self, id: &VersionId) -> Option<&'a VersionRule> {
        self.plan.declaration.versions.get(id)
    }

    /// Target for `kind` in `workspace`, if one is declared.
    pub fn target(&self, workspace: &WorkspaceId, kind: &KindId) -> Option<&'a QualityTarget> {
        self.plan.declaration.target(workspace, kind)
    }

    /// Whether `workspace` is allowed to use `version`.
    pub fn is_allowed(&self, workspace: &WorkspaceId, version: &VersionId) -> bool {
        self.workspace(workspace)
            .is_some_and(|rule| rule.allowed.contains(version))
    }

    /// Whether `version` is withdrawn or not declared.
    pub fn is_withdrawn(&self, version: &VersionId) -> bool {
        self.plan.is_withdrawn(version)
    }

    /// Whether `version` may serve new sessions: it is neither withdrawn nor in quarantine.
    pub fn accepts_new_sessions(&self, version: &VersionId) -> bool {
        !self.is_withdrawn(version) && !self.plan.quarantined.contains_key(version)
    }

    /// Whether `domain` may receive new requests: it is neither drained nor in a planned outage.
    pub fn is_domain_available(&self, domain: &DomainId) -> bool {
        let outages = &self.plan.declaration.outages;
        !self.plan.drained.contains(domain)
            && !outages
                .iter()
                .any(|outage| outage.domain == *domain && outage.covers(self.wall_now))
    }

    /// The version that serves the sessions of `version`: itself, or the nearest successor that is
    /// not withdrawn. `None` if there is none within eight steps.
    pub fn successor(&self, version: &VersionId) -> Option<VersionId> {
        let mut current = version.clone();
        for _ in 0..MAX_SUCCESSOR_STEPS {
            if !self.is_withdrawn(&current) {
                return Some(current);
            }
            current = self.next_successor(&current)?.clone();
        }
        None
    }

    fn next_successor(&self, version: &VersionId) -> Option<&'a VersionId> {
        let by_command = self.plan.withdrawn.get(version).and_then(Option::as_ref);
        let by_declaration = || self.version(version)?.successor.as_ref();
        by_command.or_else(by_declaration)
    }

    /// Share of new sessions that `version` may serve, 0 to 1. It is 1 unless the version takes
    /// part in a roll-out.
    pub fn new_session_share(&self, version: &VersionId) -> f64 {
        let declaration = &self.plan.declaration;
        let involved = declaration
            .rollouts
            .iter()
            .find(|(_, rule)| rule.from == *version || rule.to == *version);
        let Some((id, rule)) = involved else {
            return 1.0;
        };
        let share = self.rollout_share(id);
        if rule.to == *version {
            share
        } else {
            1.0 - share
        }
    }

    /// Share of new sessions that the new version of roll-out `id` serves, 0 to 1.
    pub fn rollout_share(&self, id: &RolloutId) -> f64 {
        let Some(rule) = self.plan.declaration.rollouts.get(id) else {
            return 0.0;
        };
        let Some(progress) = self.plan.rollouts.get(id) else {
            return 0.0;
        };
        match progress.phase {
            RolloutPhase::RolledBack => 0.0,
            RolloutPhase::Complete => 1.0,
            RolloutPhase::Advancing | RolloutPhase::Stopped => {
                rule.steps.get(progress.step).map_or(0.0, |step| step.share)
            }
        }
    }
}
