//! JSON merge patches (RFC 7386) on the configuration document.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use kingcuplift_core::{ByteSize, Faults, ResultCode, ServiceName, Version};
use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::document::{Document, StoredResource};
use crate::resource::{Kind, Resource, ResourceKey};

/// Largest patch, as JSON text.
pub const MAX_PATCH_SIZE: ByteSize = ByteSize::mib(4);
/// Deepest nesting of JSON values in a patch.
pub const MAX_PATCH_DEPTH: usize = 8;
/// Characters of an invalid name that are shown in a fault's path.
const MAX_SHOWN_CHARS: usize = 64;

/// A patch whose structure has been validated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Patch {
    kinds: BTreeMap<Kind, KindPatch>,
}

/// Changes of a patch to the resources of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
enum KindPatch {
    /// Removes all resources of the kind.
    RemoveAll,
    /// Merges a patch into each named resource.
    Merge(Map<String, Value>),
}

/// New content of the resources that a patch changes; `None` stands for removal.
pub type StagedChanges = BTreeMap<ResourceKey, Option<StoredResource>>;

impl Patch {
    /// Parses a patch from JSON text.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        if text.len() > MAX_PATCH_SIZE.as_usize() {
            let detail =
                format!("the patch has {} bytes; the limit is {MAX_PATCH_SIZE}", text.len());
            faults.push(ResultCode::PatchTooLarge, "", detail);
            return Err(faults);
        }
        match serde_json::from_str(text) {
            Ok(value) => Self::from_value(value),
            Err(error) => {
                faults.push(ResultCode::PatchMalformed, "", error.to_string());
                Err(faults)
            }
        }
    }

    /// Validates the structure of a patch.
    pub fn from_value(value: Value) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        if depth(&value) > MAX_PATCH_DEPTH {
            let detail =
                format!("the patch is nested more than {MAX_PATCH_DEPTH} levels deep; flatten it");
            faults.push(ResultCode::PatchTooDeep, "", detail);
            return Err(faults);
        }
        let Value::Object(object) = value else {
            faults.push(ResultCode::PatchMalformed, "", "the patch is not a JSON object");
            return Err(faults);
        };
        let mut kinds = BTreeMap::new();
        for (name, value) in object {
            let kind_patch = match value {
                Value::Null => KindPatch::RemoveAll,
                Value::Object(names) => KindPatch::Merge(names),
                _ => {
                    faults.push(
                        ResultCode::PatchWrongType,
                        name,
                        "the value of a kind must be a JSON object",
                    );
                    continue;
                }
            };
            check_resource_names(&name, &kind_patch, &mut faults);
            match name.parse::<Kind>() {
                Ok(kind) => drop(kinds.insert(kind, kind_patch)),
                Err(detail) => faults.push(ResultCode::PatchUnknownKind, truncate(&name), detail),
            }
        }
        faults.into_result(Self { kinds })
    }

    /// Merges the patch into `document` and validates the result, without changing `document`.
    ///
    /// Changed resources get `version`. Resources that the patch does not change are not in the result.
    pub fn stage(&self, document: &Document, version: Version) -> Result<StagedChanges, Faults> {
        let mut faults = Faults::default();
        let mut staged = StagedChanges::new();
        for (kind, kind_patch) in &self.kinds {
            match kind_patch {
                KindPatch::RemoveAll => {
                    staged.extend(document.keys_of(*kind).map(|key| (key.clone(), None)));
                }
                KindPatch::Merge(names) => {
                    for (name, change) in names {
                        let key = ResourceKey::new(*kind, name);
                        stage_resource(document, key, change, version, &mut staged, &mut faults);
                    }
                }
            }
        }
        check_consistency(document, &staged, &mut faults);
        faults.into_result(staged)
    }
}

/// Merges `change` into one resource.
fn stage_resource(
    document: &Document,
    key: ResourceKey,
    change: &Value,
    version: Version,
    staged: &mut StagedChanges,
    faults: &mut Faults,
) {
    let current = document.get(&key);
    if change.is_null() {
        if current.is_some() {
            staged.insert(key, None);
        }
        return;
    }
    let mut value = match current {
        Some(stored) => serde_json::from_str(&stored.json).unwrap_or(Value::Null),
        None => Value::Object(Map::new()),
    };
    merge(&mut value, change);
    let json: Arc<str> = value.to_string().into();
    let Some(resource) = Resource::parse(&key, &value, faults) else { return };
    let unchanged = current.is_some_and(|stored| stored.json == json);
    if !unchanged {
        staged.insert(key, Some(StoredResource { json, resource, last_changed: version }));
    }
}

/// Merges `patch` into `target` according to RFC 7386.
fn merge(target: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Some(object) = target.as_object_mut() else { return };
    for (name, change) in changes {
        match change {
            Value::Null => drop(object.remove(name)),
            _ => merge(object.entry(name).or_insert(Value::Null), change),
        }
    }
}

