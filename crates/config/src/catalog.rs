//! The state machine of the source: submissions in, versions and outcomes out.
//!
//! Every member applies the same submissions in the same order and reaches the same state.

use std::collections::{BTreeMap, HashMap, VecDeque};

use kingcuplift_core::{Fault, Faults, ResultCode, Version};
use kingcuplift_schema::Message;
use kingcuplift_schema::quorum as wire;
use serde_json::Value;
use thiserror::Error;

use crate::document::{Document, StoredResource};
use crate::patch::{Patch, StagedChanges};
use crate::resource::{Resource, ResourceKey};
use crate::revision::Revision;
use crate::versioned_document::VersionedDocument;

/// Number of versions whose patch can be read back and used as a base.
pub const RETAINED_VERSIONS: usize = 10_000;
/// Number of submissions whose outcome is remembered for resends.
pub const RETAINED_OUTCOMES: usize = 100_000;

/// A submitted patch, as read from the log.
pub type Submission = wire::Submit;

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The patch became this version.
    Accepted(Version),
    /// The patch was refused and nothing of it was kept.
    Refused {
        /// Main reason.
        code: ResultCode,
        /// All faults.
        faults: Vec<Fault>,
    },
}

impl Outcome {
    /// Makes a refusal whose code is that of the first fault.
    pub fn refused(faults: Faults) -> Self {
        let first = faults.0.first().and_then(|fault| ResultCode::from_number(fault.code));
        Self::Refused { code: first.unwrap_or(ResultCode::PatchMalformed), faults: faults.0 }
    }
}

/// Facts about one accepted version.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionInfo {
    /// Number.
    pub version: Version,
    /// Version that the patch was written against.
    pub base: Version,
    /// Merge patch, in JSON.
    pub patch: String,
    /// Free text of the operator.
    pub note: String,
    /// Who submitted it.
    pub author: String,
    /// When the leader received it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Earlier content of the changed resources.
    prior: BTreeMap<ResourceKey, Option<StoredResource>>,
}

/// Outcome kept for resends.
#[derive(Debug, Clone)]
struct Kept {
    content: u64,
    outcome: Outcome,
}

/// Reason why stored state can't be read.
#[derive(Debug, Error)]
pub enum CatalogError {
    /// The encoding is damaged.
    #[error("the stored state can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A stored resource is faulty.
    #[error("the stored state holds a faulty resource: {0}")]
    Faulty(String),
}

/// All versions of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    current: VersionedDocument,
    versions: VecDeque<VersionInfo>,
    outcomes: HashMap<String, Kept>,
    order: VecDeque<String>,
    revision: Revision,
}

impl Catalog {
    /// Returns the whole configuration in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the head document and its latest changes.
    pub fn current(&self) -> &VersionedDocument {
        &self.current
    }

    /// Returns the head version.
    pub fn head(&self) -> Version {
        self.current.head()
    }

    /// Returns the kept versions after `after`, oldest first.
    pub fn versions_after(&self, after: Version) -> impl Iterator<Item = &VersionInfo> {
        let skipped = self.versions.partition_point(|info| info.version <= after);
        self.versions.range(skipped..)
    }

    /// Returns the facts about one version.
    pub fn version(&self, version: Version) -> Option<&VersionInfo> {
        let index = self.versions.binary_search_by_key(&version, |info| info.version).ok()?;
        self.versions.get(index)
    }

    /// Returns the document of a kept version.
    pub fn document_at(&self, version: Version) -> Option<Document> {
        let oldest = self.oldest_base();
        if version < oldest || version > self.head() {
            return None;
        }
        let mut document = self.current.document().clone();
        for info in self.versions.iter().rev().take_while(|info| info.version > version) {
            for (key, prior) in &info.prior {
                document.replace(key, prior.clone());
            }
        }
        Some(document)
    }

    /// Returns the remembered outcome of an earlier submission with the same operation id.
    pub fn recorded_outcome(&self, submission: &Submission) -> Option<Outcome> {
        let kept = self.outcomes.get(&submission.operation)?;
        match kept.content == content_hash(submission) {
            true => Some(kept.outcome.clone()),
            false => Some(refused(
                ResultCode::OperationReused,
                "Idempotency-Key",
                "the operation id was used for another submission; make a new one",
            )),
        }
    }

    /// Applies a submission and returns its outcome.
    pub fn apply(&mut self, submission: &Submission) -> Outcome {
        if let Some(outcome) = self.recorded_outcome(submission) {
            return outcome;
        }
        let outcome = match self.check(submission) {
            Ok(staged) => Outcome::Accepted(self.accept(submission, staged)),
            Err(outcome) => outcome,
        };
        self.remember(submission, outcome.clone());
        outcome
    }

