//! A deterministic simulation of a consensus group: in-memory disks, a simulated network and clocks, and the
//! invariants of consensus checked at every step.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use kingcuplift_core::MemberId;
use kingcuplift_quorum::{
    Effect, Event, Formation, Identity, InitialMembers, Joining, MembershipExt, Millis, Record,
    Recovery, Replica, Restored, RoleName, Store, StoreError, Timing, Token,
};
use kingcuplift_schema::quorum::{Entry, Membership, Peer, Snapshot, Voter, entry, peer};

use crate::disk::{DiskFault, FakeDisk};

/// Time without a leader, in milliseconds, after which a member may start an election.
pub const ELECTION_TIMEOUT: Millis = 300;
/// Interval between heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL: Millis = 60;
/// Protocol timeouts of the members.
const TIMING: Timing = Timing { election: ELECTION_TIMEOUT, heartbeat: HEARTBEAT_INTERVAL };
/// Clock rates of the members, in thousandths; they stay within the drift that a lease allows for.
const CLOCK_RATES: [u64; 5] = [1_000, 950, 1_050, 980, 1_030];

/// A write that is not yet synced.
#[derive(Debug, Clone)]
struct Write {
    seq: u64,
    record: Record,
    snapshot: Option<std::sync::Arc<Snapshot>>,
}

/// Lifecycle stage of a member.
#[derive(Debug)]
enum Stage {
    Down,
    Forming(Formation),
    Up(Box<Replica>),
}

/// A member and its simulated environment.
#[derive(Debug)]
struct Member {
    id: MemberId,
    stage: Stage,
    store: Option<Store<FakeDisk>>,
    disk: Option<FakeDisk>,
    pending_writes: VecDeque<Write>,
    /// Last write of those whose syncs are in progress, and when these end.
    sync_ends: Option<(u64, Millis)>,
    applied: Vec<Vec<u8>>,
    applied_index: u64,
    is_paused: bool,
    /// Whether its disk has failed; the member goes on without one until it doesn't lead any more.
    has_failed_storage: bool,
    clock_offset: Millis,
}

/// A simulated consensus group.
#[derive(Debug)]
pub struct Cluster {
    members: BTreeMap<MemberId, Member>,
    initial: Vec<MemberId>,
    network: Vec<(MemberId, MemberId, Box<Peer>)>,
    blocked: BTreeSet<(MemberId, MemberId)>,
    now: Millis,
    seed: u64,
    token: Token,
    disk_count: u64,
    proposed: BTreeMap<Token, Vec<u8>>,
    /// Commands that were acknowledged to the client, by log index.
    pub acknowledged: BTreeMap<u64, Vec<u8>>,
    /// First entry that any member applied, by log index.
    applied_entries: BTreeMap<u64, Entry>,
    leader_by_term: BTreeMap<u64, MemberId>,
    /// Membership proposals that were committed and acknowledged.
    pub committed_changes: BTreeSet<Token>,
    /// Proposals that were refused.
    pub refused: BTreeSet<Token>,
}

/// Returns the id of the member with a number.
pub fn member_id(number: u64) -> MemberId {
    MemberId::new(number)
}

