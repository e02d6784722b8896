//! A copy of the document that receives updates and makes updates for others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use kingcuplift_core::{Digest, Faults, ResultCode, Version};
use kingcuplift_schema::control::{ResourceChange, Update};
use thiserror::Error;

use crate::document::{Document, StoredResource};
use crate::patch::{StagedChanges, check_closure};
use crate::resource::{Kind, Resource, ResourceKey};
use crate::subscription::Subscription;

/// Number of versions whose changes are kept for receivers that lag.
const KEPT_CHANGES: usize = 4096;

/// What the resources changed by one version were before it.
#[derive(Debug, Clone)]
struct Change {
    version: Version,
    prior: BTreeMap<ResourceKey, Option<StoredResource>>,
}

/// A document at a version, with the latest changes.
#[derive(Debug, Clone, Default)]
pub struct VersionedDocument {
    document: Document,
    head: Version,
    changes: VecDeque<Change>,
    oldest: Version,
}

/// Outcome of an applied update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The update was put in force.
    Applied,
    /// The update brings nothing new.
    Stale,
}

/// Reason why an update was refused; nothing of it was kept.
#[derive(Debug, Error)]
pub enum UpdateError {
    /// The update builds on a version that the receiver does not hold.
    #[error("the update builds on version {base} and version {head} is held; request a snapshot")]
    Gap {
        /// Version that the update builds on.
        base: Version,
        /// Version that is held.
        head: Version,
    },
    /// A resource is faulty or refers to one that is missing.
    #[error("the update is faulty and was not applied: {0}")]
    Faulty(Faults),
    /// The digest after the update differs from the sender's.
    #[error("the digest of version {version} differs from the sender's; request a snapshot")]
    Digest {
        /// Version of the update.
        version: Version,
    },
}

impl VersionedDocument {
    /// Makes a feed from stored resources.
    pub fn restore(
        head: Version,
        resources: impl IntoIterator<Item = (ResourceKey, StoredResource)>,
    ) -> Self {
        let mut feed = Self { head, oldest: head, ..Self::default() };
        for (key, stored) in resources {
            feed.document.replace(&key, Some(stored));
        }
        feed
    }

    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the version of the document.
    pub fn head(&self) -> Version {
        self.head
    }

    /// Puts staged resources in force as `version` and returns what stood there before.
    pub fn commit(
        &mut self,
        version: Version,
        staged: StagedChanges,
    ) -> &BTreeMap<ResourceKey, Option<StoredResource>> {
        let prior: BTreeMap<_, _> = staged
            .into_iter()
            .map(|(key, change)| {
                let before = self.document.replace(&key, change);
                (key, before)
            })
            .collect();
        self.head = version;
        if self.changes.len() == KEPT_CHANGES {
            let dropped = self.changes.pop_front();
            self.oldest = dropped.map_or(self.oldest, |change| change.version);
        }
        self.changes.push_back(Change { version, prior });
        &self.changes[self.changes.len() - 1].prior
    }

    /// Returns the digest of what a receiver with `subscription` holds at the head.
    pub fn digest(&self, subscription: &Subscription) -> Digest {
        if *subscription == Subscription::All {
            return self.document.digest();
        }
        let mut digest = Digest::default();
        for key in subscription.closure(&self.document) {
            if let Some(stored) = self.document.get(&key) {
                digest.add(&key.to_string(), &stored.json);
            }
        }
        digest
    }

