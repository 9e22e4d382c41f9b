//! Metrics of an entry that forwards calls by declared routes. Label values are services, versions,
//! workspaces, model indexes and fixed words, which bounds the number of time series.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, UpDownCounter};

use chestnutloft_core::routing::{
    PaceSource, ReadingCounts, SingleRunReason, UsageSum, endpoint_hash,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::metrics::MetricsPage;

use crate::metrics::LATENCY_BOUNDS;

use super::attempt::AttemptFailure;
use super::choice::ChosenEndpoint;
use super::codec::CallRefusal;
use super::copy_calls::RunCopyEvent;
use super::inbound::InboundCall;
use super::state::EntryState;

/// What became of a call that had to wait or was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// It got an endpoint after waiting.
    Admitted,
    /// It was refused, since it could not be served.
    Refused,
    /// It was refused, since its time to start passed while it waited.
    Expired,
}

/// Instruments of an entry.
#[derive(Clone, Debug)]
pub struct ForwardMetrics {
    page: MetricsPage,
    responses: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    escalations: Counter<u64>,
    kept_answers: Counter<u64>,
    single_runs: Counter<u64>,
    resumes: Counter<u64>,
    run_copies: Counter<u64>,
    first_event: Histogram<f64>,
    full_response: Histogram<f64>,
    declaration: Gauge<u64>,
    state_age: Gauge<f64>,
    endpoints: Gauge<u64>,
    ejected: Gauge<u64>,
    in_flight: Gauge<u64>,
    waiting_work: Gauge<f64>,
    unserved_models: Gauge<u64>,
    blocked_segments: Gauge<u64>,
    limited_endpoints: Gauge<u64>,
    leaving_endpoints: Gauge<u64>,
    warming_endpoints: Gauge<u64>,
    warming_calls: Counter<u64>,
    body_memory: Gauge<u64>,
    relay_memory: Gauge<u64>,
    /// Calls ended since their callers did not read.
    pub ended_relays: Counter<u64>,
    admission: AdmissionInstruments,
    capacity: CapacityInstruments,
}

/// Instruments of admission control. Labels are the service and the urgency from 0 to 9.
#[derive(Clone, Debug)]
struct AdmissionInstruments {
    waiting: UpDownCounter<i64>,
    admitted: Counter<u64>,
    refused: Counter<u64>,
    expired: Counter<u64>,
    wait: Histogram<f64>,
}

/// Ages in seconds that separate the newest readings of pace at the time of a choice. An estimate
/// rests mostly on the reading up to 0.3 s, and a reading is passed on up to 1.5 s.
const READING_AGE_BOUNDS: [f64; 8] = [0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.5, 5.0];

/// Instruments of the capacity ledger and of the pace of endpoints. The label is the service.
#[derive(Clone, Debug)]
struct CapacityInstruments {
    readings: Counter<u64>,
    /// Readings that `readings` has counted: of this entry, of the others.
    counted_readings: Arc<[AtomicU64; 2]>,
    choices: Counter<u64>,
    reading_age: Histogram<f64>,
    mean_pace: Gauge<f64>,
    slowest_pace: Gauge<f64>,
    calls: Gauge<f64>,
    tokens: Gauge<f64>,
    places: Gauge<f64>,
}

/// Use of the endpoints of one service whose endpoints are chosen by expected time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCapacity {
    /// Endpoints that accept calls.
    pub endpoints: usize,
    /// Calls that these endpoints take at the same time.
    pub places: f64,
    /// Calls and tokens there, of all entries.
    pub total: UsageSum,
    /// Those of this entry.
    pub own: UsageSum,
    /// Mean over the endpoints of the time that work takes, as a multiple of the usual time.
    pub mean_pace: f64,
    /// The same of the slowest endpoint.
    pub slowest_pace: f64,
}

