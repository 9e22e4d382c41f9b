//! Third stage: selects the arm (a single version or a cascade of two) with the least expected
//! cost at the required quality.

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
use crate::state::{QualityEstimate, QualityKey, QualitySettings, QualityTable, RouteArm};
use crate::time::TimePoint;

/// Version selection policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionPolicy {
    /// Cheapest arm whose lower quality bound reaches the target.
    #[default]
    LeastCostAtTarget,
    /// Baseline: version with the highest mean quality.
    AlwaysBest,
    /// Baseline: version with the lowest cost.
    AlwaysCheapest,
    /// Baseline: all allowed versions in equal shares.
    FixedShares,
}

/// Settings of version selection.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionSettings {
    /// Version selection policy.
    pub policy: VersionPolicy,
    /// Settings of quality estimates.
    pub quality: QualitySettings,
    /// Quality target of requests for which none is declared.
    pub default_target: f64,
    /// Share of requests without a session that may explore an arm that costs less. The mean of its
    /// quality estimate must reach the target.
    pub explore_share: f64,
    /// Part of `explore_share` for which it is enough that the upper bound of the estimate reaches
    /// the target.
    pub optimistic_explore_share: f64,
    /// Assumed number of generated tokens per answer, for the expected cost.
    pub typical_output_tokens: u64,
    /// Assumed share of cascade answers that need the second step, before any measurement.
    pub prior_escalation_rate: f64,
    /// Number of versions, cheapest first, that are considered as the first step of a cascade.
    pub max_first_steps: usize,
    /// How long the candidates for a workspace and kind are cached.
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

/// Why an arm was selected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ChoiceReason {
    /// Cheapest arm that reaches the target.
    CheapestAtTarget,
    /// No arm reaches the target; this one comes closest.
    BestBelowTarget,
    /// Explored, because it may reach the target at a lower cost.
    Explored,
    /// Assigned by a roll-out.
    Rollout(RolloutId),
    /// Requested by the caller.
    Wished,
    /// The session is bound to it.
    Bound,
    /// Selected by a baseline policy.
    Baseline,
}

/// The selected arm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionChoice {
    /// Version or cascade that answers.
    pub arm: RouteArm,
    /// Why it was selected.
    pub reason: ChoiceReason,
}

/// An arm that can answer, with its expected cost and quality.
#[derive(Clone, Debug, PartialEq)]
pub struct ArmCandidate {
    /// Version or cascade that answers.
    pub arm: RouteArm,
    /// Expected cost of a request, in millionths of the currency unit.
    pub cost: f64,
    /// Estimated quality.
    pub quality: QualityEstimate,
    /// Share of new sessions that roll-outs leave to it; it is not a candidate at 0.
    pub share: f64,
}

#[derive(Clone, Debug)]
struct CandidateTable {
    candidates: Vec<ArmCandidate>,
    target: f64,
    revision: u64,
    built_at: TimePoint,
}

/// Selects arms, and keeps the candidates and escalation rates that this is based on.
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

/// Weight of the prior of an escalation rate, in cascade answers.
const ESCALATION_PRIOR_WEIGHT: f64 = 20.0;
/// Minimum cost of a cascade's second step as a multiple of its first. Between versions of similar
/// cost, a cascade would be no more than a second opinion.
pub const MIN_CASCADE_COST_RATIO: f64 = 1.5;
/// Assumed quality of an unrated cascade, relative to its second step.
const CASCADE_PRIOR_FACTOR: f64 = 0.97;

