//! Load: an endpoint that comes back, cold or unhealthy, while many entries have calls for it. All
//! entries and the exchange of their evidence are simulated.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    LoadAggregator, LoadSummary, SlowStartControl, WarmupCause, WarmupEvent, WarmupRequest,
};

use super::slow_start::{ONE_OF_MANY, SLOTS, at, begin, hash, limit, process};

/// Answer of the endpoint to a call: its delay in ms, and whether it is sound.
type Answer = (u64, bool);

struct Entry {
    name: Arc<str>,
    control: SlowStartControl,
    in_flight: usize,
    is_lost: bool,
}

/// Entries that all have calls for one endpoint, which has just started.
struct Fleet {
    entries: Vec<Entry>,
    names: Vec<Arc<str>>,
    aggregator: LoadAggregator,
    /// Calls in flight: when the answer begins, number of the entry, whether it is sound.
    running: Vec<(u64, usize, bool)>,
    /// When calls were sent whose answer was bad.
    lost: Vec<u64>,
    sent: Vec<u64>,
    max_running: usize,
    millis: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let names = (0..count).map(|number| Arc::from(format!("entry-{number}")));
        let names: Vec<Arc<str>> = names.collect();
        let entry = |name: &Arc<str>| {
            let mut control = SlowStartControl::default();
            begin(&mut control, at(0), WarmupCause::Started);
            Entry {
                name: Arc::clone(name),
                control,
                in_flight: 0,
                is_lost: false,
            }
        };
        Self {
            entries: names.iter().map(entry).collect(),
            names,
            aggregator: LoadAggregator::default(),
            running: Vec::new(),
            lost: Vec::new(),
            sent: Vec::new(),
            max_running: 0,
            millis: 0,
        }
    }

    /// Runs until `end_ms`. Each entry has a call every `interval_ms`, and exchanges its evidence
    /// every 10 ms.
    fn run(&mut self, end_ms: u64, interval_ms: u64, answer: impl Fn(u64) -> Answer) {
        while self.millis < end_ms {
            self.millis += 1;
            self.finish_answered();
            for number in 0..self.entries.len() {
                if self.entries[number].is_lost {
                    continue;
                }
                let phase = self.millis + number as u64 * 7;
                if phase.is_multiple_of(10) {
                    self.exchange(number);
                }
                if phase.is_multiple_of(interval_ms) {
                    self.offer(number, &answer);
                }
            }
        }
    }

    fn finish_answered(&mut self) {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|(ends_at, ..)| *ends_at <= self.millis);
        self.running = running;
        for (_, number, is_sound) in ended {
            let entry = &mut self.entries[number];
            entry.in_flight -= 1;
            entry.control.record(at(self.millis), process(), is_sound);
        }
    }

    fn exchange(&mut self, number: usize) {
        let now = at(self.millis);
        let entry = &mut self.entries[number];
        let load = LoadSummary {
            answers: entry.control.answers(now),
            ..LoadSummary::default()
        };
        let sums = self.aggregator.exchange(now, &entry.name, load);
        entry.control.merge(now, &sums.answers);
    }

    fn offer(&mut self, number: usize, answer: &impl Fn(u64) -> Answer) {
        let now = at(self.millis);
        let entry = &mut self.entries[number];
        let in_flight = entry.in_flight;
        entry.control.sweep(now, &|_| in_flight);
        let service: Arc<str> = Arc::from("llm");
        let request = WarmupRequest {
            endpoint: hash(),
            service: &service,
            own: &entry.name,
            entries: &self.names,
            own_calls: in_flight,
            warmth: ONE_OF_MANY,
        };
        let is_free = self.running.len() < SLOTS as usize;
        if !is_free || !entry.control.may_send(now, &request) {
            // The call goes to another endpoint.
            entry.control.record_call(now, 0, &service, Duration::ZERO);
            return;
        }
        entry
            .control
            .record_call(now, hash(), &service, Duration::ZERO);
        entry.in_flight += 1;
        let (delay, is_sound) = answer(self.millis);
        self.sent.push(self.millis);
        if !is_sound {
            self.lost.push(self.millis);
        }
        self.running.push((self.millis + delay, number, is_sound));
        self.max_running = self.max_running.max(self.running.len());
    }

    fn warming(&self) -> usize {
        let live = self.entries.iter().filter(|entry| !entry.is_lost);
        live.filter(|entry| entry.control.warming_count() > 0)
            .count()
    }
}

/// Guards against a warm-up that holds back a healthy endpoint, and against one that gives it all its
/// calls at once.
#[test]
fn healthy_endpoint_with_traffic_doubles_its_calls_up_to_its_full_share() {
    let mut fleet = Fleet::new(72);

    fleet.run(150, 100, |_| (100, true));
    let early = fleet.max_running;
    fleet.run(1_000, 100, |_| (100, true));

    assert!(early <= 2, "{early} calls at once before the second round");
    assert_eq!(fleet.warming(), 0);
    assert_eq!(fleet.max_running, SLOTS as usize);
}

/// Guards against growth by time alone, which overloads an endpoint whose answers take long.
#[test]
fn endpoint_with_long_answers_grows_by_rounds_and_is_full_after_three_seconds() {
    let mut fleet = Fleet::new(72);

    fleet.run(2_000, 100, |_| (900, true));
    let after_two_rounds = fleet.max_running;
    fleet.run(3_200, 100, |_| (900, true));

    assert!(after_two_rounds <= 4, "{after_two_rounds} calls at once");
    assert_eq!(fleet.warming(), 0);
}