/// Checks that the document is consistent after the staged changes: references resolve, and neither routes nor
/// moves conflict.
pub(crate) fn check_consistency(document: &Document, staged: &StagedChanges, faults: &mut Faults) {
    let exists = |key: &ResourceKey| match staged.get(key) {
        Some(change) => change.is_some(),
        None => document.contains(key),
    };
    for (key, change) in staged {
        let references = change.as_ref().map(|s| s.resource.references()).unwrap_or_default();
        for referenced in references.iter().filter(|referenced| !exists(referenced)) {
            let detail = format!("{referenced} does not exist; add it or refer to another");
            faults.push(ResultCode::PatchUnknownReference, key.to_string(), detail);
        }
        if change.is_some() {
            continue;
        }
        for referrer in document.referrers(key).filter(|r| !staged.contains_key(*r)) {
            let detail =
                format!("{referrer} still refers to it; change or remove that resource first");
            faults.push(ResultCode::PatchUnknownReference, key.to_string(), detail);
        }
    }
    check_duplicate_routes(document, staged, faults);
    check_duplicate_moves(document, staged, faults);
    check_duplicate_keys(document, staged, faults);
}

/// Checks that no two organisations, and no organisation twice, have the same key; the faults don't show it.
fn check_duplicate_keys(document: &Document, staged: &StagedChanges, faults: &mut Faults) {
    if !staged.keys().any(|key| key.kind == Kind::Tenants) {
        return;
    }
    let unchanged = document.keys_of(Kind::Tenants).filter(|key| !staged.contains_key(*key));
    let unchanged = unchanged.filter_map(|key| document.get(key).map(|stored| (key, stored)));
    let changed = staged.iter().filter_map(|(key, change)| change.as_ref().map(|new| (key, new)));
    let mut seen: HashMap<&SmolStr, &ResourceKey> = HashMap::new();
    for (key, stored) in unchanged.chain(changed) {
        let Resource::Tenant(tenant) = &stored.resource else { continue };
        for (i, api_key) in tenant.api_keys.iter().enumerate() {
            if let Some(other) = seen.insert(api_key, key) {
                let detail = format!("{other} has the same key; remove one of them");
                faults.push(ResultCode::PatchBadValue, format!("{key}/api_keys/{i}"), detail);
            }
        }
    }
}

/// Checks that no two routes have the same host and prefix.
fn check_duplicate_routes(document: &Document, staged: &StagedChanges, faults: &mut Faults) {
    let mut seen: HashMap<(&SmolStr, &SmolStr), &ResourceKey> = HashMap::new();
    for (key, change) in staged {
        let Some(Resource::Route(route)) = change.as_ref().map(|s| &s.resource) else { continue };
        let existing = document
            .route_at(&route.host, &route.prefix)
            .filter(|other| *other != key && !staged.contains_key(*other));
        let other = existing.or_else(|| seen.insert((&route.host, &route.prefix), key));
        if let Some(other) = other {
            let detail = format!("{other} has the same host and prefix; change one of them");
            faults.push(ResultCode::PatchBadValue, key.to_string(), detail);
        }
    }
}

/// Checks that no service has more than one move.
fn check_duplicate_moves(document: &Document, staged: &StagedChanges, faults: &mut Faults) {
    let mut seen: HashMap<&ServiceName, &ResourceKey> = HashMap::new();
    for (key, change) in staged {
        let Some(Resource::Move(spec)) = change.as_ref().map(|s| &s.resource) else { continue };
        let service = ResourceKey::new(Kind::Services, spec.service.as_str());
        let existing = document
            .referrers(&service)
            .find(|r| r.kind == Kind::Moves && *r != key && !staged.contains_key(*r));
        let other = existing.or_else(|| seen.insert(&spec.service, key));
        if let Some(other) = other {
            let detail =
                format!("{other} is a move of the same service; finish or remove it first");
            faults.push(ResultCode::PatchBadValue, key.to_string(), detail);
        }
    }
}

/// Checks the names of the resources of one kind.
fn check_resource_names(kind: &str, kind_patch: &KindPatch, faults: &mut Faults) {
    let KindPatch::Merge(names) = kind_patch else { return };
    for name in names.keys() {
        if let Err(error) = name.parse::<ServiceName>() {
            let path = format!("{}/{}", truncate(kind), truncate(name));
            faults.push(ResultCode::PatchBadValue, path, error.to_string());
        }
    }
}

/// Truncates a name from the input for use in a fault's path.
fn truncate(name: &str) -> String {
    name.chars().take(MAX_SHOWN_CHARS).collect()
}

/// Returns the nesting depth; a scalar has depth 0.
fn depth(value: &Value) -> usize {
    match value {
        Value::Array(items) => 1 + items.iter().map(depth).max().unwrap_or(0),
        Value::Object(fields) => 1 + fields.values().map(depth).max().unwrap_or(0),
        _ => 0,
    }
}
