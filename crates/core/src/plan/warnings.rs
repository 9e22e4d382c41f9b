//! Warnings about a plan without errors: rows that never have an effect or contradict each other.

use std::collections::BTreeSet;

use super::check::versions_in_service;
use super::declaration::{PlanDeclaration, ServiceKind, ServiceRule};
use super::finding::{PlanFinding, SheetPlace};
use crate::ids::ServiceId;

/// Returns the row that declares an item, given the sheet and the item's key.
type PlaceLookup<'a> = &'a dyn Fn(&str, &str) -> SheetPlace;

/// Warnings about `plan`. `place` is as in [`check_declaration`](super::check_declaration).
pub fn plan_warnings(plan: &PlanDeclaration, place: PlaceLookup<'_>) -> Vec<PlanFinding> {
    let mut findings = Vec::new();
    check_services(plan, place, &mut findings);
    check_versions(plan, place, &mut findings);
    check_workspaces(plan, place, &mut findings);
    check_targets(plan, place, &mut findings);
    check_outages(plan, place, &mut findings);
    findings
}

fn check_services(plan: &PlanDeclaration, place: PlaceLookup<'_>, findings: &mut Vec<PlanFinding>) {
    let used: BTreeSet<&ServiceId> = plan.versions.values().map(|rule| &rule.service).collect();
    for (service, rule) in &plan.services {
        if rule.kind == ServiceKind::Model && !used.contains(service) {
            findings.push(PlanFinding::new(
                place("services", service.as_str()),
                format!("no version uses service {service}"),
                "remove it, or name it in sheet versions",
            ));
        }
        check_methods(service, rule, place, findings);
    }
}

fn check_methods(
    service: &ServiceId,
    rule: &ServiceRule,
    place: PlaceLookup<'_>,
    findings: &mut Vec<PlanFinding>,
) {
    let mut earlier = BTreeSet::new();
    for method in &rule.methods {
        let (verb, path) = (method.method.as_str(), method.path.as_str());
        let key = format!("{service} {verb} {path}");
        let mut warn = |problem: String, remedy: &str| {
            findings.push(PlanFinding::new(place("methods", &key), problem, remedy));
        };
        // Rows are matched in order, each one by the beginning of the path.
        let shadowing = beginnings(path).find(|beginning| earlier.contains(&(verb, *beginning)));
        if rule.kind == ServiceKind::Model {
            let problem = format!("service {service} is a model: all its requests may be repeated");
            warn(problem, "remove the row");
        } else if let Some(shorter) = shadowing {
            let problem = format!("never matches: {verb} {shorter} stands before it");
            warn(problem, "move the row before the shorter path");
        }
        earlier.insert((verb, path));
    }
}

/// All beginnings of `path`, itself included.
fn beginnings(path: &str) -> impl Iterator<Item = &str> {
    let ends = path.char_indices().map(|(start, c)| start + c.len_utf8());
    ends.map(|end| &path[..end])
}

fn check_versions(plan: &PlanDeclaration, place: PlaceLookup<'_>, findings: &mut Vec<PlanFinding>) {
    let workspaces = plan.workspaces.values();
    let allowed: BTreeSet<_> = workspaces.flat_map(|rule| &rule.allowed).collect();
    for (version, rule) in &plan.versions {
        if !rule.is_withdrawn && !allowed.contains(version) {
            findings.push(PlanFinding::new(
                place("versions", version.as_str()),
                format!("no workspace may use version {version}"),
                "allow it in sheet allowed, or withdraw it",
            ));
        }
    }
}

fn check_workspaces(
    plan: &PlanDeclaration,
    place: PlaceLookup<'_>,
    findings: &mut Vec<PlanFinding>,
) {
    for (workspace, rule) in &plan.workspaces {
        let at = place("workspaces", workspace.as_str());
        if rule.concurrency == 0 {
            findings.push(PlanFinding::new(
                with_column(at, "concurrency"),
                format!("workspace {workspace} may run no requests"),
                "write 1 or more",
            ));
        } else if versions_in_service(plan, &rule.allowed).next().is_none() {
            findings.push(PlanFinding::new(
                at,
                format!("workspace {workspace} has no version in service"),
                "allow a version that is not withdrawn",
            ));
        }
    }
}

fn check_targets(plan: &PlanDeclaration, place: PlaceLookup<'_>, findings: &mut Vec<PlanFinding>) {
    for target in &plan.targets {
        if target.first_token > target.whole_answer {
            let at = place("targets", &format!("{}/{}", target.workspace, target.kind));
            let first_token = target.first_token.as_millis();
            let whole_answer = target.whole_answer.as_millis();
            findings.push(PlanFinding::new(
                with_column(at, "first_token_ms"),
                format!("{first_token} ms is above the {whole_answer} ms for the whole answer"),
                "lower it",
            ));
        }
    }
}

/// Reports the outages at whose start no failure domain is left. Outages of one domain don't overlap
/// in a plan without errors, so that the outages in effect are as many as the domains that are out.
fn check_outages(plan: &PlanDeclaration, place: PlaceLookup<'_>, findings: &mut Vec<PlanFinding>) {
    let mut starts: Vec<_> = plan.outages.iter().map(|outage| outage.start).collect();
    let mut ends: Vec<_> = plan.outages.iter().map(|outage| outage.end).collect();
    starts.sort_unstable();
    ends.sort_unstable();
    for (index, outage) in plan.outages.iter().enumerate() {
        let started = starts.partition_point(|start| *start <= outage.start);
        let ended = ends.partition_point(|end| *end <= outage.start);
        if started - ended >= plan.domains.len() {
            findings.push(PlanFinding::new(
                place("outages", &index.to_string()),
                "all failure domains are out at its start",
                "move one of the outages",
            ));
        }
    }
}

fn with_column(place: SheetPlace, column: &str) -> SheetPlace {
    SheetPlace {
        column: column.to_owned(),
        ..place
    }
}
