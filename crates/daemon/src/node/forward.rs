//! Sends one call over HTTP/1.1 and reads the answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::header::{HeaderMap, HeaderValue};
use http::{Method, Request, StatusCode};
use kingcuplift_core::{ByteSize, Rank, ResultCode};
use kingcuplift_traffic::LoadReport;
use smol_str::SmolStr;

use crate::node::body::Body;
use crate::node::headers::strip_hop;
use crate::node::pool::Pool;

/// Largest body of an answer.
const MAX_ANSWER: ByteSize = ByteSize::mib(256);

/// A call to send.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: SmolStr,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Time at which the call's value is lost.
    pub(crate) deadline: Instant,
    /// Time up to which an answer has its full value.
    pub(crate) objective: Instant,
    /// Name of the route.
    pub(crate) route: SmolStr,
    pub(crate) rank: Rank,
    /// Id that the target repeats.
    pub(crate) id: Option<HeaderValue>,
}

impl Call {
    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns a second copy, if the body is held whole.
    pub(crate) fn copy(&self) -> Option<Self> {
        Some(Self {
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.copy()?,
            deadline: self.deadline,
            objective: self.objective,
            route: self.route.clone(),
            rank: self.rank,
            id: self.id.clone(),
        })
    }
}

/// An answer of a target.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
}

/// Reason why a call has no answer of a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Refusal {
    pub(crate) code: ResultCode,
    /// Time after which there would be room.
    pub(crate) room: Option<Duration>,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self { code, room: None }
    }
}

/// What became of a call at one target.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) result: Result<Answer, Refusal>,
    /// Load of the target, where its node said so.
    pub(crate) load: Option<LoadReport>,
    /// Time that the target took.
    pub(crate) service: Option<Duration>,
}

impl From<Refusal> for Outcome {
    fn from(refusal: Refusal) -> Self {
        Self { result: Err(refusal), load: None, service: None }
    }
}

/// Sends a call to `address` and reads the answer, for as long as the call has time.
///
/// The error's run state says whether any byte may have reached the other side.
pub(crate) async fn send(
    pool: &Pool,
    address: SocketAddr,
    call: Call,
    reuse: bool,
) -> Result<Answer, ResultCode> {
    let time = call.time_left();
    if time.is_zero() {
        return Err(ResultCode::DeadlineBefore);
    }
    let id = call.id.clone();
    match tokio::time::timeout(time, exchange(pool, address, call, reuse)).await {
        Ok(outcome) => outcome,
        Err(_) => {
            log::debug!("call {id:?} to {address} had no answer in {time:?}");
            Err(ResultCode::DeadlineAfter)
        }
    }
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    call: Call,
    reuse: bool,
) -> Result<Answer, ResultCode> {
    let mut request = Request::new(call.body);
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().map_err(|_invalid| ResultCode::CallMalformed)?;
    *request.headers_mut() = call.headers;
    let (response, lease) = pool.send(address, request, reuse).await?;
    let (parts, incoming) = response.into_parts();
    let body = Body::read(incoming, MAX_ANSWER.get()).await.map_err(|error| {
        log::debug!("the answer of {address} broke off: {error}");
        ResultCode::AnswerLost
    })?;
    if matches!(body, Body::Whole(_)) {
        pool.give_back(lease);
    }
    let mut headers = parts.headers;
    strip_hop(&mut headers);
    Ok(Answer { status: parts.status, headers, body })
}
