//! Third filter: the way to answer, by least expected cost at the required quality.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::intake::RequestTicket;
use super::refusal::{Refusal, RefusalCode};
use super::settle::cost_of;
use crate::hash::key_hash;
use crate::ids::{KindId, RolloutId, VersionId, WorkspaceId};
use crate::plan::{PlanView, RolloutRule};
use crate::state::{QualityEstimate, QualityKey, QualitySettings, QualityTable, RouteArm};
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
    pub long_shot_share: f64,
    /// Generated tokens of an answer, for expected cost.
    pub typical_output: u64,
    /// Share of cascade answers that need the second step, before any was seen.
    pub escalation_prior: f64,
    /// Cheapest versions that are considered as first step of a cascade.
    pub cascade_width: usize,
    /// How long a table of offers is used.
    pub table_age: Duration,
}

impl Default for VersionSettings {
    fn default() -> Self {
        Self {
            policy: VersionPolicy::default(),
            quality: QualitySettings::default(),
            default_target: 0.8,
            explore_share: 0.06,
            long_shot_share: 0.01,
            typical_output: 300,
            escalation_prior: 0.35,
            cascade_width: 4,
            table_age: Duration::from_millis(250),
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
pub struct ArmOffer {
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
struct OfferTable {
    offers: Vec<ArmOffer>,
    target: f64,
    revision: u64,
    built_at: TimePoint,
}

/// Chooses how to answer.
#[derive(Clone, Debug, Default)]
pub struct VersionChooser {
    settings: VersionSettings,
    tables: HashMap<(WorkspaceId, KindId), OfferTable>,
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
pub const CASCADE_STEP: f64 = 1.5;
/// Quality of a cascade before any rating, relative to its second step.
const CASCADE_PRIOR_FACTOR: f64 = 0.97;

impl VersionChooser {
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
    pub fn note_cascade(&mut self, cheap: &VersionId, is_escalated: bool) {
        let rate = self.escalations.entry(cheap.clone()).or_default();
        rate.count = rate.count * 0.995 + 1.0;
        rate.escalated = rate.escalated * 0.995 + f64::from(u8::from(is_escalated));
    }

    fn escalation_rate(&self, cheap: &VersionId) -> f64 {
        let rate = self.escalations.get(cheap).copied().unwrap_or_default();
        let prior = self.settings.escalation_prior * ESCALATION_PRIOR_WEIGHT;
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
        ticket: &RequestTicket,
        plan: &PlanView<'_>,
        book: &QualityTable,
        has_pool: &dyn Fn(&VersionId) -> bool,
        rng: &mut impl Rng,
    ) -> Result<VersionChoice, Refusal> {
        if let Some(wish) = &ticket.wish {
            return Self::choose_wish(wish, plan);
        }
        self.refresh(now, ticket, plan, book, has_pool);
        let key = (ticket.workspace.clone(), ticket.kind.clone());
        let table = &self.tables[&key];
        let offers: Vec<&ArmOffer> = table
            .offers
            .iter()
            .filter(|offer| fits_model(&offer.arm, ticket.model_wish.as_deref()))
            .collect();
        let choice = self
            .pick(ticket, table.target, &offers, rng)
            .ok_or_else(|| {
                Refusal::not_run(
                    RefusalCode::NoVersion,
                    format!("workspace {} has no version in service", ticket.workspace),
                )
            })?;
        Ok(follow_rollout(choice, ticket, plan, rng))
    }

    fn choose_wish(wish: &VersionId, plan: &PlanView<'_>) -> Result<VersionChoice, Refusal> {
        if plan.is_withdrawn(wish) {
            return Err(Refusal::not_run(
                RefusalCode::NoVersion,
                format!("version {wish} is withdrawn"),
            ));
        }
        Ok(VersionChoice {
            arm: RouteArm::Single(wish.clone()),
            reason: ChoiceReason::Wished,
        })
    }

    fn refresh(
        &mut self,
        now: TimePoint,
        ticket: &RequestTicket,
        plan: &PlanView<'_>,
        book: &QualityTable,
        has_pool: &dyn Fn(&VersionId) -> bool,
    ) {
        let key = (ticket.workspace.clone(), ticket.kind.clone());
        let is_fresh = self.tables.get(&key).is_some_and(|table| {
            table.revision == plan.plan().revision
                && now.since(table.built_at) < self.settings.table_age
        });
        if is_fresh {
            return;
        }
        let mut offers = self.offers(ticket, plan, book, has_pool);
        if offers.is_empty() {
            // No endpoint is heard just now: the request may still wait for one.
            offers = self.offers(ticket, plan, book, &|_| true);
        }
        let table = OfferTable {
            offers,
            target: plan
                .target(&ticket.workspace, &ticket.kind)
                .map_or(self.settings.default_target, |t| t.quality),
            revision: plan.plan().revision,
            built_at: now,
        };
        self.tables.insert(key, table);
    }

    /// The offers weighed for requests like `ticket`, as of the last choice.
    pub fn known_offers(&self, ticket: &RequestTicket) -> &[ArmOffer] {
        let key = (ticket.workspace.clone(), ticket.kind.clone());
        self.tables.get(&key).map_or(&[], |table| &table.offers)
    }

    /// All ways to answer that are open to new sessions, cheapest first.
    pub fn offers(
        &self,
        ticket: &RequestTicket,
        plan: &PlanView<'_>,
        book: &QualityTable,
        has_pool: &dyn Fn(&VersionId) -> bool,
    ) -> Vec<ArmOffer> {
        let Some(rule) = plan.workspace(&ticket.workspace) else {
            return Vec::new();
        };
        let mut singles: Vec<ArmOffer> = rule
            .allowed
            .iter()
            .filter(|version| plan.accepts_new_sessions(version) && has_pool(version))
            .filter_map(|version| self.offer_single(ticket, version, plan, book))
            .filter(|offer| offer.share > 0.0)
            .collect();
        singles.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let cascades = self.offer_cascades(ticket, &singles, plan, book);
        singles.extend(cascades);
        singles.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        singles
    }

    fn estimate(
        &self,
        ticket: &RequestTicket,
        arm: &RouteArm,
        declared: f64,
        book: &QualityTable,
    ) -> QualityEstimate {
        let key = QualityKey {
            workspace: Some(ticket.workspace.clone()),
            kind: ticket.kind.clone(),
            arm: arm.clone(),
        };
        book.estimate(&key, declared, &self.settings.quality)
    }

    fn offer_single(
        &self,
        ticket: &RequestTicket,
        version: &VersionId,
        plan: &PlanView<'_>,
        book: &QualityTable,
    ) -> Option<ArmOffer> {
        let rule = plan.version(version)?;
        let arm = RouteArm::Single(version.clone());
        let output = self.settings.typical_output;
        Some(ArmOffer {
            cost: cost_of(rule, ticket.input_tokens, output) as f64,
            quality: self.estimate(ticket, &arm, rule.prior_quality, book),
            share: plan.new_session_share(version),
            arm,
        })
    }

    fn offer_cascades(
        &self,
        ticket: &RequestTicket,
        singles: &[ArmOffer],
        plan: &PlanView<'_>,
        book: &QualityTable,
    ) -> Vec<ArmOffer> {
        let mut cascades = Vec::new();
        // A cascade answers in two steps, which a session's single version rules out.
        if ticket.session.is_some() {
            return cascades;
        }
        for (i, cheap) in singles.iter().enumerate().take(self.settings.cascade_width) {
            let stronger = singles[i + 1..]
                .iter()
                .filter(|s| s.cost > cheap.cost * CASCADE_STEP);
            for strong in stronger {
                let offer = self.offer_cascade(ticket, cheap, strong, plan, book);
                cascades.extend(offer);
            }
        }
        cascades
    }

    fn offer_cascade(
        &self,
        ticket: &RequestTicket,
        cheap: &ArmOffer,
        strong: &ArmOffer,
        plan: &PlanView<'_>,
        book: &QualityTable,
    ) -> Option<ArmOffer> {
        let declared = plan.version(strong.arm.version())?.prior_quality;
        let escalation = self.escalation_rate(cheap.arm.version());
        let arm = RouteArm::Cascade {
            cheap: cheap.arm.version().clone(),
            strong: strong.arm.version().clone(),
        };
        Some(ArmOffer {
            cost: cheap.cost + escalation * strong.cost,
            quality: self.estimate(ticket, &arm, declared * CASCADE_PRIOR_FACTOR, book),
            share: cheap.share.min(strong.share),
            arm,
        })
    }

    fn pick(
        &self,
        ticket: &RequestTicket,
        target: f64,
        offers: &[&ArmOffer],
        rng: &mut impl Rng,
    ) -> Option<VersionChoice> {
        let singles = || {
            offers
                .iter()
                .filter(|o| matches!(o.arm, RouteArm::Single(_)))
        };
        let baseline = match self.settings.policy {
            VersionPolicy::LeastCostAtTarget => {
                return self.pick_least_cost(ticket, target, offers, rng);
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
        baseline.map(|offer| VersionChoice {
            arm: offer.arm.clone(),
            reason: ChoiceReason::Baseline,
        })
    }

    fn pick_least_cost(
        &self,
        ticket: &RequestTicket,
        target: f64,
        offers: &[&ArmOffer],
        rng: &mut impl Rng,
    ) -> Option<VersionChoice> {
        let best = offers.iter().find(|offer| offer.quality.lower >= target);
        let Some(best) = best else {
            let nearest = offers
                .iter()
                .max_by(|a, b| a.quality.lower.total_cmp(&b.quality.lower))?;
            return Some(VersionChoice {
                arm: nearest.arm.clone(),
                reason: ChoiceReason::BestBelowTarget,
            });
        };
        if let Some(offer) = self.pick_to_explore(ticket, target, best, offers, rng) {
            return Some(VersionChoice {
                arm: offer.arm.clone(),
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
    fn pick_to_explore<'a>(
        &self,
        ticket: &RequestTicket,
        target: f64,
        best: &ArmOffer,
        offers: &[&'a ArmOffer],
        rng: &mut impl Rng,
    ) -> Option<&'a ArmOffer> {
        let point = rng.random_range(0.0..1.0);
        if ticket.session.is_some() || point >= self.settings.explore_share {
            return None;
        }
        let is_long_shot = point < self.settings.long_shot_share;
        let is_single = |offer: &ArmOffer| matches!(offer.arm, RouteArm::Single(_));
        let best_single = offers
            .iter()
            .find(|offer| is_single(offer) && offer.quality.lower >= target)
            .map_or(f64::INFINITY, |offer| offer.cost);
        let limit = |offer: &ArmOffer| {
            if is_single(offer) {
                best_single
            } else {
                best.cost
            }
        };
        // What is known well gains little from one more rating.
        let gain = |offer: &ArmOffer| {
            let saving = limit(offer).min(best.cost * 10.0) - offer.cost;
            saving * (offer.quality.upper - target) / offer.quality.weight
        };
        offers
            .iter()
            .filter(|offer| offer.quality.lower < target && offer.quality.upper >= target)
            .filter(|offer| offer.cost < limit(offer))
            .filter(|offer| is_long_shot || offer.quality.mean >= target)
            .max_by(|a, b| gain(a).total_cmp(&gain(b)))
            .copied()
    }
}

fn fits_model(arm: &RouteArm, model: Option<&str>) -> bool {
    model.is_none_or(|model| arm.versions().all(|version| version.model() == model))
}

/// Moves a choice to the other side of a roll-out according to its share. One session, or one
/// request where there is no session, always falls on the same side of a given share.
fn follow_rollout(
    choice: VersionChoice,
    ticket: &RequestTicket,
    plan: &PlanView<'_>,
    rng: &mut impl Rng,
) -> VersionChoice {
    let RouteArm::Single(version) = &choice.arm else {
        return choice;
    };
    let Some((id, rule)) = rollout_of(version, plan) else {
        return choice;
    };
    let point = match &ticket.session {
        Some(session) => unit_point(&format!("{id}/{session}")),
        None => rng.random_range(0.0..1.0),
    };
    let side = if point < plan.rollout_share(id) {
        &rule.to
    } else {
        &rule.from
    };
    let is_usable = plan.is_allowed(&ticket.workspace, side) && plan.accepts_new_sessions(side);
    if !is_usable {
        return choice;
    }
    VersionChoice {
        arm: RouteArm::Single(side.clone()),
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

fn unit_point(text: &str) -> f64 {
    key_hash(text.as_bytes()) as f64 / u64::MAX as f64
}
