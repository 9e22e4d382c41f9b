//! Chooses the endpoint of an attempt and measures how busy a service is.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::admission::CapacityLimits;
use chestnutloft_core::hash::key_hash;
use chestnutloft_core::routing::{
    CapacityClaim, EndpointCandidate, EndpointNotice, EndpointPhase, EndpointRateLimiter,
    ModelLane, PlacementRequest, QueueState, RolloutStage, RolloutState, SentModel, ServiceRule,
    SessionHash, VersionPreference, select_endpoint, session_hash,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::message::RolloutAge;

use super::codec::UnservableCause;
use super::state::{EndpointState, EntryState};

/// Share of a service's connection limit that all entries together use.
const CONNECTION_SHARE: f64 = 0.85;
/// Connections that each entry may open to an endpoint, however small its share of the limit.
const MIN_CONNECTIONS: usize = 2;
/// Part of the allowed trial share that is used for new sessions. The rest is a margin for random
/// variation.
const USED_TRIAL_SHARE: f64 = 0.6;
/// Time from the start of a trial until new sessions go to the target version. Until then, the
/// entries exchange their active sessions, which stay on the old version: an entry reports its own
/// with its next call to the keepers and receives those of its peers with the reply, each after at
/// most 0.4 s.
const TRIAL_DELAY: Duration = Duration::from_secs(1);

/// What the choice of an endpoint depends on.
#[derive(Clone, Debug)]
pub struct SelectionRequest<'a> {
    /// Service of the call.
    pub service: &'a ServiceRule,
    /// Hash of the session name, or of the call id for a call without a session.
    pub session: u64,
    /// Size of the prompt.
    pub prompt: PromptSize,
    /// Group of endpoints preferred for the size of the call's model.
    pub lane: ModelLane,
    /// Model that the call is sent for.
    pub sent_model: SentModel,
    /// Models that the call prefers: endpoints that run one of them are left out.
    pub passed_models: &'a [SentModel],
    /// Endpoints that the call has already been sent to.
    pub tried: &'a BTreeSet<Arc<str>>,
    /// Tokens that the answer is expected to have.
    pub output_tokens: f64,
    /// Longest pause between events that the caller accepts.
    pub max_pause: Duration,
    /// How far the call may fill endpoints.
    pub limits: CapacityLimits,
}

/// Size of a prompt, in tokens of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptSize {
    /// Hash of the model name.
    pub model_hash: u64,
    /// Hash of the prefix that other calls share, if there is one.
    pub prefix_hash: Option<u64>,
    /// Tokens of the shared prefix.
    pub prefix_tokens: f64,
    /// Tokens after the shared prefix.
    pub suffix_tokens: f64,
}

impl PromptSize {
    /// Tokens of the whole prompt.
    pub fn total_tokens(&self) -> f64 {
        self.prefix_tokens + self.suffix_tokens
    }
}

/// An endpoint chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenEndpoint {
    /// Name of the endpoint.
    pub id: Arc<str>,
    /// Start time of its process in Unix milliseconds, by its own clock.
    pub born_ms: u64,
    /// `IP:port`.
    pub address: Arc<str>,
    /// Service version that it runs.
    pub version: Arc<str>,
    /// Model that the call is sent for.
    pub model: SentModel,
    /// Expected prefill of the call at this endpoint.
    pub prefill: PrefillEstimate,
    /// Room that the call takes there; `None` where capacity is not managed.
    pub claim: Option<CapacityClaim>,
}

impl ChosenEndpoint {
    /// The endpoint of `notice`, for a call for `model`.
    pub fn new(
        notice: &EndpointNotice,
        model: SentModel,
        prefill: PrefillEstimate,
        claim: Option<CapacityClaim>,
    ) -> Self {
        Self {
            id: Arc::clone(&notice.id),
            born_ms: notice.born_ms,
            address: Arc::clone(&notice.address),
            version: Arc::clone(&notice.version),
            model,
            prefill,
            claim,
        }
    }
}

