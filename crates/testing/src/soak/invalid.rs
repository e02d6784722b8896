//! Invalid configurations that an operator of a soak sends.

use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

/// Longest part that is missing at the end of a text that was cut off, in bytes.
const LONGEST_CUT: usize = 40;
/// Number of kinds of [`spoil`].
const KINDS: u32 = 18;

/// Returns the text of a valid configuration with one fault; `newest` is the newest confirmed number.
pub(super) fn spoil(mut document: Value, newest: u64, rng: &mut SmallRng) -> String {
    let reads = &mut document["routes"]["reads"];
    let mut split = |parts: Value| {
        reads["service"] = Value::Null;
        reads["split"] = parts;
    };
    let kind = rng.random_range(0..KINDS);
    match kind {
        0 => reads["service"] = json!("unknown"),
        1 => reads["timeout_ms"] = json!(0),
        2 => reads["semantics"] = json!("odd"),
        3 => reads["prefix"] = json!("/book/"),
        4 => document["version"] = json!(newest),
        5 => document["version"] = json!(0),
        6 => document["version"] = json!(newest.saturating_sub(1)),
        7 => document["version"] = json!(format!("{}", newest + 1)),
        8 => document["version"] = json!(newest as f64 + 1.5),
        9 => split(json!([{ "service": "desk", "weight": -1 }])),
        10 => split(json!([{ "service": "desk" }, { "service": "unknown", "weight": 0 }])),
        11 => split(json!([{ "service": "desk", "weight": 0 }])),
        12 => split(json!([])),
        13 => reads["timeout_ms"] = json!(-2_000),
        14 => reads["host"] = json!("A.Example"),
        15 => document["routes"]["reads"] = Value::Null,
        _ => {}
    }
    if kind == 14 {
        document["routes"]["reads"]["prefix"] = json!("/book/");
    }
    let mut text = document.to_string();
    match kind {
        16 => text.truncate(text.len() - rng.random_range(1..LONGEST_CUT)),
        17 => text = text.replacen("\"books\"", "\"reads\"", 1),
        _ => {}
    }
    text
}
