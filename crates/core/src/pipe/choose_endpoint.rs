//! Fourth filter: the endpoint, by expected time to the first token.

use std::collections::HashMap;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::usage::UsageTable;
use crate::ids::{DomainId, EndpointId};
use crate::plan::PlanView;
use crate::state::{EndpointRecord, EndpointRegistry, OutlierDetector, PoolKey};
use crate::time::TimePoint;

/// How endpoints are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointPolicy {
    /// Least expected time to the first token.
    #[default]
    LeastExpectedWait,
    /// Baseline: one after another.
    RoundRobin,
    /// Baseline: fewest requests of this entry.
    LeastInFlight,
    /// Baseline: the less loaded of two drawn at random.
    TwoChoices,
}

/// Settings of the choice of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSettings {
    /// How endpoints are chosen.
    pub policy: EndpointPolicy,
    /// Endpoints that are compared at most, beside those that hold the prompt's prefix.
    pub sample: usize,
    /// Load, as a multiple of the slots, up to which an endpoint gets more requests.
    pub load_limit: f64,
    /// Time to read one prompt token without cache, in milliseconds.
    pub read_token_ms: f64,
    /// First-token time of an idle endpoint, before any was measured, in milliseconds.
    pub base_ms: f64,
    /// Added time to another failure domain of the region, in milliseconds.
    pub other_domain_ms: f64,
    /// Added time to another region, in milliseconds.
    pub other_region_ms: f64,
    /// Share of requests that go to a cold endpoint with a slot, so that it warms up before it is
    /// needed.
    pub warm_up_share: f64,
    /// Factor on the expected time of a cold endpoint.
    pub cold_factor: f64,
    /// Share by which times are varied, so that entries do not all choose alike.
    pub jitter: f64,
    /// Prompt tokens in one block of the prefix index.
    pub block_tokens: f64,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            policy: EndpointPolicy::default(),
            sample: 24,
            load_limit: 1.25,
            read_token_ms: 0.12,
            base_ms: 40.0,
            other_domain_ms: 1.0,
            other_region_ms: 20.0,
            warm_up_share: 0.1,
            cold_factor: 3.0,
            jitter: 0.03,
            block_tokens: 64.0,
        }
    }
}

/// The chosen endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChoice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its life and cold epoch at the time of the choice.
    pub life: (u64, u64),
    /// `IP:port` of its HTTP server.
    pub address: String,
    /// Expected time to the first token, in milliseconds.
    pub expected_ms: f64,
    /// Leading blocks of the prompt that it is thought to hold.
    pub hit_blocks: u32,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEndpoint {
    /// None is available.
    NoneAvailable,
    /// All are loaded up to their limits.
    AllBusy,
    /// All with room are cold and no slot is lent to this entry.
    AllCold,
}

/// What a choice looks at.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointContext<'a> {
    pub registry: &'a EndpointRegistry,
    pub usages: &'a UsageTable,
    pub ejections: &'a OutlierDetector,
    pub plan: PlanView<'a>,
    pub settings: &'a EndpointSettings,
    pub own_domain: Option<&'a DomainId>,
    /// Requests of all entries for each that this entry starts, as far as they are not reported.
    pub unseen: f64,
}

/// What is looked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointQuery<'a> {
    pub pool: &'a PoolKey,
    pub hits: &'a HashMap<EndpointId, u32>,
    pub input_tokens: u64,
    pub excluded: &'a [EndpointId],
    pub turn: usize,
}

enum Candidacy {
    /// Takes the request.
    Open(OpenCandidate),
    /// Is loaded up to its limit.
    Busy,
    /// Is cold, and no slot of it is free here.
    Cold,
}

#[derive(Clone, Copy)]
struct OpenCandidate {
    expected_ms: f64,
    hits: u32,
    is_cold: bool,
}

