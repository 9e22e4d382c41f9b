//! State that routing decisions are based on: routes, endpoints and roll-outs from the keepers'
//! updates, and this entry's own measurements.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::admission::{ClassRank, PriorityClass};
use chestnutloft_core::routing::{
    AnswerErrors, ArmCount, ArmKey, CapacityLedger, EndpointHash, EndpointNotice, EndpointPhase,
    EndpointProcess, EndpointRateLimiter, EndpointRest, EntryDemand, EventGapReport,
    EventGapTracker, HealthSettings, IdleGap, LeavingEndpoints, ModelOrderSettings, ModelSupport,
    PaceReadings, PlacementSettings, PoolHealth, PrefillProfile, PrefillTimeEstimator,
    PrefixDirectory, QueueDelayEstimator, ReceivedSums, RolloutStage, RolloutState, RoomShare,
    RouteDeclaration, RouteTable, RoutingRevision, RoutingUpdate, SegmentAdmission,
    SegmentKnowledge, ServiceRetryBudget, ServiceRetrySettings, SessionVersions, SlowStartControl,
    SpeedMeans, StatedLimits, TerminationHistory, WarmupCause, endpoint_hash,
};
use chestnutloft_core::time::TimePoint;

use super::capacity::PaceNews;
use super::model_coverage::ServiceModel;
use super::settings::{CapacitySettings, ForwardSettings, SharedLimits};

/// Share of the key withdrawal time for which an entry accepts keys without a new confirmation by
/// the keepers; the rest covers the time that an accepted call takes to reach its endpoint.
const MAX_AGE_SHARE: f64 = 0.93;
/// Age from which a reported load is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// State of one endpoint as this entry sees it.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    /// Hash of the endpoint's id.
    pub(super) hash: EndpointHash,
    /// Latest announcement of the endpoint.
    pub(super) notice: EndpointNotice,
    /// Until when the endpoint counts as cold, which limits the rate of new calls to it.
    pub(super) cold_until: TimePoint,
    /// Attempts of this entry that have not ended.
    pub(super) in_flight: usize,
    /// Latest load report of the endpoint.
    pub(super) report: Option<LoadReport>,
    /// Models that the endpoint announces, and calls that its address has rejected as misdirected.
    pub(super) models: ModelSupport,
    /// The endpoint has said that it leaves.
    pub(super) is_leaving: bool,
    /// Time for which the endpoint has asked for no calls.
    pub(super) rest: EndpointRest,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    pub(super) received_at: TimePoint,
    /// Calls that the endpoint runs and queues, for all entries.
    pub(super) load: f64,
    /// This entry's attempts in flight when the report was received.
    pub(super) own_in_flight: f64,
}

impl EndpointState {
    /// Estimated number of calls that the endpoint runs and queues: this entry's attempts in flight
    /// plus the other entries' calls from the latest report, which are weighted down to zero as
    /// the report ages to [`MAX_REPORT_AGE`].
    pub(super) fn load(&self, now: TimePoint) -> f64 {
        let own = self.in_flight as f64;
        let Some(report) = self.report else {
            return own;
        };
        let age_share = now.since(report.received_at).as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
        let peer_load = (report.load - report.own_in_flight).max(0.0) * (1.0 - age_share).max(0.0);
        own + peer_load
    }
}

