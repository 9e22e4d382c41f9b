//! Effects of a declaration on sessions, whose calls should all go to one service of a route.

use std::collections::BTreeMap;

use super::declaration::{RouteDeclaration, RouteRule};
use super::declaration_check::DeclarationCheckFinding;
use super::declaration_place::{DeclarationPlace, DeclarationSection};
use crate::check_report::CheckFinding;
use crate::hash::key_hash;

/// Sample of session hashes with which the moved share is estimated. 4,096 give it to about one
/// percentage point.
const SAMPLED_SESSIONS: u32 = 4_096;

/// Warns of routes that split the same services differently: a session that uses both is served by
/// more than one service.
pub(super) fn check_sessions(
    declaration: &RouteDeclaration,
    findings: &mut Vec<DeclarationCheckFinding>,
) {
    let mut first_routes: BTreeMap<(&str, Vec<&str>), &RouteRule> = BTreeMap::new();
    for (index, route) in declaration.routes.iter().enumerate() {
        let split = weighted_services(route);
        let mut services: Vec<&str> = split.iter().map(|(service, _)| *service).collect();
        services.sort_unstable();
        services.dedup();
        if services.len() < 2 {
            continue;
        }
        let first = first_routes.entry((&route.host, services)).or_insert(route);
        if weighted_services(first) != split {
            let place = DeclarationPlace::of_route(index, route, "shares");
            let problem = format!(
                "route {} splits the same services by other weights or in another order: sessions \
                 that use both routes are served by several services",
                first.name
            );
            findings.push(CheckFinding::warning(
                place,
                problem,
                "write the same weights in the same order",
            ));
        }
    }
}

/// Services of `route` that get calls, with their weights.
fn weighted_services(route: &RouteRule) -> Vec<(&str, u32)> {
    let shares = route.shares.iter().filter(|share| share.weight > 0);
    shares
        .map(|share| (&*share.service, share.weight))
        .collect()
}

/// Warnings about putting `new` in force after `old`: sessions that move to another service, and a
/// number that keepers ignore.
pub fn check_replacement(
    old: &RouteDeclaration,
    new: &RouteDeclaration,
) -> Vec<DeclarationCheckFinding> {
    let mut findings = Vec::new();
    if old != new && new.number <= old.number {
        let place = DeclarationPlace::of_section(DeclarationSection::Declaration, "number");
        let problem = format!(
            "{} is not above {}, the number that it is compared with: keepers ignore it",
            new.number, old.number
        );
        findings.push(CheckFinding::warning(place, problem, "write a higher one"));
    }
    let old_routes: BTreeMap<_, _> = old
        .routes
        .iter()
        .map(|rule| (rule.location(), rule))
        .collect();
    for (index, route) in new.routes.iter().enumerate() {
        let Some(before) = old_routes.get(&route.location()) else {
            continue;
        };
        let moved = moved_share(before, route);
        if moved > 0.0 {
            let place = DeclarationPlace::of_route(index, route, "shares");
            let percent = (moved * 100.0).ceil();
            let problem = format!("about {percent}% of the sessions move to another service");
            let remedy =
                "keep the sum and the order of the weights, to move only as many as needed";
            findings.push(CheckFinding::warning(place, problem, remedy));
        }
    }
    findings
}

/// Share of the sessions that `new` sends to another service than `old`.
fn moved_share(old: &RouteRule, new: &RouteRule) -> f64 {
    if old.shares == new.shares {
        return 0.0;
    }
    let is_moved = |number: &u32| {
        let hash = key_hash(&number.to_le_bytes());
        let service = |route: &RouteRule| Some(route.pick_share(hash)?.service.clone());
        service(old) != service(new)
    };
    let moved = (0..SAMPLED_SESSIONS).filter(is_moved).count();
    moved as f64 / f64::from(SAMPLED_SESSIONS)
}
