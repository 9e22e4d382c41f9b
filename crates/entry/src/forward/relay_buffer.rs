//! Buffer between an endpoint's stream and its caller, so that the stream is read at the endpoint's
//! pace. The memory comes from the pools for responses; a caller that does not read loses its call
//! when the memory is needed.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use chestnutloft_core::routing::RelayNumber;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::BodyError;

use super::caller_connection::ConnectionAbort;
use super::relay_registry::RelayRegistry;

/// Memory that a buffered chunk takes in addition to its bytes.
const CHUNK_OVERHEAD_BYTES: usize = 128;
/// Bytes that are handed to the caller's connection at once: few, so that the progress of a slow
/// caller shows.
const MAX_FRAME_BYTES: usize = 8 * 1024;
/// Interval at which a call that waits for memory checks whether other callers have become slow.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a caller may read nothing while its endpoint waits for it. Meanwhile, the call
/// takes one of the endpoint's slots.
const MAX_SILENT_TIME: Duration = Duration::from_secs(30);

/// How a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The caller gets the whole stream.
    Complete,
    /// The caller gets what is buffered, and then its connection is closed; holds the reason.
    Aborted(String),
}

/// A call as log lines and metrics name it.
#[derive(Clone, Debug)]
pub struct RelayedCall {
    /// Id of the call.
    pub id: String,
    /// Service of the call.
    pub service: Arc<str>,
    /// Closes the caller's connection.
    pub connection: Option<ConnectionAbort>,
}

/// Events of one stream that the caller has not read.
#[derive(Debug)]
pub struct RelayBuffer {
    registry: Arc<RelayRegistry>,
    number: RelayNumber,
    /// The call.
    pub call: RelayedCall,
    state: Mutex<BufferState>,
    /// Notified when the caller has read something.
    caller_read: Notify,
}

#[derive(Debug, Default)]
struct BufferState {
    chunks: VecDeque<Bytes>,
    end: Option<StreamEnd>,
    /// Waits for chunks or the end.
    reader: Option<Waker>,
    /// The task that reads from the endpoint.
    task: Option<AbortHandle>,
}

impl RelayBuffer {
    /// Creates the buffer of `call`.
    pub fn open(registry: &Arc<RelayRegistry>, call: RelayedCall) -> Arc<Self> {
        registry.open(|number| Self {
            registry: Arc::clone(registry),
            number,
            call,
            state: Mutex::default(),
            caller_read: Notify::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of the call.
    pub fn number(&self) -> RelayNumber {
        self.number
    }

    /// Passes `events` on to the caller.
    pub fn push(&self, now: TimePoint, events: Bytes) {
        if events.is_empty() {
            return;
        }
        self.registry.hold(now, self.number, held_bytes(&events));
        let mut state = self.state();
        if state.end.is_none() {
            state.chunks.push_back(events);
            wake(&mut state);
        }
    }

    /// Ends the stream; the first end counts.
    pub fn finish(&self, end: StreamEnd) {
        let mut state = self.state();
        state.end.get_or_insert(end);
        wake(&mut state);
    }

    /// Sets the task that reads from the endpoint. It ends with the caller's interest.
    pub fn set_task(&self, task: AbortHandle) {
        let mut state = self.state();
        if state.end.is_none() {
            state.task = Some(task);
        } else if state.task.is_none() {
            // Ended for memory, or finished already.
            task.abort();
        }
    }

    /// Waits until there is memory to read more from the endpoint; returns for how long. Ends calls
    /// whose callers do not read, possibly this one, if memory is short.
    pub async fn wait_for_room(&self) -> Duration {
        let started_at = clock::now();
        loop {
            let now = clock::now();
            if self.registry.make_room_for_call(now, self.number) {
                return now.since(started_at);
            }
            if self.registry.silent_time(now, self.number) >= MAX_SILENT_TIME {
                self.registry.end_silent(now, self.number);
            }
            let read = self.caller_read.notified();
            let _ = tokio::time::timeout(MEMORY_CHECK_INTERVAL, read).await;
        }
    }

    /// Ends the call at once: discards what is buffered and closes the connections to the endpoint
    /// and to the caller. A caller that does not read would get no other sign.
    pub fn cut(&self, reason: &str) {
        let mut state = self.state();
        state.end = Some(StreamEnd::Aborted(reason.to_owned()));
        state.chunks = VecDeque::new();
        wake(&mut state);
        if let Some(task) = state.task.take() {
            task.abort();
        }
        if let Some(connection) = &self.call.connection {
            connection.abort();
        }
    }

    /// The caller has taken `bytes`, or has gone.
    fn release(&self, bytes: usize) {
        self.registry.release(clock::now(), self.number, bytes);
        self.caller_read.notify_one();
    }

    /// Takes the next bytes for the caller.
    fn pop(self: &Arc<Self>, state: &mut BufferState) -> Option<Bytes> {
        let chunk = state.chunks.front_mut()?;
        let (bytes, held_bytes) = if chunk.len() > MAX_FRAME_BYTES {
            (chunk.split_to(MAX_FRAME_BYTES), MAX_FRAME_BYTES)
        } else {
            let held_bytes = held_bytes(chunk);
            (state.chunks.pop_front()?, held_bytes)
        };
        Some(Bytes::from_owner(HandedChunk {
            bytes,
            held_bytes,
            buffer: Arc::clone(self),
        }))
    }

    /// The caller takes no more: its connection has ended, or it has got everything.
    fn close(&self) {
        let (chunks, task) = {
            let mut state = self.state();
            state
                .end
                .get_or_insert(StreamEnd::Aborted("the caller left".to_owned()));
            (std::mem::take(&mut state.chunks), state.task.take())
        };
        if let Some(task) = task {
            task.abort();
        }
        let unread_bytes = chunks.iter().map(held_bytes).sum();
        self.registry
            .release(clock::now(), self.number, unread_bytes);
        self.registry.close(self.number);
    }
}

fn wake(state: &mut BufferState) {
    if let Some(reader) = state.reader.take() {
        reader.wake();
    }
}

/// Memory that a chunk takes.
fn held_bytes(chunk: &Bytes) -> usize {
    chunk.len() + CHUNK_OVERHEAD_BYTES
}

/// Bytes that the caller's connection has and has not written yet.
struct HandedChunk {
    bytes: Bytes,
    held_bytes: usize,
    buffer: Arc<RelayBuffer>,
}

impl AsRef<[u8]> for HandedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HandedChunk {
    fn drop(&mut self) {
        self.buffer.release(self.held_bytes);
    }
}

/// Body of the caller's response. Dropping it ends the reading from the endpoint.
pub struct RelayBody(pub Arc<RelayBuffer>);

impl Drop for RelayBody {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    /// The next bytes, or `None` after a normal end of the stream. An error makes the server close
    /// the caller's connection without ending the body.
    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut state = self.0.state();
        if let Some(bytes) = self.0.pop(&mut state) {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match &state.end {
            Some(StreamEnd::Complete) => Poll::Ready(None),
            Some(StreamEnd::Aborted(reason)) => Poll::Ready(Some(Err(reason.as_str().into()))),
            None => {
                state.reader = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}
