//! The plan and the changes that lead from one revision to the next.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::declaration::PlanDeclaration;
use super::diff::{DeclarationPatch, describe_patch};
use super::rollout::{RolloutPhase, RolloutProgress};
use crate::hash::content_hash;
use crate::ids::{DomainId, RolloutId, VersionId};
use crate::time::TimePoint;

/// Number of accepted changes that are kept, to recognize resubmitted changes and to update entries
/// incrementally.
pub const CHANGE_HISTORY: usize = 256;

/// A change of the plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlanChange {
    /// Changes rows of the declaration.
    Declare(Box<DeclarationPatch>),
    /// Withdraws a version permanently.
    Withdraw {
        /// The version.
        version: VersionId,
        /// Version that its sessions move to.
        successor: Option<VersionId>,
    },
    /// Excludes a version from new sessions until an operator clears it.
    Quarantine {
        /// The version.
        version: VersionId,
        /// Why, as text for operators.
        reason: String,
    },
    /// Ends the quarantine of a version.
    Clear(VersionId),
    /// Drains a failure domain, so that it receives no new requests.
    DrainDomain(DomainId),
    /// Ends the drain of a failure domain.
    ReturnDomain(DomainId),
    /// Sets the step and phase of a roll-out.
    Rollout {
        /// The roll-out.
        rollout: RolloutId,
        /// Its new progress.
        progress: RolloutProgress,
    },
}

/// A change submitted by an operator or by the keepers themselves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmittedChange {
    /// Operator who submits it, or the keepers' own operator name.
    pub operator: String,
    /// Revision that the change is based on. Only declarations need one.
    pub base: Option<u64>,
    /// The change itself.
    pub content: SubmittedContent,
}

/// Content of a submitted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubmittedContent {
    /// A whole declaration.
    Declaration(Box<PlanDeclaration>),
    /// A single change.
    Change(PlanChange),
}

/// Result of submitting a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change was accepted; it made this revision.
    Accepted(u64),
    /// The declaration was rejected because another one was accepted since its base revision.
    Conflict {
        /// Revision of the newest declaration.
        current: u64,
        /// Operator of the newest declaration.
        winner: String,
        /// Summary of what that declaration changed.
        changes: Vec<String>,
        /// Operator whose declaration was rejected.
        loser: String,
    },
    /// The change names something that is not declared, or is not possible. Holds the problem.
    Invalid(String),
}

/// An accepted change, as kept in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedChange {
    revision: u64,
    submitted_hash: u128,
    operator: String,
    summary: Vec<String>,
    change: PlanChange,
    stamp: TimePoint,
}

/// The plan at one revision: the declaration and the changes accepted since.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanState {
    /// Revision, which increases by one with each accepted change.
    pub revision: u64,
    /// Revision of the newest declaration.
    pub declared_at: u64,
    /// The declaration.
    pub declaration: Arc<PlanDeclaration>,
    /// Versions withdrawn by command, with their successors.
    pub withdrawn: BTreeMap<VersionId, Option<VersionId>>,
    /// Versions in quarantine, with the reason.
    pub quarantined: BTreeMap<VersionId, String>,
    /// Failure domains drained by command.
    pub drained: BTreeSet<DomainId>,
    /// Progress of the declared roll-outs.
    pub rollouts: BTreeMap<RolloutId, RolloutProgress>,
    history: VecDeque<AcceptedChange>,
}

/// Update that takes an entry to the newest revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlanUpdate {
    /// The entry is up to date.
    Current,
    /// The changes since the entry's revision, oldest first, each with the Unix time of its
    /// acceptance.
    Changes(Vec<(PlanChange, TimePoint)>),
    /// The whole plan.
    Whole(Box<PlanState>),
}

impl PlanState {
    /// Applies a submitted change at Unix time `stamp`.
    pub fn submit(&mut self, submitted: &SubmittedChange, stamp: TimePoint) -> ChangeOutcome {
        let hash = submitted_hash(submitted);
        if let Some(earlier) = self.earlier_revision(submitted, hash) {
            return ChangeOutcome::Accepted(earlier);
        }
        if let Some(conflict) = self.conflict(submitted) {
            return conflict;
        }
        let change = match self.resolve(&submitted.content) {
            Ok(change) => change,
            Err(problem) => return ChangeOutcome::Invalid(problem),
        };
        let summary = self.summarize(&change);
        self.apply_change(&change, stamp);
        self.push_history(AcceptedChange {
            revision: self.revision,
            submitted_hash: hash,
            operator: submitted.operator.clone(),
            summary,
            change,
            stamp,
        });
        ChangeOutcome::Accepted(self.revision)
    }

