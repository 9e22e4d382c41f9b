//! What an entry knows of routes, endpoints and roll-outs, and the choices that it takes on it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::hash::key_hash;
use chestnutloft_core::routing::{
    ArmCount, ArmKey, ColdAllowance, EndpointNotice, EndpointPhase, EndpointSeat, HealthSettings,
    PlacementSettings, PlacementWish, PoolHealth, PoolPressure, PressureBook, RepeatBudget,
    RepeatSettings, RolloutStage, RolloutState, RouteDeclaration, RouteRule, RouteTable,
    RoutingRevision, RoutingUpdate, ServiceRule, SessionVersions, WorkEstimate, choose_seat,
};
use chestnutloft_core::time::TimePoint;

use super::dialect::ReportedLoad;
use super::settings::{ForwardSettings, SharedLimits};

/// Part of the time until a withdrawn key must be dead that an entry trusts what it knows; the
/// rest covers the way of a call to its endpoint.
const TRUST_SHARE: f64 = 0.93;
/// Share of a service's connections that entries use together.
const CONNECTION_SHARE: f64 = 0.85;
/// Connections that an entry may open to an endpoint in any case.
const MIN_CONNECTIONS: usize = 2;
/// Share of the exposure allowed for a trial that new sessions are sent to; the rest covers
/// chance.
const TRIAL_USE: f64 = 0.6;
/// Age at which a reported load counts no more.
const REPORT_AGE: Duration = Duration::from_millis(1_500);

/// An endpoint as this entry sees it.
#[derive(Clone, Debug)]
struct BookEndpoint {
    notice: EndpointNotice,
    cold_until: TimePoint,
    in_flight: usize,
    report: Option<LoadReport>,
    /// The address answered for another endpoint.
    is_misdirected: bool,
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    at: TimePoint,
    load: f64,
    own: f64,
}

impl BookEndpoint {
    /// Calls that the endpoint runs and holds: its newest report, moved by what this entry has
    /// sent and finished since, and trusted less as it ages.
    fn load(&self, now: TimePoint) -> f64 {
        let own = self.in_flight as f64;
        let Some(report) = self.report else {
            return own;
        };
        let age = now.since(report.at).as_secs_f64() / REPORT_AGE.as_secs_f64();
        let others = (report.load - report.own).max(0.0) * (1.0 - age).max(0.0);
        own + others
    }
}

/// What a call needs to be placed.
#[derive(Clone, Debug)]
pub struct PlaceRequest<'a> {
    /// Route.
    pub route: &'a RouteRule,
    /// Service.
    pub service: &'a ServiceRule,
    /// Session, or the call itself where it belongs to none.
    pub session: u64,
    /// What the call reads.
    pub prompt: PromptSize,
    /// Endpoints that this call was sent to already.
    pub tried: &'a BTreeSet<Arc<str>>,
}

/// What a call reads, as one model reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptSize {
    /// Names the model.
    pub kind: u64,
    /// Key of the parts that other calls share.
    pub shared: Option<u64>,
    /// Tokens of those parts.
    pub shared_tokens: f64,
    /// Tokens of the part that is this call's alone.
    pub own_tokens: f64,
}

/// An endpoint chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// Its name.
    pub id: Arc<str>,
    /// `IP:port`.
    pub address: Arc<str>,
    /// Version.
    pub version: Arc<str>,
}

/// Why no endpoint can take a call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEndpoint {
    /// None is known that takes new work.
    NoneReady,
    /// Those that could are cold and get enough already.
    AllCold,
    /// All connections allowed are in use.
    AllConnected,
}

impl NoEndpoint {
    /// The reason in words.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoneReady => "no endpoint takes new work",
            Self::AllCold => "the endpoints left are cold",
            Self::AllConnected => "all connections are in use",
        }
    }
}