    /// Encodes the whole state.
    pub fn encode(&self) -> Vec<u8> {
        let resources = self.current.document().iter().map(|(key, stored)| wire::ResourceRecord {
            key: key.to_string(),
            json: stored.json.to_string(),
            changed: stored.changed.get(),
        });
        let outcomes = self.order.iter().filter_map(|operation| {
            let kept = self.outcomes.get(operation)?;
            Some(encode_outcome(operation, kept))
        });
        wire::CatalogState {
            head: self.head().get(),
            resources: resources.collect(),
            versions: self.versions.iter().map(encode_version).collect(),
            outcomes: outcomes.collect(),
            revision: self.revision.number,
            revised: self.revision.version.get(),
        }
        .encode_to_vec()
    }

    /// Reads the whole state.
    pub fn decode(bytes: &[u8]) -> Result<Self, CatalogError> {
        let state = wire::CatalogState::decode(bytes)?;
        let resources: Result<Vec<_>, _> = state
            .resources
            .iter()
            .map(|record| decode_stored(&record.key, &record.json, record.changed))
            .collect();
        let versions: Result<VecDeque<_>, _> =
            state.versions.into_iter().map(decode_version).collect();
        let mut catalog = Self {
            current: VersionedDocument::restore(Version::new(state.head), resources?),
            versions: versions?,
            revision: Revision { number: state.revision, version: Version::new(state.revised) },
            ..Self::default()
        };
        for outcome in state.outcomes {
            catalog.restore_outcome(outcome)?;
        }
        Ok(catalog)
    }

    /// Checks a submission against the present state.
    fn check(&self, submission: &Submission) -> Result<StagedChanges, Outcome> {
        let head = self.head();
        self.check_revision(submission)?;
        let base = match submission.at_head {
            true => head,
            false => Version::new(submission.base),
        };
        if submission.number != 0 && submission.number != head.next().get() {
            let detail = format!("the head is version {head}; the next number is {}", head.next());
            return Err(refused(ResultCode::NumberConflict, "number", &detail));
        }
        if base > head || base < self.oldest_base() {
            let detail =
                format!("version {base} can't be a base; use {} to {head}", self.oldest_base());
            return Err(refused(ResultCode::BaseUnknown, "base", &detail));
        }
        let patch = Patch::parse(&submission.patch).map_err(Outcome::refused)?;
        let staged = patch.stage(self.current.document(), head.next()).map_err(Outcome::refused)?;
        let is_concerned = |key: &ResourceKey| submission.revision == 0 || key.kind.is_replaced();
        self.check_base(base, &staged, is_concerned)?;
        Ok(staged)
    }

    /// Checks that a whole configuration replaces the one in force and has a higher number.
    pub fn check_revision(&self, submission: &Submission) -> Result<(), Outcome> {
        let held = self.revision.number;
        match submission.revision {
            0 => Ok(()),
            _ if submission.after != held => {
                let detail = format!("configuration {held} is in force; build on that");
                Err(refused(ResultCode::RevisionConflict, "after", &detail))
            }
            number if number <= held => {
                let detail = format!("configuration {held} is in force; use a higher number");
                Err(refused(ResultCode::RevisionStale, "version", &detail))
            }
            _ => Ok(()),
        }
    }

    /// Checks that nothing concerned that the patch touches or refers to has changed since its base.
    fn check_base(
        &self,
        base: Version,
        staged: &StagedChanges,
        is_concerned: impl Fn(&ResourceKey) -> bool,
    ) -> Result<(), Outcome> {
        if base == self.head() {
            return Ok(());
        }
        let mut faults = Faults::default();
        for info in self.versions_after(base) {
            let changed = info.prior.keys().filter(|key| is_concerned(key));
            for key in changed.filter(|key| touches(staged, key)) {
                let detail = format!("{key} changed in version {}", info.version);
                faults.push(ResultCode::BaseConflict, key.to_string(), detail);
            }
        }
        match faults.is_empty() {
            true => Ok(()),
            false => Err(Outcome::refused(faults)),
        }
    }

    fn accept(&mut self, submission: &Submission, staged: StagedChanges) -> Version {
        let version = self.head().next();
        let prior = self.current.commit(version, staged).clone();
        if self.versions.len() == RETAINED_VERSIONS {
            self.versions.pop_front();
        }
        let base = match submission.at_head {
            true => Version::new(version.get() - 1),
            false => Version::new(submission.base),
        };
        self.versions.push_back(VersionInfo {
            version,
            base,
            patch: submission.patch.clone(),
            note: submission.note.clone(),
            author: submission.author.clone(),
            at_ms: submission.at_ms,
            prior,
        });
        if submission.revision != 0 {
            self.revision = Revision { number: submission.revision, version };
        }
        version
    }

    fn remember(&mut self, submission: &Submission, outcome: Outcome) {
        let kept = Kept { content: content_hash(submission), outcome };
        self.insert_outcome(submission.operation.clone(), kept);
    }

    fn insert_outcome(&mut self, operation: String, kept: Kept) {
        if self.order.len() == RETAINED_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        self.order.push_back(operation.clone());
        self.outcomes.insert(operation, kept);
    }

