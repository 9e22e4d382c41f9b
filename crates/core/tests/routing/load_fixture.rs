//! Endpoints and entries that play a load against the decisions of entries where capacity is managed.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use chestnutloft_core::admission::ClassReserve;
use chestnutloft_core::routing::{
    CapacityClaim, CapacityLedger, DemandShare, EndpointCapacity, EntryDemand, LoadAggregator,
    LoadSummary, PaceReading, PaceReadings, QueueDelayEstimator, RoomShare, SpeedMeans,
    SpeedSample, TimedCandidate, TimedPlacementSettings, TimedRequest, UsageSum, endpoint_hash,
    select_by_time, speed_sample,
};
use chestnutloft_core::time::TimePoint;

const STEP_MS: u64 = 5;
/// Age from which an entry exchanges before a choice, as in the entry's load exchange.
const MAX_LOAD_AGE_MS: u64 = 15;
/// Time after which an entry reports a change, as in the entry's load exchange.
const BATCH_MS: u64 = 8;
/// Time for which a machine keeps its pace.
const NOISE_MS: f64 = 600.0;

pub fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Time to process the prompt at the usual pace.
    pub work_ms: f64,
    /// Time from the first event to the end at the usual pace.
    pub decode_ms: f64,
    pub tokens: f64,
}

pub fn call(work_ms: f64, decode_ms: f64) -> Call {
    Call {
        work_ms,
        decode_ms,
        tokens: 2_000.0,
    }
}

#[derive(Clone, Debug)]
pub struct PoolSettings {
    pub slots: usize,
    /// Tokens that fit into an endpoint's memory.
    pub tokens: f64,
    pub placement: TimedPlacementSettings,
    /// Whether entries use what they know of the endpoints' pace.
    pub uses_pace: bool,
    /// Whether 15% of the endpoints are 2.5 times slower at any moment.
    pub is_noisy: bool,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            slots: 12,
            tokens: 400_567.0,
            placement: TimedPlacementSettings::default(),
            uses_pace: true,
            is_noisy: false,
        }
    }
}

impl PoolSettings {
    /// Calls that an endpoint may hold: those that run, and an eighth of the slots that waits.
    pub fn places(&self) -> usize {
        ClassReserve::default().places(self.slots as f64) as usize
    }

    fn room_for(&self, usage: UsageSum, claim: CapacityClaim) -> f64 {
        let capacity = EndpointCapacity {
            places: ClassReserve::default().places(self.slots as f64),
            large_places: f64::INFINITY,
            tokens: self.tokens,
        };
        capacity.room_among_entries(usage, claim)
    }
}

struct Run {
    entry: usize,
    call: Call,
    arrived_ms: u64,
    sent_ms: u64,
    /// Usual time to the first event that the entry expected.
    expected_ms: f64,
    pace: f64,
    first_event_ms: f64,
    ends_ms: f64,
    has_begun: bool,
}

pub struct Endpoint {
    pub id: Arc<str>,
    pub domain: usize,
    /// Time that work usually takes here, as a multiple of that of the pool.
    pub speed: f64,
    pub arrivals: usize,
    pub peak_calls: usize,
    pub peak_tokens: f64,
    busy_until_ms: f64,
    runs: Vec<Run>,
}

impl Endpoint {
    pub fn calls(&self) -> usize {
        self.runs.len()
    }

    /// Time that work takes here now, as a multiple of its usual time.
    fn noise(&self, settings: &PoolSettings, now_ms: f64) -> f64 {
        let span = (now_ms / NOISE_MS) as u64;
        let seed = u64::from(endpoint_hash(&self.id)) ^ span.wrapping_mul(0x9e37_79b9);
        let is_slow = settings.is_noisy && Pcg64::seed_from_u64(seed).random_bool(0.15);
        if is_slow { 2.5 } else { 1.0 }
    }

    /// When a new call begins: after the prompts ahead of it, and in a free slot.
    fn start_ms(&self, now_ms: f64, slots: usize) -> f64 {
        let mut ends: Vec<f64> = self.runs.iter().map(|run| run.ends_ms).collect();
        ends.sort_by(f64::total_cmp);
        let ahead = ends.len().checked_sub(slots).map_or(0.0, |last| ends[last]);
        now_ms.max(self.busy_until_ms).max(ahead)
    }
}

#[derive(Default)]
pub struct Entry {
    name: Arc<str>,
    pub domain: usize,
    /// Time between its exchanges; `None` if it exchanges as choices and changes need it.
    pub interval_ms: Option<u64>,
    pub is_killed: bool,
    pub waiting: VecDeque<(u64, Call)>,
    ledger: CapacityLedger,
    room_share: RoomShare,
    peer_demand: EntryDemand,
    delays: QueueDelayEstimator,
    paces: PaceReadings,
    speeds: SpeedMeans,
    readings: Vec<(TimePoint, PaceReading)>,
    samples: Vec<SpeedSample>,
    exchanged_ms: Option<u64>,
    changed_ms: Option<u64>,
}

