//! Schedules bulk transfers on the link of a VM, so that small messages never queue behind them.
//!
//! Load: downloads at 1.1 times what the link bears, with small responses on the same link. Bulk is admitted as far as
//! it can be sent in time and paced at the link rate less the usage of small messages; small messages are not paced.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use kingcuplift_core::ByteSize;
use thiserror::Error;

/// Maximum number of bytes sent in one piece: 11 ms of a link of 12 Mbit/s.
pub const MAX_CHUNK: ByteSize = ByteSize::kib(16);
/// Time of the link rate that may be sent at once after a pause; with one chunk, the link's queue stays below 20 ms.
const BURST_US: f64 = 8_000.0;
/// Part of the link rate that payload may use; the rest is for the headers of packets.
const PAYLOAD_SHARE: f64 = 0.95;
/// Part of the link rate that bulk always keeps, whatever small messages use.
const MIN_BULK_SHARE: f64 = 0.1;
/// Part of the time to the objective that a transfer may be expected to take.
///
/// Sizes vary up to six times around the mean. In `small_in_time_and_bulk_as_it_fits`, 2 % of the admitted transfers
/// are late with 0.7 and 7 % with 0.9, and the link carries as much in time.
const TIME_SHARE: f64 = 0.7;
/// Time between two updates of usage and rate.
const WINDOW_US: u64 = 100_000;
/// Number of windows without an update that count at most; the averages have settled by then.
const MAX_WINDOWS: u64 = 64;
/// Weight of the newest window in the usage of small messages and of bulk in time.
const USAGE_WEIGHT: f64 = 0.25;
/// Part of the bytes that may be sent in a window from which on the link counts as keeping up.
const KEEPING_UP: f64 = 0.9;
/// Part of a window in which connections must have been stalled as evidence that the link is busy.
const MIN_STALLED: f64 = 0.8;
/// Longest stall of a connection that says something of the link, which takes 11 ms for a chunk at 12 Mbit/s.
///
/// With readers of 10 KB/s, stalls last for seconds; as evidence they lowered the rate for 18 s.
pub const MAX_LINK_STALL: Duration = Duration::from_millis(150);
/// Part of the observed rate that is used after a fall, so that what has queued up can leave.
const AFTER_FALL: f64 = 0.95;
/// Lowest learnt rate where no bound is set, in bytes per second: 1 Mbit/s.
const MIN_RATE: f64 = MBIT;
/// Windows without evidence after which a rate without bound is forgotten: 5 s.
const FORGET_WINDOWS: u64 = 50;
/// Part of the earlier rate below which one window does not lower it.
const MAX_FALL: f64 = 0.7;
/// Part of the bound below which the learnt rate does not fall.
const MIN_RATE_SHARE: f64 = 0.125;
/// Growth of the rate in each window without evidence of a slower link: back to the bound from half of it in 1.5 s.
const GROWTH: f64 = 1.05;
/// Time after the last chunk from which on a transfer that asks for nothing has a slow reader or source.
const SLOW_AFTER_US: u64 = 200_000;
/// Bytes of connection buffers that each transfer takes beside its body.
const TRANSFER_OVERHEAD: ByteSize = ByteSize::kib(64);
/// Bytes that are reserved at most for a body before it arrives; more of it is not read until it can be sent.
const MAX_RESERVED: ByteSize = ByteSize::kib(128);
/// Bytes held for bulk from which on new bulk calls are refused.
const MAX_HELD: ByteSize = ByteSize::mib(32);
/// Bytes of responses that are read from local targets before they can be sent.
const MAX_READ_AHEAD: ByteSize = ByteSize::mib(8);
/// Size that is assumed for a transfer of unknown size.
const DEFAULT_SIZE: ByteSize = ByteSize::kib(64);
const SECOND_US: f64 = 1_000_000.0;
/// Bytes per second in 1 Mbit/s.
const MBIT: f64 = 125_000.0;

/// Error returned when a text is not a link rate.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{0:?} is not a link rate; write a number above 0, optionally followed by Mbit/s")]
pub struct ParseLinkRateError(String);

/// Number of bytes that a link carries per second; above 0.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct LinkRate(f64);

