//! Metrics of an entry that forwards calls by declared routes. Label values are services, versions,
//! workspaces, model indexes and fixed words, which bounds the number of time series.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, UpDownCounter};

use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::metrics::MetricsPage;

use crate::metrics::LATENCY_BOUNDS;

use super::attempt::AttemptFailure;
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

/// Values of the gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
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
    /// Number of endpoints that have named a limit.
    pub limited_endpoints: usize,
    /// Endpoints that have said that they leave.
    pub leaving_endpoints: usize,
    /// Endpoints that warm up.
    pub warming_endpoints: usize,
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
            limited_endpoints: self.stated_limits.count(),
            leaving_endpoints: self.leaving_count(),
            warming_endpoints: self.slow_start.warming_count(),
            body_bytes: 0,
            relay_bytes: 0,
        }
    }
}