impl Entry {
    fn is_exchange_due(&self, now_ms: u64) -> bool {
        let age_ms = self
            .exchanged_ms
            .map_or(u64::MAX, |last_ms| now_ms - last_ms);
        if let Some(interval_ms) = self.interval_ms {
            return age_ms >= interval_ms;
        }
        let is_changed = self.changed_ms.is_some_and(|ms| now_ms - ms >= BATCH_MS);
        is_changed || (!self.waiting.is_empty() && age_ms >= MAX_LOAD_AGE_MS)
    }

    fn exchange(&mut self, now_ms: u64, aggregator: &mut LoadAggregator) {
        let now = at(now_ms);
        let aged = |(taken_at, reading): (TimePoint, PaceReading)| PaceReading {
            age_ms: now.millis_since(taken_at) as u32,
            ..reading
        };
        let readings = std::mem::take(&mut self.readings);
        let report = LoadSummary {
            work: self.delays.waiting_work(),
            usage: self.ledger.report(),
            waiting_calls: self.waiting.len() as u32,
            starts_per_s: self.room_share.starts_per_s(at(now_ms)).round() as u32,
            paces: readings.into_iter().map(aged).collect(),
            speeds: std::mem::take(&mut self.samples),
            ..LoadSummary::default()
        };
        let reply = aggregator.exchange(now, &self.name, report);
        self.delays.set_peer_work(now, &reply.work);
        self.ledger.set_peers(now, &reply.usage);
        self.paces.merge(now, &reply.paces);
        self.speeds.set(&reply.speeds);
        self.peer_demand = EntryDemand {
            waiting: f64::from(reply.waiting_calls),
            starts_per_s: f64::from(reply.starts_per_s),
        };
        self.room_share.renew(now);
        self.exchanged_ms = Some(now_ms);
        self.changed_ms = None;
    }

    fn demand(&self, now_ms: u64) -> DemandShare {
        DemandShare {
            own: EntryDemand {
                waiting: self.waiting.len() as f64,
                starts_per_s: self.room_share.starts_per_s(at(now_ms)),
            },
            peers: self.peer_demand,
        }
    }

    /// Calls of all entries at `endpoint`, as this entry knows them.
    pub fn known_calls(&self, now_ms: u64, endpoint: &Endpoint) -> f64 {
        let hash = endpoint_hash(&endpoint.id);
        self.ledger.usage(at(now_ms), hash).calls
    }
}

/// What a caller received.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub arrived_ms: u64,
    pub tokens: f64,
    pub is_remote: bool,
    /// Time from the arrival to the first event.
    pub delay_ms: f64,
}

pub struct LoadPlay {
    pub settings: PoolSettings,
    pub endpoints: Vec<Endpoint>,
    pub entries: Vec<Entry>,
    pub aggregator: Option<LoadAggregator>,
    pub answers: Vec<Answer>,
    /// Calls that were at an endpoint whose memory was exceeded, which ends it.
    pub lost_calls: usize,
    pub now_ms: u64,
    call_count: u64,
}

impl LoadPlay {
    pub fn new(settings: PoolSettings, endpoints: usize, entries: usize) -> Self {
        let endpoint = |number: usize| Endpoint {
            id: Arc::from(format!("endpoint-{number}")),
            domain: 0,
            speed: 1.0,
            arrivals: 0,
            peak_calls: 0,
            peak_tokens: 0.0,
            busy_until_ms: 0.0,
            runs: Vec::new(),
        };
        let entry = |number: usize| Entry {
            name: Arc::from(format!("entry-{number}")),
            room_share: RoomShare::new(&format!("entry-{number}")),
            ..Entry::default()
        };
        Self {
            settings,
            endpoints: (0..endpoints).map(endpoint).collect(),
            entries: (0..entries).map(entry).collect(),
            aggregator: Some(LoadAggregator::default()),
            answers: Vec::new(),
            lost_calls: 0,
            now_ms: 0,
            call_count: 0,
        }
    }