/// Expected prefill of a prompt at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillEstimate {
    /// Hash of the model name.
    pub model_hash: u64,
    /// Hash of the prefix that other calls share, if there is one.
    pub prefix_hash: Option<u64>,
    /// Tokens that the endpoint has presumably not cached.
    pub uncached_tokens: f64,
    /// Time to process these tokens, in milliseconds.
    pub work_ms: f64,
    /// Queueing time before that, in milliseconds.
    pub wait_ms: f64,
    /// Time that work takes at the endpoint now, as a multiple of the usual time.
    pub pace: f64,
}

impl Default for PrefillEstimate {
    fn default() -> Self {
        Self {
            model_hash: 0,
            prefix_hash: None,
            uncached_tokens: 0.0,
            work_ms: 0.0,
            wait_ms: 0.0,
            pace: 1.0,
        }
    }
}

impl PrefillEstimate {
    /// Expected time until the response begins.
    pub fn expected_delay(&self) -> Duration {
        Duration::from_secs_f64((self.wait_ms + self.work_ms) * self.pace / 1_000.0)
    }

    /// Time that would have been taken at the usual pace instead of `took`.
    pub fn usual_time(&self, took: Duration) -> Duration {
        took.div_f64(self.pace)
    }

    /// Whether the attempt is expected to queue.
    pub fn queue_state(&self) -> QueueState {
        if self.wait_ms < 1.0 {
            QueueState::Idle
        } else {
            QueueState::Waiting
        }
    }
}

/// Why no endpoint can take a call at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEndpoint {
    /// No endpoint accepts calls.
    NoneReady,
    /// The remaining endpoints take no further calls at present, because they are cold or have named
    /// a limit.
    AtRateLimit,
    /// This entry's share of the service's connection limit is in use.
    ConnectionsInUse,
    /// The places of all endpoints are taken.
    Full,
    /// All endpoints have asked for no calls.
    AtRest {
        /// Time until the first of them takes calls again.
        left: Duration,
    },
    /// No endpoint runs the model.
    NoModel {
        /// Time until one of those that have rejected it lately may be asked again; zero if there is
        /// none.
        left: Duration,
    },
}

impl NoEndpoint {
    /// Whether a call refuses to wait for this to change.
    pub fn ends_waiting(self) -> bool {
        matches!(self, Self::AtRest { .. } | Self::NoModel { .. })
    }

    /// The reason that a refusal states.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoneReady => "no endpoint takes new work",
            Self::AtRateLimit => "the endpoints left take no further calls at present",
            Self::ConnectionsInUse => "all connections are in use",
            Self::Full => "the places of all endpoints are taken",
            Self::AtRest { .. } => "the endpoints have asked for no calls",
            Self::NoModel { .. } => UnservableCause::NoModel.reason(),
        }
    }
}

impl EntryState {
    /// Calls that the endpoint runs and queues, as the choice of models and escalations counts them.
    pub(super) fn calls_at(
        &self,
        now: TimePoint,
        endpoint: &EndpointState,
        is_managed: bool,
    ) -> f64 {
        if is_managed {
            self.endpoint_usage(now, endpoint).calls
        } else {
            endpoint.load(now)
        }
    }

    /// Endpoints of a service that accept calls.
    pub(super) fn available_endpoints(
        &self,
        service: &str,
    ) -> impl Iterator<Item = &EndpointState> {
        self.endpoints
            .values()
            .filter(move |endpoint| *endpoint.notice.service == *service)
            .filter(|endpoint| self.accepts_calls(endpoint))
    }

    fn accepts_calls(&self, endpoint: &EndpointState) -> bool {
        endpoint.notice.phase == EndpointPhase::Ready
            && !endpoint.is_leaving
            && !self.evacuated.contains(&endpoint.notice.domain)
    }

