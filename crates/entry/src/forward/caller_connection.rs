//! A caller's connection: serves its calls, and closes it during shutdown without cutting one.

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};

use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::{AnyBody, BodyError};

use super::caller_stream::{CallerStream, OpenEndedResponse};
use super::context::ForwardContext;
use super::pipeline::handle_call;
use super::sockets::prepare_caller_stream;

/// Time for which a connection stays open after a response that did not announce its end: a caller
/// may have sent its next call already.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Interval between checks for the end of a response during shutdown.
const ACTIVITY_INTERVAL: Duration = Duration::from_millis(50);

/// Calls of one connection.
#[derive(Clone, Debug)]
struct ConnectionActivity(Arc<Mutex<ActivityState>>);

#[derive(Debug)]
struct ActivityState {
    running: usize,
    idle_since: TimePoint,
}

impl ConnectionActivity {
    fn new(now: TimePoint) -> Self {
        Self(Arc::new(Mutex::new(ActivityState {
            running: 0,
            idle_since: now,
        })))
    }

    fn with<T>(&self, access: impl FnOnce(&mut ActivityState) -> T) -> T {
        access(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn start_call(&self) -> CallGuard {
        self.with(|state| state.running += 1);
        CallGuard(self.clone())
    }

    /// Time until the connection has been idle for [`LINGER_TIME`]; `None` while a call runs.
    fn linger_left(&self, now: TimePoint) -> Option<Duration> {
        self.with(|state| {
            let left = LINGER_TIME.saturating_sub(now.since(state.idle_since));
            (state.running == 0).then_some(left)
        })
    }

    /// Waits until the connection has been idle for [`LINGER_TIME`].
    async fn lingered(&self) {
        loop {
            match self.linger_left(clock::now()) {
                Some(Duration::ZERO) => return,
                left => tokio::time::sleep(left.unwrap_or(ACTIVITY_INTERVAL)).await,
            }
        }
    }
}

/// Counts a call as running until its response has been sent.
struct CallGuard(ConnectionActivity);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.with(|state| {
            state.running -= 1;
            state.idle_since = clock::now();
        });
    }
}

/// Closes a caller's connection at once, also while the caller reads nothing.
#[derive(Clone, Debug, Default)]
pub struct ConnectionAbort(Arc<Notify>);

impl ConnectionAbort {
    /// Closes the connection.
    pub fn abort(&self) {
        self.0.notify_one();
    }
}

/// Body of a response that counts its call as running.
struct GuardedBody {
    body: AnyBody,
    /// Set while the body is sent, if only the end of its connection marks its end.
    open_ended: Option<OpenEndedResponse>,
    _guard: CallGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let (Poll::Ready(None), Some(response)) = (&frame, &self.open_ended) {
            response.set(false);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves the calls of `stream`. During shutdown, each response announces the end of its connection;
/// once `draining` is set, the connection is closed when it has been idle for [`LINGER_TIME`].
pub async fn serve_connection(
    context: Arc<ForwardContext>,
    stream: TcpStream,
    mut draining: watch::Receiver<bool>,
) {
    prepare_caller_stream(&stream);
    let limits = context.state().declaration().limits.clone();
    let activity = ConnectionActivity::new(clock::now());
    let calls = activity.clone();
    let abort = ConnectionAbort::default();
    let call_abort = abort.clone();
    let open_ended = OpenEndedResponse::default();
    let stream = CallerStream::new(stream, open_ended.clone());
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(call_abort.clone());
        // Only later versions mark the end of a body whose length is not known at its start.
        let open_ended = (request.version() < Version::HTTP_11).then(|| open_ended.clone());
        let context = Arc::clone(&context);
        let guard = calls.start_call();
        async move {
            let mut response = handle_call(Arc::clone(&context), request).await;
            if context.is_shutting_down() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(guard_response(response, guard, open_ended))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper applies this timeout to the idle time between requests of a connection as well.
        .header_read_timeout(limits.idle())
        .max_buf_size(limits.head_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let closing = async {
        let is_draining = draining.wait_for(|is_set| *is_set).await.is_ok();
        if !is_draining {
            std::future::pending::<()>().await;
        }
        activity.lingered().await;
    };
    tokio::select! {
        // Connection errors need no log line here: each call logs its own outcome.
        _ = &mut connection => return,
        () = abort.0.notified() => return,
        () = closing => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = abort.0.notified() => {}
    }
}

fn guard_response(
    response: Response<AnyBody>,
    guard: CallGuard,
    open_ended: Option<OpenEndedResponse>,
) -> Response<AnyBody> {
    response.map(|body| {
        let open_ended = open_ended.filter(|_| body.size_hint().exact().is_none());
        if let Some(response) = &open_ended {
            response.set(true);
        }
        let body = GuardedBody {
            body,
            open_ended,
            _guard: guard,
        };
        body.boxed_unsync()
    })
}
