//! RPC client for other processes of the cluster.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

use crate::peer_capnp::peer;
use crate::rpc::{Method, Status, twoparty_network};

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// There is no connection; the call was not sent.
    NotSent(String),
    /// The connection broke or the answer timed out; the call may have been served.
    Unanswered(String),
    /// The other process rejected the call without serving it.
    Refused(&'static str),
    /// The answer could not be decoded.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Unanswered(reason) => write!(f, "no answer: {reason}"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Malformed => write!(f, "the answer could not be decoded"),
        }
    }
}

impl std::error::Error for CallError {}

/// Payload bytes that may wait for one address. The call that passes this limit is the last one to be
/// sent until others have ended.
const MAX_WAITING_BYTES: usize = 8 * 1024 * 1024;

/// Payload bytes of the calls that have not ended, by address.
#[derive(Debug, Default)]
struct WaitingBytes {
    by_address: Mutex<HashMap<String, usize>>,
}

/// Counts a call as waiting until dropped.
struct WaitingCall {
    waiting: Arc<WaitingBytes>,
    address: String,
    bytes: usize,
}

impl WaitingBytes {
    fn admit(self: &Arc<Self>, address: &str, bytes: usize) -> Result<WaitingCall, CallError> {
        let mut by_address = self
            .by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let waiting = by_address.entry(address.to_owned()).or_default();
        if *waiting >= MAX_WAITING_BYTES {
            return Err(CallError::NotSent(format!(
                "{address}: {waiting} bytes wait"
            )));
        }
        *waiting += bytes;
        Ok(WaitingCall {
            waiting: Arc::clone(self),
            address: address.to_owned(),
            bytes,
        })
    }
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        let by_address = self.waiting.by_address.lock();
        let mut by_address = by_address.unwrap_or_else(PoisonError::into_inner);
        if let Some(waiting) = by_address.get_mut(&self.address) {
            *waiting -= self.bytes;
            if *waiting == 0 {
                by_address.remove(&self.address);
            }
        }
    }
}

/// Timeout of one connection attempt. The opening packet to a machine without power is lost and sent
/// again only after a second, when the machine may have been back for long: a new attempt finds it at
/// once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

struct PendingCall {
    address: String,
    method: Method,
    payload: Vec<u8>,
    timeout: Duration,
    reply: oneshot::Sender<Result<Vec<u8>, CallError>>,
    /// Held until the RPC thread no longer has the payload, also if the caller no longer waits.
    waiting: WaitingCall,
}

/// A handle to the RPC client thread. Clones share its connections.
#[derive(Clone)]
pub struct RpcClient {
    calls: mpsc::UnboundedSender<PendingCall>,
    waiting: Arc<WaitingBytes>,
}

impl fmt::Debug for RpcClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RpcClient")
    }
}

impl RpcClient {
    /// Starts the thread that holds the connections.
    ///
    /// # Errors
    /// The I/O error when the thread cannot be started.
    pub fn start(proof: Vec<u8>) -> std::io::Result<Self> {
        let (calls, receiver) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        std::thread::Builder::new()
            .name("rpc-client".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, run_calls(receiver, proof.into()));
            })?;
        Ok(Self {
            calls,
            waiting: Arc::default(),
        })
    }

    /// Calls `method` at `address`. Rejected if too many bytes of earlier calls wait for the address.
    ///
    /// # Errors
    /// [`CallError`], which says whether the call may have been served.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &str,
        method: Method,
        call: &Q,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let payload = postcard::to_stdvec(call).map_err(|e| CallError::NotSent(e.to_string()))?;
        let payload_bytes = payload.len();
        let (reply, answer) = oneshot::channel();
        let pending = PendingCall {
            address: address.to_owned(),
            method,
            payload,
            timeout,
            reply,
            waiting: self.waiting.admit(address, payload_bytes)?,
        };
        let is_closed = self.calls.send(pending).is_err();
        if is_closed {
            return Err(CallError::NotSent("the RPC thread has ended".to_owned()));
        }
        let bytes = answer
            .await
            .map_err(|_| CallError::Unanswered("the RPC thread has ended".to_owned()))??;
        postcard::from_bytes(&bytes).map_err(|_| CallError::Malformed)
    }
}