impl VersionSelector {
    /// Creates a selector without any measurements.
    pub fn new(settings: VersionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Settings of version selection.
    pub fn settings(&self) -> &VersionSettings {
        &self.settings
    }

    /// Records whether a cascade with `cheap` as its first step needed the second step.
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

    /// Selects an arm for a request whose session is not bound to a version yet.
    ///
    /// `has_endpoint` returns whether any endpoint can currently serve a version.
    ///
    /// # Errors
    /// [`Refusal`] if the workspace has no active version or the requested version is withdrawn.
    pub fn choose(
        &mut self,
        now: TimePoint,
        request: &ParsedRequest,
        plan: &PlanView<'_>,
        quality_table: &QualityTable,
        has_endpoint: &dyn Fn(&VersionId) -> bool,
        rng: &mut impl Rng,
    ) -> Result<VersionChoice, Refusal> {
        if let Some(requested_version) = &request.requested_version {
            return Self::choose_requested(requested_version, plan);
        }
        self.refresh(now, request, plan, quality_table, has_endpoint);
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
        quality_table: &QualityTable,
        has_endpoint: &dyn Fn(&VersionId) -> bool,
    ) {
        let key = (request.workspace.clone(), request.kind.clone());
        let is_fresh = self.tables.get(&key).is_some_and(|table| {
            table.revision == plan.plan().revision
                && now.since(table.built_at) < self.settings.candidate_ttl
        });
        if is_fresh {
            return;
        }
        let mut candidates = self.candidates(request, plan, quality_table, has_endpoint);
        if candidates.is_empty() {
            // No endpoint is available at the moment. The request can still wait for one.
            candidates = self.candidates(request, plan, quality_table, &|_| true);
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

    /// Candidates for requests like `request`, as of the last selection.
    pub fn cached_candidates(&self, request: &ParsedRequest) -> &[ArmCandidate] {
        let key = (request.workspace.clone(), request.kind.clone());
        self.tables.get(&key).map_or(&[], |table| &table.candidates)
    }

    /// Returns all arms that are open to new sessions, cheapest first.
    pub fn candidates(
        &self,
        request: &ParsedRequest,
        plan: &PlanView<'_>,
        quality_table: &QualityTable,
        has_endpoint: &dyn Fn(&VersionId) -> bool,
    ) -> Vec<ArmCandidate> {
        let Some(rule) = plan.workspace(&request.workspace) else {
            return Vec::new();
        };
        let mut singles: Vec<ArmCandidate> = rule
            .allowed
            .iter()
            .filter(|version| plan.accepts_new_sessions(version) && has_endpoint(version))
            .filter_map(|version| self.single_candidate(request, version, plan, quality_table))
            .filter(|candidate| candidate.share > 0.0)
            .collect();
        singles.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let cascades = self.cascade_candidates(request, &singles, plan, quality_table);
        singles.extend(cascades);
        singles.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        singles
    }

    fn estimate(
        &self,
        request: &ParsedRequest,
        arm: &RouteArm,
        declared: f64,
        quality_table: &QualityTable,
    ) -> QualityEstimate {
        let key = QualityKey {
            workspace: Some(request.workspace.clone()),
            kind: request.kind.clone(),
            arm: arm.clone(),
        };
        quality_table.estimate(&key, declared, &self.settings.quality)
    }

    fn single_candidate(
        &self,
        request: &ParsedRequest,
        version: &VersionId,
        plan: &PlanView<'_>,
        quality_table: &QualityTable,
    ) -> Option<ArmCandidate> {
        let rule = plan.version(version)?;
        let arm = RouteArm::Single(version.clone());
        let output = self.settings.typical_output_tokens;
        Some(ArmCandidate {
            cost: cost_of(rule, request.input_tokens, output) as f64,
            quality: self.estimate(request, &arm, rule.prior_quality, quality_table),
            share: plan.new_session_share(version),
            arm,
        })
    }

    fn cascade_candidates(
        &self,
        request: &ParsedRequest,
        singles: &[ArmCandidate],
        plan: &PlanView<'_>,
        quality_table: &QualityTable,
    ) -> Vec<ArmCandidate> {
        let mut cascades = Vec::new();
        // A session is bound to a single version, but a cascade may answer with either of two. A
        // request that may run only once cannot have two versions run it.
        if request.session.is_some() || !request.is_idempotent {
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
                let candidate = self.cascade_candidate(request, cheap, strong, plan, quality_table);
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
        quality_table: &QualityTable,
    ) -> Option<ArmCandidate> {
        let declared = plan.version(strong.arm.version())?.prior_quality;
        let escalation = self.escalation_rate(cheap.arm.version());
        let arm = RouteArm::Cascade {
            cheap: cheap.arm.version().clone(),
            strong: strong.arm.version().clone(),
        };
        Some(ArmCandidate {
            cost: cheap.cost + escalation * strong.cost,
            quality: self.estimate(
                request,
                &arm,
                declared * CASCADE_PRIOR_FACTOR,
                quality_table,
            ),
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
                .filter(|candidate| matches!(candidate.arm, RouteArm::Single(_)))
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

    /// Selects an arm that may reach the target at a lower cost, for a bounded share of requests.
    ///
    /// Requests with a session are excluded, because the whole session would stay on the explored
    /// version. Since sessions cannot use cascades, single versions that cost less than the best
    /// single one are explored on their behalf, even if a cascade costs less still.
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
        // An arm with many ratings gains little from another one.
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

/// Replaces a version that takes part in a roll-out by the old or the new version, according to
/// the roll-out's share. A session always gets the same version for a given share; a request
/// without a session is assigned at random.
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
    let is_allowed =
        plan.is_allowed(&request.workspace, assigned) && plan.accepts_new_sessions(assigned);
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

/// Hashes `text` to a number between 0 and 1.
fn unit_hash(text: &str) -> f64 {
    key_hash(text.as_bytes()) as f64 / u64::MAX as f64
}
