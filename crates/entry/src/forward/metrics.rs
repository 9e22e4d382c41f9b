//! Metrics of an entry that serves by routes. Labels are services, versions, workspaces, rungs
//! and fixed words, so their number is bounded.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::metrics::MetricsPage;

use crate::metrics::LATENCY_BOUNDS;

use super::attempt::AttemptFailure;
use super::dialect::CallRefusal;
use super::inbound::InboundCall;
use super::state::EntryBook;

/// Instruments of an entry.
#[derive(Clone, Debug)]
pub struct ForwardMetrics {
    page: MetricsPage,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    climbs: Counter<u64>,
    resumes: Counter<u64>,
    first_piece: Histogram<f64>,
    whole_answer: Histogram<f64>,
    declaration: Gauge<u64>,
    state_age: Gauge<f64>,
    endpoints: Gauge<u64>,
    ejected: Gauge<u64>,
    in_flight: Gauge<u64>,
    waiting_work: Gauge<f64>,
}

/// State that gauges show.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForwardLevels {
    /// Number of the declaration in force here.
    pub declaration: u64,
    /// Time since the keepers last confirmed it; `None` before the first time.
    pub state_age: Option<Duration>,
    /// Endpoints known.
    pub endpoints: usize,
    /// Endpoints that get no calls for their failures.
    pub ejected: usize,
    /// Attempts under way.
    pub in_flight: usize,
    /// Work sent that has not begun to answer, in milliseconds.
    pub waiting_ms: f64,
}

impl Default for ForwardMetrics {
    fn default() -> Self {
        let page = MetricsPage::default();
        let meter = page.meter("chestnutloft.entry");
        let counter = |name: &'static str, what: &'static str| {
            meter.u64_counter(name).with_description(what).build()
        };
        let gauge = |name: &'static str, what: &'static str| {
            meter.u64_gauge(name).with_description(what).build()
        };
        let seconds = |name: &'static str, what: &'static str| {
            let gauge = meter.f64_gauge(name).with_description(what);
            gauge.with_unit("s").build()
        };
        let latency = |name: &'static str, what: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(what);
            let histogram = histogram.with_unit("s");
            histogram.with_boundaries(LATENCY_BOUNDS.to_vec()).build()
        };
        Self {
            answers: counter("chestnutloft.answers", "Answers of endpoints passed on"),
            refusals: counter(
                "chestnutloft.refusals",
                "Calls without an endpoint's answer",
            ),
            attempts: counter("chestnutloft.attempts", "Attempts by outcome"),
            climbs: counter(
                "chestnutloft.climbs",
                "Answers dropped for a larger model's",
            ),
            resumes: counter("chestnutloft.resumes", "Streams that went on elsewhere"),
            first_piece: latency("chestnutloft.first_piece", "Time to the first event"),
            whole_answer: latency("chestnutloft.whole_answer", "Time to the end of the answer"),
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
            page,
        }
    }
}

impl ForwardMetrics {
    /// Counts an answer that the caller gets; `rung` is the model's place on the route's ladder.
    pub fn note_answer(&self, call: &InboundCall, status: u16, rung: usize) {
        let labels = [
            KeyValue::new("service", call.service.name.to_string()),
            KeyValue::new("workspace", workspace(call)),
            KeyValue::new("status", i64::from(status)),
            KeyValue::new("rung", rung.to_string()),
        ];
        self.answers.add(1, &labels);
    }

    /// Records the time to the first event of a stream.
    pub fn note_first_piece(&self, now: TimePoint, call: &InboundCall, rung: usize) {
        let labels = [
            KeyValue::new("service", call.service.name.to_string()),
            KeyValue::new("rung", rung.to_string()),
        ];
        let took = now.since(call.came_at).as_secs_f64();
        self.first_piece.record(took, &labels);
    }

    /// Records the time to the end of an answer.
    pub fn note_whole(&self, now: TimePoint, call: &InboundCall) {
        let labels = [KeyValue::new("service", call.service.name.to_string())];
        let took = now.since(call.came_at).as_secs_f64();
        self.whole_answer.record(took, &labels);
    }

    /// Counts a call that gets no endpoint's answer; `call` is `None` where it was refused
    /// before its route was known.
    pub fn note_refusal(&self, call: Option<&InboundCall>, refusal: &CallRefusal) {
        let service = call.map_or(String::new(), |call| call.service.name.to_string());
        let labels = [
            KeyValue::new("service", service),
            KeyValue::new("workspace", call.map_or(String::new(), workspace)),
            KeyValue::new("reason", refusal.reason()),
        ];
        self.refusals.add(1, &labels);
    }

    /// Counts an attempt; `failure` is `None` where it was answered.
    pub fn note_attempt(
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

    /// Counts an answer that was dropped for that of a larger model.
    pub fn note_climb(&self, call: &InboundCall) {
        let labels = [KeyValue::new("service", call.service.name.to_string())];
        self.climbs.add(1, &labels);
    }

    /// Counts a stream that went on at another endpoint.
    pub fn note_resume(&self, call: &InboundCall) {
        let labels = [KeyValue::new("service", call.service.name.to_string())];
        self.resumes.add(1, &labels);
    }

    /// The page, with gauges brought up to date.
    pub fn text(&self, levels: &ForwardLevels) -> String {
        self.declaration.record(levels.declaration, &[]);
        if let Some(age) = levels.state_age {
            self.state_age.record(age.as_secs_f64(), &[]);
        }
        self.endpoints.record(levels.endpoints as u64, &[]);
        self.ejected.record(levels.ejected as u64, &[]);
        self.in_flight.record(levels.in_flight as u64, &[]);
        self.waiting_work.record(levels.waiting_ms / 1_000.0, &[]);
        self.page.text()
    }
}

fn workspace(call: &InboundCall) -> String {
    let workspace = call.workspace.as_ref();
    workspace.map_or(String::new(), |rule| rule.name.to_string())
}

impl EntryBook {
    /// State that the gauges show.
    pub fn levels(&self, now: TimePoint) -> ForwardLevels {
        let ids = self.endpoints.keys();
        ForwardLevels {
            declaration: self.declaration().number,
            state_age: self.confirmed_at().map(|at| now.since(at)),
            endpoints: self.endpoint_count(),
            ejected: ids.filter(|id| self.health.is_out(now, id)).count(),
            in_flight: self.endpoints.values().map(|known| known.in_flight).sum(),
            waiting_ms: self
                .waiting_work()
                .iter()
                .map(|item| f64::from(item.work_ms))
                .sum(),
        }
    }
}
