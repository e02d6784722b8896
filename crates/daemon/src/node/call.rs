//! A call on its way to a target, and what comes of it.

use std::time::{Duration, Instant};

use http::header::{HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use kingcuplift_config::Semantics;
use kingcuplift_core::{CallFingerprint, Rank, ResultCode};
use kingcuplift_traffic::{LinkRefusal, LoadReport};
use smol_str::SmolStr;

use crate::node::body::{Body, BodyEnd};
use crate::node::bulk_link::LinkTransfer;
use crate::node::headers::{self, HeaderNames};
use crate::node::in_flight::CallGuard;

/// A call to send.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: SmolStr,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Time after which the caller no longer waits for a response.
    pub(crate) deadline: Instant,
    /// Latency objective: time by which the response should arrive.
    pub(crate) objective: Instant,
    /// Name of the route.
    pub(crate) route: SmolStr,
    pub(crate) rank: Rank,
    /// Whether the call waits at the target until its deadline, because no other target is left.
    pub(crate) is_patient: bool,
    /// Semantics of the route, if it states any.
    pub(crate) semantics: Option<Semantics>,
    /// Whether the caller is connected to this node, which has admitted the response to the link then.
    pub(crate) enters_here: bool,
    /// Id that the target echoes in its response.
    pub(crate) id: Option<HeaderValue>,
    /// What the call has in common with all others that repeat the same request.
    pub(crate) fingerprint: CallFingerprint,
}

/// Returns the fingerprint of a request; only the first part of its body counts.
pub(crate) fn fingerprint(
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    body: &Body,
    names: &HeaderNames,
) -> CallFingerprint {
    let caller = headers::text(headers, names.caller.as_ref()).unwrap_or_default();
    let [method, path, caller] = [method.as_str(), path, caller].map(str::as_bytes);
    CallFingerprint::of(&[method, path, caller, body.first_part()])
}

impl Call {
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns a copy for a retry, or `None` when the body is streamed.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        Some(Self {
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.try_clone()?,
            deadline: self.deadline,
            objective: self.objective,
            route: self.route.clone(),
            rank: self.rank,
            is_patient: self.is_patient,
            semantics: self.semantics,
            enters_here: self.enters_here,
            id: self.id.clone(),
            fingerprint: self.fingerprint,
        })
    }
}

/// Response from a target.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
}

impl TargetResponse {
    /// Counts the call as in progress until the response has been passed on.
    pub(crate) fn with_guard(self, guard: CallGuard) -> Self {
        Self { body: self.body.with_guard(guard), ..self }
    }

    /// Sends the body as the link permits, until `deadline`.
    pub(crate) fn paced(self, transfer: LinkTransfer, deadline: Instant) -> Self {
        Self { body: self.body.paced(transfer, deadline), ..self }
    }

    /// Calls `observer` once the body has been passed on, or its source has failed.
    pub(crate) fn on_end(self, observer: impl FnOnce(BodyEnd) + 'static) -> Self {
        Self { body: self.body.on_end(observer), ..self }
    }
}

/// Reason why a call has no response from a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallError {
    pub(crate) code: ResultCode,
    /// Time after which capacity is expected to be free.
    pub(crate) retry_after: Option<Duration>,
}

impl From<LinkRefusal> for CallError {
    fn from(refusal: LinkRefusal) -> Self {
        Self { code: ResultCode::Overloaded, retry_after: Some(refusal.retry_after()) }
    }
}

impl From<ResultCode> for CallError {
    fn from(code: ResultCode) -> Self {
        Self { code, retry_after: None }
    }
}

/// Outcome of sending a call to one target.
#[derive(Debug)]
pub(crate) struct AttemptOutcome {
    pub(crate) result: Result<TargetResponse, CallError>,
    /// Load of the target, if its node reported it.
    pub(crate) load: Option<LoadReport>,
    /// Time that the target took to respond.
    pub(crate) service_time: Option<Duration>,
}

impl From<CallError> for AttemptOutcome {
    fn from(error: CallError) -> Self {
        Self { result: Err(error), load: None, service_time: None }
    }
}
