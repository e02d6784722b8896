//! Faults of a soak, and the actions that end them.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::load::lock;
use super::probes::Disturbance;
use super::throttle::used_share;
use super::{ACTION_POLL_INTERVAL, Proxy, ProxyFault, Soak};

/// Shortest time between two lost disks; the member that lost the first must have been replaced by then.
pub(super) const MIN_WIPE_INTERVAL: Duration = Duration::from_secs(9);
/// Time after its start within which a process may not have installed its signal handlers yet.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(300);
/// Delay that [`Fault::Delay`] adds to a link.
const LINK_DELAY: Duration = Duration::from_millis(60);
/// Fraction of the faults that strike the member that confirmed a version last; mostly the leader.
const LEADER_FRACTION: f64 = 0.25;
/// Fraction of the faults that strike any member.
const MEMBER_FRACTION: f64 = 0.25;
/// Longest time between two processes that are stopped in turn.
const LONGEST_TURN: Duration = Duration::from_millis(1_300);
/// Time until an empty member takes the place of one that is gone for good.
pub(super) const REPLACEMENT_TIME: Duration = Duration::from_secs(1);
/// Number of seeds in the settings of a process.
const SEEDS: usize = 3;
/// Time to wait for a confirmation before a fault that follows it.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after its start from which on the processor time of a process is reported; a start takes much of it.
const MIN_MEASURED_TIME: Duration = Duration::from_secs(5);
/// Upper bound of the room that [`Fault::FillDisk`] leaves in each file, in bytes.
const LARGEST_ROOM: u64 = 4_000;
/// Time after its start after which a member without a disk counts as repaired; 6 s on the large sites.
pub(super) const CATCH_UP_TIME: Duration = Duration::from_secs(6);
/// Time without power after the last fault.
pub(super) const DOWN_TIME: Duration = Duration::from_millis(1_200);

/// Fault that is injected into a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    Kill,
    KillAllMembers,
    KillZone,
    /// Kills four of ten nodes together.
    KillNodes,
    /// Kills the member that confirms the next version, right then.
    KillConfirmer,
    Pause,
    Terminate,
    /// Terminates some nodes one after the other.
    TerminateInTurn,
    Reload,
    /// Changes the seeds in all settings and tells some processes to reload them.
    TurnSeeds,
    Wipe,
    /// A member is gone for good; an empty one at another address takes its place.
    Replace,
    Delay,
    BlockInbound,
    BlockOutbound,
    BlockAll,
    ResetConnections,
    StallConnections,
    /// The disk of a member refuses all writes.
    RefuseWrites,
    /// The disk of a member has room for a few bytes in each file.
    FillDisk,
}

impl Fault {
    const ON_PROCESSES: [Self; 12] = [
        Self::Kill,
        Self::KillAllMembers,
        Self::KillZone,
        Self::KillNodes,
        Self::KillConfirmer,
        Self::Pause,
        Self::Terminate,
        Self::TerminateInTurn,
        Self::Reload,
        Self::TurnSeeds,
        Self::Wipe,
        Self::Replace,
    ];
    const ON_LINKS: [Self; 6] = [
        Self::Delay,
        Self::BlockInbound,
        Self::BlockOutbound,
        Self::BlockAll,
        Self::ResetConnections,
        Self::StallConnections,
    ];

    const ON_DISKS: [Self; 2] = [Self::RefuseWrites, Self::FillDisk];

    /// Returns whether the fault disturbs links, for which they must pass through proxies.
    pub(super) fn is_on_links(self) -> bool {
        Self::ON_LINKS.contains(&self)
    }
}

/// Action at a later time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Action {
    /// Starts a process once it has ended.
    Start(String),
    Resume(String),
    ClearProxyFault(String),
    Terminate(String),
    AllowWrites(String),
}

impl Action {
    fn process(&self) -> &str {
        match self {
            Self::Start(name)
            | Self::Resume(name)
            | Self::ClearProxyFault(name)
            | Self::Terminate(name)
            | Self::AllowWrites(name) => name,
        }
    }
}

impl Soak {
    /// Starts the proxies of addresses that have none yet.
    pub(super) fn start_proxies(&mut self) {
        let started: usize = self.proxies.values().map(Vec::len).sum();
        for address in &self.site.proxied_addresses()[started..] {
            let proxy = Proxy::start(&address.advertised, &address.listen);
            self.proxies.entry(address.process.clone()).or_default().push(proxy);
        }
    }

