//! Discrete-event simulation of a workload with the real router and keeper state; only the endpoints
//! are models.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use chestnutloft_core::ids::{DomainId, EndpointId, EntryId, VersionId};
use chestnutloft_core::ledger::{BindOutcome, SessionKey};
use chestnutloft_core::pipe::{
    AttemptHistory, AttemptObservation, ChoiceReason, EndpointChoice, ParsedRequest,
    RequestPriority, RouterSettings, RouterState, VersionPolicy,
};
use chestnutloft_core::plan::{PlanChange, SubmittedChange, SubmittedContent};
use chestnutloft_core::state::{
    CreditAllocator, CreditGrant, EndpointAnnouncement, EndpointLoad, KeeperCommand, KeeperOutcome,
    KeeperState, PoolKey, RatingRecord, RegistrySettings, RouteArm, StampedCommand,
};
use chestnutloft_core::time::TimePoint;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::endpoint_model::{EndpointModel, ModelRequest, RequestLatency};
use crate::oracle::{CONFIDENT_IF_GOOD, CONFIDENT_IF_POOR};
use crate::workload::Workload;

/// A scheduled change during the simulation.
#[derive(Clone, Debug, PartialEq)]
pub enum SimulationEvent {
    /// The share of good answers of a version drops to this value.
    VersionDegrades(VersionId, f64),
    /// A failure domain is drained.
    DrainDomain(DomainId),
    /// A failure domain returns to service; its endpoints have restarted cold.
    ReturnDomain(DomainId),
    /// All endpoints restart cold at the same time.
    RestartAllCold,
}

/// How the load of cold endpoints is ramped up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RampPolicy {
    /// No ramp: endpoints count as warm immediately.
    #[default]
    None,
    /// Slot credits, whose limit grows on evidence from answers.
    Evidence,
    /// Baseline: an endpoint counts as warm once this many seconds have passed since its restart.
    TimeOnly(u32),
}

/// Settings of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Settings of the routers, one per entry.
    pub router: RouterSettings,
    /// Interval between two announcements of an endpoint, in seconds.
    pub announce_interval_s: f64,
    /// Share of answers that are rated.
    pub rating_share: f64,
    /// Maximum number of ratings per second.
    pub ratings_per_s: f64,
    /// Events and their times in seconds.
    pub events: Vec<(f64, SimulationEvent)>,
    /// Ramp policy of cold endpoints.
    pub ramp: RampPolicy,
    /// Answers that a cold endpoint must complete to become warm.
    pub cold_answers: u32,
    /// Deadline of requests, in seconds from their arrival.
    pub deadline_s: f64,
    /// Slots per endpoint.
    pub slots: u32,
    /// Capacity of an endpoint's prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Share of cache events that are lost.
    pub cache_event_loss: f64,
    /// Number of slow endpoints, and the factor on their service times.
    pub slow_endpoints: (usize, f64),
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            router: RouterSettings::default(),
            announce_interval_s: 0.5,
            rating_share: 0.1,
            ratings_per_s: 2.0,
            events: Vec::new(),
            ramp: RampPolicy::None,
            cold_answers: 24,
            deadline_s: 120.0,
            slots: 8,
            cache_blocks: 1_200,
            cache_event_loss: 0.05,
            slow_endpoints: (0, 1.0),
        }
    }
}

/// Outcome of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestResult {
    /// Arm that answered it; `None` if it was refused.
    pub arm: Option<RouteArm>,
    /// Version whose answer was returned.
    pub answered_by: Option<VersionId>,
    /// Time from arrival to the first token that the client sees, in milliseconds.
    pub first_token_ms: f64,
    /// Time from arrival to the last token, in milliseconds.
    pub total_ms: f64,
    /// Cost of all completed steps, in millionths.
    pub cost: f64,
    /// Share of its prompt blocks that were cached, in the last completed step.
    pub cached_share: f64,
    /// Time of its answer or refusal, in seconds.
    pub ended_at_s: f64,
    /// Whether the answer was good.
    pub is_good: bool,
}

/// Outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    /// Outcome of each request, in the order of the workload.
    pub requests: Vec<RequestResult>,
    /// Number of requests that cold endpoints started above their limit.
    pub starts_over_cold_limit: u64,
    /// Quarantined versions and the times of their quarantines in seconds.
    pub quarantined: Vec<(f64, VersionId)>,
}

/// An entry of the event queue. Requests and endpoints are given by their index; the second field of
/// `FirstToken` and `Finish` is the endpoint's incarnation, so that events from before a restart are
/// ignored.
enum QueuedEvent {
    Arrive(usize),
    FirstToken(usize, u64),
    Finish(usize, u64),
    Announce(usize),
    SyncEntries,
    ExchangeCredits,
    ApplyRating(Box<RatingRecord>),
    Scheduled(usize),
    ExpireWaiting,
}

#[derive(Clone, Debug)]
struct RequestState {
    arm: Option<RouteArm>,
    /// 0, or 1 in the strong step of a cascade.
    cascade_step: usize,
    /// Index and choice of the endpoint that runs the request, and its pool.
    choice: Option<(usize, EndpointChoice, PoolKey)>,
    /// Incarnation of the endpoint that runs the request.
    incarnation: u64,
    started_at_s: f64,
    first_token_at_s: Option<f64>,
    first_token_ms: f64,
    latency: Option<RequestLatency>,
    waiting: Option<(PoolKey, u64)>,
    is_exploration: bool,
    is_finished: bool,
}

struct Simulation<'a> {
    workload: &'a Workload,
    settings: &'a SimulationSettings,
    /// Simulated time in seconds.
    now: f64,
    last_event_id: u64,
    /// Times in microseconds and ids of the pending events.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, QueuedEvent>,
    routers: Vec<RouterState>,
    keeper: KeeperState,
    endpoints: Vec<EndpointModel>,
    by_id: HashMap<EndpointId, usize>,
    /// Credit allocators of the endpoints' owners.
    allocators: HashMap<EndpointId, CreditAllocator>,
    cold_since_s: HashMap<EndpointId, f64>,
    states: Vec<RequestState>,
    results: Vec<RequestResult>,
    /// Waiting requests by entry, pool and id in the pool's queue.
    waiters: HashMap<(usize, PoolKey, u64), usize>,
    /// Reduced quality of degraded versions.
    degraded: HashMap<VersionId, f64>,
    quarantined: Vec<(f64, VersionId)>,
    next_rating_s: f64,
    rng: Pcg64,
    /// Number of requests without an outcome.
    unfinished: usize,
}

/// Converts simulated seconds to a point in time; the simulation starts at 1 s.
fn time_point(seconds: f64) -> TimePoint {
    TimePoint::from_micros((seconds * 1e6) as u64 + 1_000_000)
}

/// Simulates `workload` until every request has an outcome. `seed` also seeds the routers.
pub fn run(workload: &Workload, settings: &SimulationSettings, seed: u64) -> SimulationResult {
    let mut sim = Simulation::new(workload, settings, seed);
    sim.run_to_end();
    SimulationResult {
        starts_over_cold_limit: sim.endpoints.iter().map(|e| e.starts_over_cold_limit).sum(),
        requests: sim.results,
        quarantined: sim.quarantined,
    }
}