/// Everything that the request path decides on.
pub struct EntryBook {
    name: Arc<str>,
    domain: Arc<str>,
    limits: SharedLimits,
    placement: PlacementSettings,
    pressure: PressureBook,
    work: WorkEstimate,
    declaration: RouteDeclaration,
    table: Arc<RouteTable>,
    index: u64,
    endpoints: HashMap<Arc<str>, BookEndpoint>,
    evacuated: BTreeSet<Arc<str>>,
    rollouts: HashMap<Arc<str>, RolloutState>,
    /// Entries known, this one among them.
    pub entries: Vec<Arc<str>>,
    current_at: Option<TimePoint>,
    sessions: SessionVersions,
    /// Health of endpoints.
    pub health: PoolHealth,
    cold: ColdAllowance,
    repeats: RepeatBudget,
    arms: HashMap<ArmKey, ArmCount>,
    has_new_arms: bool,
}

impl EntryBook {
    /// An empty book.
    pub fn new(settings: &ForwardSettings) -> Self {
        let limits = &settings.limits;
        let name: Arc<str> = Arc::from(settings.name.as_str());
        let repeats = RepeatSettings {
            ratio: limits.repeat_ratio,
            slack: limits.repeat_slack,
            window: limits.repeat_window,
            ..RepeatSettings::default()
        };
        Self {
            name: Arc::clone(&name),
            domain: Arc::from(settings.domain.as_str()),
            limits: limits.clone(),
            placement: settings.placement.clone(),
            pressure: PressureBook::new(settings.pressure.clone()),
            work: WorkEstimate::default(),
            declaration: RouteDeclaration::default(),
            table: Arc::default(),
            index: 0,
            endpoints: HashMap::new(),
            evacuated: BTreeSet::new(),
            rollouts: HashMap::new(),
            entries: vec![name],
            current_at: None,
            sessions: SessionVersions::default(),
            health: PoolHealth::new(HealthSettings::default()),
            cold: ColdAllowance::default(),
            repeats: RepeatBudget::new(repeats),
            arms: HashMap::new(),
            has_new_arms: false,
        }
    }

    /// The routes in force here.
    pub fn table(&self) -> Arc<RouteTable> {
        Arc::clone(&self.table)
    }

    /// The declaration in force here.
    pub fn declaration(&self) -> &RouteDeclaration {
        &self.declaration
    }

    /// What this entry has of the routing state.
    pub fn revision(&self) -> RoutingRevision {
        RoutingRevision {
            index: self.index,
            declaration: self.declaration.number,
        }
    }

    /// Whether what this entry knows may be trusted: a key that was withdrawn since is not yet
    /// required to be dead.
    pub fn is_current(&self, now: TimePoint) -> bool {
        let trust = self.limits.key_withdrawal.mul_f64(TRUST_SHARE);
        self.current_at.is_some_and(|at| now.since(at) < trust)
    }

    /// Applies what a keeper sent in answer to a call of `asked_at`. An update that is older than
    /// what is known is ignored: an entry never goes back.
    pub fn apply(&mut self, now: TimePoint, asked_at: TimePoint, update: RoutingUpdate) {
        if update.index < self.index {
            spdlog::warn!(
                "watch: state {} is older than {} here and is ignored.",
                update.index,
                self.index
            );
            return;
        }
        self.index = update.index;
        if let Some(declaration) = update.declaration {
            declaration.apply(&mut self.declaration);
            self.table = Arc::new(RouteTable::new(&self.declaration));
            spdlog::info!(
                "routes: declaration {} is in force with {} routes.",
                self.declaration.number,
                self.declaration.routes.len()
            );
        }
        for change in update.endpoints {
            let cold_until = now + Duration::from_millis(change.cold_left_ms);
            self.apply_endpoint(change.endpoint.notice, cold_until);
        }
        if let Some(evacuated) = update.evacuated {
            self.apply_evacuated(now, evacuated);
        }
        if let Some(rollouts) = update.rollouts {
            self.apply_rollouts(rollouts);
        }
        self.current_at = self.current_at.max(Some(asked_at));
    }

