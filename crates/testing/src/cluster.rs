//! Members on fake disks, joined by a fake network, with the invariants checked at every step.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use kingcuplift_core::MemberId;
use kingcuplift_quorum::{
    Effect, Event, Formation, Identity, InitialMembers, MembershipExt, Millis, Record, Recovery,
    Replica, Restored, RoleName, Store, Timing, Token,
};
use kingcuplift_schema::quorum::{Entry, Membership, Peer, Snapshot, Voter, entry, peer};

use crate::disk::{DiskFault, FakeDisk};

/// Time without a leader after which an election may begin.
pub const ELECTION_TIMEOUT: Millis = 300;
/// Time between heartbeats.
const HEARTBEAT: Millis = 60;
/// Clock rates of the members, in thousandths; they stay within the stated drift.
const RATES: [u64; 5] = [1_000, 950, 1_050, 980, 1_030];

/// A write that is not yet synced.
#[derive(Debug, Clone)]
struct Write {
    seq: u64,
    record: Record,
    snapshot: Option<std::sync::Arc<Snapshot>>,
}

/// What a member does at present.
#[derive(Debug)]
enum Stage {
    Down,
    Forming(Formation),
    Up(Box<Replica>),
}

/// One member.
#[derive(Debug)]
struct Member {
    id: MemberId,
    stage: Stage,
    store: Option<Store<FakeDisk>>,
    disk: Option<FakeDisk>,
    writes: VecDeque<Write>,
    applied: Vec<Vec<u8>>,
    applied_index: u64,
    is_frozen: bool,
    offset: Millis,
}

/// The whole group.
#[derive(Debug)]
pub struct Cluster {
    members: BTreeMap<MemberId, Member>,
    initial: Vec<MemberId>,
    network: Vec<(MemberId, MemberId, Box<Peer>)>,
    cuts: BTreeSet<(MemberId, MemberId)>,
    now: Millis,
    seed: u64,
    token: Token,
    disks: u64,
    proposed: BTreeMap<Token, Vec<u8>>,
    /// Commands that were answered, with their index.
    pub acknowledged: BTreeMap<u64, Vec<u8>>,
    /// Entry that was applied first at each index.
    history: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, MemberId>,
    /// Membership proposals that were answered.
    pub committed_changes: BTreeSet<Token>,
    /// Proposals that were refused.
    pub refused: BTreeSet<Token>,
}

/// Makes the number of a member.
pub fn member_id(number: u64) -> MemberId {
    MemberId::new(number)
}