    /// Chooses an endpoint and records which version the call's session runs on.
    ///
    /// # Errors
    /// [`NoEndpoint`] when none can take the call at present.
    pub fn choose(
        &mut self,
        now: TimePoint,
        request: &SelectionRequest<'_>,
    ) -> Result<ChosenEndpoint, NoEndpoint> {
        self.sweep_warmups(now);
        let mut outcome = None;
        let runs = |endpoint: &EndpointState| {
            let mut passed = request.passed_models.iter();
            endpoint.models.accepts(now, request.sent_model)
                && !passed.any(|model| endpoint.models.accepts(now, *model))
        };
        for group in self.version_groups(now, request.service, request.session, runs) {
            if group.is_empty() {
                continue;
            }
            let choice = self.choose_among(now, request, group);
            let is_chosen = choice.is_ok();
            outcome = Some(choice);
            if is_chosen {
                break;
            }
        }
        let outcome = outcome.unwrap_or_else(|| Err(self.unavailability(now, request)));
        if let Ok(endpoint) = &outcome {
            self.record_session(now, request, &endpoint.version);
        }
        outcome
    }

    fn choose_among(
        &self,
        now: TimePoint,
        request: &SelectionRequest<'_>,
        available: Vec<&EndpointState>,
    ) -> Result<ChosenEndpoint, NoEndpoint> {
        let rests = available.iter().map(|endpoint| endpoint.rest.left(now));
        let soonest_end = rests.map(Option::unwrap_or_default).min();
        if let Some(left) = soonest_end.filter(|left| !left.is_zero()) {
            return Err(NoEndpoint::AtRest { left });
        }
        let available = available
            .into_iter()
            .filter(|endpoint| endpoint.rest.left(now).is_none());
        let max_connections = self.connection_share(request.service);
        let connectable: Vec<&EndpointState> = available
            .filter(|endpoint| endpoint.in_flight < max_connections)
            .collect();
        if connectable.is_empty() {
            return Err(NoEndpoint::ConnectionsInUse);
        }
        let warmth = self.pool_warmth(&request.service.name);
        let with_capacity: Vec<&EndpointState> = connectable
            .into_iter()
            .filter(|endpoint| self.has_rate_capacity(now, endpoint, request.service))
            .filter(|endpoint| self.has_warmup_capacity(now, endpoint, request.service, warmth))
            .collect();
        if with_capacity.is_empty() {
            return Err(NoEndpoint::AtRateLimit);
        }
        let preferred = self.prefer_healthy_untried(now, &with_capacity, request.tried);
        if self.is_placed_by_time(&request.service.name) {
            return self.choose_by_time(now, request, &preferred);
        }
        let candidates: Vec<EndpointCandidate<'_>> = preferred
            .iter()
            .map(|endpoint| self.placement_candidate(now, endpoint))
            .collect();
        let placement_request = PlacementRequest {
            domain: &self.domain,
            prefix_key: request.prompt.prefix_hash,
            prefix_ms: self.prefill_ms(request.prompt.model_hash, request.prompt.prefix_tokens),
            suffix_ms: self.prefill_ms(request.prompt.model_hash, request.prompt.suffix_tokens),
            lane: request.lane,
        };
        let chosen = select_endpoint(&self.placement, &placement_request, &candidates)
            .ok_or(NoEndpoint::NoneReady)?;
        let notice = &preferred[chosen.index].notice;
        let prefill = PrefillEstimate {
            wait_ms: candidates[chosen.index].wait_ms,
            ..self.prefill_estimate(&request.prompt, chosen.owns_prefix)
        };
        let model = request.sent_model;
        Ok(ChosenEndpoint::new(notice, model, prefill, None))
    }

    /// Expected prefill of `prompt` at an idle endpoint, which may have the shared prefix cached.
    pub(super) fn prefill_estimate(
        &self,
        prompt: &PromptSize,
        has_prefix: bool,
    ) -> PrefillEstimate {
        let uncached_tokens = if has_prefix {
            prompt.suffix_tokens
        } else {
            prompt.total_tokens()
        };
        PrefillEstimate {
            model_hash: prompt.model_hash,
            prefix_hash: prompt.prefix_hash,
            uncached_tokens,
            work_ms: self.prefill_ms(prompt.model_hash, uncached_tokens),
            ..PrefillEstimate::default()
        }
    }

