//! Runs a drawn day through real routers and a real keeper state, event by event.

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

use crate::endpoint_model::{EndpointModel, ModelRequest, ServiceTimes};
use crate::oracle::{CONFIDENT_GOOD, CONFIDENT_POOR};
use crate::workload::DrawnDay;

/// Something that happens during the day.
#[derive(Clone, Debug, PartialEq)]
pub enum DayEvent {
    /// A version's share of good answers drops to this.
    VersionTurnsBad(VersionId, f64),
    /// A failure domain is drained.
    Drain(DomainId),
    /// A failure domain returns; its endpoints are cold.
    Return(DomainId),
    /// All endpoints restart cold at once.
    AllCold,
}

/// How cold endpoints are ramped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RampPolicy {
    /// Endpoints count as warm at once.
    #[default]
    None,
    /// Slot credits that grow on evidence.
    Evidence,
    /// Baseline: each entry sends what it likes once this many seconds have passed.
    TimeOnly(u32),
}

/// How the day is run.
#[derive(Clone, Debug)]
pub struct DaySettings {
    /// Settings of the routers.
    pub router: RouterSettings,
    /// Time between two load reports of an endpoint, in seconds.
    pub report_s: f64,
    /// Share of answers that are rated.
    pub rating_share: f64,
    /// Ratings per second at most.
    pub ratings_per_s: f64,
    /// Events with their times in seconds.
    pub events: Vec<(f64, DayEvent)>,
    /// Ramp of cold endpoints.
    pub ramp: RampPolicy,
    /// Answers that a cold endpoint needs to be warm.
    pub cold_answers: u32,
    /// Deadline of requests, in seconds.
    pub deadline_s: f64,
    /// Slots of an endpoint.
    pub slots: u32,
    /// Blocks in an endpoint's prefix cache.
    pub cache_blocks: usize,
    /// Share of cache events that are lost.
    pub lost_events: f64,
    /// Endpoints that are slow, by this factor.
    pub slow: (usize, f64),
}

impl Default for DaySettings {
    fn default() -> Self {
        Self {
            router: RouterSettings::default(),
            report_s: 0.5,
            rating_share: 0.1,
            ratings_per_s: 2.0,
            events: Vec::new(),
            ramp: RampPolicy::None,
            cold_answers: 24,
            deadline_s: 120.0,
            slots: 8,
            cache_blocks: 1_200,
            lost_events: 0.05,
            slow: (0, 1.0),
        }
    }
}

/// What became of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestResult {
    /// Way in which it was answered; `None` where it was refused.
    pub arm: Option<RouteArm>,
    /// Version whose answer the caller got.
    pub answered_by: Option<VersionId>,
    /// Time to the first token, in milliseconds.
    pub first_ms: f64,
    /// Time to the end, in milliseconds.
    pub whole_ms: f64,
    /// Cost, in millionths.
    pub cost: f64,
    /// Share of its prompt that was cached.
    pub hit_share: f64,
    /// When it ended, in seconds.
    pub ended_s: f64,
    /// Whether the answer was good.
    pub is_good: bool,
}

/// What became of the day.
#[derive(Clone, Debug, Default)]
pub struct DayResult {
    /// One for each request of the day.
    pub requests: Vec<RequestResult>,
    /// Most requests at once on a cold endpoint, above what it bears.
    pub over_cold: u64,
    /// Versions that were quarantined, with the time in seconds.
    pub quarantined: Vec<(f64, VersionId)>,
}

enum SimEvent {
    Arrive(usize),
    FirstToken(usize, u64),
    Finish(usize, u64),
    Report(usize),
    Sync,
    Credits,
    Rated(Box<RatingRecord>),
    Day(usize),
    Expire,
}

#[derive(Clone, Debug)]
struct RequestState {
    arm: Option<RouteArm>,
    step: usize,
    choice: Option<(usize, EndpointChoice, PoolKey)>,
    life: u64,
    started_s: f64,
    first_seen: Option<f64>,
    first_ms: f64,
    times: Option<ServiceTimes>,
    waiting: Option<(PoolKey, u64)>,
    is_tried: bool,
    is_over: bool,
}

