//! Sends one call over HTTP/1.1 and reads the whole answer.

use std::time::{Duration, Instant};

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use awc::Client;
use awc::error::{PayloadError, SendRequestError};
use bytes::Bytes;
use kingcuplift_core::{ByteSize, ResultCode};
use smol_str::SmolStr;

/// Largest body of a call.
pub(crate) const MAX_CALL: ByteSize = ByteSize::mib(4);
/// Largest body of an answer.
const MAX_ANSWER: ByteSize = ByteSize::mib(16);
/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time after which an unused connection is closed; shorter than the other side's.
const IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Header with what is left of the deadline, in milliseconds.
pub(crate) const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// A call to send.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    /// Name of the route.
    pub(crate) route: SmolStr,
}

impl Call {
    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Makes the client of one thread.
pub(crate) fn client() -> Client {
    let connector =
        awc::Connector::new().timeout(CONNECT_LIMIT).conn_keep_alive(IDLE_LIMIT).limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Sends a call to `address` and reads the whole answer.
///
/// The error's run state says whether any byte may have reached the other side.
pub(crate) async fn send(
    client: &Client,
    address: &str,
    call: &Call,
) -> Result<Answer, ResultCode> {
    let time = call.time_left();
    if time.is_zero() {
        return Err(ResultCode::DeadlineBefore);
    }
    let exchange = exchange(client, address, call, time);
    match tokio::time::timeout(time, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => Err(ResultCode::DeadlineAfter),
    }
}

async fn exchange(
    client: &Client,
    address: &str,
    call: &Call,
    time: Duration,
) -> Result<Answer, ResultCode> {
    let url = format!("http://{address}{}", call.path);
    let mut request = client.request(call.method.clone(), url).no_decompress();
    let headers = request.headers_mut();
    for (name, value) in call.headers.iter() {
        headers.append(name.clone(), value.clone());
    }
    let millis = HeaderValue::from(time.as_millis() as u64);
    headers.insert(HeaderName::from_static(TIMEOUT_HEADER), millis);
    let mut response = request.send_body(call.body.clone()).await.map_err(|e| send_code(&e))?;
    let body = response.body().limit(MAX_ANSWER.as_usize()).await.map_err(|e| body_code(&e))?;
    let headers = end_to_end(response.headers());
    Ok(Answer { status: response.status(), headers, body })
}

/// Returns the headers that are handed on.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped =
            HOP_HEADERS.contains(&name.as_str()) || named.iter().any(|n| n == name.as_str());
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

fn send_code(error: &SendRequestError) -> ResultCode {
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => ResultCode::TargetRefused,
        _ => ResultCode::AnswerLost,
    }
}

fn body_code(error: &PayloadError) -> ResultCode {
    match error {
        PayloadError::Overflow => ResultCode::AnswerTooLarge,
        _ => ResultCode::AnswerLost,
    }
}
