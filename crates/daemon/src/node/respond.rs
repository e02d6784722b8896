//! Makes HTTP answers from outcomes of calls.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use kingcuplift_core::{ResultCode, RunState};
use rand::Rng;

use crate::node::body::Body;
use crate::node::forward::{Answer, Refusal};
use crate::node::headers::{CODE, ROOM};
use crate::problem::Problem;

/// Time after which a call that has found no room may find some: that of a few calls.
const BUSY_WAIT: Duration = Duration::from_millis(250);
/// Time after which a node that has no configuration, or no target, usually has one.
const ABSENT_WAIT: Duration = Duration::from_millis(700);
/// Longest time after which a refused caller is asked to come back.
const MOST_WAIT: Duration = Duration::from_millis(1_500);
/// Range of factors by which waiting times vary, so that callers don't come back together.
const SPREAD: std::ops::Range<f64> = 0.8..1.4;

/// Makes the HTTP answer of a call.
pub(crate) fn respond(result: Result<Answer, Refusal>) -> Response<Body> {
    let answer = match result {
        Ok(answer) => answer,
        Err(refusal) => return refuse(refusal),
    };
    let mut response = Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// Makes the HTTP answer of a call that has none from a target.
pub(crate) fn refuse(refusal: Refusal) -> Response<Body> {
    let code = refusal.code;
    let problem = Problem::new(code, code.meaning());
    let body = Bytes::from(serde_json::to_vec(&problem).unwrap_or_default());
    let mut response = Response::new(Body::whole(body));
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    headers.insert(CODE, HeaderValue::from(code.number()));
    if let Some(room) = refusal.room {
        headers.insert(ROOM, HeaderValue::from(room.as_millis() as u64));
    }
    if code.run() == RunState::NotRun && status == StatusCode::SERVICE_UNAVAILABLE {
        let least = match code {
            ResultCode::NodeNotReady | ResultCode::NoTarget => ABSENT_WAIT,
            _ => BUSY_WAIT,
        };
        let wait = refusal.room.unwrap_or(least).clamp(least, MOST_WAIT);
        let spread = wait.mul_f64(rand::rng().random_range(SPREAD));
        let text = format!("{:.3}", spread.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
