//! Check of a declaration before it is submitted: the errors for which the keepers reject it, and
//! warnings about items that never have an effect or contradict each other.

use std::collections::{BTreeMap, BTreeSet};

use super::body_memory::{BodyMemory, BodyPool};
use super::declaration::{DeclarationFinding, RouteDeclaration, RouteRule, ServiceRule};
use super::declaration_place::{DeclarationPlace, DeclarationSection};
use super::declaration_sessions::check_sessions;
use super::table::RouteTable;
use crate::check_report::{CheckFinding, counted};

/// A finding in a declaration.
pub type DeclarationCheckFinding = CheckFinding<DeclarationPlace>;

/// What the check knows of the entries that will apply the declaration. The defaults are those of
/// an entry's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclarationCheckSettings {
    /// Additional sends that an entry allows per call from a caller.
    pub retry_ratio: f64,
    /// Memory that the smallest entry may use, in bytes.
    pub process_bytes: usize,
}

impl Default for DeclarationCheckSettings {
    fn default() -> Self {
        Self {
            retry_ratio: 0.5,
            process_bytes: 128 * 1024 * 1024,
        }
    }
}

/// Share of failing attempts that a route's limit of attempts is checked against. Retries are meant
/// for the loss of up to half of a service's endpoints; beyond that, refusals cost less capacity.
const FAILING_SHARE: f64 = 0.5;

/// Everything found in `declaration`.
pub fn check_route_declaration(
    declaration: &RouteDeclaration,
    settings: &DeclarationCheckSettings,
) -> Vec<DeclarationCheckFinding> {
    let mut findings = errors(declaration);
    let table = RouteTable::new(declaration);
    for (index, route) in declaration.routes.iter().enumerate() {
        let mut warnings = RouteWarnings {
            index,
            route,
            findings: &mut findings,
        };
        warnings.check_location(&table);
        warnings.check_shares();
        warnings.check_times();
        warnings.check_attempts(settings);
        warnings.check_models(&table);
    }
    check_services(declaration, &mut findings);
    check_workspaces(declaration, &mut findings);
    check_sessions(declaration, &mut findings);
    check_bodies(declaration, settings, &mut findings);
    findings
}

/// The error with which an unreadable declaration is reported.
pub fn unreadable_declaration(finding: &DeclarationFinding) -> DeclarationCheckFinding {
    let place = DeclarationPlace::of_section(DeclarationSection::Declaration, "");
    CheckFinding::error(place, finding.problem(), remedy(finding))
}

fn errors(declaration: &RouteDeclaration) -> Vec<DeclarationCheckFinding> {
    let located = declaration.located_findings().into_iter();
    located
        .map(|(index, finding)| {
            let place = place_of(declaration, index, &finding);
            CheckFinding::error(place, finding.problem(), remedy(&finding))
        })
        .collect()
}

fn place_of(
    declaration: &RouteDeclaration,
    index: usize,
    finding: &DeclarationFinding,
) -> DeclarationPlace {
    let item = match finding {
        DeclarationFinding::UnknownService { .. } | DeclarationFinding::NoWeight { .. } => "shares",
        DeclarationFinding::SamePlace { .. } => "prefix",
        DeclarationFinding::NoTimeout { .. } => "timeout",
        DeclarationFinding::SharedKey { .. } => {
            return DeclarationPlace::of_workspace(index, &declaration.workspaces[index], "keys");
        }
        DeclarationFinding::Unreadable { .. } => {
            return DeclarationPlace::of_section(DeclarationSection::Declaration, "");
        }
    };
    DeclarationPlace::of_route(index, &declaration.routes[index], item)
}

fn remedy(finding: &DeclarationFinding) -> &'static str {
    match finding {
        DeclarationFinding::UnknownService { .. } => "declare it or name a declared service",
        DeclarationFinding::SamePlace { .. } => "remove one of the routes or change its prefix",
        DeclarationFinding::NoWeight { .. } => "give a service a weight above 0",
        DeclarationFinding::NoTimeout { .. } => "write a time above 0",
        DeclarationFinding::SharedKey { .. } => "give each workspace keys of its own",
        DeclarationFinding::Unreadable { .. } => {
            "correct the file there, or fetch it again if it was cut off"
        }
    }
}

