//! Questions that the request path asks of the plan in force.

use super::change::PlanState;
use super::declaration::{QualityTarget, ServiceRule, VersionRule, WorkspaceRule};
use super::rollout::RolloutPhase;
use crate::ids::{DomainId, KindId, RolloutId, ServiceId, VersionId, WorkspaceId};
use crate::time::TimePoint;

/// Longest chain of successors that is followed.
const MAX_SUCCESSOR_STEPS: usize = 8;

/// A plan at one moment of Unix time.
#[derive(Clone, Copy, Debug)]
pub struct PlanView<'a> {
    plan: &'a PlanState,
    wall_now: TimePoint,
}

impl<'a> PlanView<'a> {
    /// The view of `plan` at `wall_now`.
    pub fn new(plan: &'a PlanState, wall_now: TimePoint) -> Self {
        Self { plan, wall_now }
    }

    /// The plan itself.
    pub fn plan(&self) -> &'a PlanState {
        self.plan
    }

    /// The workspace's rule, if it is declared.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&'a WorkspaceRule> {
        self.plan.declaration.workspaces.get(id)
    }

    /// The service's rule, if it is declared.
    pub fn service(&self, id: &ServiceId) -> Option<&'a ServiceRule> {
        self.plan.declaration.services.get(id)
    }

    /// The version's rule, if it is declared.
    pub fn version(&self, id: &VersionId) -> Option<&'a VersionRule> {
        self.plan.declaration.versions.get(id)
    }

    /// The target for `kind` in `workspace`, if one is declared.
    pub fn target(&self, workspace: &WorkspaceId, kind: &KindId) -> Option<&'a QualityTarget> {
        self.plan.declaration.target(workspace, kind)
    }

    /// Whether `workspace` may use `version`.
    pub fn is_allowed(&self, workspace: &WorkspaceId, version: &VersionId) -> bool {
        self.workspace(workspace)
            .is_some_and(|rule| rule.allowed.contains(version))
    }

    /// Whether `version` is withdrawn.
    pub fn is_withdrawn(&self, version: &VersionId) -> bool {
        self.plan.is_withdrawn(version)
    }

    /// Whether `version` may serve sessions that it does not serve yet.
    pub fn accepts_new_sessions(&self, version: &VersionId) -> bool {
        !self.is_withdrawn(version) && !self.plan.quarantined.contains_key(version)
    }

    /// Whether `domain` takes new work.
    pub fn is_domain_available(&self, domain: &DomainId) -> bool {
        let outages = &self.plan.declaration.outages;
        !self.plan.drained.contains(domain)
            && !outages
                .iter()
                .any(|outage| outage.domain == *domain && outage.covers(self.wall_now))
    }

    /// The version that sessions of `version` belong to now: itself, or the nearest successor
    /// that is not withdrawn. `None` when there is none.
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
        let commanded = self.plan.withdrawn.get(version).and_then(Option::as_ref);
        let declared = || self.version(version)?.successor.as_ref();
        commanded.or_else(declared)
    }

    /// Share of new sessions that `version` may serve: 1 unless a roll-out says otherwise.
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

    /// Share of new sessions on the new version of roll-out `id`.
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
