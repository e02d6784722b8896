//! Backs up the state of the source and creates a new group from a backup.

use kingcuplift_config::Catalog;
use kingcuplift_core::MemberId;
use kingcuplift_quorum::{DiskFolder, Store, StoreError};
use kingcuplift_schema::quorum::{Membership, Snapshot, Voter};

use crate::cli::{Backup, Restore};
use crate::client::{Request, SourceClient};
use crate::error::CommandError;

/// Index and term of the snapshot that a restored group starts from.
const INITIAL_POSITION: u64 = 1;

/// Writes the whole state of the source to a file.
pub(crate) async fn backup(source: &SourceClient, arguments: &Backup) -> Result<(), CommandError> {
    let bytes = source.fetch(&Request::get("/v1/backup")).await?;
    let catalog = decode_backup(&bytes)?;
    std::fs::write(&arguments.out, &bytes)
        .map_err(|source| CommandError::File { path: arguments.out.clone(), source })?;
    println!("{}: version {}", arguments.out.display(), catalog.head());
    Ok(())
}

/// Creates a data folder with a new group of one member.
pub(crate) fn restore(arguments: &Restore) -> Result<(), CommandError> {
    let bytes = std::fs::read(&arguments.backup)
        .map_err(|source| CommandError::File { path: arguments.backup.clone(), source })?;
    let catalog = decode_backup(&bytes)?;
    let (disk, group) = (random_id(), random_id());
    let voter = Voter {
        id: arguments.id,
        disk,
        listen: arguments.listen.to_string(),
        http: arguments.http.to_string(),
        ..Voter::default()
    };
    let snapshot = Snapshot {
        index: INITIAL_POSITION,
        term: INITIAL_POSITION,
        membership: Some(Membership { group, voters: vec![voter], learners: Vec::new() }),
        state: catalog.encode(),
    };
    let folder = DiskFolder::open(&arguments.data)
        .map_err(|source| CommandError::File { path: arguments.data.clone(), source })?;
    let (mut store, recovery) = Store::open(folder, MemberId::new(arguments.id), disk)?;
    if recovery.identity.disk != disk {
        let path = arguments.data.display();
        let detail = format!("{path} already holds the state of a member; use an empty folder");
        return Err(CommandError::Argument(detail));
    }
    store.save_snapshot(&snapshot)?;
    println!("{}: version {}", arguments.data.display(), catalog.head());
    Ok(())
}

fn decode_backup(bytes: &[u8]) -> Result<Catalog, CommandError> {
    let state = zstd::decode_all(bytes)
        .map_err(|error| CommandError::Argument(format!("the backup is damaged: {error}")))?;
    Catalog::decode(&state)
        .map_err(|error| CommandError::Argument(format!("the backup is damaged: {error}")))
}

/// Returns a random number other than 0.
fn random_id() -> u64 {
    uuid::Uuid::new_v4().as_u64_pair().0.max(1)
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        Self::Argument(format!("{error} (code {})", error.code().number()))
    }
}
