//! A load generator: sends requests at a constant rate, or as fast as possible, and measures latency
//! and throughput.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::json;

use chestnutloft_wire::http::{HttpClient, client, full};

/// The load to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// Entries, used in round-robin order.
    pub entries: Vec<SocketAddr>,
    /// Workspace, sent in `x-workspace`.
    pub workspace: String,
    /// Request kind, sent in `x-kind`.
    pub kind: String,
    /// Model or version; `auto` lets the router choose.
    pub model: String,
    /// Requests per second; 0 sends as fast as `connections` allows.
    pub rate: f64,
    /// Total number of requests.
    pub requests: u64,
    /// Concurrent requests.
    pub connections: usize,
    /// Pieces per answer, sent as `max_tokens`.
    pub pieces: u64,
    /// Path of a plain service to call instead of a model.
    pub path: Option<String>,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            workspace: "demo".to_owned(),
            kind: "default".to_owned(),
            model: "auto".to_owned(),
            rate: 0.0,
            requests: 1_000,
            connections: 16,
            pieces: 20,
            path: None,
        }
    }
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Requests with a complete response and a success status.
    pub answered: u64,
    /// Requests that failed, were refused or got an incomplete response.
    pub failed: u64,
    /// Latency of the first body data, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Latency of the complete response, in microseconds.
    pub full_response: Histogram<u64>,
    /// Body bytes of the answered requests.
    pub bytes: u64,
    /// Duration of the run.
    pub elapsed: Duration,
}

impl LoadReport {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are valid");
        Self {
            answered: 0,
            failed: 0,
            first_byte: histogram(),
            full_response: histogram(),
            bytes: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// The report as text for a terminal.
    pub fn lines(&self) -> Vec<String> {
        let quantile_ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
        let row = |name: &str, h: &Histogram<u64>| {
            format!(
                "{name}: p50 {:.3} ms, p95 {:.3} ms, p99 {:.3} ms, max {:.3} ms",
                quantile_ms(h, 0.5),
                quantile_ms(h, 0.95),
                quantile_ms(h, 0.99),
                h.max() as f64 / 1_000.0
            )
        };
        let seconds = self.elapsed.as_secs_f64();
        vec![
            format!(
                "{} answered, {} failed in {seconds:.2} s: {:.0} requests/s, {:.1} MB/s",
                self.answered,
                self.failed,
                self.answered as f64 / seconds,
                self.bytes as f64 / seconds / 1e6
            ),
            row("first byte", &self.first_byte),
            row("whole answer", &self.full_response),
        ]
    }
}

/// Generates the load and waits until all requests have ended.
pub async fn run(settings: LoadSettings) -> LoadReport {
    let report = Arc::new(Mutex::new(LoadReport::new()));
    let settings = Arc::new(settings);
    let next_number = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let started = Instant::now();
    let workers: Vec<_> = (0..settings.connections)
        .map(|_| {
            let settings = Arc::clone(&settings);
            let report = Arc::clone(&report);
            let next_number = Arc::clone(&next_number);
            tokio::spawn(async move { run_worker(&settings, &report, &next_number, started).await })
        })
        .collect();
    for worker in workers {
        let _ = worker.await;
    }
    let mut report = report
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    report.elapsed = started.elapsed();
    report
}

async fn run_worker(
    settings: &LoadSettings,
    report: &Mutex<LoadReport>,
    next_number: &std::sync::atomic::AtomicU64,
    started: Instant,
) {
    let http = client();
    loop {
        let number = next_number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        if number >= settings.requests {
            return;
        }
        if settings.rate > 0.0 {
            let due_after = Duration::from_secs_f64(number as f64 / settings.rate);
            tokio::time::sleep(due_after.saturating_sub(started.elapsed())).await;
        }
        let sent_at = Instant::now();
        let result = send(&http, settings, number).await;
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        match result {
            Some((first_data_at, bytes)) => {
                report.answered += 1;
                report.bytes += bytes;
                let _ = report
                    .first_byte
                    .record(duration_micros(first_data_at - sent_at));
                let _ = report
                    .full_response
                    .record(duration_micros(sent_at.elapsed()));
            }
            None => report.failed += 1,
        }
    }
}

fn duration_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn build_request(
    settings: &LoadSettings,
    number: u64,
) -> Option<Request<chestnutloft_wire::http::AnyBody>> {
    let entries = settings.entries.len() as u64;
    let entry = settings
        .entries
        .get(usize::try_from(number % entries).ok()?)?;
    let builder = Request::builder()
        .header("x-workspace", &settings.workspace)
        .header("x-kind", &settings.kind)
        .header("content-type", "application/json");
    if let Some(path) = &settings.path {
        let uri = format!("http://{entry}{path}");
        return builder.method("GET").uri(uri).body(full("")).ok();
    }
    let body = json!({
        "model": settings.model,
        "stream": true,
        "max_tokens": settings.pieces,
        "messages": [{ "role": "user", "content": format!("request {number}") }],
    });
    let uri = format!("http://{entry}/v1/chat/completions");
    builder
        .method("POST")
        .uri(uri)
        .body(full(body.to_string()))
        .ok()
}

/// Sends one request. Returns when its first body data arrived and the size of the body, or `None`
/// unless the response is complete and successful.
async fn send(http: &HttpClient, settings: &LoadSettings, number: u64) -> Option<(Instant, u64)> {
    let request = build_request(settings, number)?;
    let response = http.request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut body = response.into_body();
    let mut first_data_at = None;
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        first_data_at.get_or_insert_with(Instant::now);
        bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    Some((first_data_at.unwrap_or_else(Instant::now), bytes))
}