/// State that routing decisions are based on.
pub struct EntryState {
    pub(super) name: Arc<str>,
    pub(super) domain: Arc<str>,
    pub(super) limits: SharedLimits,
    pub(super) capacity: CapacitySettings,
    /// Calls and tokens at endpoints, over all entries.
    pub(super) ledger: CapacityLedger,
    /// Part of the free room that this entry may take.
    pub(super) room_share: RoomShare,
    /// Calls of managed services that wait at this entry.
    pub(super) waiting_calls: usize,
    /// Demand of the other entries for managed services.
    pub(super) peer_demand: EntryDemand,
    /// Sums of the other entries as the aggregator has sent them.
    pub(super) received_sums: ReceivedSums,
    /// How long work takes at endpoints at this moment.
    pub(super) paces: PaceReadings,
    /// How long work usually takes at endpoints, against the pool.
    pub(super) speeds: SpeedMeans,
    /// Time to process prompts at managed services.
    pub(super) prefill_profile: PrefillProfile,
    /// Endpoints that have prompt prefixes cached.
    pub(super) prefixes: PrefixDirectory,
    /// Readings and comparisons that the other entries have not been told yet.
    pub(super) pace_news: PaceNews,
    /// Services whose endpoints have reported their pace.
    pub(super) paced_services: BTreeSet<Arc<str>>,
    pub(super) placement: PlacementSettings,
    pub(super) model_order_settings: ModelOrderSettings,
    /// Models that routes list and no endpoint of their service announces.
    pub(super) unserved_models: BTreeSet<ServiceModel>,
    /// Services with endpoints that announce only some of the models that routes list.
    pub(super) partial_services: BTreeSet<Arc<str>>,
    /// Until when an endpoint may be known to have rejected a model.
    pub(super) rejections_until: Option<TimePoint>,
    pub(super) queue_delays: QueueDelayEstimator,
    pub(super) prefill_work: PrefillTimeEstimator,
    /// Time between events in streams of models larger than the smallest, at this entry.
    pub(super) large_model_event_gap: EventGapTracker,
    /// The same where the endpoints are idle.
    pub(super) idle_event_gap: IdleGap,
    /// Time between these events at the peer entries, as they last reported it.
    pub(super) peer_event_gap: EventGapReport,
    /// Chance of wrong answers by route and model.
    pub(super) answer_errors: AnswerErrors,
    declaration: RouteDeclaration,
    pub(super) table: Arc<RouteTable>,
    /// Index of the latest change of the routing state that has been applied.
    index: u64,
    pub(super) endpoints: HashMap<Arc<str>, EndpointState>,
    pub(super) evacuated: BTreeSet<Arc<str>>,
    pub(super) rollouts: HashMap<Arc<str>, RolloutState>,
    /// When this entry learned of the roll-out of each service.
    pub(super) rollouts_known_at: HashMap<Arc<str>, TimePoint>,
    /// Names of the known entries, including this one.
    pub entries: Vec<Arc<str>>,
    /// When the latest update from the leading keeper was requested.
    confirmed_at: Option<TimePoint>,
    pub(super) sessions: SessionVersions,
    /// Failure rates and ejections of endpoints.
    pub health: PoolHealth,
    pub(super) rate_limiter: EndpointRateLimiter,
    pub(super) retry_budget: ServiceRetryBudget,
    /// Endpoints that warm up.
    pub(super) slow_start: SlowStartControl,
    /// Outcomes of attempts by service, version and route.
    pub(super) arms: HashMap<ArmKey, ArmCount>,
    /// Whether `arms` has changed since it was last reported.
    pub(super) has_new_arm_counts: bool,
    /// Call rates that endpoints name for all entries together.
    pub(super) stated_limits: StatedLimits,
    /// Endpoints that have told this entry or a peer that they leave.
    pub(super) leaving: LeavingEndpoints,
    /// Prompt segments that make endpoints fail.
    pub segments: SegmentKnowledge,
    /// Endpoints that recently ended without having said that they leave.
    pub(super) terminations: TerminationHistory,
}

