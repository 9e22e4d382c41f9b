//! Connections to endpoints: kept, used again, and never shared by two calls at once.

use std::collections::HashMap;
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

/// Time for a connection to be made: many round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle time after which a connection is not used again where the endpoint names no limit.
const IDLE_LIMIT: Duration = Duration::from_secs(8);
/// Share of the idle time named by the endpoint that is used.
const IDLE_SHARE: f64 = 0.7;

/// Why a call was not answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// No connection could be made: the call was not sent.
    Unreachable(String),
    /// The connection was closed before the call was sent.
    Closed,
    /// The connection broke after the call was sent.
    Broken(String),
}

/// One connection. Dropping it closes it at once.
pub struct EndpointLink {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_limit: Duration,
    used_at: TimePoint,
}

impl Drop for EndpointLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl EndpointLink {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    /// [`LinkError::Unreachable`] when none is made in time.
    pub async fn open(address: &str) -> Result<Self, LinkError> {
        let unreachable = |reason: String| LinkError::Unreachable(reason);
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable(format!("no connection for {CONNECT_TIMEOUT:?}")))?
            .map_err(|error| unreachable(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let driver = tokio::spawn(async move {
            // The error shows at the call that uses the connection.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            idle_limit: IDLE_LIMIT,
            used_at: clock::now(),
        })
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    /// [`LinkError`] saying whether the call was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, LinkError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(LinkError::Closed),
                None => Err(LinkError::Broken(error.into_error().to_string())),
            },
        }
    }

    /// Notes how long the endpoint keeps an idle connection.
    pub fn note_keep_alive(&mut self, limit: Duration) {
        self.idle_limit = limit.mul_f64(IDLE_SHARE);
    }

    fn is_usable(&self, now: TimePoint, longest_idle: Duration) -> bool {
        self.sender.is_ready() && now.since(self.used_at) < self.idle_limit.min(longest_idle)
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct LinkPool {
    idle: Mutex<HashMap<String, Vec<EndpointLink>>>,
}

impl LinkPool {
    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<EndpointLink>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection to `address` that was used within `longest_idle`, the youngest first.
    pub fn take(
        &self,
        now: TimePoint,
        address: &str,
        longest_idle: Duration,
    ) -> Option<EndpointLink> {
        let mut idle = self.idle();
        let links = idle.get_mut(address)?;
        while let Some(link) = links.pop() {
            if link.is_usable(now, longest_idle) {
                return Some(link);
            }
            let is_only_older = link.is_usable(now, IDLE_LIMIT);
            if is_only_older {
                links.push(link);
                return None;
            }
        }
        None
    }

    /// Keeps a connection whose answer has arrived whole.
    pub fn put(&self, now: TimePoint, address: &str, mut link: EndpointLink) {
        link.used_at = now;
        self.idle()
            .entry(address.to_owned())
            .or_default()
            .push(link);
    }

    /// Closes idle connections that are not used again.
    pub fn sweep(&self, now: TimePoint) {
        let mut idle = self.idle();
        for links in idle.values_mut() {
            links.retain(|link| {
                !link.sender.is_closed() && now.since(link.used_at) < link.idle_limit
            });
        }
        idle.retain(|_, links| !links.is_empty());
    }

    /// Closes the idle connections to `address`.
    pub fn forget(&self, address: &str) {
        self.idle().remove(address);
    }
}
