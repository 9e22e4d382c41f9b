//! Load: a pool with more calls than it can take, while a third of it warms up. Entries, endpoints
//! that process one prompt after the other, and the exchange of evidence are simulated.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    EndpointProcess, LoadAggregator, LoadSummary, PoolWarmth, SlowStartControl, WarmupCause,
    WarmupEvent, WarmupRequest, WarmupStart, max_sound_delay,
};

use super::slow_start::{SLOTS, at, begin, limit, process};

const ENTRIES: usize = 8;
const ENDPOINTS: usize = 12;
const WARMING: usize = 4;
/// Usual time to process a prompt, in milliseconds.
const PROMPT_MS: u64 = 80;
/// Latency target, which an endpoint with more than five calls exceeds.
const TARGET: Duration = Duration::from_millis(400);

struct Running {
    entry: usize,
    sent_at: u64,
    ends_at: u64,
    expected: Duration,
}

struct Endpoint {
    id: Arc<str>,
    prompt_ms: u64,
    running: Vec<Running>,
    answers: usize,
    late: usize,
}

/// A pool each of whose entries always has a call that waits.
struct Pool {
    controls: Vec<SlowStartControl>,
    names: Vec<Arc<str>>,
    endpoints: Vec<Endpoint>,
    aggregator: LoadAggregator,
    falls: usize,
    millis: u64,
}

fn process_of(id: &str) -> EndpointProcess {
    EndpointProcess::new(id, 7)
}

impl Pool {
    /// The first endpoints of the pool warm up; they take `prompt_ms` for a prompt.
    fn new(warming: usize, prompt_ms: u64) -> Self {
        let names = (0..ENTRIES).map(|number| Arc::from(format!("entry-{number}")));
        let endpoint = |number: usize| Endpoint {
            id: Arc::from(format!("endpoint-{number}")),
            prompt_ms: if number < warming {
                prompt_ms
            } else {
                PROMPT_MS
            },
            running: Vec::new(),
            answers: 0,
            late: 0,
        };
        let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(endpoint).collect();
        let mut controls = vec![SlowStartControl::default(); ENTRIES];
        for control in &mut controls {
            for endpoint in &endpoints[..warming] {
                let start = WarmupStart {
                    id: &endpoint.id,
                    process: process_of(&endpoint.id),
                    slots: SLOTS,
                    cause: WarmupCause::Started,
                    resume_at: at(0),
                };
                control.begin(at(0), &start);
            }
        }
        Self {
            controls,
            names: names.collect(),
            endpoints,
            aggregator: LoadAggregator::default(),
            falls: 0,
            millis: 0,
        }
    }

    fn run(&mut self, end_ms: u64) {
        while self.millis < end_ms {
            self.millis += 1;
            self.finish_answered();
            for entry in 0..ENTRIES {
                if (self.millis + entry as u64).is_multiple_of(10) {
                    self.exchange(entry);
                }
                self.offer(entry);
            }
            for control in &mut self.controls {
                let changes = control.take_changes();
                let falls = changes
                    .iter()
                    .filter(|change| matches!(change.event, WarmupEvent::FellBack { .. }));
                self.falls += falls.count();
            }
        }
    }

    fn finish_answered(&mut self) {
        let now = self.millis;
        for endpoint in &mut self.endpoints {
            let ended = endpoint.running.extract_if(.., |call| call.ends_at <= now);
            for call in ended {
                let took = Duration::from_millis(now - call.sent_at);
                let is_sound = took <= max_sound_delay(TARGET, call.expected);
                endpoint.answers += 1;
                endpoint.late += usize::from(!is_sound);
                self.controls[call.entry].record(at(now), process_of(&endpoint.id), is_sound);
            }
        }
    }

    fn exchange(&mut self, entry: usize) {
        let now = at(self.millis);
        let load = LoadSummary {
            answers: self.controls[entry].answers(now),
            ..LoadSummary::default()
        };
        let sums = self.aggregator.exchange(now, &self.names[entry], load);
        self.controls[entry].merge(now, &sums.answers);
    }

    /// Sends a call of the entry to the endpoint with the fewest calls, if one has a place for it.
    fn offer(&mut self, entry: usize) {
        let now = at(self.millis);
        let own = |endpoint: &Endpoint| {
            let calls = endpoint.running.iter();
            calls.filter(|call| call.entry == entry).count()
        };
        let endpoints = &self.endpoints;
        self.controls[entry].sweep(now, &|id| {
            let endpoint = endpoints.iter().find(|endpoint| *endpoint.id == *id);
            endpoint.map_or(0, own)
        });
        let control = &self.controls[entry];
        let service: Arc<str> = Arc::from("llm");
        let warmth = PoolWarmth {
            warming: control.warming_count(),
            total: ENDPOINTS,
        };
        let may_send = |endpoint: &&mut Endpoint| {
            let request = WarmupRequest {
                endpoint: process_of(&endpoint.id).endpoint,
                service: &service,
                own: &self.names[entry],
                entries: &self.names,
                own_calls: own(endpoint),
                warmth,
            };
            endpoint.running.len() < SLOTS as usize && control.may_send(now, &request)
        };
        let chosen = self.endpoints.iter_mut().filter(may_send);
        let Some(endpoint) = chosen.min_by_key(|endpoint| endpoint.running.len()) else {
            return;
        };
        let expected = Duration::from_millis((endpoint.running.len() as u64 + 1) * PROMPT_MS);
        let begins_at = endpoint.running.last().map_or(0, |last| last.ends_at);
        endpoint.running.push(Running {
            entry,
            sent_at: self.millis,
            ends_at: begins_at.max(self.millis) + endpoint.prompt_ms,
            expected,
        });
        let hash = process_of(&endpoint.id).endpoint;
        self.controls[entry].record_call(now, hash, &service, expected);
    }
}