    pub(super) fn draw_fault(&mut self) -> Fault {
        let on_links = if self.options.is_proxied { &Fault::ON_LINKS[..] } else { &[] };
        let on_disks = if self.options.disk_faults { &Fault::ON_DISKS[..] } else { &[] };
        let faults = [&Fault::ON_PROCESSES[..], on_links, on_disks].concat();
        faults[self.rng.random_range(0..faults.len())]
    }

    /// Returns the process that the next fault strikes, if it is not struck already.
    fn draw_process(&mut self, fault: Fault) -> Option<String> {
        let wants_member =
            matches!(fault, Fault::Wipe | Fault::Replace) || Fault::ON_DISKS.contains(&fault);
        let draw = self.rng.random::<f64>();
        let names = self.site.names();
        let is_member = |name: &&String| name.starts_with("core-");
        let name = match self.confirmer() {
            Some(leader) if draw < LEADER_FRACTION => Some(leader),
            _ if wants_member || draw < LEADER_FRACTION + MEMBER_FRACTION => {
                let members: Vec<_> = names.iter().filter(is_member).collect();
                members.choose(&mut self.rng).map(|name| (*name).clone())
            }
            _ => names.choose(&mut self.rng).cloned(),
        };
        name.filter(|name| self.is_free(name))
    }

    /// Returns whether a process runs and no action on it is due later.
    fn is_free(&self, name: &str) -> bool {
        self.site.is_started(name) && !self.has_scheduled(name)
    }

    fn has_scheduled(&self, name: &str) -> bool {
        self.scheduled.iter().any(|(_, action)| action.process() == name)
    }

    /// Returns the member that confirmed a version last.
    pub(super) fn confirmer(&self) -> Option<String> {
        let address = lock(&self.observations.confirmer).clone()?;
        self.site.member_at(&address)
    }

    fn is_starting(&self, name: &str) -> bool {
        self.start_times.get(name).is_some_and(|at| at.elapsed() < SIGNAL_SETUP_TIME)
    }

    pub(super) fn record_fault(&mut self, text: String) {
        self.injected_faults.push(format!("{:.2} {text}", self.started_at.elapsed().as_secs_f64()));
    }

    fn draw_duration(&mut self) -> Duration {
        let millis = self.rng.random_range(150..self.options.longest_fault.as_millis() as u64);
        Duration::from_millis(millis)
    }

    fn schedule(&mut self, after: Duration, action: Action) {
        self.scheduled.push((Instant::now() + after, action));
    }

    /// Kills a process, which is started again after a while.
    pub(super) fn kill(&mut self, name: &str, fault: Fault, down_time: Duration) {
        self.begin_disturbance(name, fault);
        self.throttle.release(name);
        self.site.kill(name);
        self.schedule(down_time, Action::Start(name.to_owned()));
    }

    /// Kills all running processes that `is_struck` selects, which come back together.
    fn kill_together(&mut self, fault: Fault, is_struck: impl Fn(&Self, &str) -> bool) {
        let down_time = self.draw_duration();
        for name in self.site.names() {
            if self.is_free(&name) && is_struck(self, &name) {
                self.kill(&name, fault, down_time);
            }
        }
    }

    fn terminate(&mut self, name: &str) {
        self.begin_disturbance(name, Fault::Terminate);
        self.throttle.release(name);
        self.site.signal(name, "-TERM");
        let down_time = self.draw_duration();
        self.schedule(down_time, Action::Start(name.to_owned()));
    }

    fn terminate_in_turn(&mut self) {
        let mut nodes = self.site.names();
        nodes.retain(|name| name.starts_with("node-") && self.is_free(name));
        nodes.shuffle(&mut self.rng);
        nodes.truncate(nodes.len().div_ceil(3));
        let gap = self.rng.random_range(100..LONGEST_TURN.as_millis() as u64);
        for (turn, name) in (0..).zip(nodes) {
            self.schedule(Duration::from_millis(gap * turn), Action::Terminate(name));
        }
    }

    /// Writes the addresses of some members into the settings of a process.
    fn renew_seeds(&mut self, name: &str) {
        let mut members = self.site.names();
        members.retain(|name| name.starts_with("core-"));
        members.shuffle(&mut self.rng);
        members.truncate(SEEDS);
        self.site.set_seeds(name, &members);
    }

    fn turn_seeds(&mut self) {
        for name in self.site.names() {
            self.renew_seeds(&name);
            if self.is_free(&name) && !self.is_starting(&name) && self.rng.random_bool(0.5) {
                self.site.signal(&name, "-HUP");
            }
        }
    }

