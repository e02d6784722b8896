//! Access to the data folder.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// File that is locked while a process uses the folder.
const LOCK_FILE: &str = "lock";

/// Files in one flat folder.
pub trait Folder {
    /// Lists the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, creating it when it is missing.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes the creation, renaming and deletion of files durable.
    fn sync_names(&mut self) -> io::Result<()>;
    /// Makes durable both the content of a file and the creation, renaming and deletion of files, in the time of one sync if
    /// possible.
    fn sync_with_names(&mut self, name: &str) -> io::Result<()> {
        self.sync(name)?;
        self.sync_names()
    }
    /// Truncates a file to `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file, replacing any file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Deletes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder on a disk, locked against other processes.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    lock: File,
    open: Option<(String, File)>,
}

impl DiskFolder {
    /// Opens a folder, creating it when it is missing.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::WouldBlock`] when another process has locked the folder.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).append(true).open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), lock, open: None }),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Returns the file `name`, opened for appending.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let open = self.open.take().filter(|(open_name, _)| open_name == name);
        let file = match open {
            Some((_, file)) => file,
            None => OpenOptions::new().create(true).append(true).open(self.path.join(name))?,
        };
        let (_, file) = self.open.insert((name.to_owned(), file));
        Ok(file)
    }
}

impl Drop for DiskFolder {
    fn drop(&mut self) {
        // Closing the file releases the lock even if this fails.
        drop(self.lock.unlock());
    }
}

impl Folder for DiskFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn sync_with_names(&mut self, name: &str) -> io::Result<()> {
        let names = File::open(&self.path)?;
        let file = self.file(name)?;
        std::thread::scope(|scope| {
            let sync_names = || names.sync_all();
            let thread = std::thread::Builder::new().name("names".to_owned());
            let started = thread.spawn_scoped(scope, sync_names);
            file.sync_data()?;
            match started {
                Ok(thread) => {
                    thread.join().unwrap_or_else(|_| Err(io::Error::other("the sync panicked")))
                }
                // Without a thread, one sync follows the other.
                Err(_) => sync_names(),
            }
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        std::fs::remove_file(self.path.join(name))
    }
}
