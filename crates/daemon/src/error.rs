//! Errors that prevent a process from starting or stop it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use kingcuplift_core::{Faults, ResultCode};
use kingcuplift_keys::{CertificateError, TlsError};
use kingcuplift_quorum::StoreError;
use thiserror::Error;

/// Exit code for settings that can't be read or are invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for other failures.
const EXIT_FAILURE: u8 = 1;

/// Error that prevents a process from starting or stops it.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings file can't be read.
    #[error("can't read the settings file {path}: {source} (code {})", ResultCode::SettingsUnreadable.number())]
    SettingsFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The signal handlers can't be installed.
    #[error("can't install the signal handlers: {0}")]
    Signals(#[source] std::io::Error),
    /// The settings are invalid.
    #[error("the settings are invalid: {0}")]
    InvalidSettings(Faults),
    /// A key file can't be read.
    #[error("can't read the key file {path}: {source} (code {})", ResultCode::KeysUnreadable.number())]
    KeyFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The certificates and keys are invalid or do not match.
    #[error("{0} (code {code})", code = ResultCode::KeysUnreadable.number())]
    Tls(#[from] TlsError),
    /// Temporary certificates can't be generated.
    #[error("{0} (code {code})", code = ResultCode::KeysUnreadable.number())]
    Keys(#[from] CertificateError),
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source} (code {})", ResultCode::AddressUnavailable.number())]
    Address {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The data folder can't be used.
    #[error("{0} (code {code})", code = .0.code().number())]
    Store(#[from] StoreError),
    /// The stored configuration can't be decoded.
    #[error("{0} (code {code})", code = ResultCode::LogDamaged.number())]
    Catalog(#[from] kingcuplift_config::CatalogError),
}

impl StartError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::SettingsFile { .. } | Self::InvalidSettings(_) => ExitCode::from(EXIT_SETTINGS),
            _ => ExitCode::from(EXIT_FAILURE),
        }
    }
}
