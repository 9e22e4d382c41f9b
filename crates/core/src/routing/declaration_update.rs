//! Incremental updates of the declaration, as sent to entries.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::declaration::{CallerLimits, RouteDeclaration, RouteRule, ServiceRule, WorkspaceRule};
use super::state::RoutingState;

/// Difference to the declaration that the entry has, or the full declaration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeclarationUpdate {
    /// Number of the new declaration.
    pub number: u64,
    /// Whether `routes` replaces all routes of the entry.
    pub is_whole: bool,
    /// Routes that were added or changed; all routes in a full update.
    pub routes: Vec<RouteRule>,
    /// Host and prefix of removed routes.
    pub dropped: Vec<(Arc<str>, Arc<str>)>,
    /// All services, if any changed.
    pub services: Option<Vec<ServiceRule>>,
    /// All workspaces, if any changed.
    pub workspaces: Option<Vec<WorkspaceRule>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl DeclarationUpdate {
    /// Update that replaces any declaration by `new`.
    pub(super) fn full(new: &RouteDeclaration) -> Self {
        Self {
            number: new.number,
            is_whole: true,
            routes: new.routes.clone(),
            dropped: Vec::new(),
            services: Some(new.services.clone()),
            workspaces: Some(new.workspaces.clone()),
            limits: new.limits.clone(),
        }
    }

    /// Update that turns `old` into `new`.
    pub(super) fn difference(old: &RouteDeclaration, new: &RouteDeclaration) -> Self {
        let before: HashMap<_, _> = old
            .routes
            .iter()
            .map(|rule| (rule.location(), rule))
            .collect();
        let after: HashSet<_> = new.routes.iter().map(RouteRule::location).collect();
        let is_new_or_changed = |rule: &&RouteRule| before.get(&rule.location()) != Some(rule);
        let dropped = old
            .routes
            .iter()
            .filter(|rule| !after.contains(&rule.location()));
        Self {
            number: new.number,
            is_whole: false,
            routes: new
                .routes
                .iter()
                .filter(is_new_or_changed)
                .cloned()
                .collect(),
            dropped: dropped
                .map(|rule| (Arc::clone(&rule.host), Arc::clone(&rule.prefix)))
                .collect(),
            services: (old.services != new.services).then(|| new.services.clone()),
            workspaces: (old.workspaces != new.workspaces).then(|| new.workspaces.clone()),
            limits: new.limits.clone(),
        }
    }

    /// Applies the update to the entry's `declaration`.
    pub fn apply(self, declaration: &mut RouteDeclaration) {
        declaration.number = self.number;
        declaration.limits = self.limits;
        if let Some(services) = self.services {
            declaration.services = services;
        }
        if let Some(workspaces) = self.workspaces {
            declaration.workspaces = workspaces;
        }
        if self.is_whole {
            declaration.routes = self.routes;
            return;
        }
        let dropped = self
            .dropped
            .iter()
            .map(|(host, prefix)| (&**host, &**prefix));
        let replaced = self.routes.iter().map(|rule| (&*rule.host, &*rule.prefix));
        let outdated: HashSet<(&str, &str)> = dropped.chain(replaced).collect();
        declaration
            .routes
            .retain(|rule| !outdated.contains(&(&*rule.host, &*rule.prefix)));
        declaration.routes.extend(self.routes);
    }
}

/// Updates to the declaration in force, computed once for all entries with the same declaration.
#[derive(Clone, Debug, Default)]
pub struct DeclarationUpdates {
    /// Number of the declaration that the updates lead to.
    newest: u64,
    /// Update by the number of the declaration that an entry has.
    by_known: HashMap<u64, Option<Arc<DeclarationUpdate>>>,
}

impl DeclarationUpdates {
    /// Update of an entry with declaration `known`; `None` if it has the one in force.
    pub fn update(&mut self, state: &RoutingState, known: u64) -> Option<Arc<DeclarationUpdate>> {
        let newest = state.declaration()?.declaration.number;
        if newest != self.newest {
            self.newest = newest;
            self.by_known.clear();
        }
        let update = self
            .by_known
            .entry(known)
            .or_insert_with(|| state.declaration_update(known).map(Arc::new));
        update.clone()
    }
}