impl EntryState {
    /// Creates a state without routes and endpoints.
    pub fn new(settings: &ForwardSettings) -> Self {
        let limits = &settings.limits;
        let name: Arc<str> = Arc::from(settings.name.as_str());
        let retry_settings = ServiceRetrySettings {
            ratio: limits.repeat_ratio,
            slack: limits.repeat_slack,
            window: limits.repeat_window,
            ..ServiceRetrySettings::default()
        };
        Self {
            name: Arc::clone(&name),
            domain: Arc::from(settings.domain.as_str()),
            limits: limits.clone(),
            capacity: settings.capacity.clone(),
            ledger: CapacityLedger::default(),
            room_share: RoomShare::new(&settings.name),
            waiting_calls: 0,
            peer_demand: EntryDemand::default(),
            received_sums: ReceivedSums::default(),
            paces: PaceReadings::default(),
            speeds: SpeedMeans::default(),
            prefill_profile: PrefillProfile::default(),
            prefixes: PrefixDirectory::default(),
            pace_news: PaceNews::default(),
            paced_services: BTreeSet::new(),
            placement: settings.placement.clone(),
            model_order_settings: settings.model_order.clone(),
            unserved_models: BTreeSet::new(),
            partial_services: BTreeSet::new(),
            rejections_until: None,
            queue_delays: QueueDelayEstimator::new(settings.pressure.clone()),
            prefill_work: PrefillTimeEstimator::default(),
            large_model_event_gap: EventGapTracker::default(),
            idle_event_gap: IdleGap::default(),
            peer_event_gap: EventGapReport::default(),
            answer_errors: AnswerErrors::default(),
            declaration: RouteDeclaration::default(),
            table: Arc::default(),
            index: 0,
            endpoints: HashMap::new(),
            evacuated: BTreeSet::new(),
            rollouts: HashMap::new(),
            rollouts_known_at: HashMap::new(),
            entries: vec![name],
            confirmed_at: None,
            sessions: SessionVersions::default(),
            health: PoolHealth::new(HealthSettings::default()),
            rate_limiter: EndpointRateLimiter::default(),
            retry_budget: ServiceRetryBudget::new(retry_settings),
            slow_start: SlowStartControl::default(),
            arms: HashMap::new(),
            has_new_arm_counts: false,
            stated_limits: StatedLimits::default(),
            leaving: LeavingEndpoints::default(),
            segments: SegmentKnowledge::default(),
            terminations: TerminationHistory::default(),
        }
    }

    /// Routes, services and keys in force at this entry.
    pub fn table(&self) -> Arc<RouteTable> {
        Arc::clone(&self.table)
    }

    /// The declaration in force at this entry.
    pub fn declaration(&self) -> &RouteDeclaration {
        &self.declaration
    }

    /// Revision of the routing state at this entry.
    pub fn revision(&self) -> RoutingRevision {
        RoutingRevision {
            index: self.index,
            declaration: self.declaration.number,
        }
    }

    /// Whether the state was confirmed recently enough to accept keys by it. A key withdrawn since
    /// the last confirmation is accepted for as long as this is true.
    pub fn is_current(&self, now: TimePoint) -> bool {
        let max_age = self.limits.key_withdrawal.mul_f64(MAX_AGE_SHARE);
        self.confirmed_at.is_some_and(|at| now.since(at) < max_age)
    }

    /// When the keepers last confirmed the state.
    pub fn confirmed_at(&self) -> Option<TimePoint> {
        self.confirmed_at
    }

