//! HTTP by hyper, on both sides.

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

/// Error of a body under way.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or response.
pub type AnyBody = UnsyncBoxBody<Bytes, BodyError>;

/// Client for HTTP/1.1 with a pool of connections.
pub type HttpClient = Client<HttpConnector, AnyBody>;

/// Time that an idle connection is kept.
const IDLE_CONNECTION: Duration = Duration::from_secs(20);
/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// A client.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_CONNECTION)
        .retry_canceled_requests(false)
        .build(connector)
}

/// A body with known content.
pub fn full(content: impl Into<Bytes>) -> AnyBody {
    Full::new(content.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// A JSON response.
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

/// A plain-text response.
pub fn text_response(status: u16, content: impl Into<String>) -> Response<AnyBody> {
    let mut response = Response::new(full(content.into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// More bytes than allowed.
    TooLarge,
    /// The sender stopped midway.
    Cut(String),
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// [`ReadError`] when it is too large or cut.
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

/// Serves HTTP/1.1 and HTTP/2 until `stop` fires; then lets open requests finish for at most
/// `patience`.
pub async fn serve<S, F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    patience: Duration,
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
            // Out of file descriptors, most likely: a pause lets some close.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        let answering = hyper::service::service_fn(move |request| {
            let answer = service(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), answering);
        let watched = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            let _ = watched.await;
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(patience, graceful.shutdown()).await;
}

/// Why a JSON call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonCallError {
    /// No answer.
    Unreachable(String),
    /// An answer with another status; its body.
    Status(u16, String),
    /// The answer does not decode.
    Malformed(String),
}

impl std::fmt::Display for JsonCallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "no answer: {why}"),
            Self::Status(status, body) => write!(f, "status {status}: {body}"),
            Self::Malformed(why) => write!(f, "the answer does not decode: {why}"),
        }
    }
}

impl std::error::Error for JsonCallError {}

/// Largest JSON answer, in bytes.
const MAX_JSON_BYTES: usize = 64 * 1024 * 1024;

/// Sends `call` as JSON and reads the answer as JSON.
///
/// # Errors
/// [`JsonCallError`] when there is no answer, or one with a status of 300 or more.
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
    let unreachable = |why: String| JsonCallError::Unreachable(format!("{uri}: {why}"));
    let response = tokio::time::timeout(timeout, client.request(request))
        .await
        .map_err(|_| unreachable(format!("{} ms passed", timeout.as_millis())))?
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

/// Value of a header as text.
pub fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