    /// Makes the update that brings a receiver from version `have` to the head.
    ///
    /// `digest` is that of what the receiver holds, where the sender knows it; it spares computing the
    /// digest when nothing that the receiver holds has changed. The answer is a full update when the
    /// changes since `have` are no longer kept, or when that is shorter.
    pub fn update_since(
        &self,
        have: Version,
        subscription: &Subscription,
        digest: Option<Digest>,
    ) -> Update {
        let Some(changes) = self.changes_since(have) else {
            return self.full_update(subscription);
        };
        let prior: Vec<_> = changes.collect();
        if prior.len() > self.document.len() {
            return self.full_update(subscription);
        }
        let mut changes = BTreeMap::new();
        for (key, before) in prior {
            self.add_change(key, before, subscription, &mut changes);
        }
        let known = digest.filter(|_| changes.is_empty());
        let digest = known.unwrap_or_else(|| self.digest(subscription));
        Update {
            base: have.get(),
            version: self.head.get(),
            changes: changes.into_iter().map(|(key, json)| wire_change(&key, json)).collect(),
            digest: digest.to_bytes().to_vec(),
            full: false,
        }
    }

    /// Makes the update that replaces whatever a receiver holds.
    pub fn full_update(&self, subscription: &Subscription) -> Update {
        let keys = subscription.closure(&self.document);
        let stored = keys.iter().filter_map(|key| Some((key, self.document.get(key)?)));
        Update {
            base: 0,
            version: self.head.get(),
            changes: stored.map(|(key, s)| wire_change(key, Some(s.json.to_string()))).collect(),
            digest: self.digest(subscription).to_bytes().to_vec(),
            full: true,
        }
    }

    /// Applies an update from a sender whole, or refuses it and changes nothing.
    pub fn apply(
        &mut self,
        update: &Update,
        subscription: &Subscription,
    ) -> Result<ApplyOutcome, UpdateError> {
        let version = Version::new(update.version);
        let base = Version::new(update.base);
        match update.full {
            _ if version < self.head => return Ok(ApplyOutcome::Stale),
            true => {}
            false if version == self.head && base < version => return Ok(ApplyOutcome::Stale),
            false if base != self.head => {
                return Err(UpdateError::Gap { base, head: self.head });
            }
            false => {}
        }
        let mut staged = self.stage(update, version)?;
        let mut faults = Faults::default();
        check_closure(&self.document, &staged, &mut faults);
        if !faults.is_empty() {
            return Err(UpdateError::Faulty(faults));
        }
        self.drop_priorities(subscription, &mut staged);
        let digest = self.digest_after(&staged);
        if Digest::from_bytes(&update.digest) != Some(digest) {
            return Err(UpdateError::Digest { version });
        }
        self.commit(version, staged);
        Ok(ApplyOutcome::Applied)
    }

    /// Reads and checks the resources of an update.
    fn stage(&self, update: &Update, version: Version) -> Result<StagedChanges, UpdateError> {
        let mut faults = Faults::default();
        let mut staged = StagedChanges::new();
        if update.full {
            staged.extend(self.document.iter().map(|(key, _)| (key.clone(), None)));
        }
        for change in &update.changes {
            match read_change(change, version) {
                Ok((key, stored)) => drop(staged.insert(key, stored)),
                Err(found) => faults.0.extend(found.0),
            }
        }
        let document = &self.document;
        staged.retain(|key, change| match (change, document.get(key)) {
            (None, None) => false,
            (Some(new), Some(old)) => new.json != old.json,
            _ => true,
        });
        faults.into_result(staged).map_err(UpdateError::Faulty)
    }

    /// Removes priorities that no held route will refer to.
    fn drop_priorities(&self, subscription: &Subscription, staged: &mut StagedChanges) {
        if *subscription == Subscription::All {
            return;
        }
        let mut used: BTreeSet<ResourceKey> = BTreeSet::new();
        for change in staged.values().flatten() {
            used.extend(change.resource.references());
        }
        let unused: Vec<ResourceKey> = self
            .document
            .keys_of(Kind::Priorities)
            .chain(staged.keys().filter(|key| key.kind == Kind::Priorities))
            .filter(|key| !used.contains(*key))
            .filter(|key| self.document.referrers(key).all(|route| staged.contains_key(route)))
            .cloned()
            .collect();
        for key in unused {
            match self.document.contains(&key) {
                true => drop(staged.insert(key, None)),
                false => drop(staged.remove(&key)),
            }
        }
    }

