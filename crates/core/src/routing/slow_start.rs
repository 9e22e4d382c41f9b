//! Slow start of an endpoint that has started or may have lost its warmth: a limit on the calls of
//! all entries together, which grows with sound answers and falls with bad ones.
//!
//! Answers loads in which an endpoint comes back while demand is high: cold or unhealthy, it would
//! take its full share of calls down with it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::hash::rendezvous_rank;
use crate::limit_growth::GrowthRule;
use crate::time::TimePoint;

use super::answer_counts::AnswerCount;
use super::endpoint_warmup::{AnswerKind, EndpointWarmup, WarmupPhase};
use super::leaving_endpoints::EndpointProcess;
use super::load_aggregation::EndpointHash;

/// How an endpoint warms up.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// Concurrent calls to an endpoint of which nothing is known, or whose last answer was bad.
    pub floor_calls: u32,
    /// Growth of the limit. A bad answer always sets it back to the floor, a rejection for lack of room
    /// halves it.
    pub growth: GrowthRule,
    /// Time without a bad answer after which an endpoint has its full share, whatever its limit:
    /// with little traffic, there is no further evidence to wait for.
    pub full_after: Duration,
    /// Time after which a probe without an answer counts as bad, unless its answer is expected later.
    /// The callers with the shortest latency
    /// target for a long prompt expect the first event by then.
    pub late_after: Duration,
    /// Time without any answer after which the next entry may probe: the entry whose turn it is may
    /// have no calls. At most three calls are sent to an endpoint that never answers.
    pub turn_time: Duration,
    /// Time without calls after the first bad answer, four times as long after each further one.
    pub probe_pause: Duration,
    /// Longest such time; as long as the longest ejection.
    pub max_probe_pause: Duration,
    /// Time after a rejection in which further ones change nothing: entries learn of a lower limit
    /// with their next exchange, and calls sent until then may be rejected as well.
    pub rejection_window: Duration,
    /// Bad answers after which a crowded pool no longer raises the limit of an endpoint.
    pub max_falls: u32,
    /// Share of warming endpoints above which a pool is crowded, which raises their limits.
    pub crowded_share: f64,
    /// Largest share of a pool's calls that are probes, unless the pool is crowded.
    pub probe_share: f64,
    /// Time after the end of a warm-up in which its answers are still reported.
    pub report_time: Duration,
    /// Age up to which a sound answer outweighs the news that an endpoint warms up elsewhere.
    pub contrary_time: Duration,
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        Self {
            floor_calls: 1,
            growth: GrowthRule {
                growth_percent: 100,
                answers_per_slot: 1,
                max_bad_share: 0.34,
            },
            full_after: Duration::from_secs(3),
            late_after: Duration::from_secs(2),
            turn_time: Duration::from_secs(1),
            probe_pause: Duration::from_millis(250),
            max_probe_pause: Duration::from_secs(8),
            rejection_window: Duration::from_millis(100),
            max_falls: 3,
            crowded_share: 1.0 / 3.0,
            probe_share: 0.2,
            report_time: Duration::from_secs(1),
            contrary_time: Duration::from_secs(1),
        }
    }
}

/// Multiple of the expected delay up to which an answer past its latency target is in time: the
/// expectation is that of a choice, and the load of other work on a machine changes about twice a
/// second.
const LATE_FACTOR: f64 = 2.0;

/// Longest time until an answer begins that is not late: the latency target of its call, or longer
/// if the call was expected to queue or to be processed for longer at its endpoint.
pub fn max_sound_delay(target: Duration, expected: Duration) -> Duration {
    target.max(expected.mul_f64(LATE_FACTOR))
}

/// Why an endpoint warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupCause {
    /// Its process has started.
    Started,
    /// Its process was silent and is back.
    Returned,
    /// It has announced that it is cold again.
    Cold,
    /// It runs another version.
    NewVersion,
    /// Its failure domain is back in service.
    DomainReturned,
    /// It was ejected.
    Ejected,
    /// It has asked for no calls for a while.
    Rested,
    /// Another entry has reported that it warms up.
    Peer,
}

