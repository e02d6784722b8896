//! Storage: incomplete writes at the end are truncated; other damage is an error with the file and offset.

use kingcuplift_core::{MemberId, ResultCode};
use kingcuplift_quorum::{DiskFolder, Folder, Record, Store, StoreError};
use kingcuplift_schema::quorum::{Entry, HardState, Membership, Snapshot, entry};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use kingcuplift_testing::{DiskFault, FakeDisk};

const MEMBER: MemberId = MemberId::new(1);
/// Seed of the random damage.
const SEED: u64 = 42;
/// First segment file.
const FIRST_SEGMENT: &str = "log-0000000000000001";

fn entry(index: u64, term: u64) -> Entry {
    let command = format!("command {index} of term {term}").into_bytes();
    Entry { index, term, body: Some(entry::Body::Command(command.into())) }
}

fn record(index: u64, term: u64) -> Record {
    Record {
        hard_state: Some(HardState { term, vote: 1 }),
        entries: vec![entry(index, term)],
        ..Record::default()
    }
}

/// Returns a disk with entries 1 to `count`, each synced by itself.
fn disk_with_entries(count: u64) -> FakeDisk {
    let (mut store, _) = Store::open(FakeDisk::default(), MEMBER, 9).expect("an empty folder");
    for index in 1..=count {
        store.save(&[record(index, 1)]).expect("the disk works");
    }
    store.into_folder()
}

fn read(disk: FakeDisk) -> Result<Vec<Entry>, StoreError> {
    Store::open(disk, MEMBER, 10).map(|(_, recovery)| recovery.restored.entries)
}

fn entries(count: u64) -> Vec<Entry> {
    (1..=count).map(|index| entry(index, 1)).collect()
}

#[test]
fn synced_entries_return() {
    let mut disk = disk_with_entries(20);
    disk.crash(0);
    let (store, recovery) = Store::open(disk, MEMBER, 10).expect("the folder is intact");
    assert_eq!(recovery.restored.entries, entries(20));
    assert_eq!(recovery.restored.hard_state, HardState { term: 1, vote: 1 });
    assert_eq!(recovery.identity.disk, 9, "the disk keeps its identity");
    drop(store);
}

#[test]
fn torn_tail_at_every_byte() {
    let intact = disk_with_entries(5);
    let size = intact.size(FIRST_SEGMENT);
    let before = disk_with_entries(4).size(FIRST_SEGMENT);
    for length in before..size {
        let mut disk = intact.clone();
        disk.truncate(FIRST_SEGMENT, length as u64).expect("the file exists");
        let (mut store, recovery) =
            Store::open(disk, MEMBER, 10).expect("a torn tail is truncated");
        assert_eq!(recovery.restored.entries, entries(4));
        assert_eq!(recovery.truncated, (length - before) as u64);
        store.save(&[record(5, 1)]).expect("the disk works");
        assert_eq!(read(store.into_folder()).expect("the folder is intact"), entries(5));
    }
}

#[test]
fn damage_in_the_middle_is_named() {
    let frame = disk_with_entries(2).size(FIRST_SEGMENT) - disk_with_entries(1).size(FIRST_SEGMENT);
    let first = disk_with_entries(1).size(FIRST_SEGMENT);
    for offset in first..first + frame {
        let mut disk = disk_with_entries(5);
        disk.corrupt_byte(FIRST_SEGMENT, offset);
        let error = read(disk).expect_err("damage is refused");
        assert_eq!(error.code(), ResultCode::LogDamaged);
        let text = error.to_string();
        let expected = format!("{FIRST_SEGMENT} is damaged at offset {first}");
        assert!(text.contains(&expected), "{text}");
    }
}

/// A member that was killed between the write and the sync of an entry reads the entry back and vouches for it from
/// then on; a loss of power right after its restart took it away.
#[test]
fn entries_read_back_are_durable() {
    let mut disk = disk_with_entries(4);
    let written = disk.read(FIRST_SEGMENT).expect("the file exists");
    let synced = disk_with_entries(3).size(FIRST_SEGMENT);
    disk = disk_with_entries(3);
    disk.append(FIRST_SEGMENT, &written[synced..]).expect("the disk works");
    let (store, recovery) = Store::open(disk, MEMBER, 10).expect("the folder is intact");
    assert_eq!(recovery.restored.entries, entries(4));
    let mut disk = store.into_folder();
    disk.crash(0);
    assert_eq!(read(disk).expect("the folder is intact"), entries(4));
}

