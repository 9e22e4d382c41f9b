//! Fourth stage: selects the endpoint with the least expected time to the first token.

use std::collections::HashMap;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::usage::UsageTable;
use crate::ids::{DomainId, EndpointId};
use crate::plan::PlanView;
use crate::state::{EndpointRecord, EndpointRegistry, OutlierDetector, PoolKey};
use crate::time::TimePoint;

/// Load-balancing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointPolicy {
    /// Endpoint with the least expected time to the first token.
    #[default]
    LeastExpectedWait,
    /// Baseline: one endpoint after another.
    RoundRobin,
    /// Baseline: endpoint with the fewest requests of this entry in flight.
    LeastInFlight,
    /// Baseline: the less loaded of two random endpoints.
    TwoChoices,
}

/// Settings of endpoint selection.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSettings {
    /// Load-balancing policy.
    pub policy: EndpointPolicy,
    /// Maximum number of endpoints sampled for comparison, in addition to those that have cached a
    /// prefix of the prompt.
    pub sample_size: usize,
    /// Load, as a multiple of the slots, from which an endpoint gets no more requests.
    pub load_limit: f64,
    /// Time to process one uncached prompt token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Assumed time to first token of an endpoint without measurements, in milliseconds.
    pub default_first_token_ms: f64,
    /// Additional latency to another failure domain in the same region, in milliseconds.
    pub other_domain_ms: f64,
    /// Additional latency to another region, in milliseconds.
    pub other_region_ms: f64,
    /// Share of requests that go to a cold endpoint with a free slot, so that it warms up before
    /// its capacity is needed.
    pub warm_up_share: f64,
    /// Factor on the expected time of a cold endpoint.
    pub cold_factor: f64,
    /// Maximum relative random increase of expected times, so that entries do not all select the
    /// same endpoint.
    pub jitter: f64,
    /// Number of prompt tokens per block of the prefix index.
    pub tokens_per_block: f64,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            policy: EndpointPolicy::default(),
            sample_size: 24,
            load_limit: 1.25,
            prefill_ms_per_token: 0.12,
            default_first_token_ms: 40.0,
            other_domain_ms: 1.0,
            other_region_ms: 20.0,
            warm_up_share: 0.1,
            cold_factor: 3.0,
            jitter: 0.03,
            tokens_per_block: 64.0,
        }
    }
}

/// The selected endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChoice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Incarnation and cold epoch of the endpoint when it was selected. The cold epoch counts how
    /// often it has turned cold within the incarnation.
    pub epoch: (u64, u64),
    /// `IP:port` of its HTTP server.
    pub address: String,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Number of leading prompt blocks that it probably has cached.
    pub cached_blocks: u32,
}

/// Why no endpoint could be selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEndpoint {
    /// No endpoint is available.
    NoneAvailable,
    /// All available endpoints have reached their load limit.
    AllBusy,
    /// All available endpoints below their load limit are cold, and this entry holds no slot credit
    /// for them.
    AllCold,
    /// The request may have run already and may run only once.
    MayNotRunAgain,
}

/// State that a selection is based on.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointContext<'a> {
    pub registry: &'a EndpointRegistry,
    pub usages: &'a UsageTable,
    pub outlier_detector: &'a OutlierDetector,
    pub plan: PlanView<'a>,
    pub settings: &'a EndpointSettings,
    pub own_domain: Option<&'a DomainId>,
    /// Estimated number of requests that all entries start for each one that this entry starts.
    /// Used until the endpoint's next load report.
    pub unreported_factor: f64,
}

/// Request for which an endpoint is selected.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointQuery<'a> {
    pub pool: &'a PoolKey,
    pub hits: &'a HashMap<EndpointId, u32>,
    pub input_tokens: u64,
    pub excluded: &'a [EndpointId],
    pub sequence: usize,
}

enum Eligibility {
    /// Can take the request.
    Eligible(EligibleEndpoint),
    /// Has reached its load limit.
    Busy,
    /// Is cold, and this entry has no free slot credit for it.
    Cold,
}

#[derive(Clone, Copy)]
struct EligibleEndpoint {
    expected_ms: f64,
    hits: u32,
    is_cold: bool,
}

