//! Finds the route of a call by host and path.

use std::collections::HashMap;
use std::time::Duration;

use kingcuplift_config::{Document, Resource, ResourceKey};
use kingcuplift_core::{Rank, ServiceName};
use smol_str::SmolStr;

/// Rank of a route without a priority.
const DEFAULT_RANK: Rank = Rank::new(100);

/// What a matched route says of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteMatch {
    /// Name of the route.
    pub name: SmolStr,
    /// Beginning of the path.
    pub prefix: SmolStr,
    /// Service that serves the call.
    pub service: ServiceName,
    /// Order of service.
    pub rank: Rank,
    /// Longest time for the call.
    pub timeout: Duration,
}

/// Routes of one version, by host.
#[derive(Debug, Default)]
pub struct Router {
    /// Routes of a host, the longest prefix first.
    hosts: HashMap<SmolStr, Vec<RouteMatch>>,
}

impl Router {
    /// Makes a router from a document.
    pub fn new(document: &Document) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<RouteMatch>> = HashMap::new();
        for (key, stored) in document.iter() {
            let Resource::Route(route) = &stored.resource else { continue };
            let entry = RouteMatch {
                name: key.name.clone(),
                prefix: route.prefix.clone(),
                service: route.service.clone(),
                rank: route.priority.as_ref().map_or(DEFAULT_RANK, |name| rank(document, name)),
                timeout: route.timeout,
            };
            hosts.entry(route.host.clone()).or_default().push(entry);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route with the longest prefix that matches `path` on `host`.
    ///
    /// `host` is in lower case and without port. A prefix ends at a `/` or at the end of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteMatch> {
        self.hosts.get(host)?.iter().find(|route| has_prefix(path, &route.prefix))
    }
}

fn rank(document: &Document, priority: &str) -> Rank {
    let key = ResourceKey::new(kingcuplift_config::Kind::Priorities, priority);
    match document.get(&key).map(|stored| &stored.resource) {
        Some(Resource::Priority(rank)) => *rank,
        _ => DEFAULT_RANK,
    }
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}