/// Connection shared by all calls to one address. The lock is held while connecting, so that
/// concurrent calls share one connection attempt.
type SharedConnection = Rc<tokio::sync::Mutex<Option<peer::Client>>>;

async fn run_calls(mut receiver: mpsc::UnboundedReceiver<PendingCall>, proof: Arc<[u8]>) {
    let mut connections: HashMap<String, SharedConnection> = HashMap::new();
    while let Some(call) = receiver.recv().await {
        let connection = Rc::clone(connections.entry(call.address.clone()).or_default());
        let proof = Arc::clone(&proof);
        tokio::task::spawn_local(async move {
            let PendingCall {
                address,
                method,
                payload,
                timeout,
                reply,
                waiting,
            } = call;
            let outcome = run_call(&connection, &address, method, &payload, timeout, &proof).await;
            drop(waiting);
            let _ = reply.send(outcome);
        });
    }
}

async fn run_call(
    connection: &SharedConnection,
    address: &str,
    method: Method,
    payload: &[u8],
    timeout: Duration,
    proof: &[u8],
) -> Result<Vec<u8>, CallError> {
    let client = match tokio::time::timeout(timeout, connect(connection, address)).await {
        Ok(result) => result?,
        Err(_) => {
            return Err(CallError::NotSent(format!(
                "{address}: not connected after {} ms",
                timeout.as_millis()
            )));
        }
    };
    let mut request = client.call_request();
    let mut params = request.get();
    params.set_proof(proof);
    params.set_method(method);
    params.set_payload(payload);
    match tokio::time::timeout(timeout, request.send().promise).await {
        Ok(Ok(response)) => read_response(&response),
        Ok(Err(error)) => {
            *connection.lock().await = None;
            Err(CallError::Unanswered(format!("{address}: {}", error.extra)))
        }
        Err(_) => {
            // A connection that reports no error but delivers no answers may be partitioned: drop
            // it, so that the next call connects again.
            *connection.lock().await = None;
            Err(CallError::Unanswered(format!(
                "{address}: timed out after {} ms",
                timeout.as_millis()
            )))
        }
    }
}

fn read_response(
    response: &capnp::capability::Response<peer::call_results::Owned>,
) -> Result<Vec<u8>, CallError> {
    let reply = response.get().map_err(|_| CallError::Malformed)?;
    match reply.get_status() {
        Ok(Status::Ok) => {
            let payload = reply.get_payload().map_err(|_| CallError::Malformed)?;
            Ok(payload.to_vec())
        }
        Ok(Status::NotMember) => Err(CallError::Refused("the cluster secret does not match")),
        Ok(Status::NotHere) => Err(CallError::Refused("the process does not serve this call")),
        Ok(Status::Malformed) | Err(_) => Err(CallError::Refused("the call could not be decoded")),
    }
}

async fn connect(connection: &SharedConnection, address: &str) -> Result<peer::Client, CallError> {
    let mut cached_client = connection.lock().await;
    if let Some(client) = cached_client.as_ref() {
        return Ok(client.clone());
    }
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| {
            CallError::NotSent(format!(
                "{address}: not connected after {} ms",
                CONNECT_TIMEOUT.as_millis()
            ))
        })?
        .map_err(|error| CallError::NotSent(format!("{address}: {error}")))?;
    let _ = stream.set_nodelay(true);
    let network = twoparty_network(stream, Side::Client);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: peer::Client = system.bootstrap(Side::Server);
    let connection = Rc::clone(connection);
    tokio::task::spawn_local(async move {
        let _ = system.await;
        *connection.lock().await = None;
    });
    *cached_client = Some(client.clone());
    Ok(client)
}
