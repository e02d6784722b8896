//! Bodies of calls and answers: held whole while small, streamed beyond.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Incoming};
use kingcuplift_core::ByteSize;

/// Largest body that is held whole; a call with a larger one can't be sent twice.
const HELD: ByteSize = ByteSize::kib(128);

/// A body that is sent on.
#[derive(Debug)]
pub(crate) enum Body {
    /// All of it.
    Whole(Option<Bytes>),
    /// What was read so far, and the rest.
    Streamed {
        /// Bytes read before.
        read: Option<Bytes>,
        /// The rest.
        rest: Box<Incoming>,
        /// Bytes that may follow.
        left: u64,
        /// Length of the whole body, where it is known.
        length: Option<u64>,
    },
}

/// Reason why a body can't be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The sender broke off.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than permitted.
    #[error("the body is longer than permitted")]
    TooLong,
}

impl Body {
    /// Makes a whole body.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }

    /// Returns a second copy, if the body is held whole.
    pub(crate) fn copy(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Streamed { .. } => None,
        }
    }

    /// Reads a body: whole while it is small, else its beginning.
    pub(crate) async fn read(mut incoming: Incoming, limit: u64) -> Result<Self, BodyError> {
        let length = incoming.size_hint().exact();
        match length {
            Some(0) => return Ok(Self::Whole(None)),
            Some(length) if length > limit => return Err(BodyError::TooLong),
            Some(length) if length > HELD.get() => {
                let rest = Box::new(incoming);
                return Ok(Self::Streamed { read: None, rest, left: limit, length: Some(length) });
            }
            _ => {}
        }
        let mut first: Option<Bytes> = None;
        let mut held = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            match &first {
                None => first = Some(data),
                Some(bytes) => {
                    if held.is_empty() {
                        held.extend_from_slice(bytes);
                    }
                    held.extend_from_slice(&data);
                }
            }
            let size = held.len().max(first.as_ref().map_or(0, Bytes::len)) as u64;
            if size > limit {
                return Err(BodyError::TooLong);
            }
            if size > HELD.get() {
                let read = if held.is_empty() { first } else { Some(held.freeze()) };
                let left = limit - size;
                return Ok(Self::Streamed { read, rest: Box::new(incoming), left, length });
            }
        }
        match held.is_empty() {
            true => Ok(Self::Whole(first.filter(|bytes| !bytes.is_empty()))),
            false => Ok(Self::Whole(Some(held.freeze()))),
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
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed { read, rest, left, .. } => {
                if let Some(bytes) = read.take() {
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                let frame = match Pin::new(rest).poll_frame(cx) {
                    Poll::Ready(Some(Ok(frame))) => frame,
                    Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error.into()))),
                    Poll::Ready(None) => return Poll::Ready(None),
                    Poll::Pending => return Poll::Pending,
                };
                let size = frame.data_ref().map_or(0, Bytes::len) as u64;
                match left.checked_sub(size) {
                    Some(rest) => *left = rest,
                    None => return Poll::Ready(Some(Err(BodyError::TooLong))),
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed { length: Some(length), .. } => SizeHint::with_exact(*length),
            Self::Streamed { .. } => SizeHint::default(),
        }
    }
}
