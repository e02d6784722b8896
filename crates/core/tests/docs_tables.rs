//! The tables in the docs list exactly the result codes and events that the code defines.

use std::path::Path;

use kingcuplift_core::{Event, ResultCode};

/// Environment variable that makes the tests write the pages before comparing them.
const WRITE_VARIABLE: &str = "KINGCUPLIFT_WRITE_DOCS";

fn check_page(name: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        std::fs::write(&path, expected).expect("the page can be written");
    }
    let page = std::fs::read_to_string(&path).expect("the page is readable");
    assert_eq!(
        page, expected,
        "the page is out of date; run the test once with {WRITE_VARIABLE}=1"
    );
}

#[test]
fn result_codes_listed() {
    let mut page = String::from(
        "# Result codes\n\nEvery response that the system generates itself carries one of these numbers, \
         as `code` in the problem document and as the header `kingcuplift-code`. `run` says whether \
         the request was executed.\n\n| number | name | HTTP status | run | meaning |\n\
         |---|---|---|---|---|\n",
    );
    for code in ResultCode::ALL {
        let (number, name, status) = (code.number(), code.name(), code.status());
        let (run, meaning) = (code.run().as_str(), code.meaning());
        page.push_str(&format!("| {number} | {name} | {status} | {run} | {meaning} |\n"));
    }
    check_page("RESULT-CODES.md", &page);
}

#[test]
fn events_listed() {
    let mut page = String::from(
        "# Log events\n\nEvery log line of the system carries one of these numbers, under the key \
         `event`.\n\n| number | name | level | meaning |\n|---|---|---|---|\n",
    );
    for event in Event::ALL {
        let (number, name) = (event.number(), event.name());
        let (level, meaning) = (event.severity().as_str(), event.meaning());
        page.push_str(&format!("| {number} | {name} | {level} | {meaning} |\n"));
    }
    check_page("EVENTS.md", &page);
}

#[test]
fn numbers_ascend() {
    assert!(ResultCode::ALL.is_sorted_by_key(|code| code.number()));
    assert!(Event::ALL.is_sorted_by_key(|event| event.number()));
}
