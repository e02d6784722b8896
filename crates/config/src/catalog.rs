//! The state machine of the source: it applies submissions and produces versions and outcomes.
//!
//! Every member applies the same submissions in the same order and reaches the same state.

use std::collections::{BTreeMap, HashMap, VecDeque};

use kingcuplift_core::{ByteSize, Fault, Faults, ResultCode, Version};
use kingcuplift_schema::Message;
use kingcuplift_schema::quorum as wire;
use serde_json::Value;
use thiserror::Error;

use crate::departures::DepartureTable;
use crate::document::{Document, PriorContent, StoredResource, prior_size};
use crate::patch::{Patch, StagedChanges};
use crate::resource::{Resource, ResourceKey};
use crate::revision::Revision;
use crate::versioned_document::VersionedDocument;

/// Number of versions whose patch can be read and that can be used as a base.
pub const RETAINED_VERSIONS: usize = 10_000;
/// Memory that the retained versions may take; fewer are retained if they change many resources.
const RETAINED_VERSIONS_SIZE: ByteSize = ByteSize::mib(8);
/// Number of submissions whose outcome is retained for resends.
pub const RETAINED_OUTCOMES: usize = 100_000;

/// Patch that changes nothing.
const EMPTY_PATCH: &str = "{}";

/// A submitted patch, as stored in the log.
pub type Submission = wire::Submit;

/// Outcome of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The patch was accepted as this version.
    Accepted(Version),
    /// The patch was rejected; the document is unchanged.
    Refused {
        /// Code of the first fault.
        code: ResultCode,
        /// All faults.
        faults: Vec<Fault>,
    },
}

impl Outcome {
    /// Creates a refusal with the code of the first fault.
    pub fn refused(faults: Faults) -> Self {
        let first = faults.0.first().and_then(|fault| ResultCode::from_number(fault.code));
        Self::Refused { code: first.unwrap_or(ResultCode::PatchMalformed), faults: faults.0 }
    }
}

/// Metadata of an accepted version.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionInfo {
    /// Number.
    pub version: Version,
    /// Version on which the patch is based.
    pub base: Version,
    /// Merge patch, in JSON.
    pub patch: String,
    /// Free-text note of the operator.
    pub note: String,
    /// Author of the submission.
    pub author: String,
    /// When the leader received the submission, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Previous content of the changed resources.
    prior: PriorContent,
}

impl VersionInfo {
    /// Returns about how much memory the metadata takes, in bytes.
    fn size(&self) -> u64 {
        self.patch.len() as u64 + prior_size(&self.prior)
    }
}

/// Outcome retained for resends.
#[derive(Debug, Clone)]
struct RecordedOutcome {
    /// Hash of the submission.
    content_hash: u64,
    outcome: Outcome,
}

/// Changes of a patch that is expected to be applied next.
#[derive(Debug, Clone)]
struct PreparedChanges {
    patch: String,
    /// Version that the patch makes; it determines the document to which the patch applies.
    version: Version,
    staged: StagedChanges,
}

/// Reason why stored state can't be decoded.
#[derive(Debug, Error)]
pub enum CatalogError {
    /// The encoding is corrupt.
    #[error("the stored state can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A stored record is invalid.
    #[error("the stored state contains an invalid record: {0}")]
    Invalid(String),
}

/// The current configuration, the retained versions and outcomes, and the targets that have left.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    current: VersionedDocument,
    versions: VecDeque<VersionInfo>,
    /// Memory that the retained versions take, in bytes.
    versions_size: u64,
    outcomes: HashMap<String, RecordedOutcome>,
    /// Operation ids in order of application.
    order: VecDeque<String>,
    revision: Revision,
    departures: DepartureTable,
    prepared: Option<PreparedChanges>,
}

impl Catalog {
    /// Creates a catalog that holds only the resources of its head version.
    pub(crate) fn restore(
        head: Version,
        resources: impl IntoIterator<Item = (ResourceKey, StoredResource)>,
        revision: Revision,
    ) -> Self {
        let current = VersionedDocument::restore(head, resources);
        Self { current, revision, ..Self::default() }
    }

