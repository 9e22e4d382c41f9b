//! Third filter: the way to answer, by least expected cost at the required quality.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::intake::ParsedRequest;
use super::refusal::{Refusal, RefusalCode};
use super::settle::cost_of;
use crate::hash::key_hash;
use crate::ids::{KindId, RolloutId, VersionId, WorkspaceId};
use crate::plan::{PlanView, RolloutRule};
use crate::state::{QualityBook, QualityEstimate, QualityKey, QualitySettings, RouteArm};
use crate::time::TimePoint;

/// How versions are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionPolicy {
    /// Least expected cost whose lower quality bound reaches the target.
    #[default]
    LeastCostAtTarget,
    /// Baseline: the highest mean quality.
    AlwaysBest,
    /// Baseline: the lowest cost.
    AlwaysCheapest,
    /// Baseline: every allowed version in equal shares.
    FixedShares,
}

/// Settings of the choice of versions.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionSettings {
    /// How versions are chosen.
    pub policy: VersionPolicy,
    /// Estimates.
    pub quality: QualitySettings,
    /// Target of requests for which none is declared.
    pub default_target: f64,
    /// Share of sessionless requests that may try a way whose mean reaches the target.
    pub explore_share: f64,
    /// Share of sessionless requests that may try a way of which only the upper bound does.
    pub optimistic_explore_share: f64,
    /// Generated tokens of an answer, for expected cost.
    pub typical_output_tokens: u64,
    /// Share of cascade answers that need the second step, before any was seen.
    pub prior_escalation_rate: f64,
    /// Cheapest versions that are considered as first step of a cascade.
    pub max_first_steps: usize,
    /// How long a table of offers is used.
    pub candidate_ttl: Duration,
}

impl Default for VersionSettings {
    fn default() -> Self {
        Self {
            policy: VersionPolicy::default(),
            quality: QualitySettings::default(),
            default_target: 0.8,
            explore_share: 0.06,
            optimistic_explore_share: 0.01,
            typical_output_tokens: 300,
            prior_escalation_rate: 0.35,
            max_first_steps: 4,
            candidate_ttl: Duration::from_millis(250),
        }
    }
}

/// Why a way to answer was chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChoiceReason {
    /// Cheapest that reaches the target.
    CheapestAtTarget,
    /// None reaches the target; this one comes nearest.
    BestBelowTarget,
    /// Tried, because it may reach the target for less.
    Explored,
    /// The roll-out gives this request to this version.
    Rollout(RolloutId),
    /// The caller asked for it.
    Wished,
    /// The session is bound to it.
    Bound,
    /// A baseline policy chose it.
    Baseline,
}

/// The chosen way to answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionChoice {
    /// How to answer.
    pub arm: RouteArm,
    /// Why.
    pub reason: ChoiceReason,
}

/// One way to answer, with its price and quality.
#[derive(Clone, Debug, PartialEq)]
pub struct ArmCandidate {
    /// How to answer.
    pub arm: RouteArm,
    /// Expected cost of one request, in millionths of the currency unit.
    pub cost: f64,
    /// Quality.
    pub quality: QualityEstimate,
    /// Whether roll-outs leave it open to new sessions at all.
    pub share: f64,
}

#[derive(Clone, Debug)]
struct CandidateTable {
    candidates: Vec<ArmCandidate>,
    target: f64,
    revision: u64,
    built_at: TimePoint,
}

/// Chooses how to answer.
#[derive(Clone, Debug, Default)]
pub struct VersionSelector {
    settings: VersionSettings,
    tables: HashMap<(WorkspaceId, KindId), CandidateTable>,
    escalations: HashMap<VersionId, EscalationRate>,
}

#[derive(Clone, Copy, Debug, Default)]
struct EscalationRate {
    escalated: f64,
    count: f64,
}

/// Ratings that the prior of an escalation rate counts for.
const ESCALATION_PRIOR_WEIGHT: f64 = 20.0;
/// Least cost of a cascade's second step as a multiple of its first: between versions of like cost
/// a cascade is no more than a second opinion.
pub const MIN_CASCADE_COST_RATIO: f64 = 1.5;
/// Quality of a cascade before any rating, relative to its second step.
const CASCADE_PRIOR_FACTOR: f64 = 0.97;