impl Cluster {
    /// Starts `size` initial members and `spare` further ones, all with empty disks.
    pub fn new(size: u64, spare: u64, seed: u64) -> Self {
        let mut cluster = Self {
            members: BTreeMap::new(),
            initial: (1..=size).map(MemberId::new).collect(),
            network: Vec::new(),
            blocked: BTreeSet::new(),
            now: 1_000,
            seed,
            token: 0,
            disk_count: 0,
            proposed: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            applied_entries: BTreeMap::new(),
            leader_by_term: BTreeMap::new(),
            committed_changes: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        for number in 1..=size + spare {
            let member = Member {
                id: member_id(number),
                stage: Stage::Down,
                store: None,
                disk: Some(FakeDisk::default()),
                pending_writes: VecDeque::new(),
                sync_ends: None,
                applied: Vec::new(),
                applied_index: 0,
                is_paused: false,
                has_failed_storage: false,
                clock_offset: number * 7,
            };
            cluster.members.insert(member_id(number), member);
            cluster.restart(member_id(number));
        }
        cluster
    }

    /// Starts members as [`Self::new`] does and runs them until a leader is elected.
    pub fn with_leader(size: u64, spare: u64, seed: u64) -> Self {
        let mut cluster = Self::new(size, spare, seed);
        cluster.settle();
        assert!(cluster.leader().is_some(), "a leader is elected");
        cluster
    }

    /// Returns the ids of all members.
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

    /// Returns a copy of a member's disk, whether the member runs or not.
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

    /// Makes the disk of a member fail from now on.
    pub fn inject_disk_fault(&mut self, id: MemberId, fault: DiskFault) {
        let member = self.members.get_mut(&id).expect("the member exists");
        if let Some(store) = &mut member.store {
            store.folder_mut().fault = Some(fault);
        }
    }

    /// Crashes a member; `kept` selects how much of its unsynced appends survives, as in [`FakeDisk::crash`].
    pub fn crash(&mut self, id: MemberId, kept: usize) {
        self.detach_disk(id, kept);
        let member = self.members.get_mut(&id).expect("the member exists");
        member.stage = Stage::Down;
        member.has_failed_storage = false;
        member.applied.clear();
        member.applied_index = 0;
        member.is_paused = false;
    }

    /// Tells a member that its storage has failed; it is down once it doesn't lead any more. `kept` is as in
    /// [`Self::crash`].
    pub fn fail_storage(&mut self, id: MemberId, kept: usize) {
        self.detach_disk(id, kept);
        let member = self.members.get_mut(&id).expect("the member exists");
        member.has_failed_storage = true;
        self.handle_event(id, Event::StorageFailed);
        self.stop_unless_leading(id);
    }

    /// Drops the pending writes of a member and keeps a part of what its disk has not synced.
    fn detach_disk(&mut self, id: MemberId, kept: usize) {
        let member = self.members.get_mut(&id).expect("the member exists");
        if let Some(store) = member.store.take() {
            let mut disk = store.into_folder();
            disk.crash_keeping_names(kept, |at| kept.rotate_right(at as u32) & 1 == 1);
            member.disk = Some(disk);
        }
        member.pending_writes.clear();
        member.sync_ends = None;
    }

    /// Stops a member whose disk has failed, unless it still leads.
    fn stop_unless_leading(&mut self, id: MemberId) {
        let member = &self.members[&id];
        let is_leader =
            matches!(&member.stage, Stage::Up(replica) if replica.role() == RoleName::Leader);
        if member.has_failed_storage && !is_leader {
            self.crash(id, 0);
        }
    }

    /// Crashes a member and replaces its disk by an empty one.
    pub fn wipe(&mut self, id: MemberId) {
        self.crash(id, 0);
        self.set_disk(id, FakeDisk::default());
    }

    /// Starts a member that is down; returns false when the storage code refuses its disk.
    pub fn restart(&mut self, id: MemberId) -> bool {
        self.disk_count += 1;
        let new_disk_id = self.disk_count;
        let member = self.members.get_mut(&id).expect("the member exists");
        let Some(disk) = member.disk.take() else {
            return true;
        };
        let opened = Store::open(disk.clone(), id, new_disk_id);
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
        let now = self.local_time(id);
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
    fn local_time(&self, id: MemberId) -> Millis {
        let rate = CLOCK_RATES[id.get() as usize % CLOCK_RATES.len()];
        self.now * rate / 1_000 + self.members[&id].clock_offset
    }

    /// Pauses or resumes a member; while paused it handles no event and receives no message.
    pub fn set_paused(&mut self, id: MemberId, is_paused: bool) {
        self.members.get_mut(&id).expect("the member exists").is_paused = is_paused;
        // A read may reach a resumed member before it notices how much time has passed.
        self.check_linearizable_read(id);
    }

    /// Blocks or restores delivery from one member to another.
    pub fn set_blocked(&mut self, from: MemberId, to: MemberId, is_blocked: bool) {
        match is_blocked {
            true => drop(self.blocked.insert((from, to))),
            false => drop(self.blocked.remove(&(from, to))),
        }
    }

    /// Blocks or restores delivery between a member and all others, in both directions.
    pub fn set_isolated(&mut self, id: MemberId, is_blocked: bool) {
        for other in self.ids() {
            self.set_blocked(id, other, is_blocked);
            self.set_blocked(other, id, is_blocked);
        }
    }

    /// Restores delivery between all members and resumes them.
    pub fn heal(&mut self) {
        self.blocked.clear();
        for id in self.ids() {
            self.set_paused(id, false);
        }
    }

    /// Advances the simulated time and sends a tick to every member that is not paused.
    pub fn advance(&mut self, millis: Millis) {
        self.now += millis;
        for id in self.ids() {
            self.send_offers(id);
            self.handle_event(id, Event::Tick);
        }
    }

    fn send_offers(&mut self, id: MemberId) {
        let group = 1 + self.next_seed() % 1_000_000;
        let now = self.local_time(id);
        let member = &self.members[&id];
        let Stage::Forming(formation) = &member.stage else { return };
        let (offer, formed) = (formation.offer(), formation.try_form(group, now));
        for other in self.initial.clone().into_iter().filter(|other| *other != id) {
            self.send(id, other, Box::new(offer.clone()));
        }
        if let Some(joining) = formed {
            self.join_group(id, joining);
        }
    }

    fn join_group(&mut self, id: MemberId, joining: Joining) {
        let seed = self.next_seed();
        let now = self.local_time(id);
        let member = self.members.get_mut(&id).expect("the member exists");
        let Stage::Forming(formation) = &member.stage else { return };
        let identity = Identity { id, disk: formation.offer().disk };
        let replica = Replica::join(identity, TIMING, joining, seed, now);
        member.stage = Stage::Up(Box::new(replica));
        self.handle_event(id, Event::Tick);
    }

    fn send(&mut self, from: MemberId, to: MemberId, message: Box<Peer>) {
        if !self.blocked.contains(&(from, to)) && self.members.contains_key(&to) {
            self.network.push((from, to, message));
        }
    }

    /// Returns the number of messages in flight.
    pub fn in_flight(&self) -> usize {
        self.network.len()
    }

    /// Delivers the message at `pick` modulo the number in flight; a duplicate stays in flight if `is_duplicated`.
    pub fn deliver(&mut self, pick: usize, is_duplicated: bool) {
        if self.network.is_empty() {
            return;
        }
        let at = pick % self.network.len();
        let (from, to, message) = match is_duplicated {
            true => self.network[at].clone(),
            false => self.network.remove(at),
        };
        if !self.blocked.contains(&(from, to)) {
            self.receive(to, message);
        }
    }

    /// Drops the message at `pick` modulo the number in flight.
    pub fn drop_message(&mut self, pick: usize) {
        if !self.network.is_empty() {
            let at = pick % self.network.len();
            self.network.remove(at);
        }
    }

    fn receive(&mut self, id: MemberId, message: Box<Peer>) {
        let now = self.local_time(id);
        let member = self.members.get_mut(&id).expect("the member exists");
        if member.is_paused {
            return;
        }
        let joined = match &mut member.stage {
            Stage::Down => return,
            Stage::Forming(formation) => formation.receive(&message, now),
            Stage::Up(replica) => {
                if let Some(peer::Body::Offer(_)) = &message.body {
                    let (membership, invitation) =
                        (replica.membership().clone(), replica.invitation());
                    return self.answer_offer(id, &message, &membership, invitation);
                }
                return self.handle_event(id, Event::Receive(message));
            }
        };
        if let Some(joining) = joined {
            self.join_group(id, joining);
        }
    }

    fn answer_offer(
        &mut self,
        id: MemberId,
        offer: &Peer,
        membership: &Membership,
        invitation: Option<peer::Body>,
    ) {
        let to = MemberId::new(offer.from);
        let is_member = membership.member(to).is_some_and(|voter| voter.disk == offer.disk);
        let (Some(body), true) = (invitation, is_member) else { return };
        let message =
            Peer { from: id.get(), disk: 0, group: membership.group, term: 0, body: Some(body) };
        self.send(id, to, Box::new(message));
    }

    /// Proposes a command to a member and returns the token of the proposal.
    pub fn propose(&mut self, id: MemberId, command: &[u8]) -> Token {
        self.token += 1;
        let token = self.token;
        self.proposed.insert(token, command.to_vec());
        self.handle_event(id, Event::Propose { token, command: command.to_vec() });
        token
    }

    /// Proposes a membership to a member and returns the token of the proposal.
    pub fn propose_membership(&mut self, id: MemberId, membership: Membership) -> Token {
        self.token += 1;
        let token = self.token;
        self.handle_event(id, Event::ChangeMembers { token, membership });
        token
    }

    /// Asks a member to transfer its leadership to another one.
    pub fn transfer_leadership(&mut self, id: MemberId) {
        self.handle_event(id, Event::Transfer);
    }

    /// Returns a membership entry that describes a member with its present disk.
    pub fn voter(&mut self, number: MemberId) -> Voter {
        let disk = match &self.members[&number].stage {
            Stage::Forming(formation) => formation.offer().disk,
            Stage::Up(replica) => replica.identity().disk,
            Stage::Down => 0,
        };
        let address = format!("address-{number}");
        Voter { id: number.get(), disk, listen: address.clone(), http: address, ..Voter::default() }
    }

    /// Gives a member a snapshot of the state that it has applied.
    pub fn snapshot(&mut self, id: MemberId) {
        let member = &self.members[&id];
        let (index, state) = (member.applied_index, encode_state(&member.applied));
        self.handle_event(id, Event::SnapshotTaken { index, state });
    }

    /// Performs the pending writes of a member; crashes it and returns false when its disk fails.
    pub fn sync(&mut self, id: MemberId) -> bool {
        match self.write_pending(id) {
            Ok(last) => {
                if let Some((last, _)) = last {
                    self.handle_event(id, Event::Stored(last));
                }
                true
            }
            Err(_) => {
                self.fail_storage(id, 1);
                false
            }
        }
    }

    /// Performs the writes of a member whose disk takes `duration` for each sync; writes that wait share the next one.
    pub fn sync_slowly(&mut self, id: MemberId, duration: Millis) {
        let now = self.now;
        match self.members[&id].sync_ends {
            Some((last, at)) if now >= at => {
                self.members.get_mut(&id).expect("the member exists").sync_ends = None;
                self.handle_event(id, Event::Stored(last));
            }
            Some(_) => return,
            None => {}
        }
        match self.write_pending(id) {
            Ok(Some((last, syncs))) => {
                let member = self.members.get_mut(&id).expect("the member exists");
                member.sync_ends = Some((last, now + duration * syncs as Millis));
            }
            Ok(None) => {}
            Err(_) => self.fail_storage(id, 1),
        }
    }

    /// Performs the pending writes of a member as the daemon does; returns the last one and the number of syncs in series.
    fn write_pending(&mut self, id: MemberId) -> Result<Option<(u64, usize)>, StoreError> {
        let member = self.members.get_mut(&id).expect("the member exists");
        if member.is_paused {
            return Ok(None);
        }
        let writes: Vec<Write> = member.pending_writes.drain(..).collect();
        let (Some(last), Some(store)) = (writes.last().map(|write| write.seq), &mut member.store)
        else {
            return Ok(None);
        };
        let before = store.folder().syncs;
        let mut records = Vec::new();
        for write in writes {
            if let Some(snapshot) = &write.snapshot {
                save_records(store, &mut records)?;
                store.save_snapshot(snapshot)?;
            }
            records.push(write.record);
        }
        save_records(store, &mut records)?;
        Ok(Some((last, store.folder().syncs - before)))
    }

    fn handle_event(&mut self, id: MemberId, event: Event) {
        let now = self.local_time(id);
        let member = self.members.get_mut(&id).expect("the member exists");
        if member.is_paused {
            return;
        }
        let Stage::Up(replica) = &mut member.stage else { return };
        let effects = replica.handle(event, now);
        let (role, term) = (replica.role(), replica.term());
        if role == RoleName::Leader {
            let leader = self.leader_by_term.entry(term).or_insert(id);
            assert_eq!(*leader, id, "two leaders in term {term}");
        }
        for effect in effects {
            self.perform_effect(id, effect);
        }
        self.stop_unless_leading(id);
        self.check_linearizable_read(id);
    }

    fn perform_effect(&mut self, id: MemberId, effect: Effect) {
        match effect {
            Effect::Save { seq, hard_state, entries, snapshot, joined } => {
                let record = Record { hard_state, entries, joined };
                let member = self.members.get_mut(&id).expect("the member exists");
                if !member.has_failed_storage {
                    member.pending_writes.push_back(Write { seq, record, snapshot });
                }
            }
            Effect::Send { to, message } => self.send(id, to, message),
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
        let first = self.applied_entries.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(*first, entry, "member {id} applied a different entry at index {}", entry.index);
        let member = self.members.get_mut(&id).expect("the member exists");
        assert_eq!(member.applied_index + 1, entry.index, "member {id} skipped an entry");
        member.applied_index = entry.index;
        match entry.body {
            Some(entry::Body::Command(command)) => {
                member.applied.push(command.to_vec());
                if let Some(token) = token {
                    assert_eq!(
                        self.proposed[&token],
                        command.as_ref(),
                        "the token belongs to another command"
                    );
                    self.acknowledged.insert(entry.index, command.to_vec());
                }
            }
            Some(entry::Body::Membership(_)) => self.committed_changes.extend(token),
            _ => {}
        }
    }

    /// Checks that a member that would serve a linearizable read has applied all acknowledged commands.
    fn check_linearizable_read(&self, id: MemberId) {
        let Stage::Up(replica) = &self.members[&id].stage else { return };
        if !replica.is_current(self.local_time(id)) {
            return;
        }
        let newest = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        let applied = self.members[&id].applied_index;
        assert!(
            applied >= newest,
            "member {id} would read index {applied}, {newest} was acknowledged"
        );
    }

    /// Runs the group without new faults for 4 s of simulated time, with all writes and messages completed.
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

    /// Ends all faults, restarts all members that are down, and checks that no acknowledged command is lost.
    pub fn heal_and_verify(&mut self) {
        self.heal();
        for id in self.ids() {
            if self.members[&id].has_failed_storage {
                self.crash(id, 0);
            }
            if matches!(self.members[&id].stage, Stage::Down) {
                self.restart(id);
            }
        }
        self.settle();
        let leader = self.leader().expect("a leader is elected once all faults have ended");
        let token = self.propose(leader, b"last");
        self.settle();
        assert!(!self.refused.contains(&token), "commands are accepted once all faults have ended");
        for (index, command) in &self.acknowledged {
            let entry = self.applied_entries.get(index).expect("an acknowledged entry was applied");
            let is_same = matches!(&entry.body, Some(entry::Body::Command(c)) if c == command);
            assert!(is_same, "the entry at {index} was acknowledged with another command");
        }
        let leader = self.leader().expect("a leader is elected once all faults have ended");
        let newest = self.acknowledged.keys().next_back().copied().unwrap_or(0);
        let voters: Vec<MemberId> = self.replica(leader).map_or_else(Vec::new, |replica| {
            replica.membership().voters.iter().map(|voter| MemberId::new(voter.id)).collect()
        });
        let up_to_date =
            voters.iter().filter(|id| self.members[id].applied_index >= newest).count();
        assert!(up_to_date * 2 > voters.len(), "a majority has applied all acknowledged entries");
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
            assert_eq!(
                state[..shortest],
                states[0][..shortest],
                "the applied states of two voters differ"
            );
        }
        let count = self.acknowledged.len();
        assert!(
            shortest >= count,
            "a voter has applied {shortest} commands, {count} were acknowledged"
        );
    }

    /// Returns the commands that a member has applied.
    pub fn applied(&self, id: MemberId) -> &[Vec<u8>] {
        &self.members[&id].applied
    }
}

/// Writes records that share a sync.
fn save_records(store: &mut Store<FakeDisk>, records: &mut Vec<Record>) -> Result<(), StoreError> {
    records.retain(|record| !record.is_empty());
    match records.is_empty() {
        true => Ok(()),
        false => store.save(&std::mem::take(records)),
    }
}

fn new_replica(identity: Identity, restored: Restored, seed: u64, now: Millis) -> Box<Replica> {
    Box::new(Replica::new(identity, TIMING, restored, seed, now))
}

/// Encodes applied commands, each with a length prefix of one byte.
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
