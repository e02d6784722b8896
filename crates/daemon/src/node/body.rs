//! Bodies of calls and responses: buffered while small, streamed beyond a size limit.

mod bulk;

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Incoming};
use kingcuplift_core::{ByteSize, ResultCode};
use tokio::time::Sleep;

use self::bulk::PacedBody;
pub(crate) use self::bulk::ReadBody;
use crate::node::bulk_link::LinkTransfer;
use crate::node::in_flight::CallGuard;

/// Largest body that is buffered; a call with a larger one can't be retried.
const MAX_BUFFERED: ByteSize = ByteSize::kib(128);

/// A body to forward.
#[derive(Debug)]
pub(crate) enum Body {
    /// The complete body; `None` when it is empty.
    Buffered(Option<Bytes>),
    /// The part that is already read, and the rest as it arrives.
    Streaming {
        /// Bytes that are already read.
        prefix: Option<Bytes>,
        /// The part that has not arrived yet.
        rest: Box<Incoming>,
        /// Bytes that may still follow before the size limit is exceeded.
        remaining: u64,
        /// Length of the complete body, if known.
        length: Option<u64>,
        /// Fires when the rest must have arrived; `None` means that there is no such time.
        deadline: Option<Pin<Box<Sleep>>>,
        /// Counts the call as in progress until the body has ended or is dropped.
        call: Option<CallGuard>,
        /// Bytes that have not been passed on yet, if the length is known.
        unsent: Option<u64>,
        /// Is told how the body ended.
        observer: EndObserver,
    },
    /// A response of a local target, read ahead of the link.
    ReadAhead(Box<ReadBody>),
    /// A body that is sent as the link permits.
    Paced(Box<PacedBody>),
}

/// How a body from a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The whole body was passed on.
    Complete,
    /// The target's connection failed before.
    Interrupted,
}

/// Calls a function once when a body has ended; a body that is dropped or takes too long says nothing of its target.
#[derive(Default)]
pub(crate) struct EndObserver(Option<Box<dyn FnOnce(BodyEnd)>>);

impl EndObserver {
    fn add(&mut self, next: impl FnOnce(BodyEnd) + 'static) {
        let first = self.0.take();
        self.0 = Some(Box::new(move |end| {
            if let Some(first) = first {
                first(end);
            }
            next(end);
        }));
    }

    fn report(&mut self, end: BodyEnd) {
        if let Some(observer) = self.0.take() {
            observer(end);
        }
    }
}

impl fmt::Debug for EndObserver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("EndObserver").field(&self.0.is_some()).finish()
    }
}

/// Reason why a body can't be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection failed before the end of the body.
    #[error("connection failed while reading the body: {0}")]
    Interrupted(#[from] hyper::Error),
    /// The body exceeds the size limit.
    #[error("the body exceeds the size limit")]
    TooLarge,
    /// The body did not end before the call's deadline.
    #[error("the body did not end before the deadline")]
    DeadlinePassed,
}

impl From<BodyError> for ResultCode {
    /// Returns the code for a caller whose body can't be read.
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Interrupted(_) | BodyError::DeadlinePassed => Self::CallMalformed,
            BodyError::TooLarge => Self::BodyTooLarge,
        }
    }
}

impl Body {
    /// Creates a buffered body.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }

    /// Returns the whole body if it is buffered, else the first [`MAX_BUFFERED`] bytes, or none if they are not read yet.
    ///
    /// How much of a streamed body is read depends on timing; this part does not.
    pub(crate) fn first_part(&self) -> &[u8] {
        let bytes = match self {
            Self::Buffered(bytes) | Self::Streaming { prefix: bytes, .. } => bytes.as_deref(),
            // Only bodies of requests are asked, before they are paced.
            Self::ReadAhead(_) | Self::Paced(_) => None,
        };
        let bytes = bytes.unwrap_or_default();
        &bytes[..bytes.len().min(MAX_BUFFERED.get() as usize)]
    }

    /// Returns the length of the complete body, if known.
    pub(crate) fn length(&self) -> Option<ByteSize> {
        match self {
            Self::Buffered(bytes) => {
                Some(ByteSize::bytes(bytes.as_ref().map_or(0, Bytes::len) as u64))
            }
            Self::Streaming { length, .. } => length.map(ByteSize::bytes),
            Self::ReadAhead(body) => body.length().map(ByteSize::bytes),
            Self::Paced(body) => body.source().length(),
        }
    }

    /// Creates a body of which `prefix` is already read.
    pub(crate) fn streaming(
        prefix: Bytes,
        rest: Incoming,
        remaining: u64,
        length: Option<u64>,
    ) -> Self {
        Self::Streaming {
            prefix: Some(prefix),
            rest: Box::new(rest),
            remaining,
            length,
            deadline: None,
            call: None,
            unsent: length,
            observer: EndObserver::default(),
        }
    }

