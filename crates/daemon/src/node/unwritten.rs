//! Responses that are not written yet: a shutdown waits for them.
//!
//! hyper takes a body long before a slow reader has it, so a call may be over while most of its response is in memory.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};

use crate::node::body::{Body, BodyError};
use crate::node::in_flight::CallGuard;

/// Time at which a call ends for its caller, as an extension of the response; a shutdown waits no longer for the reader.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallDeadline(pub(crate) Instant);

/// Responses of one connection whose bodies have been taken by hyper, until the connection has written them.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnwrittenResponses(Rc<RefCell<Vec<CallGuard>>>);

impl UnwrittenResponses {
    /// Counts all responses as written; the connection holds no more data for the socket.
    pub(crate) fn record_flush(&self) {
        self.0.borrow_mut().clear();
    }
}

/// Body of a response that counts as open until its connection has written it, or has ended.
#[derive(Debug)]
pub(crate) struct ServedBody {
    body: Body,
    guard: Option<CallGuard>,
    unwritten: UnwrittenResponses,
}

impl ServedBody {
    pub(crate) fn new(body: Body, guard: CallGuard, unwritten: UnwrittenResponses) -> Self {
        Self { body, guard: Some(guard), unwritten }
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.unwritten.0.borrow_mut().extend(self.guard.take());
    }
}

impl HttpBody for ServedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