/// Collects the warnings about one route.
struct RouteWarnings<'a> {
    index: usize,
    route: &'a RouteRule,
    findings: &'a mut Vec<DeclarationCheckFinding>,
}

impl RouteWarnings<'_> {
    fn warn(&mut self, item: &str, problem: impl Into<String>, remedy: &str) {
        let place = DeclarationPlace::of_route(self.index, self.route, item);
        let finding = CheckFinding::warning(place, problem, remedy);
        self.findings.push(finding);
    }

    /// Looks the route's own prefix up as a path, which is the shortest path that it can match.
    fn check_location(&mut self, table: &RouteTable) {
        let (host, prefix) = (&*self.route.host, &*self.route.prefix);
        if host.is_empty() || host.contains([':', '/']) || host.contains(char::is_whitespace) {
            let problem = format!("host {host:?} never matches: callers' hosts have no port");
            self.warn("host", problem, "write the name or IPv4 address alone");
        } else if host.chars().any(char::is_uppercase) {
            let problem =
                format!("host {host:?} matches only callers that write its capitals alike");
            self.warn("host", problem, "write it in lower case");
        }
        if !prefix.starts_with('/') || prefix.contains(['?', '#']) {
            let problem = format!("prefix {prefix:?} never matches: no path begins so");
            self.warn("prefix", problem, "write the beginning of a path");
            return;
        }
        match table.route(host, prefix) {
            Some(found) if **found == *self.route => {}
            Some(found) if found.prefix == self.route.prefix => {
                let problem = format!("never matches: route {} takes its calls", found.name);
                self.warn("prefix", problem, "remove one of the routes");
            }
            _ => {
                let problem = format!(
                    "prefix {prefix:?} never matches: paths are matched up to one of their slashes"
                );
                self.warn("prefix", problem, "end it with a slash");
            }
        }
    }

    fn check_shares(&mut self) {
        let shares = &self.route.shares;
        if shares.iter().all(|share| share.weight == 0) {
            return;
        }
        for share in shares.iter().filter(|share| share.weight == 0) {
            let problem = format!("service {} has weight 0 and gets no calls", share.service);
            self.warn("shares", problem, "give it a weight or remove it");
        }
    }

    fn check_times(&mut self) {
        let timeout = self.route.timeout_ms;
        let target = self.route.target_latency_ms;
        if timeout > 0 && target > timeout {
            let problem = format!("{target} ms is above the timeout of {timeout} ms");
            let remedy = "lower the target or raise the timeout";
            self.warn("target latency", problem, remedy);
        }
        if let Some(gap) = self.route.target_gap_ms
            && timeout > 0
            && gap > timeout
        {
            let problem = format!("{gap} ms is above the timeout of {timeout} ms");
            let remedy = "lower the target or raise the timeout";
            self.warn("target gap", problem, remedy);
        }
    }

    fn check_attempts(&mut self, settings: &DeclarationCheckSettings) {
        let attempts = self.route.max_attempts;
        if attempts == 0 {
            self.warn("attempts", "0 has the effect of 1", "write 1 or more");
        }
        self.check_escalation();
        let needed = retries_per_call(attempts);
        if needed > settings.retry_ratio {
            let problem = format!(
                "{attempts} attempts need {needed:.2} retries per call while half of the attempts \
                 fail, above the retry budget of {:.2}",
                settings.retry_ratio
            );
            self.warn("attempts", problem, "lower them or raise the retry budget");
        }
    }

    /// A second model is another run and another attempt.
    fn check_escalation(&mut self) {
        let (models, attempts) = (self.route.models.len(), self.route.max_attempts);
        if models <= 1 {
            return;
        }
        if !self.route.kind.is_repeatable() {
            let problem = format!(
                "calls may run only once: no escalation among the {models} models, one is chosen \
                 before the answer is known"
            );
            let remedy = "let the calls run more than once, or name one model";
            self.warn("models", problem, remedy);
        } else if attempts <= 1 {
            let attempts = counted(attempts as usize, "attempt");
            let problem = format!("{attempts} per call: no escalation among the {models} models");
            self.warn("attempts", problem, "allow 2 attempts or name one model");
        }
    }

    fn check_models(&mut self, table: &RouteTable) {
        for share in &self.route.shares {
            let Some(service) = table.service(&share.service) else {
                continue;
            };
            let declares = |name: &str| service.models.iter().any(|rule| *rule.name == *name);
            let models = self.route.models.iter();
            for model in models.filter(|model| !service.models.is_empty() && !declares(model)) {
                let problem = format!("service {} runs no model {model}", service.name);
                let remedy = "declare the model with its cost, or remove it here";
                self.warn("models", problem, remedy);
            }
        }
    }
}

