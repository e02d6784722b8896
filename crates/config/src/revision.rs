//! Full configurations with version numbers assigned by operators.
//!
//! A full configuration replaces all services, routes, organisations and caller limits. It is stored as a patch to the active
//! version; availability zones and moves stay as they are, except the moves of services that it removes.

use std::collections::BTreeMap;
use std::sync::Arc;

use kingcuplift_core::{Digest, Faults, ResultCode, Version};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};
use smol_str::SmolStr;

use crate::canonical::{CanonicalCache, canonical_form};
use crate::catalog::Submission;
use crate::document::Document;
use crate::resource::{CALLER_LIMITS, Kind, ResourceKey};
use crate::strict_json::{strict_map, strict_object};

/// The active full configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Revision {
    /// Number assigned by the operator; 0 if there is none.
    pub number: u64,
    /// Version as which it was accepted.
    pub version: Version,
}

/// Resources of one kind by name, as text.
type RawResources<'a> = BTreeMap<SmolStr, &'a RawValue>;
/// Resources of one kind by name, in canonical form.
type CanonicalResources = BTreeMap<SmolStr, Arc<str>>;

/// A full configuration as submitted by an operator.
#[derive(Debug, Clone, Deserialize)]
pub struct RevisionBody<'a> {
    /// Number assigned by the operator.
    version: u64,
    /// Services by name.
    #[serde(borrow, deserialize_with = "strict_map")]
    services: RawResources<'a>,
    /// Routes by name.
    #[serde(borrow, deserialize_with = "strict_map")]
    routes: RawResources<'a>,
    /// Organisations by name.
    #[serde(borrow, default, deserialize_with = "strict_map")]
    tenants: RawResources<'a>,
    /// Limits on what callers may send.
    #[serde(default, deserialize_with = "strict_object")]
    limits: Map<String, Value>,
}

impl<'a> RevisionBody<'a> {
    /// Parses a full configuration from JSON text.
    pub fn parse(text: &'a [u8]) -> Result<Self, Faults> {
        let body: Self = serde_json::from_slice(text).map_err(|error| malformed(&error))?;
        let mut faults = Faults::default();
        if body.version == 0 {
            let detail = "0 stands for no configuration; use a number above the active one";
            faults.push(ResultCode::PatchBadValue, "version", detail);
        }
        let kinds = [
            (Kind::Services, &body.services),
            (Kind::Routes, &body.routes),
            (Kind::Tenants, &body.tenants),
        ];
        for (kind, resources) in kinds {
            let removed = resources.iter().filter(|(_, text)| text.get() == "null");
            for (name, _) in removed {
                let detail = "null is not a resource; leave out what is to be removed";
                let path = ResourceKey::new(kind, name).to_string();
                faults.push(ResultCode::PatchWrongType, path, detail);
            }
        }
        faults.into_result(body)
    }

    /// Returns the number assigned by the operator.
    pub fn number(&self) -> u64 {
        self.version
    }

    /// Creates the submission that replaces the full configuration numbered `after`; `document` is the active version.
    ///
    /// The operation id is derived from the body, so a resend gets the first outcome.
    pub fn submission(
        &self,
        after: u64,
        text: &[u8],
        base: Revision,
        document: &Document,
        cache: &mut CanonicalCache,
    ) -> Result<Submission, Faults> {
        let mut digest = Digest::default();
        digest.add(&format!("{after}/{}", self.version), &String::from_utf8_lossy(text));
        let patch = self.patch(document, cache).map_err(|error| malformed(&error))?;
        Ok(Submission {
            operation: format!("revision-{digest}"),
            base: base.version.get(),
            at_head: base.number == 0,
            patch: patch.to_string(),
            revision: self.version,
            after,
            ..Submission::default()
        })
    }

