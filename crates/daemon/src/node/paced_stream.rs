//! A stream whose reader lets other tasks run after a number of bytes, and whose writer is metered.

use std::cell::Cell;
use std::fmt;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use kingcuplift_core::ByteSize;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use crate::node::bulk_link::Link;
use crate::node::unwritten::UnwrittenResponses;

/// Bytes that a task may read before others get their turn.
///
/// The runtime counts reads, not bytes: a peer that sends without a pause could have megabytes parsed in one turn.
const READ_BUDGET: ByteSize = ByteSize::kib(16);

/// Time at which a write that makes no progress fails; `None` if it has no such time.
pub(crate) type WriteLimit = Rc<Cell<Option<Instant>>>;

/// A stream that interrupts its reader each time the budget is used up.
pub(crate) struct PacedStream<S> {
    stream: S,
    /// Bytes that may still be read in this turn.
    budget: usize,
    /// Set while other tasks have their turn.
    pause: Option<Pin<Box<dyn Future<Output = ()>>>>,
    /// Link that what is written leaves over, if any.
    link: Option<Arc<Link>>,
    write_limit: WriteLimit,
    /// Responses that count as written when the stream is flushed.
    unwritten: UnwrittenResponses,
    /// Time since which writes make no progress; `None` if the last one did.
    stalled_at: Option<Instant>,
    /// Fires at the write limit; set while the stream is stalled.
    timeout: Option<Pin<Box<Sleep>>>,
}

impl<S> PacedStream<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self {
            stream,
            budget: READ_BUDGET.as_usize(),
            pause: None,
            link: None,
            write_limit: WriteLimit::default(),
            unwritten: UnwrittenResponses::default(),
            stalled_at: None,
            timeout: None,
        }
    }

    /// Meters what is written as usage of `link`.
    #[must_use]
    pub(crate) fn with_link(self, link: Option<&Arc<Link>>) -> Self {
        Self { link: link.cloned(), ..self }
    }

    /// Lets a write fail that makes no progress until the limit.
    ///
    /// A body is not polled while its connection is full, so a reader that has stopped is only noticed here.
    #[must_use]
    pub(crate) fn with_write_limit(self, write_limit: WriteLimit) -> Self {
        Self { write_limit, ..self }
    }

    /// Counts responses as written when the stream is flushed.
    #[must_use]
    pub(crate) fn with_unwritten(self, unwritten: UnwrittenResponses) -> Self {
        Self { unwritten, ..self }
    }

    /// Meters the outcome of a write.
    fn meter(
        &mut self,
        outcome: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        match &outcome {
            Poll::Ready(written) => {
                self.timeout = None;
                let stalled_at = self.stalled_at.take();
                if let (Some(link), Ok(written)) = (&self.link, written) {
                    link.record_written(*written);
                    if let Some(at) = stalled_at {
                        link.record_stall(at.elapsed());
                    }
                }
                outcome
            }
            Poll::Pending => self.poll_write_limit(cx),
        }
    }

    fn poll_write_limit(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.stalled_at.get_or_insert_with(Instant::now);
        let Some(at) = self.write_limit.get() else { return Poll::Pending };
        let new_timeout = || Box::pin(tokio::time::sleep_until(at.into()));
        let timeout = self.timeout.get_or_insert_with(new_timeout);
        match timeout.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
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
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.meter(outcome, cx)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the stream only when it has written all that it held.
        let outcome = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(outcome, Poll::Ready(Ok(()))) {
            self.unwritten.record_flush();
        }
        outcome
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.meter(outcome, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
