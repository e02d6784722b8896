//! Exchange of load reports in the messages between nodes.

use std::sync::Arc;
use std::time::Duration;

use http::header::{HeaderMap, HeaderValue};
use kingcuplift_traffic::{
    Candidate, LoadReport, RoutingView, TargetId, TargetKey, TargetReport, freshest_reports,
    read_reports, write_reports,
};

use crate::clock::monotonic_ms;
use crate::metrics;
use crate::node::headers::LOADS;
use crate::node::shared::{LocalTarget, NodeShared};

/// Value of the header when there is nothing to report; its presence says that the sender reads reports.
const NO_REPORTS: HeaderValue = HeaderValue::from_static("-");
/// Longest transit time that is added to the age of a report. Beyond it, the time that is not service is mostly queueing.
const MAX_TRANSIT: Duration = Duration::from_millis(10);

/// Adds reports to a message about a call of `service`: that of the own target, and the freshest of others except
/// `receiver`, the target beside the node that gets the message.
pub(crate) fn write(
    shared: &NodeShared,
    headers: &mut HeaderMap,
    service: &str,
    receiver: Option<TargetId>,
) {
    let view = shared.view.load();
    let candidates = candidates(view.as_deref(), service);
    let now_ms = monotonic_ms();
    let own = own_target(shared, service).map(|(key, report)| (key.service, report));
    let except = [own.as_ref().map(|(_, report)| report.id), receiver];
    let others = freshest_reports(candidates, |id| except.contains(&Some(id)), now_ms);
    let own = own.as_ref().map(|(service, report)| (service.as_str(), *report));
    let text = write_reports(own, others);
    let value = match text.as_str() {
        "" => Ok(NO_REPORTS),
        text => HeaderValue::from_str(text),
    };
    if let Ok(value) = value {
        headers.insert(LOADS, value);
    }
}

/// Records the reports of a message about a call of `service` that was on its way for `transit`.
///
/// Returns the id of the target beside the sender, if it has one.
pub(crate) fn record(
    shared: &NodeShared,
    value: &HeaderValue,
    service: &str,
    transit: Duration,
) -> Option<TargetId> {
    let text = value.to_str().ok().filter(|_| shared.shares_load())?;
    let mut sender = None;
    let (view, now_ms) = (shared.view.load(), monotonic_ms());
    for (stated, report) in read_reports(text) {
        if stated.is_some() {
            sender = Some(report.id);
        }
        let candidates = candidates(view.as_deref(), stated.unwrap_or(service));
        let known = candidates.iter().find(|candidate| candidate.id == report.id);
        if known
            .is_some_and(|known| known.record_report(&report, stated.is_some(), transit, now_ms))
        {
            metrics::LOAD_REPORTS.inc();
        }
    }
    sender
}

/// Returns the time that the response of a peer took on its way, for a call that took `elapsed` in all.
pub(crate) fn transit(elapsed: Duration, service_time: Option<Duration>) -> Duration {
    let other = service_time.map_or(Duration::ZERO, |time| elapsed.saturating_sub(time));
    (other / 2).min(MAX_TRANSIT)
}

/// Records the present load of the own target, so that the selection knows it without a message.
pub(crate) fn record_own(shared: &NodeShared, candidates: &[Arc<Candidate>], service: &str) {
    let Some((key, report)) = own_target(shared, service) else { return };
    if let Some(own) = candidates.iter().find(|candidate| candidate.key == key) {
        own.record_report(&report, true, Duration::ZERO, monotonic_ms());
    }
}

/// Returns the target beside this node and its load; one of `service` is preferred.
fn own_target(shared: &NodeShared, service: &str) -> Option<(TargetKey, TargetReport)> {
    let targets = shared.local_targets.load();
    let preferred = targets.iter().find(|(key, _)| key.service == service);
    let (key, local) = preferred.or_else(|| targets.iter().next())?;
    Some((key.clone(), report(shared, key, local)))
}

/// Measures the load of a local target.
fn report(shared: &NodeShared, key: &TargetKey, local: &LocalTarget) -> TargetReport {
    let LoadReport { busy, limit } = local.admission.load();
    let pace = match local.admission.stated_pace() {
        Some(multiple) => local.pace().stated_pace(multiple),
        None => local.pace().pace(monotonic_ms()),
    };
    let report = TargetReport {
        id: TargetId::of(key, &local.instance),
        busy,
        limit,
        pace,
        link_wait: shared.link_wait(),
        age: Duration::ZERO,
    };
    report.bounded()
}

fn candidates<'a>(view: Option<&'a RoutingView>, service: &str) -> &'a [Arc<Candidate>] {
    let service = view.and_then(|view| view.service(service));
    service.map(|service| service.candidates.as_slice()).unwrap_or_default()
}
