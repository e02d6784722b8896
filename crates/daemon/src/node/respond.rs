//! Creates HTTP responses from the outcomes of calls.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use kingcuplift_core::{ResultCode, RunState};
use kingcuplift_traffic::AdmissionPolicy;
use rand::Rng;

use crate::node::body::Body;
use crate::node::call::{CallError, TargetResponse};
use crate::node::headers::{CAPACITY_WAIT, CODE};
use crate::problem::Problem;

/// `Retry-After` when the target is out of capacity: about the duration of a few calls.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_millis(250);
/// `Retry-After` when the node has no configuration or no target: it usually has one by then.
const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(700);
/// Upper bound of `Retry-After`, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// The same bound where a gate gives each refused call a time at which there is room.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(3_300);
/// Range of the random factor on `Retry-After`, so that callers don't retry at the same time.
const RETRY_JITTER: std::ops::Range<f64> = 0.8..1.4;

/// Returns the upper bound of `Retry-After` under an admission policy, before jitter.
pub(crate) fn max_retry_after(policy: AdmissionPolicy) -> Duration {
    match policy {
        AdmissionPolicy::MeanTime => MAX_RETRY_AFTER,
        AdmissionPolicy::InTime => MAX_ROOM_WAIT,
    }
}

/// Creates the HTTP response to a call.
pub(crate) fn respond(result: Result<TargetResponse, CallError>) -> Response<Body> {
    respond_within(result, MAX_RETRY_AFTER)
}

/// Creates the HTTP response to a call, with an upper bound of `Retry-After` before jitter.
pub(crate) fn respond_within(
    result: Result<TargetResponse, CallError>,
    max_wait: Duration,
) -> Response<Body> {
    let target_response = match result {
        Ok(target_response) => target_response,
        Err(error) => return error_response_within(error, max_wait),
    };
    let mut response = Response::new(target_response.body);
    *response.status_mut() = target_response.status;
    *response.headers_mut() = target_response.headers;
    response
}

/// Creates the HTTP response to a call that has no response from a target.
pub(crate) fn error_response(error: CallError) -> Response<Body> {
    error_response_within(error, MAX_RETRY_AFTER)
}

fn error_response_within(error: CallError, max_wait: Duration) -> Response<Body> {
    let code = error.code;
    let problem = Problem::new(code, code.meaning());
    let body = Bytes::from(serde_json::to_vec(&problem).unwrap_or_default());
    let mut response = Response::new(Body::buffered(body));
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    headers.insert(CODE, HeaderValue::from(code.number()));
    if let Some(time) = error.retry_after {
        headers.insert(CAPACITY_WAIT, HeaderValue::from(time.as_millis() as u64));
    }
    if code.run() == RunState::NotRun && status == StatusCode::SERVICE_UNAVAILABLE {
        let min_wait = match code {
            ResultCode::NodeNotReady | ResultCode::NoTarget => RETRY_AFTER_NOT_READY,
            ResultCode::RequestQuarantined => MAX_RETRY_AFTER,
            _ => RETRY_AFTER_OVERLOAD,
        };
        let wait = error.retry_after.unwrap_or(min_wait).clamp(min_wait, max_wait);
        let jittered = wait.mul_f64(rand::rng().random_range(RETRY_JITTER));
        let text = format!("{:.3}", jittered.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