impl LinkRate {
    /// Wraps a rate in Mbit/s; `None` unless it is a number above 0.
    pub fn mbps(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate > 0.0).then_some(Self(rate * MBIT))
    }

    /// Returns the number of bytes per second.
    pub const fn bytes_per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}Mbit/s", self.0 / MBIT)
    }
}

impl FromStr for LinkRate {
    type Err = ParseLinkRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim_end_matches("Mbit/s").parse().ok();
        number.and_then(Self::mbps).ok_or_else(|| ParseLinkRateError(text.to_owned()))
    }
}

/// Identifier of an admitted transfer; a smaller one was admitted earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId(u64);

impl fmt::Display for TransferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A transfer that asks for admission; times are in microseconds on the clock of the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferRequest {
    /// Expected size; `None` if nothing is known of it.
    pub size: Option<ByteSize>,
    /// Expected time until the first byte can be sent.
    pub service_us: u64,
    /// Time by which the last byte should be sent.
    pub objective_us: u64,
    /// Time after which nobody waits for the transfer.
    pub deadline_us: u64,
    /// Whether the transfer is admitted if it only meets its deadline.
    pub is_patient: bool,
}

/// Reason why a transfer is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkRefusal {
    /// The link can't send it in time; it is expected to fit after this time.
    Busy(Duration),
    /// The node holds too much unsent data; some is expected to be sent after this time.
    Memory(Duration),
}

impl LinkRefusal {
    /// Returns the time after which the transfer is expected to fit.
    pub const fn retry_after(self) -> Duration {
        match self {
            Self::Busy(wait) | Self::Memory(wait) => wait,
        }
    }

    /// Returns the name used in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Busy(_) => "busy",
            Self::Memory(_) => "memory",
        }
    }
}

/// Answer to a transfer that has something to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// This many bytes may be sent now.
    Send(usize),
    /// The transfer waits; the schedule may grant something at this time.
    WaitUntil(u64),
}

/// What the node's connections have done since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkUsage {
    /// Bytes written to connections that use the link.
    pub written: u64,
    /// Time for which such connections could not take more data, in microseconds; without stalls longer than
    /// [`MAX_LINK_STALL`].
    pub stalled_us: u64,
}

/// Order in which transfers are sent: those that can be in time first, by objective.
type SendKey = (bool, u64, TransferId);

#[derive(Debug, Clone, Copy)]
struct Transfer {
    due_us: u64,
    /// Whether the transfer was admitted although it will miss its objective.
    is_late: bool,
    unsent: u64,
    /// Bytes that are counted as held until the body arrives.
    reserved: u64,
    /// Time of the last grant; `None` before the first.
    granted_us: Option<u64>,
    is_waiting: bool,
}

impl Transfer {
    /// Returns whether the link waits for the reader or the source of this transfer.
    fn is_slow(&self, now_us: u64) -> bool {
        !self.is_waiting && self.granted_us.is_some_and(|at| now_us > at + SLOW_AFTER_US)
    }
}

/// Schedule of the bulk transfers that leave over the link of one VM.
///
/// All times are in microseconds on one monotonic clock.
#[derive(Debug)]
pub struct LinkSchedule {
    /// Upper bound of the rate; `None` if it is not known.
    bound: Option<LinkRate>,
    /// Learnt rate; `None` while nothing is paced.
    rate: Option<LinkRate>,
    /// Bytes that may be sent at once; below 0 after a chunk was sent on credit.
    tokens: f64,
    refilled_us: u64,
    transfers: HashMap<TransferId, Transfer>,
    waiting: BTreeSet<SendKey>,
    next_id: u64,
    /// Bytes of bodies that are held in memory.
    held: u64,
    /// Bytes that are reserved for bodies that have not arrived.
    reserved: u64,
    /// Part of the held bytes that was read from local targets ahead of the link.
    read_ahead: u64,
    window: Window,
    /// Bytes per second of small messages.
    small: f64,
    /// Bytes per second of bulk that was admitted to be in time.
    in_time: f64,
    /// Windows since the last evidence of a slower link.
    quiet_windows: u64,
}

/// Counts of the current window.
#[derive(Debug, Default)]
struct Window {
    started_us: u64,
    start: LinkUsage,
    granted: u64,
    granted_in_time: u64,
}

