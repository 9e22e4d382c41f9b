//! Choice of an endpoint for an attempt, and how busy a service is.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::hash::key_hash;
use chestnutloft_core::routing::{
    ColdAllowance, EndpointPhase, EndpointSeat, ModelLane, PlacementWish, PoolPressure, QueueState,
    RolloutStage, RolloutState, ServiceRule, SessionMark, VersionWish, choose_seat, session_mark,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::message::RolloutAge;

use super::state::{BookEndpoint, EntryBook};

/// Share of a service's connections that entries use together.
const CONNECTION_SHARE: f64 = 0.85;
/// Connections that an entry may open to an endpoint in any case.
const MIN_CONNECTIONS: usize = 2;
/// Share of the exposure allowed for a trial that new sessions are sent to; the rest covers
/// chance.
const TRIAL_USE: f64 = 0.6;
/// Time from the start of a trial until new sessions go to the new version: entries report the
/// sessions under way with their next call to the keepers and learn those of others with its
/// answer, each after 0.4 s at most.
const TRIAL_DELAY: Duration = Duration::from_secs(1);

/// What a call needs to be placed.
#[derive(Clone, Debug)]
pub struct PlaceRequest<'a> {
    /// Service.
    pub service: &'a ServiceRule,
    /// Session, or the call itself where it belongs to none.
    pub session: u64,
    /// What the call reads.
    pub prompt: PromptSize,
    /// Lane of its model.
    pub lane: ModelLane,
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

impl PromptSize {
    /// All tokens.
    pub fn tokens(&self) -> f64 {
        self.shared_tokens + self.own_tokens
    }
}

/// An endpoint chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenEndpoint {
    /// Its name.
    pub id: Arc<str>,
    /// `IP:port`.
    pub address: Arc<str>,
    /// Version.
    pub version: Arc<str>,
    /// What the attempt has to read there and how long that takes.
    pub reading: PromptReading,
}

/// What an endpoint has to read of a prompt, as far as known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptReading {
    /// Names the model.
    pub kind: u64,
    /// Tokens that it has not cached.
    pub tokens: f64,
    /// Time that they take, in milliseconds.
    pub work_ms: f64,
    /// Time before that in which it works for other calls, in milliseconds.
    pub wait_ms: f64,
}

impl PromptReading {
    /// Time after which the answer is expected to begin.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64((self.wait_ms + self.work_ms) / 1_000.0)
    }

    /// Whether the attempt had to wait.
    pub fn queue(&self) -> QueueState {
        if self.wait_ms < 1.0 {
            QueueState::Idle
        } else {
            QueueState::Waiting
        }
    }
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

