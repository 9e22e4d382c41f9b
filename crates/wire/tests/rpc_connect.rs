//! Calls to processes that cannot be reached.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::{CallError, RpcClient};

/// Time after which a connection attempt counts as hanging.
const HANG_TIME: Duration = Duration::from_millis(150);

/// A listener whose queue of new connections is full: it drops opening packets, like a machine
/// without power.
async fn silent_listener() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = tokio::time::timeout(HANG_TIME, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    (address, listener, queued)
}

/// Guards against calls that wait for a connection attempt whose opening packet was lost, although
/// the process could be reached again by a new one: entries found the leading keeper only a second
/// after power had returned.
#[tokio::test]
async fn connection_attempt_ends_before_the_call_times_out() {
    let (address, _listener, _queued) = silent_listener().await;
    let client = RpcClient::start(Vec::new()).expect("a client");
    let started_at = Instant::now();

    let outcome = client
        .call::<_, ()>(
            &address.to_string(),
            Method::Share,
            &(),
            Duration::from_secs(5),
        )
        .await;

    assert!(matches!(outcome, Err(CallError::NotSent(_))), "{outcome:?}");
    assert!(started_at.elapsed() < Duration::from_secs(2));
}
