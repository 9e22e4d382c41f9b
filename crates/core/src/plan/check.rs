//! Checks that concern a declaration as a whole, such as references between sheets.

use std::collections::BTreeSet;

use super::declaration::{PlanDeclaration, QualityTarget, RolloutRule};
use super::finding::{PlanFinding, SheetPlace};
use crate::ids::{RolloutId, VersionId};

/// All findings about `plan` that a check of a single cell cannot detect.
///
/// `place` returns the row that declares an item, given the sheet and the item's key.
pub fn check_declaration(
    plan: &PlanDeclaration,
    place: &dyn Fn(&str, &str) -> SheetPlace,
) -> Vec<PlanFinding> {
    let mut findings = Vec::new();
    check_versions(plan, place, &mut findings);
    check_workspaces(plan, place, &mut findings);
    check_targets(plan, place, &mut findings);
    check_rollouts(plan, place, &mut findings);
    check_outages(plan, place, &mut findings);
    findings
}

fn check_versions(
    plan: &PlanDeclaration,
    place: &dyn Fn(&str, &str) -> SheetPlace,
    findings: &mut Vec<PlanFinding>,
) {
    for (version, rule) in &plan.versions {
        let at = place("versions", version.as_str());
        if !plan.services.contains_key(&rule.service) {
            findings.push(PlanFinding::new(
                at.clone(),
                format!("service {} is not declared", rule.service),
                "declare it in sheet services or name a declared one",
            ));
        }
        let Some(successor) = &rule.successor else {
            continue;
        };
        if let Some(problem) = successor_problem(plan, version, successor) {
            findings.push(PlanFinding::new(
                at,
                problem,
                "name a declared version that is not withdrawn",
            ));
        }
    }
}

fn successor_problem(
    plan: &PlanDeclaration,
    version: &VersionId,
    successor: &VersionId,
) -> Option<String> {
    if version == successor {
        return Some(format!("{version} names itself as successor"));
    }
    match plan.versions.get(successor) {
        None => Some(format!("successor {successor} is not declared")),
        Some(rule) if rule.is_withdrawn => Some(format!("successor {successor} is withdrawn")),
        Some(_) => None,
    }
}

fn check_workspaces(
    plan: &PlanDeclaration,
    place: &dyn Fn(&str, &str) -> SheetPlace,
    findings: &mut Vec<PlanFinding>,
) {
    for (workspace, rule) in &plan.workspaces {
        for version in &rule.allowed {
            if !plan.versions.contains_key(version) {
                findings.push(PlanFinding::new(
                    place("allowed", &format!("{workspace}/{version}")),
                    format!("version {version} is not declared"),
                    "declare it in sheet versions or remove the row",
                ));
            }
        }
    }
}

fn check_targets(
    plan: &PlanDeclaration,
    place: &dyn Fn(&str, &str) -> SheetPlace,
    findings: &mut Vec<PlanFinding>,
) {
    for target in &plan.targets {
        let at = place("targets", &format!("{}/{}", target.workspace, target.kind));
        let Some(workspace) = plan.workspaces.get(&target.workspace) else {
            findings.push(PlanFinding::new(
                at,
                format!("workspace {} is not declared", target.workspace),
                "declare it in sheet workspaces",
            ));
            continue;
        };
        if let Some(best) = best_prior_quality(plan, &workspace.allowed)
            && best < target.quality
        {
            findings.push(unreachable_target(at, target, best));
        } else if versions_in_service(plan, &workspace.allowed)
            .next()
            .is_none()
        {
            findings.push(PlanFinding::new(
                at,
                format!("workspace {} has no version in service", target.workspace),
                "allow a version that is not withdrawn",
            ));
        }
    }
}

fn unreachable_target(at: SheetPlace, target: &QualityTarget, best: f64) -> PlanFinding {
    PlanFinding::new(
        at,
        format!(
            "quality {} is above what any allowed version is expected to reach ({best})",
            target.quality
        ),
        "allow a better version or lower the target",
    )
}