    /// Gives the place of a member that is not running to an empty one at another address, and returns its name.
    pub(super) fn replace_stopped(&mut self, name: &str) -> String {
        self.site.remove(name);
        let new = self.site.add_member();
        self.start_proxies();
        let mut addresses = lock(&self.members);
        let old_address = self.site.operator_address_of(name);
        addresses.retain(|address| *address != old_address);
        addresses.push(self.site.operator_address_of(&new));
        drop(addresses);
        self.end_disturbances(name);
        new
    }

    fn replace(&mut self, name: &str) {
        self.site.kill(name);
        let new = self.replace_stopped(name);
        self.begin_disturbance(&new, Fault::Replace);
        self.schedule(REPLACEMENT_TIME, Action::Start(new));
        self.wiped_at = Some(Instant::now());
    }

    fn set_proxy_fault(&mut self, name: &str, fault: ProxyFault) {
        for proxy in &self.proxies[name] {
            proxy.set_fault(fault);
        }
        let duration = self.draw_duration();
        self.schedule(duration, Action::ClearProxyFault(name.to_owned()));
    }

    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillAllMembers => self.kill_together(fault, |_, name| name.starts_with("core-")),
            Fault::KillZone => {
                let Some(process) = self.site.names().choose(&mut self.rng).cloned() else {
                    return;
                };
                let zone = self.site.zone(&process);
                self.kill_together(fault, |soak, name| soak.site.zone(name) == zone);
            }
            Fault::KillNodes => self.kill_together(fault, |_, name| {
                name.strip_prefix("node-")
                    .is_some_and(|number| number.ends_with(['1', '3', '5', '8']))
            }),
            Fault::KillConfirmer => {
                self.wait_for_confirmation();
                let confirmer = self.confirmer().filter(|name| self.is_free(name));
                let down_time = self.draw_duration();
                let Some(name) = confirmer else { return };
                self.kill(&name, fault, down_time);
            }
            Fault::TerminateInTurn => self.terminate_in_turn(),
            Fault::TurnSeeds => self.turn_seeds(),
            _ => return self.inject_into_one(fault),
        }
        self.record_fault(format!("{fault:?}"));
    }

    /// Injects a fault that strikes one process.
    fn inject_into_one(&mut self, fault: Fault) {
        let Some(name) = self.draw_process(fault) else { return };
        match fault {
            Fault::Wipe | Fault::Replace if !self.can_wipe(&name) => return,
            // SIGHUP would end a process that has not installed its signal handlers yet.
            Fault::Reload if self.is_starting(&name) => return,
            Fault::Kill => {
                let down_time = self.draw_duration();
                self.kill(&name, fault, down_time);
            }
            Fault::Terminate => self.terminate(&name),
            Fault::RefuseWrites | Fault::FillDisk => self.limit_disk(&name, fault),
            _ => self.disturb(&name, fault),
        }
        self.record_fault(format!("{fault:?} {name}"));
    }

    /// Makes the disk of a member refuse writes for a while. No version may be late for that.
    fn limit_disk(&mut self, name: &str, fault: Fault) {
        match fault {
            Fault::FillDisk => {
                let spare = self.rng.random_range(0..LARGEST_ROOM);
                self.site.limit_writes(name, spare);
            }
            _ => self.site.refuse_writes(name, true),
        }
        let duration = self.draw_duration();
        self.schedule(duration, Action::AllowWrites(name.to_owned()));
    }

    /// Injects a fault that leaves the process running, or changes it for good.
    pub(super) fn disturb(&mut self, name: &str, fault: Fault) {
        self.begin_disturbance(name, fault);
        if matches!(fault, Fault::Wipe | Fault::Replace | Fault::Pause) {
            self.throttle.release(name);
        }
        match fault {
            Fault::Pause => {
                self.site.signal(name, "-STOP");
                let duration = self.draw_duration();
                self.schedule(duration, Action::Resume(name.to_owned()));
            }
            Fault::Reload => self.site.signal(name, "-HUP"),
            Fault::Wipe => {
                self.site.kill(name);
                self.site.wipe(name);
                self.wiped_at = Some(Instant::now());
                let duration = self.draw_duration();
                self.schedule(duration, Action::Start(name.to_owned()));
            }
            Fault::Replace => return self.replace(name),
            Fault::Delay => self.set_proxy_fault(name, ProxyFault::Delay(LINK_DELAY)),
            Fault::BlockInbound => self.set_proxy_fault(name, ProxyFault::BlockInbound),
            Fault::BlockOutbound => self.set_proxy_fault(name, ProxyFault::BlockOutbound),
            Fault::BlockAll => self.set_proxy_fault(name, ProxyFault::BlockAll),
            Fault::ResetConnections => self.proxies[name].iter().for_each(Proxy::reset_connections),
            Fault::StallConnections => self.proxies[name].iter().for_each(Proxy::stall_connections),
            _ => {}
        }
        if !self.has_scheduled(name) {
            self.end_disturbances(name);
        }
    }

    /// Returns whether a majority of members still has all data when this member's disk is lost now.
    fn can_wipe(&self, name: &str) -> bool {
        let members = self.site.names().into_iter().filter(|name| name.starts_with("core-"));
        let all_healthy = members.into_iter().all(|name| self.is_free(&name));
        let is_settled = self.started_at.elapsed() > Duration::from_secs(2);
        let is_member = name.starts_with("core-");
        let is_due = self.wiped_at.is_none_or(|at| at.elapsed() > MIN_WIPE_INTERVAL);
        is_member && all_healthy && is_settled && is_due
    }

    /// Performs the actions that are due, or ends every fault if `all` is set.
    pub(super) fn perform_due(&mut self, all: bool) {
        let now = Instant::now();
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.scheduled).into_iter().partition(|(at, _)| all || *at <= now);
        self.scheduled = rest;
        for (_, action) in due {
            match action {
                Action::Start(name) if !self.site.has_exited(&name) => match all {
                    true => {
                        self.site.wait_exited(&name);
                        self.start(&name);
                    }
                    false => self.schedule(ACTION_POLL_INTERVAL, Action::Start(name)),
                },
                Action::Start(name) => self.start(&name),
                Action::Resume(name) => {
                    self.site.signal(&name, "-CONT");
                    self.throttle(&name);
                    self.end_disturbances(&name);
                }
                Action::ClearProxyFault(name) => {
                    self.proxies[&name].iter().for_each(|p| p.set_fault(ProxyFault::None));
                    self.end_disturbances(&name);
                }
                Action::AllowWrites(name) => self.site.refuse_writes(&name, false),
                Action::Terminate(name) if !all && self.is_free(&name) => self.terminate(&name),
                Action::Terminate(_) => {}
            }
        }
    }

    pub(super) fn start(&mut self, name: &str) {
        self.renew_seeds(name);
        self.site.start_process(name);
        self.throttle(name);
        self.end_disturbances(name);
        self.start_times.insert(name.to_owned(), Instant::now());
    }

    /// Waits until another version is confirmed.
    pub(super) fn wait_for_confirmation(&self) {
        let count = || lock(&self.observations.confirmed).len();
        let (before, until) = (count(), Instant::now() + CONFIRMATION_TIMEOUT);
        while count() == before && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Kills all processes right after a version is confirmed, and starts them again.
    pub(super) fn kill_all_after_confirmation(&mut self) {
        self.wait_for_confirmation();
        let names = self.site.names();
        for name in &names {
            self.begin_disturbance(name, Fault::KillAllMembers);
            self.throttle.release(name);
        }
        self.site.kill_all();
        self.record_fault("KillAll".to_owned());
        std::thread::sleep(DOWN_TIME);
        for name in &names {
            self.start(name);
        }
    }

    /// Returns the largest share of a processor that a member, and a node, has used since its last start, if that is not
    /// too recent.
    pub(super) fn processor_shares(&self) -> (f64, f64) {
        let largest = |kind: &str| {
            let names = self.site.names().into_iter().filter(|name| name.starts_with(kind));
            let shares = names.filter(|name| self.site.is_started(name)).filter_map(|name| {
                let started_at = self.start_times.get(&name).unwrap_or(&self.started_at);
                let time = started_at.elapsed();
                (time > MIN_MEASURED_TIME).then(|| used_share(self.site.process_id(&name), time))
            });
            shares.fold(0.0, f64::max)
        };
        (largest("core-"), largest("node-"))
    }

    /// Records that a process is disturbed from now on.
    pub(super) fn begin_disturbance(&mut self, process: &str, fault: Fault) {
        let is_restart = !matches!(fault, Fault::Pause | Fault::Reload) && !fault.is_on_links();
        self.disturbances.push(Disturbance {
            process: process.to_owned(),
            began_at: Instant::now(),
            ended_at: None,
            is_restart,
            is_absent: is_restart || fault == Fault::Pause,
        });
    }

    /// Records that the disturbances of a process are over.
    fn end_disturbances(&mut self, process: &str) {
        let ended_at = Some(Instant::now());
        let own = self.disturbances.iter_mut().filter(|d| d.process == process);
        own.filter(|d| d.ended_at.is_none()).for_each(|d| d.ended_at = ended_at);
    }
}