#[test]
fn overwritten_entries_stay_gone() {
    let (mut store, _) = Store::open(FakeDisk::default(), MEMBER, 9).expect("an empty folder");
    for index in 1..=5 {
        store.save(&[record(index, 1)]).expect("the disk works");
    }
    store.save(&[record(3, 2)]).expect("the disk works");
    let kept = read(store.into_folder()).expect("the folder is intact");
    assert_eq!(kept, vec![entry(1, 1), entry(2, 1), entry(3, 2)]);
}

#[test]
fn snapshot_replaces_entries() {
    let (mut store, _) = Store::open(FakeDisk::default(), MEMBER, 9).expect("an empty folder");
    for index in 1..=5 {
        store.save(&[record(index, 1)]).expect("the disk works");
    }
    let membership = Some(Membership { group: 4, ..Membership::default() });
    let snapshot = Snapshot { index: 4, term: 1, membership, state: b"state".to_vec() };
    store.save_snapshot(&snapshot).expect("the disk works");
    let mut disk = store.into_folder();
    disk.crash(0);
    let (_, recovery) = Store::open(disk, MEMBER, 10).expect("the folder is intact");
    assert_eq!(recovery.restored.snapshot, snapshot);
    assert_eq!(recovery.restored.entries, vec![entry(5, 1)]);
}

#[test]
fn segments_are_dropped() {
    let (mut store, _) = Store::open(FakeDisk::default(), MEMBER, 9).expect("an empty folder");
    let large_record = |index| {
        let command = vec![7; 1 << 20].into();
        Record {
            entries: vec![Entry { index, term: 1, body: Some(entry::Body::Command(command)) }],
            ..Record::default()
        }
    };
    store.save(&[record(1, 3)]).expect("the disk works");
    for index in 2..=30 {
        store.save(&[large_record(index)]).expect("the disk works");
    }
    let segments =
        |disk: &FakeDisk| disk.file_names().iter().filter(|n| n.starts_with("log-")).count();
    assert!(segments(store.folder()) > 2);
    let snapshot = Snapshot { index: 29, term: 1, ..Snapshot::default() };
    store.save_snapshot(&snapshot).expect("the disk works");
    assert!(segments(store.folder()) <= 2);
    let (_, recovery) = Store::open(store.into_folder(), MEMBER, 10).expect("the folder is intact");
    assert_eq!(
        recovery.restored.hard_state,
        HardState { term: 3, vote: 1 },
        "term and vote are kept"
    );
    assert_eq!(recovery.restored.entries.len(), 1);
}

/// A loss of power while segments were deleted kept an old one without its successor, and the member refused to start.
#[test]
fn interrupted_deletion_is_read() {
    let large_record = |index| {
        let command = vec![7; 1 << 20].into();
        let body = Some(entry::Body::Command(command));
        Record { entries: vec![Entry { index, term: 1, body }], ..Record::default() }
    };
    let (mut store, _) = Store::open(FakeDisk::default(), MEMBER, 9).expect("an empty folder");
    (1..=30).for_each(|index| store.save(&[large_record(index)]).expect("the disk works"));
    let snapshot = Snapshot { index: 29, term: 1, ..Snapshot::default() };
    let mut interrupted = 0;
    for calls in 1.. {
        let (mut store, _) = Store::open(store.folder().clone(), MEMBER, 9).expect("an intact log");
        store.folder_mut().calls_until_loss = Some(calls);
        let has_ended = store.save_snapshot(&snapshot).is_ok();
        let disk = store.into_folder();
        for kept in 0..1_u32 << disk.unsynced_names() {
            let mut disk = disk.clone();
            disk.crash_keeping_names(0, |at| kept >> at & 1 == 1);
            let (_, recovery) = Store::open(disk, MEMBER, 10)
                .unwrap_or_else(|error| panic!("after {calls} calls, names {kept:b}: {error}"));
            let restored = recovery.restored;
            let last = restored.entries.last().map_or(restored.snapshot.index, |last| last.index);
            assert_eq!(last, 30, "after {calls} calls, names {kept:b}");
            interrupted += 1;
        }
        if has_ended {
            break;
        }
    }
    assert!(interrupted > 10, "{interrupted}");
}

#[rstest]
#[case::sync(DiskFault::Sync)]
#[case::full(DiskFault::Full)]
fn failed_write_is_reported(#[case] fault: DiskFault) {
    let (mut store, _) = Store::open(disk_with_entries(3), MEMBER, 10).expect("reading works");
    store.folder_mut().fault = Some(fault);
    let error = store.save(&[record(4, 1)]).expect_err("the write fails");
    assert_eq!(error.code(), ResultCode::StorageFailed);
    let mut disk = store.into_folder();
    disk.crash(1_000);
    let kept = read(disk).expect("the folder is intact").len();
    assert!((3..=4).contains(&kept));
}

