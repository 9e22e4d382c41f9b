//! HTTP server and client, built on hyper.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Error while a body is transferred.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Boxed body of a request or response.
pub type AnyBody = UnsyncBoxBody<Bytes, BodyError>;

/// HTTP/1.1 client.
pub type HttpClient = Client<HttpConnector, AnyBody>;

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Creates a client. It never retries requests by itself.
pub fn client() -> HttpClient {
    build_client(usize::MAX)
}

/// Creates a client that sends each request on a connection of its own, for servers whose responses
/// carry nothing that tells which request they belong to: on a connection that is used again, a
/// late second response to one request would be taken for the response to the next.
pub fn single_use_client() -> HttpClient {
    build_client(0)
}

fn build_client(max_idle_connections: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle_connections)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Creates a body from complete content.
pub fn full(content: impl Into<Bytes>) -> AnyBody {
    Full::new(content.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Creates a JSON response.
pub fn json_response<T: Serialize>(status: u16, content: &T) -> Response<AnyBody> {
    let bytes = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Creates a plain-text response.
pub fn text_response(status: u16, content: impl Into<String>) -> Response<AnyBody> {
    let mut response = Response::new(full(content.into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection failed before the end of the body; holds the transport error.
    Cut(String),
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// [`ReadError`] when the body is too large or incomplete.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLarge),
        Err(error) => Err(ReadError::Cut(error.to_string())),
    }
}

/// Serves HTTP/1.1 and HTTP/2 until `stop` becomes true; then waits at most `drain_timeout` for
/// open requests to finish.
pub async fn serve<S, F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    drain_timeout: Duration,
    service: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<AnyBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder.http2().timer(TokioTimer::new());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|is_stopped| *is_stopped) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely the process is out of file descriptors: pause so that some can close.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        let hyper_service = hyper::service::service_fn(move |request| {
            let response = service(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection =
            builder.serve_connection_with_upgrades(TokioIo::new(stream), hyper_service);
        let graceful_connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            let _ = graceful_connection.await;
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(drain_timeout, graceful.shutdown()).await;
}

/// Why a JSON call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonCallError {
    /// The request failed or timed out.
    Unreachable(String),
    /// The response has a status of 300 or more; holds status and body.
    Status(u16, String),
    /// The response body could not be decoded.
    Malformed(String),
}

impl std::fmt::Display for JsonCallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "no answer: {reason}"),
            Self::Status(status, body) => write!(f, "status {status}: {body}"),
            Self::Malformed(reason) => write!(f, "the answer could not be decoded: {reason}"),
        }
    }
}

impl std::error::Error for JsonCallError {}

/// Maximum size of a JSON response body, in bytes.
const MAX_JSON_BYTES: usize = 64 * 1024 * 1024;

/// Whether a response with `status` is the answer to its request. One with 1xx is not, and HTTP has
/// no statuses above 599.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sends `call` as JSON with `key` as bearer key, and decodes the JSON response.
///
/// # Errors
/// [`JsonCallError`] when there is no response, its status is 300 or more, or it is not valid JSON
/// for `A`.
pub async fn call_json<Q: Serialize, A: DeserializeOwned>(
    client: &HttpClient,
    method: &str,
    uri: &str,
    key: Option<&str>,
    call: Option<&Q>,
    timeout: Duration,
) -> Result<A, JsonCallError> {
    let content = call.map(serde_json::to_vec).transpose().unwrap_or_default();
    let mut builder = Request::builder()
        .method(method)
        .uri(uri)
        .header("content-type", "application/json");
    if let Some(key) = key {
        builder = builder.header("authorization", format!("Bearer {key}"));
    }
    let request = builder
        .body(full(content.unwrap_or_default()))
        .map_err(|error| JsonCallError::Unreachable(error.to_string()))?;
    let unreachable = |reason: String| JsonCallError::Unreachable(format!("{uri}: {reason}"));
    let response = tokio::time::timeout(timeout, client.request(request))
        .await
        .map_err(|_| unreachable(format!("timed out after {} ms", timeout.as_millis())))?
        .map_err(|error| unreachable(error.to_string()))?;
    let status = response.status();
    let body = read_body(response.into_body(), MAX_JSON_BYTES)
        .await
        .map_err(|error| unreachable(format!("{error:?}")))?;
    if status.as_u16() >= 300 {
        let text = String::from_utf8_lossy(&body).into_owned();
        return Err(JsonCallError::Status(status.as_u16(), text));
    }
    serde_json::from_slice(&body).map_err(|error| JsonCallError::Malformed(error.to_string()))
}

/// Value of a header; `None` if it is missing or not visible ASCII.
pub fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