    /// The revision that `submitted` made, if it was accepted before and is submitted again.
    fn earlier_revision(&self, submitted: &SubmittedChange, hash: u128) -> Option<u64> {
        submitted.base?;
        self.history
            .iter()
            .rev()
            .find(|accepted| accepted.submitted_hash == hash)
            .map(|accepted| accepted.revision)
    }

    fn conflict(&self, submitted: &SubmittedChange) -> Option<ChangeOutcome> {
        let SubmittedContent::Declaration(_) = submitted.content else {
            return None;
        };
        let base = submitted.base.unwrap_or_default();
        if base >= self.declared_at && base <= self.revision {
            return None;
        }
        let winner = self
            .history
            .iter()
            .rev()
            .find(|accepted| accepted.revision == self.declared_at);
        Some(ChangeOutcome::Conflict {
            current: self.declared_at,
            winner: winner.map_or_else(String::new, |w| w.operator.clone()),
            changes: winner.map_or_else(Vec::new, |w| w.summary.clone()),
            loser: submitted.operator.clone(),
        })
    }

    fn resolve(&self, content: &SubmittedContent) -> Result<PlanChange, String> {
        match content {
            SubmittedContent::Declaration(declaration) => {
                let patch = DeclarationPatch::between(&self.declaration, declaration);
                Ok(PlanChange::Declare(Box::new(patch)))
            }
            SubmittedContent::Change(change) => {
                self.check_names(change)?;
                Ok(change.clone())
            }
        }
    }

    fn check_names(&self, change: &PlanChange) -> Result<(), String> {
        match change {
            PlanChange::Declare(_) => Ok(()),
            PlanChange::Withdraw { version, successor } => {
                self.check_version(version)?;
                successor
                    .as_ref()
                    .map_or(Ok(()), |s| self.check_not_withdrawn(s))
            }
            PlanChange::Quarantine { version, .. } | PlanChange::Clear(version) => {
                self.check_version(version)
            }
            PlanChange::DrainDomain(domain) | PlanChange::ReturnDomain(domain) => {
                if self.declaration.domains.contains_key(domain) {
                    Ok(())
                } else {
                    Err(format!("failure domain {domain} is not declared"))
                }
            }
            PlanChange::Rollout { rollout, progress } => self.check_rollout(rollout, progress),
        }
    }

    fn check_version(&self, version: &VersionId) -> Result<(), String> {
        if self.declaration.versions.contains_key(version) {
            Ok(())
        } else {
            Err(format!("version {version} is not declared"))
        }
    }

    fn check_not_withdrawn(&self, version: &VersionId) -> Result<(), String> {
        self.check_version(version)?;
        if self.is_withdrawn(version) {
            return Err(format!("version {version} is withdrawn"));
        }
        Ok(())
    }

    fn check_rollout(&self, id: &RolloutId, progress: &RolloutProgress) -> Result<(), String> {
        let Some(rule) = self.declaration.rollouts.get(id) else {
            return Err(format!("roll-out {id} is not declared"));
        };
        if progress.step >= rule.steps.len() {
            return Err(format!("roll-out {id} has {} steps", rule.steps.len()));
        }
        if progress.phase == RolloutPhase::Advancing {
            self.check_not_withdrawn(&rule.to)?;
        }
        Ok(())
    }

    /// Whether `version` is withdrawn by declaration or by command. A version that is not declared
    /// counts as withdrawn.
    pub fn is_withdrawn(&self, version: &VersionId) -> bool {
        self.withdrawn.contains_key(version)
            || self
                .declaration
                .versions
                .get(version)
                .is_none_or(|rule| rule.is_withdrawn)
    }

