//! Requests to endpoints to copy runs and to free copies, and what an attempt says of copies.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use tokio::sync::oneshot;

use chestnutloft_core::routing::CopyAnswer;

use super::choice::ChosenEndpoint;
use super::codec::{CopyOrder, CopySource};
use super::connections::EndpointConnection;
use super::context::ForwardContext;

/// Timeout for freeing a copy, which expires by itself as well.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// What came of a copy; the metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunCopyEvent {
    /// A copy was made, or an attempt with a backup began.
    Copied,
    /// A run went on from its copy after its endpoint had stopped it.
    Moved,
    /// A run went on from its copy after it was lost.
    Resumed,
    /// A move was refused, or a run did not go on from its copy.
    FellBack,
}

impl RunCopyEvent {
    /// The metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Copied => "copied",
            Self::Moved => "moved",
            Self::Resumed => "resumed",
            Self::FellBack => "fell_back",
        }
    }
}

/// Copies that the next attempt of a call names.
#[derive(Clone, Debug, Default)]
pub struct CopyLinks {
    /// Endpoint at which the run is backed up.
    pub backup: Option<ChosenEndpoint>,
    /// Copy from which the run goes on: the address of the endpoint that has named it, and its name.
    pub source: Option<(Arc<str>, String)>,
}

impl CopyLinks {
    /// `IP:port` of the endpoint at which the run is backed up.
    pub fn backup_address(&self) -> Option<&str> {
        self.backup.as_ref().map(|endpoint| &*endpoint.address)
    }

    /// Copy from which the run goes on.
    pub fn source(&self) -> Option<CopySource<'_>> {
        let (address, handle) = self.source.as_ref()?;
        Some(CopySource { address, handle })
    }
}

/// A copy that is freed when dropped, unless it was used or has ended with its run.
pub struct CopyGuard {
    context: Arc<ForwardContext>,
    address: Arc<str>,
    handle: String,
    is_armed: bool,
}

impl CopyGuard {
    /// Guards the copy that the endpoint at `address` calls `handle`.
    pub fn new(context: &Arc<ForwardContext>, address: &Arc<str>, handle: &str) -> Self {
        Self {
            context: Arc::clone(context),
            address: Arc::clone(address),
            handle: handle.to_owned(),
            is_armed: true,
        }
    }

    /// `IP:port` of the endpoint that has named the copy.
    pub fn address(&self) -> &Arc<str> {
        &self.address
    }

    /// Name of the copy.
    pub fn handle(&self) -> &str {
        &self.handle
    }

    /// Frees the copy of a run that goes on at `address`, unless it is there: its name is that of the
    /// run, whose memory must stay.
    pub fn release_elsewhere(self, address: &str) {
        if *self.address == *address {
            self.disarm();
        }
    }

    /// Keeps the copy from being freed.
    pub fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        if self.is_armed {
            free_copy(
                &self.context,
                &self.address,
                std::mem::take(&mut self.handle),
            );
        }
    }
}

/// Requests of an endpoint to copy a run.
#[derive(Clone, Debug)]
pub struct CopyRequest {
    /// `IP:port` of the endpoint that runs it.
    pub source: Arc<str>,
    /// Id of the call.
    pub call_id: String,
    /// `IP:port` of the endpoint that receives the copy.
    pub target: Arc<str>,
    /// Whether the run stops first.
    pub is_last: bool,
    /// Time within which the endpoint must answer.
    pub timeout: Duration,
}

/// Sends `request` without waiting for the answer. A copy whose answer nobody waits for any more is
/// freed.
pub fn start_copy(
    context: &Arc<ForwardContext>,
    request: CopyRequest,
) -> oneshot::Receiver<CopyAnswer> {
    let (sender, receiver) = oneshot::channel();
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let answer = request_copy(&context, &request).await;
        if let Err(answer) = sender.send(answer)
            && let Some(handle) = answer.handle()
        {
            free_copy(&context, &request.source, handle.to_owned());
        }
    });
    receiver
}

async fn request_copy(context: &ForwardContext, request: &CopyRequest) -> CopyAnswer {
    let order = CopyOrder {
        source: &request.source,
        call_id: &request.call_id,
        target: &request.target,
        is_last: request.is_last,
    };
    let sending = send(&request.source, (context.codec.write_copy_order)(&order));
    match tokio::time::timeout(request.timeout, sending).await {
        Ok(Ok((status, body))) => (context.codec.read_copy_answer)(status, &body),
        Ok(Err(problem)) => {
            spdlog::warn!(
                "copies: no answer from {} on the copy of call {}: {problem}.",
                request.source,
                request.call_id
            );
            CopyAnswer::Unknown
        }
        Err(_) => {
            spdlog::warn!(
                "copies: no answer from {} on the copy of call {} within {} ms.",
                request.source,
                request.call_id,
                request.timeout.as_millis()
            );
            CopyAnswer::Unknown
        }
    }
}

fn free_copy(context: &Arc<ForwardContext>, address: &Arc<str>, handle: String) {
    let (context, address) = (Arc::clone(context), Arc::clone(address));
    // Without a runtime the process is ending; the copy expires.
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        return;
    };
    runtime.spawn(async move {
        let copy = CopySource {
            address: &address,
            handle: &handle,
        };
        let sending = send(&address, (context.codec.write_copy_release)(&copy));
        let sent = tokio::time::timeout(RELEASE_TIMEOUT, sending).await;
        if !matches!(sent, Ok(Ok(_))) {
            spdlog::debug!("copies: copy {handle} at {address} not freed; it expires.");
        }
    });
}

/// Sends a request to `address` on a connection of its own and reads the whole answer. The answers
/// carry no id, so on a connection with other requests a late second answer to one of them could not
/// be told from the answer to this one.
async fn send(address: &str, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), String> {
    let connection = EndpointConnection::open(address).await;
    let mut connection = connection.map_err(|error| format!("{error:?}"))?;
    let response = connection.send(request).await;
    let response = response.map_err(|error| format!("{error:?}"))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    connection.finish_call();
    Ok((status, body.to_bytes()))
}
