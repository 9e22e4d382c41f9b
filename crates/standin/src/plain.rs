//! A stand-in for a plain service: POST requests are bookings, counted by idempotency key, and all
//! others are lookups. A booking that ran more than once shows up as a count above 1.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use chestnutloft_wire::http::{AnyBody, header, json_response, read_body, serve, text_response};

/// Request size limit.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// Configurable behaviour of a stand-in service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainBehaviour {
    /// Delay before each response, in milliseconds.
    pub answer_ms: u64,
    /// Executes every request and then aborts the response body.
    pub breaks_after_run: bool,
    /// Rejects every request with status 503 and `x-not-run: true`.
    pub is_refusing: bool,
}

/// Number of executions of each booking, by idempotency key.
pub type BookingCounts = BTreeMap<String, u32>;

#[derive(Debug, Default)]
struct PlainState {
    behaviour: PlainBehaviour,
    bookings: BookingCounts,
    lookups: u64,
    running: u32,
}

/// A running stand-in service; clones control the same server and share its bookings.
#[derive(Clone, Debug)]
pub struct PlainStandin {
    /// Listening address.
    pub address: SocketAddr,
    state: Arc<Mutex<PlainState>>,
    stop: watch::Sender<bool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlainStandin {
    /// Starts a service on `address`; port 0 lets the system choose.
    ///
    /// # Errors
    /// The I/O error when `address` cannot be bound.
    pub async fn start(address: SocketAddr, behaviour: PlainBehaviour) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(PlainState {
            behaviour,
            ..PlainState::default()
        }));
        let (stop, stop_receiver) = watch::channel(false);
        let handler_state = Arc::clone(&state);
        let service = move |request| handle(Arc::clone(&handler_state), request);
        tokio::spawn(serve(listener, stop_receiver, Duration::ZERO, service));
        Ok(Self {
            address,
            state,
            stop,
        })
    }

    /// Number of executions of each booking so far.
    pub fn bookings(&self) -> BookingCounts {
        lock(&self.state).bookings.clone()
    }

    /// Number of lookups executed.
    pub fn lookups(&self) -> u64 {
        lock(&self.state).lookups
    }

    /// Number of requests in progress.
    pub fn running(&self) -> u32 {
        lock(&self.state).running
    }

    /// Changes the behaviour for requests that arrive from now on.
    pub fn update_behaviour(&self, update: impl FnOnce(&mut PlainBehaviour)) {
        update(&mut lock(&self.state).behaviour);
    }

    /// Stops accepting connections and asks open ones to close, without waiting for them.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

async fn handle(state: Arc<Mutex<PlainState>>, request: Request<Incoming>) -> Response<AnyBody> {
    if request.uri().path() == "/standin/v1/bookings" {
        return json_response(200, &lock(&state).bookings.clone());
    }
    let behaviour = lock(&state).behaviour.clone();
    if behaviour.is_refusing {
        let mut response = text_response(503, "refusing\n");
        let value = hyper::header::HeaderValue::from_static("true");
        response.headers_mut().insert("x-not-run", value);
        return response;
    }
    let is_booking = request.method() == Method::POST;
    let key = header(&request, "idempotency-key")
        .unwrap_or("none")
        .to_owned();
    let Ok(body) = read_body(request.into_body(), MAX_REQUEST_BYTES).await else {
        return text_response(400, "the body was cut\n");
    };
    let count = {
        let mut plain = lock(&state);
        plain.running += 1;
        if is_booking {
            let count = plain.bookings.entry(key.clone()).or_default();
            *count += 1;
            *count
        } else {
            plain.lookups += 1;
            0
        }
    };
    if behaviour.answer_ms > 0 {
        tokio::time::sleep(Duration::from_millis(behaviour.answer_ms)).await;
    }
    lock(&state).running -= 1;
    if behaviour.breaks_after_run {
        return aborted_response();
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    json_response(
        200,
        &json!({ "booking": key, "run": count, "request": text }),
    )
}

/// A response whose body ends with an error before any data.
fn aborted_response() -> Response<AnyBody> {
    use http_body_util::{BodyExt, StreamBody};
    let frames =
        futures_util::stream::iter([Err::<hyper::body::Frame<bytes::Bytes>, _>("broken".into())]);
    Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
}
