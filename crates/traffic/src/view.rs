//! Routes, services and targets, prepared for the call path from one configuration version and the announced targets.
//!
//! Updates are incremental: only the hosts and services that a change affects are rebuilt, and clones share the rest.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use kingcuplift_config::{
    CALLER_LIMITS, CallerLimits, Document, Kind, MoveState, Resource, ResourceKey, ServiceSpec,
    StoredResource, VersionedDocument, ZoneState,
};
use kingcuplift_core::{Digest, Share, Version};
use kingcuplift_schema::control::{Target, TargetState};
use rand::Rng;
use smol_str::SmolStr;

use crate::admission::AdmissionPolicy;
use crate::choice::{Announcement, Candidate};
use crate::router::Router;
use crate::table::{TargetKey, TargetTable};

/// Load per target of a new version while a move is going on, as a multiple of its load after the move.
const TRIAL_LOAD_FACTOR: f64 = 1.4;

/// A service and the targets that its calls may go to.
#[derive(Debug)]
pub struct ServiceView {
    /// Configuration of the service.
    pub spec: ServiceSpec,
    /// Targets that accept new calls.
    pub candidates: Vec<Arc<Candidate>>,
    /// Target versions that take the calls.
    pub serving: ServingVersions,
    /// Targets of a new version that get few calls during a move, so that the others run under full load.
    pub held_back: Vec<TargetKey>,
}

/// Target versions that take the calls of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServingVersions {
    /// All versions.
    Any,
    /// One version.
    Only(SmolStr),
    /// Two versions, while traffic moves from one to the other.
    Split {
        /// Version that the traffic moves away from.
        from: SmolStr,
        /// Version that the traffic moves to.
        to: SmolStr,
        /// Share of calls that go to `to`, in thousandths.
        moved: u16,
    },
}

impl ServingVersions {
    /// Returns whether a target version takes calls.
    pub fn includes(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Split { from, to, .. } => from == version || to == version,
        }
    }

    /// Picks the target version of one call at random, by share; `None` means any.
    pub fn draw(&self, rng: &mut impl Rng) -> Option<&SmolStr> {
        match self {
            Self::Any => None,
            Self::Only(only) => Some(only),
            Self::Split { to, moved, .. } if rng.random_range(0..1_000) < *moved => Some(to),
            Self::Split { from, .. } => Some(from),
        }
    }
}

/// Routes and services of one configuration version.
#[derive(Debug, Clone, Default)]
pub struct RoutingView {
    version: Version,
    /// Digest of the configuration; a sender with other content of the same version replaces it.
    digest: Digest,
    router: Router,
    limits: CallerLimits,
    services: imbl::HashMap<SmolStr, Arc<ServiceView>>,
}

/// Parts of a view that a change affects.
#[derive(Debug, Default)]
struct Affected {
    hosts: BTreeSet<SmolStr>,
    services: BTreeSet<SmolStr>,
    limits: bool,
    is_everything: bool,
}

impl RoutingView {
    /// Returns the configuration version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the router.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns how the nodes beside targets judge calls that find no free slot.
    pub fn admission_policy(&self) -> AdmissionPolicy {
        match self.router.has_bulk_routes() {
            true => AdmissionPolicy::InTime,
            false => AdmissionPolicy::MeanTime,
        }
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns one service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceView>> {
        self.services.get(name)
    }

    /// Updates the view to the head of `config`, and the targets of the services in `changed`.
    pub fn update(
        &mut self,
        config: &VersionedDocument,
        table: &TargetTable,
        changed: &BTreeSet<SmolStr>,
    ) {
        let document = config.document();
        let mut affected = Affected::default();
        let is_replaced = self.version == config.head() && self.digest != document.digest();
        match config.changes_since(self.version).filter(|_| !is_replaced) {
            Some(changes) => {
                for (key, before) in changes {
                    affected.add(document, key, before);
                }
            }
            None => affected.is_everything = true,
        }
        affected.services.extend(changed.iter().cloned());
        if affected.is_everything {
            self.router = Router::new(document);
            affected.services.extend(self.services.keys().cloned());
            let keys = document.keys_of(Kind::Services);
            affected.services.extend(keys.map(|key| key.name.clone()));
        }
        for host in &affected.hosts {
            self.router.refresh(document, host);
        }
        for name in &affected.services {
            self.refresh_service(document, table, name);
        }
        if affected.is_everything || affected.limits {
            self.limits = caller_limits(document);
        }
        self.version = config.head();
        self.digest = document.digest();
    }

    fn refresh_service(&mut self, document: &Document, table: &TargetTable, name: &SmolStr) {
        let key = ResourceKey::new(Kind::Services, name);
        let Some(Resource::Service(spec)) = document.get(&key).map(|stored| &stored.resource)
        else {
            self.services.remove(name);
            return;
        };
        let before = self.services.get(name).cloned();
        let existing = before.as_ref().map(|view| view.candidates.as_slice()).unwrap_or_default();
        let existing: HashMap<&TargetKey, &Arc<Candidate>> =
            existing.iter().map(|candidate| (&candidate.key, candidate)).collect();
        let serving = serving_versions(document, &key);
        let candidates: Vec<Arc<Candidate>> = table
            .of_service(name)
            .filter(|(_, target)| takes_calls(document, target, &serving))
            .filter_map(|(key, target)| candidate(&existing, key, target, table.cold_until(key)))
            .collect();
        let held_back = held_back(&candidates, &serving);
        let view = ServiceView { spec: spec.clone(), candidates, serving, held_back };
        self.services.insert(name.clone(), Arc::new(view));
    }
}

impl Affected {
    /// Adds what a changed resource affects, from its content before and after the change.
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
                Resource::Zone(_) => self.is_everything = true,
                Resource::Limits(_) => self.limits = true,
                // Nodes do not check the keys of organisations.
                Resource::Tenant(_) => {}
            }
        }
    }

    /// Adds the hosts with routes that refer to a priority.
    fn add_routes_of(&mut self, document: &Document, priority: &ResourceKey) {
        for route in document.referrers(priority) {
            if let Some(Resource::Route(route)) = document.get(route).map(|s| &s.resource) {
                self.hosts.insert(route.host.clone());
            }
        }
    }
}

