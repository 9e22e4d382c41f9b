//! The replicated routing state, its commands, and what entries are sent of it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::declaration::{CallerLimits, RouteDeclaration, RouteRule, ServiceRule, WorkspaceRule};
use super::directory::{
    ChangeIndex, DirectoryChange, EndpointDirectory, EndpointNotice, NoticeOutcome,
};
use super::rollout::{RolloutOrder, RolloutStage, RolloutState};

/// Declarations that a keeper remembers, to send entries differences only.
const MAX_DECLARATIONS: usize = 8;

/// A command of the routing state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RoutingCommand {
    /// Puts a checked declaration in force if its number is the highest.
    Declare(StoredDeclaration),
    /// An endpoint announces itself.
    Announce(EndpointNotice),
    /// An endpoint leaves.
    Leave {
        /// Its name.
        id: Arc<str>,
        /// Life that leaves; `None` where the endpoint did not say.
        born_ms: Option<u64>,
    },
    /// Takes a failure domain out of use, or back.
    Evacuate {
        /// The failure domain.
        domain: Arc<str>,
        /// Whether it is out.
        is_out: bool,
    },
    /// Starts a roll-out.
    StartRollout(RolloutOrder),
    /// The leader counts time, or has decided.
    MoveRollout {
        /// Service.
        service: Arc<str>,
        /// Version that it moves to.
        target: Arc<str>,
        /// Stage.
        stage: RolloutStage,
        /// Time since the order, in milliseconds.
        elapsed_ms: u64,
    },
}

/// A declaration with the text that the operator sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredDeclaration {
    /// The declaration.
    pub declaration: Arc<RouteDeclaration>,
    /// The text, returned to operators as it came.
    pub text: Arc<[u8]>,
}

/// Answer to a routing command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoutingOutcome {
    /// Taken, or held already.
    Accepted,
    /// Without effect: something newer is known.
    Overtaken,
}

/// Everything that the keepers agree on for routing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingState {
    /// Declaration in force, and the ones before it, newest last.
    pub declarations: Vec<StoredDeclaration>,
    /// When the declaration changed.
    pub declared_at: ChangeIndex,
    /// Endpoints.
    pub directory: EndpointDirectory,
    /// Failure domains that are out of use, with when that began.
    pub evacuated: BTreeMap<Arc<str>, ChangeIndex>,
    /// When the set of failure domains in use changed.
    pub evacuated_at: ChangeIndex,
    /// Roll-outs by service.
    pub rollouts: BTreeMap<Arc<str>, RolloutState>,
    /// Newest change of any kind.
    pub changed_at: ChangeIndex,
}

/// What an entry has of the routing state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingRevision {
    /// Change up to which it has everything.
    pub index: ChangeIndex,
    /// Number of its declaration.
    pub declaration: u64,
}

/// What an entry lacks of the routing state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingUpdate {
    /// Change up to which the entry then has everything.
    pub index: ChangeIndex,
    /// Change of the declaration.
    pub declaration: Option<DeclarationUpdate>,
    /// Endpoints that changed.
    pub endpoints: Vec<DirectoryChange>,
    /// Failure domains out of use, where that changed.
    pub evacuated: Option<Vec<Arc<str>>>,
    /// Roll-outs, where they changed.
    pub rollouts: Option<Vec<RolloutState>>,
}

/// Change of the declaration against one that the entry has, or against none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeclarationUpdate {
    /// Number of the new declaration.
    pub number: u64,
    /// Whether the routes given replace all.
    pub is_whole: bool,
    /// Routes that are new or differ.
    pub routes: Vec<RouteRule>,
    /// Host and prefix of routes that are gone.
    pub dropped: Vec<(Arc<str>, Arc<str>)>,
    /// Services, where they differ.
    pub services: Option<Vec<ServiceRule>>,
    /// Workspaces, where they differ.
    pub workspaces: Option<Vec<WorkspaceRule>>,
    /// Limits.
    pub limits: CallerLimits,
}

impl DeclarationUpdate {
    fn full(new: &RouteDeclaration) -> Self {
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

    fn difference(old: &RouteDeclaration, new: &RouteDeclaration) -> Self {
        let location = |rule: &RouteRule| (Arc::clone(&rule.host), Arc::clone(&rule.prefix));
        let before: BTreeMap<_, _> = old
            .routes
            .iter()
            .map(|rule| (location(rule), rule))
            .collect();
        let after: BTreeMap<_, _> = new
            .routes
            .iter()
            .map(|rule| (location(rule), rule))
            .collect();
        let is_new_or_changed = |rule: &&RouteRule| before.get(&location(rule)) != Some(rule);
        Self {
            number: new.number,
            is_whole: false,
            routes: new
                .routes
                .iter()
                .filter(is_new_or_changed)
                .cloned()
                .collect(),
            dropped: before
                .into_keys()
                .filter(|location| !after.contains_key(location))
                .collect(),
            services: (old.services != new.services).then(|| new.services.clone()),
            workspaces: (old.workspaces != new.workspaces).then(|| new.workspaces.clone()),
            limits: new.limits.clone(),
        }
    }

    /// Brings `declaration` up to date.
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
        let is_unchanged = |rule: &RouteRule| {
            let is_dropped = self
                .dropped
                .iter()
                .any(|(host, prefix)| *host == rule.host && *prefix == rule.prefix);
            let is_replaced = self
                .routes
                .iter()
                .any(|new| new.host == rule.host && new.prefix == rule.prefix);
            !is_dropped && !is_replaced
        };
        declaration.routes.retain(is_unchanged);
        declaration.routes.extend(self.routes);
    }
}

