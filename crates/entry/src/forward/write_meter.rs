//! Transport that records how far a request has been written.

use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use chestnutloft_core::routing::WriteProgress;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use super::attempt::AttemptFailure;
use super::sockets::reset_when_closed;

/// Progress of the request that is written to a connection.
#[derive(Clone, Debug, Default)]
pub struct WriteMeter(Arc<MeterState>);

#[derive(Debug, Default)]
struct MeterState {
    progress: Mutex<WriteProgress>,
    is_abandoned: AtomicBool,
}

impl WriteMeter {
    fn progress(&self) -> MutexGuard<'_, WriteProgress> {
        let progress = self.0.progress.lock();
        progress.unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the connection reset when it is closed, since its request was given up.
    pub fn abandon(&self) {
        self.0.is_abandoned.store(true, Ordering::Relaxed);
    }

    /// The next request begins.
    pub fn restart(&self) {
        *self.progress() = WriteProgress::start(clock::now());
    }

    fn record<T>(&self, written: &Poll<io::Result<T>>) {
        match written {
            Poll::Ready(_) => self.progress().record_write(clock::now()),
            Poll::Pending => self.progress().record_wait(),
        }
    }
}

/// Meter of the connection that an attempt uses; it may go through several that prove closed.
#[derive(Debug, Default)]
pub struct CurrentMeter(Mutex<WriteMeter>);

impl CurrentMeter {
    fn meter(&self) -> MutexGuard<'_, WriteMeter> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The attempt goes on with the connection of `meter`.
    pub fn set(&self, meter: &WriteMeter) {
        self.meter().clone_from(meter);
    }

    fn progress(&self) -> WriteProgress {
        *self.meter().progress()
    }
}

/// Waits for the response to a request for `timeout`; longer, up to the deadline, as long as the
/// endpoint goes on reading the request.
pub async fn send_within<T>(
    sending: impl Future<Output = Result<T, AttemptFailure>>,
    timeout: Duration,
    deadline: TimePoint,
    meter: &CurrentMeter,
) -> Result<T, AttemptFailure> {
    let mut sending = pin!(sending);
    let mut max_wait = timeout;
    loop {
        if let Ok(outcome) = tokio::time::timeout(max_wait, &mut sending).await {
            return outcome;
        }
        let now = clock::now();
        let extra_time = meter.progress().extra_time(now, timeout);
        if extra_time.is_zero() {
            return Err(AttemptFailure::TimedOut(timeout));
        }
        max_wait = extra_time.min(deadline.since(now));
        if max_wait.is_zero() {
            return Err(AttemptFailure::Unread);
        }
    }
}

/// A connection's stream with its meter. It is reset when dropped if its request was given up.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: WriteMeter,
}

impl MeteredStream {
    /// Wraps `stream`.
    pub fn new(stream: TcpStream, meter: WriteMeter) -> Self {
        Self { stream, meter }
    }
}

impl Drop for MeteredStream {
    fn drop(&mut self) {
        if self.meter.0.is_abandoned.load(Ordering::Relaxed) {
            reset_when_closed(&self.stream);
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.meter.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.meter.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
