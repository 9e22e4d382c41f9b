//! State of an entry that the pipeline stages share.

use std::collections::HashMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64;

use super::admit::{AdmissionControl, AdmissionSettings};
use super::choose_endpoint::{
    EndpointChoice, EndpointContext, EndpointQuery, EndpointSettings, NoEndpoint,
};
use super::choose_version::{VersionChoice, VersionSelector, VersionSettings};
use super::dispatch::{AttemptFailure, AttemptHistory, RetryDecision};
use super::intake::{ParsedRequest, RequestPriority, RequestSettings};
use super::refusal::Refusal;
use super::usage::UsageTable;
use crate::admission::{
    PriorityClass, QueueError, QueueSettings, QueuedCall, StartWindow, WaitQueue, WaiterId,
};
use crate::ids::{DomainId, EndpointId, ServiceId, VersionId, WorkspaceId};
use crate::plan::{PlanState, PlanView};
use crate::state::{
    CacheEvent, CreditSettings, EjectionSettings, EndpointAnnouncement, EndpointRecord,
    EndpointRegistry, MergeOutcome, OutlierDetector, PoolKey, PrefixIndex, PrefixSettings,
    QualityTable, RegistrySettings, RetryBudget, RetrySettings,
};
use crate::time::TimePoint;

/// Maximum number of endpoints of a pool for which slot credits are requested at once.
const CREDIT_SAMPLE_SIZE: usize = 16;
/// Interval, in requests, at which slot credits for cold endpoints are requested in advance.
const CREDIT_REQUEST_INTERVAL: usize = 8;

/// Assumed fraction of the other entries that send a request to an endpoint for each request of
/// this entry there, between two load reports of the endpoint.
const UNREPORTED_PEER_FRACTION: f64 = 0.3;

/// Share of the time until its deadline that a request may be expected to spend in the queue. The
/// rest is needed for the answer.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Work of a request in the queue. All count the same on this request path.
const REQUEST_WORK_MS: f64 = 1.0;

/// Settings of all pipeline stages.
#[derive(Clone, Debug, Default)]
pub struct RouterSettings {
    /// Parsing and validation of requests.
    pub request: RequestSettings,
    /// Admission.
    pub admission: AdmissionSettings,
    /// Queue.
    pub queue: QueueSettings,
    /// Version selection.
    pub version: VersionSettings,
    /// Endpoint selection.
    pub endpoint: EndpointSettings,
    /// Retries.
    pub retry: RetrySettings,
    /// Ejection.
    pub eject: EjectionSettings,
    /// Endpoint registry.
    pub registry: RegistrySettings,
    /// Prefix index.
    pub prefix: PrefixSettings,
    /// Slot credits.
    pub credit: CreditSettings,
    /// Detection of endpoints that have turned cold.
    pub cold_detection: ColdDetectionSettings,
}

/// When an endpoint is considered to have turned cold without announcing it.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdDetectionSettings {
    /// Time to first token, as a multiple of the endpoint's mean, from which an answer is slow.
    pub slow_factor: f64,
    /// Number of consecutive slow answers from which the endpoint is considered cold.
    pub slow_streak: u32,
    /// Maximum time to first token of an answer that counts as healthy while an endpoint warms up.
    pub healthy_first_token: Duration,
}