impl LinkSchedule {
    /// Creates a schedule for a link of at most `bound`.
    pub fn new(bound: Option<LinkRate>) -> Self {
        Self {
            bound,
            rate: bound,
            tokens: 0.0,
            refilled_us: 0,
            transfers: HashMap::new(),
            waiting: BTreeSet::new(),
            next_id: 0,
            held: 0,
            reserved: 0,
            read_ahead: 0,
            window: Window::default(),
            small: 0.0,
            in_time: 0.0,
            quiet_windows: 0,
        }
    }

    /// Returns the learnt rate of the link; `None` while nothing is paced.
    pub fn rate(&self) -> Option<LinkRate> {
        self.rate
    }

    /// Returns the bytes per second that are left for bulk; `None` while nothing is paced.
    fn bulk_rate(&self) -> Option<f64> {
        let rate = self.rate?.0;
        Some((rate * PAYLOAD_SHARE - self.small).max(rate * MIN_BULK_SHARE))
    }

    /// Returns the bytes that are admitted and unsent, without those that wait for a slow reader.
    pub fn backlog(&self, now_us: u64) -> ByteSize {
        let ready = self.transfers.values().filter(|transfer| !transfer.is_slow(now_us));
        ByteSize::bytes(ready.map(|transfer| transfer.unsent).sum())
    }

    /// Returns the expected wait of a transfer that is admitted now.
    pub fn expected_wait(&self, now_us: u64) -> Duration {
        match self.bulk_rate() {
            Some(rate) => Duration::from_secs_f64(self.backlog(now_us).get() as f64 / rate),
            None => Duration::ZERO,
        }
    }

    /// Returns the bytes that are held for bulk, with the buffers of its connections.
    pub fn held(&self) -> ByteSize {
        let overhead = self.transfers.len() as u64 * TRANSFER_OVERHEAD.get();
        ByteSize::bytes(self.held + self.reserved + overhead)
    }

