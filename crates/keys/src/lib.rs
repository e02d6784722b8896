//! Certificates of kingcuplift's processes.
//!
//! One certificate authority signs a certificate for each process. The certificate states the name of the process,
//! its availability zone and its roles, as DNS names under `kingcuplift`.

mod authority;
mod identity;
mod tls;

pub use authority::{CertificateAuthority, CertificateError, IssuedCertificate};
pub use identity::{ProcessIdentity, Role, RoleSet};
pub use tls::{Credentials, Protocol, TlsError, client_config, server_config};
