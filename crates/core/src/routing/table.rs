//! Index of the declaration in force, for look-ups on the request path.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::admission::{ClassRank, PriorityClass, ServiceClasses};

use super::declaration::{RouteDeclaration, RouteRule, ServiceRule, WorkspaceRule};

/// Result of looking up a caller's API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// The route needs no key, or no workspaces are declared.
    NotRequired,
    /// The key belongs to a workspace.
    Owner(Arc<WorkspaceRule>),
    /// The caller sent no key, or one that belongs to no workspace.
    Unknown,
}

/// Routes by host and prefix, workspaces by API key, and services by name.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Number of the declaration.
    pub number: u64,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteRule>>>,
    services: HashMap<Arc<str>, Arc<ServiceRule>>,
    classes: HashMap<Arc<str>, ServiceClasses>,
    workspaces_by_key: HashMap<Arc<str>, Arc<WorkspaceRule>>,
    has_workspaces: bool,
    /// Services, each with a model that a route to it lists.
    listed_models: BTreeSet<(Arc<str>, Arc<str>)>,
}

impl RouteTable {
    /// Builds the index of `declaration`.
    pub fn new(declaration: &RouteDeclaration) -> Self {
        let mut table = Self {
            number: declaration.number,
            has_workspaces: !declaration.workspaces.is_empty(),
            ..Self::default()
        };
        for rule in &declaration.routes {
            for share in &rule.shares {
                let listed = rule
                    .models
                    .iter()
                    .map(|model| (Arc::clone(&share.service), Arc::clone(model)));
                table.listed_models.extend(listed);
            }
            table
                .hosts
                .entry(Arc::clone(&rule.host))
                .or_default()
                .insert(Arc::clone(&rule.prefix), Arc::new(rule.clone()));
        }
        for rule in &declaration.services {
            let rule = Arc::new(rule.clone());
            let classes = service_classes(declaration, &rule.name);
            table.classes.insert(Arc::clone(&rule.name), classes);
            table.services.insert(Arc::clone(&rule.name), rule);
        }
        for rule in &declaration.workspaces {
            let rule = Arc::new(rule.clone());
            for key in &rule.keys {
                table
                    .workspaces_by_key
                    .insert(Arc::clone(key), Arc::clone(&rule));
            }
        }
        table
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let prefixes = self.hosts.get(host)?;
        let ends = path.rmatch_indices('/').map(|(position, _)| position + 1);
        ends.into_iter().find_map(|end| prefixes.get(&path[..end]))
    }

    /// Looks up a service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceRule>> {
        self.services.get(name)
    }

    /// Services and the models that routes to them list.
    pub fn listed_models(&self) -> impl Iterator<Item = &(Arc<str>, Arc<str>)> {
        self.listed_models.iter()
    }

    /// Rank of `class` among the classes of the calls of `service`.
    pub fn class_rank(&self, service: &str, class: PriorityClass) -> ClassRank {
        let classes = self.classes.get(service);
        classes.map_or_else(ClassRank::default, |classes| classes.rank(class))
    }

    /// Looks up the workspace that `key` belongs to, if `route` needs a key.
    pub fn look_up_key(&self, route: &RouteRule, key: Option<&str>) -> KeyLookup {
        if !self.has_workspaces || !route.needs_key {
            return KeyLookup::NotRequired;
        }
        key.and_then(|key| self.workspaces_by_key.get(key))
            .map_or(KeyLookup::Unknown, |rule| {
                KeyLookup::Owner(Arc::clone(rule))
            })
    }
}

fn service_classes(declaration: &RouteDeclaration, service: &str) -> ServiceClasses {
    let workspaces = declaration.workspaces.iter();
    let mut workspaces: Vec<u32> = workspaces
        .map(|rule| rule.priority.unwrap_or_default())
        .collect();
    if workspaces.is_empty() {
        workspaces.push(0);
    }
    let has_share = |rule: &&RouteRule| rule.shares.iter().any(|share| &*share.service == service);
    let routes = declaration.routes.iter().filter(has_share);
    let routes: Vec<u32> = routes.map(|rule| rule.priority).collect();
    ServiceClasses::new(&workspaces, &routes)
}
