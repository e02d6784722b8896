//! Groups that form from seeds and change their membership by themselves.
//!
//! Every process runs the real decisions; writes are durable at once, and messages arrive within a tick. A process
//! that is wiped comes back at its address with a number and disk of its own.

use std::collections::{BTreeMap, BTreeSet};

use kingcuplift_core::MemberId;
use kingcuplift_quorum::{
    Effect, Event, Formation, Identity, InitialMembers, MembershipController, Replica, Restored,
    RoleName, Timing, formation_offer, voter_from_offer,
};
use kingcuplift_schema::quorum::{
    Entry, HardState, Membership, Peer, Snapshot, Voter, entry, peer,
};
use rstest::rstest;

/// Time between ticks, in milliseconds.
const TICK: u64 = 25;
/// Intervals of the protocol, in milliseconds.
const TIMING: Timing = Timing { election: 500, heartbeat: 100 };
/// Time within which a group must have settled after a fault, in milliseconds.
const SETTLED: u64 = 20_000;

/// How far a process has come.
enum Stage {
    Forming(Formation),
    Member(Box<Replica>),
}

/// One process.
struct Process {
    voter: Voter,
    stage: Stage,
    placement: MembershipController,
    hard_state: HardState,
    entries: Vec<Entry>,
    membership: Option<Membership>,
    applied: BTreeSet<Vec<u8>>,
}

/// A site of processes by address.
struct World {
    now: u64,
    seeds: Vec<String>,
    processes: BTreeMap<String, Process>,
    drawn: u64,
    groups: BTreeSet<u64>,
}

fn address(number: usize) -> String {
    format!("vm-{number}")
}

impl World {
    fn new(count: usize) -> Self {
        let seeds = (1..=3).map(address).collect();
        let mut world =
            Self { now: 0, seeds, processes: BTreeMap::new(), drawn: 0, groups: BTreeSet::new() };
        for number in 1..=count {
            world.start(&address(number), true);
        }
        world
    }

    /// Starts a process with an empty disk.
    fn start(&mut self, at: &str, is_first: bool) {
        self.drawn += 1;
        // Numbers don't follow the order of the addresses.
        let id = self.drawn * 7_919 % 1_000 + 1;
        let voter = Voter { id, disk: id + 5_000, listen: at.to_owned(), ..Voter::default() };
        let founders = match is_first {
            true => InitialMembers::Seeds(self.seeds.clone()),
            false => InitialMembers::None,
        };
        let process = Process {
            stage: Stage::Forming(Formation::new(voter.clone(), founders)),
            voter,
            placement: MembershipController::default(),
            hard_state: HardState::default(),
            entries: Vec::new(),
            membership: None,
            applied: BTreeSet::new(),
        };
        self.processes.insert(at.to_owned(), process);
    }

    fn join(&mut self, at: &str, membership: Membership) {
        let now = self.now;
        self.groups.insert(membership.group);
        let process = self.processes.get_mut(at).expect("the process runs");
        let snapshot = Snapshot { membership: Some(membership.clone()), ..Snapshot::default() };
        let restored = Restored { snapshot, ..Restored::default() };
        let identity = Identity { id: MemberId::new(process.voter.id), disk: process.voter.disk };
        let replica = Replica::new(identity, TIMING, restored, process.voter.id, now);
        process.membership = Some(membership);
        process.stage = Stage::Member(Box::new(replica));
    }