struct DaySim<'a> {
    day: &'a DrawnDay,
    settings: &'a DaySettings,
    now: f64,
    number: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimEvent>,
    routers: Vec<RouterState>,
    keeper: KeeperState,
    endpoints: Vec<EndpointModel>,
    by_id: HashMap<EndpointId, usize>,
    owners: HashMap<EndpointId, CreditAllocator>,
    cold_since: HashMap<EndpointId, f64>,
    states: Vec<RequestState>,
    results: Vec<RequestResult>,
    tickets: HashMap<(usize, PoolKey, u64), usize>,
    bad: HashMap<VersionId, f64>,
    quarantined: Vec<(f64, VersionId)>,
    next_rating_s: f64,
    rng: Pcg64,
    open: usize,
}

fn point(seconds: f64) -> TimePoint {
    TimePoint::from_micros((seconds * 1e6) as u64 + 1_000_000)
}

/// Runs a day.
pub fn run(day: &DrawnDay, settings: &DaySettings, seed: u64) -> DayResult {
    let mut sim = DaySim::new(day, settings, seed);
    sim.run_to_end();
    DayResult {
        over_cold: sim.endpoints.iter().map(|e| e.over_cold).sum(),
        requests: sim.results,
        quarantined: sim.quarantined,
    }
}

