//! Durable state of a member: a segmented log, snapshots and the identity of the disk.
//!
//! Each write is one frame, so only the last frame of the last segment can be incomplete after a crash.
//! Any other damage is an error with the file and offset. The first frame of a log contains the membership with which the
//! member has joined its group, so that joining takes no write of its own.

use std::io;

use kingcuplift_core::{ByteSize, MemberId, ResultCode};
use kingcuplift_schema::Message;
use kingcuplift_schema::quorum::{Batch, DiskIdentity, Entry, HardState, Membership, Snapshot};
use thiserror::Error;

use crate::folder::Folder;
use crate::frame;
use crate::replica::{Identity, Restored};

/// Size at which a new segment is started.
const SEGMENT_SIZE: ByteSize = ByteSize::mib(8);
/// File with the disk's identity.
const IDENTITY_FILE: &str = "identity";
/// Prefix of the names of segments.
const SEGMENT_PREFIX: &str = "log-";
/// Prefix of the names of snapshots.
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// File that is renamed once it is completely written.
const TEMPORARY_FILE: &str = "temporary";

/// One write.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries; they replace all stored entries from the first one's index on.
    pub entries: Vec<Entry>,
    /// Membership with which the member joins its group.
    pub joined: Option<Membership>,
}

impl Record {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.entries.is_empty() && self.joined.is_none()
    }
}

/// Reason why the durable state can't be read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file system reported an error.
    #[error("I/O error in the data folder at {file}: {source}")]
    Io {
        /// File.
        file: String,
        /// Error.
        source: io::Error,
    },
    /// A frame is damaged, and it is not an incomplete write at the end of the log.
    #[error("{file} is damaged at offset {offset}; replace this member or restore a backup")]
    Damaged {
        /// File.
        file: String,
        /// Offset of the damage, in bytes.
        offset: u64,
    },
    /// The log has a gap.
    #[error("{file} lacks entries before index {index}; replace this member or restore a backup")]
    Gap {
        /// File.
        file: String,
        /// First index after the gap.
        index: u64,
    },
    /// The folder belongs to another member.
    #[error("the data folder belongs to member {owner}, not {expected}; correct the settings")]
    Foreign {
        /// Member that the folder belongs to.
        owner: MemberId,
        /// Member in the settings.
        expected: MemberId,
    },
    /// Another process has locked the folder.
    #[error("another process uses the data folder; stop it first")]
    Locked,
}

impl StoreError {
    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Io { .. } => ResultCode::StorageFailed,
            Self::Damaged { .. } | Self::Gap { .. } => ResultCode::LogDamaged,
            Self::Foreign { .. } => ResultCode::FolderForeign,
            Self::Locked => ResultCode::FolderLocked,
        }
    }
}

/// Result of opening a folder.
#[derive(Debug)]
pub struct Recovery {
    /// Identity of the member and its disk.
    pub identity: Identity,
    /// Durable state.
    pub restored: Restored,
    /// Number of bytes of an incomplete write that were truncated.
    pub truncated: u64,
}

/// Expected owner of a folder.
#[derive(Debug, Clone, Copy)]
enum Owner {
    /// This member only.
    Only(MemberId),
    /// Any member; an empty folder is assigned to this one.
    Any(MemberId),
}

/// A segment of the log.
#[derive(Debug)]
struct Segment {
    number: u64,
    /// Highest entry index in the segment.
    last: u64,
}

/// Durable state of a member.
#[derive(Debug)]
pub struct Store<F> {
    folder: F,
    segments: Vec<Segment>,
    /// Size of the last segment, in bytes.
    segment_size: u64,
    /// Checksum of the last frame.
    last_checksum: u32,
    hard_state: HardState,
    /// Membership with which the member has joined its group, as long as the log contains it.
    joined: Option<Membership>,
    snapshot_index: u64,
    /// Size of the write that failed last, in bytes.
    failed_size: usize,
}

