//! A stand-in for the rating service: an answer is good when it starts with [`GOOD_MARKER`], which the
//! stand-in engine writes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use chestnutloft_wire::http::{AnyBody, json_response, read_body, serve, text_response};

use crate::text::GOOD_MARKER;

/// Request size limit.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

#[derive(Deserialize)]
struct RatingRequest {
    answer: String,
}

/// A running stand-in rating service; clones control the same server.
#[derive(Clone, Debug)]
pub struct RatingStandin {
    /// Listening address.
    pub address: SocketAddr,
    rated_count: Arc<AtomicU64>,
    stop: watch::Sender<bool>,
}

impl RatingStandin {
    /// Starts a service that answers each rating request after `delay`.
    ///
    /// # Errors
    /// The I/O error when `address` cannot be bound.
    pub async fn start(address: SocketAddr, delay: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let rated_count = Arc::new(AtomicU64::new(0));
        let (stop, stop_receiver) = watch::channel(false);
        let counter = Arc::clone(&rated_count);
        let service = move |request| handle(Arc::clone(&counter), delay, request);
        tokio::spawn(serve(listener, stop_receiver, Duration::ZERO, service));
        Ok(Self {
            address,
            rated_count,
            stop,
        })
    }

    /// Number of answers rated.
    pub fn rated_count(&self) -> u64 {
        self.rated_count.load(Ordering::Relaxed)
    }

    /// Stops accepting connections and asks open ones to close, without waiting for them.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

async fn handle(
    rated_count: Arc<AtomicU64>,
    delay: Duration,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    let Ok(body) = read_body(request.into_body(), MAX_REQUEST_BYTES).await else {
        return text_response(400, "the body was cut\n");
    };
    let Ok(rating_request) = serde_json::from_slice::<RatingRequest>(&body) else {
        return text_response(400, "the body is no rating call\n");
    };
    tokio::time::sleep(delay).await;
    rated_count.fetch_add(1, Ordering::Relaxed);
    json_response(
        200,
        &json!({ "is_good": rating_request.answer.starts_with(GOOD_MARKER) }),
    )
}
