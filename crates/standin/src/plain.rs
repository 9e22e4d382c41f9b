//! A stand-in for a plain service that books: each booking that it runs is counted by its key.

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

/// Largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// How a stand-in service behaves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainBehaviour {
    /// Time to answer, in milliseconds.
    pub answer_ms: u64,
    /// Runs every request and then breaks the connection.
    pub breaks_after_run: bool,
    /// Refuses every request, saying that it did not run.
    pub is_refusing: bool,
}

/// Bookings run, by idempotency key.
pub type BookingCounts = BTreeMap<String, u32>;

#[derive(Debug, Default)]
struct PlainState {
    behaviour: PlainBehaviour,
    bookings: BookingCounts,
    lookups: u64,
    running: u32,
}

/// A running stand-in service. Several endpoints may share one set of bookings.
#[derive(Clone, Debug)]
pub struct PlainStandin {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<Mutex<PlainState>>,
    stop: watch::Sender<bool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlainStandin {
    /// Starts a service.
    ///
    /// # Errors
    /// The I/O error when the address is taken.
    pub async fn start(address: SocketAddr, behaviour: PlainBehaviour) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(PlainState {
            behaviour,
            ..PlainState::default()
        }));
        let (stop, stopped) = watch::channel(false);
        let serving = Arc::clone(&state);
        let service = move |request| answer(Arc::clone(&serving), request);
        tokio::spawn(serve(listener, stopped, Duration::ZERO, service));
        Ok(Self {
            address,
            state,
            stop,
        })
    }

    /// Bookings that it ran, by key.
    pub fn bookings(&self) -> BookingCounts {
        lock(&self.state).bookings.clone()
    }

    /// Lookups that it ran.
    pub fn lookups(&self) -> u64 {
        lock(&self.state).lookups
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        lock(&self.state).running
    }

    /// Changes its behaviour.
    pub fn change(&self, change: impl FnOnce(&mut PlainBehaviour)) {
        change(&mut lock(&self.state).behaviour);
    }

    /// Ends it, cutting what runs.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

async fn answer(state: Arc<Mutex<PlainState>>, request: Request<Incoming>) -> Response<AnyBody> {
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
        return broken_response();
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    json_response(
        200,
        &json!({ "booking": key, "run": count, "request": text }),
    )
}

/// A response whose body breaks off.
fn broken_response() -> Response<AnyBody> {
    use http_body_util::{BodyExt, StreamBody};
    let frames =
        futures_util::stream::iter([Err::<hyper::body::Frame<bytes::Bytes>, _>("broken".into())]);
    Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
}