impl<F: Folder> Store<F> {
    /// Opens the durable state of member `id`; an empty folder gets `new_disk` as its identity.
    pub fn open(folder: F, id: MemberId, new_disk: u64) -> Result<(Self, Recovery), StoreError> {
        Self::open_as(folder, Owner::Only(id), new_disk)
    }

    /// Opens the durable state of any member.
    ///
    /// An empty folder gets `new_member` as its owner and `new_disk` as its identity.
    pub fn open_any(
        folder: F,
        new_member: MemberId,
        new_disk: u64,
    ) -> Result<(Self, Recovery), StoreError> {
        Self::open_as(folder, Owner::Any(new_member), new_disk)
    }

    fn open_as(folder: F, owner: Owner, new_disk: u64) -> Result<(Self, Recovery), StoreError> {
        let mut store = Self {
            folder,
            segments: Vec::new(),
            segment_size: 0,
            last_checksum: 0,
            hard_state: HardState::default(),
            joined: None,
            snapshot_index: 0,
            failed_size: 0,
        };
        let identity = store.open_identity(owner, new_disk)?;
        let recovery = store.read_all(identity)?;
        store.sync_all()?;
        Ok((store, recovery))
    }

    /// Makes durable what was read, or a new identity: the process may have been killed between a write and its sync.
    fn sync_all(&mut self) -> Result<(), StoreError> {
        let name = match self.segments.is_empty() {
            true => IDENTITY_FILE.to_owned(),
            false => self.current_segment_name(),
        };
        self.folder.sync_with_names(&name).map_err(|e| io_error(&name, e))
    }

    /// Reads the state again after a failed write, and makes all of it durable.
    ///
    /// After a failed sync, the operating system may return data that never reached the disk and report the next sync
    /// of the same file as successful. The end of the log is therefore written to a new file. That file must have room for
    /// the write that failed, too: on a disk with little space left, the next write would fail again.
    ///
    /// # Errors
    ///
    /// Returns an error while the folder can't be read or written; the call may be repeated.
    pub fn recover(&mut self) -> Result<Recovery, StoreError> {
        self.segments.clear();
        self.segment_size = 0;
        self.last_checksum = 0;
        self.hard_state = HardState::default();
        self.joined = None;
        self.snapshot_index = 0;
        let bytes = self.read(IDENTITY_FILE)?;
        let identity = decode_single_frame::<DiskIdentity>(IDENTITY_FILE, &bytes)?;
        let identity = Identity { id: MemberId::new(identity.member), disk: identity.disk };
        let recovery = self.read_all(identity)?;
        if !self.segments.is_empty() {
            let name = self.current_segment_name();
            let bytes = self.read(&name)?;
            self.write_file_with_room(&name, &bytes, self.failed_size)?;
        }
        self.failed_size = 0;
        Ok(recovery)
    }

    /// Reads the snapshot and the log.
    fn read_all(&mut self, identity: Identity) -> Result<Recovery, StoreError> {
        let mut snapshot = self.read_snapshot()?;
        let (entries, truncated) = self.read_segments(&snapshot)?;
        if snapshot.membership.is_none() {
            snapshot.membership.clone_from(&self.joined);
        }
        let restored = Restored { hard_state: self.hard_state, snapshot, entries };
        Ok(Recovery { identity, restored, truncated })
    }

    /// Returns the folder.
    pub fn folder(&self) -> &F {
        &self.folder
    }

    /// Returns the folder for changes to its surroundings; its files must not be modified.
    pub fn folder_mut(&mut self) -> &mut F {
        &mut self.folder
    }

    /// Closes the store and returns the folder.
    pub fn into_folder(self) -> F {
        self.folder
    }

