//! A stand-in for the rating service: it reads the mark that stand-in engines put first.

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

use crate::text::GOOD_MARK;

const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

#[derive(Deserialize)]
struct RatingCall {
    answer: String,
}

/// A running stand-in rating service.
#[derive(Clone, Debug)]
pub struct RatingStandin {
    /// Its address.
    pub address: SocketAddr,
    rated: Arc<AtomicU64>,
    stop: watch::Sender<bool>,
}

impl RatingStandin {
    /// Starts a service whose ratings take `delay`.
    ///
    /// # Errors
    /// The I/O error when the address is taken.
    pub async fn start(address: SocketAddr, delay: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let rated = Arc::new(AtomicU64::new(0));
        let (stop, stopped) = watch::channel(false);
        let counter = Arc::clone(&rated);
        let service = move |request| answer(Arc::clone(&counter), delay, request);
        tokio::spawn(serve(listener, stopped, Duration::ZERO, service));
        Ok(Self {
            address,
            rated,
            stop,
        })
    }

    /// Answers rated.
    pub fn rated(&self) -> u64 {
        self.rated.load(Ordering::Relaxed)
    }

    /// Ends it.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

async fn answer(
    rated: Arc<AtomicU64>,
    delay: Duration,
    request: Request<Incoming>,
) -> Response<AnyBody> {
    let Ok(body) = read_body(request.into_body(), MAX_REQUEST_BYTES).await else {
        return text_response(400, "the body was cut\n");
    };
    let Ok(call) = serde_json::from_slice::<RatingCall>(&body) else {
        return text_response(400, "the body is no rating call\n");
    };
    tokio::time::sleep(delay).await;
    rated.fetch_add(1, Ordering::Relaxed);
    json_response(
        200,
        &json!({ "is_good": call.answer.starts_with(GOOD_MARK) }),
    )
}
