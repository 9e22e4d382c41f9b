//! Accepts caller connections and serves the readiness check and the metrics page.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::watch;

use chestnutloft_wire::clock;
use chestnutloft_wire::http::{AnyBody, full};

use super::caller_connection::serve_connection;
use super::codec::empty_response;
use super::context::ForwardContext;
use super::metrics::GaugeValues;

/// Delay after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Number of open caller connections.
pub type ConnectionCount = Arc<AtomicUsize>;

/// Accepts caller connections until the process ends. Once `draining` is set, each connection is
/// closed when it is idle.
pub async fn serve_callers(
    context: Arc<ForwardContext>,
    listener: TcpListener,
    open_connections: ConnectionCount,
    draining: watch::Receiver<bool>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let context = Arc::clone(&context);
        let open_connections = Arc::clone(&open_connections);
        let draining = draining.clone();
        tokio::spawn(async move {
            open_connections.fetch_add(1, Ordering::Relaxed);
            serve_connection(context, stream, draining).await;
            open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Builds a response from the path of the request alone.
pub type StatusHandler = fn(&ForwardContext, &str) -> Response<AnyBody>;

/// Serves the readiness check or the metrics page.
pub async fn serve_status(
    context: Arc<ForwardContext>,
    listener: TcpListener,
    handler: StatusHandler,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let service = service_fn(move |request: hyper::Request<_>| {
                let page = handler(&context, request.uri().path());
                async move { Ok::<_, Infallible>(page) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            // Probes and scrapers repeat their requests, so a failed connection is not logged.
            let _ = connection.await;
        });
    }
}

/// Serves the metrics page.
pub fn metrics_page(context: &ForwardContext, path: &str) -> Response<AnyBody> {
    if path != METRICS_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let gauges = GaugeValues {
        body_bytes: context.bodies.reserved_bytes(),
        relay_bytes: context.bodies.relays.held_bytes(),
        ..context.state().gauge_values(clock::now())
    };
    Response::new(full(context.metrics.render(&gauges)))
}

/// Serves the readiness check: 200 while the entry has current routes and is not shutting down.
pub fn readiness(context: &ForwardContext, path: &str) -> Response<AnyBody> {
    if path != context.codec.ready_path {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let is_ready = !context.is_shutting_down() && context.state().is_ready(clock::now());
    empty_response(if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}