    /// Applies an update that was requested at `requested_at`. An update older than the current
    /// state is ignored, so that an entry never returns to an earlier state.
    pub fn apply(&mut self, now: TimePoint, requested_at: TimePoint, update: RoutingUpdate) {
        if update.index < self.index {
            spdlog::warn!(
                "watch: ignoring update to index {}: this entry is already at index {}.",
                update.index,
                self.index
            );
            return;
        }
        self.index = update.index;
        let changes_models = update.declaration.is_some()
            || update.evacuated.is_some()
            || !update.endpoints.is_empty();
        if let Some(declaration) = update.declaration {
            Arc::unwrap_or_clone(declaration).apply(&mut self.declaration);
            self.table = Arc::new(RouteTable::new(&self.declaration));
            let routes = self.declaration.routes.iter();
            self.answer_errors
                .retain_routes(routes.map(|route| &*route.name));
            spdlog::info!(
                "routes: declaration {} applied with {} routes.",
                self.declaration.number,
                self.declaration.routes.len()
            );
        }
        for change in update.endpoints {
            let cold_until = now + Duration::from_millis(change.cold_left_ms);
            let cause = self.warmup_cause(now, &change);
            let id = Arc::clone(&change.endpoint.notice.id);
            self.record_unannounced_end(now, &change.endpoint.notice);
            self.apply_endpoint(now, change.endpoint.notice, cold_until);
            if let Some(cause) = cause {
                self.begin_warmup(now, &id, cause, now);
            }
        }
        if let Some(evacuated) = update.evacuated {
            self.apply_evacuated(now, evacuated);
        }
        if let Some(rollouts) = update.rollouts {
            self.apply_rollouts(now, rollouts);
        }
        if let Some(blocks) = update.blocked_segments {
            spdlog::info!("segments: blocked prompt segments are now {blocks:x?}.");
            self.segments.set_blocked(blocks);
        }
        if changes_models {
            self.refresh_models();
        }
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Adds, updates or removes an endpoint. One that has deregistered is kept until its last
    /// attempt has ended; one with a new start time or address loses what was recorded about the
    /// previous process.
    fn apply_endpoint(&mut self, now: TimePoint, notice: EndpointNotice, cold_until: TimePoint) {
        let known = self.endpoints.get_mut(&notice.id);
        if notice.phase == EndpointPhase::Gone {
            if known.is_some_and(|known| known.in_flight == 0) {
                self.endpoints.remove(&notice.id);
                self.health.forget(&notice.id);
                self.queue_delays.forget(&notice.id);
                self.rate_limiter.forget(&notice.id);
                self.slow_start.forget(endpoint_hash(&notice.id));
            } else if let Some(known) = self.endpoints.get_mut(&notice.id) {
                known.notice = notice;
            }
            return;
        }
        let process = EndpointProcess::new(&notice.id, notice.born_ms);
        let is_leaving = self.leaving.contains(process);
        if let Some(known) = known {
            let is_same_process =
                known.notice.born_ms == notice.born_ms && known.notice.address == notice.address;
            if !is_same_process {
                self.health.forget(&notice.id);
                self.prefixes.forget(endpoint_hash(&notice.id));
                known.report = None;
                known.models = ModelSupport::default();
                known.is_leaving = is_leaving;
                known.rest = EndpointRest::default();
            }
            known.models.announce(now, notice.models.as_deref());
            known.notice = notice;
            known.cold_until = cold_until;
        } else {
            let mut models = ModelSupport::default();
            models.announce(now, notice.models.as_deref());
            let endpoint = EndpointState {
                hash: endpoint_hash(&notice.id),
                notice,
                cold_until,
                in_flight: 0,
                report: None,
                models,
                is_leaving,
                rest: EndpointRest::default(),
            };
            let id = Arc::clone(&endpoint.notice.id);
            self.endpoints.insert(id, endpoint);
        }
    }

    /// Replaces the set of evacuated failure domains. Endpoints of a domain that is back in use may
    /// have become cold meanwhile and count as cold.
    fn apply_evacuated(&mut self, now: TimePoint, evacuated: Vec<Arc<str>>) {
        let evacuated: BTreeSet<Arc<str>> = evacuated.into_iter().collect();
        let returned: Vec<_> = self.evacuated.difference(&evacuated).cloned().collect();
        let mut returned_ids = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            if returned.contains(&endpoint.notice.domain)
                && let Some(service) = self.table.service(&endpoint.notice.service)
            {
                let cold_until = now + Duration::from_millis(service.cold_ms);
                endpoint.cold_until = endpoint.cold_until.max(cold_until);
                returned_ids.push(Arc::clone(&endpoint.notice.id));
            }
        }
        for id in returned_ids {
            self.begin_warmup(now, &id, WarmupCause::DomainReturned, now);
        }
        spdlog::info!("domains: evacuated failure domains are now {evacuated:?}.");
        self.evacuated = evacuated;
    }