pub(super) fn versions_in_service<'a>(
    plan: &'a PlanDeclaration,
    allowed: &'a BTreeSet<VersionId>,
) -> impl Iterator<Item = &'a super::VersionRule> {
    allowed
        .iter()
        .filter_map(|version| plan.versions.get(version))
        .filter(|rule| !rule.is_withdrawn)
}

fn best_prior_quality(plan: &PlanDeclaration, allowed: &BTreeSet<VersionId>) -> Option<f64> {
    versions_in_service(plan, allowed)
        .map(|rule| rule.prior_quality)
        .max_by(f64::total_cmp)
}

fn check_rollouts(
    plan: &PlanDeclaration,
    place: &dyn Fn(&str, &str) -> SheetPlace,
    findings: &mut Vec<PlanFinding>,
) {
    let mut sources: BTreeSet<&VersionId> = BTreeSet::new();
    for (id, rollout) in &plan.rollouts {
        let at = place("rollouts", id.as_str());
        check_rollout_versions(plan, &at, rollout, findings);
        check_rollout_steps(&at, id, rollout, findings);
        if !sources.insert(&rollout.from) {
            findings.push(PlanFinding::new(
                at,
                format!(
                    "a second roll-out leaves {}: shares do not add up",
                    rollout.from
                ),
                "let one roll-out leave a version at a time",
            ));
        }
    }
}

fn check_rollout_versions(
    plan: &PlanDeclaration,
    at: &SheetPlace,
    rollout: &RolloutRule,
    findings: &mut Vec<PlanFinding>,
) {
    if rollout.from == rollout.to {
        findings.push(PlanFinding::new(
            at.clone(),
            format!("the roll-out goes from {} to itself", rollout.from),
            "name two versions",
        ));
    }
    for version in [&rollout.from, &rollout.to] {
        match plan.versions.get(version) {
            None => findings.push(PlanFinding::new(
                at.clone(),
                format!("version {version} is not declared"),
                "declare it in sheet versions",
            )),
            Some(rule) if rule.is_withdrawn && version == &rollout.to => {
                findings.push(PlanFinding::new(
                    at.clone(),
                    format!("the roll-out goes to {version}, which is withdrawn"),
                    "name a version in service",
                ));
            }
            Some(_) => {}
        }
    }
}

fn check_rollout_steps(
    at: &SheetPlace,
    id: &RolloutId,
    rollout: &RolloutRule,
    findings: &mut Vec<PlanFinding>,
) {
    let is_increasing = rollout.steps.windows(2).all(|w| w[0].share < w[1].share);
    if !is_increasing {
        findings.push(PlanFinding::new(
            at.clone(),
            format!("the shares of {id} do not grow from step to step"),
            "order the steps by growing share",
        ));
    }
    let last = rollout.steps.last().map_or(0.0, |step| step.share);
    if (last - 1.0).abs() > f64::EPSILON {
        findings.push(PlanFinding::new(
            at.clone(),
            format!("the last share of {id} is {last}: shares do not add up to the whole"),
            "end with a share of 100 percent",
        ));
    }
}

fn check_outages(
    plan: &PlanDeclaration,
    place: &dyn Fn(&str, &str) -> SheetPlace,
    findings: &mut Vec<PlanFinding>,
) {
    for (index, outage) in plan.outages.iter().enumerate() {
        let at = place("outages", &index.to_string());
        if !plan.domains.contains_key(&outage.domain) {
            findings.push(PlanFinding::new(
                at.clone(),
                format!("failure domain {} is not declared", outage.domain),
                "declare it in sheet domains",
            ));
        }
        if outage.end <= outage.start {
            findings.push(PlanFinding::new(
                at.clone(),
                "the outage ends before it starts",
                "write a later end",
            ));
        }
        if let Some(earlier) = plan.outages[..index]
            .iter()
            .position(|o| o.overlaps(outage))
        {
            let other = place("outages", &earlier.to_string());
            findings.push(PlanFinding::new(
                at,
                format!("overlaps the outage of {} at {other}", outage.domain),
                "join the two or move one",
            ));
        }
    }
}
