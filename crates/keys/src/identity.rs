//! The identity that a certificate states: a name, an availability zone and roles.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use kingcuplift_core::{NodeName, ZoneName};
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

/// Suffix of the DNS names that state roles.
const ROLE_SUFFIX: &str = ".role.kingcuplift";
/// Suffix of the DNS name that states the name of the process.
const NAME_SUFFIX: &str = ".name.kingcuplift";
/// Suffix of the DNS name that states the availability zone.
const ZONE_SUFFIX: &str = ".zone.kingcuplift";

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Stores the configuration.
    Source,
    /// Distributes configuration updates to nodes.
    Relay,
    /// Sidecar proxy that serves calls beside a target.
    Node,
}

/// Roles of a process.
pub type RoleSet = BTreeSet<Role>;

impl Role {
    /// Returns the name used in settings and certificates.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Source => "source",
            Self::Relay => "relay",
            Self::Node => "node",
        }
    }

    /// Returns the DNS name by which a certificate states this role.
    pub fn server_name(self) -> String {
        format!("{}{ROLE_SUFFIX}", self.as_str())
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "source" => Ok(Self::Source),
            "relay" => Ok(Self::Relay),
            "node" => Ok(Self::Node),
            _ => Err(format!("{text:?} is not a role; use source, relay or node")),
        }
    }
}

/// Name, availability zone and roles of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Name of the process.
    pub name: NodeName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Roles.
    pub roles: RoleSet,
}

impl ProcessIdentity {
    /// Returns the DNS names that state the identity.
    pub(crate) fn dns_names(&self) -> Vec<String> {
        let mut names =
            vec![format!("{}{NAME_SUFFIX}", self.name), format!("{}{ZONE_SUFFIX}", self.zone)];
        names.extend(self.roles.iter().map(|role| role.server_name()));
        names
    }

    /// Reads the identity from a DER certificate, or returns `None` if its name or availability zone is missing or
    /// invalid.
    pub fn from_certificate(der: &[u8]) -> Option<Self> {
        let (_, certificate) = X509Certificate::from_der(der).ok()?;
        let extension = certificate.subject_alternative_name().ok()??;
        let names: Vec<&str> = extension
            .value
            .general_names
            .iter()
            .filter_map(|name| match name {
                GeneralName::DNSName(text) => Some(*text),
                _ => None,
            })
            .collect();
        let find = |suffix: &str| names.iter().find_map(|name| name.strip_suffix(suffix));
        let roles: RoleSet =
            names.iter().filter_map(|name| name.strip_suffix(ROLE_SUFFIX)?.parse().ok()).collect();
        let name = find(NAME_SUFFIX)?.parse().ok()?;
        let zone = find(ZONE_SUFFIX)?.parse().ok()?;
        Some(Self { name, zone, roles })
    }
}
