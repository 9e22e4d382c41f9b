//! Listening sockets of a process that starts.

use std::future::Future;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::clock;

/// Time for which an address that is in use is tried again: the process that ran before may take its
/// time to end, and an outgoing connection of another process may have the port for a while.
const MAX_BIND_TIME: Duration = Duration::from_secs(30);
/// Interval between two tries.
const BIND_INTERVAL: Duration = Duration::from_millis(100);

/// Binds `address`, on which the process serves `service`. Tries again while it is in use.
///
/// # Errors
/// The I/O error, with service and address, when the address cannot be bound or stays in use for
/// [`MAX_BIND_TIME`].
pub async fn bind(service: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    let started_at = clock::now();
    let mut is_logged = false;
    loop {
        let error = match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let is_over = clock::now().since(started_at) >= MAX_BIND_TIME;
        if error.kind() != ErrorKind::AddrInUse || is_over {
            let problem = format!("cannot bind {address} for {service}: {error}");
            return Err(Error::new(error.kind(), problem));
        }
        if !std::mem::replace(&mut is_logged, true) {
            spdlog::warn!(
                "listen: {address} for {service} is in use; trying again for {} s.",
                MAX_BIND_TIME.as_secs()
            );
        }
        tokio::time::sleep(BIND_INTERVAL).await;
    }
}

/// Serves a page that the process can do without: if its address is in use, the process starts and
/// goes on trying to bind it. Returns the bound address, if it is bound at once.
pub async fn serve_optional<F: Future<Output = ()> + Send + 'static>(
    service: &'static str,
    address: SocketAddr,
    serve: impl FnOnce(TcpListener) -> F + Send + 'static,
) -> Option<SocketAddr> {
    if let Ok(listener) = TcpListener::bind(address).await {
        let bound = listener.local_addr().ok();
        tokio::spawn(serve(listener));
        return bound;
    }
    tokio::spawn(async move {
        match bind(service, address).await {
            Ok(listener) => {
                spdlog::info!("listen: {service} is served on {address} now.");
                serve(listener).await;
            }
            Err(error) => spdlog::error!("listen: {error}; it is not served."),
        }
    });
    None
}
