//! The set of resources of one version, with indexes by reference and by route that keep changes cheap.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use kingcuplift_core::{ByteSize, Digest, Version};
use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::resource::{Kind, Resource, ResourceKey};

/// Content of one resource.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredResource {
    /// Canonical JSON.
    pub json: Arc<str>,
    /// Validated content.
    pub resource: Resource,
    /// Version that last changed the resource.
    pub last_changed: Version,
}

/// Previous content of the resources that a version changed; `None` for those that did not exist.
pub(crate) type PriorContent = BTreeMap<ResourceKey, Option<StoredResource>>;

/// Memory that a resource takes beside its JSON: its key and validated content.
const RESOURCE_OVERHEAD: ByteSize = ByteSize::bytes(512);

/// Returns about how much memory previous content takes; the same on all members.
pub(crate) fn prior_size(prior: &PriorContent) -> u64 {
    let json_size = |stored: &StoredResource| stored.json.len() as u64;
    let sizes = prior.values().map(|stored| stored.as_ref().map_or(0, json_size));
    sizes.map(|size| size + RESOURCE_OVERHEAD.get()).sum()
}

/// All resources of one version.
#[derive(Debug, Clone, Default)]
pub struct Document {
    resources: BTreeMap<ResourceKey, StoredResource>,
    /// Resources that refer to each key.
    referrers: HashMap<ResourceKey, BTreeSet<ResourceKey>>,
    /// Routes by host and prefix.
    routes_by_host: HashMap<SmolStr, BTreeMap<SmolStr, ResourceKey>>,
    digest: Digest,
}

impl Document {
    /// Returns the resource at `key`.
    pub fn get(&self, key: &ResourceKey) -> Option<&StoredResource> {
        self.resources.get(key)
    }

    /// Returns whether a resource exists at `key`.
    pub fn contains(&self, key: &ResourceKey) -> bool {
        self.resources.contains_key(key)
    }

    /// Returns all resources in order of key.
    pub fn iter(&self) -> impl Iterator<Item = (&ResourceKey, &StoredResource)> {
        self.resources.iter()
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.resources.len()
    }

    /// Returns whether there are no resources.
    pub fn is_empty(&self) -> bool {
        self.resources.is_empty()
    }

    /// Returns the digest of all resources.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the resources that refer to `key`.
    pub fn referrers(&self, key: &ResourceKey) -> impl Iterator<Item = &ResourceKey> {
        self.referrers.get(key).into_iter().flatten()
    }

    /// Returns the route with this host and prefix.
    pub fn route_at(&self, host: &SmolStr, prefix: &SmolStr) -> Option<&ResourceKey> {
        self.routes_by_host.get(host)?.get(prefix)
    }

    /// Returns the hosts of all routes.
    pub fn hosts(&self) -> impl Iterator<Item = &SmolStr> {
        self.routes_by_host.keys()
    }

    /// Returns the keys of the routes of one host.
    pub fn routes_of(&self, host: &SmolStr) -> impl Iterator<Item = &ResourceKey> {
        self.routes_by_host.get(host).into_iter().flat_map(BTreeMap::values)
    }

    /// Returns the keys of all resources of one kind.
    pub fn keys_of(&self, kind: Kind) -> impl Iterator<Item = &ResourceKey> {
        let first = ResourceKey::new(kind, "");
        self.resources.range(first..).map(|(key, _)| key).take_while(move |key| key.kind == kind)
    }

    /// Stores or removes a resource and returns its previous content.
    pub fn replace(
        &mut self,
        key: &ResourceKey,
        stored: Option<StoredResource>,
    ) -> Option<StoredResource> {
        let prior = self.resources.remove(key);
        if let Some(prior) = &prior {
            self.unindex(key, prior);
        }
        if let Some(stored) = stored {
            self.index(key, &stored);
            self.resources.insert(key.clone(), stored);
        }
        prior
    }

    /// Returns the document as one JSON object, by kind and name.
    pub fn to_json(&self) -> Value {
        let mut kinds = Map::new();
        for kind in Kind::ALL {
            kinds.insert(kind.as_str().to_owned(), Value::Object(Map::new()));
        }
        for (key, stored) in &self.resources {
            let value = serde_json::from_str(&stored.json).unwrap_or(Value::Null);
            kinds[key.kind.as_str()][key.name.as_str()] = value;
        }
        Value::Object(kinds)
    }

    fn index(&mut self, key: &ResourceKey, stored: &StoredResource) {
        self.digest.add(&key.to_string(), &stored.json);
        for referenced in stored.resource.references() {
            self.referrers.entry(referenced).or_default().insert(key.clone());
        }
        if let Resource::Route(route) = &stored.resource {
            let prefixes = self.routes_by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), key.clone());
        }
    }

    fn unindex(&mut self, key: &ResourceKey, stored: &StoredResource) {
        self.digest.remove(&key.to_string(), &stored.json);
        for referenced in stored.resource.references() {
            let Some(set) = self.referrers.get_mut(&referenced) else { continue };
            set.remove(key);
            if set.is_empty() {
                self.referrers.remove(&referenced);
            }
        }
        if let Resource::Route(route) = &stored.resource
            && let Some(prefixes) = self.routes_by_host.get_mut(&route.host)
        {
            // Another route may already have taken over this host and prefix in the same change.
            if prefixes.get(&route.prefix) == Some(key) {
                prefixes.remove(&route.prefix);
            }
            if prefixes.is_empty() {
                self.routes_by_host.remove(&route.host);
            }
        }
    }
}