impl EntryBook {
    /// How busy the endpoints of a service are.
    pub fn pool_pressure(&self, now: TimePoint, service: &str) -> PoolPressure {
        let able = self.working(service);
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
            event_gap: self.large_pace.report(now).plus(self.others_pace).mean(),
        }
    }

    /// Endpoints of a service that take work.
    pub(super) fn working(&self, service: &str) -> impl Iterator<Item = &BookEndpoint> {
        self.endpoints
            .values()
            .filter(move |endpoint| *endpoint.notice.service == *service)
            .filter(|endpoint| self.takes_work(endpoint))
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
        let wish = self.version_wish(now, request);
        let mut outcome = Err(NoEndpoint::NoneReady);
        for group in self.version_groups(&request.service.name, wish) {
            outcome = self.choose_among(now, request, group);
            if outcome.is_ok() {
                break;
            }
        }
        if let Ok(endpoint) = &outcome {
            self.note_session(now, request, &endpoint.version);
        }
        outcome
    }

    fn choose_among(
        &self,
        now: TimePoint,
        request: &PlaceRequest<'_>,
        able: Vec<&BookEndpoint>,
    ) -> Result<ChosenEndpoint, NoEndpoint> {
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
            prefix_ms: self
                .work
                .work_ms(request.prompt.kind, request.prompt.shared_tokens),
            own_ms: self
                .work
                .work_ms(request.prompt.kind, request.prompt.own_tokens),
            lane: request.lane,
        };
        let chosen = choose_seat(&self.placement, &wish, &seats).ok_or(NoEndpoint::NoneReady)?;
        let notice = &fit[chosen.index].notice;
        let prompt = &request.prompt;
        let tokens = if chosen.keeps_prefix {
            prompt.own_tokens
        } else {
            prompt.tokens()
        };
        let reading = PromptReading {
            kind: prompt.kind,
            tokens,
            work_ms: self.work.work_ms(prompt.kind, tokens),
            wait_ms: seats[chosen.index].wait_ms,
        };
        Ok(ChosenEndpoint {
            id: Arc::clone(&notice.id),
            address: Arc::clone(&notice.address),
            version: Arc::clone(&notice.version),
            reading,
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

    /// Endpoints that a call may go to, in groups by version, the one to try first in front.
    fn version_groups(&self, service: &str, wish: VersionWish) -> Vec<Vec<&BookEndpoint>> {
        let able = self
            .working(service)
            .filter(|endpoint| self.is_version_allowed(endpoint));
        let Some(state) = self.rollouts.get(service) else {
            return vec![able.collect()];
        };
        let (target, old): (Vec<_>, Vec<_>) =
            able.partition(|endpoint| endpoint.notice.version == state.order.target);
        match wish {
            VersionWish::TargetFirst => vec![target, old],
            VersionWish::Target if target.is_empty() => vec![old],
            VersionWish::Target => vec![target],
            // A version on trial takes no more than its share, even where the old one is gone.
            VersionWish::Old if old.is_empty() && state.stage != RolloutStage::Trial => {
                vec![target]
            }
            VersionWish::Old => vec![old],
        }
    }

    fn version_wish(&self, now: TimePoint, request: &PlaceRequest<'_>) -> VersionWish {
        let service = &request.service.name;
        match self.rollouts.get(service).map(|state| state.stage) {
            // Until the entries have told each other of the sessions under way.
            Some(RolloutStage::Trial) if !self.is_trial_open(now, service) => VersionWish::Old,
            Some(RolloutStage::Trial) => {
                let mark = session_mark(service, request.session);
                let keep = self.limits.session;
                self.sessions.wish(now, mark, self.trial_share(), keep)
            }
            Some(RolloutStage::Shift) => VersionWish::TargetFirst,
            // The old endpoints stop at once.
            Some(RolloutStage::Completed) => VersionWish::Target,
            Some(RolloutStage::RolledBack) | None => VersionWish::Old,
        }
    }

    /// A session belongs to the version that its call went to, which may differ from its wish.
    fn note_session(&mut self, now: TimePoint, request: &PlaceRequest<'_>, version: &str) {
        let service = &request.service.name;
        let rollout = self.rollouts.get(service);
        let is_on_target = rollout.is_some_and(|state| *state.order.target == *version);
        self.sessions.prune(now, self.limits.session);
        let mark = session_mark(service, request.session);
        self.sessions.note(now, service, mark, is_on_target);
    }

    /// Notes that a call of a session has ended.
    pub fn note_session_end(&mut self, now: TimePoint, service: &str, session: u64) {
        self.sessions.touch(now, session_mark(service, session));
    }

    /// Share of new sessions that a version on trial gets.
    fn trial_share(&self) -> f64 {
        self.limits.trial_share * TRIAL_USE
    }

    fn is_trial_open(&self, now: TimePoint, service: &str) -> bool {
        let known_at = self.trials_known_at.get(service);
        known_at.is_some_and(|at| now.since(*at) >= TRIAL_DELAY)
    }

    /// How long this entry has known of the roll-outs under way: a leader that was elected
    /// since, or started again, counts no time in which there was none.
    pub fn rollout_ages(&self, now: TimePoint) -> Vec<RolloutAge> {
        let running = self.rollouts.values();
        let running = running.filter(|state| !state.stage.is_final());
        let age = |state: &RolloutState| {
            let order = &state.order;
            let known_at = self.trials_known_at.get(&order.service)?;
            Some(RolloutAge {
                service: Arc::clone(&order.service),
                target: Arc::clone(&order.target),
                age_ms: u64::try_from(now.since(*known_at).as_millis()).unwrap_or(u64::MAX),
            })
        };
        running.filter_map(age).collect()
    }

    /// Sessions that must stay on the old versions of services on trial, as seen here.
    pub fn bound_sessions(&self, now: TimePoint) -> Vec<SessionMark> {
        let on_trial = self.rollouts.values();
        let on_trial = on_trial.filter(|state| state.stage == RolloutStage::Trial);
        let bound = |state: &RolloutState| {
            let service = &state.order.service;
            self.sessions
                .bound_here(now, service, self.trial_share(), self.limits.session)
        };
        on_trial.flat_map(bound).collect()
    }

    /// Notes sessions that other entries saw on the old versions.
    pub fn bind_sessions(&mut self, marks: &[SessionMark]) {
        self.sessions.bind(marks);
    }
}

/// Key of a prompt's shared parts as a given model reads them.
pub fn prefix_key(parts: &[u64], model: &str) -> u64 {
    let mut bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    bytes.extend_from_slice(model.as_bytes());
    key_hash(&bytes)
}
