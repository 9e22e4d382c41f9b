//! Replicated routing state, the commands that change it, and the incremental updates that are
//! sent to entries.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::declaration::RouteDeclaration;
use super::declaration_update::DeclarationUpdate;
use super::directory::{
    ChangeIndex, DirectoryChange, EndpointDirectory, EndpointNotice, NoticeOutcome,
};
use super::rollout::{RolloutOrder, RolloutStage, RolloutState};
use super::segment_faults::{SegmentBlock, SegmentChange};

/// Number of declarations that keepers retain, so that entries can be sent differences.
const MAX_DECLARATIONS: usize = 8;

/// A command to the replicated routing state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RoutingCommand {
    /// Puts a validated declaration in force if its number is the highest.
    Declare(StoredDeclaration),
    /// Registers or updates an endpoint.
    Announce(EndpointNotice),
    /// Deregisters an endpoint.
    Leave {
        /// Id of the endpoint.
        id: Arc<str>,
        /// Start time of the last incarnation to remove; `None` stands for the registered one.
        born_ms: Option<u64>,
    },
    /// Evacuates a failure domain, or ends its evacuation.
    Evacuate {
        /// The failure domain.
        domain: Arc<str>,
        /// Whether the domain is evacuated.
        is_out: bool,
    },
    /// Starts a roll-out.
    StartRollout(RolloutOrder),
    /// Records the progress of a roll-out, as measured and decided by the leader.
    MoveRollout {
        /// Service that is moved.
        service: Arc<str>,
        /// Version that it is moved to.
        target: Arc<str>,
        /// New stage.
        stage: RolloutStage,
        /// Time since the operator's request, in milliseconds.
        elapsed_ms: u64,
    },
    /// Blocks or releases a prompt segment.
    ChangeSegment(SegmentChange),
    /// Starts a roll-out, also if an equal one was rolled back.
    RestartRollout(RolloutOrder),
    /// Takes an endpoint that was silent for too long out of use until its next notice.
    Expire {
        /// Id of the endpoint.
        id: Arc<str>,
        /// Start time of the silent incarnation.
        born_ms: u64,
    },
}

/// A declaration together with the text that the operator submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredDeclaration {
    /// The declaration.
    pub declaration: Arc<RouteDeclaration>,
    /// The submitted text, returned to operators verbatim. Kept for the declaration in force only.
    pub text: Arc<[u8]>,
}

/// Result of a routing command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoutingOutcome {
    /// Applied, or already in effect.
    Accepted,
    /// Ignored because it is out of date.
    Overtaken,
}

/// Routing state that the keepers replicate.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingState {
    /// The most recent declarations, oldest first. The last one is in force.
    pub declarations: Vec<StoredDeclaration>,
    /// Last change of the declaration in force.
    pub declared_at: ChangeIndex,
    /// Registered endpoints.
    pub directory: EndpointDirectory,
    /// Evacuated failure domains, each with the change that started its evacuation.
    pub evacuated: BTreeMap<Arc<str>, ChangeIndex>,
    /// Last change of the set of evacuated failure domains.
    pub evacuated_at: ChangeIndex,
    /// Latest roll-out of each service.
    pub rollouts: BTreeMap<Arc<str>, RolloutState>,
    /// Prompt segments that make endpoints fail.
    pub blocked_segments: BTreeMap<u64, SegmentBlock>,
    /// Last change of the blocked segments.
    pub segments_changed_at: ChangeIndex,
    /// Last change of any kind.
    pub changed_at: ChangeIndex,
}

/// Identifies how much of the routing state an entry has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingRevision {
    /// Last change that the entry has.
    pub index: ChangeIndex,
    /// Number of the entry's declaration.
    pub declaration: u64,
}

