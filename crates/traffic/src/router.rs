//! Finds the route of a call by host and path.

use std::sync::Arc;
use std::time::Duration;

use kingcuplift_config::{Document, Kind, Resource, ResourceKey, Semantics, WeightedService};
use kingcuplift_core::{Rank, ServiceName};
use rand::Rng;
use smol_str::SmolStr;

/// Targets that one call may be sent to when the route names no number.
const DEFAULT_ATTEMPTS: usize = 4;
/// Rank of a route without a priority.
const DEFAULT_RANK: Rank = Rank::new(100);

/// What a matched route says of a call.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteMatch {
    /// Name of the route.
    pub name: SmolStr,
    /// Beginning of the path.
    pub prefix: SmolStr,
    /// Services that share the calls; one at least.
    pub parts: Vec<WeightedService>,
    /// Order of service.
    pub rank: Rank,
    /// Longest time for the call.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub objective: Duration,
    /// Whether a call may run more than once; `None` means that its method decides.
    pub semantics: Option<Semantics>,
    /// Most targets that one call is sent to.
    pub attempts: usize,
}

impl RouteMatch {
    /// Draws the service of one call by the weights of the parts.
    pub fn draw_service(&self, rng: &mut impl Rng) -> &ServiceName {
        let total: f64 = self.parts.iter().map(|part| part.weight).sum();
        let mut rest = rng.random::<f64>() * total;
        for part in &self.parts {
            rest -= part.weight;
            if rest < 0.0 {
                return &part.service;
            }
        }
        &self.parts[0].service
    }
}

/// Routes of one version, by host; a copy shares what is equal.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Router {
    /// Routes of a host, the longest prefix first.
    hosts: imbl::HashMap<SmolStr, Arc<[RouteMatch]>>,
}

impl Router {
    /// Makes a router from a document.
    pub fn new(document: &Document) -> Self {
        let mut router = Self::default();
        for host in document.hosts() {
            router.refresh(document, host);
        }
        router
    }

    /// Takes over the routes of one host from a document.
    pub fn refresh(&mut self, document: &Document, host: &SmolStr) {
        let mut routes: Vec<RouteMatch> =
            document.routes_of(host).filter_map(|key| route_match(document, key)).collect();
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        match routes.is_empty() {
            true => drop(self.hosts.remove(host)),
            false => drop(self.hosts.insert(host.clone(), routes.into())),
        }
    }

    /// Returns the route with the longest prefix that matches `path` on `host`.
    ///
    /// `host` is in lower case and without port. A prefix ends at a `/` or at the end of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteMatch> {
        self.hosts.get(host)?.iter().find(|route| has_prefix(path, &route.prefix))
    }
}

fn route_match(document: &Document, key: &ResourceKey) -> Option<RouteMatch> {
    let Resource::Route(route) = &document.get(key)?.resource else { return None };
    Some(RouteMatch {
        name: key.name.clone(),
        prefix: route.prefix.clone(),
        parts: route.split.clone(),
        rank: match (&route.priority, route.rank) {
            (Some(name), _) => rank(document, name),
            (None, rank) => rank.unwrap_or(DEFAULT_RANK),
        },
        timeout: route.timeout,
        objective: route.objective.unwrap_or(route.timeout).min(route.timeout),
        semantics: route.semantics,
        attempts: route.max_attempts.map_or(DEFAULT_ATTEMPTS, |attempts| attempts as usize),
    })
}

fn rank(document: &Document, priority: &str) -> Rank {
    let key = ResourceKey::new(Kind::Priorities, priority);
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
