//! The resources that a receiver holds.

use std::collections::BTreeSet;

use kingcuplift_core::ServiceName;

use crate::document::Document;
use crate::resource::{Kind, Resource, ResourceKey};

/// Resources that a receiver holds: all, or those that some services need.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subscription {
    /// All resources.
    All,
    /// The services, their routes and moves, everything that those routes refer to, all availability zones, and the
    /// limits.
    Services(BTreeSet<ServiceName>),
}

impl Subscription {
    /// Creates a subscription to a list of services; an empty list stands for all resources.
    pub fn new(services: impl IntoIterator<Item = ServiceName>) -> Self {
        let services: BTreeSet<_> = services.into_iter().collect();
        match services.is_empty() {
            true => Self::All,
            false => Self::Services(services),
        }
    }

    /// Returns whether the subscription includes `service`.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        match self {
            Self::All => true,
            Self::Services(services) => services.contains(service),
        }
    }

    /// Returns whether the subscription covers `resource` at `key`, judged by its content alone.
    ///
    /// Some resources are covered only through the routes that refer to them; see [`Self::covers_by_reference`].
    pub(crate) fn covers(&self, key: &ResourceKey, resource: &Resource) -> bool {
        match (self, resource) {
            (Self::All, _) | (_, Resource::Zone(_) | Resource::Limits(_)) => true,
            (_, Resource::Priority(_)) => false,
            (Self::Services(services), Resource::Service(_)) => {
                services.iter().any(|service| service.as_str() == key.name)
            }
            (Self::Services(services), _) => {
                resource.services().into_iter().any(|service| services.contains(service))
            }
        }
    }

    /// Returns whether the subscription covers the resource at `key` only if a covered route refers to it.
    pub(crate) fn covers_by_reference(&self, key: &ResourceKey) -> bool {
        match (self, key.kind) {
            (Self::All, _) => false,
            (Self::Services(_), Kind::Priorities) => true,
            (Self::Services(services), Kind::Services) => {
                !services.iter().any(|service| service.as_str() == key.name)
            }
            (Self::Services(_), _) => false,
        }
    }

    /// Returns the keys of all resources of `document` that the subscription covers.
    pub(crate) fn covered_keys(&self, document: &Document) -> BTreeSet<ResourceKey> {
        let Self::Services(services) = self else {
            return document.iter().map(|(key, _)| key.clone()).collect();
        };
        let common = document.keys_of(Kind::Zones).chain(document.keys_of(Kind::Limits));
        let mut keys: BTreeSet<_> = common.cloned().collect();
        for service in services {
            let key = ResourceKey::new(Kind::Services, service.as_str());
            for referrer in document.referrers(&key) {
                let stored = document.get(referrer);
                let references = stored.map(|s| s.resource.references()).unwrap_or_default();
                keys.extend(references);
                keys.insert(referrer.clone());
            }
            if document.contains(&key) {
                keys.insert(key);
            }
        }
        keys
    }
}