/// Guards against a shortage that gets worse: answers of healthy endpoints exceed the latency target
/// since all places are taken, and a warm-up that counts them as bad withdraws places again and again.
#[test]
fn endpoints_that_warm_up_in_an_overloaded_pool_get_their_full_share() {
    let mut pool = Pool::new(WARMING, PROMPT_MS);

    pool.run(8_000);

    let possible = ENDPOINTS * 8_000 / PROMPT_MS as usize;
    let answers: usize = pool.endpoints.iter().map(|endpoint| endpoint.answers).sum();
    let warming = pool.controls.iter().map(SlowStartControl::warming_count);
    assert_eq!(pool.falls, 0);
    assert_eq!(warming.sum::<usize>(), 0);
    assert!(answers * 100 >= possible * 95, "{answers} of {possible}");
}

/// Guards against a tolerance for late answers that hides an unhealthy endpoint of an overloaded pool.
#[test]
fn unhealthy_endpoint_in_an_overloaded_pool_is_found_out_by_single_probes() {
    let mut pool = Pool::new(1, PROMPT_MS * 10);

    pool.run(5_000);

    let unhealthy = &pool.endpoints[0];
    assert!(unhealthy.late <= 3, "{} calls are late", unhealthy.late);
    assert_eq!(unhealthy.answers, unhealthy.late);
    let warming = pool.controls.iter().map(SlowStartControl::warming_count);
    assert_eq!(warming.sum::<usize>(), ENTRIES);
}

/// Guards against a probe that counts as bad while its long prompt is still being processed.
#[test]
fn probe_with_a_long_prompt_is_late_only_after_twice_its_expected_delay() {
    let mut control = SlowStartControl::default();
    begin(&mut control, at(0), WarmupCause::Started);
    let expected = Duration::from_millis(1_500);

    control.record_call(at(0), process().endpoint, &Arc::from("llm"), expected);
    control.sweep(at(2_900), &|_| 1);
    let before = limit(&control, at(2_900));
    control.sweep(at(3_000), &|_| 1);

    assert_eq!(before, Some(1));
    assert_eq!(limit(&control, at(3_000)), Some(0));
}

/// Guards against a full endpoint that loses all places but one, and against a burst of rejections that
/// counts several times.
#[test]
fn rejections_for_lack_of_room_halve_the_limit_once() {
    let mut control = SlowStartControl::default();
    begin(&mut control, at(0), WarmupCause::Started);
    for millis in 1..8 {
        control.record(at(millis), process(), true);
    }

    let before = limit(&control, at(10));
    for millis in 10..15 {
        control.record_rejection(at(millis), process());
    }
    let after_burst = limit(&control, at(15));
    control.record_rejection(at(115), process());

    assert_eq!(before, Some(8));
    assert_eq!(after_burst, Some(4));
    assert_eq!(limit(&control, at(115)), Some(2));
}

/// Guards against rejections that the other entries do not learn of.
#[test]
fn rejections_at_one_entry_halve_the_limit_of_the_others() {
    let mut aggregator = LoadAggregator::default();
    let mut controls = vec![SlowStartControl::default(); 2];
    for control in &mut controls {
        begin(control, at(0), WarmupCause::Started);
    }
    for millis in 1..8 {
        controls[0].record(at(millis), process(), true);
    }
    let mut exchange = |control: &mut SlowStartControl, millis, entry: &str| {
        let load = LoadSummary {
            answers: control.answers(at(millis)),
            ..LoadSummary::default()
        };
        let sums = aggregator.exchange(at(millis), &Arc::from(entry), load);
        control.merge(at(millis), &sums.answers);
    };

    exchange(&mut controls[0], 10, "a");
    exchange(&mut controls[1], 11, "b");
    let before = limit(&controls[1], at(11));
    controls[0].record_rejection(at(12), process());
    exchange(&mut controls[0], 13, "a");
    exchange(&mut controls[1], 14, "b");

    assert_eq!(before, Some(8));
    assert_eq!(limit(&controls[1], at(14)), Some(4));
}

/// Guards against full endpoints of a pool in which many warm up that are left with single probes.
#[test]
fn rejections_do_not_end_the_raised_limit_of_a_crowded_pool() {
    let mut control = SlowStartControl::default();
    begin(&mut control, at(0), WarmupCause::Started);
    let warmth = PoolWarmth {
        warming: 9,
        total: 12,
    };
    let before = control.limit(at(0), process().endpoint, warmth);

    for second in 0..4 {
        control.record_rejection(at(second * 10_000), process());
    }

    assert_eq!(before, Some(8));
    assert_eq!(
        control.limit(at(30_250), process().endpoint, warmth),
        Some(8)
    );
}

/// Guards against an endpoint that takes no call at all and is asked again and again.
#[test]
fn endpoint_that_rejects_single_probes_is_paused_as_after_a_bad_answer() {
    let mut control = SlowStartControl::default();
    begin(&mut control, at(0), WarmupCause::Started);

    let mut rejected = 0;
    for millis in 0..5_000 {
        control.sweep(at(millis), &|_| 0);
        if limit(&control, at(millis)).is_none_or(|limit| limit > 0) {
            control.record_rejection(at(millis), process());
            rejected += 1;
        }
    }

    assert!(rejected <= 3, "{rejected} calls are rejected");
    assert_eq!(control.warming_count(), 1);
}