    /// Returns the active full configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the targets that have left.
    pub fn departures(&self) -> &DepartureTable {
        &self.departures
    }

    /// Stores the departures of a submission, and forgets those that are too old.
    pub fn record_departures(&mut self, submission: &Submission) {
        for departure in &submission.departures {
            self.departures.merge(departure, submission.at_ms);
        }
        self.departures.forget_old(submission.at_ms);
    }

    /// Returns the document at the head version, with its most recent changes.
    pub fn current(&self) -> &VersionedDocument {
        &self.current
    }

    /// Returns the head version.
    pub fn head(&self) -> Version {
        self.current.head()
    }

    /// Returns the retained versions after `after`, oldest first.
    pub fn versions_after(&self, after: Version) -> impl Iterator<Item = &VersionInfo> {
        let skipped = self.versions.partition_point(|info| info.version <= after);
        self.versions.range(skipped..)
    }

    /// Returns the metadata of a version, if it is retained.
    pub fn version(&self, version: Version) -> Option<&VersionInfo> {
        let index = self.versions.binary_search_by_key(&version, |info| info.version).ok()?;
        self.versions.get(index)
    }

    /// Returns the document at a retained version.
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

    /// Returns the outcome of an earlier submission with the same operation id, if it is retained.
    pub fn recorded_outcome(&self, submission: &Submission) -> Option<Outcome> {
        let recorded = self.outcomes.get(&submission.operation)?;
        match recorded.content_hash == content_hash(submission) {
            true => Some(recorded.outcome.clone()),
            false => Some(refusal(
                ResultCode::OperationReused,
                "Idempotency-Key",
                "the operation id was used for another submission; use a new one",
            )),
        }
    }

    /// Returns the outcome of a full configuration that is the active one.
    ///
    /// An operator that sends it again may spell it differently, which makes another operation id; its patch to the active
    /// version changes nothing, though.
    pub fn active_outcome(&self, submission: &Submission) -> Option<Outcome> {
        let is_active = submission.revision != 0
            && submission.revision == self.revision.number
            && submission.after < submission.revision
            && submission.patch == EMPTY_PATCH;
        is_active.then_some(Outcome::Accepted(self.revision.version))
    }

    /// Checks the changes of a submission to the current document, and keeps them for [`Self::apply`].
    ///
    /// A leader checks a configuration before it proposes it; doing the same work again, once it is committed, would hold up
    /// its heartbeats for twice as long.
    pub fn prepare(&mut self, submission: &Submission) -> Result<(), Outcome> {
        let staged = self.stage(submission)?;
        let (patch, version) = (submission.patch.clone(), self.head().next());
        self.prepared = Some(PreparedChanges { patch, version, staged });
        Ok(())
    }

    /// Returns the prepared changes, if the patch and the document are the same.
    fn take_prepared(&mut self, submission: &Submission) -> Option<StagedChanges> {
        let prepared = self.prepared.take()?;
        let is_same = prepared.version == self.head().next() && prepared.patch == submission.patch;
        is_same.then_some(prepared.staged)
    }

    fn stage(&self, submission: &Submission) -> Result<StagedChanges, Outcome> {
        let patch = Patch::parse(&submission.patch).map_err(Outcome::refused)?;
        patch.stage(self.current.document(), self.head().next()).map_err(Outcome::refused)
    }

    /// Applies a submission and returns its outcome.
    pub fn apply(&mut self, submission: &Submission) -> Outcome {
        if let Some(outcome) = self.recorded_outcome(submission) {
            return outcome;
        }
        let prepared = self.take_prepared(submission);
        let outcome = match self.check(submission, prepared) {
            Ok(staged) => Outcome::Accepted(self.accept(submission, staged)),
            Err(outcome) => outcome,
        };
        self.record_outcome(submission, outcome.clone());
        outcome
    }