impl Default for ColdDetectionSettings {
    fn default() -> Self {
        Self {
            slow_factor: 6.0,
            slow_streak: 3,
            healthy_first_token: Duration::from_millis(1_500),
        }
    }
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptObservation {
    /// Time to first token, if there was one.
    pub first_token: Option<Duration>,
    /// Time to the end of the attempt.
    pub total: Duration,
    /// How the attempt failed, if it did.
    pub failure: Option<AttemptFailure>,
}

/// State of an entry on which the pipeline stages base their decisions.
#[derive(Debug)]
pub struct RouterState {
    /// Settings.
    pub settings: RouterSettings,
    /// Plan that this entry has.
    pub plan: PlanState,
    /// Known endpoints.
    pub registry: EndpointRegistry,
    /// Quality estimates from ratings.
    pub quality: QualityTable,
    /// Admission control.
    pub admission: AdmissionControl,
    /// Requests waiting for an endpoint, by pool.
    queues: HashMap<PoolKey, WaitQueue>,
    /// This entry's use of endpoints.
    pub usages: UsageTable,
    /// Outlier detection, which ejects endpoints.
    pub outlier_detector: OutlierDetector,
    /// Prompt prefixes that endpoints have cached.
    pub prefixes: PrefixIndex,
    /// Version selection.
    pub version_selector: VersionSelector,
    /// Failure domain of this entry.
    pub domain: Option<DomainId>,
    /// Number of live entries, including this one.
    pub live_entries: usize,
    budgets: HashMap<PoolKey, RetryBudget>,
    request_sequence: usize,
    rng: Pcg64,
}

impl RouterState {
    /// Creates the state of an entry without a plan or endpoints. `seed` initializes its random
    /// number generator.
    pub fn new(settings: RouterSettings, domain: Option<DomainId>, seed: u64) -> Self {
        Self {
            plan: PlanState::default(),
            registry: EndpointRegistry::new(settings.registry.clone()),
            quality: QualityTable::default(),
            admission: AdmissionControl::new(settings.admission.clone()),
            queues: HashMap::new(),
            usages: UsageTable::default(),
            outlier_detector: OutlierDetector::new(settings.eject.clone()),
            prefixes: PrefixIndex::new(settings.prefix.clone()),
            version_selector: VersionSelector::new(settings.version.clone()),
            domain,
            live_entries: 1,
            budgets: HashMap::new(),
            request_sequence: 0,
            rng: Pcg64::seed_from_u64(seed),
            settings,
        }
    }

    /// The plan in force at Unix time `wall_now`.
    pub fn view(&self, wall_now: TimePoint) -> PlanView<'_> {
        PlanView::new(&self.plan, wall_now)
    }

    /// Merges an announcement received from an endpoint.
    pub fn announce(&mut self, now: TimePoint, announcement: EndpointAnnouncement) -> MergeOutcome {
        let id = announcement.endpoint.clone();
        let is_cold = announcement.load.is_cold;
        let outcome = self.registry.announce(now, announcement);
        self.after_merge(now, &id, outcome, is_cold);
        outcome
    }

