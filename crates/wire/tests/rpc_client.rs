//! The RPC client beside a process that does not answer.

use std::net::TcpListener;
use std::time::Duration;

use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::{CallError, RpcClient};

const PAYLOAD_BYTES: usize = 1024 * 1024;
const CALLS: usize = 64;
/// Calls that may wait: 8 MiB, and the one that passes this limit.
const MAX_WAITING_CALLS: usize = 9;

/// Guards against calls to a process that does not answer taking up the memory of the caller.
#[tokio::test]
async fn calls_to_a_silent_process_are_rejected_once_many_bytes_wait() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    let client = RpcClient::start(Vec::new()).expect("a client");
    let payload = vec![7_u8; PAYLOAD_BYTES];

    let calls = (0..CALLS).map(|_| {
        let timeout = Duration::from_millis(300);
        client.call::<_, ()>(&address, Method::Run, &payload, timeout)
    });
    let outcomes = futures_util::future::join_all(calls).await;
    let later = client
        .call::<_, ()>(&address, Method::Run, &payload, Duration::from_millis(50))
        .await;

    let is_rejected = |outcome: &&Result<(), CallError>| matches!(outcome, Err(CallError::NotSent(reason)) if reason.contains("bytes wait"));
    let rejected = outcomes.iter().filter(is_rejected).count();
    assert!(rejected >= CALLS - MAX_WAITING_CALLS, "{rejected}");
    // The calls that timed out no longer count.
    assert!(!is_rejected(&&later), "{later:?}");
}
