//! Differences between two configurations.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};
use smol_str::SmolStr;

use crate::document::{Document, StoredResource};
use crate::resource::{Kind, ResourceKey};

/// Field of organisations whose values are secret.
const SECRET_FIELD: &str = "api_keys";

/// How a resource differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Only the later configuration has the resource.
    Added,
    /// Only the earlier configuration has the resource.
    Removed,
    /// Some fields differ.
    Changed {
        /// The fields that differ.
        fields: Vec<FieldChange>,
    },
}

/// Values of a field of a resource; `None` where the field is absent or its value is secret.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: SmolStr,
    /// Value in the earlier configuration.
    pub before: Option<Value>,
    /// Value in the later configuration.
    pub after: Option<Value>,
}

/// A resource that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Key of the resource.
    pub path: String,
    /// How it differs.
    #[serde(flatten)]
    pub change: Change,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.change {
            Change::Added => write!(f, "{}: added", self.path),
            Change::Removed => write!(f, "{}: removed", self.path),
            Change::Changed { fields } => {
                let fields: Vec<String> = fields.iter().map(ToString::to_string).collect();
                write!(f, "{}: {}", self.path, fields.join(", "))
            }
        }
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<Value>| value.as_ref().map_or("-".to_owned(), Value::to_string);
        write!(f, "{} {} -> {}", self.field, text(&self.before), text(&self.after))
    }
}

/// Returns the resources that differ, in order of key.
pub fn differences(before: &Document, after: &Document) -> Vec<Difference> {
    let keys: BTreeSet<&ResourceKey> =
        before.iter().chain(after.iter()).map(|(key, _)| key).collect();
    let changes = keys.into_iter().filter_map(|key| {
        let change = match (before.get(key), after.get(key)) {
            (None, _) => Change::Added,
            (_, None) => Change::Removed,
            (Some(old), Some(new)) if old.json == new.json => return None,
            (Some(old), Some(new)) => Change::Changed { fields: changed_fields(key, old, new) },
        };
        Some(Difference { path: key.to_string(), change })
    });
    // Two texts may differ in the form of a number only.
    let has_effect =
        |change: &Change| !matches!(change, Change::Changed { fields } if fields.is_empty());
    changes.filter(|difference| has_effect(&difference.change)).collect()
}

fn changed_fields(
    key: &ResourceKey,
    before: &StoredResource,
    after: &StoredResource,
) -> Vec<FieldChange> {
    let fields = |stored: &StoredResource| -> Map<String, Value> {
        serde_json::from_str(&stored.json).unwrap_or_default()
    };
    let (before, after) = (fields(before), fields(after));
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let changed = names.into_iter().filter(|name| before.get(*name) != after.get(*name));
    let changes = changed.map(|name| {
        let is_secret = key.kind == Kind::Tenants && name == SECRET_FIELD;
        let value = |fields: &Map<String, Value>| fields.get(name).filter(|_| !is_secret).cloned();
        FieldChange { field: SmolStr::new(name), before: value(&before), after: value(&after) }
    });
    changes.collect()
}