impl Cluster {
    /// Makes members with empty disks; `size` of them are the initial ones.
    pub fn new(size: u64, spare: u64, seed: u64) -> Self {
        let mut cluster = Self {
            members: BTreeMap::new(),
            initial: (1..=size).map(MemberId::new).collect(),
            network: Vec::new(),
            cuts: BTreeSet::new(),
            now: 1_000,
            seed,
            token: 0,
            disks: 0,
            proposed: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            history: BTreeMap::new(),
            leaders: BTreeMap::new(),
            committed_changes: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        for number in 1..=size + spare {
            let member = Member {
                id: member_id(number),
                stage: Stage::Down,
                store: None,
                disk: Some(FakeDisk::default()),
                writes: VecDeque::new(),
                applied: Vec::new(),
                applied_index: 0,
                is_frozen: false,
                offset: number * 7,
            };
            cluster.members.insert(member_id(number), member);
            cluster.restart(member_id(number));
        }
        cluster
    }

    /// Makes a group that has a leader.
    pub fn with_leader(size: u64, spare: u64, seed: u64) -> Self {
        let mut cluster = Self::new(size, spare, seed);
        cluster.settle();
        assert!(cluster.leader().is_some(), "a leader is elected");
        cluster
    }

    /// Returns the numbers of all members.
    pub fn ids(&self) -> Vec<MemberId> {
        self.members.keys().copied().collect()
    }

    /// Returns the leader with the highest term.
    pub fn leader(&self) -> Option<MemberId> {
        let leaders = self.members.values().filter_map(|member| match &member.stage {
            Stage::Up(replica) if replica.role() == RoleName::Leader => {
                Some((replica.term(), member.id))
            }
            _ => None,
        });
        leaders.max().map(|(_, id)| id)
    }

    /// Returns the state machine of a running member.
    pub fn replica(&self, id: MemberId) -> Option<&Replica> {
        match &self.members[&id].stage {
            Stage::Up(replica) => Some(replica),
            Stage::Down | Stage::Forming(_) => None,
        }
    }

    /// Returns the disk of a member, whether it runs or not.
    pub fn disk(&mut self, id: MemberId) -> FakeDisk {
        let member = &self.members[&id];
        match (&member.disk, &member.store) {
            (Some(disk), _) => disk.clone(),
            (None, Some(store)) => store.folder().clone(),
            (None, None) => FakeDisk::default(),
        }
    }

    /// Replaces the disk of a member that is down.
    pub fn set_disk(&mut self, id: MemberId, disk: FakeDisk) {
        let member = self.members.get_mut(&id).expect("the member exists");
        assert!(matches!(member.stage, Stage::Down));
        member.disk = Some(disk);
    }

    /// Lets the disk of a member fail from now on.
    pub fn inject_disk_fault(&mut self, id: MemberId, fault: DiskFault) {
        let member = self.members.get_mut(&id).expect("the member exists");
        let Some(store) = member.store.take() else { return };
        let mut disk = store.into_folder();
        disk.fault = Some(fault);
        let fresh = 1;
        if let Ok((store, _)) = Store::open(disk, id, fresh) {
            member.store = Some(store);
        } else {
            member.stage = Stage::Down;
        }
    }

    /// Kills a member; `kept` chooses how much of its unsynced writes stays.
    pub fn crash(&mut self, id: MemberId, kept: usize) {
        let member = self.members.get_mut(&id).expect("the member exists");
        if let Some(store) = member.store.take() {
            let mut disk = store.into_folder();
            disk.crash(kept);
            member.disk = Some(disk);
        }
        member.stage = Stage::Down;
        member.writes.clear();
        member.applied.clear();
        member.applied_index = 0;
        member.is_frozen = false;
    }

    /// Empties the disk of a member that is down.
    pub fn wipe(&mut self, id: MemberId) {
        self.crash(id, 0);
        self.set_disk(id, FakeDisk::default());
    }

    /// Starts a member that is down; returns false when its disk is refused.
    pub fn restart(&mut self, id: MemberId) -> bool {
        self.disks += 1;
        let fresh = self.disks;
        let member = self.members.get_mut(&id).expect("the member exists");
        let Some(disk) = member.disk.take() else {
            return true;
        };
        let opened = Store::open(disk.clone(), id, fresh);
        let Ok((store, recovery)) = opened else {
            member.disk = Some(disk);
            return false;
        };
        member.store = Some(store);
        self.start(id, recovery);
        true
    }

    fn start(&mut self, id: MemberId, recovery: Recovery) {
        let initial = self.initial.clone();
        let seed = self.next_seed();
        let now = self.local(id);
        let member = self.members.get_mut(&id).expect("the member exists");
        let identity = recovery.identity;
        if recovery.restored.snapshot.membership.is_none() {
            let address = format!("address-{id}");
            let own = Voter {
                id: id.get(),
                disk: identity.disk,
                listen: address.clone(),
                http: address,
                ..Voter::default()
            };
            member.stage = Stage::Forming(Formation::new(own, InitialMembers::Ids(initial)));
            return;
        }
        member.applied = decode_state(&recovery.restored.snapshot.state);
        member.applied_index = recovery.restored.snapshot.index;
        member.stage = Stage::Up(new_replica(identity, recovery.restored, seed, now));
    }

    fn next_seed(&mut self) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.seed
    }

    /// Returns the time on a member's clock.
    fn local(&self, id: MemberId) -> Millis {
        let rate = RATES[id.get() as usize % RATES.len()];
        self.now * rate / 1_000 + self.members[&id].offset
    }

    /// Stops a member from doing anything until it is thawed.
    pub fn set_paused(&mut self, id: MemberId, is_frozen: bool) {
        self.members.get_mut(&id).expect("the member exists").is_frozen = is_frozen;
        // A member that wakes up may be asked before it notices how much time has passed.
        self.check_read(id);
    }

