//! The plan in force and the changes that carry it from revision to revision.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::declaration::PlanDeclaration;
use super::diff::{DeclarationPatch, describe_patch};
use super::rollout::{RolloutPhase, RolloutProgress};
use crate::hash::content_hash;
use crate::ids::{DomainId, RolloutId, VersionId};
use crate::time::TimePoint;

/// Changes that are remembered for resends and for updates by difference.
pub const CHANGE_HISTORY: usize = 256;

/// A change of the plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlanChange {
    /// Rows of the declaration change.
    Declare(Box<DeclarationPatch>),
    /// A version is withdrawn for good.
    Withdraw {
        /// The version.
        version: VersionId,
        /// Where its sessions move.
        successor: Option<VersionId>,
    },
    /// A version is kept from new sessions until an operator clears it.
    Quarantine {
        /// The version.
        version: VersionId,
        /// Why, in a sentence.
        reason: String,
    },
    /// A quarantine ends.
    Clear(VersionId),
    /// A failure domain is taken out.
    DrainDomain(DomainId),
    /// A failure domain returns.
    ReturnDomain(DomainId),
    /// A roll-out enters another step or phase.
    Rollout {
        /// The roll-out.
        rollout: RolloutId,
        /// What it enters.
        progress: RolloutProgress,
    },
}

/// A change as an operator, or the system itself, submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmittedChange {
    /// Who submits it.
    pub operator: String,
    /// Revision that the change was made from. Only declarations need one.
    pub base: Option<u64>,
    /// What it changes.
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

/// Answer to a submitted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// Accepted under this revision.
    Accepted(u64),
    /// Another change was accepted from the same base.
    Conflict {
        /// Revision of the newest declaration.
        current: u64,
        /// Operator whose declaration was accepted.
        winner: String,
        /// What the winner changed, in sentences.
        changes: Vec<String>,
        /// Operator whose declaration was refused.
        loser: String,
    },
    /// The change names something that is not declared, or asks for what is not possible.
    Invalid(String),
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedChange {
    revision: u64,
    submitted_hash: u128,
    operator: String,
    summary: Vec<String>,
    change: PlanChange,
    stamp: TimePoint,
}

/// The plan under one revision: the declaration and what has been decided since.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanState {
    /// Revision: grows by one with each accepted change.
    pub revision: u64,
    /// Revision of the newest declaration.
    pub declared_at: u64,
    /// The declaration.
    pub declaration: Arc<PlanDeclaration>,
    /// Versions withdrawn by command, with their successors.
    pub withdrawn: BTreeMap<VersionId, Option<VersionId>>,
    /// Versions in quarantine, with the reason.
    pub quarantined: BTreeMap<VersionId, String>,
    /// Failure domains taken out by command.
    pub drained: BTreeSet<DomainId>,
    /// Progress of the declared roll-outs.
    pub rollouts: BTreeMap<RolloutId, RolloutProgress>,
    history: VecDeque<AcceptedChange>,
}

/// What an entry needs to reach the newest revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlanUpdate {
    /// The entry is up to date.
    Current,
    /// The changes since the entry's revision, oldest first, with their time of acceptance.
    Changes(Vec<(PlanChange, TimePoint)>),
    /// The whole plan.
    Whole(Box<PlanState>),
}

impl PlanState {
    /// Applies a submitted change at Unix time `stamp`.
    pub fn submit(&mut self, submitted: &SubmittedChange, stamp: TimePoint) -> ChangeOutcome {
        let hash = submitted_hash(submitted);
        if let Some(earlier) = self.earlier_answer(submitted, hash) {
            return ChangeOutcome::Accepted(earlier);
        }
        if let Some(conflict) = self.conflict(submitted) {
            return conflict;
        }
        let change = match self.resolve(&submitted.content) {
            Ok(change) => change,
            Err(problem) => return ChangeOutcome::Invalid(problem),
        };
        let summary = self.summarise(&change);
        self.apply_change(&change, stamp);
        self.remember(AcceptedChange {
            revision: self.revision,
            submitted_hash: hash,
            operator: submitted.operator.clone(),
            summary,
            change,
            stamp,
        });
        ChangeOutcome::Accepted(self.revision)
    }

    /// The revision that `submitted` got before, when it is a resend.
    fn earlier_answer(&self, submitted: &SubmittedChange, hash: u128) -> Option<u64> {
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
                successor.as_ref().map_or(Ok(()), |s| self.check_open(s))
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

    fn check_open(&self, version: &VersionId) -> Result<(), String> {
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
            self.check_open(&rule.to)?;
        }
        Ok(())
    }

    /// Whether `version` is withdrawn by declaration or by command.
    pub fn is_withdrawn(&self, version: &VersionId) -> bool {
        self.withdrawn.contains_key(version)
            || self
                .declaration
                .versions
                .get(version)
                .is_none_or(|rule| rule.is_withdrawn)
    }

    fn summarise(&self, change: &PlanChange) -> Vec<String> {
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

    /// Applies an accepted change; the revision grows by one.
    pub fn apply_change(&mut self, change: &PlanChange, stamp: TimePoint) {
        self.revision += 1;
        match change {
            PlanChange::Declare(patch) => self.accept_patch(patch, stamp),
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

    fn accept_patch(&mut self, patch: &DeclarationPatch, stamp: TimePoint) {
        let before = Arc::clone(&self.declaration);
        let declaration = Arc::make_mut(&mut self.declaration);
        patch.apply(declaration);
        self.declared_at = self.revision;
        self.rollouts
            .retain(|id, _| declaration.rollouts.get(id) == before.rollouts.get(id));
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

    fn remember(&mut self, accepted: AcceptedChange) {
        self.history.push_back(accepted);
        if self.history.len() > CHANGE_HISTORY {
            self.history.pop_front();
        }
    }

    /// What an entry at `revision` needs to reach this plan.
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

    /// This plan without the changes that led to it.
    #[must_use]
    pub fn without_history(&self) -> Self {
        Self {
            history: VecDeque::new(),
            ..self.clone()
        }
    }

    /// Summaries of the newest changes, newest first: revision, operator and sentences.
    pub fn recent_changes(&self) -> impl Iterator<Item = (u64, &str, &[String])> {
        self.history
            .iter()
            .rev()
            .map(|c| (c.revision, c.operator.as_str(), c.summary.as_slice()))
    }
}

impl PlanUpdate {
    /// Applies the update to `plan`, which never goes back to an earlier revision.
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
