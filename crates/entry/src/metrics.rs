//! Metrics of an entry. Label values are workspaces, versions and services of the plan and refusal
//! codes, so the number of time series is bounded.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use chestnutloft_core::pipe::{ParsedRequest, Refusal};
use chestnutloft_wire::metrics::MetricsPage;

/// Bucket boundaries of latency histograms, in seconds.
pub(crate) const LATENCY_BOUNDS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.64, 1.0, 2.0, 5.0, 20.0, 60.0,
];

/// Metric instruments of an entry.
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
        let latency = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
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

/// Measurements of one answered request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerStats<'a> {
    /// Version or service that answered.
    pub answered_by: &'a str,
    /// Time from the arrival of the request to the first token; `None` for plain services.
    pub first_token: Option<Duration>,
    /// Time from the arrival of the request to the end of the answer.
    pub whole: Duration,
    /// Generated tokens.
    pub tokens: u64,
    /// Cost, in millionths of the currency unit.
    pub cost: u64,
}

/// Current values of the gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GaugeValues {
    /// Applied plan revision.
    pub revision: u64,
    /// Remaining lease time.
    pub lease_left: Duration,
    /// Requests queued for an endpoint.
    pub waiting: usize,
    /// Admitted requests that have not ended.
    pub in_flight: u32,
    /// Endpoints in the registry.
    pub endpoints: usize,
}

impl EntryMetrics {
    /// Counts an answered request.
    pub fn record_answer(&self, parsed: &ParsedRequest, stats: AnswerStats<'_>) {
        let labels = [
            KeyValue::new("workspace", parsed.workspace.to_string()),
            KeyValue::new("answered_by", stats.answered_by.to_owned()),
        ];
        self.requests.add(1, &labels);
        self.tokens.add(stats.tokens, &labels);
        self.cost.add(stats.cost, &labels);
        if let Some(first) = stats.first_token {
            self.first_token.record(first.as_secs_f64(), &labels);
        }
        self.whole_answer.record(stats.whole.as_secs_f64(), &labels);
    }

    /// Counts a refusal by its code.
    pub fn record_refusal(&self, refusal: &Refusal) {
        let labels = [KeyValue::new("code", refusal.code_text())];
        self.refusals.add(1, &labels);
    }

    /// Counts a retry.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Sets the gauges and renders the metrics in the Prometheus text format.
    pub fn render(&self, values: &GaugeValues) -> String {
        self.revision.record(values.revision, &[]);
        self.lease_left.record(values.lease_left.as_secs_f64(), &[]);
        self.waiting.record(values.waiting as u64, &[]);
        self.in_flight.record(u64::from(values.in_flight), &[]);
        self.endpoints.record(values.endpoints as u64, &[]);
        self.page.text()
    }
}