    /// Cuts or restores the way from one member to another.
    pub fn set_blocked(&mut self, from: MemberId, to: MemberId, is_cut: bool) {
        match is_cut {
            true => drop(self.cuts.insert((from, to))),
            false => drop(self.cuts.remove(&(from, to))),
        }
    }

    /// Cuts a member off in both directions, or restores it.
    pub fn set_isolated(&mut self, id: MemberId, is_cut: bool) {
        for other in self.ids() {
            self.set_blocked(id, other, is_cut);
            self.set_blocked(other, id, is_cut);
        }
    }

    /// Ends all cuts and freezes.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for id in self.ids() {
            self.set_paused(id, false);
        }
    }

    /// Lets time pass on every member that is not frozen.
    pub fn advance(&mut self, millis: Millis) {
        self.now += millis;
        for id in self.ids() {
            self.offer(id);
            self.input(id, Event::Tick);
        }
    }

    fn offer(&mut self, id: MemberId) {
        let group = 1 + self.next_seed() % 1_000_000;
        let now = self.local(id);
        let member = &self.members[&id];
        let Stage::Forming(formation) = &member.stage else { return };
        let (offer, formed) = (formation.offer(), formation.try_form(group, now));
        for other in self.initial.clone().into_iter().filter(|other| *other != id) {
            self.post(id, other, Box::new(offer.clone()));
        }
        if let Some(membership) = formed {
            self.join(id, membership);
        }
    }

    fn join(&mut self, id: MemberId, membership: Membership) {
        let seed = self.next_seed();
        let now = self.local(id);
        let member = self.members.get_mut(&id).expect("the member exists");
        let Stage::Forming(formation) = &member.stage else { return };
        let identity = Identity { id, disk: formation.offer().disk };
        let snapshot = Snapshot { membership: Some(membership), ..Snapshot::default() };
        let store = member.store.as_mut().expect("a running member has a store");
        if store.save_snapshot(&snapshot).is_err() {
            member.stage = Stage::Down;
            return;
        }
        let restored = Restored { snapshot, ..Restored::default() };
        member.stage = Stage::Up(new_replica(identity, restored, seed, now));
    }

    fn post(&mut self, from: MemberId, to: MemberId, message: Box<Peer>) {
        if !self.cuts.contains(&(from, to)) && self.members.contains_key(&to) {
            self.network.push((from, to, message));
        }
    }

    /// Returns the number of messages in flight.
    pub fn in_flight(&self) -> usize {
        self.network.len()
    }

    /// Delivers a message, out of order; `copies` of it stay in flight.
    pub fn deliver(&mut self, pick: usize, is_copied: bool) {
        if self.network.is_empty() {
            return;
        }
        let at = pick % self.network.len();
        let (from, to, message) = match is_copied {
            true => self.network[at].clone(),
            false => self.network.remove(at),
        };
        if !self.cuts.contains(&(from, to)) {
            self.receive(to, message);
        }
    }

    /// Loses a message.
    pub fn drop_message(&mut self, pick: usize) {
        if !self.network.is_empty() {
            let at = pick % self.network.len();
            self.network.remove(at);
        }
    }

    fn receive(&mut self, id: MemberId, message: Box<Peer>) {
        let now = self.local(id);
        let member = self.members.get_mut(&id).expect("the member exists");
        if member.is_frozen {
            return;
        }
        let joined = match &mut member.stage {
            Stage::Down => return,
            Stage::Forming(formation) => formation.receive(&message, now),
            Stage::Up(replica) => {
                if let Some(peer::Body::Offer(_)) = &message.body {
                    let membership = replica.membership().clone();
                    return self.answer_offer(id, &message, membership);
                }
                return self.input(id, Event::Receive(message));
            }
        };
        if let Some(membership) = joined {
            self.join(id, membership);
        }
    }

    fn answer_offer(&mut self, id: MemberId, offer: &Peer, membership: Membership) {
        let to = MemberId::new(offer.from);
        if membership.member(to).is_none_or(|voter| voter.disk != offer.disk) {
            return;
        }
        let formed = Peer {
            from: id.get(),
            disk: 0,
            group: membership.group,
            term: 0,
            body: Some(peer::Body::Formed(membership)),
        };
        self.post(id, to, Box::new(formed));
    }

    /// Proposes a command at a member and returns its token.
    pub fn propose(&mut self, id: MemberId, command: &[u8]) -> Token {
        self.token += 1;
        let token = self.token;
        self.proposed.insert(token, command.to_vec());
        self.input(id, Event::Propose { token, command: command.to_vec() });
        token
    }

    /// Proposes a membership at a member and returns its token.
    pub fn propose_membership(&mut self, id: MemberId, membership: Membership) -> Token {
        self.token += 1;
        let token = self.token;
        self.input(id, Event::ChangeMembers { token, membership });
        token
    }

    /// Asks a member to hand over leadership.
    pub fn transfer_leadership(&mut self, id: MemberId) {
        self.input(id, Event::Transfer);
    }

    /// Returns the entry of a membership for a member as it is now.
    pub fn voter(&mut self, number: MemberId) -> Voter {
        let disk = match &self.members[&number].stage {
            Stage::Forming(formation) => formation.offer().disk,
            Stage::Up(replica) => replica.identity().disk,
            Stage::Down => 0,
        };
        let address = format!("address-{number}");
        Voter { id: number.get(), disk, listen: address.clone(), http: address, ..Voter::default() }
    }

    /// Takes a snapshot of what a member has applied.
    pub fn snapshot(&mut self, id: MemberId) {
        let member = &self.members[&id];
        let (index, state) = (member.applied_index, encode_state(&member.applied));
        self.input(id, Event::SnapshotTaken { index, state });
    }

    /// Writes and syncs what waits at a member; returns false when its disk failed.
    pub fn sync(&mut self, id: MemberId) -> bool {
        let member = self.members.get_mut(&id).expect("the member exists");
        if member.is_frozen {
            return true;
        }
        let writes: Vec<Write> = member.writes.drain(..).collect();
        let Some(last) = writes.last().map(|write| write.seq) else {
            return true;
        };
        let Some(store) = member.store.as_mut() else {
            return true;
        };
        for write in &writes {
            let snapshot = write.snapshot.as_ref().map_or(Ok(()), |s| store.save_snapshot(s));
            let empty = write.record.hard_state.is_none() && write.record.entries.is_empty();
            let saved = match empty {
                true => Ok(()),
                false => store.save(std::slice::from_ref(&write.record)),
            };
            if snapshot.is_err() || saved.is_err() {
                self.crash(id, 1);
                return false;
            }
        }
        self.input(id, Event::Stored(last));
        true
    }

    fn input(&mut self, id: MemberId, event: Event) {
        let now = self.local(id);
        let member = self.members.get_mut(&id).expect("the member exists");
        if member.is_frozen {
            return;
        }
        let Stage::Up(replica) = &mut member.stage else { return };
        let effects = replica.handle(event, now);
        let (role, term) = (replica.role(), replica.term());
        if role == RoleName::Leader {
            let known = self.leaders.entry(term).or_insert(id);
            assert_eq!(*known, id, "two leaders in term {term}");
        }
        for effect in effects {
            self.perform(id, effect);
        }
        self.check_read(id);
    }

    fn perform(&mut self, id: MemberId, effect: Effect) {
        match effect {
            Effect::Save { seq, hard_state, entries, snapshot } => {
                let record = Record { hard_state, entries };
                let member = self.members.get_mut(&id).expect("the member exists");
                member.writes.push_back(Write { seq, record, snapshot });
            }
            Effect::Send { to, message } => self.post(id, to, message),
            Effect::Apply { entry, token } => self.apply(id, entry, token),
            Effect::Install(snapshot) => {
                let member = self.members.get_mut(&id).expect("the member exists");
                member.applied = decode_state(&snapshot.state);
                member.applied_index = snapshot.index;
            }
            Effect::Refuse { token, .. } => drop(self.refused.insert(token)),
            Effect::Report(_) => {}
        }
    }

    fn apply(&mut self, id: MemberId, entry: Entry, token: Option<Token>) {
        let known = self.history.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(*known, entry, "member {id} applies another entry at {}", entry.index);
        let member = self.members.get_mut(&id).expect("the member exists");
        assert_eq!(member.applied_index + 1, entry.index, "member {id} skips an entry");
        member.applied_index = entry.index;
        match entry.body {
            Some(entry::Body::Command(command)) => {
                member.applied.push(command.to_vec());
                if let Some(token) = token {
                    assert_eq!(self.proposed[&token], command.as_ref(), "a wrong answer");
                    self.acknowledged.insert(entry.index, command.to_vec());
                }
            }
            Some(entry::Body::Membership(_)) => self.committed_changes.extend(token),
            _ => {}
        }
    }

    /// Checks that a member that claims to be current has applied all that was acknowledged.
    fn check_read(&self, id: MemberId) {
        let Stage::Up(replica) = &self.members[&id].stage else { return };
        if !replica.is_current(self.local(id)) {
            return;
        }
        let newest = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        let applied = self.members[&id].applied_index;
        assert!(applied >= newest, "member {id} reads {applied}, {newest} was acknowledged");
    }

    /// Lets the group work without faults for some time.
    pub fn settle(&mut self) {
        for _ in 0..200 {
            self.advance(20);
            for id in self.ids() {
                self.sync(id);
            }
            for _ in 0..self.network.len() {
                self.deliver(0, false);
            }
        }
    }

    /// Heals everything, restarts all, and checks that nothing acknowledged is missing.
    pub fn heal_and_verify(&mut self) {
        self.heal();
        for id in self.ids() {
            if matches!(self.members[&id].stage, Stage::Down) {
                self.restart(id);
            }
        }
        self.settle();
        let leader = self.leader().expect("a healed group has a leader");
        let token = self.propose(leader, b"last");
        self.settle();
        assert!(!self.refused.contains(&token), "a healed group takes commands");
        for (index, command) in &self.acknowledged {
            let entry = self.history.get(index).expect("an acknowledged entry was applied");
            let same = matches!(&entry.body, Some(entry::Body::Command(c)) if c == command);
            assert!(same, "the entry at {index} was acknowledged with another command");
        }
        let leader = self.leader().expect("a healed group has a leader");
        let newest = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        let voters: Vec<MemberId> = self.replica(leader).map_or_else(Vec::new, |replica| {
            replica.membership().voters.iter().map(|voter| MemberId::new(voter.id)).collect()
        });
        let whole = voters.iter().filter(|id| self.members[id].applied_index >= newest).count();
        assert!(whole * 2 > voters.len(), "a majority holds all acknowledged entries");
        self.check_equal_states(&voters, newest);
    }

    fn check_equal_states(&self, voters: &[MemberId], newest: u64) {
        let states: Vec<&Vec<Vec<u8>>> = voters
            .iter()
            .map(|id| &self.members[id])
            .filter(|member| member.applied_index >= newest)
            .map(|member| &member.applied)
            .collect();
        let shortest = states.iter().map(|state| state.len()).min().unwrap_or(0);
        for state in &states {
            assert_eq!(state[..shortest], states[0][..shortest], "states differ");
        }
        let count = self.acknowledged.len();
        assert!(shortest >= count, "{shortest} commands are applied, {count} acknowledged");
    }

    /// Returns the commands that a member has applied.
    pub fn applied(&self, id: MemberId) -> &[Vec<u8>] {
        &self.members[&id].applied
    }
}

fn new_replica(identity: Identity, restored: Restored, seed: u64, now: Millis) -> Box<Replica> {
    let timing = Timing { election: ELECTION_TIMEOUT, heartbeat: HEARTBEAT };
    Box::new(Replica::new(identity, timing, restored, seed, now))
}

/// Encodes applied commands, each with its length.
fn encode_state(applied: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for command in applied {
        bytes.push(command.len() as u8);
        bytes.extend_from_slice(command);
    }
    bytes
}

fn decode_state(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut applied = Vec::new();
    while let Some((length, rest)) = bytes.split_first() {
        let (command, rest) = rest.split_at(usize::from(*length));
        applied.push(command.to_vec());
        bytes = rest;
    }
    applied
}
