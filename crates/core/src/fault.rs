//! Faults found while validating JSON input, each with a code and a path.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::ResultCode;

/// One fault in a JSON input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Number of the result code.
    pub code: u16,
    /// Path of the faulty value, with `/` between names.
    pub path: String,
    /// What is wrong and how to correct it.
    pub detail: String,
}

impl Fault {
    /// Creates a fault at `path`.
    pub fn new(code: ResultCode, path: impl Into<String>, detail: impl Into<String>) -> Self {
        Self { code: code.number(), path: path.into(), detail: detail.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (code {})", self.path, self.detail, self.code)
    }
}

/// All faults found in one input.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault.
    pub fn push(&mut self, code: ResultCode, path: impl Into<String>, detail: impl Into<String>) {
        self.0.push(Fault::new(code, path, detail));
    }

    /// Returns whether a fault was found at `path`.
    pub fn has(&self, path: &str) -> bool {
        self.0.iter().any(|fault| fault.path == path)
    }

    /// Returns whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns `value` if no fault was found, or else the faults.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        match self.is_empty() {
            true => Ok(value),
            false => Err(self),
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("; "))
    }
}

impl std::error::Error for Faults {}

/// Deserialises each field of `object` separately into `T`, so that every fault is found.
///
/// `T` must accept an object with any subset of its fields and reject unknown ones. Unknown fields are
/// reported with `unknown_field`, fields of the wrong type with `wrong_type`. Returns the valid fields.
pub fn check_fields<T: DeserializeOwned>(
    path: &str,
    object: &Map<String, Value>,
    unknown_field: ResultCode,
    wrong_type: ResultCode,
    faults: &mut Faults,
) -> Map<String, Value> {
    let mut valid = Map::new();
    for (name, value) in object {
        let single = Value::Object(Map::from_iter([(name.clone(), value.clone())]));
        let Err(error) = serde_json::from_value::<T>(single) else {
            valid.insert(name.clone(), value.clone());
            continue;
        };
        let detail = error.to_string();
        let code = match detail.starts_with("unknown field") {
            true => unknown_field,
            false => wrong_type,
        };
        faults.push(code, format!("{path}/{name}"), detail);
    }
    valid
}