/// Values of the gauges.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GaugeValues {
    /// Number of the declaration in force at this entry.
    pub declaration: u64,
    /// Time since the keepers last confirmed the routing state; `None` before the first time.
    pub state_age: Option<Duration>,
    /// Number of known endpoints.
    pub endpoints: usize,
    /// Number of endpoints ejected because of failures.
    pub ejected: usize,
    /// Number of attempts in flight.
    pub in_flight: usize,
    /// Prefill work of attempts whose responses have not begun, in milliseconds.
    pub pending_work_ms: f64,
    /// Number of blocked prompt segments.
    pub blocked_segments: usize,
    /// Number of models that routes list and no endpoint of their service runs.
    pub unserved_models: usize,
    /// Number of endpoints that have named a limit.
    pub limited_endpoints: usize,
    /// Endpoints that have said that they leave.
    pub leaving_endpoints: usize,
    /// Endpoints that warm up.
    pub warming_endpoints: usize,
    /// Readings of pace taken since the start.
    pub pace_readings: ReadingCounts,
    /// Use of the endpoints of each service whose endpoints are chosen by expected time.
    pub capacity: BTreeMap<Arc<str>, ServiceCapacity>,
    /// Memory reserved for bodies, in bytes.
    pub body_bytes: usize,
    /// Bytes of streams that callers have not read.
    pub relay_bytes: usize,
}

impl Default for ForwardMetrics {
    fn default() -> Self {
        let page = MetricsPage::default();
        let meter = page.meter("chestnutloft.entry");
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        let seconds = |name: &'static str, description: &'static str| {
            let gauge = meter.f64_gauge(name).with_description(description);
            gauge.with_unit("s").build()
        };
        let latency = |name: &'static str, description: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(description);
            let histogram = histogram.with_unit("s");
            histogram.with_boundaries(LATENCY_BOUNDS.to_vec()).build()
        };
        Self {
            responses: counter("chestnutloft.answers", "Answers of endpoints passed on"),
            refusals: counter(
                "chestnutloft.refusals",
                "Calls without an endpoint's answer",
            ),
            attempts: counter("chestnutloft.attempts", "Attempts by outcome"),
            escalations: counter(
                "chestnutloft.climbs",
                "Answers dropped for a larger model's",
            ),
            kept_answers: counter(
                "chestnutloft.kept_answers",
                "Answers relayed since no larger model took the call",
            ),
            single_runs: counter(
                "chestnutloft.single_runs",
                "Models chosen for calls that may run only once, by reason",
            ),
            resumes: counter("chestnutloft.resumes", "Streams that went on elsewhere"),
            run_copies: counter(
                "chestnutloft.run_copies",
                "Copies of runs by what came of them",
            ),
            first_event: latency("chestnutloft.first_piece", "Time to the first event"),
            full_response: latency("chestnutloft.whole_answer", "Time to the end of the answer"),
            declaration: gauge("chestnutloft.declaration", "Declaration in force here"),
            state_age: seconds(
                "chestnutloft.state.age",
                "Time since the state was confirmed",
            ),
            endpoints: gauge("chestnutloft.endpoints", "Endpoints known"),
            ejected: gauge(
                "chestnutloft.endpoints.ejected",
                "Endpoints out for failures",
            ),
            in_flight: gauge("chestnutloft.in_flight", "Attempts under way"),
            waiting_work: seconds("chestnutloft.waiting_work", "Work sent and not begun"),
            unserved_models: gauge(
                "chestnutloft.models.unserved",
                "Models that routes list and no endpoint of their service runs",
            ),
            blocked_segments: gauge(
                "chestnutloft.segments.blocked",
                "Prompt segments that are blocked",
            ),
            limited_endpoints: gauge(
                "chestnutloft.endpoints.limited",
                "Endpoints that have named a call rate",
            ),
            leaving_endpoints: gauge(
                "chestnutloft.endpoints.leaving",
                "Endpoints that have said that they leave",
            ),
            warming_endpoints: gauge(
                "chestnutloft.endpoints.warming",
                "Endpoints that warm up after a start or an outage",
            ),
            warming_calls: counter(
                "chestnutloft.warming.calls",
                "Attempts at endpoints that warm up",
            ),
            body_memory: gauge("chestnutloft.body_memory", "Bytes reserved for bodies"),
            admission: AdmissionInstruments::new(&meter),
            capacity: CapacityInstruments::new(&meter),
            relay_memory: gauge(
                "chestnutloft.relay_memory",
                "Bytes of streams that callers have not read",
            ),
            ended_relays: counter(
                "chestnutloft.relays.ended",
                "Calls ended since their callers did not read",
            ),
            page,
        }
    }
}

