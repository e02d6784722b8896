//! Bodies of bulk calls: read ahead from local targets, and paced on the link.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use kingcuplift_core::ByteSize;
use kingcuplift_traffic::MAX_CHUNK;
use tokio::time::Sleep;

use crate::node::body::{Body, BodyError};
use crate::node::bulk_link::{HeldBytes, Link, LinkTransfer, ReadAhead};
use crate::node::in_flight::CallGuard;

/// Largest body that is sent without pacing, as any small message.
const MAX_SMALL: ByteSize = ByteSize::kib(4);

/// A response that was read from a local target ahead of the link.
///
/// The data is copied to chunks of their own, so that the memory of each is freed when it has been sent.
#[derive(Debug)]
pub(crate) struct ReadBody {
    chunks: VecDeque<Bytes>,
    held: ReadAhead,
    /// The part that did not fit; it stays with the target until the link has room.
    rest: Option<Box<Body>>,
    length: Option<u64>,
}

impl ReadBody {
    /// Reads a response as far as the node's memory for this permits.
    pub(crate) async fn read(
        mut incoming: Incoming,
        limit: u64,
        link: &Arc<Link>,
    ) -> Result<Self, BodyError> {
        let length = incoming.size_hint().exact();
        if length.is_some_and(|length| length > limit) {
            return Err(BodyError::TooLarge);
        }
        let (chunks, held) = (VecDeque::new(), ReadAhead::new(link));
        let mut body = Self { chunks, held, rest: None, length };
        let (mut size, mut chunk) = (0, BytesMut::new());
        while let Some(frame) = incoming.frame().await {
            let Ok(mut data) = frame?.into_data() else { continue };
            size += data.len() as u64;
            if size > limit {
                return Err(BodyError::TooLarge);
            }
            if !body.held.try_add(data.len()) {
                let unsent = length.map(|length| length - (size - data.len() as u64));
                body.rest = Some(Box::new(Body::streaming(data, incoming, limit - size, unsent)));
                break;
            }
            while !data.is_empty() {
                if chunk.capacity() == 0 {
                    chunk.reserve(MAX_CHUNK.as_usize());
                }
                let part = data.split_to(data.len().min(MAX_CHUNK.as_usize() - chunk.len()));
                chunk.extend_from_slice(&part);
                if chunk.len() == MAX_CHUNK.as_usize() {
                    body.chunks.push_back(std::mem::take(&mut chunk).freeze());
                }
            }
        }
        if !chunk.is_empty() {
            body.chunks.push_back(Bytes::copy_from_slice(&chunk));
        }
        if body.rest.is_none() {
            body.length = Some(size);
        }
        Ok(body)
    }

    /// Returns whether nothing is left with the target.
    pub(crate) fn is_complete(&self) -> bool {
        self.rest.is_none()
    }

    pub(crate) fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the part that stays with the target.
    pub(crate) fn rest_mut(&mut self) -> Option<&mut Body> {
        self.rest.as_deref_mut()
    }

    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match (self.chunks.pop_front(), &mut self.rest) {
            (Some(chunk), _) => {
                self.held.remove(chunk.len());
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            (None, Some(rest)) => Pin::new(rest.as_mut()).poll_frame(cx),
            (None, None) => Poll::Ready(None),
        }
    }
}

/// A body that is sent in chunks as the link permits.
#[derive(Debug)]
pub(crate) struct PacedBody {
    source: Body,
    /// Data that the source has given and the link has not permitted yet.
    ready: Bytes,
    transfer: LinkTransfer,
    /// Counts the part of the body that was in memory at the start, until the body ends.
    _held: HeldBytes,
    deadline: Pin<Box<Sleep>>,
    call: Option<CallGuard>,
}

impl PacedBody {
    /// Paces a body; a small one is returned as it is.
    pub(crate) fn pace(source: Body, transfer: LinkTransfer, deadline: Instant) -> Body {
        if source.length().is_some_and(|length| length <= MAX_SMALL) {
            return source;
        }
        if let Some(length) = source.length() {
            transfer.set_size(length);
        }
        let held = transfer.hold(ByteSize::bytes(source.buffered_len() as u64));
        let deadline = Box::pin(tokio::time::sleep_until(deadline.into()));
        let ready = Bytes::new();
        let paced = Self { source, ready, transfer, _held: held, deadline, call: None };
        Body::Paced(Box::new(paced))
    }

    pub(crate) fn source(&self) -> &Body {
        &self.source
    }

    /// Changes the source by a function.
    pub(crate) fn map_source(mut self, change: impl FnOnce(Body) -> Body) -> Self {
        self.source = change(self.source);
        self
    }

    /// Counts the call as in progress until the body has been passed on or is dropped.
    pub(crate) fn set_guard(&mut self, guard: CallGuard) {
        self.call = Some(guard);
    }

    /// Returns the time at which the body is broken off.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline.deadline().into_std()
    }

    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
        }
        while self.ready.is_empty() {
            match ready!(Pin::new(&mut self.source).poll_frame(cx)) {
                Some(Ok(frame)) => self.ready = frame.into_data().unwrap_or_default(),
                end => return Poll::Ready(end),
            }
        }
        let granted = ready!(self.transfer.poll_grant(self.ready.len(), cx));
        Poll::Ready(Some(Ok(Frame::data(self.ready.split_to(granted)))))
    }
}