impl RoutingState {
    /// The declaration in force.
    pub fn declaration(&self) -> Option<&StoredDeclaration> {
        self.declarations.last()
    }

    /// Applies a command.
    pub fn apply(&mut self, index: ChangeIndex, command: &RoutingCommand) -> RoutingOutcome {
        let (outcome, is_change) = match command {
            RoutingCommand::Declare(stored) => self.declare(index, stored),
            RoutingCommand::Announce(notice) => match self.directory.apply(index, notice) {
                NoticeOutcome::Changes => (RoutingOutcome::Accepted, true),
                NoticeOutcome::Refreshes => (RoutingOutcome::Accepted, false),
                NoticeOutcome::Stale => (RoutingOutcome::Overtaken, false),
            },
            RoutingCommand::Leave { id, born_ms } => {
                let is_change = self.directory.leave(index, id, *born_ms);
                (RoutingOutcome::Accepted, is_change)
            }
            RoutingCommand::Evacuate { domain, is_out } => (
                RoutingOutcome::Accepted,
                self.evacuate(index, domain, *is_out),
            ),
            RoutingCommand::StartRollout(order) => {
                (RoutingOutcome::Accepted, self.start_rollout(index, order))
            }
            RoutingCommand::MoveRollout {
                service,
                target,
                stage,
                elapsed_ms,
            } => self.advance_rollout(index, service, target, *stage, *elapsed_ms),
        };
        if is_change {
            self.changed_at = index;
        }
        outcome
    }

    fn declare(
        &mut self,
        index: ChangeIndex,
        stored: &StoredDeclaration,
    ) -> (RoutingOutcome, bool) {
        let current = self.declaration().map(|current| current.declaration.number);
        if current.is_some_and(|number| number >= stored.declaration.number) {
            return (RoutingOutcome::Overtaken, false);
        }
        self.declarations.push(stored.clone());
        if self.declarations.len() > MAX_DECLARATIONS {
            self.declarations.remove(0);
        }
        // The text is returned for the newest one only.
        let previous = self.declarations.len() - 1;
        for old in &mut self.declarations[..previous] {
            old.text = Arc::from([]);
        }
        self.declared_at = index;
        (RoutingOutcome::Accepted, true)
    }

    fn evacuate(&mut self, index: ChangeIndex, domain: &Arc<str>, is_out: bool) -> bool {
        let is_change = self.evacuated.contains_key(domain) != is_out;
        if is_change {
            self.evacuated_at = index;
            if is_out {
                self.evacuated.insert(Arc::clone(domain), index);
            } else {
                self.evacuated.remove(domain);
            }
        }
        is_change
    }

    fn start_rollout(&mut self, index: ChangeIndex, order: &RolloutOrder) -> bool {
        let is_duplicate = self
            .rollouts
            .get(&order.service)
            .is_some_and(|rollout| rollout.order == *order);
        if !is_duplicate {
            let state = RolloutState {
                order: order.clone(),
                stage: RolloutStage::Trial,
                elapsed_ms: 0,
                changed_at: index,
            };
            self.rollouts.insert(Arc::clone(&order.service), state);
        }
        !is_duplicate
    }

    fn advance_rollout(
        &mut self,
        index: ChangeIndex,
        service: &str,
        target: &str,
        stage: RolloutStage,
        elapsed_ms: u64,
    ) -> (RoutingOutcome, bool) {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return (RoutingOutcome::Overtaken, false);
        };
        if *rollout.order.target != *target || rollout.stage.is_final() {
            return (RoutingOutcome::Overtaken, false);
        }
        rollout.elapsed_ms = rollout.elapsed_ms.max(elapsed_ms);
        let is_change = rollout.stage != stage;
        if is_change {
            rollout.stage = stage;
            rollout.changed_at = index;
        }
        (RoutingOutcome::Accepted, is_change)
    }

    /// What an entry that has `known` lacks. `describe` adds what only the leader knows of an
    /// endpoint.
    pub fn update_from(
        &self,
        known: RoutingRevision,
        describe: impl Fn(&super::directory::PoolEndpoint) -> DirectoryChange,
    ) -> RoutingUpdate {
        let is_new = |at: ChangeIndex| at > known.index;
        let mut endpoints: Vec<_> = self
            .directory
            .iter()
            .filter(|endpoint| is_new(endpoint.changed_at))
            .map(describe)
            .collect();
        endpoints.sort_by_key(|change| change.endpoint.changed_at);
        let has_new_rollout = self
            .rollouts
            .values()
            .any(|rollout| is_new(rollout.changed_at));
        RoutingUpdate {
            index: self.changed_at,
            declaration: self.declaration_update(known),
            endpoints,
            evacuated: is_new(self.evacuated_at).then(|| self.evacuated.keys().cloned().collect()),
            rollouts: has_new_rollout.then(|| self.rollouts.values().cloned().collect()),
        }
    }

    fn declaration_update(&self, known: RoutingRevision) -> Option<DeclarationUpdate> {
        let newest = &self.declaration()?.declaration;
        if newest.number <= known.declaration {
            return None;
        }
        let base = self
            .declarations
            .iter()
            .find(|old| old.declaration.number == known.declaration);
        Some(match base {
            Some(base) => DeclarationUpdate::difference(&base.declaration, newest),
            None => DeclarationUpdate::full(newest),
        })
    }
}
