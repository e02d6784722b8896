//! Finds the route of a call by host and path.

use std::sync::Arc;
use std::time::Duration;

use kingcuplift_config::{Document, Kind, Resource, ResourceKey, Semantics, WeightedService};
use kingcuplift_core::{Rank, ServiceName};
use rand::Rng;
use smol_str::SmolStr;

/// Attempts per call on a route that sets no limit.
const DEFAULT_ATTEMPTS: usize = 4;
/// Rank of a route without a priority.
const DEFAULT_RANK: Rank = Rank::new(100);

/// Settings of the route that a call matched.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteMatch {
    /// Name of the route.
    pub name: SmolStr,
    /// Path prefix that the route matches.
    pub prefix: SmolStr,
    /// Weighted services that receive the calls; at least one.
    pub parts: Vec<WeightedService>,
    /// Priority class of the calls; 0 is served first.
    pub rank: Rank,
    /// Whether the configuration states the priority class.
    pub is_ranked: bool,
    /// Time after which the call fails.
    pub timeout: Duration,
    /// Latency objective; a later answer has less value.
    pub objective: Duration,
    /// Whether a call may run more than once; `None` means that its method decides.
    pub semantics: Option<Semantics>,
    /// Maximum number of targets that one call is sent to.
    pub attempts: usize,
}

impl RouteMatch {
    /// Picks the service of one call at random, by the weights of the parts.
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

/// Routes of one configuration version, by host. Clones share unchanged routes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Router {
    /// Routes of a host, the longest prefix first.
    hosts: imbl::HashMap<SmolStr, Arc<[RouteMatch]>>,
    /// Number of routes whose calls transfer much data.
    bulk_routes: usize,
    /// Number of routes with a stated rank, by objective.
    ranked_objectives: imbl::OrdMap<Duration, usize>,
}

impl Router {
    /// Builds a router from a document.
    pub fn new(document: &Document) -> Self {
        let mut router = Self::default();
        for host in document.hosts() {
            router.refresh(document, host);
        }
        router
    }

    /// Rebuilds the routes of one host from a document.
    pub fn refresh(&mut self, document: &Document, host: &SmolStr) {
        let mut routes: Vec<RouteMatch> =
            document.routes_of(host).filter_map(|key| route_match(document, key)).collect();
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        let added = count_bulk(&routes);
        let earlier = match routes.is_empty() {
            true => self.hosts.remove(host),
            false => self.hosts.insert(host.clone(), routes.into()),
        };
        let earlier = earlier.unwrap_or_default();
        self.bulk_routes = self.bulk_routes + added - count_bulk(&earlier);
        self.count_objectives(host, &earlier);
    }

    /// Counts the objectives of a host's routes in place of those of its `earlier` routes.
    fn count_objectives(&mut self, host: &SmolStr, earlier: &[RouteMatch]) {
        let current = self.hosts.get(host).cloned().unwrap_or_default();
        for route in current.iter().filter(|route| route.is_ranked) {
            *self.ranked_objectives.entry(route.objective).or_insert(0) += 1;
        }
        for route in earlier.iter().filter(|route| route.is_ranked) {
            let count = self.ranked_objectives.get(&route.objective).copied().unwrap_or(0);
            match count {
                0 | 1 => drop(self.ranked_objectives.remove(&route.objective)),
                _ => drop(self.ranked_objectives.insert(route.objective, count - 1)),
            }
        }
    }

    /// Returns the rank of the calls of a route.
    ///
    /// Where some route transfers much data, a route without a stated rank whose objective is shorter than that of all
    /// routes with one takes nested calls: those must end before the calls that wait for them. They are served first.
    pub fn rank(&self, route: &RouteMatch) -> Rank {
        let shortest = self.ranked_objectives.get_min().map(|(objective, _)| *objective);
        let is_nested = shortest.is_some_and(|shortest| route.objective < shortest);
        match self.has_bulk_routes() && !route.is_ranked && is_nested {
            true => Rank::FIRST,
            false => route.rank,
        }
    }

    /// Returns whether the calls of some route transfer much data.
    pub fn has_bulk_routes(&self) -> bool {
        self.bulk_routes > 0
    }

    /// Returns the route with the longest prefix that matches `path` on `host`.
    ///
    /// `host` is in lower case and without port. A prefix ends at a `/` or at the end of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteMatch> {
        self.hosts.get(host)?.iter().find(|route| has_prefix(path, &route.prefix))
    }
}

fn count_bulk(routes: &[RouteMatch]) -> usize {
    routes.iter().filter(|route| route.semantics.is_some_and(Semantics::is_bulk)).count()
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
        is_ranked: route.priority.is_some() || route.rank.is_some(),
        timeout: route.timeout,
        objective: route.objective.unwrap_or(route.timeout).min(route.timeout),
        semantics: route.semantics,
        attempts: route.attempt_limit.map_or(DEFAULT_ATTEMPTS, |attempts| attempts as usize),
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
