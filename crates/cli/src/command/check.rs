//! Checks a full configuration or a patch before it is sent.

use std::path::Path;

use kingcuplift_config::{Difference, Document, DryRun, Lint, differences, find_lints};
use kingcuplift_core::{Fault, Faults};
use serde::Serialize;
use serde_json::Value;

use crate::cli::Check;
use crate::client::{Request, SourceClient};
use crate::error::CommandError;
use crate::output;

/// HTTP status of a source without a full configuration.
const STATUS_NOT_FOUND: u64 = 404;

/// Findings of a check.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Findings {
    /// Faults for which the source would refuse the file.
    pub(crate) errors: Vec<Fault>,
    /// Parts that have no effect, and limits that contradict each other.
    pub(crate) warnings: Vec<Lint>,
    /// Differences from the base; absent where none is given.
    pub(crate) differences: Option<Vec<Difference>>,
    /// Resources after the submission.
    pub(crate) resources: usize,
}

/// Checks a file against a base and prints what was found.
pub(crate) async fn check(source: &SourceClient, arguments: &Check) -> Result<(), CommandError> {
    let text = read_text(&arguments.file)?;
    let base = read_base(source, arguments).await?;
    let findings = match base.as_ref().unwrap_or(&DryRun::default()).submit(&text) {
        Ok(after) => examine(base.as_ref().map(DryRun::document), after.document()),
        Err(faults) => Findings { errors: faults.0, ..Findings::default() },
    };
    match arguments.json {
        true => output::print_json(&serde_json::json!(findings)),
        false => output::print_findings(&findings, &arguments.file),
    }
    let path = arguments.file.clone();
    match () {
        () if !findings.errors.is_empty() => Err(CommandError::CheckFailed { path }),
        () if !findings.warnings.is_empty() => Err(CommandError::CheckWarned { path }),
        () => Ok(()),
    }
}

fn examine(before: Option<&Document>, after: &Document) -> Findings {
    Findings {
        warnings: find_lints(after),
        differences: before.map(|before| differences(before, after)),
        resources: after.len(),
        ..Findings::default()
    }
}

/// Reads the base from a source or a file; `None` if neither is given.
async fn read_base(
    source: &SourceClient,
    arguments: &Check,
) -> Result<Option<DryRun>, CommandError> {
    match (&arguments.base, arguments.to.as_slice()) {
        (None, []) => Ok(None),
        (Some(_), [_, ..]) => {
            let detail = "give either --to or --base, not both";
            Err(CommandError::Argument(detail.to_owned()))
        }
        (Some(path), []) => read_base_file(path).map(Some),
        (None, addresses) => {
            let source = SourceClient::at(addresses, source.retry_timeout());
            fetch_base(&source).await.map(Some)
        }
    }
}

/// Reads a base from a file: a full configuration, or resources by kind and name.
fn read_base_file(path: &Path) -> Result<DryRun, CommandError> {
    let text = read_text(path)?;
    DryRun::default().submit(&text).map_err(|faults| invalid_base(&path.display(), faults))
}

/// Fetches the configuration in force from a source.
async fn fetch_base(source: &SourceClient) -> Result<DryRun, CommandError> {
    let document = source.send(&Request::get("/v1/config")).await?;
    let revision = match source.send(&Request::get("/v1/revision")).await {
        Ok(revision) => revision["version"].as_u64().unwrap_or(0),
        Err(CommandError::Refused { status: STATUS_NOT_FOUND, .. }) => 0,
        Err(error) => return Err(error),
    };
    from_source(document, revision)
}

fn from_source(document: Value, revision: u64) -> Result<DryRun, CommandError> {
    DryRun::of_document(document, revision)
        .map_err(|faults| invalid_base(&"the version in force", faults))
}

/// Creates the error for a base that is itself invalid; its faults are not those of the checked file.
fn invalid_base(name: &dyn std::fmt::Display, faults: Faults) -> CommandError {
    CommandError::Argument(format!("{name} can't be used as a base: {faults}"))
}

/// Reads a text file.
pub(crate) fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.to_owned(), source })
}
