//! Validates a patch without a source.

use kingcuplift_config::{Document, Patch};
use kingcuplift_core::Version;

use crate::cli::Check;
use crate::error::CommandError;

/// Validates a patch against an empty configuration.
pub(crate) fn check(arguments: &Check) -> Result<(), CommandError> {
    let text = read_text(&arguments.patch)?;
    let patch = Patch::parse(&text).map_err(CommandError::InvalidInput)?;
    let staged =
        patch.stage(&Document::default(), Version::new(1)).map_err(CommandError::InvalidInput)?;
    println!("{}: valid, {} resources", arguments.patch.display(), staged.len());
    Ok(())
}

/// Reads a text file.
pub(crate) fn read_text(path: &std::path::Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.to_owned(), source })
}
