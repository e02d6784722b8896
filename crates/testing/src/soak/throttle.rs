//! Limits the processor time of processes, as a container's quota does.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_getcpuclockid};
use nix::unistd;
use rustix::process::{Pid, Signal, kill_process};

use crate::soak::load::lock;

/// Period of the quota.
const PERIOD: Duration = Duration::from_millis(100);
/// Interval of the checks within a period.
const CHECK_INTERVAL: Duration = Duration::from_millis(4);

/// A process with a quota.
#[derive(Debug)]
struct Limited {
    pid: Pid,
    quota: Duration,
    /// Processor time at the beginning of the period.
    used_before: Duration,
    is_stopped: bool,
}

/// Processes with quotas, by name; clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct Throttle(Arc<Mutex<BTreeMap<String, Limited>>>);

impl Throttle {
    /// Limits a process to a share of one processor; 0 means no limit.
    pub(super) fn limit(&self, name: &str, pid: u32, share: f64) {
        let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
        let (Some(pid), true) = (pid, share > 0.0) else { return };
        let quota = PERIOD.mul_f64(share);
        let limited = Limited { pid, quota, used_before: processor_time(pid), is_stopped: false };
        lock(&self.0).insert(name.to_owned(), limited);
    }

    /// Ends the limit of a process, which runs on.
    pub(super) fn release(&self, name: &str) {
        if let Some(limited) = lock(&self.0).remove(name)
            && limited.is_stopped
        {
            signal(limited.pid, Signal::CONT);
        }
    }

    /// Enforces the limits until `is_over` is set.
    pub(super) fn run(&self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Acquire) {
            let began_at = Instant::now();
            for limited in lock(&self.0).values_mut() {
                limited.used_before = processor_time(limited.pid);
                if std::mem::take(&mut limited.is_stopped) {
                    signal(limited.pid, Signal::CONT);
                }
            }
            while began_at.elapsed() < PERIOD {
                std::thread::sleep(CHECK_INTERVAL);
                for limited in lock(&self.0).values_mut().filter(|limited| !limited.is_stopped) {
                    let used = processor_time(limited.pid).saturating_sub(limited.used_before);
                    if used >= limited.quota {
                        limited.is_stopped = true;
                        signal(limited.pid, Signal::STOP);
                    }
                }
            }
        }
        let names: Vec<String> = lock(&self.0).keys().cloned().collect();
        names.iter().for_each(|name| self.release(name));
    }
}

/// Returns the processor time that all threads of a process have used, also those that have ended; zero once the process has.
fn processor_time(pid: Pid) -> Duration {
    let clock = clock_getcpuclockid(unistd::Pid::from_raw(pid.as_raw_nonzero().get()));
    clock.and_then(ClockId::now).map(Duration::from).unwrap_or_default()
}

/// Returns the share of a processor that a process has used within `time`.
pub(super) fn used_share(pid: u32, time: Duration) -> f64 {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    pid.map_or(0.0, |pid| processor_time(pid).as_secs_f64() / time.as_secs_f64())
}

fn signal(pid: Pid, signal: Signal) {
    // The process may have ended.
    let _sent = kill_process(pid, signal);
}