    /// Returns the digest of the document after `staged`.
    fn digest_after(&self, staged: &StagedChanges) -> Digest {
        let mut digest = self.document.digest();
        for (key, change) in staged {
            let name = key.to_string();
            if let Some(old) = self.document.get(key) {
                digest.remove(&name, &old.json);
            }
            if let Some(new) = change {
                digest.add(&name, &new.json);
            }
        }
        digest
    }

    /// Returns each resource changed since `have` with its content then, if that is still known.
    pub fn changes_since(
        &self,
        have: Version,
    ) -> Option<impl Iterator<Item = (&ResourceKey, Option<&StoredResource>)>> {
        let known = have >= self.oldest && have <= self.head;
        known.then(|| self.prior_since(have).into_iter())
    }

    /// Returns, for each resource changed since `have`, its content at `have`.
    fn prior_since(&self, have: Version) -> BTreeMap<&ResourceKey, Option<&StoredResource>> {
        let mut prior = BTreeMap::new();
        for change in self.changes.iter().rev().take_while(|change| change.version > have) {
            prior.extend(change.prior.iter().map(|(key, before)| (key, before.as_ref())));
        }
        prior
    }

    /// Adds what a receiver needs to know of one changed resource.
    fn add_change(
        &self,
        key: &ResourceKey,
        before: Option<&StoredResource>,
        subscription: &Subscription,
        changes: &mut BTreeMap<ResourceKey, Option<String>>,
    ) {
        let now = self.document.get(key);
        let covered = |stored: &StoredResource| match stored.resource {
            Resource::Priority(_) => self.covers_priority(key, subscription),
            ref resource => subscription.covers(key, resource),
        };
        match now {
            Some(stored) if covered(stored) => {
                let references = stored.resource.references();
                let partial = *subscription != Subscription::All;
                for target in
                    references.into_iter().filter(|t| partial && t.kind == Kind::Priorities)
                {
                    let json = self.document.get(&target).map(|s| s.json.to_string());
                    changes.insert(target, json);
                }
                changes.insert(key.clone(), Some(stored.json.to_string()));
            }
            _ if before.is_some_and(|stored| subscription.covers(key, &stored.resource)) => {
                changes.insert(key.clone(), None);
            }
            _ => {}
        }
    }

    /// Returns whether a held route refers to the priority.
    fn covers_priority(&self, key: &ResourceKey, subscription: &Subscription) -> bool {
        let Subscription::Services(_) = subscription else {
            return true;
        };
        self.document
            .referrers(key)
            .filter_map(|route| Some((route, self.document.get(route)?)))
            .any(|(route, stored)| subscription.covers(route, &stored.resource))
    }
}

/// Writes one change as a message.
fn wire_change(key: &ResourceKey, json: Option<String>) -> ResourceChange {
    ResourceChange { key: key.to_string(), json }
}

/// Reads one change from a message.
fn read_change(
    change: &ResourceChange,
    version: Version,
) -> Result<(ResourceKey, Option<StoredResource>), Faults> {
    let mut faults = Faults::default();
    let key: ResourceKey = match change.key.parse() {
        Ok(key) => key,
        Err(detail) => {
            faults.push(ResultCode::UpdateRefused, change.key.as_str(), detail);
            return Err(faults);
        }
    };
    let Some(json) = &change.json else {
        return Ok((key, None));
    };
    let value = match serde_json::from_str(json) {
        Ok(value) => value,
        Err(error) => {
            faults.push(ResultCode::UpdateRefused, change.key.as_str(), error.to_string());
            return Err(faults);
        }
    };
    match Resource::parse(&key, &value, &mut faults) {
        Some(resource) => {
            let stored = StoredResource { json: json.as_str().into(), resource, changed: version };
            Ok((key, Some(stored)))
        }
        None => Err(faults),
    }
}
