//! Formation of groups from seeds and automatic membership changes.
//!
//! Every process runs the real decision code; writes are durable at once, and messages arrive within a tick. A wiped
//! process restarts at its address with a new id and disk.

use std::collections::{BTreeMap, BTreeSet};

use kingcuplift_core::MemberId;
use kingcuplift_quorum::{
    Effect, Event, Formation, Identity, InitialMembers, Joining, MembershipController, Replica,
    RoleName, Timing, formation_offer, voter_from_offer,
};
use kingcuplift_schema::quorum::{Entry, HardState, Membership, Peer, Voter, entry, peer};
use rstest::rstest;

/// Time between ticks, in milliseconds.
const TICK: u64 = 25;
/// Protocol timeouts, in milliseconds.
const TIMING: Timing = Timing { election: 500, heartbeat: 100 };
/// Time within which a group must settle after a fault, in milliseconds.
const SETTLE_TIME: u64 = 20_000;

/// Time until an empty process takes the place of one that is gone, in milliseconds.
const REPLACEMENT_TIME: u64 = 1_000;
/// Time after the start of a new member after which the lost one doesn't count as lost any more, in milliseconds.
const CATCH_UP_TIME: u64 = 6_000;

/// State of a process.
enum Stage {
    Forming(Formation),
    Member(Box<Replica>),
}

/// One process.
struct Process {
    voter: Voter,
    stage: Stage,
    membership_controller: MembershipController,
    hard_state: HardState,
    entries: Vec<Entry>,
    membership: Option<Membership>,
    applied: BTreeSet<Vec<u8>>,
}

/// Simulated site; processes are keyed by address.
struct Simulation {
    now: u64,
    seeds: Vec<String>,
    processes: BTreeMap<String, Process>,
    started: u64,
    groups: BTreeSet<u64>,
    /// Member that receives no messages, and until when.
    deaf: Option<(String, u64)>,
    /// Processes that are cut off from all others.
    cut: BTreeSet<String>,
}

fn address(number: usize) -> String {
    format!("vm-{number}")
}

impl Simulation {
    fn new(count: usize) -> Self {
        let seeds = (1..=3).map(address).collect();
        let mut simulation = Self {
            now: 0,
            seeds,
            processes: BTreeMap::new(),
            started: 0,
            groups: BTreeSet::new(),
            deaf: None,
            cut: BTreeSet::new(),
        };
        for number in 1..=count {
            simulation.start(&address(number), true);
        }
        simulation
    }

    /// Starts a process with an empty disk.
    fn start(&mut self, at: &str, is_first_start: bool) {
        self.started += 1;
        // Ids are not in the order of the addresses.
        let id = self.started * 7_919 % 1_000 + 1;
        let voter = Voter { id, disk: id + 5_000, listen: at.to_owned(), ..Voter::default() };
        let initial_members = match is_first_start {
            true => InitialMembers::Seeds(self.seeds.clone()),
            false => InitialMembers::None,
        };
        let process = Process {
            stage: Stage::Forming(Formation::new(voter.clone(), initial_members)),
            voter,
            membership_controller: MembershipController::default(),
            hard_state: HardState::default(),
            entries: Vec::new(),
            membership: None,
            applied: BTreeSet::new(),
        };
        self.processes.insert(at.to_owned(), process);
    }

    fn join(&mut self, at: &str, joining: Joining) {
        let now = self.now;
        let membership = joining.membership().clone();
        self.groups.insert(membership.group);
        let process = self.processes.get_mut(at).expect("the process runs");
        let identity = Identity { id: MemberId::new(process.voter.id), disk: process.voter.disk };
        let replica = Replica::join(identity, TIMING, joining, process.voter.id, now);
        process.membership = Some(membership);
        process.stage = Stage::Member(Box::new(replica));
        self.step(at, Event::Tick);
    }

