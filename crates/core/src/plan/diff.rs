//! Differences between two declarations, as a patch and as text for operators.

use std::collections::BTreeMap;
use std::fmt::Display;

use serde::{Deserialize, Serialize};

use super::declaration::{
    DomainRule, OutageWindow, PlanDeclaration, QualityTarget, RolloutRule, ServiceRule,
    VersionRule, WorkspaceRule,
};
use crate::ids::{DomainId, RolloutId, ServiceId, VersionId, WorkspaceId};

/// Changed rows of one sheet; `None` removes the row.
pub type RowChanges<K, V> = BTreeMap<K, Option<V>>;

/// The difference between two declarations, by row. Targets and outages are replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeclarationPatch {
    workspaces: RowChanges<WorkspaceId, WorkspaceRule>,
    versions: RowChanges<VersionId, VersionRule>,
    services: RowChanges<ServiceId, ServiceRule>,
    rollouts: RowChanges<RolloutId, RolloutRule>,
    domains: RowChanges<DomainId, DomainRule>,
    targets: Option<Vec<QualityTarget>>,
    outages: Option<Vec<OutageWindow>>,
}

impl DeclarationPatch {
    /// The patch that turns `old` into `new`.
    pub fn between(old: &PlanDeclaration, new: &PlanDeclaration) -> Self {
        // Destructuring turns a new field of the declaration that is missing here into a compile
        // error.
        let PlanDeclaration {
            workspaces,
            versions,
            services,
            targets,
            rollouts,
            domains,
            outages,
        } = new;
        Self {
            workspaces: changed_rows(&old.workspaces, workspaces),
            versions: changed_rows(&old.versions, versions),
            services: changed_rows(&old.services, services),
            rollouts: changed_rows(&old.rollouts, rollouts),
            domains: changed_rows(&old.domains, domains),
            targets: (old.targets != *targets).then(|| targets.clone()),
            outages: (old.outages != *outages).then(|| outages.clone()),
        }
    }

    /// Whether the patch changes nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Applies the patch to `plan`, which must equal the `old` declaration that it was made from.
    pub fn apply(&self, plan: &mut PlanDeclaration) {
        apply_rows(&self.workspaces, &mut plan.workspaces);
        apply_rows(&self.versions, &mut plan.versions);
        apply_rows(&self.services, &mut plan.services);
        apply_rows(&self.rollouts, &mut plan.rollouts);
        apply_rows(&self.domains, &mut plan.domains);
        if let Some(targets) = &self.targets {
            plan.targets.clone_from(targets);
        }
        if let Some(outages) = &self.outages {
            plan.outages.clone_from(outages);
        }
    }
}

fn changed_rows<K: Ord + Clone, V: PartialEq + Clone>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> RowChanges<K, V> {
    let removed = old
        .keys()
        .filter(|key| !new.contains_key(key))
        .map(|key| (key.clone(), None));
    let changed = new
        .iter()
        .filter(|(key, value)| old.get(key) != Some(value))
        .map(|(key, value)| (key.clone(), Some(value.clone())));
    removed.chain(changed).collect()
}

fn apply_rows<K: Ord + Clone, V: Clone>(changes: &RowChanges<K, V>, rows: &mut BTreeMap<K, V>) {
    for (key, change) in changes {
        match change {
            Some(value) => {
                rows.insert(key.clone(), value.clone());
            }
            None => {
                rows.remove(key);
            }
        }
    }
}

/// Describes the changes that `patch` makes to `old`, with a sentence for each changed row.
pub fn describe_patch(old: &PlanDeclaration, patch: &DeclarationPatch) -> Vec<String> {
    let mut lines = Vec::new();
    describe_workspaces(old, patch, &mut lines);
    describe_versions(old, patch, &mut lines);
    describe_rows("Service", &old.services, &patch.services, &mut lines);
    describe_rows("Roll-out", &old.rollouts, &patch.rollouts, &mut lines);
    describe_rows("Failure domain", &old.domains, &patch.domains, &mut lines);
    if let Some(targets) = &patch.targets {
        describe_targets(&old.targets, targets, &mut lines);
    }
    if let Some(outages) = &patch.outages {
        describe_outages(&old.outages, outages, &mut lines);
    }
    lines
}