impl<'a> Simulation<'a> {
    fn new(workload: &'a Workload, settings: &'a SimulationSettings, seed: u64) -> Self {
        let mut keeper = KeeperState::default();
        let change = SubmittedChange {
            operator: "bench".to_owned(),
            base: Some(0),
            content: SubmittedContent::Declaration(Box::new(workload.plan.clone())),
        };
        keeper.apply(&StampedCommand {
            stamp: time_point(0.0),
            command: KeeperCommand::Submit(Box::new(change)),
        });
        let suspect_after = Duration::from_secs_f64(settings.announce_interval_s * 7.0);
        let mut router = settings.router.clone();
        router.registry = RegistrySettings {
            suspect_after,
            remove_after: suspect_after * 10,
        };
        let routers = (0..workload.profile.entries)
            .map(|number| {
                let domain = workload
                    .domains
                    .get(number % workload.domains.len())
                    .cloned();
                let mut state =
                    RouterState::new(router.clone(), domain, seed * 100 + number as u64);
                state.plan = keeper.plan.without_history();
                state.live_entries = workload.profile.entries;
                state
            })
            .collect();
        let endpoints: Vec<EndpointModel> = (0..workload.profile.endpoints)
            .map(|number| {
                let id = format!("engine-{number}").parse().expect("a valid id");
                let domain = workload.domains[number % workload.domains.len()].clone();
                let mut model =
                    EndpointModel::new(id, domain, settings.slots, settings.cache_blocks);
                if number < settings.slow_endpoints.0 {
                    model.slowdown = settings.slow_endpoints.1;
                }
                model
            })
            .collect();
        let by_id = endpoints
            .iter()
            .enumerate()
            .map(|(n, e)| (e.id.clone(), n))
            .collect();
        let state = RequestState {
            arm: None,
            cascade_step: 0,
            choice: None,
            incarnation: 0,
            started_at_s: 0.0,
            first_token_at_s: None,
            first_token_ms: 0.0,
            latency: None,
            waiting: None,
            is_exploration: false,
            is_finished: false,
        };
        let mut sim = Self {
            states: vec![state; workload.requests.len()],
            results: vec![RequestResult::default(); workload.requests.len()],
            unfinished: workload.requests.len(),
            workload,
            settings,
            now: 0.0,
            last_event_id: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            routers,
            keeper,
            endpoints,
            by_id,
            allocators: HashMap::new(),
            cold_since_s: HashMap::new(),
            waiters: HashMap::new(),
            degraded: HashMap::new(),
            quarantined: Vec::new(),
            next_rating_s: 0.0,
            rng: Pcg64::seed_from_u64(seed),
        };
        sim.schedule_first();
        sim
    }

    fn schedule_first(&mut self) {
        for endpoint in 0..self.endpoints.len() {
            self.announce(endpoint);
            let offset = self
                .rng
                .random_range(0.0..self.settings.announce_interval_s);
            self.schedule(offset, QueuedEvent::Announce(endpoint));
        }
        for (number, (at, _)) in self.settings.events.iter().enumerate() {
            self.schedule(*at, QueuedEvent::Scheduled(number));
        }
        self.schedule(0.4, QueuedEvent::SyncEntries);
        self.schedule(0.2, QueuedEvent::ExpireWaiting);
        if self.settings.ramp == RampPolicy::Evidence {
            self.schedule(0.05, QueuedEvent::ExchangeCredits);
        }
        if let Some(first) = self.workload.requests.first() {
            self.schedule(first.at_s, QueuedEvent::Arrive(0));
        }
    }