/// Retries that a call needs on average while [`FAILING_SHARE`] of the attempts fail: the sum of
/// its powers from 1 to `attempts` - 1.
fn retries_per_call(attempts: u32) -> f64 {
    let exponent = i32::try_from(attempts.saturating_sub(1)).unwrap_or(i32::MAX);
    FAILING_SHARE * (1.0 - FAILING_SHARE.powi(exponent)) / (1.0 - FAILING_SHARE)
}

fn check_services(declaration: &RouteDeclaration, findings: &mut Vec<DeclarationCheckFinding>) {
    let shares = declaration.routes.iter().flat_map(|route| &route.shares);
    let used: BTreeSet<&str> = shares.map(|share| &*share.service).collect();
    let last: BTreeMap<&str, usize> = declaration
        .services
        .iter()
        .enumerate()
        .map(|(index, rule)| (&*rule.name, index))
        .collect();
    for (index, service) in declaration.services.iter().enumerate() {
        let mut warn = |item: &str, problem: &str, remedy: &str| {
            let place = DeclarationPlace::of_service(index, service, item);
            findings.push(CheckFinding::warning(place, problem, remedy));
        };
        if !used.contains(&*service.name) {
            let remedy = "remove it, or name it in the shares of a route";
            warn("", "no route uses the service", remedy);
        }
        if last.get(&*service.name) != Some(&index) {
            let problem = "another service of this name is declared later";
            warn("name", problem, "remove one of the two");
        }
        if has_unlimited_cold_time(service) {
            let problem = "without a rate, a cold endpoint gets as many calls as a warm one";
            let remedy = "write the calls per second that it can take, or no cold time";
            warn("cold rate", problem, remedy);
        }
    }
}

fn has_unlimited_cold_time(service: &ServiceRule) -> bool {
    service.cold_ms > 0 && service.cold_per_s <= 0.0
}

fn check_workspaces(declaration: &RouteDeclaration, findings: &mut Vec<DeclarationCheckFinding>) {
    let open_routes = declaration.routes.iter().filter(|route| !route.needs_key);
    let open_routes = open_routes.count();
    if !declaration.workspaces.is_empty() && open_routes == declaration.routes.len() {
        let place = DeclarationPlace::of_section(DeclarationSection::Declaration, "workspaces");
        let problem = "no route needs a key, so no call belongs to a workspace";
        findings.push(CheckFinding::warning(
            place,
            problem,
            "let routes need a key, or remove the workspaces",
        ));
        return;
    }
    for (index, workspace) in declaration.workspaces.iter().enumerate() {
        if !workspace.keys.is_empty() {
            continue;
        }
        let problem = if open_routes == 0 {
            "every route is closed to the workspace: it has no key".to_owned()
        } else {
            let routes = counted(open_routes, "route");
            format!("it has no key: its callers reach only {routes} without a key")
        };
        let place = DeclarationPlace::of_workspace(index, workspace, "keys");
        findings.push(CheckFinding::warning(place, problem, "give it a key"));
    }
}

fn check_bodies(
    declaration: &RouteDeclaration,
    settings: &DeclarationCheckSettings,
    findings: &mut Vec<DeclarationCheckFinding>,
) {
    let memory = BodyMemory::of_process(settings.process_bytes);
    let available = memory.size(BodyPool::LargeRequests);
    let largest = declaration.limits.body_bytes;
    if largest > available {
        let place = DeclarationPlace::of_section(DeclarationSection::Limits, "body size");
        let problem = format!(
            "a body of {largest} bytes exceeds the {available} bytes that an entry has for large \
             request bodies"
        );
        let remedy = "lower the limit or give entries more memory";
        findings.push(CheckFinding::warning(place, problem, remedy));
    }
}
