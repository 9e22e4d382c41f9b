//! RPC server for other processes of the cluster.
//!
//! RPC connections are served on a separate thread, because their capabilities are not `Send`.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use capnp::capability::Promise;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, pry, twoparty};
use futures_util::io::{BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::auth::is_same_cluster;
use crate::peer_capnp::peer;

pub use crate::peer_capnp::peer::{Method, Status};

/// Maximum size of an RPC message in words of 8 bytes: large, because a snapshot is sent in one
/// message.
pub(crate) const MAX_MESSAGE_WORDS: usize = 64 * 1024 * 1024;

/// Status and encoded payload of an answer.
pub type CallAnswer = (Status, Vec<u8>);

/// Handles a call with its method and encoded payload.
pub type CallHandler =
    Arc<dyn Fn(Method, Vec<u8>) -> Pin<Box<dyn Future<Output = CallAnswer> + Send>> + Send + Sync>;

struct PeerServer {
    proof: Arc<[u8]>,
    handler: CallHandler,
}

impl peer::Server for PeerServer {
    fn call(
        self: Rc<Self>,
        params: peer::CallParams,
        mut results: peer::CallResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let request = pry!(params.get());
        let presented_proof = pry!(request.get_proof()).to_vec();
        let method = pry!(request.get_method());
        let payload = pry!(request.get_payload()).to_vec();
        if !is_same_cluster(&self.proof, &presented_proof) {
            results.get().set_status(Status::NotMember);
            return Promise::ok(());
        }
        let answer = (self.handler)(method, payload);
        Promise::from_future(async move {
            let (status, payload) = answer.await;
            let mut reply = results.get();
            reply.set_status(status);
            reply.set_payload(&payload);
            Ok(())
        })
    }
}

/// Serves calls on `listener` on a separate thread until `stop` becomes true. Returns the local
/// address.
///
/// # Errors
/// The I/O error when the thread cannot be started.
pub fn serve(
    listener: std::net::TcpListener,
    proof: Vec<u8>,
    handler: CallHandler,
    stop: tokio::sync::watch::Receiver<bool>,
) -> std::io::Result<SocketAddr> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name("rpc-server".to_owned())
        .spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, accept_loop(listener, proof.into(), handler, stop));
        })?;
    Ok(address)
}

async fn accept_loop(
    listener: std::net::TcpListener,
    proof: Arc<[u8]>,
    handler: CallHandler,
    mut stop: tokio::sync::watch::Receiver<bool>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        spdlog::error!("rpc: could not register the listener; no RPC calls are served.");
        return;
    };
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    serve_stream(stream, Arc::clone(&proof), Arc::clone(&handler));
                }
            }
            _ = stop.wait_for(|is_stopped| *is_stopped) => return,
        }
    }
}

fn serve_stream(stream: TcpStream, proof: Arc<[u8]>, handler: CallHandler) {
    let _ = stream.set_nodelay(true);
    let client: peer::Client = capnp_rpc::new_client(PeerServer { proof, handler });
    let network = twoparty_network(stream, Side::Server);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::task::spawn_local(async move {
        let _ = system.await;
    });
}

/// Creates the RPC transport of one TCP connection.
pub(crate) fn twoparty_network(
    stream: TcpStream,
    side: Side,
) -> twoparty::VatNetwork<impl futures_util::AsyncRead + Unpin + 'static> {
    let (reader, writer) = stream.into_split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    twoparty::VatNetwork::new(
        BufReader::new(reader.compat()),
        BufWriter::new(writer.compat_write()),
        side,
        options,
    )
}

/// Decodes `payload`, passes it to `handle` and encodes the answer.
pub async fn answer<Q, A, F>(payload: Vec<u8>, handle: impl FnOnce(Q) -> F) -> CallAnswer
where
    Q: serde::de::DeserializeOwned,
    A: serde::Serialize,
    F: Future<Output = A>,
{
    match postcard::from_bytes::<Q>(&payload) {
        Ok(call) => {
            let reply = handle(call).await;
            (Status::Ok, postcard::to_stdvec(&reply).unwrap_or_default())
        }
        Err(_) => (Status::Malformed, Vec::new()),
    }
}
