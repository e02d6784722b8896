//! A stream whose reader lets other tasks run after a number of bytes.

use std::fmt;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use kingcuplift_core::ByteSize;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that a task may read before others get their turn.
///
/// The runtime counts reads, not bytes: a peer that sends without a pause could have megabytes parsed in one turn.
const READ_BUDGET: ByteSize = ByteSize::kib(16);

/// A stream that interrupts its reader each time the budget is used up.
pub(crate) struct PacedStream<S> {
    stream: S,
    /// Bytes that may still be read in this turn.
    budget: usize,
    /// Set while other tasks have their turn.
    pause: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl<S> PacedStream<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self { stream, budget: READ_BUDGET.as_usize(), pause: None }
    }

    /// Waits until other tasks and timers have had a turn, if the budget is used up.
    fn poll_budget(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.budget > 0 {
            return Poll::Ready(());
        }
        // A task that only wakes itself is polled again before the runtime looks at sockets and timers.
        let pause = self.pause.get_or_insert_with(|| Box::pin(tokio::task::yield_now()));
        if pause.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.pause = None;
        self.budget = READ_BUDGET.as_usize();
        Poll::Ready(())
    }
}

impl<S: fmt::Debug> fmt::Debug for PacedStream<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PacedStream").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.poll_budget(cx).is_pending() {
            return Poll::Pending;
        }
        let filled = buf.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.budget = match outcome {
            // The task gives way by itself.
            Poll::Pending => READ_BUDGET.as_usize(),
            Poll::Ready(_) => self.budget.saturating_sub(buf.filled().len() - filled),
        };
        outcome
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PacedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