impl WarmupCause {
    /// Whether one entry observes the cause. Such a cause does not restart a warm-up, since the other
    /// entries would lose their evidence.
    fn is_local(self) -> bool {
        matches!(self, Self::Ejected | Self::Rested | Self::Peer)
    }
}

/// The start of a warm-up.
#[derive(Clone, Copy, Debug)]
pub struct WarmupStart<'a> {
    /// Id of the endpoint.
    pub id: &'a Arc<str>,
    /// Its process.
    pub process: EndpointProcess,
    /// Calls that it runs concurrently when it has its full share.
    pub slots: u32,
    /// Why it warms up.
    pub cause: WarmupCause,
    /// When it takes calls again.
    pub resume_at: TimePoint,
}

/// What happened to an endpoint, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmupChange {
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// What happened.
    pub event: WarmupEvent,
    /// Whether an answer of this entry caused it. All entries take the same steps, so that a step is
    /// logged for the operator only where this is true.
    pub is_own: bool,
}

/// A step of a warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupEvent {
    /// The endpoint has begun to warm up.
    Entered(WarmupCause),
    /// The endpoint has its full share, this long after it began to warm up.
    Full(Duration),
    /// A bad answer has set the limit back to the floor, or a rejection found it there.
    FellBack {
        /// Limit before that.
        limit: u32,
        /// Time until the next call.
        pause: Duration,
    },
}

/// How many endpoints of a pool warm up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolWarmth {
    /// Endpoints that warm up.
    pub warming: usize,
    /// All endpoints that accept calls.
    pub total: usize,
}

impl PoolWarmth {
    /// Part of an endpoint's slots that may be used however little is known of it: none in a pool
    /// that is not crowded, all of them in one that warms up as a whole.
    fn raised_share(self, crowded_share: f64) -> f64 {
        let warming_share = self.warming as f64 / self.total.max(1) as f64;
        ((warming_share - crowded_share) / (1.0 - crowded_share)).max(0.0)
    }
}

/// A call that may be sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct WarmupRequest<'a> {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Service of the call.
    pub service: &'a str,
    /// Name of this entry.
    pub own: &'a str,
    /// Names of all entries.
    pub entries: &'a [Arc<str>],
    /// Calls of this entry at the endpoint.
    pub own_calls: usize,
    /// State of the pool.
    pub warmth: PoolWarmth,
}

/// Warm-ups of endpoints as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct SlowStartControl {
    settings: SlowStartSettings,
    endpoints: HashMap<EndpointHash, EndpointWarmup>,
    /// Probes that each service may send, in addition to a first one.
    probe_credits: HashMap<Arc<str>, f64>,
    changes: Vec<WarmupChange>,
}

