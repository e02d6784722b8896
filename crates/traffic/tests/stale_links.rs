//! A split of the source that lasts: relays on the smaller side never hear from the new leader.

use kingcuplift_traffic::LinkStaleness;
use rstest::rstest;

/// Time until a new link is open and its first heartbeat has come, in milliseconds.
const CONNECT_MS: u64 = 30;
/// Interval of the heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 400;

/// Returns when a node reaches a relay in contact with the leader.
///
/// All relays lose contact at time 0; those not in `cut_off` regain it at `elected_ms`.
fn reached_ms(relays: usize, first: usize, cut_off: &[usize], elected_ms: u64) -> u64 {
    let mut staleness = LinkStaleness::default();
    staleness.link_opened(relays, 0);
    assert!(!staleness.record_heartbeat(true, 0));
    let (mut relay, mut now) = (first, HEARTBEAT_MS);
    loop {
        let fresh = now >= elected_ms && !cut_off.contains(&relay);
        if fresh {
            return now;
        }
        now += match staleness.record_heartbeat(false, now) {
            true => {
                relay = (relay + 1) % relays;
                staleness.link_opened(relays, now + CONNECT_MS);
                CONNECT_MS
            }
            false => HEARTBEAT_MS,
        };
    }
}

/// A version is to be in force two seconds after its confirmation, and half a second is for its way to the node. Nodes that
/// tried the relays of the smaller side in turn kept each for 1.6 s.
#[rstest]
fn node_finds_the_larger_side(
    #[values(&[0, 1], &[0, 2], &[1, 3], &[3, 4])] cut_off: &[usize],
    #[values(0, 1, 2, 3, 4)] first: usize,
) {
    for elected_ms in (500..12_000).step_by(100) {
        let reached = reached_ms(5, first, cut_off, elected_ms);
        let late = reached - elected_ms;
        assert!(late <= 1_500, "{late} ms late, elected at {elected_ms} ms, first relay {first}");
    }
}

/// Where there are many relays, each look at all of them costs many handshakes: waits grow.
#[test]
fn many_relays_are_asked_less_often() {
    let mut staleness = LinkStaleness::default();
    staleness.link_opened(10, 0);
    assert!(!staleness.record_heartbeat(true, 0));
    let (mut now, mut links) = (0, 0);
    while now < 20_000 {
        now += match staleness.record_heartbeat(false, now) {
            true => {
                links += 1;
                staleness.link_opened(10, now + CONNECT_MS);
                CONNECT_MS
            }
            false => HEARTBEAT_MS,
        };
    }
    assert!(links <= 50, "{links} links in 20 s without a leader");
}

#[test]
fn first_link_outlasts_an_election() {
    let mut staleness = LinkStaleness::default();
    staleness.link_opened(10, 1_000);
    assert!(!staleness.record_heartbeat(false, 2_400), "the site has just started");
    assert!(staleness.record_heartbeat(false, 2_600));
    staleness.link_opened(1, 3_000);
    assert!(!staleness.record_heartbeat(false, 9_000), "there is no other peer");
}
