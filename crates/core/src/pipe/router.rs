//! The state that the filters of one entry share.

use std::collections::HashMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;

use super::admit::{AdmitSettings, AdmitState};
use super::choose_endpoint::{
    EndpointChoice, EndpointContext, EndpointQuery, EndpointSettings, NoEndpoint,
};
use super::choose_version::{VersionChoice, VersionChooser, VersionSettings};
use super::dispatch::{AttemptFailure, AttemptLog, NextStep};
use super::intake::{RequestTicket, TicketSettings};
use super::queue::{QueueSettings, WaitQueue, WaitTicket};
use super::refusal::Refusal;
use super::usage::UsageTable;
use crate::ids::{DomainId, EndpointId, ServiceId, VersionId};
use crate::plan::{PlanState, PlanView};
use crate::state::{
    CacheEvent, CreditSettings, EjectionSettings, EndpointAnnouncement, EndpointRecord,
    EndpointRegistry, MergeOutcome, OutlierDetector, PoolKey, PrefixIndex, PrefixSettings,
    QualityTable, RegistrySettings, RetryBudget, RetrySettings,
};
use crate::time::TimePoint;

/// Endpoints of a pool whose slots are asked for at once.
const DEMAND_SAMPLE: usize = 16;
/// Requests after which slots of cold endpoints are asked for ahead of need.
const WARM_UP_INTERVAL: usize = 8;

/// Share of other entries' requests that follow the same choice before a report shows them.
const UNSEEN_SHARE: f64 = 0.3;

/// Settings of all filters.
#[derive(Clone, Debug, Default)]
pub struct RouterSettings {
    /// Intake.
    pub ticket: TicketSettings,
    /// Admission.
    pub admit: AdmitSettings,
    /// Queue.
    pub queue: QueueSettings,
    /// Choice of versions.
    pub version: VersionSettings,
    /// Choice of endpoints.
    pub endpoint: EndpointSettings,
    /// Retries.
    pub retry: RetrySettings,
    /// Ejection.
    pub eject: EjectionSettings,
    /// Registry.
    pub registry: RegistrySettings,
    /// Prefix index.
    pub prefix: PrefixSettings,
    /// Slot credits.
    pub credit: CreditSettings,
    /// Noticing endpoints that turn cold.
    pub cold: ColdSettings,
}

/// When an endpoint counts as having turned cold without saying so.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdSettings {
    /// First-token time as a multiple of the endpoint's mean that counts as slow.
    pub slow_factor: f64,
    /// Slow answers in a row that count as cold.
    pub slow_streak: u32,
    /// First-token time of a healthy answer of a cold endpoint at most.
    pub healthy_first_token: Duration,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self {
            slow_factor: 6.0,
            slow_streak: 3,
            healthy_first_token: Duration::from_millis(1_500),
        }
    }
}

/// What was seen of one attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteObservation {
    /// Time to the first token, if one came.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub whole: Duration,
    /// How it failed, if it did.
    pub failure: Option<AttemptFailure>,
}

/// Everything that the filters of one entry decide on.
#[derive(Debug)]
pub struct RouterState {
    /// Settings.
    pub settings: RouterSettings,
    /// Plan in force here.
    pub plan: PlanState,
    /// Endpoints.
    pub registry: EndpointRegistry,
    /// Ratings.
    pub quality: QualityTable,
    /// Admission.
    pub admit: AdmitState,
    /// Waiting requests, by the pool that they wait for.
    queues: HashMap<PoolKey, WaitQueue>,
    /// Own use of endpoints.
    pub usages: UsageTable,
    /// Ejected endpoints.
    pub ejections: OutlierDetector,
    /// Prompt prefixes.
    pub prefixes: PrefixIndex,
    /// Choice of versions.
    pub chooser: VersionChooser,
    /// Own failure domain.
    pub domain: Option<DomainId>,
    /// Live entries, this one among them.
    pub live_entries: usize,
    budgets: HashMap<PoolKey, RetryBudget>,
    turn: usize,
    rng: Pcg64,
}

impl RouterState {
    /// A router that knows nothing yet.
    pub fn new(settings: RouterSettings, domain: Option<DomainId>, seed: u64) -> Self {
        Self {
            plan: PlanState::default(),
            registry: EndpointRegistry::new(settings.registry.clone()),
            quality: QualityTable::default(),
            admit: AdmitState::new(settings.admit.clone()),
            queues: HashMap::new(),
            usages: UsageTable::default(),
            ejections: OutlierDetector::new(settings.eject.clone()),
            prefixes: PrefixIndex::new(settings.prefix.clone()),
            chooser: VersionChooser::new(settings.version.clone()),
            domain,
            live_entries: 1,
            budgets: HashMap::new(),
            turn: 0,
            rng: Pcg64::seed_from_u64(seed),
            settings,
        }
    }

