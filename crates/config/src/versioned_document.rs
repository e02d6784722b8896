//! A copy of the document that applies updates from its sender and creates updates for receivers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use kingcuplift_core::{ByteSize, Digest, Faults, ResultCode, Version};
use kingcuplift_schema::control::{ResourceChange, Update};
use thiserror::Error;

use crate::document::{Document, PriorContent, StoredResource, prior_size};
use crate::patch::{StagedChanges, check_consistency};
use crate::resource::{Kind, Resource, ResourceKey};
use crate::subscription::Subscription;

/// Number of versions whose changes are retained for receivers that lag behind.
const RETAINED_CHANGES: usize = 4096;
/// Memory that these changes may take.
const RETAINED_SIZE: ByteSize = ByteSize::mib(8);

/// Number of changes in the description for the log.
const LOGGED_CHANGES: usize = 16;

/// Previous content of the resources that a commit or an update changed.
#[derive(Debug, Clone)]
struct Change {
    /// Version before the change; an update may skip some.
    base: Version,
    version: Version,
    /// Content at `base` of the resources that changed.
    prior: PriorContent,
    /// Whether `prior` has each resource that any skipped version changed, even if its content is the same again.
    is_complete: bool,
}

/// Resources that changed since a version.
#[derive(Debug)]
struct ChangesSince<'a> {
    /// Earlier content by key.
    prior: BTreeMap<&'a ResourceKey, Option<&'a StoredResource>>,
    /// Whether `prior` is the content at that version, rather than at one before.
    is_exact: bool,
}

/// A document at a version, with the most recent changes.
#[derive(Debug, Clone, Default)]
pub struct VersionedDocument {
    document: Document,
    head: Version,
    changes: VecDeque<Change>,
    /// Memory that the changes take, in bytes.
    changes_size: u64,
}

/// Outcome of an applied update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The update was applied.
    Applied,
    /// The update is not newer than the document.
    Stale,
}

/// Reason why an update was rejected; the document is unchanged.
#[derive(Debug, Error)]
pub enum UpdateError {
    /// The base of the update is not the version that the receiver holds.
    #[error(
        "the update is based on version {base}, but the receiver holds version {head}; request a snapshot"
    )]
    Gap {
        /// Base of the update.
        base: Version,
        /// Version that the receiver holds.
        head: Version,
    },
    /// A resource is invalid or refers to one that does not exist.
    #[error("the update is invalid and was not applied: {0}")]
    Invalid(Faults),
    /// The digest of the updated document differs from the sender's.
    #[error(
        "the digest of version {version} differs from the sender's: {found} of {resources} resources after an update \
         of those of version {head}; request a snapshot"
    )]
    Digest {
        /// Version of the update.
        version: Version,
        /// Version that the receiver holds.
        head: Version,
        /// Digest of the receiver's resources with the update applied.
        found: Digest,
        /// Number of the receiver's resources without the update.
        resources: usize,
    },
}

impl VersionedDocument {
    /// Creates a document at version `head` from stored resources.
    pub fn restore(
        head: Version,
        resources: impl IntoIterator<Item = (ResourceKey, StoredResource)>,
    ) -> Self {
        let mut restored = Self { head, ..Self::default() };
        for (key, stored) in resources {
            restored.document.replace(&key, Some(stored));
        }
        restored
    }

    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the version of the document.
    pub fn head(&self) -> Version {
        self.head
    }

    /// Applies staged changes as `version` and returns the previous content of the changed resources.
    pub fn commit(&mut self, version: Version, staged: StagedChanges) -> &PriorContent {
        self.replace_content(version, staged, PriorContent::new(), true)
    }

    /// Applies staged changes as `version` and returns the previous content of the changed resources.
    ///
    /// `unchanged` are resources that skipped versions changed, but that have the same content again.
    fn replace_content(
        &mut self,
        version: Version,
        staged: StagedChanges,
        unchanged: PriorContent,
        is_complete: bool,
    ) -> &PriorContent {
        let mut prior = unchanged;
        prior.extend(staged.into_iter().map(|(key, change)| {
            let before = self.document.replace(&key, change);
            (key, before)
        }));
        let base = std::mem::replace(&mut self.head, version);
        self.changes_size += prior_size(&prior);
        self.changes.push_back(Change { base, version, prior, is_complete });
        self.drop_old_changes();
        &self.changes[self.changes.len() - 1].prior
    }