/// Guards against an unhealthy endpoint to which each entry sends calls until it has its own failures.
#[test]
fn unhealthy_endpoint_takes_no_more_than_three_calls_down() {
    for delay in [1, 40, 700] {
        let mut fleet = Fleet::new(72);

        fleet.run(5_000, 50, |_| (delay, false));

        assert!(fleet.lost.len() <= 3, "{delay} ms: {:?}", fleet.lost);
        assert_eq!(fleet.warming(), 72);
    }
}

/// Guards against an endpoint that accepts calls and never answers counting as idle.
#[test]
fn endpoint_that_never_answers_gets_no_more_than_three_calls() {
    let mut fleet = Fleet::new(72);

    fleet.run(3_900, 50, |_| (60_000, true));

    assert!(fleet.sent.len() <= 3, "calls sent at {:?}", fleet.sent);
}

/// Guards against trust that an early good phase has earned. Calls in flight at the first bad answer
/// are lost; the limit bounds them.
#[test]
fn endpoint_that_looks_well_until_its_third_second_falls_back_to_single_probes() {
    let mut fleet = Fleet::new(72);

    fleet.run(9_000, 50, |millis| (600, millis < 1_500));

    let first_loss = fleet.lost[0] + 600;
    let later = fleet.lost.iter().filter(|sent| **sent > first_loss + 20);
    let in_flight = fleet.lost.iter().filter(|sent| **sent <= first_loss + 20);
    assert!(in_flight.count() <= 8, "lost: {:?}", fleet.lost);
    assert!(later.count() <= 3, "lost: {:?}", fleet.lost);
    assert_eq!(fleet.warming(), 72);
}

/// Guards against an endpoint that stays at the floor after it has recovered.
#[test]
fn endpoint_that_recovers_is_full_again() {
    let mut fleet = Fleet::new(72);

    fleet.run(1_000, 50, |_| (50, false));
    fleet.run(5_000, 50, |_| (50, true));

    assert_eq!(fleet.warming(), 0);
}

/// Guards against an endpoint without calls that stays limited, and against a limit that lasts because
/// few answers come.
#[test]
fn endpoint_with_little_or_no_traffic_is_full_after_three_seconds() {
    let mut idle = SlowStartControl::default();
    begin(&mut idle, at(0), WarmupCause::Ejected);
    let mut fleet = Fleet::new(3);

    idle.sweep(at(2_990), &|_| 0);
    let before = limit(&idle, at(2_990));
    idle.sweep(at(3_000), &|_| 0);
    fleet.run(4_000, 1_000, |_| (200, true));

    assert_eq!(before, Some(1));
    assert_eq!(limit(&idle, at(3_000)), None);
    assert_eq!(fleet.warming(), 0);
}

/// Guards against a warm-up that starts over, or stops, with the entry that sent the first calls.
#[test]
fn warm_up_goes_on_after_the_entry_with_most_evidence_is_lost() {
    let mut fleet = Fleet::new(8);
    fleet.run(250, 20, |_| (60, true));
    let before = limit(&fleet.entries[0].control, at(250)).expect("a limit");
    let with_most = fleet.entries.iter_mut();
    let lost = with_most.max_by_key(|entry| {
        entry
            .control
            .answers(at(250))
            .first()
            .map_or(0, |c| c.sound)
    });

    lost.expect("an entry").is_lost = true;
    fleet.aggregator = LoadAggregator::default();
    fleet.run(270, 20, |_| (60, true));
    let after = fleet.entries.iter().filter(|entry| !entry.is_lost);
    let lowest = after
        .filter_map(|entry| limit(&entry.control, at(270)))
        .min();
    fleet.run(1_500, 20, |_| (60, true));

    assert!(
        lowest.is_none_or(|lowest| lowest >= before),
        "{lowest:?}, {before}"
    );
    assert_eq!(fleet.warming(), 0);
}

/// Guards against a log line for the operator from each entry for each step of a warm-up: 72 entries
/// take the same steps, and one of them has the answer that caused it.
#[test]
fn a_step_is_attributed_to_the_entry_whose_answer_caused_it() {
    let mut fleet = Fleet::new(72);
    fleet.run(1_000, 50, |_| (50, false));
    fleet.run(6_000, 50, |_| (50, true));

    let changes = fleet.entries.iter_mut();
    let changes: Vec<_> = changes
        .flat_map(|entry| entry.control.take_changes())
        .collect();
    let count = |is_step: fn(&WarmupEvent) -> bool, is_own| {
        let steps = changes.iter().filter(|change| is_step(&change.event));
        steps.filter(|change| change.is_own == is_own).count()
    };
    let is_setback = |event: &WarmupEvent| matches!(event, WarmupEvent::FellBack { .. });
    let is_done = |event: &WarmupEvent| matches!(event, WarmupEvent::Full(_));

    assert_eq!(count(is_setback, true), fleet.lost.len());
    assert_eq!(count(is_setback, false), 71 * fleet.lost.len());
    assert_eq!(count(is_done, true) + count(is_done, false), 72);
    let own_full = count(is_done, true);
    assert!((1..=6).contains(&own_full), "{own_full} entries");
}
