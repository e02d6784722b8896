//! Certificates of kingcuplift's processes.
//!
//! One authority signs a certificate for each process. The certificate names the process, its
//! availability zone and its roles, as DNS names under `kingcuplift`.

mod authority;
mod grant;
mod tls;

pub use authority::{Authority, IssuedKey, KeyError};
pub use grant::{Grant, Role, RoleSet};
pub use tls::{Credentials, Protocol, TlsError, client_config, server_config};