impl AdmissionInstruments {
    fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let wait = meter
            .f64_histogram("chestnutloft.admission.wait")
            .with_description("Time in the queue")
            .with_unit("s");
        Self {
            waiting: meter
                .i64_up_down_counter("chestnutloft.admission.waiting")
                .with_description("Calls that wait for an endpoint")
                .build(),
            admitted: counter(
                "chestnutloft.admission.admitted",
                "Calls that got an endpoint after waiting",
            ),
            refused: counter("chestnutloft.admission.refused", "Calls without capacity"),
            expired: counter(
                "chestnutloft.admission.expired",
                "Calls whose time to start passed while they waited",
            ),
            wait: wait.with_boundaries(LATENCY_BOUNDS.to_vec()).build(),
        }
    }
}

impl CapacityInstruments {
    fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.f64_gauge(name).with_description(description).build()
        };
        let reading_age = meter
            .f64_histogram("chestnutloft.pace.age")
            .with_description("Age of the newest reading of the chosen endpoint's pace")
            .with_unit("s")
            .with_boundaries(READING_AGE_BOUNDS.to_vec());
        Self {
            readings: counter("chestnutloft.pace.readings", "Readings of pace by origin"),
            counted_readings: Arc::default(),
            choices: counter(
                "chestnutloft.pace.choices",
                "Attempts by what the estimate of the endpoint's pace rests on",
            ),
            reading_age: reading_age.build(),
            mean_pace: gauge(
                "chestnutloft.pace.mean",
                "Time that work takes, against the usual time",
            ),
            slowest_pace: gauge(
                "chestnutloft.pace.slowest",
                "The same at the slowest endpoint",
            ),
            calls: gauge("chestnutloft.ledger.calls", "Calls at endpoints"),
            tokens: gauge("chestnutloft.ledger.tokens", "Tokens of calls at endpoints"),
            places: gauge(
                "chestnutloft.ledger.places",
                "Calls that endpoints take at the same time",
            ),
        }
    }

    /// Counts the readings taken since the last call.
    fn count_readings(&self, counts: ReadingCounts) {
        let origins = [("own", counts.own), ("peers", counts.peers)];
        for ((origin, count), counted) in origins.into_iter().zip(&*self.counted_readings) {
            let before = counted.fetch_max(count, Ordering::Relaxed);
            let labels = [KeyValue::new("origin", origin)];
            self.readings.add(count.saturating_sub(before), &labels);
        }
    }

    fn record(&self, service: &str, capacity: &ServiceCapacity) {
        let service = || KeyValue::new("service", service.to_owned());
        for (scope, usage) in [("all", capacity.total), ("own", capacity.own)] {
            let labels = [service(), KeyValue::new("scope", scope)];
            self.calls.record(usage.calls, &labels);
            self.tokens.record(usage.tokens, &labels);
        }
        let labels = [service()];
        self.places.record(capacity.places, &labels);
        self.mean_pace.record(capacity.mean_pace, &labels);
        self.slowest_pace.record(capacity.slowest_pace, &labels);
    }
}

impl ForwardMetrics {
    /// Counts a response that the caller gets; `model_index` is the model's index on the route.
    pub fn record_response(&self, call: &InboundCall, status: u16, model_index: usize) {
        let labels = [
            KeyValue::new("service", call.service.name.to_string()),
            KeyValue::new("workspace", workspace_label(call)),
            KeyValue::new("status", i64::from(status)),
            KeyValue::new("rung", model_index.to_string()),
        ];
        self.responses.add(1, &labels);
    }

    /// Records the time to the first event of a stream.
    pub fn record_first_event(&self, now: TimePoint, call: &InboundCall, model_index: usize) {
        let labels = [
            KeyValue::new("service", call.service.name.to_string()),
            KeyValue::new("rung", model_index.to_string()),
        ];
        let took = now.since(call.received_at).as_secs_f64();
        self.first_event.record(took, &labels);
    }

    /// Records the time to the end of a response.
    pub fn record_full_response(&self, now: TimePoint, call: &InboundCall) {
        let labels = [KeyValue::new("service", call.service.name.to_string())];
        let took = now.since(call.received_at).as_secs_f64();
        self.full_response.record(took, &labels);
    }

    /// Counts a refused call; `call` is `None` where it was refused while it was being
    /// received.
    pub fn record_refusal(&self, call: Option<&InboundCall>, refusal: &CallRefusal) {
        let service = call.map_or(String::new(), |call| call.service.name.to_string());
        let labels = [
            KeyValue::new("service", service),
            KeyValue::new("workspace", call.map_or(String::new(), workspace_label)),
            KeyValue::new("reason", refusal.reason()),
        ];
        self.refusals.add(1, &labels);
    }

