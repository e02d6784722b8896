//! Reasons why a process can't start or has to stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use kingcuplift_core::{Faults, ResultCode};
use kingcuplift_keys::{CertificateError, TlsError};
use kingcuplift_quorum::StoreError;
use thiserror::Error;

/// Exit code for faulty settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for other failures.
const EXIT_FAILURE: u8 = 1;

/// Reason why a process can't start or has to stop.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings file can't be read.
    #[error("can't read the settings {path}: {source} (code {})", ResultCode::SettingsUnreadable.number())]
    Unreadable {
        /// Settings file.
        path: PathBuf,
        /// Error.
        source: std::io::Error,
    },
    /// The signals to stop can't be received.
    #[error("can't receive signals: {0}")]
    Signals(#[source] std::io::Error),
    /// The settings hold faults.
    #[error("the settings are faulty: {0}")]
    Faulty(Faults),
    /// A key file can't be read.
    #[error("can't read the key file {path}: {source} (code {})", ResultCode::KeysUnreadable.number())]
    KeyFile {
        /// Key file.
        path: PathBuf,
        /// Error.
        source: std::io::Error,
    },
    /// The keys do not fit together.
    #[error("{0} (code {code})", code = ResultCode::KeysUnreadable.number())]
    Tls(#[from] TlsError),
    /// Temporary keys can't be made.
    #[error("{0} (code {code})", code = ResultCode::KeysUnreadable.number())]
    Keys(#[from] CertificateError),
    /// An address can't be opened.
    #[error("can't listen on {address}: {source} (code {})", ResultCode::AddressUnavailable.number())]
    Address {
        /// Address.
        address: SocketAddr,
        /// Error.
        source: std::io::Error,
    },
    /// The durable state can't be used.
    #[error("{0} (code {code})", code = .0.code().number())]
    Store(#[from] StoreError),
    /// The stored state of the configuration can't be read.
    #[error("{0} (code {code})", code = ResultCode::LogDamaged.number())]
    Catalog(#[from] kingcuplift_config::CatalogError),
}

impl StartError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Unreadable { .. } | Self::Faulty(_) => ExitCode::from(EXIT_SETTINGS),
            _ => ExitCode::from(EXIT_FAILURE),
        }
    }
}