    /// Drops the oldest changes while there are too many, but never the latest one.
    fn drop_old_changes(&mut self) {
        while self.changes.len() > 1
            && (self.changes.len() > RETAINED_CHANGES || self.changes_size > RETAINED_SIZE.get())
        {
            let Some(dropped) = self.changes.pop_front() else { return };
            self.changes_size -= prior_size(&dropped.prior);
        }
    }

    /// Returns the digest of the resources that `subscription` covers at the head.
    pub fn digest(&self, subscription: &Subscription) -> Digest {
        if *subscription == Subscription::All {
            return self.document.digest();
        }
        let mut digest = Digest::default();
        for key in subscription.covered_keys(&self.document) {
            if let Some(stored) = self.document.get(&key) {
                digest.add(&key.to_string(), &stored.json);
            }
        }
        digest
    }

    /// Creates the update that brings a receiver from version `from` to the head.
    ///
    /// `digest` is the digest of the receiver's resources, if the sender knows it; it need not be computed again if
    /// none of them has changed. The result is a full update if the changes since `from` are no longer retained, or
    /// if more resources have changed since than the document holds: the full update is then shorter.
    pub fn update_since(
        &self,
        from: Version,
        subscription: &Subscription,
        digest: Option<Digest>,
    ) -> Update {
        let since = match self.find_changes(from) {
            Some(since) if since.prior.len() <= self.document.len() => since,
            _ => return self.full_update(subscription),
        };
        let mut changes = BTreeMap::new();
        for key in since.prior.keys() {
            self.add_change(key, &since, subscription, &mut changes);
        }
        let known = digest.filter(|_| changes.is_empty());
        let digest = known.unwrap_or_else(|| self.digest(subscription));
        Update {
            base: from.get(),
            version: self.head.get(),
            changes: changes.into_iter().map(|(key, json)| encode_change(&key, json)).collect(),
            digest: digest.to_bytes().to_vec(),
            full: false,
        }
    }

    /// Creates the update that replaces everything that a receiver holds.
    pub fn full_update(&self, subscription: &Subscription) -> Update {
        let keys = subscription.covered_keys(&self.document);
        let stored = keys.iter().filter_map(|key| Some((key, self.document.get(key)?)));
        Update {
            base: 0,
            version: self.head.get(),
            changes: stored.map(|(key, s)| encode_change(key, Some(s.json.to_string()))).collect(),
            digest: self.digest(subscription).to_bytes().to_vec(),
            full: true,
        }
    }

