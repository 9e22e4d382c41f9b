//! Pool of HTTP/1 connections to endpoints. A connection carries one call at a time.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use super::codec::{ConnectionPersistence, ResponseHead};
use super::sockets::prepare_endpoint_stream;
use super::write_meter::{MeteredStream, WriteMeter};

/// Timeout for opening a connection: many round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle time after which a connection is not reused, where the endpoint sends no keep-alive
/// timeout.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(8);
/// Share of the endpoint's keep-alive timeout within which a connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Bytes of a response that are read at once, and the limit of a response head. By default, each
/// connection may take 400 KB, which is more than an entry has for the connections of some hundred
/// calls.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Why a call got no response on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionError {
    /// No connection could be opened: the call was not sent.
    Unreachable(String),
    /// The address refused the connection: no process listens there.
    Refused(String),
    /// The connection was closed before the call was sent.
    Closed,
    /// The connection failed after the call was sent.
    Broken(String),
}

/// An open connection. Dropping it closes it at once, and resets it if a call is under way.
pub struct EndpointConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_limit: Duration,
    last_used_at: TimePoint,
    /// Whether the next response on the connection can only belong to the next request.
    is_in_step: bool,
    /// Whether a call was sent whose response has not been received completely.
    has_open_call: bool,
    /// How far the current request has been written.
    pub meter: WriteMeter,
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        if self.has_open_call {
            self.meter.abandon();
        }
        self.driver.abort();
    }
}

impl EndpointConnection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    /// [`ConnectionError::Refused`] when the address refuses it, [`ConnectionError::Unreachable`]
    /// when none is open within [`CONNECT_TIMEOUT`].
    pub async fn open(address: &str) -> Result<Self, ConnectionError> {
        let unreachable = |reason: String| ConnectionError::Unreachable(reason);
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable(format!("connect timed out after {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => ConnectionError::Refused(error.to_string()),
                _ => unreachable(error.to_string()),
            })?;
        prepare_endpoint_stream(&stream);
        let meter = WriteMeter::default();
        let stream = MeteredStream::new(stream, meter.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let driver = tokio::spawn(async move {
            // The call that uses the connection gets the error as well.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            idle_limit: DEFAULT_IDLE_LIMIT,
            last_used_at: clock::now(),
            is_in_step: true,
            has_open_call: false,
            meter,
        })
    }

    /// Sends a call and waits for the response head.
    ///
    /// # Errors
    /// [`ConnectionError::Closed`] when the call was not sent, [`ConnectionError::Broken`] when it
    /// may have been.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, ConnectionError> {
        self.meter.restart();
        self.is_in_step = false;
        self.has_open_call = true;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(ConnectionError::Closed),
                None => Err(ConnectionError::Broken(error.into_error().to_string())),
            },
        }
    }

    /// Records the head of the response to the last request. Unless it carries the id of the call and
    /// the endpoint keeps the connection open, the connection is not used again: a response to an
    /// earlier request may have taken the place of that to the last one, which then is still to come.
    pub fn record_response(&mut self, head: &ResponseHead) {
        match head.persistence {
            ConnectionPersistence::Close => return,
            ConnectionPersistence::KeepAlive(Some(timeout)) => {
                self.idle_limit = timeout.mul_f64(KEEP_ALIVE_SHARE);
            }
            ConnectionPersistence::KeepAlive(None) => {}
        }
        self.is_in_step = head.has_call_id;
    }

    /// Records that the response to the last request has been received completely.
    pub fn finish_call(&mut self) {
        self.has_open_call = false;
    }

    fn is_usable(&self, now: TimePoint, max_idle: Duration) -> bool {
        self.sender.is_ready() && now.since(self.last_used_at) < self.idle_limit.min(max_idle)
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<String, Vec<EndpointConnection>>>,
}

impl ConnectionPool {
    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<EndpointConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection to `address`, if it was used within
    /// `max_idle`.
    pub fn take(
        &self,
        now: TimePoint,
        address: &str,
        max_idle: Duration,
    ) -> Option<EndpointConnection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(now, max_idle) {
                return Some(connection);
            }
            // Still usable for calls that accept an older connection.
            let is_only_too_old = connection.is_usable(now, DEFAULT_IDLE_LIMIT);
            if is_only_too_old {
                connections.push(connection);
                return None;
            }
        }
        None
    }

    /// Returns a connection to the pool, or closes it if its responses cannot be told apart any more.
    /// Its last response must have been received completely.
    pub fn put(&self, now: TimePoint, address: &str, mut connection: EndpointConnection) {
        connection.finish_call();
        if !connection.is_in_step {
            return;
        }
        connection.last_used_at = now;
        self.idle()
            .entry(address.to_owned())
            .or_default()
            .push(connection);
    }

    /// Removes idle connections that the endpoint has closed or that are past their idle limit.
    pub fn sweep(&self, now: TimePoint) {
        let mut idle = self.idle();
        for connections in idle.values_mut() {
            connections.retain(|connection| {
                !connection.sender.is_closed()
                    && now.since(connection.last_used_at) < connection.idle_limit
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the idle connections to `address`.
    pub fn close_all(&self, address: &str) {
        self.idle().remove(address);
    }
}