    /// Counts an attempt; `failure` is `None` where it got a response.
    pub fn record_attempt(
        &self,
        call: &InboundCall,
        version: &str,
        failure: Option<&AttemptFailure>,
    ) {
        let labels = [
            KeyValue::new("service", call.service.name.to_string()),
            KeyValue::new("version", version.to_owned()),
            KeyValue::new("outcome", failure.map_or("answered", AttemptFailure::label)),
        ];
        self.attempts.add(1, &labels);
    }

    /// Counts an attempt at an endpoint that warms up.
    pub fn record_warming_call(&self, call: &InboundCall) {
        let labels = [KeyValue::new("service", call.service.name.to_string())];
        self.warming_calls.add(1, &labels);
    }

    /// Counts an attempt at an endpoint that was chosen by expected time, by what the estimate of
    /// its pace rests on.
    pub fn record_pace_source(&self, service: &str, source: PaceSource) {
        let service = || KeyValue::new("service", service.to_owned());
        let (label, age) = match source {
            PaceSource::Reading(age) => ("reading", Some(age)),
            PaceSource::Mean(age) => ("mean", Some(age)),
            PaceSource::Unknown => ("unknown", None),
        };
        let labels = [service(), KeyValue::new("source", label)];
        self.capacity.choices.add(1, &labels);
        if let Some(age) = age {
            let labels = [service()];
            self.capacity.reading_age.record(age.as_secs_f64(), &labels);
        }
    }

    /// Counts a response that was discarded in favor of a larger model's.
    pub fn record_escalation(&self, call: &InboundCall) {
        let labels = [KeyValue::new("service", call.service.name.to_string())];
        self.escalations.add(1, &labels);
    }

    /// Counts an answer that was relayed after all, since no larger model took the call.
    pub fn record_kept_answer(&self, call: &InboundCall) {
        let labels = [KeyValue::new("service", call.service.name.to_string())];
        self.kept_answers.add(1, &labels);
    }

    /// Counts the model chosen for a call that may run only once.
    pub fn record_single_run(
        &self,
        call: &InboundCall,
        model_index: usize,
        reason: SingleRunReason,
    ) {
        let labels = [
            KeyValue::new("service", call.service.name.to_string()),
            KeyValue::new("rung", model_index.to_string()),
            KeyValue::new("reason", reason.label()),
        ];
        self.single_runs.add(1, &labels);
    }

    /// Counts a stream that was resumed at another endpoint.
    pub fn record_resume(&self, call: &InboundCall) {
        let labels = [KeyValue::new("service", call.service.name.to_string())];
        self.resumes.add(1, &labels);
    }

    /// Counts what came of a copy of a run.
    pub fn record_run_copy(&self, call: &InboundCall, event: RunCopyEvent) {
        let labels = [
            KeyValue::new("service", call.service.name.to_string()),
            KeyValue::new("outcome", event.label()),
        ];
        self.run_copies.add(1, &labels);
    }

    /// Counts a change of the number of calls of `service` that wait.
    pub fn record_waiting(&self, service: &str, urgency: u8, change: i64) {
        let labels = admission_labels(service, urgency);
        self.admission.waiting.add(change, &labels);
    }

    /// Counts what became of a call after it waited for `waited`.
    pub fn record_admission(
        &self,
        call: &InboundCall,
        outcome: AdmissionOutcome,
        waited: Duration,
    ) {
        let labels = admission_labels(&call.service.name, call.urgency());
        let counter = match outcome {
            AdmissionOutcome::Admitted => &self.admission.admitted,
            AdmissionOutcome::Refused => &self.admission.refused,
            AdmissionOutcome::Expired => &self.admission.expired,
        };
        counter.add(1, &labels);
        self.admission.wait.record(waited.as_secs_f64(), &labels);
    }