impl VersionSelector {
    /// A chooser that has seen nothing.
    pub fn new(settings: VersionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Settings of the choice.
    pub fn settings(&self) -> &VersionSettings {
        &self.settings
    }

    /// Notes whether the cheap step of a cascade was enough.
    pub fn record_cascade(&mut self, cheap: &VersionId, is_escalated: bool) {
        let rate = self.escalations.entry(cheap.clone()).or_default();
        rate.count = rate.count * 0.995 + 1.0;
        rate.escalated = rate.escalated * 0.995 + f64::from(u8::from(is_escalated));
    }

    fn escalation_rate(&self, cheap: &VersionId) -> f64 {
        let rate = self.escalations.get(cheap).copied().unwrap_or_default();
        let prior = self.settings.prior_escalation_rate * ESCALATION_PRIOR_WEIGHT;
        (rate.escalated + prior) / (rate.count + ESCALATION_PRIOR_WEIGHT)
    }

    /// Chooses how to answer a request that no session binds.
    ///
    /// `has_pool` tells whether any endpoint can serve a version now.
    ///
    /// # Errors
    /// [`Refusal`] when the workspace has no version in service, or may not use its wish.
    pub fn choose(
        &mut self,
        now: TimePoint,
        request: &ParsedRequest,
        plan: &PlanView<'_>,
        quality_book: &QualityBook,
        has_pool: &dyn Fn(&VersionId) -> bool,
        rng: &mut impl Rng,
    ) -> Result<VersionChoice, Refusal> {
        if let Some(requested_version) = &request.requested_version {
            return Self::choose_requested(requested_version, plan);
        }
        self.refresh(now, request, plan, quality_book, has_pool);
        let key = (request.workspace.clone(), request.kind.clone());
        let table = &self.tables[&key];
        let candidates: Vec<&ArmCandidate> = table
            .candidates
            .iter()
            .filter(|candidate| matches_model(&candidate.arm, request.requested_model.as_deref()))
            .collect();
        let choice = self
            .select(request, table.target, &candidates, rng)
            .ok_or_else(|| {
                Refusal::not_run(
                    RefusalCode::NoVersion,
                    format!("workspace {} has no version in service", request.workspace),
                )
            })?;
        Ok(apply_rollout(choice, request, plan, rng))
    }

    fn choose_requested(
        requested_version: &VersionId,
        plan: &PlanView<'_>,
    ) -> Result<VersionChoice, Refusal> {
        if plan.is_withdrawn(requested_version) {
            return Err(Refusal::not_run(
                RefusalCode::NoVersion,
                format!("version {requested_version} is withdrawn"),
            ));
        }
        Ok(VersionChoice {
            arm: RouteArm::Single(requested_version.clone()),
            reason: ChoiceReason::Wished,
        })
    }

    fn refresh(
        &mut self,
        now: TimePoint,
        request: &ParsedRequest,
        plan: &PlanView<'_>,
        quality_book: &QualityBook,
        has_pool: &dyn Fn(&VersionId) -> bool,
    ) {
        let key = (request.workspace.clone(), request.kind.clone());
        let is_fresh = self.tables.get(&key).is_some_and(|table| {
            table.revision == plan.plan().revision
                && now.since(table.built_at) < self.settings.candidate_ttl
        });
        if is_fresh {
            return;
        }
        let mut candidates = self.candidates(request, plan, quality_book, has_pool);
        if candidates.is_empty() {
            // No endpoint is heard just now: the request may still wait for one.
            candidates = self.candidates(request, plan, quality_book, &|_| true);
        }
        let table = CandidateTable {
            candidates,
            target: plan
                .target(&request.workspace, &request.kind)
                .map_or(self.settings.default_target, |t| t.quality),
            revision: plan.plan().revision,
            built_at: now,
        };
        self.tables.insert(key, table);
    }

    /// The offers weighed for requests like `ticket`, as of the last choice.
    pub fn cached_candidates(&self, request: &ParsedRequest) -> &[ArmCandidate] {
        let key = (request.workspace.clone(), request.kind.clone());
        self.tables.get(&key).map_or(&[], |table| &table.candidates)
    }

    /// All ways to answer that are open to new sessions, cheapest first.
    pub fn candidates(
        &self,
        request: &ParsedRequest,
        plan: &PlanView<'_>,
        quality_book: &QualityBook,
        has_pool: &dyn Fn(&VersionId) -> bool,
    ) -> Vec<ArmCandidate> {
        let Some(rule) = plan.workspace(&request.workspace) else {
            return Vec::new();
        };
        let mut singles: Vec<ArmCandidate> = rule
            .allowed
            .iter()
            .filter(|version| plan.is_open_to_new(version) && has_pool(version))
            .filter_map(|version| self.single_candidate(request, version, plan, quality_book))
            .filter(|candidate| candidate.share > 0.0)
            .collect();
        singles.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let cascades = self.cascade_candidates(request, &singles, plan, quality_book);
        singles.extend(cascades);
        singles.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        singles
    }

    fn estimate(
        &self,
        request: &ParsedRequest,
        arm: &RouteArm,
        declared: f64,
        quality_book: &QualityBook,
    ) -> QualityEstimate {
        let key = QualityKey {
            workspace: Some(request.workspace.clone()),
            kind: request.kind.clone(),
            arm: arm.clone(),
        };
        quality_book.estimate(&key, declared, &self.settings.quality)
    }

    fn single_candidate(
        &self,
        request: &ParsedRequest,
        version: &VersionId,
        plan: &PlanView<'_>,
        quality_book: &QualityBook,
    ) -> Option<ArmCandidate> {
        let rule = plan.version(version)?;
        let arm = RouteArm::Single(version.clone());
        let output = self.settings.typical_output_tokens;
        Some(ArmCandidate {
            cost: cost_of(rule, request.input_tokens, output) as f64,
            quality: self.estimate(request, &arm, rule.prior_quality, quality_book),
            share: plan.new_session_share(version),
            arm,
        })
    }

    fn cascade_candidates(
        &self,
        request: &ParsedRequest,
        singles: &[ArmCandidate],
        plan: &PlanView<'_>,
        quality_book: &QualityBook,
    ) -> Vec<ArmCandidate> {
        let mut cascades = Vec::new();
        // A cascade answers in two steps, which a session's single version rules out.
        if request.session.is_some() {
            return cascades;
        }
        for (i, cheap) in singles
            .iter()
            .enumerate()
            .take(self.settings.max_first_steps)
        {
            let stronger = singles[i + 1..]
                .iter()
                .filter(|s| s.cost > cheap.cost * MIN_CASCADE_COST_RATIO);
            for strong in stronger {
                let candidate = self.cascade_candidate(request, cheap, strong, plan, quality_book);
                cascades.extend(candidate);
            }
        }
        cascades
    }

    fn cascade_candidate(
        &self,
        request: &ParsedRequest,
        cheap: &ArmCandidate,
        strong: &ArmCandidate,
        plan: &PlanView<'_>,
        quality_book: &QualityBook,
    ) -> Option<ArmCandidate> {
        let declared = plan.version(strong.arm.version())?.prior_quality;
        let escalation = self.escalation_rate(cheap.arm.version());
        let arm = RouteArm::Cascade {
            cheap: cheap.arm.version().clone(),
            strong: strong.arm.version().clone(),
        };
        Some(ArmCandidate {
            cost: cheap.cost + escalation * strong.cost,
            quality: self.estimate(request, &arm, declared * CASCADE_PRIOR_FACTOR, quality_book),
            share: cheap.share.min(strong.share),
            arm,
        })
    }

    fn select(
        &self,
        request: &ParsedRequest,
        target: f64,
        candidates: &[&ArmCandidate],
        rng: &mut impl Rng,
    ) -> Option<VersionChoice> {
        let singles = || {
            candidates
                .iter()
                .filter(|o| matches!(o.arm, RouteArm::Single(_)))
        };
        let baseline = match self.settings.policy {
            VersionPolicy::LeastCostAtTarget => {
                return self.select_least_cost(request, target, candidates, rng);
            }
            VersionPolicy::AlwaysBest => {
                singles().max_by(|a, b| a.quality.mean.total_cmp(&b.quality.mean))
            }
            VersionPolicy::AlwaysCheapest => singles().min_by(|a, b| a.cost.total_cmp(&b.cost)),
            VersionPolicy::FixedShares => {
                let count = singles().count();
                singles().nth(rng.random_range(0..count.max(1)))
            }
        };
        baseline.map(|candidate| VersionChoice {
            arm: candidate.arm.clone(),
            reason: ChoiceReason::Baseline,
        })
    }

    fn select_least_cost(
        &self,
        request: &ParsedRequest,
        target: f64,
        candidates: &[&ArmCandidate],
        rng: &mut impl Rng,
    ) -> Option<VersionChoice> {
        let best = candidates
            .iter()
            .find(|candidate| candidate.quality.lower >= target);
        let Some(best) = best else {
            let nearest = candidates
                .iter()
                .max_by(|a, b| a.quality.lower.total_cmp(&b.quality.lower))?;
            return Some(VersionChoice {
                arm: nearest.arm.clone(),
                reason: ChoiceReason::BestBelowTarget,
            });
        };
        if let Some(candidate) = self.select_exploration(request, target, best, candidates, rng) {
            return Some(VersionChoice {
                arm: candidate.arm.clone(),
                reason: ChoiceReason::Explored,
            });
        }
        Some(VersionChoice {
            arm: best.arm.clone(),
            reason: ChoiceReason::CheapestAtTarget,
        })
    }
    /// A way that may reach the target for less, for a bounded share of requests. Sessions are left
    /// out: they would stay with what was only tried. On their behalf single versions are tried
    /// that cost less than the best single one, even where a cascade costs less still.
    fn select_exploration<'a>(
        &self,
        request: &ParsedRequest,
        target: f64,
        best: &ArmCandidate,
        candidates: &[&'a ArmCandidate],
        rng: &mut impl Rng,
    ) -> Option<&'a ArmCandidate> {
        let sample = rng.random_range(0.0..1.0);
        if request.session.is_some() || sample >= self.settings.explore_share {
            return None;
        }
        let is_optimistic = sample < self.settings.optimistic_explore_share;
        let is_single = |candidate: &ArmCandidate| matches!(candidate.arm, RouteArm::Single(_));
        let best_single = candidates
            .iter()
            .find(|candidate| is_single(candidate) && candidate.quality.lower >= target)
            .map_or(f64::INFINITY, |candidate| candidate.cost);
        let limit = |candidate: &ArmCandidate| {
            if is_single(candidate) {
                best_single
            } else {
                best.cost
            }
        };
        // What is known well gains little from one more rating.
        let gain = |candidate: &ArmCandidate| {
            let saving = limit(candidate).min(best.cost * 10.0) - candidate.cost;
            saving * (candidate.quality.upper - target) / candidate.quality.weight
        };
        candidates
            .iter()
            .filter(|candidate| {
                candidate.quality.lower < target && candidate.quality.upper >= target
            })
            .filter(|candidate| candidate.cost < limit(candidate))
            .filter(|candidate| is_optimistic || candidate.quality.mean >= target)
            .max_by(|a, b| gain(a).total_cmp(&gain(b)))
            .copied()
    }
}