    /// Plays until `end_ms`. `arrivals` returns the calls of a step with their entries.
    pub fn run(&mut self, end_ms: u64, mut arrivals: impl FnMut(u64) -> Vec<(usize, Call)>) {
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.advance_runs();
            for (entry, call) in arrivals(self.now_ms) {
                self.entries[entry].waiting.push_back((self.now_ms, call));
            }
            let count = self.entries.len();
            for turn in 0..count {
                // No entry is always the first to see a free place.
                let entry = (turn + (self.now_ms / STEP_MS) as usize * 7) % count;
                if self.entries[entry].is_killed {
                    continue;
                }
                self.exchange_if_due(entry);
                while self.send_first_waiting(entry) {}
            }
        }
    }

    /// Ends the process of `entry`: its runs end with its connections.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].is_killed = true;
        for endpoint in &mut self.endpoints {
            endpoint.runs.retain(|run| run.entry != entry);
        }
    }

    /// Lets all entries exchange while no call begins or ends.
    pub fn exchange_all(&mut self) {
        if let Some(aggregator) = &mut self.aggregator {
            for entry in &mut self.entries {
                entry.exchange(self.now_ms, aggregator);
            }
        }
    }

    fn exchange_if_due(&mut self, entry: usize) {
        let entry = &mut self.entries[entry];
        if let Some(aggregator) = &mut self.aggregator
            && entry.is_exchange_due(self.now_ms)
        {
            entry.exchange(self.now_ms, aggregator);
        }
    }

    fn advance_runs(&mut self) {
        let now = at(self.now_ms);
        for endpoint in &mut self.endpoints {
            let hash = endpoint_hash(&endpoint.id);
            let percent = (endpoint.noise(&self.settings, self.now_ms as f64) * 100.0) as u32;
            for run in &mut endpoint.runs {
                let entry = &mut self.entries[run.entry];
                if !run.has_begun && run.first_event_ms <= self.now_ms as f64 {
                    run.has_begun = true;
                    let took_ms = run.first_event_ms - run.sent_ms as f64;
                    let usual = Duration::from_secs_f64(took_ms / run.pace / 1_000.0);
                    entry.delays.remove_pending(&endpoint.id, run.call.work_ms);
                    entry
                        .delays
                        .record_delay(now, &endpoint.id, run.call.work_ms, usual);
                    let expected_ms = run.expected_ms * entry.paces.factor(now, hash);
                    let sample = speed_sample(hash, took_ms, expected_ms);
                    entry.samples.push(sample);
                    let reading = PaceReading {
                        endpoint: hash,
                        percent,
                        age_ms: 0,
                    };
                    entry.paces.record(now, hash, percent);
                    entry.readings.push((now, reading));
                    entry.changed_ms.get_or_insert(self.now_ms);
                    self.answers.push(Answer {
                        arrived_ms: run.arrived_ms,
                        tokens: run.call.tokens,
                        is_remote: entry.domain != endpoint.domain,
                        delay_ms: run.first_event_ms - run.arrived_ms as f64,
                    });
                }
                if run.ends_ms <= self.now_ms as f64 {
                    entry.ledger.release(hash, claim(run.call));
                    entry.changed_ms.get_or_insert(self.now_ms);
                }
            }
            endpoint.runs.retain(|run| run.ends_ms > self.now_ms as f64);
        }
    }

    /// Sends the first waiting call of `entry`. Returns whether there was one with a place.
    fn send_first_waiting(&mut self, number: usize) -> bool {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        let Some((arrived_ms, call)) = entry.waiting.front().copied() else {
            return false;
        };
        let chosen = choose(
            &self.settings,
            entry,
            &self.endpoints,
            now_ms,
            call,
            self.call_count,
        );
        let Some((index, wait_ms, pace)) = chosen else {
            return false;
        };
        entry.waiting.pop_front();
        self.call_count += 1;
        let endpoint = &mut self.endpoints[index];
        entry.ledger.claim(endpoint_hash(&endpoint.id), claim(call));
        entry.room_share.record_start(at(now_ms));
        entry.delays.add_pending(&endpoint.id, call.work_ms);
        entry.changed_ms.get_or_insert(now_ms);
        let start_ms = endpoint.start_ms(now_ms as f64, self.settings.slots);
        let factor = endpoint.speed * endpoint.noise(&self.settings, start_ms);
        let first_event_ms = start_ms + call.work_ms * factor;
        endpoint.busy_until_ms = first_event_ms;
        endpoint.arrivals += 1;
        endpoint.runs.push(Run {
            entry: number,
            call,
            arrived_ms,
            sent_ms: now_ms,
            expected_ms: wait_ms + call.work_ms,
            pace,
            first_event_ms,
            ends_ms: first_event_ms + call.decode_ms * factor,
            has_begun: false,
        });
        let tokens: f64 = endpoint.runs.iter().map(|run| run.call.tokens).sum();
        endpoint.peak_calls = endpoint.peak_calls.max(endpoint.runs.len());
        endpoint.peak_tokens = endpoint.peak_tokens.max(tokens);
        if tokens > self.settings.tokens {
            self.end_endpoint(index);
        }
        true
    }

    fn end_endpoint(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.busy_until_ms = 0.0;
        for run in std::mem::take(&mut endpoint.runs) {
            let entry = &mut self.entries[run.entry];
            let hash = endpoint_hash(&endpoint.id);
            entry.ledger.release(hash, claim(run.call));
            if !run.has_begun {
                entry.delays.remove_pending(&endpoint.id, run.call.work_ms);
            }
            self.lost_calls += 1;
        }
    }

    /// Calls that the busiest endpoint received, as a multiple of the mean.
    pub fn busiest_share(&self) -> f64 {
        let arrivals = self.endpoints.iter().map(|endpoint| endpoint.arrivals);
        let most = arrivals.clone().max().unwrap_or_default() as f64;
        most * self.endpoints.len() as f64 / arrivals.sum::<usize>().max(1) as f64
    }

    /// Most calls that an endpoint held at one time.
    pub fn peak_calls(&self) -> usize {
        let peaks = self.endpoints.iter().map(|endpoint| endpoint.peak_calls);
        peaks.max().unwrap_or_default()
    }

    pub fn waiting_calls(&self) -> usize {
        self.entries.iter().map(|entry| entry.waiting.len()).sum()
    }

    /// Time to the first event within which `share` of the answers began.
    pub fn delay_ms(&self, share: f64) -> f64 {
        let mut delays: Vec<f64> = self.answers.iter().map(|answer| answer.delay_ms).collect();
        delays.sort_by(f64::total_cmp);
        delays[((delays.len() - 1) as f64 * share) as usize]
    }

    /// Share of `calls` whose answer began within `limit_ms`.
    pub fn share_within(&self, limit_ms: f64, calls: usize) -> f64 {
        let answers = self.answers.iter();
        let in_time = answers.filter(|answer| answer.delay_ms <= limit_ms);
        in_time.count() as f64 / calls as f64
    }
}

