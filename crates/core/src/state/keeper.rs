//! The replicated state machine of the keepers.

use serde::{Deserialize, Serialize};

use super::evidence::{EvidenceSettings, EvidenceTable};
use super::fencing::{FenceLease, FenceTable};
use super::quality::{QualitySettings, QualityTable, RatingRecord, RouteArm};
use crate::ids::{EntryId, RolloutId, ServiceId, VersionId};
use crate::ledger::{
    AttemptId, BillOutcome, BillRecord, BindOutcome, ClaimOutcome, ClaimRequest, LedgerSettings,
    LedgerState, RequestKey, SessionKey, SettleOutcome, StoredAnswer,
};
use crate::plan::{
    ChangeOutcome, PlanChange, PlanState, PlanView, RolloutPhase, RolloutProgress, RolloutRule,
    SubmittedChange, SubmittedContent,
};
use crate::routing::{RoutingCommand, RoutingOutcome, RoutingState};
use crate::time::TimePoint;

/// Operator name recorded for changes that the keepers make themselves.
const SYSTEM_OPERATOR: &str = "system";

/// Command of the replicated state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperCommand {
    /// Submits a change of the plan.
    Submit(Box<SubmittedChange>),
    /// Claims the right to run a request.
    Claim(ClaimRequest),
    /// Releases a claim whose request never reached an endpoint.
    Release {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that holds the claim.
        attempt: AttemptId,
    },
    /// Stores the answer of a claimed request and books its bill atomically.
    Settle {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that holds the claim.
        attempt: AttemptId,
        /// The answer.
        answer: StoredAnswer,
        /// The bill.
        bill: BillRecord,
    },
    /// Marks the outcome of a claimed request as unknown because its answer is lost.
    GiveUp {
        /// Key of the request.
        key: RequestKey,
        /// Attempt that holds the claim.
        attempt: AttemptId,
    },
    /// Binds a session to a version; the first binding wins.
    Bind {
        /// The session.
        session: SessionKey,
        /// Version to bind to if the session has no binding yet.
        wish: VersionId,
    },
    /// Books a bill.
    Bill(BillRecord),
    /// Adds ratings.
    Rate(Vec<RatingRecord>),
    /// Marks the running claims of an entry as unknown because its lease has expired or it has
    /// restarted.
    EntryGone {
        /// The entry.
        entry: EntryId,
        /// Incarnations below this one have ended.
        incarnation: u64,
    },
    /// Acquires or renews the fence of a service.
    Fence {
        /// The service.
        service: ServiceId,
        /// Entry that requests the fence.
        entry: EntryId,
        /// Incarnation of that entry.
        incarnation: u64,
    },
    /// Changes the settings of the ledger.
    Configure(LedgerSettings),
    /// A command of the routing state.
    Routing(Box<RoutingCommand>),
    /// Advances the clock and the roll-outs whose step is due to end.
    Tick,
    /// Several commands, applied in order.
    Batch(Vec<Self>),
}

/// A command with the Unix time at which the leader proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Unix time of the leader.
    pub stamp: TimePoint,
    /// The command.
    pub command: KeeperCommand,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeeperOutcome {
    /// Answer to [`KeeperCommand::Submit`].
    Change(ChangeOutcome),
    /// Answer to [`KeeperCommand::Claim`].
    Claim(ClaimOutcome),
    /// Answer to [`KeeperCommand::Settle`].
    Settle(SettleOutcome, BillOutcome),
    /// Answer to [`KeeperCommand::Bind`].
    Bind(BindOutcome),
    /// Answer to [`KeeperCommand::Bill`].
    Bill(BillOutcome),
    /// Answer to [`KeeperCommand::Fence`]; `None` while another holder's fence is valid.
    Fence(Option<FenceLease>),
    /// Answer to [`KeeperCommand::Routing`].
    Routing(RoutingOutcome),
    /// Answer to all other commands: whether anything changed.
    Done(bool),
    /// Answers to [`KeeperCommand::Batch`].
    Batch(Vec<Self>),
}

