//! Reasons why a command fails.

use std::path::PathBuf;
use std::process::ExitCode;

use kingcuplift_core::Faults;
use thiserror::Error;

/// Exit code for a failure that nothing more is known of.
const EXIT_FAILURE: u8 = 1;
/// Exit code for faulty input.
const EXIT_INPUT: u8 = 2;
/// Exit code for a conflict with another operator.
const EXIT_CONFLICT: u8 = 3;
/// Exit code for a submission whose outcome is not known.
const EXIT_UNKNOWN: u8 = 4;
/// Exit code for a wait that took too long.
const EXIT_WAIT: u8 = 5;
/// HTTP status of a conflict.
const STATUS_CONFLICT: u64 = 409;

/// Reason why a command fails.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A file can't be read or written.
    #[error("can't use the file {path}: {source}")]
    File {
        /// File.
        path: PathBuf,
        /// Error.
        source: std::io::Error,
    },
    /// The input is faulty.
    #[error("the input is faulty: {0}")]
    Faulty(Faults),
    /// An argument is faulty.
    #[error("{0}")]
    Argument(String),
    /// Certificates can't be made.
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
        /// What happened.
        detail: String,
    },
    /// The outcome of a submission is not known.
    #[error("the outcome is not known yet; run the command again with --operation {operation}")]
    Unknown {
        /// Operation id of the submission.
        operation: String,
    },
    /// A wait took too long.
    #[error("version {version} is in force on {in_force} of {known} nodes; see `show {version}`")]
    Waited {
        /// Version that was waited for.
        version: u64,
        /// Nodes that run it.
        in_force: u64,
        /// Nodes that are connected.
        known: u64,
    },
}

impl CommandError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Faulty(_) | Self::Argument(_) => EXIT_INPUT,
            Self::Refused { status: STATUS_CONFLICT, .. } => EXIT_CONFLICT,
            Self::Refused { status: 400..=499, .. } => EXIT_INPUT,
            Self::Unknown { .. } => EXIT_UNKNOWN,
            Self::Waited { .. } => EXIT_WAIT,
            _ => EXIT_FAILURE,
        };
        ExitCode::from(code)
    }
}
