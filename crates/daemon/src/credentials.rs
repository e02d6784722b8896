//! Loads the certificate files and reloads them when they change.

use std::path::Path;
use std::time::{Duration, SystemTime};

use kingcuplift_core::Event;
use kingcuplift_keys::{CertificateAuthority, Credentials, ProcessIdentity};

use crate::error::StartError;
use crate::link::{Endpoint, Security};
use crate::options::{KeyOptions, Options};

/// Interval of the checks for changed certificate files.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Loads the certificate files or generates temporary certificates, unless links use plaintext TCP.
pub(crate) fn load(options: &Options) -> Result<Security, StartError> {
    let identity = || ProcessIdentity {
        name: options.name.clone(),
        zone: options.zone.clone(),
        roles: options.roles.clone(),
    };
    match &options.keys {
        KeyOptions::None => Ok(Security::Plaintext(identity())),
        KeyOptions::Temporary => {
            let (authority, _) = CertificateAuthority::generate()?;
            let issued = authority.issue(&identity())?;
            Ok(Security::Tls(Credentials {
                authority: authority.certificate().to_owned(),
                certificate: issued.certificate,
                key: issued.key,
            }))
        }
        KeyOptions::Files { .. } => read_files(&options.keys).map(Security::Tls),
    }
}

/// Replaces the credentials of the endpoints whenever the certificate files change.
///
/// Unreadable or mismatched files are logged, and the old credentials stay in use.
pub(crate) async fn watch(keys: KeyOptions, endpoints: Vec<Endpoint>) {
    if !matches!(keys, KeyOptions::Files { .. }) {
        return;
    }
    let mut loaded = modification_times(&keys);
    let mut previous = loaded.clone();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let current = modification_times(&keys);
        // The files may be replaced one after the other, so they are loaded only when unchanged since the last check.
        let is_stable = current == previous;
        previous.clone_from(&current);
        if current == loaded || !is_stable {
            continue;
        }
        loaded = current;
        match reload(&keys, &endpoints) {
            Ok(()) => Event::KeysRenewed.emit(&[]),
            Err(error) => Event::KeysRefused.emit(&[("reason", &error)]),
        }
    }
}

fn reload(keys: &KeyOptions, endpoints: &[Endpoint]) -> Result<(), StartError> {
    let credentials = read_files(keys)?;
    for endpoint in endpoints {
        endpoint.set_credentials(&credentials)?;
    }
    Ok(())
}

fn read_files(keys: &KeyOptions) -> Result<Credentials, StartError> {
    let [authority, certificate, key] = paths(keys).map(read_file);
    Ok(Credentials { authority: authority?, certificate: certificate?, key: key? })
}

fn read_file(path: &Path) -> Result<String, StartError> {
    std::fs::read_to_string(path)
        .map_err(|source| StartError::KeyFile { path: path.to_owned(), source })
}

/// Returns the modification time of each file.
fn modification_times(keys: &KeyOptions) -> Vec<Option<SystemTime>> {
    let time = |path: &Path| std::fs::metadata(path).and_then(|meta| meta.modified()).ok();
    paths(keys).map(time).to_vec()
}

/// Returns the paths of authority, certificate and key; empty paths if there are no files.
fn paths(keys: &KeyOptions) -> [&Path; 3] {
    match keys {
        KeyOptions::None | KeyOptions::Temporary => [Path::new(""); 3],
        KeyOptions::Files { authority, certificate, key } => [authority, certificate, key],
    }
}