    /// Writes records as one frame and syncs them.
    pub fn save(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let mut batch = Batch::default();
        for record in records {
            if let Some(hard_state) = record.hard_state {
                self.hard_state = hard_state;
                batch.hard = Some(hard_state);
            }
            if let Some(first) = record.entries.first() {
                batch.entries.retain(|entry| entry.index < first.index);
                batch.entries.extend(record.entries.iter().cloned());
            }
            if record.joined.is_some() {
                self.joined.clone_from(&record.joined);
                batch.joined.clone_from(&record.joined);
            }
        }
        if self.segment_size >= SEGMENT_SIZE.get() || self.segments.is_empty() {
            self.start_segment();
        }
        let is_new_segment = self.segment_size == 0;
        if is_new_segment {
            batch.hard = Some(self.hard_state);
        }
        let last = batch.entries.last().map(|entry| entry.index);
        let (bytes, checksum) = frame::encode(self.last_checksum, &batch.encode_to_vec());
        let name = self.current_segment_name();
        self.failed_size = bytes.len();
        self.folder.append(&name, &bytes).map_err(|e| io_error(&name, e))?;
        let synced = match is_new_segment {
            true => self.folder.sync_with_names(&name),
            false => self.folder.sync(&name),
        };
        synced.map_err(|e| io_error(&name, e))?;
        self.failed_size = 0;
        self.segment_size += bytes.len() as u64;
        self.last_checksum = checksum;
        if let (Some(segment), Some(last)) = (self.segments.last_mut(), last) {
            segment.last = segment.last.max(last);
        }
        Ok(())
    }

