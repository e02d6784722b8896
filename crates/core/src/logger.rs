//! Installs the process-wide logger, as text or as JSON lines.

use std::io::Write;
use std::str::FromStr;

use log::LevelFilter;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

/// Layout of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is not a log format; write \"text\" or \"json\"")),
        }
    }
}

/// Installs the logger, writing to standard error; a second call has no effect.
pub fn install(format: Format, level: LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(LevelFilter::Warn);
    builder.filter_module("kingcuplift", level);
    if format == Format::Json {
        builder.format(|out, record| writeln!(out, "{}", json_line(record)));
    }
    let installed = builder.try_init();
    debug_assert!(installed.is_ok() || log::max_level() >= LevelFilter::Off, "a logger is present");
}

/// Formats one record as a JSON object.
fn json_line(record: &log::Record<'_>) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".into(), json!(jiff::Timestamp::now().to_string()));
    fields.0.insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("message".into(), json!(record.args().to_string()));
    let visited = record.key_values().visit(&mut fields);
    debug_assert!(visited.is_ok(), "visiting key-values can't fail");
    serde_json::Value::Object(fields.0)
}

/// Collects key-value pairs into a JSON object.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match value.to_u64() {
            Some(number) => json!(number),
            None => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