    fn placement_candidate<'a>(
        &'a self,
        now: TimePoint,
        endpoint: &'a EndpointState,
    ) -> EndpointCandidate<'a> {
        let id = &*endpoint.notice.id;
        EndpointCandidate {
            id,
            domain: &endpoint.notice.domain,
            load: endpoint.load(now),
            slots: f64::from(endpoint.notice.slots.max(1)),
            wait_ms: self.queue_delays.wait_ms(now, id),
            slowdown: self.health.slowdown(id),
            is_recovering: self.health.is_recovering(id),
        }
    }

    /// Narrows `endpoints` to those that the call has not been sent to, then to those that are not
    /// ejected. A step that would leave none is skipped.
    fn prefer_healthy_untried<'a>(
        &self,
        now: TimePoint,
        endpoints: &[&'a EndpointState],
        tried: &BTreeSet<Arc<str>>,
    ) -> Vec<&'a EndpointState> {
        let narrow = |from: &[&'a EndpointState], keep: &dyn Fn(&EndpointState) -> bool| {
            let kept: Vec<_> = from.iter().copied().filter(|e| keep(e)).collect();
            if kept.is_empty() { from.to_vec() } else { kept }
        };
        let untried = narrow(endpoints, &|e| !tried.contains(&e.notice.id));
        narrow(&untried, &|e| !self.health.is_ejected(now, &e.notice.id))
    }

    /// Connections that this entry may open to an endpoint of `service`.
    pub(super) fn connection_share(&self, service: &ServiceRule) -> usize {
        let total = f64::from(service.max_connections) * CONNECTION_SHARE;
        let share = (total / self.entries.len().max(1) as f64).floor() as usize;
        share.max(MIN_CONNECTIONS)
    }

    /// Whether this entry's share of the call rate that the endpoint takes allows another call. A
    /// cold endpoint takes the rate that its service declares, any other the limit that it names.
    pub(super) fn has_rate_capacity(
        &self,
        now: TimePoint,
        endpoint: &EndpointState,
        service: &ServiceRule,
    ) -> bool {
        let id = &endpoint.notice.id;
        let is_cold = now < endpoint.cold_until && service.cold_per_s > 0.0;
        let cold_per_s = is_cold.then_some(service.cold_per_s);
        let stated_per_s = self.stated_limits.per_s(endpoint.hash);
        let limits = cold_per_s.into_iter().chain(stated_per_s);
        let Some(per_s) = limits.min_by(f64::total_cmp) else {
            return true;
        };
        let share = EndpointRateLimiter::entry_share(id, &self.name, &self.entries, per_s);
        self.rate_limiter.has_capacity(now, id, share)
    }

    fn is_version_allowed(&self, endpoint: &EndpointState) -> bool {
        let rollout = self.rollouts.get(&endpoint.notice.service);
        rollout.is_none_or(|rollout| !rollout.rejects(&endpoint.notice.version))
    }

    /// Endpoints that a call of `session` may go to and that run its model, grouped by version, in
    /// order of preference.
    pub(super) fn version_groups(
        &self,
        now: TimePoint,
        service: &ServiceRule,
        session: u64,
        runs_model: impl Fn(&EndpointState) -> bool,
    ) -> Vec<Vec<&EndpointState>> {
        let service = &*service.name;
        let available = self
            .available_endpoints(service)
            .filter(|endpoint| runs_model(endpoint))
            .filter(|endpoint| self.is_version_allowed(endpoint));
        let Some(rollout) = self.rollouts.get(service) else {
            return vec![available.collect()];
        };
        let (target, old): (Vec<_>, Vec<_>) =
            available.partition(|endpoint| endpoint.notice.version == rollout.order.target);
        match self.version_preference(now, service, session) {
            VersionPreference::TargetFirst => vec![target, old],
            VersionPreference::Target if target.is_empty() => vec![old],
            VersionPreference::Target => vec![target],
            // During the trial, the target version gets no more than its share of calls, even if
            // no endpoint of the old version is left.
            VersionPreference::Old if old.is_empty() && rollout.stage != RolloutStage::Trial => {
                vec![target]
            }
            VersionPreference::Old => vec![old],
        }
    }

    fn version_preference(&self, now: TimePoint, service: &str, session: u64) -> VersionPreference {
        match self.rollouts.get(service).map(|rollout| rollout.stage) {
            // The entries are still exchanging their active sessions.
            Some(RolloutStage::Trial) if !self.has_trial_delay_passed(now, service) => {
                VersionPreference::Old
            }
            Some(RolloutStage::Trial) => {
                let hash = session_hash(service, session);
                let idle_timeout = self.limits.session;
                self.sessions
                    .preference(now, hash, self.trial_share(), idle_timeout)
            }
            Some(RolloutStage::Shift) => VersionPreference::TargetFirst,
            // Endpoints of the old version get no more calls once the roll-out is complete.
            Some(RolloutStage::Completed) => VersionPreference::Target,
            Some(RolloutStage::RolledBack) | None => VersionPreference::Old,
        }
    }

    /// Records the version that the call is sent to as that of its session. It may differ from the
    /// preferred one.
    fn record_session(&mut self, now: TimePoint, request: &SelectionRequest<'_>, version: &str) {
        let service = &request.service.name;
        let rollout = self.rollouts.get(service);
        let is_on_target = rollout.is_some_and(|rollout| *rollout.order.target == *version);
        self.sessions.prune(now, self.limits.session);
        let hash = session_hash(service, request.session);
        self.sessions.record(now, service, hash, is_on_target);
    }

    /// Records that a call of a session has ended, which restarts the session's idle time.
    pub fn record_session_end(&mut self, now: TimePoint, service: &str, session: u64) {
        self.sessions.touch(now, session_hash(service, session));
    }

    /// Share of new sessions that the target version gets during a trial.
    fn trial_share(&self) -> f64 {
        self.limits.trial_share * USED_TRIAL_SHARE
    }

    fn has_trial_delay_passed(&self, now: TimePoint, service: &str) -> bool {
        let known_at = self.rollouts_known_at.get(service);
        known_at.is_some_and(|at| now.since(*at) >= TRIAL_DELAY)
    }

    /// How long this entry has known of each roll-out in progress. A newly elected or restarted
    /// leader uses this so as not to count time without a leader.
    pub fn rollout_ages(&self, now: TimePoint) -> Vec<RolloutAge> {
        let running = self.rollouts.values();
        let running = running.filter(|rollout| !rollout.stage.is_final());
        let age = |rollout: &RolloutState| {
            let order = &rollout.order;
            let known_at = self.rollouts_known_at.get(&order.service)?;
            Some(RolloutAge {
                service: Arc::clone(&order.service),
                target: Arc::clone(&order.target),
                age_ms: now.millis_since(*known_at),
            })
        };
        running.filter_map(age).collect()
    }

    /// Active sessions of this entry that must stay on the old version during a trial.
    pub fn bound_sessions(&self, now: TimePoint) -> Vec<SessionHash> {
        let on_trial = self.rollouts.values();
        let on_trial = on_trial.filter(|rollout| rollout.stage == RolloutStage::Trial);
        let bound = |rollout: &RolloutState| {
            let service = &rollout.order.service;
            self.sessions
                .pinned_to_old(now, service, self.trial_share(), self.limits.session)
        };
        on_trial.flat_map(bound).collect()
    }

    /// Keeps sessions that are active at other entries on the old version.
    pub fn bind_sessions(&mut self, sessions: &[SessionHash]) {
        self.sessions.pin_to_old(sessions);
    }
}

/// Hash of a shared prompt prefix for a given model, from the ids of the prefix's segments.
pub fn prefix_hash(segment_ids: &[u64], model: &str) -> u64 {
    let mut bytes: Vec<u8> = segment_ids.iter().flat_map(|id| id.to_le_bytes()).collect();
    bytes.extend_from_slice(model.as_bytes());
    key_hash(&bytes)
}