fn matches_model(arm: &RouteArm, model: Option<&str>) -> bool {
    model.is_none_or(|model| arm.versions().all(|version| version.model() == model))
}

/// Moves a choice to the other side of a roll-out according to its share. One session, or one
/// request where there is no session, always falls on the same side of a given share.
fn apply_rollout(
    choice: VersionChoice,
    request: &ParsedRequest,
    plan: &PlanView<'_>,
    rng: &mut impl Rng,
) -> VersionChoice {
    let RouteArm::Single(version) = &choice.arm else {
        return choice;
    };
    let Some((id, rule)) = rollout_of(version, plan) else {
        return choice;
    };
    let sample = match &request.session {
        Some(session) => unit_hash(&format!("{id}/{session}")),
        None => rng.random_range(0.0..1.0),
    };
    let assigned = if sample < plan.rollout_share(id) {
        &rule.to
    } else {
        &rule.from
    };
    let is_allowed = plan.is_allowed(&request.workspace, assigned) && plan.is_open_to_new(assigned);
    if !is_allowed {
        return choice;
    }
    VersionChoice {
        arm: RouteArm::Single(assigned.clone()),
        reason: ChoiceReason::Rollout(id.clone()),
    }
}

fn rollout_of<'a>(
    version: &VersionId,
    plan: &PlanView<'a>,
) -> Option<(&'a RolloutId, &'a RolloutRule)> {
    let rollouts = &plan.plan().declaration.rollouts;
    rollouts
        .iter()
        .find(|(_, rule)| rule.from == *version || rule.to == *version)
}

fn unit_hash(text: &str) -> f64 {
    key_hash(text.as_bytes()) as f64 / u64::MAX as f64
}