    /// Runs all processes for a time.
    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += TICK;
            for at in self.processes.keys().cloned().collect::<Vec<_>>() {
                self.tick(&at);
            }
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
                self.offer_to_all(at, &message);
                if let Some(membership) = formed {
                    self.join(at, membership);
                }
            }
            Stage::Member(replica) => {
                let is_lost = replica.role() != RoleName::Leader
                    && now > replica.last_leader_contact() + 2_000;
                let change = process.placement.next_change(replica, now);
                let voter = process.voter.clone();
                self.step(at, Event::Tick);
                if let Some(membership) = change {
                    self.step(at, Event::ChangeMembers { token: 0, membership });
                }
                if is_lost {
                    self.offer_to_all(at, &formation_offer(&voter, false));
                }
            }
        }
    }

    fn offer_to_all(&mut self, from: &str, message: &Peer) {
        for at in self.processes.keys().cloned().collect::<Vec<_>>() {
            if at != from {
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
                let found = self.processes.iter().find(|(_, p)| p.voter.id == to.get());
                let Some(to) = found.map(|(at, _)| at.clone()) else { return };
                self.deliver(&to, *message);
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
        let now = self.now;
        let Some(process) = self.processes.get_mut(at) else { return };
        match (&mut process.stage, &message.body) {
            (Stage::Forming(formation), _) => {
                if let Some(membership) = formation.receive(&message, now) {
                    self.join(at, membership);
                }
            }
            (Stage::Member(replica), Some(peer::Body::Offer(body))) => {
                let voter = voter_from_offer(&message, body);
                let membership = replica.membership().clone();
                let known = membership.voters.iter().chain(&membership.learners);
                let is_member = known.into_iter().any(|v| v.id == voter.id && v.disk == voter.disk);
                match is_member {
                    true => {
                        let formed =
                            Peer { body: Some(peer::Body::Formed(membership)), ..Peer::default() };
                        self.deliver(&voter.listen, formed);
                    }
                    false => process.placement.record_offer(voter, now),
                }
            }
            (Stage::Member(_), _) => self.step(at, Event::Receive(Box::new(message))),
        }
    }

    /// Returns the address of the one process that leads the newest term.
    fn leader(&self) -> Option<String> {
        let leaders = self.processes.iter().filter_map(|(at, process)| match &process.stage {
            Stage::Member(r) if r.is_current(self.now) => Some((r.term(), at.clone())),
            _ => None,
        });
        leaders.max().map(|(_, at)| at)
    }

    /// Returns the addresses with a vote, as the leader knows them.
    fn voters(&self) -> Vec<String> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let Stage::Member(replica) = &self.processes[&leader].stage else { return Vec::new() };
        let mut voters: Vec<String> =
            replica.membership().voters.iter().map(|voter| voter.listen.clone()).collect();
        voters.sort();
        voters
    }

    /// Proposes a command and returns whether it was committed.
    fn commit(&mut self, command: &[u8]) -> bool {
        let until = self.now + SETTLED;
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

    /// Loses a process for good.
    fn lose(&mut self, at: &str) {
        self.processes.remove(at);
    }
}

fn addresses(numbers: &[usize]) -> Vec<String> {
    numbers.iter().map(|number| address(*number)).collect()
}

#[rstest]
fn one_group_forms(#[values(3, 4, 5, 6)] count: usize) {
    let mut world = World::new(count);
    world.run(SETTLED);
    assert_eq!(world.groups.len(), 1);
    assert_eq!(world.voters(), (1..=count).map(address).collect::<Vec<_>>());
}

#[test]
fn late_seed_holds_forming_up() {
    let mut world = World::new(2);
    world.run(SETTLED);
    assert!(world.groups.is_empty(), "a group without all seeds could be a second one");
    world.start(&address(3), true);
    world.run(SETTLED);
    assert_eq!((world.groups.len(), world.voters().len()), (1, 3));
}

#[rstest]
fn wiped_member_is_replaced(
    #[values(3, 5)] count: usize,
    #[values(1, 2, 3)] wiped: usize,
    #[values(0, 75, 500, 3_000)] before: u64,
) {
    let mut world = World::new(count);
    world.run(SETTLED);
    assert!(world.commit(b"first"));
    world.run(before);
    world.lose(&address(wiped));
    world.start(&address(wiped), false);
    world.run(SETTLED);
    assert_eq!(world.voters(), (1..=count).map(address).collect::<Vec<_>>());
    assert_eq!(world.groups.len(), 1, "no second group forms");
    for (at, process) in &world.processes {
        assert!(process.applied.contains(&b"first"[..]), "{at} lacks what was acknowledged");
    }
    assert!(world.commit(b"second"));
}

#[rstest]
fn second_loss_after_repair(#[values(1, 2, 3)] wiped: usize, #[values(1, 2, 3)] lost: usize) {
    let mut world = World::new(3);
    world.run(SETTLED);
    assert!(world.commit(b"first"));
    world.lose(&address(wiped));
    world.start(&address(wiped), false);
    world.run(SETTLED);
    world.lose(&address(lost));
    assert!(world.commit(b"second"), "two of three go on");
    for process in world.processes.values() {
        assert!(process.applied.contains(&b"first"[..]));
    }
}

#[test]
fn lost_member_makes_room() {
    let mut world = World::new(5);
    world.run(SETTLED);
    world.lose(&address(2));
    world.run(SETTLED);
    assert_eq!(world.voters().len(), 5, "four votes would bear no more losses than five");
    world.start(&address(9), false);
    world.run(SETTLED);
    assert_eq!(world.voters(), addresses(&[1, 3, 4, 5, 9]));
}

#[test]
fn new_seed_starts_no_group() {
    let mut world = World::new(3);
    world.run(SETTLED);
    for number in 1..=3 {
        world.lose(&address(number));
    }
    for number in 1..=3 {
        world.start(&address(number), false);
    }
    world.run(SETTLED);
    assert_eq!(world.groups.len(), 1, "processes that start later never form a group");
    assert_eq!(world.leader(), None);
}