    /// Writes a snapshot and deletes the snapshots and segments that it supersedes.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let (bytes, _) = frame::encode(0, &snapshot.encode_to_vec());
        self.failed_size = bytes.len();
        self.write_file(&snapshot_name(snapshot.index), &bytes)?;
        self.failed_size = 0;
        self.snapshot_index = snapshot.index;
        let mut has_removed = false;
        for name in self.list()? {
            let is_old = parse_name(&name, SNAPSHOT_PREFIX).is_some_and(|n| n < snapshot.index);
            if is_old {
                self.folder.remove(&name).map_err(|e| io_error(&name, e))?;
                has_removed = true;
            }
        }
        self.delete_covered_segments(has_removed)
    }

    /// Deletes the segments that the snapshot covers, except the last one; `has_removed` tells whether other files were
    /// removed and that is not synced yet.
    ///
    /// Each deletion is durable before the next one: a loss of power could otherwise keep a segment without its successor,
    /// which reads as a damaged log.
    fn delete_covered_segments(&mut self, mut has_removed: bool) -> Result<(), StoreError> {
        while self.segments.len() > 1 && self.segments[0].last <= self.snapshot_index {
            self.sync_removal(has_removed)?;
            let name = segment_name(self.segments[0].number);
            self.folder.remove(&name).map_err(|e| io_error(&name, e))?;
            self.segments.remove(0);
            has_removed = true;
        }
        self.sync_removal(has_removed)
    }

    fn sync_removal(&mut self, has_removed: bool) -> Result<(), StoreError> {
        match has_removed {
            true => self.folder.sync_names().map_err(|e| io_error(".", e)),
            false => Ok(()),
        }
    }

    /// Writes a file atomically: after a crash it exists completely or not at all.
    fn write_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.write_file_with_room(name, bytes, 0)
    }

    /// Writes a file atomically, on a disk that has room for a file with `room` more bytes.
    fn write_file_with_room(
        &mut self,
        name: &str,
        bytes: &[u8],
        room: usize,
    ) -> Result<(), StoreError> {
        let folder = &mut self.folder;
        let exists =
            folder.list().map_err(|e| io_error(".", e))?.iter().any(|n| n == TEMPORARY_FILE);
        if exists {
            folder.remove(TEMPORARY_FILE).map_err(|e| io_error(TEMPORARY_FILE, e))?;
        }
        folder.append(TEMPORARY_FILE, bytes).map_err(|e| io_error(TEMPORARY_FILE, e))?;
        if room > 0 {
            folder
                .append(TEMPORARY_FILE, &vec![0; room])
                .map_err(|e| io_error(TEMPORARY_FILE, e))?;
            folder.sync(TEMPORARY_FILE).map_err(|e| io_error(TEMPORARY_FILE, e))?;
            let length = bytes.len() as u64;
            folder.truncate(TEMPORARY_FILE, length).map_err(|e| io_error(TEMPORARY_FILE, e))?;
        }
        folder.sync(TEMPORARY_FILE).map_err(|e| io_error(TEMPORARY_FILE, e))?;
        folder.rename(TEMPORARY_FILE, name).map_err(|e| io_error(name, e))?;
        folder.sync_names().map_err(|e| io_error(".", e))
    }

    /// Starts a segment; the next write creates its file.
    fn start_segment(&mut self) {
        let number = self.segments.last().map_or(1, |segment| segment.number + 1);
        self.segments.push(Segment { number, last: 0 });
        self.segment_size = 0;
    }

    fn current_segment_name(&self) -> String {
        segment_name(self.segments.last().map_or(1, |segment| segment.number))
    }

    fn list(&self) -> Result<Vec<String>, StoreError> {
        self.folder.list().map_err(|e| io_error(".", e))
    }

    fn read(&self, name: &str) -> Result<Vec<u8>, StoreError> {
        self.folder.read(name).map_err(|e| io_error(name, e))
    }

    fn open_identity(&mut self, owner: Owner, new_disk: u64) -> Result<Identity, StoreError> {
        let names = self.list()?;
        let has_state = names
            .iter()
            .any(|name| name.starts_with(SEGMENT_PREFIX) || name.starts_with(SNAPSHOT_PREFIX));
        if !names.iter().any(|name| name == IDENTITY_FILE) {
            return self.create_identity(owner, new_disk, has_state);
        }
        let bytes = self.read(IDENTITY_FILE)?;
        let identity = match decode_single_frame::<DiskIdentity>(IDENTITY_FILE, &bytes) {
            Ok(identity) => identity,
            Err(error) if has_state => return Err(error),
            // The power was lost before the file was synced, so that no other process knows this identity.
            Err(_) => {
                self.folder.remove(IDENTITY_FILE).map_err(|e| io_error(IDENTITY_FILE, e))?;
                return self.create_identity(owner, new_disk, has_state);
            }
        };
        let member = MemberId::new(identity.member);
        match owner {
            Owner::Only(expected) if expected != member => {
                Err(StoreError::Foreign { owner: member, expected })
            }
            Owner::Only(_) | Owner::Any(_) => Ok(Identity { id: member, disk: identity.disk }),
        }
    }

    /// Writes the identity of an empty folder; the caller syncs it.
    fn create_identity(
        &mut self,
        owner: Owner,
        new_disk: u64,
        has_state: bool,
    ) -> Result<Identity, StoreError> {
        if has_state {
            return Err(StoreError::Damaged { file: IDENTITY_FILE.to_owned(), offset: 0 });
        }
        let (Owner::Only(id) | Owner::Any(id)) = owner;
        let identity = DiskIdentity { member: id.get(), disk: new_disk };
        let (bytes, _) = frame::encode(0, &identity.encode_to_vec());
        self.folder.append(IDENTITY_FILE, &bytes).map_err(|e| io_error(IDENTITY_FILE, e))?;
        Ok(Identity { id, disk: new_disk })
    }

    fn read_snapshot(&mut self) -> Result<Snapshot, StoreError> {
        let names = self.list()?;
        let newest = names
            .iter()
            .filter_map(|name| Some((parse_name(name, SNAPSHOT_PREFIX)?, name)))
            .max_by_key(|(index, _)| *index);
        let Some((index, name)) = newest else {
            return Ok(Snapshot::default());
        };
        let bytes = self.read(name)?;
        self.snapshot_index = index;
        decode_single_frame::<Snapshot>(name, &bytes)
    }

    /// Reads all segments and returns the entries after the snapshot.
    fn read_segments(&mut self, snapshot: &Snapshot) -> Result<(Vec<Entry>, u64), StoreError> {
        let mut numbers: Vec<u64> =
            self.list()?.iter().filter_map(|name| parse_name(name, SEGMENT_PREFIX)).collect();
        numbers.sort_unstable();
        let mut entries = Vec::new();
        let mut truncated = 0;
        for (i, number) in numbers.iter().enumerate() {
            let is_last = i + 1 == numbers.len();
            truncated += self.read_segment(*number, i == 0, is_last, &mut entries)?;
        }
        let remaining = after_snapshot(entries, snapshot);
        let first = remaining.first().map(|entry| entry.index);
        match first {
            Some(index) if index != snapshot.index + 1 => {
                Err(StoreError::Gap { file: self.current_segment_name(), index })
            }
            _ => Ok((remaining, truncated)),
        }
    }

    /// Reads one segment and returns the number of bytes truncated at its end.
    fn read_segment(
        &mut self,
        number: u64,
        is_first: bool,
        is_last: bool,
        entries: &mut Vec<Entry>,
    ) -> Result<u64, StoreError> {
        let name = segment_name(number);
        let bytes = self.read(&name)?;
        let damaged =
            |offset: usize| StoreError::Damaged { file: name.clone(), offset: offset as u64 };
        let mut at = 0;
        let mut last = 0;
        while at < bytes.len() {
            let Some(frame) = frame::decode(&bytes[at..]) else {
                let valid_frame_follows = frame::contains_valid_frame(&bytes[at + 1..]);
                if valid_frame_follows || !is_last {
                    return Err(damaged(at));
                }
                break;
            };
            let is_chained = frame.previous == self.last_checksum || (is_first && at == 0);
            let batch = Batch::decode(frame.body).ok().filter(|_| is_chained);
            let batch = batch.ok_or_else(|| damaged(at))?;
            self.hard_state = batch.hard.unwrap_or(self.hard_state);
            if batch.joined.is_some() {
                self.joined = batch.joined;
            }
            last = batch.entries.last().map_or(last, |entry| last.max(entry.index));
            if !extend_entries(entries, batch.entries) {
                return Err(damaged(at));
            }
            self.last_checksum = frame.checksum;
            at += frame.len();
        }
        self.segments.push(Segment { number, last });
        self.segment_size = at as u64;
        let truncated = (bytes.len() - at) as u64;
        if truncated > 0 {
            self.folder.truncate(&name, at as u64).map_err(|e| io_error(&name, e))?;
            self.folder.sync(&name).map_err(|e| io_error(&name, e))?;
        }
        Ok(truncated)
    }
}