fn claim(call: Call) -> CapacityClaim {
    CapacityClaim {
        is_large: false,
        tokens: call.tokens,
    }
}

/// Chooses an endpoint as entries do: by time, among those with room. Returns its index, the wait
/// that is expected there and its pace.
fn choose(
    settings: &PoolSettings,
    entry: &Entry,
    endpoints: &[Endpoint],
    now_ms: u64,
    call: Call,
    call_hash: u64,
) -> Option<(usize, f64, f64)> {
    let now = at(now_ms);
    let pace = |hash| {
        if settings.uses_pace {
            entry.paces.factor(now, hash) * entry.speeds.factor(hash)
        } else {
            1.0
        }
    };
    let with_room = endpoints.iter().enumerate().filter(|(_, endpoint)| {
        let usage = entry.ledger.usage(now, endpoint_hash(&endpoint.id));
        settings.room_for(usage, claim(call)) >= 1.0
    });
    let (indices, candidates): (Vec<usize>, Vec<TimedCandidate<'_>>) = with_room
        .map(|(index, endpoint)| {
            let hash = endpoint_hash(&endpoint.id);
            let candidate = TimedCandidate {
                id: &endpoint.id,
                is_remote: endpoint.domain != entry.domain,
                usage: entry.ledger.usage(now, hash),
                slots: settings.slots as f64,
                wait_ms: entry.delays.wait_ms(now, &endpoint.id),
                pace: pace(hash),
                is_recovering: false,
                has_prefix: false,
            };
            (index, candidate)
        })
        .unzip();
    let demand = entry.demand(now_ms);
    let free = candidates
        .iter()
        .map(|candidate| settings.room_for(candidate.usage, claim(call)));
    if !entry.room_share.may_start(now, free.sum(), &demand) {
        return None;
    }
    let request = TimedRequest {
        spread: entry.room_share.spread(now, &demand),
        call_hash,
        suffix_ms: call.work_ms,
        max_pause_ms: 1_200.0,
        ..TimedRequest::default()
    };
    let chosen = select_by_time(&settings.placement, &request, &candidates)?;
    let TimedCandidate { wait_ms, pace, .. } = candidates[chosen];
    Some((indices[chosen], wait_ms, pace))
}

/// Arrivals of `rate` calls per second at one of `entries`, by a fixed seed.
pub fn arrivals(
    seed: u64,
    entries: usize,
    rate: impl Fn(u64) -> f64,
    call: impl Fn(&mut Pcg64) -> Call,
) -> impl FnMut(u64) -> Vec<(usize, Call)> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut due = 0.0;
    move |now_ms| {
        due += rate(now_ms) * STEP_MS as f64 / 1_000.0;
        let mut calls = Vec::new();
        while due > rng.random::<f64>() {
            due -= 1.0;
            calls.push((rng.random_range(0..entries), call(&mut rng)));
        }
        calls
    }
}

pub fn no_arrivals(_now_ms: u64) -> Vec<(usize, Call)> {
    Vec::new()
}