    /// Merges a record received from another entry. `age` is how old the record is.
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
            self.outlier_detector.forget(id);
            self.prefixes.forget(id);
        }
        let usage = self.usages.entry(id);
        usage.net_started_since_report = 0;
        if is_cold && usage.credits.is_warm() {
            self.registry.mark_cold(now, id);
        }
        let Some(record) = self.registry.get(id) else {
            return;
        };
        let epoch = (record.announcement.incarnation, record.cold_epoch);
        self.usages.entry(id).credits.advance_to(epoch);
    }

    /// Applies a cache event of a known endpoint. Returns whether the endpoint is known and the event
    /// was new.
    pub fn apply_cache_event(&mut self, event: &CacheEvent) -> bool {
        self.registry.get(&event.endpoint).is_some() && self.prefixes.apply_event(event)
    }

    /// Removes endpoints that have stopped announcing themselves, and returns them.
    pub fn sweep(&mut self, now: TimePoint) -> Vec<EndpointId> {
        let expired = self.registry.remove_expired(now);
        for id in &expired {
            self.outlier_detector.forget(id);
            self.prefixes.forget(id);
            self.usages.forget(id);
        }
        expired
    }

    /// Admits a request.
    ///
    /// # Errors
    /// [`Refusal`] if a limit of its workspace is reached.
    pub fn admit(
        &mut self,
        now: TimePoint,
        wall_now: TimePoint,
        request: &ParsedRequest,
    ) -> Result<(), Refusal> {
        let view = PlanView::new(&self.plan, wall_now);
        self.admission.admit(now, request, &view, self.live_entries)
    }

    /// Selects an arm for a request whose session is not bound to a version yet.
    ///
    /// # Errors
    /// [`Refusal`] if the workspace has no active version or the requested version is withdrawn.
    pub fn choose_version(
        &mut self,
        now: TimePoint,
        wall_now: TimePoint,
        request: &ParsedRequest,
    ) -> Result<VersionChoice, Refusal> {
        let view = PlanView::new(&self.plan, wall_now);
        let registry = &self.registry;
        let has_endpoint = |version: &VersionId| {
            let pool = PoolKey::Version(version.clone());
            registry
                .available_in(now, &pool)
                .any(|record| view.is_domain_available(&record.announcement.domain))
        };
        self.version_selector.choose(
            now,
            request,
            &view,
            &self.quality,
            &has_endpoint,
            &mut self.rng,
        )
    }

    /// Describes the arms that are candidates for requests like `request`, for operators.
    pub fn describe_candidates(&self, request: &ParsedRequest) -> Vec<String> {
        let candidates = self.version_selector.cached_candidates(request);
        candidates
            .iter()
            .map(|candidate| {
                let quality = &candidate.quality;
                format!(
                    "{:?}: cost {:.0}, quality {:.3} ({:.3} to {:.3})",
                    candidate.arm, candidate.cost, quality.mean, quality.lower, quality.upper
                )
            })
            .collect()
    }

    /// Selects an endpoint of `pool` and records the request as started there.
    ///
    /// # Errors
    /// [`NoEndpoint`] if no endpoint can currently take the request.
    pub fn start_attempt(
        &mut self,
        now: TimePoint,
        wall_now: TimePoint,
        pool: &PoolKey,
        input_tokens: u64,
        blocks: &[u64],
        history: &mut AttemptHistory,
    ) -> Result<EndpointChoice, NoEndpoint> {
        self.request_sequence += 1;
        let hits = self.prefixes.hits(blocks);
        let context = EndpointContext {
            registry: &self.registry,
            usages: &self.usages,
            outlier_detector: &self.outlier_detector,
            plan: PlanView::new(&self.plan, wall_now),
            settings: &self.settings.endpoint,
            own_domain: self.domain.as_ref(),
            unreported_factor: 1.0
                + UNREPORTED_PEER_FRACTION * (self.live_entries.max(1) - 1) as f64,
        };
        let query = EndpointQuery {
            pool,
            hits: &hits,
            input_tokens,
            excluded: history.tried_endpoints(),
            sequence: self.request_sequence,
        };
        let choice = match context.choose(now, &query, &mut self.rng) {
            Ok(choice) => choice,
            Err(reason) => {
                if reason == NoEndpoint::AllCold {
                    self.request_credits(now, pool);
                }
                return Err(reason);
            }
        };
        if self
            .request_sequence
            .is_multiple_of(CREDIT_REQUEST_INTERVAL)
        {
            self.request_credits(now, pool);
        }
        let is_first = history.tried_endpoints().is_empty();
        history
            .start(&choice.endpoint)
            .ok_or(NoEndpoint::MayNotRunAgain)?;
        self.begin(now, &choice, blocks);
        if is_first {
            let retry = &self.settings.retry;
            self.budgets
                .entry(pool.clone())
                .or_insert_with(|| RetryBudget::full(retry))
                .record_request(retry);
        }
        Ok(choice)
    }

    fn begin(&mut self, now: TimePoint, choice: &EndpointChoice, blocks: &[u64]) {
        let usage = self.usages.entry(&choice.endpoint);
        usage.in_flight += 1;
        usage.net_started_since_report += 1;
        usage.credits.acquire(now);
        self.prefixes.record_prompt(&choice.endpoint, blocks);
    }

    /// Requests slot credits for cold endpoints of the pool.
    fn request_credits(&mut self, now: TimePoint, pool: &PoolKey) {
        let members = self.registry.pool(pool);
        let sampled: Vec<EndpointId> = members
            .choose_multiple(&mut self.rng, CREDIT_SAMPLE_SIZE)
            .filter(|id| self.registry.available(now, id).is_some())
            .cloned()
            .collect();
        for id in sampled {
            let usage = self.usages.entry(&id);
            if !usage.credits.has_free_slot(now) {
                usage.credits.record_refused();
            }
        }
    }

    /// Records the end of an attempt.
    pub fn finish_attempt(
        &mut self,
        now: TimePoint,
        pool: &PoolKey,
        choice: &EndpointChoice,
        observed: AttemptObservation,
    ) {
        let cold_detection = self.settings.cold_detection.clone();
        let is_healthy = observed.failure.is_none()
            && observed.first_token.unwrap_or(observed.total) <= cold_detection.healthy_first_token;
        let usage = self.usages.entry(&choice.endpoint);
        usage.in_flight = usage.in_flight.saturating_sub(1);
        usage.net_started_since_report -= 1;
        usage.credits.release(choice.epoch, is_healthy);
        let mean = usage.first_token.mean_ms();
        let first_token_ms = observed
            .first_token
            .map(|span| span.as_secs_f64() * 1_000.0);
        let is_slow = match (first_token_ms, mean) {
            (Some(first_token_ms), Some(mean)) => {
                first_token_ms > mean * cold_detection.slow_factor && first_token_ms > 50.0
            }
            _ => false,
        };
        if is_slow {
            usage.slow_streak += 1;
        } else {
            usage.slow_streak = 0;
            observed
                .first_token
                .into_iter()
                .for_each(|span| usage.first_token.add(span));
            usage.whole_answer.add(observed.total);
        }
        if usage.slow_streak >= cold_detection.slow_streak {
            usage.slow_streak = 0;
            self.mark_cold(now, &choice.endpoint);
        }
        let has_failed = observed
            .failure
            .is_some_and(|f| f != AttemptFailure::Refused);
        let pool_size = self.registry.pool(pool).len();
        self.outlier_detector
            .observe(now, &choice.endpoint, has_failed || is_slow, pool_size);
    }

    /// Marks an endpoint as cold again within its incarnation.
    pub fn mark_cold(&mut self, now: TimePoint, endpoint: &EndpointId) {
        self.registry.mark_cold(now, endpoint);
        if let Some(record) = self.registry.get(endpoint) {
            let epoch = (record.announcement.incarnation, record.cold_epoch);
            self.usages.entry(endpoint).credits.advance_to(epoch);
        }
    }

    /// Decides whether to retry after a failed attempt.
    pub fn decide_retry(
        &mut self,
        now: TimePoint,
        pool: &PoolKey,
        history: &mut AttemptHistory,
        failure: AttemptFailure,
        request: &ParsedRequest,
    ) -> RetryDecision {
        let retry = &self.settings.retry;
        let budget = self
            .budgets
            .entry(pool.clone())
            .or_insert_with(|| RetryBudget::full(retry));
        history.record_failure(now, failure, request, budget, retry, &mut self.rng)
    }

    /// Queue of the requests that wait for `pool`.
    pub fn queue(&mut self, pool: &PoolKey) -> &mut WaitQueue {
        let settings = &self.settings.queue;
        self.queues
            .entry(pool.clone())
            .or_insert_with(|| WaitQueue::new(settings.clone()))
    }

    /// Queues a request that waits for `pool`.
    ///
    /// # Errors
    /// [`QueueError`] if the queue is full or the expected wait leaves too little of the time until
    /// `deadline` for the answer.
    pub fn join_waiting(
        &mut self,
        now: TimePoint,
        pool: &PoolKey,
        workspace: &WorkspaceId,
        priority: RequestPriority,
        deadline: TimePoint,
    ) -> Result<WaiterId, QueueError> {
        let rule = self.plan.declaration.workspaces.get(workspace);
        let weight = rule.map_or(1.0, |rule| rule.weight);
        let call = QueuedCall {
            workspace: workspace.as_str(),
            weight,
            class: PriorityClass {
                workspace: 0,
                route: priority as u32,
            },
            work_ms: REQUEST_WORK_MS,
            window: StartWindow {
                useful_until: deadline,
                late_until: deadline,
            },
        };
        let queue = self.queue(pool);
        let wait = queue.forecast(now, &call).wait;
        if wait >= deadline.since(now).mul_f64(MAX_WAIT_SHARE) {
            return Err(QueueError::DeadlineUnreachable(wait));
        }
        queue.join(now, &call)
    }

    /// Removes and returns the next request that waits for `pool`.
    pub fn pop_waiting(&mut self, now: TimePoint, pool: &PoolKey) -> Option<WaiterId> {
        self.queues.get_mut(pool)?.pop(now)
    }

    /// Pools for which requests are waiting.
    pub fn waiting_pools(&self) -> Vec<PoolKey> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Number of waiting requests, over all pools.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(WaitQueue::len).sum()
    }

    /// Pool that serves `version`, or `service` if no version is given.
    pub fn pool_for(version: Option<&VersionId>, service: Option<&ServiceId>) -> Option<PoolKey> {
        match (version, service) {
            (Some(version), _) => Some(PoolKey::Version(version.clone())),
            (None, Some(service)) => Some(PoolKey::Service(service.clone())),
            (None, None) => None,
        }
    }
}
