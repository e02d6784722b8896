//! Sends one call over HTTP/1.1 and reads the response.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, StatusCode};
use kingcuplift_core::{ByteSize, ResultCode};

use crate::node::body::{Body, ReadBody};
use crate::node::bulk_link::Link;
use crate::node::call::{Call, TargetResponse};
use crate::node::headers::strip_hop_by_hop;
use crate::node::pool::Pool;

/// Maximum size of a response body.
const MAX_RESPONSE_BODY: ByteSize = ByteSize::mib(256);

/// What a call is sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Destination<'a> {
    /// A target on this VM.
    Target,
    /// A target on this VM whose response is read ahead of the link.
    BulkTarget(&'a Arc<Link>),
    /// Another node.
    Node(&'a Arc<Link>),
}

impl Destination<'_> {
    /// Returns the link if the call leaves over it.
    fn link(&self) -> Option<&Arc<Link>> {
        match self {
            Self::Target | Self::BulkTarget(_) => None,
            Self::Node(link) => Some(link),
        }
    }
}

/// Sends a call to `address` and reads the response, until the call's deadline.
///
/// The run state of the error says whether any byte may have reached the peer.
pub(crate) async fn send(
    pool: &Pool,
    address: SocketAddr,
    call: Call,
    reuse: bool,
    to: Destination<'_>,
) -> Result<TargetResponse, ResultCode> {
    let time = call.time_left();
    if time.is_zero() {
        return Err(ResultCode::DeadlineBefore);
    }
    let id = call.id.clone();
    match tokio::time::timeout(time, exchange(pool, address, call, reuse, to)).await {
        Ok(outcome) => outcome,
        Err(_) => {
            log::debug!("call {id:?} to {address} timed out after {time:?}");
            Err(ResultCode::DeadlineAfter)
        }
    }
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    call: Call,
    reuse: bool,
    to: Destination<'_>,
) -> Result<TargetResponse, ResultCode> {
    let deadline = call.deadline;
    let mut request = Request::new(call.body);
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().map_err(|_invalid| ResultCode::CallMalformed)?;
    *request.headers_mut() = call.headers;
    let (response, connection) = pool.send(address, request, reuse, to.link()).await?;
    let (parts, incoming) = response.into_parts();
    if !is_final(parts.status) {
        // The rest of the connection can't be trusted, so it is closed.
        log::debug!("the response from {address} has the status {}", parts.status.as_u16());
        return Err(ResultCode::AnswerDamaged);
    }
    let limit = MAX_RESPONSE_BODY.get();
    let body = match to {
        Destination::BulkTarget(link) => {
            ReadBody::read(incoming, limit, link).await.map(|body| Body::ReadAhead(Box::new(body)))
        }
        Destination::Target | Destination::Node(_) => Body::read(incoming, limit).await,
    };
    let body = body.map_err(|error| {
        log::debug!("can't read the response from {address}: {error}");
        ResultCode::AnswerLost
    })?;
    if body.is_read() {
        pool.put_back(connection);
    }
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    Ok(TargetResponse { status: parts.status, headers, body: body.with_deadline(deadline) })
}

/// Returns whether a status is one of a final response.
///
/// The HTTP parser rejects codes below 100 and skips interim responses. It lets codes above 599 pass, which HTTP does not
/// define, and 101, which no call asks for.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