/// A member whose disk refused writes for a while goes on with what its folder contains, and loses nothing later.
#[rstest]
#[case::sync(DiskFault::Sync)]
#[case::full(DiskFault::Full)]
fn folder_recovers(#[case] fault: DiskFault) {
    let (mut store, _) = Store::open(disk_with_entries(3), MEMBER, 10).expect("reading works");
    store.folder_mut().fault = Some(fault);
    store.save(&[record(4, 2)]).expect_err("the write fails");
    store.recover().expect_err("the disk still refuses writes");
    store.folder_mut().fault = None;
    let recovery = store.recover().expect("the disk takes writes again");
    let kept = recovery.restored.entries;
    assert!((3..=4).contains(&kept.len()), "{kept:?}");
    assert_eq!(recovery.identity.disk, 9, "the disk keeps its identity");
    let next = kept.len() as u64 + 1;
    store.save(&[record(next, 3)]).expect("the disk works");
    let mut disk = store.into_folder();
    disk.crash(0);
    let (_, recovery) = Store::open(disk, MEMBER, 10).expect("the folder is intact");
    let expected: Vec<Entry> = kept.into_iter().chain([entry(next, 3)]).collect();
    assert_eq!(recovery.restored.entries, expected, "what was read back is durable");
}

/// A disk with room for little more than the log was taken as recovered, and failed again at the next write.
#[test]
fn recovery_needs_room() {
    let (mut store, _) = Store::open(disk_with_entries(3), MEMBER, 10).expect("reading works");
    let log = store.folder().file_names().into_iter().find(|name| name.starts_with("log-"));
    let size = store.folder().size(&log.expect("a log"));
    let needed = {
        let mut copy = disk_with_entries(3);
        let (mut other, _) = Store::open(copy.clone(), MEMBER, 10).expect("reading works");
        other.save(&[record(4, 2)]).expect("the disk works");
        copy = other.into_folder();
        let name = copy.file_names().into_iter().find(|name| name.starts_with("log-"));
        copy.size(&name.expect("a log")) - size
    };
    for room in 0..needed {
        store.folder_mut().fault = Some(DiskFault::Limit(size + room));
        store.save(&[record(4, 2)]).expect_err("the write does not fit");
        store.recover().expect_err("it would not fit after the recovery either");
    }
    store.folder_mut().fault = Some(DiskFault::Limit(size + needed));
    store.recover().expect("the write fits now");
    store.save(&[record(4, 2)]).expect("the write fits now");
}

#[test]
fn lost_identity_is_refused() {
    let mut disk = disk_with_entries(3);
    disk.remove("identity").expect("the file exists");
    let error = read(disk).expect_err("a log without its identity is refused");
    assert_eq!(error.code(), ResultCode::LogDamaged);
}

#[test]
fn foreign_folder_is_refused() {
    let error = Store::open(disk_with_entries(1), MemberId::new(2), 3)
        .expect_err("another member's folder");
    assert_eq!(error.code(), ResultCode::FolderForeign);
}

#[test]
fn second_process_is_refused() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let first = DiskFolder::open(folder.path()).expect("the folder is not locked");
    let error = DiskFolder::open(folder.path()).expect_err("the folder is locked");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
    drop(first);
    DiskFolder::open(folder.path()).expect("dropping the folder releases the lock");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// With one damaged byte, the reader returns an error or a prefix of what was written.
    #[test]
    fn damage_never_adds_entries(file in 0..2_usize, offset in any::<usize>(), count in 1..8_u64) {
        let mut disk = disk_with_entries(count);
        let name = disk.file_names()[file].clone();
        disk.corrupt_byte(&name, offset);
        if let Ok(kept) = read(disk) {
            let expected = entries(count);
            prop_assert!(kept.len() + 1 >= expected.len(), "only the last write may be truncated");
            prop_assert_eq!(&kept[..], &expected[..kept.len()]);
        }
    }

    /// Arbitrary bytes in the log are read without a panic.
    #[test]
    fn any_bytes_are_read(bytes in prop::collection::vec(any::<u8>(), 0..300), at in 0..400_u64) {
        let mut disk = disk_with_entries(3);
        disk.truncate(FIRST_SEGMENT, at).expect("the file exists");
        disk.append(FIRST_SEGMENT, &bytes).expect("the disk works");
        if let Ok(kept) = read(disk) {
            prop_assert_eq!(&kept[..], &entries(3)[..kept.len()]);
        }
    }
}