impl<'a> DaySim<'a> {
    fn new(day: &'a DrawnDay, settings: &'a DaySettings, seed: u64) -> Self {
        let mut keeper = KeeperState::default();
        let change = SubmittedChange {
            operator: "bench".to_owned(),
            base: Some(0),
            content: SubmittedContent::Declaration(Box::new(day.plan.clone())),
        };
        keeper.apply(&StampedCommand {
            stamp: point(0.0),
            command: KeeperCommand::Submit(Box::new(change)),
        });
        let patience = Duration::from_secs_f64(settings.report_s * 7.0);
        let mut router = settings.router.clone();
        router.registry = RegistrySettings {
            suspect_after: patience,
            remove_after: patience * 10,
        };
        let routers = (0..day.shape.entries)
            .map(|number| {
                let domain = day.domains.get(number % day.domains.len()).cloned();
                let mut state =
                    RouterState::new(router.clone(), domain, seed * 100 + number as u64);
                state.plan = keeper.plan.without_history();
                state.live_entries = day.shape.entries;
                state
            })
            .collect();
        let endpoints: Vec<EndpointModel> = (0..day.shape.endpoints)
            .map(|number| {
                let id = format!("engine-{number}").parse().expect("an id");
                let domain = day.domains[number % day.domains.len()].clone();
                let mut model =
                    EndpointModel::new(id, domain, settings.slots, settings.cache_blocks);
                if number < settings.slow.0 {
                    model.slowness = settings.slow.1;
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
            step: 0,
            choice: None,
            life: 0,
            started_s: 0.0,
            first_seen: None,
            first_ms: 0.0,
            times: None,
            waiting: None,
            is_tried: false,
            is_over: false,
        };
        let mut sim = Self {
            states: vec![state; day.requests.len()],
            results: vec![RequestResult::default(); day.requests.len()],
            open: day.requests.len(),
            day,
            settings,
            now: 0.0,
            number: 0,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            routers,
            keeper,
            endpoints,
            by_id,
            owners: HashMap::new(),
            cold_since: HashMap::new(),
            tickets: HashMap::new(),
            bad: HashMap::new(),
            quarantined: Vec::new(),
            next_rating_s: 0.0,
            rng: Pcg64::seed_from_u64(seed),
        };
        sim.schedule_first();
        sim
    }

    fn schedule_first(&mut self) {
        for endpoint in 0..self.endpoints.len() {
            self.report(endpoint);
            let offset = self.rng.random_range(0.0..self.settings.report_s);
            self.schedule(offset, SimEvent::Report(endpoint));
        }
        for (number, (at, _)) in self.settings.events.iter().enumerate() {
            self.schedule(*at, SimEvent::Day(number));
        }
        self.schedule(0.4, SimEvent::Sync);
        self.schedule(0.2, SimEvent::Expire);
        if self.settings.ramp == RampPolicy::Evidence {
            self.schedule(0.05, SimEvent::Credits);
        }
        if let Some(first) = self.day.requests.first() {
            self.schedule(first.at_s, SimEvent::Arrive(0));
        }
    }

    fn schedule(&mut self, at_s: f64, event: SimEvent) {
        self.number += 1;
        self.heap.push(Reverse(((at_s * 1e6) as u64, self.number)));
        self.events.insert(self.number, event);
    }

    fn run_to_end(&mut self) {
        while self.open > 0
            && let Some(Reverse((at, number))) = self.heap.pop()
        {
            self.now = at as f64 / 1e6;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => {
                if let Some(next) = self.day.requests.get(request + 1) {
                    self.schedule(next.at_s, SimEvent::Arrive(request + 1));
                }
                self.arrive(request);
            }
            SimEvent::FirstToken(request, life) => self.first_token(request, life),
            SimEvent::Finish(request, life) => self.finish(request, life),
            SimEvent::Report(endpoint) => {
                self.report(endpoint);
                self.schedule(
                    self.now + self.settings.report_s,
                    SimEvent::Report(endpoint),
                );
            }
            SimEvent::Sync => {
                self.sync();
                let wait = (self.settings.report_s * 0.8).max(0.4);
                self.schedule(self.now + wait, SimEvent::Sync);
            }
            SimEvent::Credits => {
                self.exchange_credits();
                self.schedule(self.now + 0.05, SimEvent::Credits);
            }
            SimEvent::Rated(rating) => self.rate(*rating),
            SimEvent::Day(number) => self.day_event(number),
            SimEvent::Expire => {
                self.expire_waiting();
                self.schedule(self.now + self.settings.report_s.max(0.2), SimEvent::Expire);
            }
        }
    }

    fn ticket(&self, request: usize) -> ParsedRequest {
        let drawn = &self.day.requests[request];
        ParsedRequest {
            workspace: drawn.workspace.clone(),
            service: None,
            kind: drawn.kind.clone(),
            session: drawn.session.clone(),
            requested_version: None,
            requested_model: None,
            priority: RequestPriority::Normal,
            arrived: point(drawn.at_s),
            deadline: point(drawn.at_s + self.settings.deadline_s),
            idempotency_key: None,
            is_idempotent: true,
            fingerprint: 0,
            input_tokens: drawn.input_tokens,
        }
    }

    fn arrive(&mut self, request: usize) {
        let ticket = self.ticket(request);
        let entry = self.day.requests[request].entry;
        let now = point(self.now);
        let Ok(choice) = self.routers[entry].choose_version(now, now, &ticket) else {
            self.refuse(request);
            return;
        };
        let is_tried = choice.reason == ChoiceReason::Explored;
        let arm = match &ticket.session {
            Some(session) => self.bind(&ticket, session, &choice.arm),
            None => choice.arm,
        };
        self.states[request].is_tried = is_tried;
        self.states[request].arm = Some(arm);
        self.start_step(request, false);
    }

    fn bind(&mut self, ticket: &ParsedRequest, session: &str, arm: &RouteArm) -> RouteArm {
        let outcome = self.keeper.apply(&StampedCommand {
            stamp: point(self.now),
            command: KeeperCommand::Bind {
                session: SessionKey::new(&ticket.workspace, session),
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
            RouteArm::Cascade { cheap, .. } if self.states[request].step == 0 => cheap.clone(),
            arm => arm.version().clone(),
        }
    }

    fn start_step(&mut self, request: usize, is_called: bool) {
        let version = self.step_version(request);
        let pool = PoolKey::Version(version);
        let drawn = &self.day.requests[request];
        let entry = drawn.entry;
        let now = point(self.now);
        let router = &mut self.routers[entry];
        let is_behind = !is_called && !router.queue(&pool).is_empty();
        let mut log = AttemptHistory::default();
        let started = if is_behind {
            None
        } else {
            router
                .start_attempt(now, now, &pool, drawn.input_tokens, &drawn.blocks, &mut log)
                .ok()
        };
        let Some(choice) = started else {
            self.wait(request, pool);
            return;
        };
        let endpoint = self.by_id[&choice.endpoint];
        let state = &mut self.states[request];
        state.choice = Some((endpoint, choice, pool));
        state.started_s = self.now;
        state.life = self.endpoints[endpoint].incarnation;
        let model_request = ModelRequest {
            number: request,
            blocks: drawn.blocks.clone(),
            input_tokens: drawn.input_tokens,
            output_tokens: drawn.output_tokens,
        };
        self.admit_at(endpoint, model_request);
    }

    fn admit_at(&mut self, endpoint: usize, request: ModelRequest) {
        let model = &mut self.endpoints[endpoint];
        let has_slot = model.running < model.slots;
        if has_slot {
            self.begin_at(endpoint, &request);
        } else {
            model.queue.push_back(request);
        }
    }

    fn begin_at(&mut self, endpoint: usize, request: &ModelRequest) {
        let times = self.endpoints[endpoint].begin(request);
        let life = self.endpoints[endpoint].incarnation;
        let number = request.number;
        self.states[number].times = Some(times);
        self.schedule(
            self.now + times.first_ms / 1e3,
            SimEvent::FirstToken(number, life),
        );
        self.schedule(
            self.now + times.whole_ms / 1e3,
            SimEvent::Finish(number, life),
        );
    }

    fn wait(&mut self, request: usize, pool: PoolKey) {
        let drawn = &self.day.requests[request];
        let deadline = point(drawn.at_s + self.settings.deadline_s);
        let entry = drawn.entry;
        let joined = self.routers[entry].queue(&pool).join(
            point(self.now),
            &drawn.workspace,
            RequestPriority::Normal,
            deadline,
        );
        match joined {
            Ok(ticket) => {
                self.states[request].waiting = Some((pool.clone(), ticket));
                self.tickets.insert((entry, pool, ticket), request);
            }
            Err(_) => self.refuse(request),
        }
    }

    fn wake(&mut self, entry: usize, pool: &PoolKey, count: usize) {
        for _ in 0..count {
            let Some(ticket) = self.routers[entry].pop_waiting(point(self.now), pool) else {
                return;
            };
            if let Some(request) = self.tickets.remove(&(entry, pool.clone(), ticket)) {
                self.states[request].waiting = None;
                self.start_step(request, true);
            }
        }
    }

    fn wake_all(&mut self) {
        for entry in 0..self.routers.len() {
            for pool in self.routers[entry].waiting_pools() {
                self.wake(entry, &pool, 4);
            }
        }
    }

    fn expire_waiting(&mut self) {
        for entry in 0..self.routers.len() {
            for pool in self.routers[entry].waiting_pools() {
                let expired = self.routers[entry]
                    .queue(&pool)
                    .take_expired(point(self.now));
                for ticket in expired {
                    if let Some(request) = self.tickets.remove(&(entry, pool.clone(), ticket)) {
                        self.refuse(request);
                    }
                }
            }
        }
        self.wake_all();
    }

    fn refuse(&mut self, request: usize) {
        let state = &mut self.states[request];
        if !std::mem::replace(&mut state.is_over, true) {
            self.results[request].arm = None;
            self.results[request].ended_s = self.now;
            self.open -= 1;
        }
    }

    fn first_token(&mut self, request: usize, life: u64) {
        let state = &mut self.states[request];
        if state.life == life {
            state.first_ms = (self.now - state.started_s) * 1e3;
            state.first_seen = Some(self.now);
        }
    }

    fn finish(&mut self, request: usize, life: u64) {
        if self.states[request].life != life || self.states[request].is_over {
            return;
        }
        let Some((endpoint, choice, pool)) = self.states[request].choice.take() else {
            return;
        };
        if self.endpoints[endpoint].incarnation != life {
            return;
        }
        let drawn = &self.day.requests[request];
        let entry = drawn.entry;
        let first = self.states[request].first_ms;
        let seen = AttemptObservation {
            first_token: Some(Duration::from_secs_f64(first / 1e3)),
            total: Duration::from_secs_f64(self.now - self.states[request].started_s),
            failure: None,
        };
        self.routers[entry].finish_attempt(point(self.now), &pool, &choice, seen);
        self.endpoints[endpoint].end();
        if let Some(next) = self.endpoints[endpoint].queue.pop_front() {
            self.begin_at(endpoint, &next);
        }
        let version = self.step_version(request);
        self.book(request, &version);
        if !self.escalates(request, &version) {
            self.complete(request, &version);
        }
        self.wake(entry, &pool, 1);
    }

    fn book(&mut self, request: usize, version: &VersionId) {
        let drawn = &self.day.requests[request];
        let rule = &self.day.plan.versions[version];
        let cost = chestnutloft_core::pipe::cost_of(rule, drawn.input_tokens, drawn.output_tokens);
        let result = &mut self.results[request];
        result.cost += cost as f64;
        if let Some(times) = self.states[request].times {
            result.hit_share = times.hit_share;
        }
    }

    fn quality(&self, version: &VersionId, kind: usize) -> f64 {
        let usual = self.day.true_quality(version, kind);
        self.bad.get(version).map_or(usual, |bad| usual.min(*bad))
    }

    /// Whether a cascade's cheap answer is not confident enough; the strong step begins then.
    fn escalates(&mut self, request: usize, version: &VersionId) -> bool {
        let Some(RouteArm::Cascade { cheap, .. }) = self.states[request].arm.clone() else {
            return false;
        };
        if self.states[request].step > 0 {
            return false;
        }
        let drawn = &self.day.requests[request];
        let is_good = drawn.luck < self.quality(version, drawn.kind_number);
        let chance = if is_good {
            CONFIDENT_GOOD
        } else {
            CONFIDENT_POOR
        };
        let is_escalated = drawn.confidence >= chance;
        let entry = drawn.entry;
        self.routers[entry]
            .version_selector
            .record_cascade(&cheap, is_escalated);
        if is_escalated {
            self.states[request].step = 1;
            self.start_step(request, false);
        }
        is_escalated
    }

    fn complete(&mut self, request: usize, version: &VersionId) {
        let drawn = &self.day.requests[request];
        // The strong step of a cascade draws its luck anew: it is another answer.
        let luck = if self.states[request].step > 0 {
            drawn.confidence
        } else {
            drawn.luck
        };
        let luck = if self.states[request].step > 0 {
            (luck * 7.31).fract()
        } else {
            luck
        };
        let is_good = luck < self.quality(version, drawn.kind_number);
        let is_cascade = matches!(self.states[request].arm, Some(RouteArm::Cascade { .. }));
        let first_seen = self.states[request].first_seen.unwrap_or(self.now);
        // An accepted cheap answer reaches the caller only once it is whole.
        let shown = if is_cascade && self.states[request].step == 0 {
            self.now
        } else {
            first_seen
        };
        let result = &mut self.results[request];
        result.arm.clone_from(&self.states[request].arm);
        result.answered_by = Some(version.clone());
        result.first_ms = (shown - drawn.at_s) * 1e3;
        result.whole_ms = (self.now - drawn.at_s) * 1e3;
        result.ended_s = self.now;
        result.is_good = is_good;
        self.states[request].is_over = true;
        self.open -= 1;
        self.sample(request, version, is_good);
    }

    fn sample(&mut self, request: usize, version: &VersionId, is_good: bool) {
        let entry = self.day.requests[request].entry;
        let is_suspect = self.routers[entry].quality.is_suspect(version);
        let is_wanted = self.states[request].is_tried || is_suspect;
        let is_tried = is_wanted && self.settings.rating_share > 0.0;
        let is_drawn = is_tried || self.rng.random_range(0.0..1.0) < self.settings.rating_share;
        if !is_drawn || self.now < self.next_rating_s {
            return;
        }
        self.next_rating_s = self.now + 1.0 / self.settings.ratings_per_s;
        let drawn = &self.day.requests[request];
        let Some(arm) = self.states[request].arm.clone() else {
            return;
        };
        let rating = RatingRecord {
            workspace: drawn.workspace.clone(),
            kind: drawn.kind.clone(),
            arm,
            answered_by: version.clone(),
            is_good,
        };
        let delay = self.rng.random_range(5.0..30.0);
        self.schedule(self.now + delay, SimEvent::Rated(Box::new(rating)));
    }

    fn rate(&mut self, rating: RatingRecord) {
        let before = self.keeper.plan.quarantined.len();
        self.keeper.apply(&StampedCommand {
            stamp: point(self.now),
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

    /// Entries take the plan and the ratings over, as with a heartbeat.
    fn sync(&mut self) {
        for router in &mut self.routers {
            if router.plan.revision != self.keeper.plan.revision {
                router.plan = self.keeper.plan.without_history();
            }
            if router.quality.version() != self.keeper.quality.version() {
                router.quality = self.keeper.quality.clone();
            }
        }
    }

    fn report(&mut self, endpoint: usize) {
        let model = &mut self.endpoints[endpoint];
        if !model.is_up {
            return;
        }
        model.sequence += 1;
        let announcement = EndpointAnnouncement {
            endpoint: model.id.clone(),
            incarnation: model.incarnation,
            sequence: model.sequence,
            service: "svc".parse().expect("an id"),
            domain: model.domain.clone(),
            address: String::new(),
            versions: self
                .day
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
        let now = point(self.now);
        let id = model.id.clone();
        let cache_event = model.take_cache_event();
        // Cache events come late and with gaps.
        let is_lost = self.rng.random_range(0.0..1.0) < self.settings.lost_events;
        let is_open = self.is_open_without_credits(&id);
        for router in &mut self.routers {
            router.announce(now, announcement.clone());
            if !is_lost {
                router.apply_cache_event(&cache_event);
            }
            if is_open {
                let wallet = &mut router.usages.entry(&id).credits;
                let life = wallet.epoch();
                let grant = CreditGrant {
                    is_warm: true,
                    ..CreditGrant::default()
                };
                wallet.apply_grant(TimePoint::ZERO, life, grant);
            }
        }
    }

    fn is_open_without_credits(&self, id: &EndpointId) -> bool {
        let cold_for = self.cold_since.get(id).map(|since| self.now - since);
        match (self.settings.ramp, cold_for) {
            (RampPolicy::None, _) | (_, None) => true,
            (RampPolicy::TimeOnly(seconds), Some(passed)) => passed >= f64::from(seconds),
            (RampPolicy::Evidence, Some(_)) => false,
        }
    }

    fn exchange_credits(&mut self) {
        let now = point(self.now);
        for (number, router) in self.routers.iter_mut().enumerate() {
            let entry: EntryId = format!("entry-{number}").parse().expect("an id");
            let settings = router.settings.credit.clone();
            for (id, usage) in router.usages.iter_mut() {
                if !usage.credits.needs_report(now) {
                    continue;
                }
                let life = usage.credits.epoch();
                let report = usage.credits.report(now);
                let slots = self.settings.slots;
                let owner = self
                    .owners
                    .entry(id.clone())
                    .or_insert_with(|| CreditAllocator::new(&settings, life, slots, now));
                if life > owner.epoch() {
                    *owner = CreditAllocator::new(&settings, life, slots, now);
                }
                let busy = self.endpoints[self.by_id[id]].running;
                let grant = owner.grant(now, &entry, report, busy);
                usage.credits.apply_grant(now, life, grant);
            }
        }
        self.wake_all();
    }

    fn change(&mut self, change: PlanChange) {
        let submitted = SubmittedChange {
            operator: "bench".to_owned(),
            base: None,
            content: SubmittedContent::Change(change),
        };
        self.keeper.apply(&StampedCommand {
            stamp: point(self.now),
            command: KeeperCommand::Submit(Box::new(submitted)),
        });
    }

    fn day_event(&mut self, number: usize) {
        match self.settings.events[number].1.clone() {
            DayEvent::VersionTurnsBad(version, quality) => {
                self.bad.insert(version, quality);
            }
            DayEvent::Drain(domain) => self.change(PlanChange::DrainDomain(domain)),
            DayEvent::Return(domain) => {
                for endpoint in 0..self.endpoints.len() {
                    if self.endpoints[endpoint].domain == domain {
                        self.restart_cold(endpoint);
                    }
                }
                self.change(PlanChange::ReturnDomain(domain));
            }
            DayEvent::AllCold => {
                for endpoint in 0..self.endpoints.len() {
                    self.restart_cold(endpoint);
                }
            }
        }
    }

    /// Restarts an endpoint. What ran there is started anew elsewhere by its entry.
    fn restart_cold(&mut self, endpoint: usize) {
        let id = self.endpoints[endpoint].id.clone();
        self.endpoints[endpoint].restart_cold(self.settings.cold_answers);
        self.cold_since.insert(id, self.now);
        self.report(endpoint);
        let cut: Vec<usize> = (0..self.states.len())
            .filter(|r| {
                let choice = self.states[*r].choice.as_ref();
                choice.is_some_and(|(e, _, _)| *e == endpoint)
            })
            .collect();
        for request in cut {
            if let Some((_, choice, pool)) = self.states[request].choice.take() {
                let entry = self.day.requests[request].entry;
                let seen = AttemptObservation {
                    first_token: None,
                    total: Duration::from_secs_f64(self.now - self.states[request].started_s),
                    failure: Some(chestnutloft_core::pipe::AttemptFailure::Broken),
                };
                self.routers[entry].finish_attempt(point(self.now), &pool, &choice, seen);
            }
            self.states[request].life = u64::MAX;
            self.start_step(request, false);
        }
    }
}

/// Routers with the version policy `policy`.
pub fn with_version_policy(policy: VersionPolicy) -> RouterSettings {
    let mut router = RouterSettings::default();
    router.version.policy = policy;
    router
}
