//! Groups whose disks take longer for a sync than the election timeout, or not much less.

use kingcuplift_core::MemberId;
use kingcuplift_testing::{Cluster, ELECTION_TIMEOUT};
use rstest::rstest;

/// Simulated time of one round, in milliseconds.
const ROUND_MS: u64 = 10;
/// Seeds of the groups' random numbers.
const SEEDS: std::ops::Range<u64> = 1..40;

/// Delivers all messages and advances the time, `count` times, while each sync takes `sync_ms`.
fn rounds(cluster: &mut Cluster, sync_ms: u64, count: u64) {
    for _ in 0..count {
        for id in cluster.ids() {
            cluster.sync_slowly(id, sync_ms);
        }
        for _ in 0..cluster.in_flight() {
            cluster.deliver(0, false);
        }
        cluster.advance(ROUND_MS);
    }
}

/// Advances by up to `limit_ms` until `condition` holds, and returns the time that it took.
fn run_until(
    cluster: &mut Cluster,
    sync_ms: u64,
    limit_ms: u64,
    condition: impl Fn(&Cluster) -> bool,
) -> Option<u64> {
    for round in 0..limit_ms / ROUND_MS {
        if condition(cluster) {
            return Some(round * ROUND_MS);
        }
        rounds(cluster, sync_ms, 1);
    }
    None
}

/// A follower answered heartbeats only after its sync, so that a leader with a new entry lost the lead.
#[rstest]
#[case::one_timeout(ELECTION_TIMEOUT)]
#[case::three_timeouts(3 * ELECTION_TIMEOUT)]
fn leader_stays(#[case] sync_ms: u64) {
    for seed in SEEDS {
        let mut cluster = Cluster::with_leader(5, 0, seed);
        let leader = cluster.leader().expect("a leader");
        let term = cluster.replica(leader).expect("it runs").term();
        for number in 0..4 {
            let token = cluster.propose(leader, &[number]);
            let limit = 3 * sync_ms;
            let is_stored =
                |cluster: &Cluster| cluster.acknowledged.values().any(|c| c == &[number]);
            let time = run_until(&mut cluster, sync_ms, limit, is_stored);
            assert!(time.is_some() && !cluster.refused.contains(&token), "seed {seed}");
        }
        let replica = cluster.replica(leader).expect("it runs");
        assert_eq!((cluster.leader(), replica.term()), (Some(leader), term), "seed {seed}");
        cluster.heal_and_verify();
    }
}

/// Candidates gave up before their own votes and those of the others were stored, one after the other.
#[rstest]
#[case::half_a_timeout(ELECTION_TIMEOUT / 2)]
#[case::one_timeout(ELECTION_TIMEOUT)]
#[case::two_timeouts(2 * ELECTION_TIMEOUT)]
fn election_ends(#[case] sync_ms: u64) {
    // The longest timeout, the syncs of the candidate's vote, the others' votes and the first entry, and one more round
    // for a split vote.
    let limit = 2 * (2 * ELECTION_TIMEOUT + 3 * sync_ms);
    for seed in SEEDS {
        let mut cluster = Cluster::with_leader(5, 0, seed);
        let leader = cluster.leader().expect("a leader");
        cluster.crash(leader, 0);
        let serves = |cluster: &Cluster| current_leader(cluster).is_some();
        let time = run_until(&mut cluster, sync_ms, limit, serves);
        assert!(time.is_some(), "seed {seed}: no leader serves after {limit} ms");
        cluster.heal_and_verify();
    }
}

/// A disk that has been slow once doesn't make later elections slow.
#[test]
fn slow_sync_is_forgotten() {
    for seed in SEEDS {
        let mut cluster = Cluster::with_leader(5, 0, seed);
        let leader = cluster.leader().expect("a leader");
        cluster.propose(leader, b"slow");
        rounds(&mut cluster, 3 * ELECTION_TIMEOUT, 8 * ELECTION_TIMEOUT / ROUND_MS);
        rounds(&mut cluster, 0, 6 * ELECTION_TIMEOUT / ROUND_MS);
        let leader = cluster.leader().expect("a leader");
        cluster.crash(leader, 0);
        let serves = |cluster: &Cluster| current_leader(cluster).is_some();
        let time = run_until(&mut cluster, 0, 3 * ELECTION_TIMEOUT, serves);
        assert!(time.is_some(), "seed {seed}: no leader serves after three election timeouts");
        cluster.heal_and_verify();
    }
}

/// The other members ran for election while the successor of a leader whose storage had failed stored its vote.
#[rstest]
#[case::half_a_timeout(ELECTION_TIMEOUT / 2)]
#[case::one_timeout(ELECTION_TIMEOUT)]
fn successor_is_elected(#[case] sync_ms: u64) {
    let limit = ELECTION_TIMEOUT + 4 * sync_ms;
    for seed in SEEDS {
        let mut cluster = Cluster::with_leader(5, 0, seed);
        let leader = cluster.leader().expect("a leader");
        cluster.propose(leader, b"slow");
        rounds(&mut cluster, sync_ms, 3 * sync_ms / ROUND_MS);
        cluster.fail_storage(leader, 0);
        let serves = |cluster: &Cluster| current_leader(cluster).is_some();
        let time = run_until(&mut cluster, sync_ms, limit, serves);
        assert!(time.is_some(), "seed {seed}: no leader serves after {limit} ms");
        cluster.heal_and_verify();
    }
}

/// Returns the leader, if it has stored an entry of its own term with a majority.
fn current_leader(cluster: &Cluster) -> Option<MemberId> {
    let leader = cluster.leader()?;
    let replica = cluster.replica(leader)?;
    let has_stored = replica.log().term_at(replica.commit_index()) == Some(replica.term());
    has_stored.then_some(leader)
}
