//! Callers' connections, and the question whether this entry takes new ones.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use chestnutloft_wire::clock;
use chestnutloft_wire::http::{AnyBody, full};

use super::context::ForwardGate;
use super::dialect::empty_response;
use super::pipeline::answer_call;

/// Wait after a connection could not be accepted, for want of file descriptors most likely.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Connections of callers that are open.
pub type OpenCount = Arc<AtomicUsize>;

/// Takes callers' connections until the process ends. Once `draining` is set, each connection is
/// closed as soon as it is idle.
pub async fn serve_callers(
    gate: Arc<ForwardGate>,
    listener: TcpListener,
    open: OpenCount,
    draining: watch::Receiver<bool>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_WAIT).await;
            continue;
        };
        let gate = Arc::clone(&gate);
        let open = Arc::clone(&open);
        let draining = draining.clone();
        tokio::spawn(async move {
            open.fetch_add(1, Ordering::Relaxed);
            serve_connection(gate, stream, draining).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection(
    gate: Arc<ForwardGate>,
    stream: TcpStream,
    mut draining: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let limits = gate.book().declaration().limits.clone();
    let service = service_fn(move |request| {
        let gate = Arc::clone(&gate);
        async move { Ok::<_, Infallible>(answer_call(gate, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Covers the wait for the next request on a kept connection too.
        .header_read_timeout(limits.idle())
        .max_buf_size(limits.head_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_draining = false;
    loop {
        tokio::select! {
            // How a connection ends is the caller's matter; each call has its own log line.
            _ = &mut connection => return,
            _ = draining.wait_for(|is_set| *is_set), if !is_draining => {
                is_draining = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Answers a GET by its path alone.
pub type PageAnswer = fn(&ForwardGate, &str) -> Response<AnyBody>;

/// Serves pages about this entry: its readiness, or its metrics.
pub async fn serve_pages(gate: Arc<ForwardGate>, listener: TcpListener, answer: PageAnswer) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_WAIT).await;
            continue;
        };
        let gate = Arc::clone(&gate);
        tokio::spawn(async move {
            let service = service_fn(move |request: hyper::Request<_>| {
                let page = answer(&gate, request.uri().path());
                async move { Ok::<_, Infallible>(page) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            // Whoever lost the answer asks again.
            let _ = connection.await;
        });
    }
}

/// Counters, histograms and gauges of this entry.
pub fn metrics_page(gate: &ForwardGate, path: &str) -> Response<AnyBody> {
    if path != METRICS_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let levels = gate.book().levels(clock::now());
    Response::new(full(gate.metrics.text(&levels)))
}

/// Whether this entry takes new connections.
pub fn readiness(gate: &ForwardGate, path: &str) -> Response<AnyBody> {
    if path != gate.dialect.ready_path {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let is_ready = !gate.is_leaving() && gate.book().is_ready(clock::now());
    empty_response(if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}
