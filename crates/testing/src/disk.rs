//! An in-memory folder that loses unsynced data in a crash and injects I/O errors.

use std::collections::BTreeMap;
use std::io;

use kingcuplift_quorum::Folder;

/// Identifies a file independently of its name, like an inode number.
type FileId = u64;

#[derive(Debug, Clone, Default)]
struct File {
    data: Vec<u8>,
    durable: Vec<u8>,
    /// Whether a sync has failed; as on Linux, later ones then succeed without writing the affected data.
    is_poisoned: bool,
}

/// Injected I/O error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskFault {
    /// Every sync fails.
    Sync,
    /// Every append writes half of its bytes, then fails.
    Full,
    /// No file grows beyond this number of bytes.
    Limit(usize),
}

/// Change of a file's name that is not durable yet.
#[derive(Debug, Clone)]
enum NameChange {
    Create(String, FileId),
    Rename(String, String),
    Remove(String),
}

/// An in-memory [`Folder`] that tracks which data and names are durable.
#[derive(Debug, Clone, Default)]
pub struct FakeDisk {
    files: BTreeMap<FileId, File>,
    names: BTreeMap<String, FileId>,
    durable_names: BTreeMap<String, FileId>,
    /// Changes since the names were synced last, in their order.
    name_changes: Vec<NameChange>,
    next: FileId,
    /// I/O error that is injected at present.
    pub fault: Option<DiskFault>,
    /// Number of changes until the power is lost: later ones fail and have no effect.
    pub calls_until_loss: Option<usize>,
    /// Number of syncs in series so far.
    pub syncs: usize,
}

impl FakeDisk {
    /// Simulates a power failure: discards what was not synced, and clears the injected fault.
    ///
    /// Of the `n` bytes appended to a file since its last sync, the first `kept % (n + 1)` survive.
    pub fn crash(&mut self, kept: usize) {
        self.crash_keeping_names(kept, |_| false);
    }

    /// Simulates a power failure after which some changes of names are kept though they were not synced.
    ///
    /// `is_kept` selects them by their position among the changes since the last sync of the names.
    pub fn crash_keeping_names(&mut self, kept: usize, is_kept: impl Fn(usize) -> bool) {
        let mut names = self.durable_names.clone();
        for (at, change) in std::mem::take(&mut self.name_changes).into_iter().enumerate() {
            match change {
                _ if !is_kept(at) => {}
                NameChange::Create(name, id) => drop(names.insert(name, id)),
                NameChange::Rename(from, to) => {
                    let id = names.remove(&from);
                    names.extend(id.map(|id| (to, id)));
                }
                NameChange::Remove(name) => drop(names.remove(&name)),
            }
        }
        self.durable_names.clone_from(&names);
        self.names = names;
        self.fault = None;
        self.calls_until_loss = None;
        for file in self.files.values_mut() {
            let appended = file.data.starts_with(&file.durable);
            if appended && file.data.len() > file.durable.len() {
                let unsynced = file.data.len() - file.durable.len();
                file.data.truncate(file.durable.len() + kept % (unsynced + 1));
            } else {
                file.data.clone_from(&file.durable);
            }
            file.durable.clone_from(&file.data);
            file.is_poisoned = false;
        }
    }

    /// Returns the number of changes of names since their last sync.
    pub fn unsynced_names(&self) -> usize {
        self.name_changes.len()
    }

    /// Counts a change; returns an error once the power is lost.
    fn use_power(&mut self) -> io::Result<()> {
        match &mut self.calls_until_loss {
            Some(0) => Err(io::Error::other("the power is lost")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Returns the names of the files.
    pub fn file_names(&self) -> Vec<String> {
        self.names.keys().cloned().collect()
    }

    /// Flips bits in one byte of a file, at `offset` modulo its size.
    pub fn corrupt_byte(&mut self, name: &str, offset: usize) {
        let id = self.names[name];
        let file = self.files.get_mut(&id).expect("a named file exists");
        let at = offset % file.data.len();
        file.data[at] ^= 0x5a;
        file.durable.clone_from(&file.data);
    }

    /// Returns the size of a file in bytes.
    pub fn size(&self, name: &str) -> usize {
        self.files[&self.names[name]].data.len()
    }

    fn file(&mut self, name: &str) -> &mut File {
        let id = *self.names.entry(name.to_owned()).or_insert_with(|| {
            self.next += 1;
            self.name_changes.push(NameChange::Create(name.to_owned(), self.next));
            self.next
        });
        self.files.entry(id).or_default()
    }
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Folder for FakeDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.file_names())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let id = self.names.get(name).ok_or_else(not_found)?;
        Ok(self.files[id].data.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.use_power()?;
        let fault = self.fault;
        let file = self.file(name);
        let room = match fault {
            Some(DiskFault::Full) => bytes.len() / 2,
            Some(DiskFault::Limit(limit)) => limit.saturating_sub(file.data.len()),
            Some(DiskFault::Sync) | None => bytes.len(),
        };
        file.data.extend_from_slice(&bytes[..room.min(bytes.len())]);
        match fault {
            Some(DiskFault::Full) => Err(io::ErrorKind::StorageFull.into()),
            Some(DiskFault::Limit(_)) if room < bytes.len() => {
                Err(io::ErrorKind::FileTooLarge.into())
            }
            _ => Ok(()),
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.use_power()?;
        self.syncs += 1;
        let has_failed = self.fault == Some(DiskFault::Sync);
        let file = self.file(name);
        file.is_poisoned |= has_failed;
        match (has_failed, file.is_poisoned) {
            (true, _) => return Err(io::Error::other("injected sync failure")),
            (false, true) => {}
            (false, false) => file.durable.clone_from(&file.data),
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.use_power()?;
        self.syncs += 1;
        if self.fault == Some(DiskFault::Sync) {
            return Err(io::Error::other("injected sync failure"));
        }
        self.durable_names = self.names.clone();
        self.name_changes.clear();
        Ok(())
    }

    fn sync_with_names(&mut self, name: &str) -> io::Result<()> {
        // Either of the two may be done first.
        let before = self.syncs;
        match before.is_multiple_of(2) {
            true => self.sync(name).and_then(|()| self.sync_names())?,
            false => self.sync_names().and_then(|()| self.sync(name))?,
        }
        self.syncs = before + 1;
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.use_power()?;
        self.file(name).data.truncate(length as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.use_power()?;
        let id = self.names.remove(from).ok_or_else(not_found)?;
        self.names.insert(to.to_owned(), id);
        self.name_changes.push(NameChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.use_power()?;
        self.names.remove(name).ok_or_else(not_found)?;
        self.name_changes.push(NameChange::Remove(name.to_owned()));
        Ok(())
    }
}
