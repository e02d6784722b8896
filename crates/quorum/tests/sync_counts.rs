//! Syncs in series, each of which takes as long as the disk needs: a slow one delays the start of a site by each of them.

use kingcuplift_core::MemberId;
use kingcuplift_quorum::{Record, Store};
use kingcuplift_schema::quorum::{Entry, HardState, Membership, Snapshot, entry};
use kingcuplift_testing::{Cluster, ELECTION_TIMEOUT, FakeDisk};
use rstest::rstest;

const MEMBER: MemberId = MemberId::new(1);
/// Simulated time of one round, in milliseconds.
const ROUND_MS: u64 = 10;
/// Rounds in which messages are delivered, in addition to the syncs, until the first entry is acknowledged.
const MESSAGE_ROUNDS: u64 = 12;

fn open(disk: FakeDisk) -> Store<FakeDisk> {
    Store::open(disk, MEMBER, 9).expect("the folder is intact").0
}

fn record(index: u64, size: usize) -> Record {
    let body = Some(entry::Body::Command(vec![7; size].into()));
    Record { entries: vec![Entry { index, term: 1, body }], ..Record::default() }
}

/// Returns the number of syncs in series that `work` takes.
fn syncs(store: &mut Store<FakeDisk>, work: impl FnOnce(&mut Store<FakeDisk>)) -> usize {
    let before = store.folder().syncs;
    work(store);
    store.folder().syncs - before
}

/// An empty folder took three, and so did each further start two.
#[test]
fn opening_takes_one() {
    let mut store = open(FakeDisk::default());
    assert_eq!(store.folder().syncs, 1, "an empty folder");
    store.save(&[record(1, 10)]).expect("the disk works");
    let mut disk = store.into_folder();
    disk.syncs = 0;
    assert_eq!(open(disk).folder().syncs, 1, "a log");
}

/// The first write to a segment took two.
#[test]
fn segment_takes_one() {
    let mut store = open(FakeDisk::default());
    for index in 1..=30 {
        let save = |store: &mut Store<FakeDisk>| {
            store.save(&[record(index, 1 << 20)]).expect("the disk works");
        };
        assert_eq!(syncs(&mut store, save), 1, "entry {index}");
    }
}

/// A snapshot that replaces nothing took three.
#[test]
fn snapshot_takes_two() {
    let mut store = open(FakeDisk::default());
    store.save(&[record(1, 10)]).expect("the disk works");
    let snapshot = Snapshot { index: 1, term: 1, ..Snapshot::default() };
    let save = |store: &mut Store<FakeDisk>| {
        store.save_snapshot(&snapshot).expect("the disk works");
    };
    assert_eq!(syncs(&mut store, save), 2);
}

/// The membership and the vote with which a member joins its group are stored together, and return together.
#[rstest]
fn joining_takes_one(#[values(0, 1, 2, 3)] kept: usize) {
    let group = Membership { group: 4, ..Membership::default() };
    let vote = HardState { term: 1, vote: 3 };
    let join = Record { hard_state: Some(vote), joined: Some(group.clone()), entries: Vec::new() };
    let mut store = open(FakeDisk::default());
    let save = |store: &mut Store<FakeDisk>| {
        store.save(std::slice::from_ref(&join)).expect("the disk works");
    };
    assert_eq!(syncs(&mut store, save), 1);
    let mut disk = store.into_folder();
    disk.crash(kept);
    let (_, recovery) = Store::open(disk, MEMBER, 10).expect("the folder is intact");
    assert_eq!(recovery.restored.snapshot.membership, Some(group));
    assert_eq!(recovery.restored.hard_state, vote);
}

/// A loss of power while the identity is created leaves an empty folder, whatever was written of it.
#[test]
fn torn_identity_is_replaced() {
    let size = open(FakeDisk::default()).folder().size("identity");
    for length in 0..size {
        let mut disk = open(FakeDisk::default()).into_folder();
        kingcuplift_quorum::Folder::truncate(&mut disk, "identity", length as u64)
            .expect("the file exists");
        let (_, recovery) = Store::open(disk, MEMBER, 10).expect("nothing is lost");
        assert_eq!(recovery.identity.disk, 10, "{length} bytes of the identity");
    }
}

/// The first leader of a group waited for an election timeout and for a dozen syncs, so that a site whose syncs took 300 ms
/// confirmed its first configuration after 5 to 10 s.
#[rstest]
fn group_serves_after_four(
    #[values(3, 5)] size: u64,
    #[values(ELECTION_TIMEOUT / 2, ELECTION_TIMEOUT, 2 * ELECTION_TIMEOUT)] sync_ms: u64,
) {
    // The founder stores the group, the others store it, and they store the leader's first entry and the command.
    let limit = 4 * sync_ms + MESSAGE_ROUNDS * ROUND_MS;
    for seed in 1..40 {
        let mut cluster = Cluster::new(size, 0, seed);
        let mut token = None;
        let mut elapsed = 0;
        while cluster.acknowledged.is_empty() {
            assert!(elapsed <= limit, "seed {seed}: nothing is acknowledged after {limit} ms");
            let leader = cluster.leader().filter(|id| {
                cluster.replica(*id).is_some_and(|replica| replica.commit_index() > 0)
            });
            token = token.or_else(|| leader.map(|id| cluster.propose(id, b"first")));
            for id in cluster.ids() {
                cluster.sync_slowly(id, sync_ms);
            }
            for _ in 0..cluster.in_flight() {
                cluster.deliver(0, false);
            }
            cluster.advance(ROUND_MS);
            elapsed += ROUND_MS;
        }
        cluster.heal_and_verify();
    }
}