    /// Encodes the complete state.
    pub fn encode(&self) -> Vec<u8> {
        let resources = self.current.document().iter().map(|(key, stored)| wire::ResourceRecord {
            key: key.to_string(),
            json: stored.json.to_string(),
            changed: stored.last_changed.get(),
        });
        let outcomes = self.order.iter().filter_map(|operation| {
            let recorded = self.outcomes.get(operation)?;
            Some(encode_outcome(operation, recorded))
        });
        let departures = self.departures.iter().map(|(departure, at_ms)| wire::StoredDeparture {
            departure: Some(departure.clone()),
            at_ms,
        });
        wire::CatalogState {
            head: self.head().get(),
            resources: resources.collect(),
            versions: self.versions.iter().map(encode_version).collect(),
            outcomes: outcomes.collect(),
            revision: self.revision.number,
            revised: self.revision.version.get(),
            departures: departures.collect(),
        }
        .encode_to_vec()
    }

    /// Decodes the complete state.
    pub fn decode(bytes: &[u8]) -> Result<Self, CatalogError> {
        let state = wire::CatalogState::decode(bytes)?;
        let resources: Result<Vec<_>, _> = state
            .resources
            .iter()
            .map(|record| decode_stored(&record.key, &record.json, record.changed))
            .collect();
        let versions: Result<VecDeque<_>, _> =
            state.versions.into_iter().map(decode_version).collect();
        let versions: VecDeque<VersionInfo> = versions?;
        let mut catalog = Self {
            current: VersionedDocument::restore(Version::new(state.head), resources?),
            versions_size: versions.iter().map(VersionInfo::size).sum(),
            versions,
            revision: Revision { number: state.revision, version: Version::new(state.revised) },
            ..Self::default()
        };
        for outcome in state.outcomes {
            catalog.restore_outcome(outcome)?;
        }
        for stored in &state.departures {
            if let Some(departure) = &stored.departure {
                catalog.departures.merge(departure, stored.at_ms);
            }
        }
        Ok(catalog)
    }

    /// Validates a submission against the current state; `prepared` are its changes, if they are known already.
    fn check(
        &self,
        submission: &Submission,
        prepared: Option<StagedChanges>,
    ) -> Result<StagedChanges, Outcome> {
        let head = self.head();
        self.check_revision(submission)?;
        let base = match submission.at_head {
            true => head,
            false => Version::new(submission.base),
        };
        if submission.number != 0 && submission.number != head.next().get() {
            let detail = format!("the head is version {head}; the next number is {}", head.next());
            return Err(refusal(ResultCode::NumberConflict, "number", &detail));
        }
        if base > head || base < self.oldest_base() {
            let detail = format!(
                "version {base} can't be used as a base; use {} to {head}",
                self.oldest_base()
            );
            return Err(refusal(ResultCode::BaseUnknown, "base", &detail));
        }
        let staged = match prepared {
            Some(staged) => staged,
            None => self.stage(submission)?,
        };
        let is_relevant =
            |key: &ResourceKey| submission.revision == 0 || key.kind.is_replaced_by_revision();
        self.check_base(base, &staged, is_relevant)?;
        Ok(staged)
    }

    /// Checks that a full configuration is based on the active one and has a higher number.
    pub fn check_revision(&self, submission: &Submission) -> Result<(), Outcome> {
        let active = self.revision.number;
        match submission.revision {
            0 => Ok(()),
            _ if submission.after != active => {
                let detail = format!("configuration {active} is active; base the change on that");
                Err(refusal(ResultCode::RevisionConflict, "after", &detail))
            }
            number if number <= active => {
                let detail = format!("configuration {active} is active; use a higher number");
                Err(refusal(ResultCode::RevisionStale, "version", &detail))
            }
            _ => Ok(()),
        }
    }