    fn summarize(&self, change: &PlanChange) -> Vec<String> {
        match change {
            PlanChange::Declare(patch) => describe_patch(&self.declaration, patch),
            PlanChange::Withdraw { version, .. } => {
                vec![format!("Version {version} is withdrawn.")]
            }
            PlanChange::Quarantine { version, reason } => {
                vec![format!("Version {version} is in quarantine: {reason}.")]
            }
            PlanChange::Clear(version) => vec![format!("Version {version} leaves quarantine.")],
            PlanChange::DrainDomain(domain) => vec![format!("Failure domain {domain} is out.")],
            PlanChange::ReturnDomain(domain) => vec![format!("Failure domain {domain} is back.")],
            PlanChange::Rollout { rollout, progress } => vec![format!(
                "Roll-out {rollout} is {:?} at step {}: {}.",
                progress.phase,
                progress.step + 1,
                progress.reason
            )],
        }
    }

    /// Applies an accepted change and increases the revision by one.
    pub fn apply_change(&mut self, change: &PlanChange, stamp: TimePoint) {
        self.revision += 1;
        match change {
            PlanChange::Declare(patch) => self.apply_patch(patch, stamp),
            PlanChange::Withdraw { version, successor } => {
                self.withdrawn.insert(version.clone(), successor.clone());
                self.quarantined.remove(version);
            }
            PlanChange::Quarantine { version, reason } => {
                self.quarantined.insert(version.clone(), reason.clone());
            }
            PlanChange::Clear(version) => {
                self.quarantined.remove(version);
            }
            PlanChange::DrainDomain(domain) => {
                self.drained.insert(domain.clone());
            }
            PlanChange::ReturnDomain(domain) => {
                self.drained.remove(domain);
            }
            PlanChange::Rollout { rollout, progress } => {
                self.rollouts.insert(rollout.clone(), progress.clone());
            }
        }
    }

    fn apply_patch(&mut self, patch: &DeclarationPatch, stamp: TimePoint) {
        let previous = Arc::clone(&self.declaration);
        let declaration = Arc::make_mut(&mut self.declaration);
        patch.apply(declaration);
        self.declared_at = self.revision;
        self.rollouts
            .retain(|id, _| declaration.rollouts.get(id) == previous.rollouts.get(id));
        for id in declaration.rollouts.keys() {
            self.rollouts
                .entry(id.clone())
                .or_insert_with(|| RolloutProgress::start(stamp));
        }
        self.drained
            .retain(|domain| declaration.domains.contains_key(domain));
        self.quarantined
            .retain(|version, _| declaration.versions.contains_key(version));
    }

    fn push_history(&mut self, accepted: AcceptedChange) {
        self.history.push_back(accepted);
        if self.history.len() > CHANGE_HISTORY {
            self.history.pop_front();
        }
    }

    /// The update that takes an entry at `revision` to this plan.
    pub fn update_from(&self, revision: u64) -> PlanUpdate {
        if revision == self.revision {
            return PlanUpdate::Current;
        }
        let oldest = self.history.front().map_or(u64::MAX, |c| c.revision);
        if revision == 0 || revision + 1 < oldest || revision > self.revision {
            return PlanUpdate::Whole(Box::new(self.without_history()));
        }
        let changes = self
            .history
            .iter()
            .filter(|accepted| accepted.revision > revision)
            .map(|accepted| (accepted.change.clone(), accepted.stamp))
            .collect();
        PlanUpdate::Changes(changes)
    }

    /// This plan without its history of accepted changes.
    #[must_use]
    pub fn without_history(&self) -> Self {
        Self {
            history: VecDeque::new(),
            ..self.clone()
        }
    }

    /// The changes in the history, newest first: revision, operator and summary.
    pub fn recent_changes(&self) -> impl Iterator<Item = (u64, &str, &[String])> {
        self.history
            .iter()
            .rev()
            .map(|c| (c.revision, c.operator.as_str(), c.summary.as_slice()))
    }
}

impl PlanUpdate {
    /// Applies the update to `plan`. A whole plan that is not newer is ignored, so the revision
    /// never decreases.
    pub fn apply(self, plan: &mut PlanState) {
        match self {
            Self::Current => {}
            Self::Changes(changes) => {
                for (change, stamp) in &changes {
                    plan.apply_change(change, *stamp);
                }
            }
            Self::Whole(whole) => {
                if whole.revision > plan.revision {
                    *plan = *whole;
                }
            }
        }
    }
}

fn submitted_hash(submitted: &SubmittedChange) -> u128 {
    let bytes = postcard::to_stdvec(&(&submitted.operator, submitted.base, &submitted.content))
        .unwrap_or_default();
    content_hash(&bytes)
}
