//! Reads the certificate files, and reads them again when they change.

use std::path::Path;
use std::time::{Duration, SystemTime};

use kingcuplift_core::Event;
use kingcuplift_keys::{CertificateAuthority, Credentials, ProcessIdentity};

use crate::error::StartError;
use crate::link::{Endpoint, Security};
use crate::options::{KeyOptions, Options};

/// Time between looks at the certificate files.
const POLL: Duration = Duration::from_secs(2);

/// Reads the certificate files, makes temporary certificates, or does without any.
pub(crate) fn load(options: &Options) -> Result<Security, StartError> {
    let own = || ProcessIdentity {
        name: options.name.clone(),
        zone: options.zone.clone(),
        roles: options.roles.clone(),
    };
    match &options.keys {
        KeyOptions::None => Ok(Security::Open(own())),
        KeyOptions::Temporary => {
            let (authority, _) = CertificateAuthority::generate()?;
            let issued = authority.issue(&own())?;
            Ok(Security::Keys(Credentials {
                authority: authority.certificate().to_owned(),
                certificate: issued.certificate,
                key: issued.key,
            }))
        }
        KeyOptions::Files { .. } => read(&options.keys).map(Security::Keys),
    }
}

/// Renews the credentials of the endpoints whenever the certificate files change.
///
/// Files that do not fit together are reported, and the old credentials stay in use.
pub(crate) async fn follow(keys: KeyOptions, endpoints: Vec<Endpoint>) {
    if !matches!(keys, KeyOptions::Files { .. }) {
        return;
    }
    let mut seen = modified(&keys);
    let mut tried = seen.clone();
    loop {
        tokio::time::sleep(POLL).await;
        let now = modified(&keys);
        // Files that were just written may not all be there yet.
        let is_settled = now == tried;
        tried.clone_from(&now);
        if now == seen || !is_settled {
            continue;
        }
        seen = now;
        match renew(&keys, &endpoints) {
            Ok(()) => Event::KeysRenewed.emit(&[]),
            Err(error) => Event::KeysRefused.emit(&[("reason", &error)]),
        }
    }
}

fn renew(keys: &KeyOptions, endpoints: &[Endpoint]) -> Result<(), StartError> {
    let credentials = read(keys)?;
    for endpoint in endpoints {
        endpoint.renew(&credentials)?;
    }
    Ok(())
}

fn read(keys: &KeyOptions) -> Result<Credentials, StartError> {
    let [authority, certificate, key] = files(keys).map(read_file);
    Ok(Credentials { authority: authority?, certificate: certificate?, key: key? })
}

fn read_file(path: &Path) -> Result<String, StartError> {
    std::fs::read_to_string(path)
        .map_err(|source| StartError::KeyFile { path: path.to_owned(), source })
}

/// Returns when each file was last changed.
fn modified(keys: &KeyOptions) -> Vec<Option<SystemTime>> {
    let time = |path: &Path| std::fs::metadata(path).and_then(|meta| meta.modified()).ok();
    files(keys).map(time).to_vec()
}

/// Returns the files of authority, certificate and key; empty paths where they are temporary.
fn files(keys: &KeyOptions) -> [&Path; 3] {
    match keys {
        KeyOptions::None | KeyOptions::Temporary => [Path::new(""); 3],
        KeyOptions::Files { authority, certificate, key } => [authority, certificate, key],
    }
}
