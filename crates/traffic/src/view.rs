//! All that calls need of one configuration version and the announced targets.
//!
//! A view follows changes at the cost of the change: only the hosts and services that a change concerns
//! are prepared anew, and a copy shares everything else.

use std::collections::BTreeSet;
use std::sync::Arc;

use kingcuplift_config::{
    CALLER_LIMITS, CallerLimits, Document, Kind, MoveState, Resource, ResourceKey, ServiceSpec,
    StoredResource, VersionedDocument, ZoneState,
};
use kingcuplift_core::{Share, Version};
use kingcuplift_schema::control::{Target, TargetState};
use rand::Rng;
use smol_str::SmolStr;

use crate::choice::Candidate;
use crate::router::Router;
use crate::table::{TargetKey, TargetTable};

/// Load of a target of a new version during a move, as a multiple of that after the move.
const TRIAL_LOAD: f64 = 1.4;

/// A service as calls see it.
#[derive(Debug)]
pub struct ServiceView {
    /// What its targets bear.
    pub spec: ServiceSpec,
    /// Targets that new calls may go to.
    pub candidates: Vec<Arc<Candidate>>,
    /// Target versions that take the calls.
    pub serving: Serving,
    /// Targets of a new version that are held back, so that the others show how they bear full load.
    pub held_back: Vec<TargetKey>,
}

/// Target versions that take the calls of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Serving {
    /// All of them.
    Any,
    /// One of them.
    Only(SmolStr),
    /// Two of them, while traffic moves.
    Split {
        /// Version that had the traffic.
        from: SmolStr,
        /// Version that is to get it.
        to: SmolStr,
        /// Share of the new version, in thousandths.
        moved: u16,
    },
}

impl Serving {
    /// Returns whether a target version takes calls.
    pub fn takes(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Split { from, to, .. } => from == version || to == version,
        }
    }

    /// Draws the target version of one call; `None` means any.
    pub fn draw(&self, rng: &mut impl Rng) -> Option<&SmolStr> {
        match self {
            Self::Any => None,
            Self::Only(only) => Some(only),
            Self::Split { to, moved, .. } if rng.random_range(0..1_000) < *moved => Some(to),
            Self::Split { from, .. } => Some(from),
        }
    }
}

/// Routes and services of one version.
#[derive(Debug, Clone, Default)]
pub struct View {
    version: Version,
    router: Router,
    limits: CallerLimits,
    services: imbl::HashMap<SmolStr, Arc<ServiceView>>,
}

/// What a change concerns.
#[derive(Debug, Default)]
struct Concerned {
    hosts: BTreeSet<SmolStr>,
    services: BTreeSet<SmolStr>,
    limits: bool,
    is_all: bool,
}

impl View {
    /// Returns the version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the routes.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns what callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns one service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceView>> {
        self.services.get(name)
    }

    /// Follows the configuration to its head, and the targets of the services in `changed`.
    pub fn update(
        &mut self,
        feed: &VersionedDocument,
        table: &TargetTable,
        changed: &BTreeSet<SmolStr>,
    ) {
        let document = feed.document();
        let mut concerned = Concerned::default();
        match feed.changes_since(self.version) {
            Some(changes) => {
                for (key, before) in changes {
                    concerned.add(document, key, before);
                }
            }
            None => concerned.is_all = true,
        }
        concerned.services.extend(changed.iter().cloned());
        if concerned.is_all {
            self.router = Router::new(document);
            concerned.services.extend(self.services.keys().cloned());
            let keys = document.keys_of(Kind::Services);
            concerned.services.extend(keys.map(|key| key.name.clone()));
        }
        for host in &concerned.hosts {
            self.router.refresh(document, host);
        }
        for name in &concerned.services {
            self.refresh_service(document, table, name);
        }
        if concerned.is_all || concerned.limits {
            self.limits = caller_limits(document);
        }
        self.version = feed.head();
    }

    fn refresh_service(&mut self, document: &Document, table: &TargetTable, name: &SmolStr) {
        let key = ResourceKey::new(Kind::Services, name);
        let Some(Resource::Service(spec)) = document.get(&key).map(|stored| &stored.resource)
        else {
            self.services.remove(name);
            return;
        };
        let before = self.services.get(name).cloned();
        let known = before.as_ref().map(|view| view.candidates.as_slice()).unwrap_or_default();
        let serving = serving(document, &key);
        let candidates: Vec<Arc<Candidate>> = table
            .of_service(name)
            .filter(|(_, target)| takes_calls(document, target, &serving))
            .filter_map(|(key, target)| candidate(known, key, target, table.cold_until(key)))
            .collect();
        let held_back = held_back(&candidates, &serving);
        let view = ServiceView { spec: spec.clone(), candidates, serving, held_back };
        self.services.insert(name.clone(), Arc::new(view));
    }
}

