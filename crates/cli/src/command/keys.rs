//! Makes certificates.

use std::fs::{OpenOptions, create_dir_all};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use kingcuplift_keys::{CertificateAuthority, ProcessIdentity, RoleSet};

use crate::cli::{Keys, KeysInit, KeysIssue, KeysVerb};
use crate::command::check::read_text;
use crate::error::CommandError;

/// File with the authority's certificate.
const CA_CERTIFICATE: &str = "ca.pem";
/// File with the authority's private key.
const CA_KEY: &str = "ca.key";
/// Permissions of private keys: the owner alone.
const PRIVATE: u32 = 0o600;

/// Runs a verb on certificates.
pub(crate) fn keys(arguments: &Keys) -> Result<(), CommandError> {
    match &arguments.verb {
        KeysVerb::Init(verb) => init(verb),
        KeysVerb::Issue(verb) => issue(verb),
    }
}

fn init(arguments: &KeysInit) -> Result<(), CommandError> {
    let dir = &arguments.dir;
    create_dir_all(dir).map_err(|source| CommandError::File { path: dir.clone(), source })?;
    if dir.join(CA_KEY).exists() {
        let detail = format!("{} holds an authority already; use another folder", dir.display());
        return Err(CommandError::Argument(detail));
    }
    let (authority, key) = CertificateAuthority::generate()?;
    write(&dir.join(CA_CERTIFICATE), authority.certificate())?;
    write(&dir.join(CA_KEY), &key)
}

fn issue(arguments: &KeysIssue) -> Result<(), CommandError> {
    let dir = &arguments.dir;
    let mut roles = RoleSet::new();
    for text in arguments.roles.split(',') {
        roles.insert(text.trim().parse().map_err(CommandError::Argument)?);
    }
    let certificate = read_text(&dir.join(CA_CERTIFICATE))?;
    let authority = CertificateAuthority::load(&certificate, &read_text(&dir.join(CA_KEY))?)?;
    let (name, zone) = (arguments.name.clone(), arguments.zone.clone());
    let issued = authority.issue(&ProcessIdentity { name, zone, roles })?;
    write(&dir.join(format!("{}.pem", arguments.name)), &issued.certificate)?;
    write(&dir.join(format!("{}.key", arguments.name)), &issued.key)
}

/// Writes a file that only the owner can read.
fn write(path: &Path, text: &str) -> Result<(), CommandError> {
    let failed = |source| CommandError::File { path: path.to_owned(), source };
    let mut options = OpenOptions::new();
    options.create(true).write(true).truncate(true).mode(PRIVATE);
    let mut file = options.open(path).map_err(failed)?;
    file.write_all(text.as_bytes()).map_err(failed)
}