    fn apply_endpoint(&mut self, notice: EndpointNotice, cold_until: TimePoint) {
        let known = self.endpoints.get_mut(&notice.id);
        if notice.phase == EndpointPhase::Gone {
            if known.is_some_and(|known| known.in_flight == 0) {
                self.endpoints.remove(&notice.id);
                self.health.forget(&notice.id);
                self.pressure.forget(&notice.id);
            } else if let Some(known) = self.endpoints.get_mut(&notice.id) {
                known.notice = notice;
            }
            return;
        }
        if let Some(known) = known {
            if known.notice.born_ms != notice.born_ms {
                self.health.forget(&notice.id);
                known.report = None;
                known.is_misdirected = false;
            }
            known.notice = notice;
            known.cold_until = cold_until;
        } else {
            let endpoint = BookEndpoint {
                notice,
                cold_until,
                in_flight: 0,
                report: None,
                is_misdirected: false,
            };
            let id = Arc::clone(&endpoint.notice.id);
            self.endpoints.insert(id, endpoint);
        }
    }

    /// Endpoints of a failure domain that returns may have turned cold meanwhile.
    fn apply_evacuated(&mut self, now: TimePoint, evacuated: Vec<Arc<str>>) {
        let evacuated: BTreeSet<Arc<str>> = evacuated.into_iter().collect();
        let returned: Vec<_> = self.evacuated.difference(&evacuated).cloned().collect();
        for endpoint in self.endpoints.values_mut() {
            if returned.contains(&endpoint.notice.domain)
                && let Some(service) = self.table.service(&endpoint.notice.service)
            {
                let cold_until = now + Duration::from_millis(service.cold_ms);
                endpoint.cold_until = endpoint.cold_until.max(cold_until);
            }
        }
        spdlog::info!("domains: out of use are {evacuated:?}.");
        self.evacuated = evacuated;
    }

    fn apply_rollouts(&mut self, rollouts: Vec<RolloutState>) {
        for state in rollouts {
            let service = Arc::clone(&state.order.service);
            let before = self.rollouts.get(&service);
            let is_new = before.is_none_or(|before| before.order != state.order);
            if before.is_some_and(|before| *before == state) {
                continue;
            }
            spdlog::info!(
                "rollout: {service} to {} is at {:?}.",
                state.order.target,
                state.stage
            );
            if is_new || state.stage.is_final() {
                self.sessions.reset(&service);
            }
            self.rollouts.insert(service, state);
        }
    }