/// The replicated state of the keepers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KeeperState {
    /// The plan.
    pub plan: PlanState,
    /// Claims, bindings and bills.
    pub ledger: LedgerState,
    /// Ratings.
    pub quality: QualityTable,
    /// Sequential tests on the ratings.
    pub evidence: EvidenceTable,
    /// Fences of the services.
    pub fences: FenceTable,
    /// Routes, endpoints and roll-outs.
    pub routing: RoutingState,
    /// Newest timestamp of a command. It never decreases, even if a new leader's clock is behind.
    pub clock: TimePoint,
    /// Number of commands applied; equal on all replicas at the same log position.
    pub changes: u64,
}

impl KeeperState {
    /// Applies a command.
    pub fn apply(&mut self, stamped: &StampedCommand) -> KeeperOutcome {
        self.clock = self.clock.max(stamped.stamp);
        self.changes += 1;
        self.execute(&stamped.command)
    }

    fn execute(&mut self, command: &KeeperCommand) -> KeeperOutcome {
        let stamp = self.clock;
        match command {
            KeeperCommand::Submit(change) => KeeperOutcome::Change(self.plan.submit(change, stamp)),
            KeeperCommand::Claim(request) => {
                KeeperOutcome::Claim(self.ledger.claim(request, stamp))
            }
            KeeperCommand::Release { key, attempt } => {
                KeeperOutcome::Done(self.ledger.release(*key, attempt))
            }
            KeeperCommand::Settle {
                key,
                attempt,
                answer,
                bill,
            } => {
                let settled = self.ledger.settle(*key, attempt, answer, stamp);
                let billed = match settled {
                    SettleOutcome::NotHeld => BillOutcome::AlreadyBooked,
                    _ => self.ledger.bill(bill, stamp),
                };
                KeeperOutcome::Settle(settled, billed)
            }
            KeeperCommand::GiveUp { key, attempt } => {
                KeeperOutcome::Done(self.ledger.mark_unknown(*key, attempt, stamp))
            }
            KeeperCommand::Bind { session, wish } => {
                let view = PlanView::new(&self.plan, stamp);
                KeeperOutcome::Bind(self.ledger.bind(*session, wish, &view, stamp))
            }
            KeeperCommand::Bill(bill) => KeeperOutcome::Bill(self.ledger.bill(bill, stamp)),
            KeeperCommand::Rate(ratings) => {
                for rating in ratings {
                    self.add_rating(rating);
                }
                KeeperOutcome::Done(true)
            }
            KeeperCommand::EntryGone { entry, incarnation } => {
                let marked_claims =
                    self.ledger
                        .mark_entry_claims_unknown(entry, *incarnation, stamp);
                KeeperOutcome::Done(marked_claims > 0)
            }
            KeeperCommand::Fence {
                service,
                entry,
                incarnation,
            } => KeeperOutcome::Fence(self.fences.acquire(service, entry, *incarnation, stamp)),
            KeeperCommand::Configure(settings) => {
                self.ledger.configure(settings);
                KeeperOutcome::Done(true)
            }
            KeeperCommand::Routing(command) => {
                KeeperOutcome::Routing(self.routing.apply(self.changes, command))
            }
            KeeperCommand::Tick => KeeperOutcome::Done(self.advance_rollouts()),
            KeeperCommand::Batch(commands) => {
                KeeperOutcome::Batch(commands.iter().map(|c| self.execute(c)).collect())
            }
        }
    }

    fn submit_as_system(&mut self, change: PlanChange) {
        let submitted = SubmittedChange {
            operator: SYSTEM_OPERATOR.to_owned(),
            base: None,
            content: SubmittedContent::Change(change),
        };
        self.plan.submit(&submitted, self.clock);
    }

    /// The declared quality of `version`, or 0.5 if it is not declared.
    fn declared_quality(&self, version: &VersionId) -> f64 {
        self.plan
            .declaration
            .versions
            .get(version)
            .map_or(0.5, |rule| rule.prior_quality)
    }

    fn add_rating(&mut self, rating: &RatingRecord) {
        let declared = self.declared_quality(&rating.answered_by);
        self.quality.add(rating, &QualitySettings::default());
        let has_dropped = self
            .evidence
            .add(rating, declared, &EvidenceSettings::default());
        let is_suspect = self
            .evidence
            .is_suspect(&rating.answered_by, &EvidenceSettings::default());
        self.quality.set_suspect(&rating.answered_by, is_suspect);
        let is_excluded = self.plan.quarantined.contains_key(&rating.answered_by)
            || self.plan.is_withdrawn(&rating.answered_by);
        if has_dropped && !is_excluded {
            self.quarantine(&rating.answered_by);
        }
    }