/// Appends entries, replacing all entries from the first one's index on; returns false if one is missing.
fn extend_entries(entries: &mut Vec<Entry>, added: Vec<Entry>) -> bool {
    let Some(first) = added.first().map(|entry| entry.index) else {
        return true;
    };
    let start = entries.first().map_or(first, |entry| entry.index);
    let next = start + entries.len() as u64;
    match first {
        _ if first > next => entries.clear(),
        _ if first < start => entries.clear(),
        _ => entries.truncate((first - start) as usize),
    }
    entries.extend(added);
    entries.windows(2).all(|pair| pair[0].index + 1 == pair[1].index)
}

/// Returns the entries after the snapshot, or none if the log conflicts with the snapshot.
fn after_snapshot(entries: Vec<Entry>, snapshot: &Snapshot) -> Vec<Entry> {
    let at = entries.iter().find(|entry| entry.index == snapshot.index);
    match at {
        Some(entry) if entry.term != snapshot.term => Vec::new(),
        _ => entries.into_iter().filter(|entry| entry.index > snapshot.index).collect(),
    }
}

/// Decodes a file that consists of one frame.
fn decode_single_frame<M: Message + Default>(name: &str, bytes: &[u8]) -> Result<M, StoreError> {
    let frame = frame::decode(bytes).filter(|frame| frame.len() == bytes.len());
    match frame.and_then(|frame| M::decode(frame.body).ok()) {
        Some(message) => Ok(message),
        None => Err(StoreError::Damaged { file: name.to_owned(), offset: 0 }),
    }
}

fn io_error(file: &str, source: io::Error) -> StoreError {
    match source.kind() {
        io::ErrorKind::WouldBlock => StoreError::Locked,
        _ => StoreError::Io { file: file.to_owned(), source },
    }
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016}")
}

fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:016}")
}

fn parse_name(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}
