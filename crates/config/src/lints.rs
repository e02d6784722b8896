//! Finds entries of a valid configuration that have no effect, and limits that contradict each other.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::document::Document;
use crate::resource::{CallerLimits, Kind, Resource, ResourceKey, RouteSpec, ServiceSpec};

/// What a [`Lint`] has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LintKind {
    /// Another route of the host takes all paths below the prefix.
    ShadowedRoute,
    /// No path of a request can begin with the prefix.
    UnmatchablePrefix,
    /// No request names the host.
    UnmatchableHost,
    /// A service of a split has the weight 0.
    ZeroWeight,
    /// No route leads to the service.
    UnroutedService,
    /// No route names the priority.
    UnusedPriority,
    /// The objective of a route is beyond its timeout.
    ObjectiveBeyondTimeout,
    /// The timeout for headers is beyond that of idle connections.
    HeadersBeyondIdle,
    /// Targets accept fewer connections than they have slots.
    ConnectionsBelowSlots,
    /// A rate for a warm-up that takes no time.
    RateWithoutWarmup,
}

impl fmt::Display for LintKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ShadowedRoute => "shadowed_route",
            Self::UnmatchablePrefix => "unmatchable_prefix",
            Self::UnmatchableHost => "unmatchable_host",
            Self::ZeroWeight => "zero_weight",
            Self::UnroutedService => "unrouted_service",
            Self::UnusedPriority => "unused_priority",
            Self::ObjectiveBeyondTimeout => "objective_beyond_timeout",
            Self::HeadersBeyondIdle => "headers_beyond_idle",
            Self::ConnectionsBelowSlots => "connections_below_slots",
            Self::RateWithoutWarmup => "rate_without_warmup",
        })
    }
}

/// A part of a valid configuration that is probably a mistake.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Lint {
    /// What was found.
    pub kind: LintKind,
    /// Path of the value, with `/` between names.
    pub path: String,
    /// What is wrong and how to correct it.
    pub detail: String,
}

impl fmt::Display for Lint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.path, self.detail, self.kind)
    }
}

/// Returns the lints of a document, in order of its resources.
pub fn find_lints(document: &Document) -> Vec<Lint> {
    let mut lints = Vec::new();
    for (key, stored) in document.iter() {
        match &stored.resource {
            Resource::Route(route) => check_route(document, key, route, &mut lints),
            Resource::Service(service) => check_service(document, key, service, &mut lints),
            Resource::Limits(limits) => check_limits(key, limits, &mut lints),
            Resource::Priority(_) if document.referrers(key).next().is_none() => {
                let detail = "no route names it; remove it or name it in a route";
                push(&mut lints, LintKind::UnusedPriority, key.to_string(), detail);
            }
            _ => {}
        }
    }
    lints
}

fn push(lints: &mut Vec<Lint>, kind: LintKind, path: String, detail: impl Into<String>) {
    lints.push(Lint { kind, path, detail: detail.into() });
}

fn check_route(document: &Document, key: &ResourceKey, route: &RouteSpec, lints: &mut Vec<Lint>) {
    // The route with the longest prefix takes a call, so only the path that is the prefix itself is left.
    let below = smol_str::format_smolstr!("{}/", route.prefix);
    if let Some(other) = document.route_at(&route.host, &below) {
        let detail = format!("{other} takes all paths below, only {} itself is left", route.prefix);
        push(lints, LintKind::ShadowedRoute, format!("{key}/prefix"), detail);
    }
    if route.prefix.contains(['?', '#', ' ']) {
        let detail = "a path has no '?', '#' or space; queries are not matched, and spaces are %20";
        push(lints, LintKind::UnmatchablePrefix, format!("{key}/prefix"), detail);
    }
    if route.host.contains('*') {
        let detail = "hosts are compared as they are; add a route for each host";
        push(lints, LintKind::UnmatchableHost, format!("{key}/host"), detail);
    }
    for (i, part) in route.split.iter().enumerate().filter(|(_, part)| part.weight == 0.0) {
        let detail = format!("{} gets no calls; remove it or give it a weight", part.service);
        push(lints, LintKind::ZeroWeight, format!("{key}/split/{i}"), detail);
    }
    if let Some(objective) = route.objective.filter(|objective| *objective > route.timeout) {
        let (objective, timeout) = (Millis(objective), Millis(route.timeout));
        let detail =
            format!("an answer after {objective} comes too late for the timeout {timeout}");
        push(lints, LintKind::ObjectiveBeyondTimeout, format!("{key}/objective_ms"), detail);
    }
}

fn check_service(
    document: &Document,
    key: &ResourceKey,
    service: &ServiceSpec,
    lints: &mut Vec<Lint>,
) {
    if !document.referrers(key).any(|referrer| referrer.kind == Kind::Routes) {
        let detail = "no route leads to it; remove it or add a route";
        push(lints, LintKind::UnroutedService, key.to_string(), detail);
    }
    if service.connections < service.slots {
        let (connections, slots) = (service.connections, service.slots);
        let detail = format!(
            "a call takes a connection; {connections} connections carry fewer calls than {slots} slots"
        );
        push(lints, LintKind::ConnectionsBelowSlots, format!("{key}/connections"), detail);
    }
    if service.warmup.is_zero() && service.warmup_rate.is_some() {
        let detail = "warmup_s is 0 or absent; set it or remove the rate";
        push(lints, LintKind::RateWithoutWarmup, format!("{key}/warmup_rate"), detail);
    }
}

fn check_limits(key: &ResourceKey, limits: &CallerLimits, lints: &mut Vec<Lint>) {
    if limits.header_timeout > limits.idle_timeout {
        let (headers, idle) = (Millis(limits.header_timeout), Millis(limits.idle_timeout));
        let detail = format!("{headers} for headers is beyond the {idle} of an idle connection");
        push(lints, LintKind::HeadersBeyondIdle, format!("{key}/header_ms"), detail);
    }
}

/// A time, shown in milliseconds.
struct Millis(Duration);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0.as_secs_f64() * 1_000.0)
    }
}
