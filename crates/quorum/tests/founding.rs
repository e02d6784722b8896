//! Groups that form while members crash, messages are lost and syncs take their time.

use kingcuplift_testing::{Cluster, member_id};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Schedules of each case.
const SEEDS: u64 = 300;
/// Steps of a schedule.
const STEPS: u32 = 400;

fn number(rng: &mut SmallRng) -> usize {
    rng.random::<u32>() as usize
}

/// Does one random step; a member that is down is started again at some later step.
fn step(cluster: &mut Cluster, rng: &mut SmallRng, crash_rate: f64) {
    let ids = cluster.ids();
    let id = ids[rng.random_range(0..ids.len())];
    match rng.random_range(0.0..1.0) {
        pick if pick < crash_rate => cluster.crash(id, number(rng)),
        pick if pick < 2.0 * crash_rate => drop(cluster.restart(id)),
        pick if pick < 0.3 => cluster.advance(rng.random_range(5..40)),
        pick if pick < 0.4 => drop(cluster.sync(id)),
        pick if pick < 0.45 => cluster.drop_message(number(rng)),
        pick if pick < 0.5 => cluster.deliver(number(rng), true),
        pick if pick < 0.55 => {
            let is_blocked = rng.random_bool(0.5);
            cluster.set_isolated(id, is_blocked);
        }
        pick if pick < 0.6 => drop(cluster.propose(id, &rng.random::<[u8; 2]>())),
        _ => cluster.deliver(number(rng), false),
    }
}

/// Whatever happens to the members while they form a group: no term has two leaders, nothing acknowledged is lost, and all
/// of them serve once the faults have ended.
#[rstest]
#[case::few_crashes(3, 0.01)]
#[case::many_crashes(3, 0.05)]
#[case::five_members(5, 0.02)]
fn one_group_serves(#[case] size: u64, #[case] crash_rate: f64) {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut cluster = Cluster::new(size, 0, seed);
        for _ in 0..STEPS {
            step(&mut cluster, &mut rng, crash_rate);
        }
        cluster.heal_and_verify();
    }
}

/// A founder that crashes at any step of the formation, before or after it has stored the group, is a member in the end.
#[test]
fn founder_crashes_at_each_step() {
    let founder = member_id(1);
    for step in 0..30 {
        for kept in 0..4 {
            let mut cluster = Cluster::new(3, 0, step);
            for _ in 0..step {
                cluster.advance(10);
                cluster.ids().into_iter().for_each(|id| assert!(cluster.sync(id)));
                for _ in 0..cluster.in_flight().div_ceil(2) {
                    cluster.deliver(0, false);
                }
            }
            cluster.crash(founder, kept);
            cluster.restart(founder);
            cluster.settle();
            cluster.heal_and_verify();
            let leader = cluster.leader().and_then(|id| cluster.replica(id)).expect("a leader");
            let group = leader.membership().group;
            let own = cluster.replica(founder).expect("it runs");
            assert_eq!(own.membership().group, group, "step {step}, {kept} kept");
        }
    }
}