    /// Puts `version` in quarantine and rolls back the roll-outs that lead to it.
    fn quarantine(&mut self, version: &VersionId) {
        let (count, good) = self.evidence.recent(version);
        let reason = format!("quality fell; {good:.0} of {count:.0} ratings were good");
        self.evidence.reset(version);
        self.quality.forget(version);
        self.submit_as_system(PlanChange::Quarantine {
            version: version.clone(),
            reason: reason.clone(),
        });
        let affected: Vec<(RolloutId, usize)> = self
            .plan
            .declaration
            .rollouts
            .iter()
            .filter(|(_, rule)| rule.to == *version)
            .filter_map(|(id, _)| Some((id.clone(), self.plan.rollouts.get(id)?.step)))
            .collect();
        for (rollout, step) in affected {
            self.set_progress(rollout, step, RolloutPhase::RolledBack, &reason);
        }
    }

    fn set_progress(&mut self, rollout: RolloutId, step: usize, phase: RolloutPhase, reason: &str) {
        let progress = RolloutProgress {
            step,
            phase,
            since: self.clock,
            reason: reason.to_owned(),
        };
        self.submit_as_system(PlanChange::Rollout { rollout, progress });
    }

    /// Whether [`KeeperCommand::Tick`] at `stamp` would advance a roll-out.
    pub fn has_due_rollout(&self, stamp: TimePoint) -> bool {
        self.due_rollout(stamp).is_some()
    }

    fn due_rollout(&self, stamp: TimePoint) -> Option<(RolloutId, RolloutProgress)> {
        let rules = &self.plan.declaration.rollouts;
        rules.iter().find_map(|(id, rule)| {
            let progress = self.plan.rollouts.get(id)?;
            let next = self.next_progress(rule, progress, stamp)?;
            Some((id.clone(), next))
        })
    }

    fn next_progress(
        &self,
        rule: &RolloutRule,
        progress: &RolloutProgress,
        stamp: TimePoint,
    ) -> Option<RolloutProgress> {
        if progress.phase != RolloutPhase::Advancing {
            return None;
        }
        let step = rule.steps.get(progress.step)?;
        let (count, good) = self.evidence.recent(&rule.to);
        let has_hold_elapsed = stamp.since(progress.since) >= step.hold;
        if !has_hold_elapsed || count < f64::from(step.min_ratings) {
            return None;
        }
        let new_mean = good / count.max(1.0);
        let old_mean = self.long_run_quality(&rule.from);
        let is_last = progress.step + 1 >= rule.steps.len();
        let (step, phase) = if is_good_enough(new_mean, old_mean, count) {
            if is_last {
                (progress.step, RolloutPhase::Complete)
            } else {
                (progress.step + 1, RolloutPhase::Advancing)
            }
        } else {
            (progress.step, RolloutPhase::RolledBack)
        };
        Some(RolloutProgress {
            step,
            phase,
            since: stamp,
            reason: format!("quality {new_mean:.2} against {old_mean:.2}"),
        })
    }

    /// Quality of `version` from its ratings, or its declared quality while it has fewer than 20.
    fn long_run_quality(&self, version: &VersionId) -> f64 {
        let ratings = self
            .quality
            .pooled_over_kinds(&RouteArm::Single(version.clone()));
        if ratings.count >= 20.0 {
            ratings.good / ratings.count
        } else {
            self.declared_quality(version)
        }
    }

    fn advance_rollouts(&mut self) -> bool {
        let mut has_changed = false;
        while let Some((id, progress)) = self.due_rollout(self.clock) {
            has_changed = true;
            if let Some(rule) = self.plan.declaration.rollouts.get(&id) {
                let version = rule.to.clone();
                self.evidence.reset(&version);
            }
            self.set_progress(id, progress.step, progress.phase, &progress.reason);
        }
        has_changed
    }
}

/// Whether the new mean lies below the old one by no more than the tolerance plus one standard
/// error.
fn is_good_enough(new_mean: f64, old_mean: f64, count: f64) -> bool {
    let standard_error = (old_mean * (1.0 - old_mean) / count.max(1.0)).sqrt();
    new_mean + standard_error >= old_mean - EvidenceSettings::default().rollout_tolerance
}
