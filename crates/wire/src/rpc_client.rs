//! Calling other processes of the cluster.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
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

/// Why a call got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection: the call was not sent.
    NotSent(String),
    /// The connection broke, or the answer did not come in time: the call may have been served.
    Unanswered(String),
    /// The other process refused it.
    Refused(&'static str),
    /// The answer does not decode.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Unanswered(why) => write!(f, "no answer: {why}"),
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::Malformed => write!(f, "the answer does not decode"),
        }
    }
}

impl std::error::Error for CallError {}

struct PendingCall {
    address: String,
    method: Method,
    payload: Vec<u8>,
    timeout: Duration,
    reply: oneshot::Sender<Result<Vec<u8>, CallError>>,
}

/// A handle for calls; cheap to clone.
#[derive(Clone)]
pub struct PeerCaller {
    calls: mpsc::UnboundedSender<PendingCall>,
}

impl fmt::Debug for PeerCaller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerCaller")
    }
}

impl PeerCaller {
    /// Starts the thread that holds the connections.
    ///
    /// # Errors
    /// The I/O error when the thread cannot be started.
    pub fn start(proof: Vec<u8>) -> std::io::Result<Self> {
        let (calls, inbox) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        std::thread::Builder::new()
            .name("rpc-client".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, call_loop(inbox, proof.into()));
            })?;
        Ok(Self { calls })
    }

    /// Calls `method` at `address`.
    ///
    /// # Errors
    /// [`CallError`] saying whether the call may have been served.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &str,
        method: Method,
        call: &Q,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let payload = postcard::to_stdvec(call).map_err(|e| CallError::NotSent(e.to_string()))?;
        let (reply, answer) = oneshot::channel();
        let pending = PendingCall {
            address: address.to_owned(),
            method,
            payload,
            timeout,
            reply,
        };
        let is_gone = self.calls.send(pending).is_err();
        if is_gone {
            return Err(CallError::NotSent("the RPC thread has ended".to_owned()));
        }
        let bytes = answer
            .await
            .map_err(|_| CallError::Unanswered("the RPC thread has ended".to_owned()))??;
        postcard::from_bytes(&bytes).map_err(|_| CallError::Malformed)
    }
}

/// A connection, shared by the calls to one address. Waiting callers share one attempt to
/// connect.
type SharedLink = Rc<tokio::sync::Mutex<Option<peer::Client>>>;

async fn call_loop(mut inbox: mpsc::UnboundedReceiver<PendingCall>, proof: Arc<[u8]>) {
    let mut links: HashMap<String, SharedLink> = HashMap::new();
    while let Some(call) = inbox.recv().await {
        let link = Rc::clone(links.entry(call.address.clone()).or_default());
        let proof = Arc::clone(&proof);
        tokio::task::spawn_local(async move {
            let PendingCall {
                address,
                method,
                payload,
                timeout,
                reply,
            } = call;
            let outcome = run_call(&link, &address, method, &payload, timeout, &proof).await;
            let _ = reply.send(outcome);
        });
    }
}

async fn run_call(
    link: &SharedLink,
    address: &str,
    method: Method,
    payload: &[u8],
    timeout: Duration,
    proof: &[u8],
) -> Result<Vec<u8>, CallError> {
    let client = match tokio::time::timeout(timeout, connected(link, address)).await {
        Ok(connected) => connected?,
        Err(_) => {
            return Err(CallError::NotSent(format!(
                "{address}: no connection in time"
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
            *link.lock().await = None;
            Err(CallError::Unanswered(format!("{address}: {}", error.extra)))
        }
        Err(_) => {
            // A link that swallows calls without an error is a silent cut: connect anew.
            *link.lock().await = None;
            Err(CallError::Unanswered(format!(
                "{address}: {} ms passed",
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
        Ok(Status::NotMember) => Err(CallError::Refused("the cluster secret does not fit")),
        Ok(Status::NotHere) => Err(CallError::Refused("the process does not serve this call")),
        Ok(Status::Malformed) | Err(_) => Err(CallError::Refused("the call did not decode")),
    }
}

async fn connected(link: &SharedLink, address: &str) -> Result<peer::Client, CallError> {
    let mut slot = link.lock().await;
    if let Some(client) = slot.as_ref() {
        return Ok(client.clone());
    }
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| CallError::NotSent(format!("{address}: {error}")))?;
    let _ = stream.set_nodelay(true);
    let network = twoparty_network(stream, Side::Client);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: peer::Client = system.bootstrap(Side::Server);
    let link = Rc::clone(link);
    tokio::task::spawn_local(async move {
        let _ = system.await;
        *link.lock().await = None;
    });
    *slot = Some(client.clone());
    Ok(client)
}