    fn schedule(&mut self, at_s: f64, event: QueuedEvent) {
        self.last_event_id += 1;
        self.queue
            .push(Reverse(((at_s * 1e6) as u64, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    fn run_to_end(&mut self) {
        while self.unfinished > 0
            && let Some(Reverse((at_us, event_id))) = self.queue.pop()
        {
            self.now = at_us as f64 / 1e6;
            if let Some(event) = self.events.remove(&event_id) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: QueuedEvent) {
        match event {
            QueuedEvent::Arrive(request) => {
                if let Some(next) = self.workload.requests.get(request + 1) {
                    self.schedule(next.at_s, QueuedEvent::Arrive(request + 1));
                }
                self.arrive(request);
            }
            QueuedEvent::FirstToken(request, incarnation) => {
                self.first_token(request, incarnation);
            }
            QueuedEvent::Finish(request, incarnation) => self.finish(request, incarnation),
            QueuedEvent::Announce(endpoint) => {
                self.announce(endpoint);
                self.schedule(
                    self.now + self.settings.announce_interval_s,
                    QueuedEvent::Announce(endpoint),
                );
            }
            QueuedEvent::SyncEntries => {
                self.sync_entries();
                let wait = (self.settings.announce_interval_s * 0.8).max(0.4);
                self.schedule(self.now + wait, QueuedEvent::SyncEntries);
            }
            QueuedEvent::ExchangeCredits => {
                self.exchange_credits();
                self.schedule(self.now + 0.05, QueuedEvent::ExchangeCredits);
            }
            QueuedEvent::ApplyRating(rating) => self.apply_rating(*rating),
            QueuedEvent::Scheduled(index) => self.apply_scheduled_event(index),
            QueuedEvent::ExpireWaiting => {
                self.expire_waiting();
                self.schedule(
                    self.now + self.settings.announce_interval_s.max(0.2),
                    QueuedEvent::ExpireWaiting,
                );
            }
        }
    }

    fn parsed_request(&self, request: usize) -> ParsedRequest {
        let generated = &self.workload.requests[request];
        ParsedRequest {
            workspace: generated.workspace.clone(),
            service: None,
            kind: generated.kind.clone(),
            session: generated.session.clone(),
            requested_version: None,
            requested_model: None,
            priority: RequestPriority::Normal,
            arrived: time_point(generated.at_s),
            deadline: time_point(generated.at_s + self.settings.deadline_s),
            idempotency_key: None,
            is_idempotent: true,
            fingerprint: 0,
            input_tokens: generated.input_tokens,
        }
    }

    fn arrive(&mut self, request: usize) {
        let parsed = self.parsed_request(request);
        let entry = self.workload.requests[request].entry;
        let now = time_point(self.now);
        let Ok(choice) = self.routers[entry].choose_version(now, now, &parsed) else {
            self.refuse(request);
            return;
        };
        let is_exploration = choice.reason == ChoiceReason::Explored;
        let arm = match &parsed.session {
            Some(session) => self.bind(&parsed, session, &choice.arm),
            None => choice.arm,
        };
        self.states[request].is_exploration = is_exploration;
        self.states[request].arm = Some(arm);
        self.start_step(request, false);
    }

    fn bind(&mut self, parsed: &ParsedRequest, session: &str, arm: &RouteArm) -> RouteArm {
        let outcome = self.keeper.apply(&StampedCommand {
            stamp: time_point(self.now),
            command: KeeperCommand::Bind {
                session: SessionKey::new(&parsed.workspace, session),
                wish: arm.version().clone(),
            },
        });
        match outcome {
            KeeperOutcome::Bind(BindOutcome::Bound(version)) => RouteArm::Single(version),
            _ => arm.clone(),
        }
    }

    fn step_version(&self, request: usize) -> VersionId {
        match self.states[request].arm.as_ref().expect("chosen") {
            RouteArm::Cascade { cheap, .. } if self.states[request].cascade_step == 0 => {
                cheap.clone()
            }
            arm => arm.version().clone(),
        }
    }

    /// Starts the request's current step on an endpoint or queues it. Unless it comes from the queue
    /// (`is_dequeued`), it does not overtake waiting requests.
    fn start_step(&mut self, request: usize, is_dequeued: bool) {
        let version = self.step_version(request);
        let pool = PoolKey::Version(version);
        let generated = &self.workload.requests[request];
        let entry = generated.entry;
        let now = time_point(self.now);
        let router = &mut self.routers[entry];
        let must_wait = !is_dequeued && !router.queue(&pool).is_empty();
        let mut history = AttemptHistory::default();
        let started = if must_wait {
            None
        } else {
            router
                .start_attempt(
                    now,
                    now,
                    &pool,
                    generated.input_tokens,
                    &generated.blocks,
                    &mut history,
                )
                .ok()
        };
        let Some(choice) = started else {
            self.wait_for_endpoint(request, pool);
            return;
        };
        let endpoint = self.by_id[&choice.endpoint];
        let state = &mut self.states[request];
        state.choice = Some((endpoint, choice, pool));
        state.started_at_s = self.now;
        state.incarnation = self.endpoints[endpoint].incarnation;
        let model_request = ModelRequest {
            index: request,
            blocks: generated.blocks.clone(),
            input_tokens: generated.input_tokens,
            output_tokens: generated.output_tokens,
        };
        self.enqueue_at_endpoint(endpoint, model_request);
    }

    /// Starts the request on the endpoint if a slot is free there, and queues it there otherwise.
    fn enqueue_at_endpoint(&mut self, endpoint: usize, request: ModelRequest) {
        let model = &mut self.endpoints[endpoint];
        let has_slot = model.running < model.slots;
        if has_slot {
            self.start_at_endpoint(endpoint, &request);
        } else {
            model.queue.push_back(request);
        }
    }

    fn start_at_endpoint(&mut self, endpoint: usize, request: &ModelRequest) {
        let latency = self.endpoints[endpoint].start_request(request);
        let incarnation = self.endpoints[endpoint].incarnation;
        let index = request.index;
        self.states[index].latency = Some(latency);
        self.schedule(
            self.now + latency.first_token_ms / 1e3,
            QueuedEvent::FirstToken(index, incarnation),
        );
        self.schedule(
            self.now + latency.total_ms / 1e3,
            QueuedEvent::Finish(index, incarnation),
        );
    }

    /// Queues the request at its entry until an endpoint of `pool` can take it.
    fn wait_for_endpoint(&mut self, request: usize, pool: PoolKey) {
        let generated = &self.workload.requests[request];
        let deadline = time_point(generated.at_s + self.settings.deadline_s);
        let entry = generated.entry;
        let joined = self.routers[entry].join_waiting(
            time_point(self.now),
            &pool,
            &generated.workspace,
            RequestPriority::Normal,
            deadline,
        );
        match joined {
            Ok(waiter) => {
                self.states[request].waiting = Some((pool.clone(), waiter));
                self.waiters.insert((entry, pool, waiter), request);
            }
            Err(_) => self.refuse(request),
        }
    }

    /// Starts up to `count` waiting requests of `pool`.
    fn start_waiting(&mut self, entry: usize, pool: &PoolKey, count: usize) {
        for _ in 0..count {
            let Some(waiter) = self.routers[entry].pop_waiting(time_point(self.now), pool) else {
                return;
            };
            if let Some(request) = self.waiters.remove(&(entry, pool.clone(), waiter)) {
                self.states[request].waiting = None;
                self.start_step(request, true);
            }
        }
    }

    fn start_waiting_everywhere(&mut self) {
        for entry in 0..self.routers.len() {
            for pool in self.routers[entry].waiting_pools() {
                self.start_waiting(entry, &pool, 4);
            }
        }
    }

    fn expire_waiting(&mut self) {
        for entry in 0..self.routers.len() {
            for pool in self.routers[entry].waiting_pools() {
                let expired = self.routers[entry]
                    .queue(&pool)
                    .take_expired(time_point(self.now));
                for waiter in expired {
                    if let Some(request) = self.waiters.remove(&(entry, pool.clone(), waiter)) {
                        self.refuse(request);
                    }
                }
            }
        }
        self.start_waiting_everywhere();
    }

    fn refuse(&mut self, request: usize) {
        let state = &mut self.states[request];
        if !std::mem::replace(&mut state.is_finished, true) {
            self.results[request].arm = None;
            self.results[request].ended_at_s = self.now;
            self.unfinished -= 1;
        }
    }

    fn first_token(&mut self, request: usize, incarnation: u64) {
        let state = &mut self.states[request];
        if state.incarnation == incarnation {
            state.first_token_ms = (self.now - state.started_at_s) * 1e3;
            state.first_token_at_s = Some(self.now);
        }
    }

    fn finish(&mut self, request: usize, incarnation: u64) {
        if self.states[request].incarnation != incarnation || self.states[request].is_finished {
            return;
        }
        let Some((endpoint, choice, pool)) = self.states[request].choice.take() else {
            return;
        };
        if self.endpoints[endpoint].incarnation != incarnation {
            return;
        }
        let generated = &self.workload.requests[request];
        let entry = generated.entry;
        let first_token_ms = self.states[request].first_token_ms;
        let observation = AttemptObservation {
            first_token: Some(Duration::from_secs_f64(first_token_ms / 1e3)),
            total: Duration::from_secs_f64(self.now - self.states[request].started_at_s),
            failure: None,
        };
        self.routers[entry].finish_attempt(time_point(self.now), &pool, &choice, observation);
        self.endpoints[endpoint].complete_request();
        if let Some(next) = self.endpoints[endpoint].queue.pop_front() {
            self.start_at_endpoint(endpoint, &next);
        }
        let version = self.step_version(request);
        self.record_cost(request, &version);
        if !self.escalate_if_unconfident(request, &version) {
            self.complete(request, &version);
        }
        self.start_waiting(entry, &pool, 1);
    }

    /// Adds the cost of a completed step.
    fn record_cost(&mut self, request: usize, version: &VersionId) {
        let generated = &self.workload.requests[request];
        let rule = &self.workload.plan.versions[version];
        let cost =
            chestnutloft_core::pipe::cost_of(rule, generated.input_tokens, generated.output_tokens);
        let result = &mut self.results[request];
        result.cost += cost as f64;
        if let Some(latency) = self.states[request].latency {
            result.cached_share = latency.cached_share;
        }
    }

    /// Current quality of a version, which is reduced once it has degraded.
    fn quality(&self, version: &VersionId, kind: usize) -> f64 {
        let usual = self.workload.true_quality(version, kind);
        self.degraded
            .get(version)
            .map_or(usual, |reduced| usual.min(*reduced))
    }

    /// Starts the strong step of a cascade if the cheap answer is not confident enough. Returns whether
    /// it did.
    fn escalate_if_unconfident(&mut self, request: usize, version: &VersionId) -> bool {
        let Some(RouteArm::Cascade { cheap, .. }) = self.states[request].arm.clone() else {
            return false;
        };
        if self.states[request].cascade_step > 0 {
            return false;
        }
        let generated = &self.workload.requests[request];
        let is_good = generated.quality_sample < self.quality(version, generated.kind_index);
        let confident_probability = if is_good {
            CONFIDENT_IF_GOOD
        } else {
            CONFIDENT_IF_POOR
        };
        let is_escalated = generated.confidence_sample >= confident_probability;
        let entry = generated.entry;
        self.routers[entry]
            .version_selector
            .record_cascade(&cheap, is_escalated);
        if is_escalated {
            self.states[request].cascade_step = 1;
            self.start_step(request, false);
        }
        is_escalated
    }

    fn complete(&mut self, request: usize, version: &VersionId) {
        let generated = &self.workload.requests[request];
        // The strong step's answer is another one, so it gets a quality sample of its own, derived from
        // the confidence sample.
        let quality_sample = if self.states[request].cascade_step > 0 {
            generated.confidence_sample
        } else {
            generated.quality_sample
        };
        let quality_sample = if self.states[request].cascade_step > 0 {
            (quality_sample * 7.31).fract()
        } else {
            quality_sample
        };
        let is_good = quality_sample < self.quality(version, generated.kind_index);
        let is_cascade = matches!(self.states[request].arm, Some(RouteArm::Cascade { .. }));
        let first_token_at_s = self.states[request].first_token_at_s.unwrap_or(self.now);
        // The client gets an accepted cheap answer only when it is complete.
        let first_visible_s = if is_cascade && self.states[request].cascade_step == 0 {
            self.now
        } else {
            first_token_at_s
        };
        let result = &mut self.results[request];
        result.arm.clone_from(&self.states[request].arm);
        result.answered_by = Some(version.clone());
        result.first_token_ms = (first_visible_s - generated.at_s) * 1e3;
        result.total_ms = (self.now - generated.at_s) * 1e3;
        result.ended_at_s = self.now;
        result.is_good = is_good;
        self.states[request].is_finished = true;
        self.unfinished -= 1;
        self.maybe_schedule_rating(request, version, is_good);
    }

    /// Decides whether the answer is rated, and schedules the rating 5 to 30 s later.
    fn maybe_schedule_rating(&mut self, request: usize, version: &VersionId, is_good: bool) {
        let entry = self.workload.requests[request].entry;
        let is_suspect = self.routers[entry].quality.is_suspect(version);
        let has_priority = self.states[request].is_exploration || is_suspect;
        let is_forced = has_priority && self.settings.rating_share > 0.0;
        let is_rated = is_forced || self.rng.random_range(0.0..1.0) < self.settings.rating_share;
        if !is_rated || self.now < self.next_rating_s {
            return;
        }
        self.next_rating_s = self.now + 1.0 / self.settings.ratings_per_s;
        let generated = &self.workload.requests[request];
        let Some(arm) = self.states[request].arm.clone() else {
            return;
        };
        let rating = RatingRecord {
            workspace: generated.workspace.clone(),
            kind: generated.kind.clone(),
            arm,
            answered_by: version.clone(),
            is_good,
        };
        let delay = self.rng.random_range(5.0..30.0);
        self.schedule(self.now + delay, QueuedEvent::ApplyRating(Box::new(rating)));
    }

    fn apply_rating(&mut self, rating: RatingRecord) {
        let before = self.keeper.plan.quarantined.len();
        self.keeper.apply(&StampedCommand {
            stamp: time_point(self.now),
            command: KeeperCommand::Rate(vec![rating]),
        });
        if self.keeper.plan.quarantined.len() > before {
            let known: Vec<VersionId> = self.keeper.plan.quarantined.keys().cloned().collect();
            for version in known {
                if !self.quarantined.iter().any(|(_, v)| *v == version) {
                    self.quarantined.push((self.now, version));
                }
            }
        }
    }

    /// Copies the plan and the quality estimates to the entries, as heartbeats do.
    fn sync_entries(&mut self) {
        for router in &mut self.routers {
            if router.plan.revision != self.keeper.plan.revision {
                router.plan = self.keeper.plan.without_history();
            }
            if router.quality.version() != self.keeper.quality.version() {
                router.quality = self.keeper.quality.clone();
            }
        }
    }

    /// Sends an announcement and a cache event of the endpoint to all routers.
    fn announce(&mut self, endpoint: usize) {
        let model = &mut self.endpoints[endpoint];
        if !model.is_up {
            return;
        }
        model.sequence += 1;
        let announcement = EndpointAnnouncement {
            endpoint: model.id.clone(),
            incarnation: model.incarnation,
            sequence: model.sequence,
            service: "svc".parse().expect("a valid id"),
            domain: model.domain.clone(),
            address: String::new(),
            versions: self
                .workload
                .quality
                .iter()
                .map(|(version, _)| version.clone())
                .collect(),
            slots: model.slots,
            is_leaving: false,
            load: EndpointLoad {
                running: model.running,
                waiting: u32::try_from(model.queue.len()).unwrap_or(u32::MAX),
                ..EndpointLoad::default()
            },
        };
        let now = time_point(self.now);
        let id = model.id.clone();
        let cache_event = model.take_cache_event();
        // Cache events arrive only with the announcements, and some are lost.
        let is_lost = self.rng.random_range(0.0..1.0) < self.settings.cache_event_loss;
        let counts_as_warm = self.counts_as_warm(&id);
        for router in &mut self.routers {
            router.announce(now, announcement.clone());
            if !is_lost {
                router.apply_cache_event(&cache_event);
            }
            if counts_as_warm {
                let credits = &mut router.usages.entry(&id).credits;
                let epoch = credits.epoch();
                let grant = CreditGrant {
                    is_warm: true,
                    ..CreditGrant::default()
                };
                credits.apply_grant(TimePoint::ZERO, epoch, grant);
            }
        }
    }

    /// Whether the ramp policy lets the endpoint take requests without slot credits.
    fn counts_as_warm(&self, id: &EndpointId) -> bool {
        let cold_for_s = self.cold_since_s.get(id).map(|since| self.now - since);
        match (self.settings.ramp, cold_for_s) {
            (RampPolicy::None, _) | (_, None) => true,
            (RampPolicy::TimeOnly(seconds), Some(passed)) => passed >= f64::from(seconds),
            (RampPolicy::Evidence, Some(_)) => false,
        }
    }

    fn exchange_credits(&mut self) {
        let now = time_point(self.now);
        for (number, router) in self.routers.iter_mut().enumerate() {
            let entry: EntryId = format!("entry-{number}").parse().expect("a valid id");
            let settings = router.settings.credit.clone();
            for (id, usage) in router.usages.iter_mut() {
                if !usage.credits.needs_report(now) {
                    continue;
                }
                let epoch = usage.credits.epoch();
                let report = usage.credits.report(now);
                let slots = self.settings.slots;
                let allocator = self
                    .allocators
                    .entry(id.clone())
                    .or_insert_with(|| CreditAllocator::new(&settings, epoch, slots, now));
                if epoch > allocator.epoch() {
                    *allocator = CreditAllocator::new(&settings, epoch, slots, now);
                }
                let running = self.endpoints[self.by_id[id]].running;
                let grant = allocator.grant(now, &entry, report, running);
                usage.credits.apply_grant(now, epoch, grant);
            }
        }
        self.start_waiting_everywhere();
    }

    fn submit_change(&mut self, change: PlanChange) {
        let submitted = SubmittedChange {
            operator: "bench".to_owned(),
            base: None,
            content: SubmittedContent::Change(change),
        };
        self.keeper.apply(&StampedCommand {
            stamp: time_point(self.now),
            command: KeeperCommand::Submit(Box::new(submitted)),
        });
    }

    fn apply_scheduled_event(&mut self, index: usize) {
        match self.settings.events[index].1.clone() {
            SimulationEvent::VersionDegrades(version, quality) => {
                self.degraded.insert(version, quality);
            }
            SimulationEvent::DrainDomain(domain) => {
                self.submit_change(PlanChange::DrainDomain(domain));
            }
            SimulationEvent::ReturnDomain(domain) => {
                for endpoint in 0..self.endpoints.len() {
                    if self.endpoints[endpoint].domain == domain {
                        self.restart_cold(endpoint);
                    }
                }
                self.submit_change(PlanChange::ReturnDomain(domain));
            }
            SimulationEvent::RestartAllCold => {
                for endpoint in 0..self.endpoints.len() {
                    self.restart_cold(endpoint);
                }
            }
        }
    }

    /// Restarts an endpoint. Entries retry the requests that ran there.
    fn restart_cold(&mut self, endpoint: usize) {
        let id = self.endpoints[endpoint].id.clone();
        self.endpoints[endpoint].restart_cold(self.settings.cold_answers);
        self.cold_since_s.insert(id, self.now);
        self.announce(endpoint);
        let interrupted: Vec<usize> = (0..self.states.len())
            .filter(|r| {
                let choice = self.states[*r].choice.as_ref();
                choice.is_some_and(|(e, _, _)| *e == endpoint)
            })
            .collect();
        for request in interrupted {
            if let Some((_, choice, pool)) = self.states[request].choice.take() {
                let entry = self.workload.requests[request].entry;
                let observation = AttemptObservation {
                    first_token: None,
                    total: Duration::from_secs_f64(self.now - self.states[request].started_at_s),
                    failure: Some(chestnutloft_core::pipe::AttemptFailure::Broken),
                };
                self.routers[entry].finish_attempt(
                    time_point(self.now),
                    &pool,
                    &choice,
                    observation,
                );
            }
            self.states[request].incarnation = u64::MAX;
            self.start_step(request, false);
        }
    }
}

/// Default router settings with the version policy `policy`.
pub fn with_version_policy(policy: VersionPolicy) -> RouterSettings {
    let mut router = RouterSettings::default();
    router.version.policy = policy;
    router
}
