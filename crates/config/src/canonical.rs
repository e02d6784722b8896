//! Canonical forms of submitted resources.

use std::collections::HashMap;
use std::sync::Arc;

use serde_json::Value;
use serde_json::value::RawValue;

use crate::strict_json::StrictValue;

/// Canonical forms of the resources of the latest full configuration, by the text that was submitted.
///
/// Successive configurations differ in few resources; those with a known text are not parsed again.
#[derive(Debug, Default)]
pub struct CanonicalCache {
    forms: HashMap<Box<str>, Arc<str>>,
}

impl CanonicalCache {
    /// Returns the canonical form of each resource, in the same order; forgets all other texts.
    ///
    /// # Errors
    ///
    /// Returns an error if a resource contains a number that can't be represented, or is nested too deeply, or names a
    /// field twice.
    pub(crate) fn canonical_forms<'a>(
        &mut self,
        texts: impl Iterator<Item = &'a RawValue>,
    ) -> Result<Vec<Arc<str>>, serde_json::Error> {
        let mut known = std::mem::take(&mut self.forms);
        let mut forms = Vec::with_capacity(texts.size_hint().0);
        for text in texts.map(RawValue::get) {
            let form = match (self.forms.get(text), known.remove_entry(text)) {
                (Some(form), _) => Arc::clone(form),
                (None, Some((text, form))) => {
                    self.forms.insert(text, Arc::clone(&form));
                    form
                }
                (None, None) => {
                    let form: Arc<str> =
                        canonical_form(&serde_json::from_str::<StrictValue>(text)?.0).into();
                    self.forms.insert(text.into(), Arc::clone(&form));
                    form
                }
            };
            forms.push(form);
        }
        Ok(forms)
    }
}

/// Returns the text of a JSON value with sorted fields, without those that are null; a merge patch can't set these.
pub(crate) fn canonical_form(value: &Value) -> String {
    without_nulls(value).to_string()
}

fn without_nulls(value: &Value) -> Value {
    match value {
        Value::Object(fields) => fields
            .iter()
            .filter(|(_, value)| !value.is_null())
            .map(|(name, value)| (name.clone(), without_nulls(value)))
            .collect(),
        _ => value.clone(),
    }
}