    /// Renders the metrics page with the given gauge values.
    pub fn render(&self, gauges: &GaugeValues) -> String {
        self.declaration.record(gauges.declaration, &[]);
        if let Some(age) = gauges.state_age {
            self.state_age.record(age.as_secs_f64(), &[]);
        }
        self.endpoints.record(gauges.endpoints as u64, &[]);
        self.ejected.record(gauges.ejected as u64, &[]);
        self.in_flight.record(gauges.in_flight as u64, &[]);
        self.waiting_work
            .record(gauges.pending_work_ms / 1_000.0, &[]);
        self.unserved_models
            .record(gauges.unserved_models as u64, &[]);
        self.blocked_segments
            .record(gauges.blocked_segments as u64, &[]);
        self.limited_endpoints
            .record(gauges.limited_endpoints as u64, &[]);
        self.leaving_endpoints
            .record(gauges.leaving_endpoints as u64, &[]);
        self.warming_endpoints
            .record(gauges.warming_endpoints as u64, &[]);
        self.body_memory.record(gauges.body_bytes as u64, &[]);
        self.relay_memory.record(gauges.relay_bytes as u64, &[]);
        self.capacity.count_readings(gauges.pace_readings);
        for (service, capacity) in &gauges.capacity {
            self.capacity.record(service, capacity);
        }
        self.page.text()
    }
}

fn admission_labels(service: &str, urgency: u8) -> [KeyValue; 2] {
    [
        KeyValue::new("service", service.to_owned()),
        KeyValue::new("class", i64::from(urgency)),
    ]
}

fn workspace_label(call: &InboundCall) -> String {
    let workspace = call.workspace.as_ref();
    workspace.map_or(String::new(), |rule| rule.name.to_string())
}

impl EntryState {
    /// Current values of the gauges.
    pub fn gauge_values(&self, now: TimePoint) -> GaugeValues {
        let ids = self.endpoints.keys();
        GaugeValues {
            declaration: self.declaration().number,
            state_age: self.confirmed_at().map(|at| now.since(at)),
            endpoints: self.endpoint_count(),
            ejected: ids.filter(|id| self.health.is_ejected(now, id)).count(),
            in_flight: self
                .endpoints
                .values()
                .map(|endpoint| endpoint.in_flight)
                .sum(),
            pending_work_ms: self
                .waiting_work()
                .iter()
                .map(|item| f64::from(item.work_ms))
                .sum(),
            blocked_segments: self.segments.blocked_count(),
            unserved_models: self.unserved_models().count(),
            limited_endpoints: self.stated_limits.count(),
            leaving_endpoints: self.leaving_count(),
            warming_endpoints: self.slow_start.warming_count(),
            pace_readings: self.paces.counts(),
            capacity: self.service_capacities(now),
            body_bytes: 0,
            relay_bytes: 0,
        }
    }
    /// What the estimate of the pace of `endpoint` rests on; `None` if it was not chosen by expected time.
    pub fn pace_source(&self, now: TimePoint, endpoint: &ChosenEndpoint) -> Option<PaceSource> {
        let hash = endpoint_hash(&endpoint.id);
        endpoint
            .claim
            .is_some()
            .then(|| self.paces.source(now, hash))
    }

    fn service_capacities(&self, now: TimePoint) -> BTreeMap<Arc<str>, ServiceCapacity> {
        let known = self.endpoints.values();
        let services = known.map(|endpoint| &endpoint.notice.service);
        let services = services.filter(|service| self.is_placed_by_time(service));
        let mut capacities: BTreeMap<Arc<str>, ServiceCapacity> = services
            .map(|service| (Arc::clone(service), ServiceCapacity::default()))
            .collect();
        for (service, capacity) in &mut capacities {
            for endpoint in self.available_endpoints(service) {
                let hash = endpoint_hash(&endpoint.notice.id);
                let (total, own) = (self.ledger.usage(now, hash), self.ledger.own_usage(hash));
                let pace = self.paces.factor(now, hash);
                let slots = f64::from(endpoint.notice.slots.max(1));
                let places = self.capacity.reserve.places(slots);
                capacity.add(places, total, own, pace);
            }
        }
        capacities
    }
}

fn add_usage(sum: UsageSum, usage: UsageSum) -> UsageSum {
    UsageSum {
        calls: sum.calls + usage.calls,
        large_calls: sum.large_calls + usage.large_calls,
        tokens: sum.tokens + usage.tokens,
    }
}

impl ServiceCapacity {
    fn add(&mut self, places: f64, total: UsageSum, own: UsageSum, pace: f64) {
        self.endpoints += 1;
        self.places += places;
        self.total = add_usage(self.total, total);
        self.own = add_usage(self.own, own);
        self.mean_pace += (pace - self.mean_pace) / self.endpoints as f64;
        self.slowest_pace = self.slowest_pace.max(pace);
    }
}