    /// Runs all processes for `ms` milliseconds.
    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += TICK;
            for at in self.processes.keys().cloned().collect::<Vec<_>>() {
                self.tick(&at);
            }
        }
    }

    /// Runs all processes for `ms` milliseconds; the leader hands over each `interval`, if given.
    fn run_with_changes(&mut self, ms: u64, interval: Option<u64>) {
        let until = self.now + ms;
        while self.now < until {
            if let (Some(_), Some(leader)) = (interval, self.leader()) {
                self.step(&leader, Event::Transfer);
            }
            self.run(interval.unwrap_or(ms).min(until - self.now));
        }
    }

    fn tick(&mut self, at: &str) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(at) else { return };
        match &mut process.stage {
            Stage::Forming(formation) => {
                let message = formation.offer();
                let group = 1_000_000 + process.voter.id;
                let formed = formation.try_form(group, now);
                self.broadcast_offer(at, &message);
                if let Some(joining) = formed {
                    self.join(at, joining);
                }
            }
            Stage::Member(replica) => {
                let is_leaderless = replica.role() != RoleName::Leader
                    && now > replica.last_leader_contact() + 2_000;
                let change = process.membership_controller.next_change(replica, now);
                let voter = process.voter.clone();
                self.step(at, Event::Tick);
                if let Some(membership) = change {
                    self.step(at, Event::ChangeMembers { token: 0, membership });
                }
                if is_leaderless {
                    self.broadcast_offer(at, &formation_offer(&voter, false));
                }
            }
        }
    }

    fn broadcast_offer(&mut self, from: &str, message: &Peer) {
        for at in self.processes.keys().cloned().collect::<Vec<_>>() {
            if at != from && !self.cut.contains(from) {
                self.deliver(&at, message.clone());
            }
        }
    }

    fn step(&mut self, at: &str, event: Event) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(at) else { return };
        let Stage::Member(replica) = &mut process.stage else { return };
        for effect in replica.handle(event, now) {
            self.perform(at, effect);
        }
    }

    fn perform(&mut self, at: &str, effect: Effect) {
        let Some(process) = self.processes.get_mut(at) else { return };
        match effect {
            Effect::Save { seq, hard_state, entries, .. } => {
                process.hard_state = hard_state.unwrap_or(process.hard_state);
                if let Some(first) = entries.first().map(|entry| entry.index) {
                    process.entries.retain(|entry| entry.index < first);
                    process.entries.extend(entries);
                }
                self.step(at, Event::Stored(seq));
            }
            Effect::Send { to, message } => {
                let recipient = self.processes.iter().find(|(_, p)| p.voter.id == to.get());
                let Some(to) = recipient.map(|(at, _)| at.clone()) else { return };
                if !self.cut.contains(at) {
                    self.deliver(&to, *message);
                }
            }
            Effect::Apply { entry, .. } => {
                if let Some(entry::Body::Command(command)) = entry.body {
                    process.applied.insert(command.to_vec());
                }
            }
            Effect::Install(_) | Effect::Refuse { .. } | Effect::Report(_) => {}
        }
    }

    fn deliver(&mut self, at: &str, message: Peer) {
        if self.cut.contains(at) {
            return;
        }
        let now = self.now;
        let Some(process) = self.processes.get_mut(at) else { return };
        match (&mut process.stage, &message.body) {
            (Stage::Forming(formation), _) => {
                if let Some(joining) = formation.receive(&message, now) {
                    self.join(at, joining);
                }
            }
            (Stage::Member(replica), Some(peer::Body::Offer(body))) => {
                let voter = voter_from_offer(&message, body);
                let own = process.voter.id;
                let (membership, invitation) = (replica.membership().clone(), replica.invitation());
                let members = membership.voters.iter().chain(&membership.learners);
                let is_member =
                    members.into_iter().any(|v| v.id == voter.id && v.disk == voter.disk);
                match is_member {
                    true if invitation.is_none() => {}
                    true => {
                        let message = Peer { from: own, body: invitation, ..Peer::default() };
                        self.deliver(&voter.listen, message);
                    }
                    false => process.membership_controller.record_offer(voter, now),
                }
            }
            (Stage::Member(_), _) if self.deaf.as_ref().is_some_and(|d| d.0 == at && now < d.1) => {
            }
            (Stage::Member(_), _) => self.step(at, Event::Receive(Box::new(message))),
        }
    }

    /// Returns the address of the leader with the highest term.
    fn leader(&self) -> Option<String> {
        let leaders = self.processes.iter().filter_map(|(at, process)| match &process.stage {
            Stage::Member(r) if r.is_current(self.now) => Some((r.term(), at.clone())),
            _ => None,
        });
        leaders.max().map(|(_, at)| at)
    }

    /// Returns the addresses of the leader's current voters.
    fn voters(&self) -> Vec<String> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let Stage::Member(replica) = &self.processes[&leader].stage else { return Vec::new() };
        let mut voters: Vec<String> =
            replica.membership().voters.iter().map(|voter| voter.listen.clone()).collect();
        voters.sort();
        voters
    }

    /// Returns the addresses of the leader's learners.
    fn learners(&self) -> Vec<String> {
        let leader = self.leader().and_then(|at| self.processes.get(&at));
        let Some(Stage::Member(replica)) = leader.map(|process| &process.stage) else {
            return Vec::new();
        };
        replica.membership().learners.iter().map(|learner| learner.listen.clone()).collect()
    }

    /// Proposes a command and returns whether it was committed.
    fn commit(&mut self, command: &[u8]) -> bool {
        let until = self.now + SETTLE_TIME;
        while self.now < until {
            if let Some(leader) = self.leader() {
                self.step(&leader, Event::Propose { token: 1, command: command.to_vec() });
                self.run(4 * TICK);
                if self.processes.get(&leader).is_some_and(|p| p.applied.contains(command)) {
                    return true;
                }
            }
            self.run(TICK);
        }
        false
    }

    /// Removes a process permanently.
    fn remove(&mut self, at: &str) {
        self.processes.remove(at);
    }
}

