//! Creates certificate authorities and issues certificates.

use std::fs::{OpenOptions, create_dir_all};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use kingcuplift_keys::{CertificateAuthority, ProcessIdentity, RoleSet};

use crate::cli::{Keys, KeysInit, KeysIssue, KeysVerb};
use crate::command::check::read_text;
use crate::error::CommandError;

/// File with the certificate of the authority.
const CA_CERTIFICATE: &str = "ca.pem";
/// File with the private key of the authority.
const CA_KEY: &str = "ca.key";
/// File mode that lets only the owner read and write.
const PRIVATE_FILE_MODE: u32 = 0o600;

/// Runs a subcommand of `keys`.
pub(crate) fn keys(arguments: &Keys) -> Result<(), CommandError> {
    match &arguments.verb {
        KeysVerb::Init(options) => init(options),
        KeysVerb::Issue(options) => issue(options),
    }
}

fn init(arguments: &KeysInit) -> Result<(), CommandError> {
    let dir = &arguments.dir;
    create_dir_all(dir).map_err(|source| CommandError::File { path: dir.clone(), source })?;
    if dir.join(CA_KEY).exists() {
        let detail =
            format!("{} already holds a certificate authority; use another folder", dir.display());
        return Err(CommandError::Argument(detail));
    }
    let (authority, key) = CertificateAuthority::generate()?;
    write_private(&dir.join(CA_CERTIFICATE), authority.certificate())?;
    write_private(&dir.join(CA_KEY), &key)
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
    write_private(&dir.join(format!("{}.pem", arguments.name)), &issued.certificate)?;
    write_private(&dir.join(format!("{}.key", arguments.name)), &issued.key)
}

/// Writes a file that only the owner can read.
fn write_private(path: &Path, text: &str) -> Result<(), CommandError> {
    let file_error = |source| CommandError::File { path: path.to_owned(), source };
    let mut options = OpenOptions::new();
    options.create(true).write(true).truncate(true).mode(PRIVATE_FILE_MODE);
    let mut file = options.open(path).map_err(file_error)?;
    file.write_all(text.as_bytes()).map_err(file_error)
}