impl EndpointContext<'_> {
    /// Selects an endpoint.
    pub fn choose(
        &self,
        now: TimePoint,
        query: &EndpointQuery<'_>,
        rng: &mut impl Rng,
    ) -> Result<EndpointChoice, NoEndpoint> {
        let candidates = self.candidates(now, query, rng);
        if candidates.is_empty() {
            return Err(NoEndpoint::NoneAvailable);
        }
        // If all endpoints are ejected, ejection is ignored.
        let healthy: Vec<&EndpointRecord> = candidates
            .iter()
            .copied()
            .filter(|r| {
                !self
                    .outlier_detector
                    .is_ejected(now, &r.announcement.endpoint)
            })
            .collect();
        let pool = if healthy.is_empty() {
            &candidates
        } else {
            &healthy
        };
        match self.settings.policy {
            EndpointPolicy::LeastExpectedWait => self.select_least_wait(now, query, pool, rng),
            _ => self.select_baseline(now, query, pool, rng),
        }
    }

    fn is_member(&self, id: &EndpointId, pool: &PoolKey) -> bool {
        let announcement = self.registry.get(id).map(|record| &record.announcement);
        announcement.is_some_and(|a| match pool {
            PoolKey::Version(version) => a.versions.contains(version),
            PoolKey::Service(service) => a.service == *service,
        })
    }

    fn is_eligible(&self, record: &EndpointRecord, query: &EndpointQuery<'_>) -> bool {
        let announcement = &record.announcement;
        self.plan.is_domain_available(&announcement.domain)
            && !query.excluded.contains(&announcement.endpoint)
    }

    fn candidates(
        &self,
        now: TimePoint,
        query: &EndpointQuery<'_>,
        rng: &mut impl Rng,
    ) -> Vec<&EndpointRecord> {
        let members = self.registry.pool(query.pool);
        if members.len() <= self.settings.sample_size {
            return self.eligible_among(now, query, members.iter());
        }
        let cached_on = query
            .hits
            .keys()
            .filter(|id| self.is_member(id, query.pool));
        let sampled_ids = members.choose_multiple(rng, self.settings.sample_size);
        let sampled = self.eligible_among(now, query, cached_on.chain(sampled_ids));
        if sampled.is_empty() {
            return self.eligible_among(now, query, members.iter());
        }
        sampled
    }

    fn eligible_among<'b>(
        &self,
        now: TimePoint,
        query: &EndpointQuery<'_>,
        ids: impl Iterator<Item = &'b EndpointId>,
    ) -> Vec<&EndpointRecord> {
        ids.filter_map(|id| self.registry.available(now, id))
            .filter(|record| self.is_eligible(record, query))
            .collect()
    }

    fn select_least_wait(
        &self,
        now: TimePoint,
        query: &EndpointQuery<'_>,
        pool: &[&EndpointRecord],
        rng: &mut impl Rng,
    ) -> Result<EndpointChoice, NoEndpoint> {
        let is_warm_up = rng.random_range(0.0..1.0) < self.settings.warm_up_share;
        let mut best: Option<(f64, EligibleEndpoint, &EndpointRecord)> = None;
        let mut has_cold = false;
        for record in pool {
            let candidate = match self.evaluate(now, query, record) {
                Eligibility::Eligible(candidate) => candidate,
                Eligibility::Busy => continue,
                Eligibility::Cold => {
                    has_cold = true;
                    continue;
                }
            };
            let jitter = 1.0 + rng.random_range(0.0..1.0) * self.settings.jitter;
            let score_ms = match (candidate.is_cold, is_warm_up) {
                // Before all warm endpoints, in random order.
                (true, true) => -jitter,
                (true, false) => candidate.expected_ms * self.settings.cold_factor,
                (false, _) => candidate.expected_ms * jitter,
            };
            if best.is_none_or(|(least, _, _)| score_ms < least) {
                best = Some((score_ms, candidate, record));
            }
        }
        match best {
            Some((_, candidate, record)) => {
                Ok(choice_for(record, candidate.expected_ms, candidate.hits))
            }
            None if has_cold => Err(NoEndpoint::AllCold),
            None => Err(NoEndpoint::AllBusy),
        }
    }

    fn evaluate(
        &self,
        now: TimePoint,
        query: &EndpointQuery<'_>,
        record: &EndpointRecord,
    ) -> Eligibility {
        let announcement = &record.announcement;
        let usage = self.usages.get(&announcement.endpoint);
        let has_slot = usage.is_some_and(|u| u.credits.has_free_slot(now));
        if !has_slot {
            return Eligibility::Cold;
        }
        let load = f64::from(usage.map_or(0, |u| u.estimated_load(record, self.unreported_factor)));
        let slots = f64::from(announcement.slots.max(1));
        if load >= slots * self.settings.load_limit {
            return Eligibility::Busy;
        }
        let hits = query.hits.get(&announcement.endpoint).copied().unwrap_or(0);
        let first_token_ms = usage
            .and_then(|u| u.first_token.mean_ms())
            .unwrap_or(self.settings.default_first_token_ms);
        let answer_ms = usage
            .and_then(|u| u.whole_answer.mean_ms())
            .unwrap_or(self.settings.default_first_token_ms * 10.0);
        let cached_ms =
            f64::from(hits) * self.settings.tokens_per_block * self.settings.prefill_ms_per_token;
        let uncached_ms = query.input_tokens as f64 * self.settings.prefill_ms_per_token;
        let prefill_ms = (uncached_ms - cached_ms).max(0.0);
        let queue_ms = (load + 1.0 - slots).max(0.0) * answer_ms / slots;
        let contention_ms = first_token_ms * load / slots;
        let expected_ms = first_token_ms * 0.5
            + prefill_ms
            + contention_ms
            + queue_ms
            + self.network_latency_ms(announcement);
        Eligibility::Eligible(EligibleEndpoint {
            expected_ms,
            hits,
            is_cold: !usage.is_some_and(|u| u.credits.is_warm()),
        })
    }

    fn network_latency_ms(&self, announcement: &crate::state::EndpointAnnouncement) -> f64 {
        let Some(own_domain) = self.own_domain else {
            return 0.0;
        };
        if *own_domain == announcement.domain {
            return 0.0;
        }
        let domains = &self.plan.plan().declaration.domains;
        let region = |domain: &DomainId| domains.get(domain).map(|rule| rule.region.as_str());
        if region(own_domain) == region(&announcement.domain) {
            self.settings.other_domain_ms
        } else {
            self.settings.other_region_ms
        }
    }

    fn select_baseline(
        &self,
        now: TimePoint,
        query: &EndpointQuery<'_>,
        pool: &[&EndpointRecord],
        rng: &mut impl Rng,
    ) -> Result<EndpointChoice, NoEndpoint> {
        let eligible: Vec<&EndpointRecord> = pool
            .iter()
            .copied()
            .filter(|r| !matches!(self.evaluate(now, query, r), Eligibility::Cold))
            .collect();
        let in_flight = |record: &EndpointRecord| {
            self.usages
                .get(&record.announcement.endpoint)
                .map_or(0, |usage| usage.in_flight)
        };
        let load = |record: &EndpointRecord| {
            let load = &record.announcement.load;
            load.running + load.waiting
        };
        let chosen = match self.settings.policy {
            EndpointPolicy::RoundRobin => eligible
                .get(query.sequence % eligible.len().max(1))
                .copied(),
            EndpointPolicy::LeastInFlight => eligible.iter().copied().min_by_key(|r| in_flight(r)),
            _ => eligible
                .choose_multiple(rng, 2)
                .copied()
                .min_by_key(|r| (load(r), in_flight(r))),
        };
        let record = chosen.ok_or(NoEndpoint::AllCold)?;
        let hits = query.hits.get(&record.announcement.endpoint).copied();
        Ok(choice_for(record, 0.0, hits.unwrap_or(0)))
    }
}

fn choice_for(record: &EndpointRecord, expected_ms: f64, cached_blocks: u32) -> EndpointChoice {
    let announcement = &record.announcement;
    EndpointChoice {
        endpoint: announcement.endpoint.clone(),
        epoch: (announcement.incarnation, record.cold_epoch),
        address: announcement.address.clone(),
        expected_ms,
        cached_blocks,
    }
}