fn addresses(numbers: &[usize]) -> Vec<String> {
    numbers.iter().map(|number| address(*number)).collect()
}

#[rstest]
fn one_group_forms(#[values(3, 4, 5, 6)] count: usize) {
    let mut simulation = Simulation::new(count);
    simulation.run(SETTLE_TIME);
    assert_eq!(simulation.groups.len(), 1);
    assert_eq!(simulation.voters(), (1..=count).map(address).collect::<Vec<_>>());
}

#[test]
fn missing_seed_delays_formation() {
    let mut simulation = Simulation::new(2);
    simulation.run(SETTLE_TIME);
    assert!(simulation.groups.is_empty(), "a group without all seeds could be a second one");
    simulation.start(&address(3), true);
    simulation.run(SETTLE_TIME);
    assert_eq!((simulation.groups.len(), simulation.voters().len()), (1, 3));
}

#[rstest]
fn wiped_member_is_replaced(
    #[values(3, 5)] count: usize,
    #[values(1, 2, 3)] wiped: usize,
    #[values(0, 75, 500, 3_000)] before: u64,
) {
    let mut simulation = Simulation::new(count);
    simulation.run(SETTLE_TIME);
    assert!(simulation.commit(b"first"));
    simulation.run(before);
    simulation.remove(&address(wiped));
    simulation.start(&address(wiped), false);
    simulation.run(SETTLE_TIME);
    assert_eq!(simulation.voters(), (1..=count).map(address).collect::<Vec<_>>());
    assert_eq!(simulation.groups.len(), 1, "no second group forms");
    for (at, process) in &simulation.processes {
        assert!(process.applied.contains(&b"first"[..]), "{at} lacks an acknowledged command");
    }
    assert!(simulation.commit(b"second"));
}

/// A new process at the address of a wiped member was taken for replaced by that member: until it had caught up, the
/// leader added and removed it in turn.
#[rstest]
fn slow_learner_stays(#[values(3, 5, 6)] count: usize, #[values(1, 2, 3)] wiped: usize) {
    let mut simulation = Simulation::new(count);
    simulation.run(SETTLE_TIME);
    assert!(simulation.commit(b"first"));
    let at = address(wiped);
    simulation.remove(&at);
    simulation.run(SETTLE_TIME / 10);
    // Longer than a learner may lag behind.
    for number in 0..100_u8 {
        assert!(simulation.commit(&[number]));
    }
    simulation.deaf = Some((at.clone(), simulation.now + 4_000));
    simulation.start(&at, false);
    let (mut changes, mut is_learner) = (0, false);
    for _ in 0..SETTLE_TIME / TICK {
        simulation.run(TICK);
        let was_learner = std::mem::replace(&mut is_learner, simulation.learners().contains(&at));
        changes += usize::from(was_learner != is_learner);
    }
    assert_eq!(changes, 2, "added once and promoted once");
    assert_eq!(simulation.voters(), (1..=count).map(address).collect::<Vec<_>>());
}

#[rstest]
fn second_loss_after_repair(#[values(1, 2, 3)] wiped: usize, #[values(1, 2, 3)] lost: usize) {
    let mut simulation = Simulation::new(3);
    simulation.run(SETTLE_TIME);
    assert!(simulation.commit(b"first"));
    simulation.remove(&address(wiped));
    simulation.start(&address(wiped), false);
    simulation.run(SETTLE_TIME);
    simulation.remove(&address(lost));
    assert!(simulation.commit(b"second"), "two of three members make progress");
    for process in simulation.processes.values() {
        assert!(process.applied.contains(&b"first"[..]));
    }
}