    /// Applies an update atomically: on an error, the document is unchanged.
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
        check_consistency(&self.document, &staged, &mut faults);
        if !faults.is_empty() {
            return Err(UpdateError::Invalid(faults));
        }
        self.remove_unreferenced(subscription, &mut staged);
        let digest = self.digest_with(&staged);
        if Digest::from_bytes(&update.digest) != Some(digest) {
            let (head, resources) = (self.head, self.document.len());
            return Err(UpdateError::Digest { version, head, found: digest, resources });
        }
        let unchanged = self.unchanged_content(update, &staged);
        self.replace_content(version, staged, unchanged, !update.full);
        Ok(ApplyOutcome::Applied)
    }

    /// Decodes and validates the resources of an update.
    fn stage(&self, update: &Update, version: Version) -> Result<StagedChanges, UpdateError> {
        let mut faults = Faults::default();
        let mut staged = StagedChanges::new();
        if update.full {
            staged.extend(self.document.iter().map(|(key, _)| (key.clone(), None)));
        }
        for change in &update.changes {
            match decode_change(change, version) {
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
        faults.into_result(staged).map_err(UpdateError::Invalid)
    }

    /// Returns the content of the resources that an update lists, but that have the same content already.
    fn unchanged_content(&self, update: &Update, staged: &StagedChanges) -> PriorContent {
        let keys = update.changes.iter().filter_map(|change| change.key.parse().ok());
        let unchanged = keys.filter(|key| !staged.contains_key(key));
        unchanged
            .map(|key: ResourceKey| {
                let stored = self.document.get(&key).cloned();
                (key, stored)
            })
            .collect()
    }

    /// Removes what the subscription covers only through routes, and no route refers to after the staged changes.
    fn remove_unreferenced(&self, subscription: &Subscription, staged: &mut StagedChanges) {
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
            .chain(self.document.keys_of(Kind::Services))
            .chain(staged.keys())
            .filter(|key| subscription.covers_by_reference(key) && !used.contains(*key))
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

    /// Returns the digest that the document has with `staged` applied.
    fn digest_with(&self, staged: &StagedChanges) -> Digest {
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

    /// Returns each resource changed since `from` with its content at `from`, or `None` if that is not known: the changes
    /// are no longer retained, or `from` is a version that this copy has skipped.
    pub fn changes_since(
        &self,
        from: Version,
    ) -> Option<impl Iterator<Item = (&ResourceKey, Option<&StoredResource>)>> {
        let since = self.find_changes(from).filter(|since| since.is_exact)?;
        Some(since.prior.into_iter())
    }

    /// Returns the changes since `from`, or `None` if a resource that changed since could be missing.
    fn find_changes(&self, from: Version) -> Option<ChangesSince<'_>> {
        let first = self.changes.partition_point(|change| change.version <= from);
        let is_exact = match self.changes.get(first) {
            None if from == self.head => true,
            Some(change) if change.base == from => true,
            Some(change) if change.base < from && change.is_complete => false,
            _ => return None,
        };
        let mut prior = BTreeMap::new();
        for change in self.changes.range(first..).rev() {
            prior.extend(change.prior.iter().map(|(key, before)| (key, before.as_ref())));
        }
        Some(ChangesSince { prior, is_exact })
    }

    /// Describes the latest retained changes for the log: the version after each, preceded by that before the first.
    pub fn describe_changes(&self) -> String {
        let latest = self.changes.iter().rev().take(LOGGED_CHANGES).rev();
        let mut text = String::new();
        for change in latest {
            if text.is_empty() {
                text = change.base.to_string();
            }
            text.push_str(&format!(" {}", change.version));
        }
        text
    }

    /// Adds the changes that a receiver needs because of one changed resource.
    fn add_change(
        &self,
        key: &ResourceKey,
        since: &ChangesSince<'_>,
        subscription: &Subscription,
        changes: &mut BTreeMap<ResourceKey, Option<String>>,
    ) {
        let Some(stored) = self.document.get(key).filter(|s| self.covers(subscription, key, s))
        else {
            if self.may_hold(key, since, subscription) {
                changes.insert(key.clone(), None);
            }
            return;
        };
        let references = stored.resource.references().into_iter();
        for referenced in references.filter(|key| subscription.covers_by_reference(key)) {
            let json = self.document.get(&referenced).map(|s| s.json.to_string());
            changes.insert(referenced, json);
        }
        changes.insert(key.clone(), Some(stored.json.to_string()));
    }

    /// Returns whether the subscription covers a resource of this document.
    fn covers(
        &self,
        subscription: &Subscription,
        key: &ResourceKey,
        stored: &StoredResource,
    ) -> bool {
        match subscription.covers_by_reference(key) {
            false => subscription.covers(key, &stored.resource),
            true => self
                .document
                .referrers(key)
                .filter_map(|route| Some((route, self.document.get(route)?)))
                .any(|(route, stored)| subscription.covers(route, &stored.resource)),
        }
    }

    /// Returns whether a receiver may hold a changed resource that its subscription does not cover any more.
    ///
    /// Receivers themselves remove what no route refers to. Receivers of all resources need to know of all changes, also
    /// of a resource that was added and removed again, since they may be senders themselves.
    fn may_hold(
        &self,
        key: &ResourceKey,
        since: &ChangesSince<'_>,
        subscription: &Subscription,
    ) -> bool {
        let before = since.prior.get(key).copied().flatten();
        *subscription == Subscription::All
            || !since.is_exact
            || before.is_some_and(|stored| subscription.covers(key, &stored.resource))
    }
}

/// Encodes one change as a message.
fn encode_change(key: &ResourceKey, json: Option<String>) -> ResourceChange {
    ResourceChange { key: key.to_string(), json }
}

/// Decodes one change from a message.
fn decode_change(
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
            let stored =
                StoredResource { json: json.as_str().into(), resource, last_changed: version };
            Ok((key, Some(stored)))
        }
        None => Err(faults),
    }
}