/// Changes of the routing state that an entry does not have yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingUpdate {
    /// Last change that the update includes.
    pub index: ChangeIndex,
    /// Update of the declaration, if it changed.
    pub declaration: Option<Arc<DeclarationUpdate>>,
    /// Endpoints that changed.
    pub endpoints: Vec<DirectoryChange>,
    /// All evacuated failure domains, if the set changed.
    pub evacuated: Option<Vec<Arc<str>>>,
    /// All roll-outs, if any changed.
    pub rollouts: Option<Vec<RolloutState>>,
    /// All blocked prompt segments, if any changed.
    pub blocked_segments: Option<Vec<SegmentBlock>>,
}

impl RoutingState {
    /// The declaration in force.
    pub fn declaration(&self) -> Option<&StoredDeclaration> {
        self.declarations.last()
    }

    /// Applies `command` as change `index`.
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
            RoutingCommand::Expire { id, born_ms } => {
                let is_change = self.directory.expire(index, id, *born_ms);
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
            RoutingCommand::RestartRollout(order) => {
                (RoutingOutcome::Accepted, self.restart_rollout(index, order))
            }
            RoutingCommand::ChangeSegment(change) => (
                RoutingOutcome::Accepted,
                self.change_segment(index, *change),
            ),
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
        // Operators can retrieve the text of the declaration in force only.
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

    fn change_segment(&mut self, index: ChangeIndex, change: SegmentChange) -> bool {
        let is_change = match change {
            SegmentChange::Set(block) => {
                self.blocked_segments.insert(block.segment, block) != Some(block)
            }
            SegmentChange::Clear { segment } => self.blocked_segments.remove(&segment).is_some(),
        };
        if is_change {
            self.segments_changed_at = index;
        }
        is_change
    }

    fn start_rollout(&mut self, index: ChangeIndex, order: &RolloutOrder) -> bool {
        let previous = self.rollouts.get(&order.service);
        if previous.is_some_and(|rollout| rollout.order == *order) {
            return false;
        }
        self.begin_rollout(index, order);
        true
    }

    fn restart_rollout(&mut self, index: ChangeIndex, order: &RolloutOrder) -> bool {
        let previous = self.rollouts.get(&order.service);
        if previous.is_some_and(|rollout| rollout.stage == RolloutStage::RolledBack) {
            self.begin_rollout(index, order);
            return true;
        }
        self.start_rollout(index, order)
    }

    fn begin_rollout(&mut self, index: ChangeIndex, order: &RolloutOrder) {
        let previous = self.rollouts.get(&order.service);
        let rollout = RolloutState::start(index, order, previous);
        self.rollouts.insert(Arc::clone(&order.service), rollout);
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
            rollout.stage_began_ms = rollout.elapsed_ms;
            rollout.changed_at = index;
        }
        (RoutingOutcome::Accepted, is_change)
    }

    /// Returns the changes since `known`. `declaration` is the update of the declaration, see
    /// [`Self::declaration_update`]; `describe` converts an endpoint and adds what only the leader
    /// knows about it.
    pub fn update_from(
        &self,
        known: RoutingRevision,
        declaration: Option<Arc<DeclarationUpdate>>,
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
            declaration,
            endpoints,
            evacuated: is_new(self.evacuated_at).then(|| self.evacuated.keys().cloned().collect()),
            rollouts: has_new_rollout.then(|| self.rollouts.values().cloned().collect()),
            blocked_segments: is_new(self.segments_changed_at)
                .then(|| self.blocked_segments.values().copied().collect()),
        }
    }

    /// Update of an entry with declaration `known`; `None` if it has the one in force.
    pub fn declaration_update(&self, known: u64) -> Option<DeclarationUpdate> {
        let newest = &self.declaration()?.declaration;
        if newest.number <= known {
            return None;
        }
        let base = self
            .declarations
            .iter()
            .find(|old| old.declaration.number == known);
        Some(match base {
            Some(base) => DeclarationUpdate::difference(&base.declaration, newest),
            None => DeclarationUpdate::full(newest),
        })
    }
}
