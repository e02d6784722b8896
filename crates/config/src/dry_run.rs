//! Applies a submission to a copy of a configuration, with the checks that the source runs.

use kingcuplift_core::{Faults, Version};
use serde_json::{Map, Value};

use crate::canonical::CanonicalCache;
use crate::catalog::{Catalog, Outcome, Submission};
use crate::document::Document;
use crate::patch::Patch;
use crate::revision::{Revision, RevisionBody};

/// Version under which the base is held; any number above that of the empty document.
const BASE_VERSION: Version = Version::new(1);

/// A configuration against which submissions are checked.
#[derive(Debug, Clone, Default)]
pub struct DryRun {
    catalog: Catalog,
}

impl DryRun {
    /// Creates a copy of a configuration from its resources by kind and name, and the number of its full configuration.
    pub fn of_document(document: Value, revision: u64) -> Result<Self, Faults> {
        let staged = Patch::from_value(document)?.stage(&Document::default(), BASE_VERSION)?;
        let resources = staged.into_iter().filter_map(|(key, stored)| Some((key, stored?)));
        let revision = Revision { number: revision, version: BASE_VERSION };
        Ok(Self { catalog: Catalog::restore(BASE_VERSION, resources, revision) })
    }

    /// Returns the configuration.
    pub fn document(&self) -> &Document {
        self.catalog.current().document()
    }

    /// Returns the number of the full configuration; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.catalog.revision().number
    }

    /// Returns the configuration after a submission, which is a full configuration or a patch, or the faults for which the
    /// source would refuse it.
    pub fn submit(&self, text: &str) -> Result<Self, Faults> {
        let mut catalog = self.catalog.clone();
        let submission = match is_full(text) {
            true => {
                let body = RevisionBody::parse(text.as_bytes())?;
                let (active, cache) = (catalog.revision(), &mut CanonicalCache::default());
                let document = catalog.current().document();
                body.submission(active.number, text.as_bytes(), active, document, cache)?
            }
            false => Submission { at_head: true, patch: text.to_owned(), ..Submission::default() },
        };
        match catalog.apply(&submission) {
            Outcome::Accepted(_) => Ok(Self { catalog }),
            Outcome::Refused { faults, .. } => Err(Faults(faults)),
        }
    }
}

/// Returns whether a submission is a full configuration, which has a number; a patch has only kinds of resources.
fn is_full(text: &str) -> bool {
    let object = serde_json::from_str::<Map<String, Value>>(text);
    object.is_ok_and(|object| object.contains_key("version"))
}