impl SlowStartControl {
    /// Creates a control in which all endpoints have their full share.
    pub fn new(settings: SlowStartSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Starts a warm-up.
    ///
    /// While the endpoint warms up, a local cause only postpones the end of the warm-up; any other
    /// cause starts a new one, whose epoch all entries reach by the same count of causes or adopt
    /// from each other.
    pub fn begin(&mut self, now: TimePoint, start: &WarmupStart<'_>) {
        let is_known = self.is_tracked(start.process.endpoint);
        let warmup = self.endpoints.entry(start.process.endpoint);
        let warmup = warmup.or_insert_with(|| EndpointWarmup::full(start.id, start.process));
        warmup.set_slots(start.slots);
        if warmup.born_ms() > start.process.born_ms {
            return;
        }
        let is_same_process = warmup.born_ms() == start.process.born_ms;
        if is_same_process && start.cause.is_local() && warmup.postpone(start.resume_at) {
            return;
        }
        let is_repeated = is_known && start.cause == WarmupCause::Started;
        if is_same_process && (is_repeated || warmup.take_adoption(now, &self.settings)) {
            return;
        }
        if !is_same_process {
            *warmup = EndpointWarmup::full(start.id, start.process);
            warmup.set_slots(start.slots);
        } else if start.cause != WarmupCause::Started {
            warmup.advance_epoch();
        }
        warmup.enter(now, start.resume_at, &self.settings);
        self.changes.push(WarmupChange {
            id: Arc::clone(start.id),
            event: WarmupEvent::Entered(start.cause),
            is_own: false,
        });
    }

    /// Makes an endpoint known that other entries report, if it is not yet.
    pub fn track(&mut self, id: &Arc<str>, process: EndpointProcess, slots: u32) {
        let warmup = self.endpoints.entry(process.endpoint);
        let warmup = warmup.or_insert_with(|| EndpointWarmup::full(id, process));
        warmup.set_slots(slots);
    }

    /// Whether `endpoint` is known.
    pub fn is_tracked(&self, endpoint: EndpointHash) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    /// Records an answer of a process: sound if it began in time (see [`max_sound_delay`]), bad if it
    /// was late or failed.
    pub fn record(&mut self, now: TimePoint, process: EndpointProcess, is_sound: bool) {
        let kind = if is_sound {
            AnswerKind::Sound
        } else {
            AnswerKind::Bad
        };
        self.record_kind(now, process, kind);
    }

    /// Records that a process rejected a call for lack of room.
    pub fn record_rejection(&mut self, now: TimePoint, process: EndpointProcess) {
        self.record_kind(now, process, AnswerKind::Rejected);
    }

    fn record_kind(&mut self, now: TimePoint, process: EndpointProcess, kind: AnswerKind) {
        let warmup = self.endpoints.get_mut(&process.endpoint);
        let Some(warmup) = warmup.filter(|warmup| warmup.born_ms() == process.born_ms) else {
            return;
        };
        warmup.record_own(now, kind, &self.settings);
        let event = warmup.apply(now, &self.settings);
        self.changes.extend(event.map(|event| warmup.change(event)));
    }

    /// Own counts of the endpoints that warm up or have just done so, for the other entries.
    pub fn answers(&self, now: TimePoint) -> Vec<AnswerCount> {
        let is_reported = |warmup: &EndpointWarmup| warmup.is_reported(now, &self.settings);
        let reported = self.endpoints.iter().filter(|(_, w)| is_reported(w));
        reported
            .map(|(endpoint, warmup)| warmup.own_count(*endpoint))
            .collect()
    }

    /// Adds the sums over the other entries. An endpoint that warms up there also does here, unless
    /// it has just given a sound answer.
    pub fn merge(&mut self, now: TimePoint, sums: &[AnswerCount]) {
        for sum in sums {
            let Some(warmup) = self.endpoints.get_mut(&sum.endpoint) else {
                continue;
            };
            if warmup.adopt(now, sum, &self.settings) {
                let event = WarmupEvent::Entered(WarmupCause::Peer);
                self.changes.push(warmup.change(event));
            }
            let event = warmup.apply(now, &self.settings);
            self.changes.extend(event.map(|event| warmup.change(event)));
            warmup.finish_merge();
        }
    }

    /// Ends the warm-ups for which time is evidence enough, and counts late probes as bad. `own_calls` returns the calls of this
    /// entry at an endpoint.
    pub fn sweep(&mut self, now: TimePoint, own_calls: &dyn Fn(&str) -> usize) {
        for warmup in self.endpoints.values_mut() {
            let has_calls = warmup.is_warming() && own_calls(warmup.id()) > 0;
            let event = warmup.tick(now, has_calls, &self.settings);
            self.changes.extend(event.map(|event| warmup.change(event)));
        }
    }

    /// Removes and returns what has happened since the last call.
    pub fn take_changes(&mut self) -> Vec<WarmupChange> {
        std::mem::take(&mut self.changes)
    }

    /// Number of endpoints that warm up.
    pub fn warming_count(&self) -> usize {
        self.endpoints.values().filter(|w| w.is_warming()).count()
    }

    /// Whether the endpoint warms up.
    pub fn is_warming(&self, endpoint: EndpointHash) -> bool {
        let warmup = self.endpoints.get(&endpoint);
        warmup.is_some_and(EndpointWarmup::is_warming)
    }

    /// Concurrent calls that the endpoint takes from all entries together; `None` for no limit.
    pub fn limit(&self, now: TimePoint, endpoint: EndpointHash, warmth: PoolWarmth) -> Option<u32> {
        let warmup = self.endpoints.get(&endpoint)?;
        let WarmupPhase::Warming(warming) = warmup.phase() else {
            return None;
        };
        let raised_share = warmth.raised_share(self.settings.crowded_share);
        let is_crowded = raised_share > 0.0;
        if warming.is_paused(now, is_crowded.then_some(self.settings.probe_pause)) {
            return Some(0);
        }
        let may_raise = warming.bad_falls() < self.settings.max_falls;
        let raised = f64::from(warmup.slots()) * raised_share;
        let raised = if may_raise { raised.ceil() as u32 } else { 0 };
        let limit = warming.limit().max(raised);
        (limit < warmup.slots()).then_some(limit)
    }

    /// Concurrent calls that the entry `own` may have at the endpoint; `None` for no limit. The shares
    /// of all entries add up to the limit. Those of a limit below the number of entries go to the
    /// entries that rank first by rendezvous hash, and then, turn by turn, to those that follow.
    fn entry_share(&self, now: TimePoint, request: &WarmupRequest<'_>) -> Option<u32> {
        let limit = self.limit(now, request.endpoint, request.warmth)? as usize;
        let warmup = self.endpoints.get(&request.endpoint)?;
        let count = request.entries.len().max(1);
        let rank = rendezvous_rank(warmup.id(), request.own, request.entries);
        let turn = warmup.turn(now, &self.settings) as usize % count;
        let position = (rank + count - turn) % count;
        let share = limit / count + usize::from(position < limit % count);
        Some(share as u32)
    }

    /// Whether a call may be sent to an endpoint.
    pub fn may_send(&self, now: TimePoint, request: &WarmupRequest<'_>) -> bool {
        let Some(share) = self.entry_share(now, request) else {
            return true;
        };
        let is_crowded = request.warmth.raised_share(self.settings.crowded_share) > 0.0;
        let is_limited = !is_crowded && self.is_probed(request.endpoint);
        request.own_calls < share as usize
            && (!is_limited || self.probe_credit(request.service) >= 1.0)
    }

    /// Whether the limit of the endpoint is at the floor, so that each call to it is a probe.
    fn is_probed(&self, endpoint: EndpointHash) -> bool {
        let warmup = self.endpoints.get(&endpoint);
        warmup.is_some_and(|warmup| match warmup.phase() {
            WarmupPhase::Warming(warming) => warming.limit() <= self.settings.floor_calls,
            WarmupPhase::Full => false,
        })
    }

    fn probe_credit(&self, service: &str) -> f64 {
        self.probe_credits.get(service).copied().unwrap_or(1.0)
    }

    /// Records a call to an endpoint of `service`, whose answer is expected to begin after `expected`.
    pub fn record_call(
        &mut self,
        now: TimePoint,
        endpoint: EndpointHash,
        service: &Arc<str>,
        expected: Duration,
    ) {
        let late_after = max_sound_delay(self.settings.late_after, expected);
        let is_probe = self.is_probed(endpoint);
        if is_probe && let Some(warmup) = self.endpoints.get_mut(&endpoint) {
            warmup.record_probe(now, late_after);
        }
        let cost = f64::from(u8::from(is_probe));
        let credit = self.probe_credit(service) + self.settings.probe_share - cost;
        let credit = credit.clamp(0.0, 2.0);
        self.probe_credits.insert(Arc::clone(service), credit);
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: EndpointHash) {
        self.endpoints.remove(&endpoint);
    }
}
