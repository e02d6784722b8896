//! Health check of a local target.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::header::{HOST, HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use kingcuplift_core::{CallFingerprint, Rank};
use kingcuplift_traffic::ServerLoad;
use smol_str::SmolStr;

use crate::clock::monotonic_us;
use crate::node::body::Body;
use crate::node::call::Call;
use crate::node::forward::{Destination, send};
use crate::node::headers::{HeaderNames, text};
use crate::node::pool::Pool;

const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// What a healthy target says of itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    /// Remaining warm-up time.
    pub(crate) warmup: Duration,
    /// Load that the target states, if any.
    pub(crate) load: Option<ServerLoad>,
    /// Start of the health check, on the node's monotonic clock, in microseconds.
    pub(crate) started_us: u64,
}

/// Returns the health of a target; `None` if it isn't healthy, leaves, or is another instance.
pub(crate) async fn check_health(
    names: &HeaderNames,
    address: SocketAddr,
    path: &SmolStr,
    instance: &str,
) -> Option<Health> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    let (started_us, deadline) = (monotonic_us(), Instant::now() + HEALTH_TIMEOUT);
    let call = Call {
        method: Method::GET,
        path: path.clone(),
        headers,
        body: Body::Buffered(None),
        deadline,
        objective: deadline,
        route: SmolStr::default(),
        rank: Rank::FIRST,
        is_patient: false,
        semantics: None,
        enters_here: false,
        id: None,
        fingerprint: CallFingerprint::of(&[path.as_bytes()]),
    };
    let response = match send(&Pool::default(), address, call, false, Destination::Target).await {
        Ok(response) => response,
        Err(code) => {
            log::info!("health check of the target at {address} failed: {code}");
            return None;
        }
    };
    let is_expected = text(&response.headers, names.own_instance.as_ref()) == Some(instance);
    let warmup = text(&response.headers, names.warmup.as_ref());
    let warmup_ms = warmup.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    let warmup = Duration::try_from_secs_f64(warmup_ms / 1_000.0).unwrap_or_default();
    let notice = names.notice(&response.headers);
    let is_healthy = response.status == StatusCode::OK && is_expected && !notice.is_leaving;
    is_healthy.then_some(Health { warmup, load: notice.load, started_us })
}