    /// Endpoints known here that have not left.
    pub fn endpoint_count(&self) -> usize {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| endpoint.notice.phase != EndpointPhase::Gone)
            .count()
    }

    /// Whether there are routes to serve by.
    pub fn is_ready(&self, now: TimePoint) -> bool {
        self.declaration.number > 0 && self.is_current(now)
    }

    /// Notes a call of a caller to `service`.
    pub fn note_call(&mut self, now: TimePoint, service: &Arc<str>) {
        self.repeats.note_call(now, service);
    }

    /// Whether a call to `service` may be sent once more.
    pub fn take_repeat(&mut self, now: TimePoint, service: &Arc<str>) -> bool {
        self.repeats.take(now, service, self.entries.len())
    }

    /// How busy the endpoints of a service are.
    pub fn pool_pressure(&self, now: TimePoint, service: &str) -> PoolPressure {
        let able = self
            .endpoints
            .values()
            .filter(|endpoint| *endpoint.notice.service == *service && self.takes_work(endpoint));
        let (mut wait_ms, mut load, mut slots, mut count) = (0.0, 0.0, 0.0, 0.0);
        for endpoint in able {
            wait_ms += self.pressure.wait_ms(now, &endpoint.notice.id);
            load += endpoint.load(now);
            slots += f64::from(endpoint.notice.slots);
            count += 1.0;
        }
        PoolPressure {
            wait: Duration::from_secs_f64(wait_ms / f64::max(count, 1.0) / 1_000.0),
            load: load / f64::max(slots, 1.0),
        }
    }

    fn takes_work(&self, endpoint: &BookEndpoint) -> bool {
        endpoint.notice.phase == EndpointPhase::Ready
            && !endpoint.is_misdirected
            && !self.evacuated.contains(&endpoint.notice.domain)
    }

    /// Chooses an endpoint.
    ///
    /// # Errors
    /// [`NoEndpoint`] when none can take the call now.
    pub fn choose(
        &mut self,
        now: TimePoint,
        request: &PlaceRequest<'_>,
    ) -> Result<ChosenEndpoint, NoEndpoint> {
        let service = &request.service.name;
        let is_on_target = self.is_on_target(now, request);
        let able: Vec<&BookEndpoint> = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.notice.service == *service && self.takes_work(endpoint))
            .filter(|endpoint| self.is_version_allowed(endpoint))
            .collect();
        let able = self.of_version(service, able, is_on_target);
        if able.is_empty() {
            return Err(NoEndpoint::NoneReady);
        }
        let connections = self.connection_share(request.service);
        let open: Vec<&BookEndpoint> = able
            .into_iter()
            .filter(|endpoint| endpoint.in_flight < connections)
            .collect();
        if open.is_empty() {
            return Err(NoEndpoint::AllConnected);
        }
        let warm: Vec<&BookEndpoint> = open
            .into_iter()
            .filter(|endpoint| self.bears(now, endpoint, request.service))
            .collect();
        if warm.is_empty() {
            return Err(NoEndpoint::AllCold);
        }
        let fit = self.fittest(now, &warm, request.tried);
        let seats: Vec<EndpointSeat<'_>> = fit
            .iter()
            .map(|endpoint| self.seat(now, endpoint))
            .collect();
        let wish = PlacementWish {
            domain: &self.domain,
            prefix: request.prompt.shared,
            prefix_ms: self.read_ms(request.prompt.kind, request.prompt.shared_tokens),
            own_ms: self.read_ms(request.prompt.kind, request.prompt.own_tokens),
        };
        let chosen = choose_seat(&self.placement, &wish, &seats).ok_or(NoEndpoint::NoneReady)?;
        let notice = &fit[chosen].notice;
        Ok(ChosenEndpoint {
            id: Arc::clone(&notice.id),
            address: Arc::clone(&notice.address),
            version: Arc::clone(&notice.version),
        })
    }

    fn seat<'a>(&'a self, now: TimePoint, endpoint: &'a BookEndpoint) -> EndpointSeat<'a> {
        let id = &*endpoint.notice.id;
        EndpointSeat {
            id,
            domain: &endpoint.notice.domain,
            load: endpoint.load(now),
            slots: f64::from(endpoint.notice.slots.max(1)),
            wait_ms: self.pressure.wait_ms(now, id),
            pace: self.health.pace(id),
            is_on_trial: self.health.is_on_trial(id),
        }
    }

    fn read_ms(&self, kind: u64, tokens: f64) -> f64 {
        self.work.work_ms(kind, tokens)
    }

    /// Work of a call before its answer begins, in milliseconds, as far as known.
    pub fn work_ms(&self, prompt: &PromptSize) -> f64 {
        self.read_ms(prompt.kind, prompt.shared_tokens + prompt.own_tokens)
    }

    /// Time after which a call sent to `id` now is expected to begin to answer.
    pub fn expected(&self, now: TimePoint, id: &str, prompt: &PromptSize) -> Duration {
        let expected_ms = self.pressure.wait_ms(now, id) + self.work_ms(prompt);
        Duration::from_secs_f64(expected_ms / 1_000.0)
    }

    /// Notes that a call sent to `id` has begun to answer after `took`, or was given up then.
    pub fn note_begun(
        &mut self,
        now: TimePoint,
        id: &Arc<str>,
        prompt: &PromptSize,
        took: Duration,
        is_answered: bool,
    ) {
        let work_ms = self.work_ms(prompt);
        self.pressure.note_delay(now, id, work_ms, took);
        if is_answered {
            let tokens = prompt.shared_tokens + prompt.own_tokens;
            self.work.note(prompt.kind, tokens, took);
        }
    }

    /// Endpoints that are neither ejected nor tried already, as far as there are any.
    fn fittest<'a>(
        &self,
        now: TimePoint,
        endpoints: &[&'a BookEndpoint],
        tried: &BTreeSet<Arc<str>>,
    ) -> Vec<&'a BookEndpoint> {
        let narrowed = |from: &[&'a BookEndpoint], keep: &dyn Fn(&BookEndpoint) -> bool| {
            let kept: Vec<_> = from.iter().copied().filter(|e| keep(e)).collect();
            if kept.is_empty() { from.to_vec() } else { kept }
        };
        let untried = narrowed(endpoints, &|e| !tried.contains(&e.notice.id));
        narrowed(&untried, &|e| !self.health.is_out(now, &e.notice.id))
    }

    fn connection_share(&self, service: &ServiceRule) -> usize {
        let all = f64::from(service.max_connections) * CONNECTION_SHARE;
        let share = (all / self.entries.len().max(1) as f64).floor() as usize;
        share.max(MIN_CONNECTIONS)
    }

    fn bears(&self, now: TimePoint, endpoint: &BookEndpoint, service: &ServiceRule) -> bool {
        if now >= endpoint.cold_until || service.cold_per_s <= 0.0 {
            return true;
        }
        let id = &endpoint.notice.id;
        let share = ColdAllowance::share(id, &self.name, &self.entries, service.cold_per_s);
        self.cold.has_room(now, id, share)
    }

    fn is_version_allowed(&self, endpoint: &BookEndpoint) -> bool {
        let rollout = self.rollouts.get(&endpoint.notice.service);
        rollout.is_none_or(|state| {
            state.stage != RolloutStage::RolledBack || endpoint.notice.version != state.order.target
        })
    }

    /// Endpoints on the side of the roll-out that the call belongs to, as far as there are any.
    fn of_version<'a>(
        &self,
        service: &str,
        endpoints: Vec<&'a BookEndpoint>,
        is_on_target: bool,
    ) -> Vec<&'a BookEndpoint> {
        let Some(state) = self.rollouts.get(service) else {
            return endpoints;
        };
        let is_target = |endpoint: &&BookEndpoint| endpoint.notice.version == state.order.target;
        let (target, old): (Vec<_>, Vec<_>) = endpoints.into_iter().partition(|e| is_target(e));
        let has_choice = !target.is_empty() && !old.is_empty();
        match (has_choice, is_on_target) {
            (true, true) => target,
            (true, false) => old,
            // A version on trial takes no more than its share, even where the old one is gone.
            (false, false) if state.stage == RolloutStage::Trial => old,
            (false, _) => target.into_iter().chain(old).collect(),
        }
    }

    fn is_on_target(&mut self, now: TimePoint, request: &PlaceRequest<'_>) -> bool {
        let service = &request.service.name;
        let stage = self.rollouts.get(service).map(|state| state.stage);
        match stage {
            Some(RolloutStage::Trial) => {
                let share = self.limits.trial_share * TRIAL_USE;
                let keep = self.limits.session;
                self.sessions
                    .is_on_target(now, service, request.session, share, keep)
            }
            Some(RolloutStage::Shift | RolloutStage::Completed) => true,
            Some(RolloutStage::RolledBack) => false,
            None => {
                self.sessions.note(now, service, request.session, false);
                false
            }
        }
    }

    /// Notes that an attempt is sent.
    pub fn begin(&mut self, now: TimePoint, id: &Arc<str>, work_ms: f64) {
        self.pressure.begin(id, work_ms);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.in_flight += 1;
        if now < endpoint.cold_until {
            self.cold.note(now, id);
        }
    }

    /// Notes that the work of an attempt before its answer is over.
    pub fn end_work(&mut self, id: &str, work_ms: f64) {
        self.pressure.end(id, work_ms);
    }

    /// Notes that an attempt has ended.
    pub fn end(&mut self, id: &Arc<str>) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let is_over = endpoint.in_flight == 0 && endpoint.notice.phase == EndpointPhase::Gone;
        if is_over {
            self.endpoints.remove(id);
            self.health.forget(id);
            self.pressure.forget(id);
        }
    }

    /// Notes the load that an endpoint reports with an answer.
    pub fn note_load(&mut self, now: TimePoint, id: &Arc<str>, load: ReportedLoad) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.report = Some(LoadReport {
                at: now,
                load: f64::from(load.running) + f64::from(load.waiting),
                own: endpoint.in_flight as f64,
            });
        }
    }

    /// Notes that the endpoint refused a call since it is full.
    pub fn note_full(&mut self, now: TimePoint, id: &Arc<str>) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let slots = f64::from(endpoint.notice.slots);
            endpoint.report = Some(LoadReport {
                at: now,
                load: slots * 1.5,
                own: endpoint.in_flight as f64,
            });
        }
    }

    /// Notes that another endpoint answers at the address: this one gets nothing until it
    /// announces a new life.
    pub fn note_misdirected(&mut self, id: &Arc<str>) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_misdirected = true;
        }
    }

    /// Notes that the endpoint cannot be reached. It may come back cold.
    pub fn note_down(&mut self, now: TimePoint, id: &Arc<str>) {
        self.health.note_down(now, id);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if let Some(service) = self.table.service(&endpoint.notice.service) {
            let cold_until = now + Duration::from_millis(service.cold_ms);
            endpoint.cold_until = endpoint.cold_until.max(cold_until);
        }
    }

    /// Notes a failure of the endpoint; whether it is ejected by it.
    pub fn note_failure(&mut self, now: TimePoint, id: &Arc<str>) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        let service = Arc::clone(&endpoint.notice.service);
        let pool: Vec<Arc<str>> = self
            .endpoints
            .values()
            .filter(|other| other.notice.service == service && self.takes_work(other))
            .map(|other| Arc::clone(&other.notice.id))
            .collect();
        self.health.note_failure(now, id, &pool)
    }

    /// Notes the outcome of an attempt for the comparison of versions.
    pub fn note_arm(
        &mut self,
        service: &Arc<str>,
        version: &Arc<str>,
        route: &str,
        took_s: Option<f64>,
    ) {
        let key = ArmKey {
            service: Arc::clone(service),
            version: Arc::clone(version),
            route: Arc::from(route),
        };
        self.arms.entry(key).or_default().note(took_s);
        self.has_new_arms = true;
    }

    /// Counts of the versions of services under roll-out, where there are new ones.
    pub fn take_arms(&mut self) -> Option<Vec<(ArmKey, ArmCount)>> {
        let is_watched = |key: &ArmKey| {
            let rollout = self.rollouts.get(&key.service);
            rollout.is_some_and(|state| !state.stage.is_final())
        };
        if !std::mem::take(&mut self.has_new_arms) {
            return None;
        }
        let watched = self.arms.iter().filter(|(key, _)| is_watched(key));
        let watched: Vec<_> = watched.map(|(key, count)| (key.clone(), *count)).collect();
        (!watched.is_empty()).then_some(watched)
    }
}

/// Key of a prompt's shared parts as a given model reads them.
pub fn prefix_key(parts: &[u64], model: &str) -> u64 {
    let mut bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    bytes.extend_from_slice(model.as_bytes());
    key_hash(&bytes)
}
