//! What a call between nodes says besides the call itself, in one header.

use std::time::{Duration, Instant};

use http::header::{HeaderMap, HeaderValue};
use kingcuplift_core::Rank;
use kingcuplift_traffic::{LoadReport, TargetKey};
use smol_str::SmolStr;

use crate::node::forward::Call;
use crate::node::headers::{ENVELOPE, LOAD};

/// Stands for an empty name.
const EMPTY: &str = "-";

/// Where a call between nodes goes, and until when.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Envelope {
    pub(crate) service: SmolStr,
    pub(crate) version: SmolStr,
    /// Instance that the call is meant for; empty means any.
    pub(crate) instance: SmolStr,
    pub(crate) rank: Rank,
    pub(crate) route: SmolStr,
    /// Time until the deadline.
    pub(crate) time: Duration,
    /// Time until the objective.
    pub(crate) objective: Duration,
}

impl Envelope {
    /// Addresses a call to a target.
    pub(crate) fn of(call: &Call, key: &TargetKey, instance: &SmolStr) -> Self {
        let now = Instant::now();
        Self {
            service: key.service.clone(),
            version: key.version.clone(),
            instance: instance.clone(),
            rank: call.rank,
            route: call.route.clone(),
            time: call.deadline.saturating_duration_since(now),
            objective: call.objective.saturating_duration_since(now),
        }
    }

    /// Writes the envelope into a call's headers.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        let instance = match self.instance.as_str() {
            "" => EMPTY,
            name => name,
        };
        let text = format!(
            "{} {} {instance} {} {} {} {}",
            self.service,
            self.version,
            self.rank,
            self.route,
            self.time.as_millis(),
            self.objective.as_millis(),
        );
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(ENVELOPE, value);
        }
    }

    /// Takes the envelope out of a call's headers.
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
            time: Duration::from_millis(next()?.parse().ok()?),
            objective: Duration::from_millis(next()?.parse().ok()?),
        };
        Some(envelope)
    }
}

/// Writes what a node says of its target: load, and the time that the target took for this call.
pub(crate) fn write_load(headers: &mut HeaderMap, load: LoadReport, service: Option<Duration>) {
    let service = service.map_or(0, |time| time.as_millis().max(1));
    let text = format!("{} {} {service}", load.busy, load.limit);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(LOAD, value);
    }
}

/// Takes out what a node says of its target.
pub(crate) fn take_load(headers: &mut HeaderMap) -> Option<(LoadReport, Option<Duration>)> {
    let value = headers.remove(LOAD)?;
    let mut numbers = value.to_str().ok()?.split(' ').map(str::parse::<u32>);
    let mut next = || numbers.next()?.ok();
    let load = LoadReport { busy: next()?, limit: next()? };
    let service = next().filter(|ms| *ms > 0).map(|ms| Duration::from_millis(ms.into()));
    Some((load, service))
}