    /// Checks that no relevant resource that the patch changes or refers to has changed since its base.
    fn check_base(
        &self,
        base: Version,
        staged: &StagedChanges,
        is_relevant: impl Fn(&ResourceKey) -> bool,
    ) -> Result<(), Outcome> {
        if base == self.head() {
            return Ok(());
        }
        let mut faults = Faults::default();
        for info in self.versions_after(base) {
            let changed = info.prior.keys().filter(|key| is_relevant(key));
            for key in changed.filter(|key| is_affected(staged, key)) {
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
        let base = match submission.at_head {
            true => Version::new(version.get() - 1),
            false => Version::new(submission.base),
        };
        self.retain(VersionInfo {
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

    /// Adds a version to the retained ones, and drops the oldest of them while there are too many.
    fn retain(&mut self, info: VersionInfo) {
        self.versions_size += info.size();
        self.versions.push_back(info);
        while self.versions.len() > 1
            && (self.versions.len() > RETAINED_VERSIONS
                || self.versions_size > RETAINED_VERSIONS_SIZE.get())
        {
            self.versions_size -= self.versions.pop_front().map_or(0, |dropped| dropped.size());
        }
    }

    fn record_outcome(&mut self, submission: &Submission, outcome: Outcome) {
        let recorded = RecordedOutcome { content_hash: content_hash(submission), outcome };
        self.insert_outcome(submission.operation.clone(), recorded);
    }

    fn insert_outcome(&mut self, operation: String, recorded: RecordedOutcome) {
        if self.order.len() == RETAINED_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        self.order.push_back(operation.clone());
        self.outcomes.insert(operation, recorded);
    }

    fn restore_outcome(&mut self, outcome: wire::Outcome) -> Result<(), CatalogError> {
        let restored = match outcome.version {
            0 => {
                let code = u16::try_from(outcome.code).ok().and_then(ResultCode::from_number);
                let faults = serde_json::from_str::<Value>(&outcome.faults).unwrap_or_default();
                Outcome::Refused {
                    code: code
                        .ok_or_else(|| CatalogError::Invalid("unknown result code".to_owned()))?,
                    faults: decode_faults(&faults),
                }
            }
            version => Outcome::Accepted(Version::new(version)),
        };
        let recorded = RecordedOutcome { content_hash: outcome.content, outcome: restored };
        self.insert_outcome(outcome.operation, recorded);
        Ok(())
    }

    /// Returns the oldest version on which a patch can be based.
    fn oldest_base(&self) -> Version {
        match self.versions.front() {
            Some(info) => Version::new(info.version.get() - 1),
            None => self.head(),
        }
    }
}

/// Returns whether the staged changes include `key` or refer to it.
fn is_affected(staged: &StagedChanges, key: &ResourceKey) -> bool {
    let refers = |change: &Option<StoredResource>| {
        change.as_ref().is_some_and(|stored| stored.resource.references().contains(key))
    };
    staged.contains_key(key) || staged.values().any(refers)
}

/// Hashes the content by which a submission is compared with a resend.
///
/// The operation id of a full configuration is already derived from its content, and its patch depends on the
/// version that was active when it was received; so its number is enough.
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

fn refusal(code: ResultCode, path: &str, detail: &str) -> Outcome {
    Outcome::Refused { code, faults: vec![Fault::new(code, path, detail)] }
}

fn encode_outcome(operation: &str, recorded: &RecordedOutcome) -> wire::Outcome {
    let (version, code, faults) = match &recorded.outcome {
        Outcome::Accepted(version) => (version.get(), 0, String::new()),
        Outcome::Refused { code, faults } => {
            (0, code.number().into(), serde_json::to_string(faults).unwrap_or_default())
        }
    };
    wire::Outcome {
        operation: operation.to_owned(),
        version,
        code,
        faults,
        content: recorded.content_hash,
    }
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
        changed: stored.as_ref().map_or(0, |s| s.last_changed.get()),
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
            None => (resource.key.parse().map_err(CatalogError::Invalid)?, None),
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
    last_changed: u64,
) -> Result<(ResourceKey, StoredResource), CatalogError> {
    let key: ResourceKey = key.parse().map_err(CatalogError::Invalid)?;
    let value = serde_json::from_str(json)
        .map_err(|error| CatalogError::Invalid(format!("{key}: {error}")))?;
    let mut faults = Faults::default();
    let resource = Resource::parse(&key, &value, &mut faults)
        .ok_or_else(|| CatalogError::Invalid(faults.to_string()))?;
    Ok((
        key,
        StoredResource { json: json.into(), resource, last_changed: Version::new(last_changed) },
    ))
}