impl EndpointContext<'_> {
    /// Chooses an endpoint.
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
        // An ejected endpoint is still better than none.
        let healthy: Vec<&EndpointRecord> = candidates
            .iter()
            .copied()
            .filter(|r| !self.ejections.is_ejected(now, &r.announcement.endpoint))
            .collect();
        let pool = if healthy.is_empty() {
            &candidates
        } else {
            &healthy
        };
        match self.settings.policy {
            EndpointPolicy::LeastExpectedWait => self.choose_least_wait(now, query, pool, rng),
            _ => self.choose_baseline(now, query, pool, rng),
        }
    }

    fn is_member(&self, id: &EndpointId, pool: &PoolKey) -> bool {
        let announcement = self.registry.get(id).map(|record| &record.announcement);
        announcement.is_some_and(|a| match pool {
            PoolKey::Version(version) => a.versions.contains(version),
            PoolKey::Service(service) => a.service == *service,
        })
    }

    fn is_open(&self, record: &EndpointRecord, query: &EndpointQuery<'_>) -> bool {
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
        if members.len() <= self.settings.sample {
            return self.open_among(now, query, members.iter());
        }
        let holders = query
            .hits
            .keys()
            .filter(|id| self.is_member(id, query.pool));
        let drawn = members.choose_multiple(rng, self.settings.sample);
        let sampled = self.open_among(now, query, holders.chain(drawn));
        if sampled.is_empty() {
            return self.open_among(now, query, members.iter());
        }
        sampled
    }

    fn open_among<'b>(
        &self,
        now: TimePoint,
        query: &EndpointQuery<'_>,
        ids: impl Iterator<Item = &'b EndpointId>,
    ) -> Vec<&EndpointRecord> {
        ids.filter_map(|id| self.registry.available(now, id))
            .filter(|record| self.is_open(record, query))
            .collect()
    }

    fn choose_least_wait(
        &self,
        now: TimePoint,
        query: &EndpointQuery<'_>,
        pool: &[&EndpointRecord],
        rng: &mut impl Rng,
    ) -> Result<EndpointChoice, NoEndpoint> {
        let is_warm_up = rng.random_range(0.0..1.0) < self.settings.warm_up_share;
        let mut best: Option<(f64, OpenCandidate, &EndpointRecord)> = None;
        let mut has_cold = false;
        for record in pool {
            let candidate = match self.assess(now, query, record) {
                Candidacy::Open(candidate) => candidate,
                Candidacy::Busy => continue,
                Candidacy::Cold => {
                    has_cold = true;
                    continue;
                }
            };
            let spread = 1.0 + rng.random_range(0.0..1.0) * self.settings.jitter;
            let preference = match (candidate.is_cold, is_warm_up) {
                (true, true) => 0.0,
                (true, false) => candidate.expected_ms * self.settings.cold_factor,
                (false, _) => candidate.expected_ms * spread,
            };
            if best.is_none_or(|(least, _, _)| preference < least) {
                best = Some((preference, candidate, record));
            }
        }
        match best {
            Some((_, candidate, record)) => {
                Ok(choice_of(record, candidate.expected_ms, candidate.hits))
            }
            None if has_cold => Err(NoEndpoint::AllCold),
            None => Err(NoEndpoint::AllBusy),
        }
    }

    fn assess(
        &self,
        now: TimePoint,
        query: &EndpointQuery<'_>,
        record: &EndpointRecord,
    ) -> Candidacy {
        let announcement = &record.announcement;
        let usage = self.usages.get(&announcement.endpoint);
        let has_slot = usage.is_some_and(|u| u.wallet.has_free_slot(now));
        if !has_slot {
            return Candidacy::Cold;
        }
        let load = f64::from(usage.map_or(0, |u| u.estimated_load(record, self.unseen)));
        let slots = f64::from(announcement.slots.max(1));
        if load >= slots * self.settings.load_limit {
            return Candidacy::Busy;
        }
        let hits = query.hits.get(&announcement.endpoint).copied().unwrap_or(0);
        let base = usage
            .and_then(|u| u.first_token.millis())
            .unwrap_or(self.settings.base_ms);
        let whole = usage
            .and_then(|u| u.whole_answer.millis())
            .unwrap_or(self.settings.base_ms * 10.0);
        let saved = f64::from(hits) * self.settings.block_tokens * self.settings.read_token_ms;
        let unread = query.input_tokens as f64 * self.settings.read_token_ms;
        let read = (unread - saved).max(0.0);
        let queued = (load + 1.0 - slots).max(0.0) * whole / slots;
        let crowding = base * load / slots;
        let expected = base * 0.5 + read + crowding + queued + self.distance_ms(announcement);
        Candidacy::Open(OpenCandidate {
            expected_ms: expected,
            hits,
            is_cold: !usage.is_some_and(|u| u.wallet.is_warm()),
        })
    }

    fn distance_ms(&self, announcement: &crate::state::EndpointAnnouncement) -> f64 {
        let Some(own) = self.own_domain else {
            return 0.0;
        };
        if *own == announcement.domain {
            return 0.0;
        }
        let domains = &self.plan.plan().declaration.domains;
        let region = |domain: &DomainId| domains.get(domain).map(|rule| rule.region.as_str());
        if region(own) == region(&announcement.domain) {
            self.settings.other_domain_ms
        } else {
            self.settings.other_region_ms
        }
    }

    fn choose_baseline(
        &self,
        now: TimePoint,
        query: &EndpointQuery<'_>,
        pool: &[&EndpointRecord],
        rng: &mut impl Rng,
    ) -> Result<EndpointChoice, NoEndpoint> {
        let open: Vec<&EndpointRecord> = pool
            .iter()
            .copied()
            .filter(|r| !matches!(self.assess(now, query, r), Candidacy::Cold))
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
            EndpointPolicy::RoundRobin => open.get(query.turn % open.len().max(1)).copied(),
            EndpointPolicy::LeastInFlight => open.iter().copied().min_by_key(|r| in_flight(r)),
            _ => open
                .choose_multiple(rng, 2)
                .copied()
                .min_by_key(|r| (load(r), in_flight(r))),
        };
        let record = chosen.ok_or(NoEndpoint::AllCold)?;
        let hits = query.hits.get(&record.announcement.endpoint).copied();
        Ok(choice_of(record, 0.0, hits.unwrap_or(0)))
    }
}

fn choice_of(record: &EndpointRecord, expected_ms: f64, hit_blocks: u32) -> EndpointChoice {
    let announcement = &record.announcement;
    EndpointChoice {
        endpoint: announcement.endpoint.clone(),
        life: (announcement.incarnation, record.cold_epoch),
        address: announcement.address.clone(),
        expected_ms,
        hit_blocks,
    }
}
