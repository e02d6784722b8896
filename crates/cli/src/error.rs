//! Errors of the commands and their exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use kingcuplift_core::Faults;
use thiserror::Error;

/// Exit code for any failure without a code of its own.
const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid input.
const EXIT_INPUT: u8 = 2;
/// Exit code for a conflict with another operator.
const EXIT_CONFLICT: u8 = 3;
/// Exit code for a submission whose outcome is unknown.
const EXIT_UNKNOWN: u8 = 4;
/// Exit code for a wait that timed out.
const EXIT_WAIT_TIMEOUT: u8 = 5;
/// Exit code for a checked file with warnings only.
const EXIT_WARNINGS: u8 = 6;
/// HTTP status of a conflict.
const STATUS_CONFLICT: u64 = 409;

/// Reason for the failure of a command.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A file can't be read or written.
    #[error("can't read or write {path}: {source}")]
    File { path: PathBuf, source: std::io::Error },
    /// The input is invalid.
    #[error("invalid input: {0}")]
    InvalidInput(Faults),
    /// An argument is invalid.
    #[error("{0}")]
    Argument(String),
    /// Certificates can't be loaded or created.
    #[error(transparent)]
    Keys(#[from] kingcuplift_keys::CertificateError),
    /// No source member answered.
    #[error("no source member answered: {0}; check --sources and try again")]
    Unreachable(String),
    /// The source refused the request.
    #[error("{detail} (code {code}, {run})")]
    Refused {
        /// HTTP status.
        status: u64,
        /// Number of the result code.
        code: u64,
        /// Whether the request was carried out.
        run: String,
        /// Description of the error.
        detail: String,
    },
    /// The source would refuse the checked file.
    #[error("{path}: the source would refuse it; correct the errors above")]
    CheckFailed { path: PathBuf },
    /// The checked file is valid but probably not what is meant.
    #[error("{path}: see the warnings above")]
    CheckWarned { path: PathBuf },
    /// The outcome of a submission is unknown.
    #[error("the outcome is unknown; run the command again with --operation {operation}")]
    Unknown {
        /// Operation id of the submission.
        operation: String,
    },
    /// A version was not in force on every known node in time.
    #[error("version {version} is in force on {in_force} of {known} nodes; see `show {version}`")]
    WaitTimeout {
        version: u64,
        /// Number of nodes on which it is in force.
        in_force: u64,
        /// Number of connected nodes.
        known: u64,
    },
}

impl CommandError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::InvalidInput(_) | Self::Argument(_) => EXIT_INPUT,
            Self::Refused { status: STATUS_CONFLICT, .. } => EXIT_CONFLICT,
            Self::Refused { status: 400..=499, .. } => EXIT_INPUT,
            Self::Unknown { .. } => EXIT_UNKNOWN,
            Self::WaitTimeout { .. } => EXIT_WAIT_TIMEOUT,
            Self::CheckWarned { .. } => EXIT_WARNINGS,
            _ => EXIT_FAILURE,
        };
        ExitCode::from(code)
    }
}