#[test]
fn lost_voter_is_replaced_by_new_process() {
    let mut simulation = Simulation::new(5);
    simulation.run(SETTLE_TIME);
    simulation.remove(&address(2));
    simulation.run(SETTLE_TIME);
    assert_eq!(
        simulation.voters().len(),
        5,
        "four voters would tolerate no more failures than five"
    );
    simulation.start(&address(9), false);
    simulation.run(SETTLE_TIME);
    assert_eq!(simulation.voters(), addresses(&[1, 3, 4, 5, 9]));
}

/// Two voters that were gone for good kept each other in the membership, so that the group could not bear the loss of two
/// more disks.
#[rstest]
#[case::other_address_then_same(&[(2, 9), (3, 3)])]
#[case::same_address_then_other(&[(3, 3), (2, 9)])]
#[case::two_other_addresses(&[(2, 8), (4, 9)])]
#[case::leader_among_them(&[(1, 9), (5, 5)])]
fn lost_voters_do_not_add_up(
    #[case] replaced: &[(usize, usize)],
    #[values(250, 1_500, 5_000)] pause: u64,
) {
    let mut simulation = Simulation::new(6);
    simulation.run(SETTLE_TIME);
    assert!(simulation.commit(b"first"));
    for (old, new) in replaced {
        simulation.remove(&address(*old));
        simulation.run(pause);
        simulation.start(&address(*new), false);
        simulation.run(pause);
    }
    simulation.run(SETTLE_TIME);
    let voters = simulation.voters();
    assert!(voters.len() <= 7, "{voters:?}: one that is lost changes nothing, two do");
    assert!(simulation.commit(b"second"));
    let present: Vec<String> = simulation.processes.keys().take(2).cloned().collect();
    for at in &present {
        simulation.remove(at);
        simulation.start(at, false);
    }
    assert!(simulation.commit(b"third"), "two of six disks may be lost");
    simulation.run(SETTLE_TIME);
    for process in simulation.processes.values() {
        let has = |command: &[u8]| process.applied.contains(command);
        assert!(has(b"first") && has(b"second"), "{} lacks a command", process.voter.listen);
    }
}

/// Each new leader counts the silence of lost voters from its election; two that were replaced stayed among eight votes, and
/// the group never formed again after the loss of two more disks.
#[rstest]
#[case::one_leader(None)]
#[case::change_each_five_seconds(Some(5_000))]
#[case::change_each_three_seconds(Some(3_000))]
fn repair_outlives_leader_changes(#[case] change_interval: Option<u64>) {
    let mut simulation = Simulation::new(6);
    simulation.run(SETTLE_TIME);
    assert!(simulation.commit(b"first"));
    for (old, new) in [(2, 8), (3, 9)] {
        simulation.remove(&address(old));
        simulation.run(REPLACEMENT_TIME);
        simulation.start(&address(new), false);
        simulation.run_with_changes(CATCH_UP_TIME, change_interval);
        if old == 2 {
            simulation.run_with_changes(SETTLE_TIME, change_interval);
        }
    }
    let voters = simulation.voters();
    for at in [1, 4].map(address) {
        simulation.remove(&at);
        simulation.start(&at, false);
    }
    assert!(
        simulation.commit(b"second"),
        "two of six disks may be lost; voters before: {voters:?}"
    );
}

/// While all members were cut off from each other, no leader could have heard any of them; those whose links come back a
/// moment after the others' lost their votes at once, though each had been out of reach of a leader for 5 s at most.
#[rstest]
fn time_without_leader_is_no_silence(#[values(5, 6)] count: usize) {
    let mut simulation = Simulation::new(count);
    simulation.run(SETTLE_TIME);
    assert!(simulation.commit(b"first"));
    let all: Vec<_> = (1..=count).map(address).collect();
    assert_eq!(simulation.voters(), all);
    simulation.cut.extend(all.iter().cloned());
    simulation.run(15_000);
    let majority = count / 2 + 1;
    simulation.cut.retain(|at| !all[..majority].contains(at));
    // Members that are silent for 6 s may be removed.
    for _ in 0..50 {
        simulation.run(100);
        let voters = simulation.voters();
        assert!(voters.is_empty() || voters == all, "{voters:?}");
    }
    assert!(!simulation.voters().is_empty(), "a majority elects a leader within 5 s");
}

#[test]
fn restarted_seeds_form_no_second_group() {
    let mut simulation = Simulation::new(3);
    simulation.run(SETTLE_TIME);
    for number in 1..=3 {
        simulation.remove(&address(number));
    }
    for number in 1..=3 {
        simulation.start(&address(number), false);
    }
    simulation.run(SETTLE_TIME);
    assert_eq!(simulation.groups.len(), 1, "processes that start later never form a group");
    assert_eq!(simulation.leader(), None);
}