impl Concerned {
    /// Adds what a changed resource concerns, by its content before and now.
    fn add(&mut self, document: &Document, key: &ResourceKey, before: Option<&StoredResource>) {
        let now = document.get(key);
        for stored in before.into_iter().chain(now) {
            match &stored.resource {
                Resource::Route(route) => drop(self.hosts.insert(route.host.clone())),
                Resource::Service(_) => drop(self.services.insert(key.name.clone())),
                Resource::Move(spec) => {
                    self.services.insert(SmolStr::new(spec.service.as_str()));
                }
                Resource::Priority(_) => self.add_routes_of(document, key),
                Resource::Zone(_) => self.is_all = true,
                Resource::Limits(_) => self.limits = true,
            }
        }
    }

    /// Adds the hosts whose routes refer to a priority.
    fn add_routes_of(&mut self, document: &Document, priority: &ResourceKey) {
        for route in document.referrers(priority) {
            if let Some(Resource::Route(route)) = document.get(route).map(|s| &s.resource) {
                self.hosts.insert(route.host.clone());
            }
        }
    }
}

/// Returns the target versions that take the calls of a service.
pub fn serving(document: &Document, service: &ResourceKey) -> Serving {
    let referrers = document.referrers(service).filter_map(|key| document.get(key));
    let spec = referrers.into_iter().find_map(|stored| match &stored.resource {
        Resource::Move(spec) => Some(spec),
        _ => None,
    });
    let Some(spec) = spec else { return Serving::Any };
    let to = SmolStr::new(spec.to.as_str());
    let Some(from) = spec.from.as_ref().map(|from| SmolStr::new(from.as_str())) else {
        return Serving::Only(to);
    };
    match spec.state {
        MoveState::Waiting | MoveState::RolledBack => Serving::Only(from),
        MoveState::Done if spec.share == Share::FULL => Serving::Only(to),
        MoveState::Moving if spec.moved_permille == 0 => Serving::Only(from),
        MoveState::Moving | MoveState::Done => {
            Serving::Split { from, to, moved: spec.moved_permille }
        }
    }
}

fn caller_limits(document: &Document) -> CallerLimits {
    let key = ResourceKey::new(Kind::Limits, CALLER_LIMITS);
    match document.get(&key).map(|stored| &stored.resource) {
        Some(Resource::Limits(limits)) => limits.clone(),
        _ => CallerLimits::default(),
    }
}

/// Returns whether an availability zone is out of service.
pub fn is_out(document: &Document, zone: &str) -> bool {
    let key = ResourceKey::new(Kind::Zones, zone);
    let stored = document.get(&key).map(|stored| &stored.resource);
    stored == Some(&Resource::Zone(ZoneState::Out))
}

/// Returns whether new calls may go to a target.
fn takes_calls(document: &Document, target: &Target, serving: &Serving) -> bool {
    target.state() == TargetState::Ready
        && !is_out(document, &target.zone)
        && serving.takes(&target.version)
}

/// Returns the targets of a new version that are held back.
///
/// A small share of the calls goes to so few targets that each has more load than it will have in the end.
fn held_back(candidates: &[Arc<Candidate>], serving: &Serving) -> Vec<TargetKey> {
    let Serving::Split { to, moved, .. } = serving else { return Vec::new() };
    let new = candidates.iter().filter(|candidate| candidate.key.version == *to);
    let keys: Vec<TargetKey> = new.map(|candidate| candidate.key.clone()).collect();
    let part = f64::from(*moved) / 1_000.0 / TRIAL_LOAD;
    let used = match *moved {
        1_000.. => keys.len(),
        _ => ((keys.len() as f64 * part).floor() as usize).max(1),
    };
    keys.into_iter().skip(used).collect()
}

/// Returns the candidate of a target, keeping what is known of its load.
fn candidate(
    known: &[Arc<Candidate>],
    key: &TargetKey,
    target: &Target,
    cold_until: u64,
) -> Option<Arc<Candidate>> {
    let same = |held: &&Arc<Candidate>| {
        held.key == *key
            && held.peer == target.peer
            && held.slots == target.slots
            && held.instance == target.instance
    };
    if let Some(held) = known.iter().find(same) {
        held.set_cold_until(cold_until);
        return Some(Arc::clone(held));
    }
    let zone = target.zone.parse().ok()?;
    let instance = SmolStr::new(&target.instance);
    let peer = target.peer.clone();
    let made = Candidate::new(key.clone(), zone, peer, target.slots).with_instance(instance);
    made.set_cold_until(cold_until);
    Some(Arc::new(made))
}
