//! Asks a target beside the node for its health.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::header::{HOST, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use kingcuplift_core::Rank;
use smol_str::SmolStr;

use crate::node::body::Body;
use crate::node::forward::{Call, send};
use crate::node::headers::{HeaderNames, text};
use crate::node::pool::Pool;

/// Longest time for a health answer.
const LIMIT: Duration = Duration::from_millis(500);

/// Returns for how long a target stays cold, if it is healthy and the instance that is expected.
pub(crate) async fn ask_target(
    names: &HeaderNames,
    address: SocketAddr,
    path: &SmolStr,
    instance: &str,
) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    let deadline = Instant::now() + LIMIT;
    let call = Call {
        method: Method::GET,
        path: path.clone(),
        headers,
        body: Body::Whole(None),
        deadline,
        objective: deadline,
        route: SmolStr::default(),
        rank: Rank::FIRST,
        id: None,
    };
    let answer = match send(&Pool::default(), address, call, false).await {
        Ok(answer) => answer,
        Err(code) => {
            log::info!("the target at {address} did not answer for its health: {code}");
            return None;
        }
    };
    let is_expected = text(&answer.headers, names.own_instance.as_ref()) == Some(instance);
    let warmup = text(&answer.headers, names.warmup.as_ref());
    let warmup_ms = warmup.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    let warmup = Duration::try_from_secs_f64(warmup_ms / 1_000.0).unwrap_or_default();
    (answer.status == StatusCode::OK && is_expected).then_some(warmup)
}