fn describe_rows<K: Ord + Display, V>(
    row_kind: &str,
    old: &BTreeMap<K, V>,
    changes: &RowChanges<K, V>,
    lines: &mut Vec<String>,
) {
    for (key, change) in changes {
        let verb = match (change, old.contains_key(key)) {
            (None, _) => "is removed",
            (Some(_), true) => "changes",
            (Some(_), false) => "is new",
        };
        lines.push(format!("{row_kind} {key} {verb}."));
    }
}

fn describe_workspaces(old: &PlanDeclaration, patch: &DeclarationPatch, lines: &mut Vec<String>) {
    for (id, change) in &patch.workspaces {
        let (Some(new), Some(before)) = (change, old.workspaces.get(id)) else {
            let single = BTreeMap::from([(id.clone(), change.clone())]);
            describe_rows("Workspace", &old.workspaces, &single, lines);
            continue;
        };
        for version in new.allowed.difference(&before.allowed) {
            lines.push(format!("Workspace {id} may use {version}."));
        }
        for version in before.allowed.difference(&new.allowed) {
            lines.push(format!("Workspace {id} may no longer use {version}."));
        }
        if before.key_hashes != new.key_hashes {
            lines.push(format!("Workspace {id} gets other keys."));
        }
        let limits = [
            ("rate per second", before.rate_per_s, new.rate_per_s),
            ("burst", before.burst, new.burst),
            (
                "concurrency",
                before.concurrency.into(),
                new.concurrency.into(),
            ),
            ("weight", before.weight, new.weight),
        ];
        for (limit, from, to) in limits
            .into_iter()
            .filter(|(_, from, to)| from.total_cmp(to).is_ne())
        {
            lines.push(format!("Workspace {id}: {limit} goes from {from} to {to}."));
        }
    }
}

fn describe_versions(old: &PlanDeclaration, patch: &DeclarationPatch, lines: &mut Vec<String>) {
    for (id, change) in &patch.versions {
        let was_withdrawn = old.versions.get(id).is_some_and(|rule| rule.is_withdrawn);
        let is_withdrawn = change.as_ref().is_some_and(|rule| rule.is_withdrawn);
        if is_withdrawn && !was_withdrawn && old.versions.contains_key(id) {
            lines.push(format!(
                "Version {id} is withdrawn: it receives no new work."
            ));
            continue;
        }
        let single = BTreeMap::from([(id.clone(), change.clone())]);
        describe_rows("Version", &old.versions, &single, lines);
    }
}

fn describe_targets(old: &[QualityTarget], new: &[QualityTarget], lines: &mut Vec<String>) {
    let has_same_key =
        |a: &QualityTarget, b: &QualityTarget| a.workspace == b.workspace && a.kind == b.kind;
    for target in new {
        let name = format!("{}/{}", target.workspace, target.kind);
        match old.iter().find(|t| has_same_key(t, target)) {
            None => lines.push(format!("Target {name} is new: quality {}.", target.quality)),
            Some(before) if before != target => lines.push(format!(
                "Target {name}: quality goes from {} to {}, first token from {} ms to {} ms.",
                before.quality,
                target.quality,
                before.first_token.as_millis(),
                target.first_token.as_millis()
            )),
            Some(_) => {}
        }
    }
    for removed in old
        .iter()
        .filter(|t| !new.iter().any(|n| has_same_key(n, t)))
    {
        lines.push(format!(
            "Target {}/{} is removed.",
            removed.workspace, removed.kind
        ));
    }
}

fn describe_outages(old: &[OutageWindow], new: &[OutageWindow], lines: &mut Vec<String>) {
    for outage in new.iter().filter(|o| !old.contains(o)) {
        lines.push(format!(
            "Failure domain {} is out from {} to {} (Unix time).",
            outage.domain,
            outage.start.as_secs(),
            outage.end.as_secs()
        ));
    }
    for outage in old.iter().filter(|o| !new.contains(o)) {
        lines.push(format!("The outage of {} is called off.", outage.domain));
    }
}