    fn apply_rollouts(&mut self, now: TimePoint, rollouts: Vec<RolloutState>) {
        for rollout in rollouts {
            let service = Arc::clone(&rollout.order.service);
            let known = self.rollouts.get(&service);
            let is_new = known.is_none_or(|known| {
                let is_trial = rollout.stage == RolloutStage::Trial;
                known.order != rollout.order || is_trial && known.changed_at < rollout.changed_at
            });
            if known.is_some_and(|known| *known == rollout) {
                continue;
            }
            spdlog::info!(
                "rollout: service {service} to version {} is now in stage {:?}.",
                rollout.order.target,
                rollout.stage
            );
            if is_new {
                let is_repeat =
                    known.is_some_and(|known| known.order.target == rollout.order.target);
                if is_repeat {
                    let is_target = |key: &ArmKey| {
                        key.service == service && key.version == rollout.order.target
                    };
                    self.arms.retain(|key, _| !is_target(key));
                    self.has_new_arm_counts = true;
                }
                self.rollouts_known_at.insert(Arc::clone(&service), now);
            }
            if is_new || rollout.stage.is_final() {
                let is_other_on_trial = self.rollouts.values().any(|other| {
                    other.order.service != service && other.stage == RolloutStage::Trial
                });
                self.sessions.reset(&service, is_other_on_trial);
            }
            self.rollouts.insert(service, rollout);
        }
    }

    /// Whether a call with `segments` may be sent; see [`SegmentKnowledge::admit`].
    pub fn admit_segments(&mut self, segments: &[u64]) -> SegmentAdmission {
        self.segments.admit(segments, &self.name, &self.entries)
    }

    /// Whether the capacity of `service` is shared among callers by urgency and fair share: its
    /// endpoints run models, and the settings ask for it or they report their pace. Calls of plain
    /// services end sooner than entries can tell each other of them.
    pub fn is_capacity_managed(&self, service: &str) -> bool {
        let rule = self.table.service(service);
        self.is_placed_by_time(service) && rule.is_some_and(|rule| rule.engine.is_some())
    }

    /// Rank of `class` among those of `service`, where its capacity is managed. Elsewhere all calls
    /// are alike.
    pub fn class_rank(&self, service: &str, class: PriorityClass) -> ClassRank {
        if self.is_capacity_managed(service) {
            self.table.class_rank(service, class)
        } else {
            ClassRank::MOST_URGENT
        }
    }

    /// Whether the capacity of any service is managed.
    pub(super) fn manages_capacity(&self) -> bool {
        let mut services = self.declaration.services.iter();
        services.any(|service| self.is_capacity_managed(&service.name))
    }

    /// Whether the endpoints of `service` are chosen by expected time.
    pub fn is_placed_by_time(&self, service: &str) -> bool {
        self.capacity.is_ordered || self.paced_services.contains(service)
    }

    /// Number of known endpoints that have not deregistered.
    pub fn endpoint_count(&self) -> usize {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| endpoint.notice.phase != EndpointPhase::Gone)
            .count()
    }

    /// Number of endpoints that have told this entry or a peer that they leave.
    pub fn leaving_count(&self) -> usize {
        let endpoints = self.endpoints.values();
        endpoints.filter(|endpoint| endpoint.is_leaving).count()
    }

    /// Whether the entry has a declaration that is recent enough to serve by.
    pub fn is_ready(&self, now: TimePoint) -> bool {
        self.declaration.number > 0 && self.is_current(now)
    }

    /// Counts a call to `service`, which adds to the service's retry budget.
    pub fn record_call(&mut self, now: TimePoint, service: &Arc<str>) {
        self.retry_budget.record_call(now, service);
    }

    /// Whether the retry budget of `service` allows another attempt. Takes nothing from it.
    pub fn can_retry(&mut self, now: TimePoint, service: &Arc<str>) -> bool {
        self.retry_budget
            .is_available(now, service, self.entries.len())
    }

    /// Takes one attempt from the retry budget of `service`; false if there is none left.
    pub fn take_retry(&mut self, now: TimePoint, service: &Arc<str>) -> bool {
        self.retry_budget.try_take(now, service, self.entries.len())
    }
}
