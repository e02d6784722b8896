//! The tables in the docs list exactly what the code defines.

use std::path::Path;

use kingcuplift_core::{Event, ResultCode};

/// Variable that makes the test write the pages instead of comparing them.
const WRITE: &str = "KINGCUPLIFT_WRITE_DOCS";

fn check(name: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    if std::env::var_os(WRITE).is_some() {
        std::fs::write(&path, expected).expect("the page can be written");
    }
    let page = std::fs::read_to_string(&path).expect("the page is readable");
    assert_eq!(page, expected, "run the test once with {WRITE}=1");
}

#[test]
fn result_codes_listed() {
    let mut page = String::from(
        "# Result codes\n\nEvery answer that the system makes itself carries one of these numbers, \
         as `code` in the problem document and as the header `kingcuplift-code`. `run` says whether \
         the request was carried out.\n\n| number | name | HTTP status | run | meaning |\n\
         |---|---|---|---|---|\n",
    );
    for code in ResultCode::ALL {
        let (number, name, status) = (code.number(), code.name(), code.status());
        let (run, meaning) = (code.run().as_str(), code.meaning());
        page.push_str(&format!("| {number} | {name} | {status} | {run} | {meaning} |\n"));
    }
    check("RESULT-CODES.md", &page);
}

#[test]
fn events_listed() {
    let mut page = String::from(
        "# Log events\n\nEvery log line of the system carries one of these numbers, as the key \
         `event`.\n\n| number | name | level | meaning |\n|---|---|---|---|\n",
    );
    for event in Event::ALL {
        let (number, name) = (event.number(), event.name());
        let (level, meaning) = (event.severity().as_str(), event.meaning());
        page.push_str(&format!("| {number} | {name} | {level} | {meaning} |\n"));
    }
    check("EVENTS.md", &page);
}

#[test]
fn numbers_rise() {
    assert!(ResultCode::ALL.is_sorted_by_key(|code| code.number()));
    assert!(Event::ALL.is_sorted_by_key(|event| event.number()));
}
