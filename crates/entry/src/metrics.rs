//! Metrics of an entry. Labels are workspaces, versions, services and codes of the plan, so their
//! number is bounded.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use chestnutloft_core::pipe::{ParsedRequest, Refusal};
use chestnutloft_wire::metrics::MetricsPage;

/// Bounds of latency histograms, in seconds.
pub(crate) const LATENCY_BOUNDS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.64, 1.0, 2.0, 5.0, 20.0, 60.0,
];

/// Instruments of an entry.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    page: MetricsPage,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    tokens: Counter<u64>,
    cost: Counter<u64>,
    first_token: Histogram<f64>,
    whole_answer: Histogram<f64>,
    revision: Gauge<u64>,
    lease_left: Gauge<f64>,
    waiting: Gauge<u64>,
    in_flight: Gauge<u64>,
    endpoints: Gauge<u64>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let page = MetricsPage::default();
        let meter = page.meter("chestnutloft.entry");
        let latency = |name: &'static str, what: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(what)
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build()
        };
        Self {
            requests: meter
                .u64_counter("chestnutloft.requests")
                .with_description("Requests answered")
                .build(),
            refusals: meter
                .u64_counter("chestnutloft.refusals")
                .with_description("Requests refused, by code")
                .build(),
            retries: meter
                .u64_counter("chestnutloft.retries")
                .with_description("Attempts after a failed one")
                .build(),
            tokens: meter
                .u64_counter("chestnutloft.tokens")
                .with_description("Generated tokens")
                .build(),
            cost: meter
                .u64_counter("chestnutloft.cost")
                .with_description("Cost in millionths of the currency unit")
                .build(),
            first_token: latency("chestnutloft.first_token", "Time to the first token"),
            whole_answer: latency("chestnutloft.whole_answer", "Time to the end of the answer"),
            revision: meter
                .u64_gauge("chestnutloft.plan.revision")
                .with_description("Revision applied")
                .build(),
            lease_left: meter
                .f64_gauge("chestnutloft.lease.left")
                .with_description("Time left of the lease")
                .with_unit("s")
                .build(),
            waiting: meter
                .u64_gauge("chestnutloft.waiting")
                .with_description("Requests that wait for an endpoint")
                .build(),
            in_flight: meter
                .u64_gauge("chestnutloft.in_flight")
                .with_description("Requests admitted and not ended")
                .build(),
            endpoints: meter
                .u64_gauge("chestnutloft.endpoints")
                .with_description("Endpoints known")
                .build(),
            page,
        }
    }
}

/// What was seen of one answered request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerFigures<'a> {
    /// Version or service that answered.
    pub answered_by: &'a str,
    /// Time to the first token; `None` for plain services.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub whole: Duration,
    /// Generated tokens.
    pub tokens: u64,
    /// Cost, in millionths of the currency unit.
    pub cost: u64,
}

/// State that gauges show.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EntryLevels {
    /// Revision applied.
    pub revision: u64,
    /// Time left of the lease.
    pub lease_left: Duration,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that run or wait.
    pub in_flight: u32,
    /// Endpoints known.
    pub endpoints: usize,
}

impl EntryMetrics {
    /// Counts an answered request.
    pub fn note_answer(&self, ticket: &ParsedRequest, seen: AnswerFigures<'_>) {
        let labels = [
            KeyValue::new("workspace", ticket.workspace.to_string()),
            KeyValue::new("answered_by", seen.answered_by.to_owned()),
        ];
        self.requests.add(1, &labels);
        self.tokens.add(seen.tokens, &labels);
        self.cost.add(seen.cost, &labels);
        if let Some(first) = seen.first_token {
            self.first_token.record(first.as_secs_f64(), &labels);
        }
        self.whole_answer.record(seen.whole.as_secs_f64(), &labels);
    }

    /// Counts a refusal.
    pub fn note_refusal(&self, refusal: &Refusal) {
        let labels = [KeyValue::new("code", refusal.code_text())];
        self.refusals.add(1, &labels);
    }

    /// Counts a retry.
    pub fn note_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// The page, with gauges brought up to date.
    pub fn text(&self, levels: &EntryLevels) -> String {
        self.revision.record(levels.revision, &[]);
        self.lease_left.record(levels.lease_left.as_secs_f64(), &[]);
        self.waiting.record(levels.waiting as u64, &[]);
        self.in_flight.record(u64::from(levels.in_flight), &[]);
        self.endpoints.record(levels.endpoints as u64, &[]);
        self.page.text()
    }
}