    /// Ends the reservation of a transfer whose body has arrived; what is in memory of it is held from now on.
    pub fn end_reservation(&mut self, id: TransferId) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            self.reserved -= std::mem::take(&mut transfer.reserved);
        }
    }

    /// Counts bytes of a body as held.
    pub fn hold(&mut self, size: ByteSize) {
        self.held += size.get();
    }

    /// Counts bytes of a body as no longer held.
    pub fn release(&mut self, size: ByteSize) {
        self.held = self.held.saturating_sub(size.get());
    }

    /// Counts bytes that are read from a local target ahead of the link as held, unless too many are.
    pub fn try_read_ahead(&mut self, size: ByteSize) -> bool {
        let fits = self.read_ahead + size.get() <= MAX_READ_AHEAD.get();
        if fits {
            self.read_ahead += size.get();
            self.hold(size);
        }
        fits
    }

    /// Counts bytes that were read ahead as no longer held.
    pub fn release_read_ahead(&mut self, size: ByteSize) {
        self.read_ahead = self.read_ahead.saturating_sub(size.get());
        self.release(size);
    }

    /// Admits a transfer if it can be sent in time behind those that are admitted and unsent.
    ///
    /// A transfer that can't, but is patient and meets its deadline with the capacity that the others leave, is sent
    /// after them.
    pub fn admit(
        &mut self,
        request: TransferRequest,
        now_us: u64,
    ) -> Result<TransferId, LinkRefusal> {
        let size = request.size.unwrap_or(DEFAULT_SIZE).get();
        let reserved = size.min(MAX_RESERVED.get()) + TRANSFER_OVERHEAD.get();
        if self.held().get() + reserved > MAX_HELD.get() {
            return Err(LinkRefusal::Memory(self.expected_wait(now_us)));
        }
        let Some(rate) = self.bulk_rate() else {
            return Ok(self.insert(request.objective_us, false, size));
        };
        let left_us = request.objective_us.saturating_sub(now_us) as f64 * TIME_SHARE;
        let excess_us = self.excess_us(&request, size, rate, left_us, now_us);
        if excess_us <= 0.0 {
            return Ok(self.insert(request.objective_us, false, size));
        }
        if request.is_patient && self.meets_deadline(&request, size, rate, now_us) {
            return Ok(self.insert(request.deadline_us, true, size));
        }
        Err(LinkRefusal::Busy(Duration::from_micros(excess_us as u64)))
    }

    /// Returns by how much a transfer, or one behind it, would miss its time; 0 or less if none would.
    fn excess_us(
        &self,
        request: &TransferRequest,
        size: u64,
        rate: f64,
        left_us: f64,
        now_us: u64,
    ) -> f64 {
        let in_time = |transfer: &&Transfer| !transfer.is_late && !transfer.is_slow(now_us);
        let admitted = self.transfers.values().filter(in_time);
        let (mut ahead, mut behind) = (0, Vec::new());
        for transfer in admitted {
            match transfer.due_us <= request.objective_us {
                true => ahead += transfer.unsent,
                false => behind.push((transfer.due_us, transfer.unsent)),
            }
        }
        let send_us = |bytes: u64| bytes as f64 / rate * SECOND_US;
        let ready_us = send_us(ahead).max(request.service_us as f64);
        let mut excess = ready_us + send_us(size) - left_us;
        behind.sort_unstable();
        let mut sent = ahead;
        for (due_us, unsent) in behind {
            sent += unsent;
            let slack_us = due_us.saturating_sub(now_us) as f64 - send_us(sent);
            // One that is late anyway is no reason to refuse another.
            if slack_us > 0.0 {
                excess = excess.max(send_us(size) - slack_us);
            }
        }
        excess
    }

    /// Returns whether a transfer meets its deadline with the capacity that transfers in time leave.
    fn meets_deadline(&self, request: &TransferRequest, size: u64, rate: f64, now_us: u64) -> bool {
        let spare = rate - self.in_time;
        let left_us = request.deadline_us.saturating_sub(now_us) as f64 * TIME_SHARE;
        let bytes = (self.backlog(now_us).get() + size) as f64;
        spare > 0.0 && (bytes / spare * SECOND_US).max(request.service_us as f64) <= left_us
    }

    fn insert(&mut self, due_us: u64, is_late: bool, unsent: u64) -> TransferId {
        self.next_id += 1;
        let id = TransferId(self.next_id);
        let reserved = unsent.min(MAX_RESERVED.get());
        self.reserved += reserved;
        let (granted_us, is_waiting) = (None, false);
        let transfer = Transfer { due_us, is_late, unsent, reserved, granted_us, is_waiting };
        self.transfers.insert(id, transfer);
        id
    }

    /// Replaces the expected size of a transfer by its real size.
    pub fn set_size(&mut self, id: TransferId, size: ByteSize) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.unsent = size.get();
        }
    }

    /// Removes a transfer that has ended.
    pub fn end(&mut self, id: TransferId) {
        self.stop_waiting(id);
        self.end_reservation(id);
        self.transfers.remove(&id);
    }

    /// Grants up to a chunk of the `wanted` bytes if the link has room and no transfer that goes first waits.
    pub fn request(&mut self, id: TransferId, wanted: usize, now_us: u64) -> Grant {
        let chunk = wanted.min(MAX_CHUNK.as_usize());
        self.refill(now_us);
        let Some(transfer) = self.transfers.get(&id) else { return Grant::Send(chunk) };
        let key = (transfer.is_late, transfer.due_us, id);
        let is_first = self.waiting.first().is_none_or(|first| *first >= key);
        let is_paced = self.rate.is_some();
        if is_paced && (self.tokens <= 0.0 || !is_first) {
            self.waiting.insert(key);
            self.set_waiting(id, true);
            return Grant::WaitUntil(self.next_grant(now_us));
        }
        self.waiting.remove(&key);
        self.tokens -= chunk as f64;
        self.window.granted += chunk as u64;
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.unsent = transfer.unsent.saturating_sub(chunk as u64);
            transfer.granted_us = Some(now_us);
            transfer.is_waiting = false;
            if !transfer.is_late {
                self.window.granted_in_time += chunk as u64;
            }
        }
        Grant::Send(chunk)
    }

    /// Returns the earliest time at which something may be granted.
    pub fn next_grant(&self, now_us: u64) -> u64 {
        match self.bulk_rate() {
            Some(rate) if self.tokens <= 0.0 => {
                self.refilled_us.max(now_us) + ((1.0 - self.tokens) / rate * SECOND_US) as u64
            }
            _ => now_us,
        }
    }

    /// Takes the transfer that goes first of those that wait, if the link has room; it must ask again.
    pub fn take_next(&mut self, now_us: u64) -> Option<TransferId> {
        self.refill(now_us);
        if self.rate.is_some() && self.tokens <= 0.0 {
            return None;
        }
        let (_, _, id) = *self.waiting.first()?;
        self.stop_waiting(id);
        Some(id)
    }

    /// Returns whether a transfer waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn stop_waiting(&mut self, id: TransferId) {
        let Some(transfer) = self.transfers.get(&id) else { return };
        self.waiting.remove(&(transfer.is_late, transfer.due_us, id));
        self.set_waiting(id, false);
    }

    fn set_waiting(&mut self, id: TransferId, is_waiting: bool) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.is_waiting = is_waiting;
        }
    }

    fn refill(&mut self, now_us: u64) {
        let Some(rate) = self.bulk_rate() else {
            self.refilled_us = now_us;
            return;
        };
        let elapsed_us = now_us.saturating_sub(self.refilled_us) as f64;
        let burst = rate * BURST_US / SECOND_US;
        self.tokens = (self.tokens + rate * elapsed_us / SECOND_US).min(burst);
        self.refilled_us = self.refilled_us.max(now_us);
    }

    /// Updates the usage and the rate from what the connections have done; returns whether the rate has changed.
    ///
    /// Calls before the end of a window change nothing.
    pub fn observe(&mut self, usage: LinkUsage, now_us: u64) -> bool {
        let elapsed_us = now_us.saturating_sub(self.window.started_us);
        if elapsed_us < WINDOW_US {
            return false;
        }
        self.refill(now_us);
        let window = std::mem::take(&mut self.window);
        self.window.started_us = now_us;
        self.window.start = usage;
        let per_s = |bytes: u64| bytes as f64 * SECOND_US / elapsed_us as f64;
        let written = usage.written.saturating_sub(window.start.written);
        let small = per_s(written.saturating_sub(window.granted));
        // After a pause of many windows, the average is that of the pause.
        let windows = elapsed_us / WINDOW_US;
        let keep = (1.0 - USAGE_WEIGHT).powi(windows.min(MAX_WINDOWS) as i32);
        self.small = self.small * keep + small * (1.0 - keep);
        self.in_time = self.in_time * keep + per_s(window.granted_in_time) * (1.0 - keep);
        let stalled_us = usage.stalled_us.saturating_sub(window.start.stalled_us) as f64;
        let is_busy = stalled_us >= elapsed_us as f64 * MIN_STALLED;
        let is_behind =
            self.bulk_rate().is_none_or(|rate| per_s(window.granted) < rate * KEEPING_UP);
        let earlier = self.rate;
        match is_behind && is_busy {
            true => self.lower_rate(per_s(written) / PAYLOAD_SHARE * AFTER_FALL),
            false => self.raise_rate(windows),
        }
        self.rate != earlier
    }

    fn lower_rate(&mut self, observed: f64) {
        let lowest = match (self.rate, self.bound) {
            (Some(rate), Some(bound)) => (rate.0 * MAX_FALL).max(bound.0 * MIN_RATE_SHARE),
            (Some(rate), None) => rate.0 * MAX_FALL,
            (None, _) => 0.0,
        };
        self.quiet_windows = 0;
        let rate = self.rate.map_or(f64::INFINITY, |rate| rate.0);
        self.rate = Some(LinkRate(observed.max(lowest).max(MIN_RATE).min(rate)));
    }

    fn raise_rate(&mut self, windows: u64) {
        self.quiet_windows = self.quiet_windows.saturating_add(windows);
        let Some(rate) = self.rate else { return };
        let raised = rate.0 * GROWTH.powi(windows.min(MAX_WINDOWS) as i32);
        self.rate = match self.bound {
            Some(bound) => Some(LinkRate(raised.min(bound.0))),
            None if self.quiet_windows >= FORGET_WINDOWS => None,
            None => Some(LinkRate(raised)),
        };
    }
}
