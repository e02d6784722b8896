//! Settings of processes, rendered from the templates in `platform/` as the platform does it.

use std::sync::OnceLock;

use serde::Deserialize;
use serde_json::{Value, json};

/// Values of the placeholders, in which words that begin with `@` stand for those of one process.
const FIELDS: &str = include_str!("../../../platform/fields.json");
const MEMBER_TEMPLATE: &str = include_str!("../../../platform/source.json");
const NODE_TEMPLATE: &str = include_str!("../../../platform/node.json");

/// A process whose settings are rendered.
#[derive(Debug)]
pub(crate) struct RenderedProcess<'a> {
    pub(crate) name: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) host: &'a str,
    pub(crate) seeds: &'a [String],
}

impl RenderedProcess<'_> {
    /// Returns the settings of a source member.
    pub(crate) fn member(&self, data: &str, is_first_start: bool) -> Value {
        render(MEMBER_TEMPLATE, &self.fields("", data, is_first_start))
    }

    /// Returns the settings of a node.
    pub(crate) fn node(&self, service: &str) -> Value {
        render(NODE_TEMPLATE, &self.fields(service, "", true))
    }

    fn fields(&self, service: &str, data: &str, is_first_start: bool) -> Value {
        let Self { name, zone, host, seeds } = self;
        let text = FIELDS
            .replace("@name", name)
            .replace("@zone", zone)
            .replace("@host", host)
            .replace("@seeds", &json!(seeds).to_string())
            .replace("@service", service)
            .replace("@data", data)
            .replace("@first", &is_first_start.to_string());
        serde_json::from_str(&text).expect("the fields are JSON")
    }
}

/// Names of headers on the platform.
#[derive(Debug, Deserialize)]
pub(crate) struct HeaderNames {
    /// Id of a call.
    pub(crate) call: String,
    /// Time that the caller still waits, in milliseconds.
    pub(crate) time_left: String,
    /// Mark of a target's response.
    pub(crate) seal: String,
    /// Target that is to run a call.
    pub(crate) instance: String,
    /// Mark of a response to a call that has not run.
    pub(crate) not_run: String,
    /// Target that responds to a health check.
    pub(crate) own_instance: String,
}

/// Returns the names of headers on the platform.
pub(crate) fn header_names() -> &'static HeaderNames {
    static NAMES: OnceLock<HeaderNames> = OnceLock::new();
    NAMES.get_or_init(|| {
        let process = RenderedProcess { name: "", zone: "", host: "", seeds: &[] };
        let names = process.node("")["node"]["headers"].clone();
        serde_json::from_value(names).expect("the template names all headers")
    })
}

/// Replaces the placeholders `{{path}}` and `{{path|json}}` of a template by values.
fn render(template: &str, values: &Value) -> Value {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, tail)) = rest.split_once("{{") {
        let (name, after) = tail.split_once("}}").expect("a placeholder has an end");
        let path = name.strip_suffix("|json").unwrap_or(name);
        let value = values.pointer(&format!("/{}", path.replace('.', "/")));
        text.push_str(before);
        match value.unwrap_or_else(|| panic!("no value for the placeholder {name}")) {
            Value::String(value) if path == name => text.push_str(value),
            value => text.push_str(&value.to_string()),
        }
        rest = after;
    }
    text.push_str(rest);
    serde_json::from_str(&text).expect("rendered settings are JSON")
}
