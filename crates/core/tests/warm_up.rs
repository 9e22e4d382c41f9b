//! Warm-up of cold endpoints beside warm ones that could serve the whole load: a share of the
//! requests goes to the cold endpoints, spread over them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use chestnutloft_core::ids::{EndpointId, EntryId};
use chestnutloft_core::pipe::{
    AttemptHistory, AttemptObservation, EndpointChoice, RouterSettings, RouterState,
};
use chestnutloft_core::state::{
    CreditAllocator, CreditGrant, CreditSettings, EndpointAnnouncement, EndpointLoad, PoolKey,
};
use chestnutloft_core::time::TimePoint;

const SLOTS: u32 = 8;
const CONCURRENCY: usize = 6;
const FIRST_TOKEN: Duration = Duration::from_millis(4);
const ANSWER: Duration = Duration::from_millis(40);
const REPORT_INTERVAL_MS: u64 = 50;
const ANNOUNCE_INTERVAL_MS: u64 = 150;

/// An entry and the endpoints of one service.
struct Simulation {
    router: RouterState,
    entry: EntryId,
    pool: PoolKey,
    announcements: Vec<EndpointAnnouncement>,
    allocators: HashMap<EndpointId, CreditAllocator>,
    running: Vec<(TimePoint, EndpointChoice)>,
    started: BTreeMap<EndpointId, u32>,
    now: TimePoint,
}

fn announcement(number: usize, temperature: &str) -> EndpointAnnouncement {
    EndpointAnnouncement {
        endpoint: format!("{temperature}-{number}").parse().expect("an id"),
        incarnation: 1,
        sequence: 0,
        service: "assistant-llm".parse().expect("an id"),
        domain: "obihiro".parse().expect("an id"),
        address: format!("127.0.0.1:{}", 9_000 + number),
        versions: ["swift@4".parse().expect("a version")].into(),
        slots: SLOTS,
        is_leaving: false,
        load: EndpointLoad::default(),
    }
}

impl Simulation {
    /// Announces `warm` warm endpoints and `cold` cold ones.
    fn new(warm: usize, cold: usize, seed: u64) -> Self {
        let mut simulation = Self {
            router: RouterState::new(RouterSettings::default(), None, seed),
            entry: "e1".parse().expect("an id"),
            pool: PoolKey::Version("swift@4".parse().expect("a version")),
            announcements: Vec::new(),
            allocators: HashMap::new(),
            running: Vec::new(),
            started: BTreeMap::new(),
            now: TimePoint::from_secs(10),
        };
        let names = (0..warm).map(|_| "warm").chain((0..cold).map(|_| "cold"));
        for (number, temperature) in names.enumerate() {
            let announcement = announcement(number, temperature);
            let id = announcement.endpoint.clone();
            simulation.announcements.push(announcement);
            simulation.started.insert(id.clone(), 0);
            simulation.announce();
            let credits = &mut simulation.router.usages.entry(&id).credits;
            let grant = CreditGrant {
                is_warm: temperature == "warm",
                ..CreditGrant::default()
            };
            credits.apply_grant(TimePoint::ZERO, credits.epoch(), grant);
        }
        simulation
    }

    fn announce(&mut self) {
        for announcement in &mut self.announcements {
            announcement.sequence += 1;
            let is_there =
                |(_, choice): &&(_, EndpointChoice)| choice.endpoint == announcement.endpoint;
            announcement.load.running = self.running.iter().filter(is_there).count() as u32;
            self.router.announce(self.now, announcement.clone());
        }
    }

    fn exchange_credits(&mut self) {
        let settings = CreditSettings::default();
        let reported: HashMap<EndpointId, u32> = self
            .announcements
            .iter()
            .map(|announcement| (announcement.endpoint.clone(), announcement.load.running))
            .collect();
        for (endpoint, usage) in self.router.usages.iter_mut() {
            if !usage.credits.needs_report(self.now) {
                continue;
            }
            let epoch = usage.credits.epoch();
            let report = usage.credits.report(self.now);
            let allocator = self
                .allocators
                .entry(endpoint.clone())
                .or_insert_with(|| CreditAllocator::new(&settings, epoch, SLOTS, self.now));
            let grant = allocator.grant(self.now, &self.entry, report, reported[endpoint]);
            usage.credits.apply_grant(self.now, epoch, grant);
        }
    }

    fn finish_ended(&mut self) {
        let now = self.now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|(ends_at, _)| *ends_at <= now);
        self.running = running;
        for (_, choice) in ended {
            let observed = AttemptObservation {
                first_token: Some(FIRST_TOKEN),
                total: ANSWER,
                failure: None,
            };
            self.router
                .finish_attempt(now, &self.pool, &choice, observed);
        }
    }

    /// Sends `count` requests, [`CONCURRENCY`] at a time.
    fn serve(&mut self, count: usize) {
        let mut sent = 0;
        while sent < count {
            self.now = self.now + Duration::from_millis(1);
            self.finish_ended();
            if self.now.as_millis().is_multiple_of(ANNOUNCE_INTERVAL_MS) {
                self.announce();
            }
            if self.now.as_millis().is_multiple_of(REPORT_INTERVAL_MS) {
                self.exchange_credits();
            }
            while self.running.len() < CONCURRENCY && sent < count {
                let mut history = AttemptHistory::default();
                let choice = self
                    .router
                    .start_attempt(self.now, self.now, &self.pool, 20, &[], &mut history)
                    .expect("a warm endpoint has a free slot");
                *self.started.entry(choice.endpoint.clone()).or_default() += 1;
                self.running.push((self.now + ANSWER, choice));
                sent += 1;
            }
        }
    }

    fn started_at_cold(&self) -> Vec<u32> {
        self.started
            .iter()
            .filter(|(id, _)| id.as_str().starts_with("cold"))
            .map(|(_, started)| *started)
            .collect()
    }
}

#[test]
fn cold_endpoints_are_not_left_without_requests_while_warm_ones_have_free_slots() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(2, 4, seed);

        simulation.serve(1_200);

        // A tenth of the requests is meant for cold endpoints: 30 each. Fewer than 5 have a chance
        // below 1e-7.
        let started = simulation.started_at_cold();
        assert!(
            started.iter().all(|started| *started >= 5),
            "seed {seed}: requests at cold endpoints {started:?}"
        );
    }
}