    /// The plan in force at Unix time `wall_now`.
    pub fn view(&self, wall_now: TimePoint) -> PlanView<'_> {
        PlanView::new(&self.plan, wall_now)
    }

    /// Takes an announcement from an endpoint itself.
    pub fn announce(&mut self, now: TimePoint, announcement: EndpointAnnouncement) -> MergeOutcome {
        let id = announcement.endpoint.clone();
        let is_cold = announcement.load.is_cold;
        let outcome = self.registry.announce(now, announcement);
        self.after_merge(now, &id, outcome, is_cold);
        outcome
    }

    /// Takes a record from another entry.
    pub fn merge(&mut self, now: TimePoint, record: EndpointRecord, age: Duration) -> MergeOutcome {
        let id = record.announcement.endpoint.clone();
        let outcome = self.registry.merge(now, record, age);
        self.after_merge(now, &id, outcome, false);
        outcome
    }

    fn after_merge(
        &mut self,
        now: TimePoint,
        id: &EndpointId,
        outcome: MergeOutcome,
        is_cold: bool,
    ) {
        if outcome == MergeOutcome::Stale {
            return;
        }
        if outcome == MergeOutcome::Restarted {
            self.ejections.forget(id);
            self.prefixes.forget(id);
        }
        let usage = self.usages.entry(id);
        usage.since_report = 0;
        if is_cold && usage.wallet.is_warm() {
            self.registry.mark_cold(now, id);
        }
        let Some(record) = self.registry.get(id) else {
            return;
        };
        let life = (record.announcement.incarnation, record.cold_epoch);
        self.usages.entry(id).wallet.advance_to(life);
    }

    /// Takes a cache event.
    pub fn take_cache_event(&mut self, event: &CacheEvent) -> bool {
        self.registry.get(&event.endpoint).is_some() && self.prefixes.apply_event(event)
    }

    /// Forgets endpoints that have been silent for long.
    pub fn sweep(&mut self, now: TimePoint) -> Vec<EndpointId> {
        let gone = self.registry.remove_expired(now);
        for id in &gone {
            self.ejections.forget(id);
            self.prefixes.forget(id);
            self.usages.forget(id);
        }
        gone
    }

    /// Admits a request.
    ///
    /// # Errors
    /// [`Refusal`] when a limit of its workspace is reached.
    pub fn admit(
        &mut self,
        now: TimePoint,
        wall_now: TimePoint,
        ticket: &RequestTicket,
    ) -> Result<(), Refusal> {
        let view = PlanView::new(&self.plan, wall_now);
        self.admit.admit(now, ticket, &view, self.live_entries)
    }

    /// Chooses how to answer a request that no session binds.
    ///
    /// # Errors
    /// [`Refusal`] when the workspace has no version in service.
    pub fn choose_version(
        &mut self,
        now: TimePoint,
        wall_now: TimePoint,
        ticket: &RequestTicket,
    ) -> Result<VersionChoice, Refusal> {
        let view = PlanView::new(&self.plan, wall_now);
        let registry = &self.registry;
        let has_pool = |version: &VersionId| {
            let pool = PoolKey::Version(version.clone());
            registry
                .available_in(now, &pool)
                .any(|record| view.is_domain_available(&record.announcement.domain))
        };
        self.chooser
            .choose(now, ticket, &view, &self.quality, &has_pool, &mut self.rng)
    }

    /// The ways to answer `ticket` that are weighed at present, for operators.
    pub fn describe_offers(&self, ticket: &RequestTicket) -> Vec<String> {
        let offers = self.chooser.known_offers(ticket);
        offers
            .iter()
            .map(|offer| {
                let quality = &offer.quality;
                format!(
                    "{:?}: cost {:.0}, quality {:.3} ({:.3} to {:.3})",
                    offer.arm, offer.cost, quality.mean, quality.lower, quality.upper
                )
            })
            .collect()
    }

    /// Chooses an endpoint of `pool` and counts the request as started there.
    ///
    /// # Errors
    /// [`NoEndpoint`] when none can take the request now.
    pub fn start_attempt(
        &mut self,
        now: TimePoint,
        wall_now: TimePoint,
        pool: &PoolKey,
        input_tokens: u64,
        blocks: &[u64],
        log: &mut AttemptLog,
    ) -> Result<EndpointChoice, NoEndpoint> {
        self.turn += 1;
        let hits = self.prefixes.hits(blocks);
        let context = EndpointContext {
            registry: &self.registry,
            usages: &self.usages,
            ejections: &self.ejections,
            plan: PlanView::new(&self.plan, wall_now),
            settings: &self.settings.endpoint,
            own_domain: self.domain.as_ref(),
            unseen: 1.0 + UNSEEN_SHARE * (self.live_entries.max(1) - 1) as f64,
        };
        let query = EndpointQuery {
            pool,
            hits: &hits,
            input_tokens,
            excluded: log.tried(),
            turn: self.turn,
        };
        let choice = match context.choose(now, &query, &mut self.rng) {
            Ok(choice) => choice,
            Err(reason) => {
                if reason == NoEndpoint::AllCold {
                    self.note_demand(now, pool);
                }
                return Err(reason);
            }
        };
        if self.turn.is_multiple_of(WARM_UP_INTERVAL) {
            self.note_demand(now, pool);
        }
        self.begin(now, &choice, blocks);
        if log.tried().is_empty() {
            let retry = &self.settings.retry;
            self.budgets
                .entry(pool.clone())
                .or_insert_with(|| RetryBudget::full(retry))
                .record_request(retry);
        }
        log.start(&choice.endpoint);
        Ok(choice)
    }

    fn begin(&mut self, now: TimePoint, choice: &EndpointChoice, blocks: &[u64]) {
        let usage = self.usages.entry(&choice.endpoint);
        usage.in_flight += 1;
        usage.since_report += 1;
        usage.wallet.acquire(now);
        self.prefixes.record_prompt(&choice.endpoint, blocks);
    }

    /// Notes that slots of the pool's cold endpoints are in demand.
    fn note_demand(&mut self, now: TimePoint, pool: &PoolKey) {
        let members = self.registry.pool(pool);
        let drawn: Vec<EndpointId> = members
            .choose_multiple(&mut self.rng, DEMAND_SAMPLE)
            .filter(|id| self.registry.available(now, id).is_some())
            .cloned()
            .collect();
        for id in drawn {
            let usage = self.usages.entry(&id);
            if !usage.wallet.has_free_slot(now) {
                usage.wallet.record_refused();
            }
        }
    }

    /// Notes the end of an attempt.
    pub fn finish_attempt(
        &mut self,
        now: TimePoint,
        pool: &PoolKey,
        choice: &EndpointChoice,
        seen: RouteObservation,
    ) {
        let cold = self.settings.cold.clone();
        let is_healthy = seen.failure.is_none()
            && seen.first_token.unwrap_or(seen.whole) <= cold.healthy_first_token;
        let usage = self.usages.entry(&choice.endpoint);
        usage.in_flight = usage.in_flight.saturating_sub(1);
        usage.since_report -= 1;
        usage.wallet.release(choice.life, is_healthy);
        let mean = usage.first_token.millis();
        let first_ms = seen.first_token.map(|span| span.as_secs_f64() * 1_000.0);
        let is_slow = match (first_ms, mean) {
            (Some(first), Some(mean)) => first > mean * cold.slow_factor && first > 50.0,
            _ => false,
        };
        if is_slow {
            usage.slow_streak += 1;
        } else {
            usage.slow_streak = 0;
            seen.first_token
                .into_iter()
                .for_each(|span| usage.first_token.add(span));
            usage.whole_answer.add(seen.whole);
        }
        if usage.slow_streak >= cold.slow_streak {
            usage.slow_streak = 0;
            self.turn_cold(now, &choice.endpoint);
        }
        let is_failed = seen.failure.is_some_and(|f| f != AttemptFailure::Refused);
        let peers = self.registry.pool(pool).len();
        self.ejections
            .observe(now, &choice.endpoint, is_failed || is_slow, peers);
    }

    /// An endpoint counts as cold again within its life.
    pub fn turn_cold(&mut self, now: TimePoint, endpoint: &EndpointId) {
        self.registry.mark_cold(now, endpoint);
        if let Some(record) = self.registry.get(endpoint) {
            let life = (record.announcement.incarnation, record.cold_epoch);
            self.usages.entry(endpoint).wallet.advance_to(life);
        }
    }

    /// Decides what follows a failed attempt.
    pub fn next_step(
        &mut self,
        now: TimePoint,
        pool: &PoolKey,
        log: &mut AttemptLog,
        failure: AttemptFailure,
        ticket: &RequestTicket,
    ) -> NextStep {
        let retry = &self.settings.retry;
        let budget = self
            .budgets
            .entry(pool.clone())
            .or_insert_with(|| RetryBudget::full(retry));
        log.fail(now, failure, ticket, budget, retry, &mut self.rng)
    }

    /// Requests that wait for `pool`.
    pub fn queue(&mut self, pool: &PoolKey) -> &mut WaitQueue {
        let settings = &self.settings.queue;
        self.queues
            .entry(pool.clone())
            .or_insert_with(|| WaitQueue::new(settings.clone()))
    }

    /// Takes the next request that waits for `pool`.
    pub fn pop_waiting(&mut self, now: TimePoint, pool: &PoolKey) -> Option<WaitTicket> {
        let workspaces = &self.plan.declaration.workspaces;
        let queue = self.queues.get_mut(pool)?;
        queue.pop(now, |id| workspaces.get(id).map_or(1.0, |rule| rule.weight))
    }

    /// Pools for which requests wait.
    pub fn waiting_pools(&self) -> Vec<PoolKey> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(WaitQueue::len).sum()
    }

    /// Pool that serves `version`, or `service` where there is none.
    pub fn pool_for(version: Option<&VersionId>, service: Option<&ServiceId>) -> Option<PoolKey> {
        match (version, service) {
            (Some(version), _) => Some(PoolKey::Version(version.clone())),
            (None, Some(service)) => Some(PoolKey::Service(service.clone())),
            (None, None) => None,
        }
    }
}