/// Returns the target versions that take the calls of a service.
pub fn serving_versions(document: &Document, service: &ResourceKey) -> ServingVersions {
    let referrers = document.referrers(service).filter_map(|key| document.get(key));
    let spec = referrers.into_iter().find_map(|stored| match &stored.resource {
        Resource::Move(spec) => Some(spec),
        _ => None,
    });
    let Some(spec) = spec else { return ServingVersions::Any };
    let to = SmolStr::new(spec.to.as_str());
    let Some(from) = spec.from.as_ref().map(|from| SmolStr::new(from.as_str())) else {
        return ServingVersions::Only(to);
    };
    match spec.state {
        MoveState::Waiting | MoveState::RolledBack => ServingVersions::Only(from),
        MoveState::Done if spec.share == Share::FULL => ServingVersions::Only(to),
        MoveState::Moving if spec.moved_permille == 0 => ServingVersions::Only(from),
        MoveState::Moving | MoveState::Done => {
            ServingVersions::Split { from, to, moved: spec.moved_permille }
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
pub fn is_zone_out(document: &Document, zone: &str) -> bool {
    let key = ResourceKey::new(Kind::Zones, zone);
    let stored = document.get(&key).map(|stored| &stored.resource);
    stored == Some(&Resource::Zone(ZoneState::Out))
}

/// Returns whether new calls may go to a target.
fn takes_calls(document: &Document, target: &Target, serving: &ServingVersions) -> bool {
    target.state() == TargetState::Ready
        && !is_zone_out(document, &target.zone)
        && serving.includes(&target.version)
}

/// Returns the targets of a new version that get few calls while a move is going on.
///
/// The calls of the new version go to so few targets that each bears more load than after the move; a version that
/// fails only under load then fails while its share is small.
fn held_back(candidates: &[Arc<Candidate>], serving: &ServingVersions) -> Vec<TargetKey> {
    let ServingVersions::Split { to, moved, .. } = serving else { return Vec::new() };
    let new = candidates.iter().filter(|candidate| candidate.key.version == *to);
    let keys: Vec<TargetKey> = new.map(|candidate| candidate.key.clone()).collect();
    let fraction = f64::from(*moved) / 1_000.0 / TRIAL_LOAD_FACTOR;
    let used = match *moved {
        1_000.. => keys.len(),
        _ => ((keys.len() as f64 * fraction).floor() as usize).max(1),
    };
    keys.into_iter().skip(used).collect()
}

/// Returns the candidate of a target; reuses the one in `existing`, with its load, if the target is unchanged.
fn candidate(
    existing: &HashMap<&TargetKey, &Arc<Candidate>>,
    key: &TargetKey,
    target: &Target,
    cold_until: u64,
) -> Option<Arc<Candidate>> {
    let is_same = |candidate: &&&Arc<Candidate>| {
        candidate.peer == target.peer
            && candidate.slots == target.slots
            && candidate.instance == target.instance
    };
    let announcement = Announcement {
        incarnation: target.incarnation,
        cold_until_ms: cold_until,
        lost_permille: target.lost_permille,
    };
    if let Some(candidate) = existing.get(key).filter(is_same) {
        candidate.record_announcement(announcement);
        return Some(Arc::clone(*candidate));
    }
    let zone = target.zone.parse().ok()?;
    let instance = SmolStr::new(&target.instance);
    let peer = target.peer.clone();
    let candidate = Candidate::new(key.clone(), zone, peer, target.slots).with_instance(instance);
    candidate.record_announcement(announcement);
    Some(Arc::new(candidate))
}