    fn restore_outcome(&mut self, outcome: wire::Outcome) -> Result<(), CatalogError> {
        let restored = match outcome.version {
            0 => {
                let code = u16::try_from(outcome.code).ok().and_then(ResultCode::from_number);
                let faults = serde_json::from_str::<Value>(&outcome.faults).unwrap_or_default();
                Outcome::Refused {
                    code: code.ok_or_else(|| CatalogError::Faulty("unknown code".to_owned()))?,
                    faults: decode_faults(&faults),
                }
            }
            version => Outcome::Accepted(Version::new(version)),
        };
        let kept = Kept { content: outcome.content, outcome: restored };
        self.insert_outcome(outcome.operation, kept);
        Ok(())
    }

    /// Returns the oldest version that a patch may name as its base.
    fn oldest_base(&self) -> Version {
        match self.versions.front() {
            Some(info) => Version::new(info.version.get() - 1),
            None => self.head(),
        }
    }
}

/// Returns whether staged resources include `key` or refer to it.
fn touches(staged: &StagedChanges, key: &ResourceKey) -> bool {
    let refers = |change: &Option<StoredResource>| {
        change.as_ref().is_some_and(|stored| stored.resource.references().contains(key))
    };
    staged.contains_key(key) || staged.values().any(refers)
}

/// Hashes what makes a submission differ from another.
///
/// The operation id of a whole configuration is made from its content already; its patch depends on what was
/// in force when it was received.
fn content_hash(submission: &Submission) -> u64 {
    if submission.revision != 0 {
        return submission.revision;
    }
    let mut digest = kingcuplift_core::Digest::default();
    let numbers = format!("{}/{}", submission.base, submission.number);
    digest.add(&numbers, &submission.patch);
    digest.add("note", &submission.note);
    let bytes = digest.to_bytes();
    bytes.iter().take(8).fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

fn refused(code: ResultCode, path: &str, detail: &str) -> Outcome {
    Outcome::Refused { code, faults: vec![Fault::new(code, path, detail)] }
}

fn encode_outcome(operation: &str, kept: &Kept) -> wire::Outcome {
    let (version, code, faults) = match &kept.outcome {
        Outcome::Accepted(version) => (version.get(), 0, String::new()),
        Outcome::Refused { code, faults } => {
            (0, code.number().into(), serde_json::to_string(faults).unwrap_or_default())
        }
    };
    wire::Outcome { operation: operation.to_owned(), version, code, faults, content: kept.content }
}

fn decode_faults(value: &Value) -> Vec<Fault> {
    let text = |fault: &Value, field: &str| fault[field].as_str().unwrap_or_default().to_owned();
    let items = value.as_array().map(Vec::as_slice).unwrap_or_default();
    items
        .iter()
        .map(|fault| Fault {
            code: fault["code"].as_u64().and_then(|n| u16::try_from(n).ok()).unwrap_or_default(),
            path: text(fault, "path"),
            detail: text(fault, "detail"),
        })
        .collect()
}

fn encode_version(info: &VersionInfo) -> wire::VersionRecord {
    let prior = info.prior.iter().map(|(key, stored)| wire::PriorResource {
        key: key.to_string(),
        json: stored.as_ref().map(|s| s.json.to_string()),
        changed: stored.as_ref().map_or(0, |s| s.changed.get()),
    });
    wire::VersionRecord {
        version: info.version.get(),
        base: info.base.get(),
        patch: info.patch.clone(),
        note: info.note.clone(),
        author: info.author.clone(),
        at_ms: info.at_ms,
        prior: prior.collect(),
    }
}

fn decode_version(record: wire::VersionRecord) -> Result<VersionInfo, CatalogError> {
    let mut prior = BTreeMap::new();
    for resource in &record.prior {
        let (key, stored) = match &resource.json {
            Some(json) => {
                let (key, stored) = decode_stored(&resource.key, json, resource.changed)?;
                (key, Some(stored))
            }
            None => (resource.key.parse().map_err(CatalogError::Faulty)?, None),
        };
        prior.insert(key, stored);
    }
    Ok(VersionInfo {
        version: Version::new(record.version),
        base: Version::new(record.base),
        patch: record.patch,
        note: record.note,
        author: record.author,
        at_ms: record.at_ms,
        prior,
    })
}

fn decode_stored(
    key: &str,
    json: &str,
    changed: u64,
) -> Result<(ResourceKey, StoredResource), CatalogError> {
    let key: ResourceKey = key.parse().map_err(CatalogError::Faulty)?;
    let value = serde_json::from_str(json)
        .map_err(|error| CatalogError::Faulty(format!("{key}: {error}")))?;
    let mut faults = Faults::default();
    let resource = Resource::parse(&key, &value, &mut faults)
        .ok_or_else(|| CatalogError::Faulty(faults.to_string()))?;
    Ok((key, StoredResource { json: json.into(), resource, changed: Version::new(changed) }))
}
