//! Routing metadata of calls between nodes, carried in one header.

use std::time::{Duration, Instant};

use http::header::{HeaderMap, HeaderValue};
use kingcuplift_config::Semantics;
use kingcuplift_core::Rank;
use kingcuplift_traffic::{LoadReport, TargetKey};
use smol_str::SmolStr;

use crate::node::call::Call;
use crate::node::headers::{ENVELOPE, LOAD};

/// Placeholder for an empty name.
const EMPTY: &str = "-";

/// Destination, priority and time limits of a call between nodes.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Envelope {
    pub(crate) service: SmolStr,
    pub(crate) version: SmolStr,
    /// Instance that the call is addressed to; empty means any.
    pub(crate) instance: SmolStr,
    pub(crate) rank: Rank,
    pub(crate) route: SmolStr,
    /// Time until the deadline.
    pub(crate) time_left: Duration,
    /// Time until the latency objective.
    pub(crate) objective: Duration,
    /// Whether the call may wait until its deadline.
    pub(crate) is_patient: bool,
    /// Semantics of the route, if it states any.
    pub(crate) semantics: Option<Semantics>,
}

impl Envelope {
    /// Creates the envelope that addresses a call to a target.
    pub(crate) fn of(call: &Call, key: &TargetKey, instance: &SmolStr) -> Self {
        let now = Instant::now();
        Self {
            service: key.service.clone(),
            version: key.version.clone(),
            instance: instance.clone(),
            rank: call.rank,
            route: call.route.clone(),
            time_left: call.deadline.saturating_duration_since(now),
            objective: call.objective.saturating_duration_since(now),
            is_patient: call.is_patient,
            semantics: call.semantics,
        }
    }

    /// Adds the envelope to a call's headers.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        let instance = match self.instance.as_str() {
            "" => EMPTY,
            name => name,
        };
        let text = format!(
            "{} {} {instance} {} {} {} {} {} {}",
            self.service,
            self.version,
            self.rank,
            self.route,
            self.time_left.as_millis(),
            self.objective.as_millis(),
            u8::from(self.is_patient),
            self.semantics.map_or(EMPTY, Semantics::as_str),
        );
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(ENVELOPE, value);
        }
    }

    /// Removes the envelope from a call's headers and parses it; `None` if it is absent or malformed.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(ENVELOPE)?;
        let mut parts = value.to_str().ok()?.split(' ');
        let mut next = || parts.next();
        let envelope = Self {
            service: SmolStr::new(next()?),
            version: SmolStr::new(next()?),
            instance: match next()? {
                EMPTY => SmolStr::default(),
                name => SmolStr::new(name),
            },
            rank: next()?.parse().ok()?,
            route: SmolStr::new(next()?),
            time_left: Duration::from_millis(next()?.parse().ok()?),
            objective: Duration::from_millis(next()?.parse().ok()?),
            // Absent in calls from nodes of earlier releases.
            is_patient: next() == Some("1"),
            semantics: next().and_then(|text| text.parse().ok()),
        };
        Some(envelope)
    }
}

/// Adds the load of a node's target, and the time that the target took for this call, to a response.
pub(crate) fn write_load(
    headers: &mut HeaderMap,
    load: LoadReport,
    service_time: Option<Duration>,
) {
    let service_time = service_time.map_or(0, |time| time.as_millis().max(1));
    let text = format!("{} {} {service_time}", load.busy, load.limit);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(LOAD, value);
    }
}

/// Removes the load and the service time from a peer's response and parses them.
pub(crate) fn take_load(headers: &mut HeaderMap) -> Option<(LoadReport, Option<Duration>)> {
    let value = headers.remove(LOAD)?;
    let mut numbers = value.to_str().ok()?.split(' ').map(str::parse::<u32>);
    let mut next = || numbers.next()?.ok();
    let load = LoadReport { busy: next()?, limit: next()? };
    let service_time = next().filter(|ms| *ms > 0).map(|ms| Duration::from_millis(ms.into()));
    Some((load, service_time))
}