    /// Returns the merge patch that turns `document` into this configuration.
    fn patch(
        &self,
        document: &Document,
        cache: &mut CanonicalCache,
    ) -> Result<Value, serde_json::Error> {
        let texts = self.services.values().chain(self.routes.values());
        let texts = texts.chain(self.tenants.values()).copied();
        let mut forms = cache.canonical_forms(texts)?.into_iter();
        let services: CanonicalResources = self.services.keys().cloned().zip(&mut forms).collect();
        let routes = self.routes.keys().cloned().zip(&mut forms).collect();
        let tenants = self.tenants.keys().cloned().zip(forms).collect();
        let mut limits = CanonicalResources::new();
        if !self.limits.is_empty() {
            let form = canonical_form(&Value::Object(self.limits.clone()));
            limits.insert(SmolStr::new_static(CALLER_LIMITS), form.into());
        }
        let mut patch = Map::new();
        let replaced = [
            (Kind::Services, &services),
            (Kind::Routes, &routes),
            (Kind::Limits, &limits),
            (Kind::Tenants, &tenants),
        ];
        for (kind, wanted) in replaced {
            let changes = patch_for_kind(document, kind, wanted)?;
            if !changes.is_empty() {
                patch.insert(kind.as_str().to_owned(), Value::Object(changes));
            }
        }
        let moves = orphaned_moves(document, &services);
        if !moves.is_empty() {
            patch.insert(Kind::Moves.as_str().to_owned(), Value::Object(moves));
        }
        Ok(Value::Object(patch))
    }
}

fn malformed(error: &serde_json::Error) -> Faults {
    let mut faults = Faults::default();
    faults.push(ResultCode::PatchMalformed, "", error.to_string());
    faults
}

/// Returns the merge patch that removes the moves of services that `services` does not contain.
fn orphaned_moves(document: &Document, services: &CanonicalResources) -> Map<String, Value> {
    let removed =
        document.keys_of(Kind::Services).filter(|key| !services.contains_key(key.name.as_str()));
    let moves =
        removed.flat_map(|key| document.referrers(key)).filter(|key| key.kind == Kind::Moves);
    moves.map(|key| (key.name.to_string(), Value::Null)).collect()
}

/// Returns the merge patch for one kind.
fn patch_for_kind(
    document: &Document,
    kind: Kind,
    wanted: &CanonicalResources,
) -> Result<Map<String, Value>, serde_json::Error> {
    let mut changes = Map::new();
    for (name, form) in wanted {
        match document.get(&ResourceKey::new(kind, name)) {
            Some(stored) if stored.json == *form => {}
            Some(stored) => {
                let current = serde_json::from_str(&stored.json).unwrap_or(Value::Null);
                let value = serde_json::from_str(form)?;
                changes.insert(name.to_string(), merge_patch(&current, &value));
            }
            None => drop(changes.insert(name.to_string(), serde_json::from_str(form)?)),
        }
    }
    for key in document.keys_of(kind).filter(|key| !wanted.contains_key(key.name.as_str())) {
        changes.insert(key.name.to_string(), Value::Null);
    }
    Ok(changes)
}

/// Returns the merge patch that turns `current` into `wanted`.
fn merge_patch(current: &Value, wanted: &Value) -> Value {
    let (Value::Object(current), Value::Object(wanted)) = (current, wanted) else {
        return wanted.clone();
    };
    let mut changes = Map::new();
    for (name, value) in wanted {
        match current.get(name) {
            Some(old) if old == value => {}
            Some(old) => drop(changes.insert(name.clone(), merge_patch(old, value))),
            None => drop(changes.insert(name.clone(), value.clone())),
        }
    }
    for name in current.keys().filter(|name| !wanted.contains_key(*name)) {
        changes.insert(name.clone(), Value::Null);
    }
    Value::Object(changes)
}

impl Revision {
    /// Returns the configuration as JSON text, in the form that operators submit.
    pub fn to_json(self, document: &Document) -> String {
        let mut text = format!("{{\"version\":{}", self.number);
        let has_tenants = document.keys_of(Kind::Tenants).next().is_some();
        let tenants = has_tenants.then_some(Kind::Tenants);
        for kind in [Kind::Services, Kind::Routes].into_iter().chain(tenants) {
            text.push_str(&format!(",{}:{{", json!(kind.as_str())));
            for (i, key) in document.keys_of(kind).enumerate() {
                let stored = document.get(key).map_or("null", |stored| &*stored.json);
                let comma = if i == 0 { "" } else { "," };
                text.push_str(&format!("{comma}{}:{stored}", json!(key.name)));
            }
            text.push('}');
        }
        let limits = document.get(&ResourceKey::new(Kind::Limits, CALLER_LIMITS));
        if let Some(stored) = limits {
            text.push_str(&format!(",\"limits\":{}", stored.json));
        }
        text.push('}');
        text
    }
}
