//! Transport of a caller's connection that resets it if a response without a marked end is cut.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a response is being sent whose only end is that of its connection.
#[derive(Clone, Debug, Default)]
pub struct OpenEndedResponse(Arc<AtomicBool>);

impl OpenEndedResponse {
    /// Records that such a response begins, or that it is complete.
    pub fn set(&self, is_open: bool) {
        self.0.store(is_open, Ordering::Relaxed);
    }

    fn is_open(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A caller's stream. While an [`OpenEndedResponse`] is sent, whatever closes the socket resets the
/// connection, also the end of the process: an orderly close would make a part look complete.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    response: OpenEndedResponse,
    /// Whether closing the socket resets the connection.
    is_reset_on_close: bool,
}

impl CallerStream {
    /// Wraps `stream`.
    pub fn new(stream: TcpStream, response: OpenEndedResponse) -> Self {
        Self {
            stream,
            response,
            is_reset_on_close: false,
        }
    }

    /// Sets how the socket is closed. Fails only for a connection that has failed already.
    fn update_close(&mut self) -> io::Result<()> {
        let is_open = self.response.is_open();
        if is_open != self.is_reset_on_close {
            let linger = is_open.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.is_reset_on_close = is_open;
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_close()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_close()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update_close()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