    /// Returns whether the whole body is in memory.
    pub(crate) fn is_read(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streaming { .. } => false,
            Self::ReadAhead(body) => body.is_complete(),
            Self::Paced(body) => body.source().is_read(),
        }
    }

    /// Returns the number of bytes in memory that no one else counts.
    pub(crate) fn buffered_len(&self) -> usize {
        self.first_part().len()
    }

    /// Sends the body as the link permits, until `deadline`.
    #[must_use]
    pub(crate) fn paced(self, transfer: LinkTransfer, deadline: Instant) -> Self {
        PacedBody::pace(self, transfer, deadline)
    }

    /// Returns the time at which the connection of a paced body is closed.
    pub(crate) fn write_deadline(&self) -> Option<Instant> {
        match self {
            Self::Paced(body) => Some(body.deadline()),
            Self::Buffered(_) | Self::Streaming { .. } | Self::ReadAhead(_) => None,
        }
    }

    /// Returns a copy for a retry, or `None` when the body is streamed.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Streaming { .. } | Self::ReadAhead(_) | Self::Paced(_) => None,
        }
    }

    /// Breaks a streamed body off at `at` if it has not ended by then.
    #[must_use]
    pub(crate) fn with_deadline(mut self, at: Instant) -> Self {
        let streaming = match &mut self {
            Self::ReadAhead(body) => body.rest_mut(),
            other => Some(other),
        };
        if let Some(Self::Streaming { deadline, .. }) = streaming {
            *deadline = Some(Box::pin(tokio::time::sleep_until(at.into())));
        }
        self
    }

    /// Counts a call as in progress until its response's body has been passed on, or has broken off.
    #[must_use]
    pub(crate) fn with_guard(mut self, guard: CallGuard) -> Self {
        match &mut self {
            Self::Streaming { call, .. } => *call = Some(guard),
            Self::Paced(body) => body.set_guard(guard),
            Self::Buffered(_) | Self::ReadAhead(_) => {}
        }
        self
    }

    /// Calls `observer` once the body has been passed on or its source has failed; at once if it is buffered.
    #[must_use]
    pub(crate) fn on_end(mut self, observer: impl FnOnce(BodyEnd) + 'static) -> Self {
        if let Self::Paced(body) = self {
            return Self::Paced(Box::new(body.map_source(|source| source.on_end(observer))));
        }
        let streaming = match &mut self {
            Self::ReadAhead(body) => body.rest_mut(),
            other => Some(other),
        };
        match streaming {
            Some(Self::Streaming { observer: observers, .. }) => observers.add(observer),
            _ => observer(BodyEnd::Complete),
        }
        self
    }

    /// Reads a body completely if it is small; a larger one is returned for streaming.
    pub(crate) async fn read(mut incoming: Incoming, limit: u64) -> Result<Self, BodyError> {
        let length = incoming.size_hint().exact();
        match length {
            Some(0) => return Ok(Self::Buffered(None)),
            Some(length) if length > limit => return Err(BodyError::TooLarge),
            Some(length) if length > MAX_BUFFERED.get() => {
                let rest = Box::new(incoming);
                return Ok(Self::Streaming {
                    prefix: None,
                    rest,
                    remaining: limit,
                    length: Some(length),
                    deadline: None,
                    call: None,
                    unsent: Some(length),
                    observer: EndObserver::default(),
                });
            }
            _ => {}
        }
        let mut first: Option<Bytes> = None;
        let mut buffer = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            match &first {
                None => first = Some(data),
                Some(bytes) => {
                    if buffer.is_empty() {
                        buffer.extend_from_slice(bytes);
                    }
                    buffer.extend_from_slice(&data);
                }
            }
            let size = buffer.len().max(first.as_ref().map_or(0, Bytes::len)) as u64;
            if size > limit {
                return Err(BodyError::TooLarge);
            }
            if size > MAX_BUFFERED.get() {
                let prefix = if buffer.is_empty() { first } else { Some(buffer.freeze()) };
                let remaining = limit - size;
                let rest = Box::new(incoming);
                return Ok(Self::Streaming {
                    prefix,
                    rest,
                    remaining,
                    length,
                    deadline: None,
                    call: None,
                    unsent: length,
                    observer: EndObserver::default(),
                });
            }
        }
        match buffer.is_empty() {
            true => Ok(Self::Buffered(first.filter(|bytes| !bytes.is_empty()))),
            false => Ok(Self::Buffered(Some(buffer.freeze()))),
        }
    }
}

impl Body {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streaming { prefix, rest, remaining, deadline, .. } => {
                if deadline.as_mut().is_some_and(|sleep| sleep.as_mut().poll(cx).is_ready()) {
                    return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
                }
                if let Some(bytes) = prefix.take() {
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                let frame = match Pin::new(rest).poll_frame(cx) {
                    Poll::Ready(Some(Ok(frame))) => frame,
                    Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error.into()))),
                    Poll::Ready(None) => return Poll::Ready(None),
                    Poll::Pending => return Poll::Pending,
                };
                let size = frame.data_ref().map_or(0, Bytes::len) as u64;
                match remaining.checked_sub(size) {
                    Some(rest) => *remaining = rest,
                    None => return Poll::Ready(Some(Err(BodyError::TooLarge))),
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Self::ReadAhead(body) => body.poll_next(cx),
            Self::Paced(body) => body.poll_next(cx),
        }
    }

    /// Tells the observer if this was the end of the body.
    fn observe(&mut self, next: Option<&Result<Frame<Bytes>, BodyError>>) {
        let Self::Streaming { unsent, observer, .. } = self else { return };
        match next {
            None => observer.report(BodyEnd::Complete),
            Some(Err(BodyError::Interrupted(_))) => observer.report(BodyEnd::Interrupted),
            Some(Err(BodyError::TooLarge | BodyError::DeadlinePassed)) => {}
            Some(Ok(frame)) => {
                // A body of known length is not asked for more once all of it has been passed on.
                let size = frame.data_ref().map_or(0, Bytes::len) as u64;
                *unsent = unsent.map(|unsent| unsent.saturating_sub(size));
                if *unsent == Some(0) {
                    observer.report(BodyEnd::Complete);
                }
            }
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = self.get_mut();
        let polled = body.poll_next(cx);
        if let Poll::Ready(next) = &polled {
            body.observe(next.as_ref());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Streaming { .. } | Self::ReadAhead(_) | Self::Paced(_) => self
                .length()
                .map_or_else(SizeHint::default, |length| SizeHint::with_exact(length.get())),
        }
    }
}
