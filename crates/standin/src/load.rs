//! A load client: sends requests at a steady rate and measures them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::json;

use chestnutloft_wire::http::{HttpClient, client, full};

/// What load to send.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// Entries, asked in turn.
    pub entries: Vec<SocketAddr>,
    /// Workspace.
    pub workspace: String,
    /// Kind of request.
    pub kind: String,
    /// Model, `auto` to let the router choose.
    pub model: String,
    /// Requests per second; 0 sends as fast as `connections` allow.
    pub rate: f64,
    /// Requests in all.
    pub requests: u64,
    /// Requests at once.
    pub connections: usize,
    /// Pieces of an answer.
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

/// What was measured.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused or broken.
    pub failed: u64,
    /// Time to the first byte of the body, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Time to the end, in microseconds.
    pub whole: Histogram<u64>,
    /// Bytes of bodies.
    pub bytes: u64,
    /// Time of the whole run.
    pub elapsed: Duration,
}

impl LoadReport {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are valid");
        Self {
            answered: 0,
            failed: 0,
            first_byte: histogram(),
            whole: histogram(),
            bytes: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// The report as lines of text.
    pub fn lines(&self) -> Vec<String> {
        let micros = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
        let row = |name: &str, h: &Histogram<u64>| {
            format!(
                "{name}: p50 {:.3} ms, p95 {:.3} ms, p99 {:.3} ms, max {:.3} ms",
                micros(h, 0.5),
                micros(h, 0.95),
                micros(h, 0.99),
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
            row("whole answer", &self.whole),
        ]
    }
}

/// Sends the load.
pub async fn run(settings: LoadSettings) -> LoadReport {
    let report = Arc::new(Mutex::new(LoadReport::new()));
    let settings = Arc::new(settings);
    let next = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let began = Instant::now();
    let workers: Vec<_> = (0..settings.connections)
        .map(|_| {
            let settings = Arc::clone(&settings);
            let report = Arc::clone(&report);
            let next = Arc::clone(&next);
            tokio::spawn(async move { work(&settings, &report, &next, began).await })
        })
        .collect();
    for worker in workers {
        let _ = worker.await;
    }
    let mut report = report
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    report.elapsed = began.elapsed();
    report
}

async fn work(
    settings: &LoadSettings,
    report: &Mutex<LoadReport>,
    next: &std::sync::atomic::AtomicU64,
    began: Instant,
) {
    let http = client();
    loop {
        let number = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        if number >= settings.requests {
            return;
        }
        if settings.rate > 0.0 {
            let due = Duration::from_secs_f64(number as f64 / settings.rate);
            tokio::time::sleep(due.saturating_sub(began.elapsed())).await;
        }
        let sent = Instant::now();
        let measured = send(&http, settings, number).await;
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        match measured {
            Some((first, bytes)) => {
                report.answered += 1;
                report.bytes += bytes;
                let _ = report.first_byte.record(micros(first - sent));
                let _ = report.whole.record(micros(sent.elapsed()));
            }
            None => report.failed += 1,
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn request_of(
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

/// Sends one request; when its first byte came and how many bytes it had, if it came whole.
async fn send(http: &HttpClient, settings: &LoadSettings, number: u64) -> Option<(Instant, u64)> {
    let request = request_of(settings, number)?;
    let response = http.request(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut body = response.into_body();
    let mut first = None;
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        first.get_or_insert_with(Instant::now);
        bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    Some((first.unwrap_or_else(Instant::now), bytes))
}
