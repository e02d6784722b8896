//! Load reports that nodes attach to the messages between them, and their interpretation by age.
//!
//! Addresses targets of uneven and changing speed, of which a single node hears once in seconds: each message carries
//! the report of the sender's own target and the freshest reports that the sender has of others. Clocks are not
//! shared, so that only ages are transferred.

use std::fmt::{self, Write as _};
use std::str::FromStr;
use std::time::Duration;

use crate::table::TargetKey;

/// Number of reports of other targets in a message.
pub const FORWARDED_REPORTS: usize = 3;
/// Maximum age of a report that is accepted, passed on or used, in milliseconds.
pub const MAX_REPORT_AGE_MS: u64 = 2_000;
/// Maximum number of reports that are read from a message.
const MAX_REPORTS: usize = 8;
/// Maximum length of a message's reports; a longer text is ignored.
const MAX_TEXT: usize = 512;
/// Largest count of calls in a report.
const MAX_COUNT: u32 = 100_000;
/// Smallest and largest pace in a report, in percent.
const PACE_RANGE: (u32, u32) = (25, 800);
/// Longest wait for the link in a report, in milliseconds.
const MAX_LINK_WAIT_MS: u64 = 60_000;
/// Time constant with which a reported pace reverts to the target's long-term average, in milliseconds. A neighbour on
/// the host disturbs a target for about this time.
const PACE_TIME_MS: f64 = 500.0;
/// Weight of the newest report in a target's long-term pace.
const USUAL_PACE_WEIGHT: f32 = 0.03;
/// Number of this node's latest calls to a target whose start times are kept.
const KEPT_STARTS: usize = 8;
/// Time constant of a target's pace meter, in milliseconds; long enough for some twenty responses of a loaded target.
const PACE_WINDOW_MS: f64 = 350.0;
/// Weight of the long-term pace in a pace meter, in responses.
const PACE_PRIOR: f64 = 3.0;
/// Weight of the newest response in a pace meter's long-term average.
const LONG_TERM_WEIGHT: f64 = 0.005;
/// Largest relative service time that a pace meter counts; single long calls say little of the target.
const MAX_SAMPLE: f64 = 5.0;

/// Weight of the newest response in the average of this node's own response times at a target, and the time constant
/// with which that reverts to the usual service time, in milliseconds.
const EXCESS_WEIGHT: f32 = 0.3;
const EXCESS_TIME_MS: f64 = 3_000.0;
/// Fraction of the own response times below which no report can move the expected response time. Own responses are few
/// and vary widely, so that only a report that contradicts them clearly is overruled.
const OBSERVED_FRACTION: f64 = 0.6;
/// Time for which the reports of a target are ignored after they have proved false, in milliseconds.
const DISTRUST_MS: u64 = 5_000;
/// Smallest utilization that a report can claim, as a fraction of the average of the service.
const MIN_RELATIVE_UTILIZATION: f64 = 0.3;
/// Smallest utilization that a report of another node than the target's can claim. It bounds the harm of false reports.
const MIN_FORWARDED_UTILIZATION: f64 = 0.6;
/// Smallest pace that such a report can claim, as a fraction of the target's long-term pace.
const MIN_FORWARDED_PACE: f64 = 0.7;

/// Identifies one instance of a target in load reports.
///
/// A hash of 32 bits: with 66 targets, two share one in 1 of 2,000,000 sites, and then share their reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetId(u32);

impl TargetId {
    /// Returns the id of a target's instance; a restarted target has another one if it names its instances.
    pub fn of(key: &TargetKey, instance: &str) -> Self {
        // FNV-1a, which is the same on all platforms and releases.
        let parts = [key.service.as_str(), &key.version, &key.node, instance];
        let bytes = parts.iter().flat_map(|part| part.bytes().chain([0]));
        let hash = bytes
            .fold(0x811c_9dc5_u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193));
        Self(hash)
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut digits = ['0'; 7];
        let mut rest = self.0;
        let mut length = 0;
        while length == 0 || rest > 0 {
            digits[length] = char::from_digit(rest % 36, 36).unwrap_or('0');
            rest /= 36;
            length += 1;
        }
        digits[..length].iter().rev().try_for_each(|digit| f.write_char(*digit))
    }
}

/// A text is not a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected a load report: id.busy.limit.pace.link_wait.age within their bounds")]
pub struct ParseReportError;

impl FromStr for TargetId {
    type Err = ParseReportError;

    fn from_str(text: &str) -> Result<Self, ParseReportError> {
        let is_plain = text.len() <= 7 && text.bytes().all(|byte| byte.is_ascii_alphanumeric());
        let hash = u32::from_str_radix(text, 36).ok().filter(|_| is_plain);
        hash.map(Self).ok_or(ParseReportError)
    }
}

/// Load of one target as measured by the node beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetReport {
    /// Target that was measured.
    pub id: TargetId,
    /// Calls that run or wait.
    pub busy: u32,
    /// Calls that may run at a time.
    pub limit: u32,
    /// Recent service time as a percentage of the fleet-wide average of the same routes.
    pub pace: u32,
    /// Expected wait for the link of the target's VM.
    pub link_wait: Duration,
    /// Time since the measurement.
    pub age: Duration,
}

impl TargetReport {
    /// Returns the report with each value moved into the bounds that receivers accept.
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            busy: self.busy.min(MAX_COUNT),
            limit: self.limit.clamp(1, MAX_COUNT),
            pace: self.pace.clamp(PACE_RANGE.0, PACE_RANGE.1),
            link_wait: self.link_wait.min(Duration::from_millis(MAX_LINK_WAIT_MS)),
            ..self
        }
    }

    fn is_valid(&self) -> bool {
        self.busy <= MAX_COUNT
            && (1..=MAX_COUNT).contains(&self.limit)
            && (PACE_RANGE.0..=PACE_RANGE.1).contains(&self.pace)
            && self.link_wait <= Duration::from_millis(MAX_LINK_WAIT_MS)
            && self.age <= Duration::from_millis(MAX_REPORT_AGE_MS)
    }
}

impl fmt::Display for TargetReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, busy, limit, pace, link_wait, age } = self;
        let (link_ms, age_ms) = (link_wait.as_millis(), age.as_millis());
        write!(f, "{id}.{busy}.{limit}.{pace}.{link_ms}.{age_ms}")
    }
}

impl FromStr for TargetReport {
    type Err = ParseReportError;

    fn from_str(text: &str) -> Result<Self, ParseReportError> {
        let mut parts = text.split('.');
        let id = parts.next().ok_or(ParseReportError)?.parse()?;
        let mut next = || -> Result<u32, ParseReportError> {
            let part = parts.next().ok_or(ParseReportError)?;
            part.parse().map_err(|_invalid| ParseReportError)
        };
        let (busy, limit, pace) = (next()?, next()?, next()?);
        let link_wait = Duration::from_millis(next()?.into());
        let age = Duration::from_millis(next()?.into());
        // Further fields are left to later releases.
        Some(Self { id, busy, limit, pace, link_wait, age })
            .filter(Self::is_valid)
            .ok_or(ParseReportError)
    }
}

/// Writes the reports of a message: the sender's own target first, with its service, then others of the call's service.
pub fn write_reports(
    own: Option<(&str, TargetReport)>,
    others: impl IntoIterator<Item = TargetReport>,
) -> String {
    let mut text = String::with_capacity(128);
    // Writing to a string can't fail.
    if let Some((service, report)) = own {
        let _ = write!(text, "{service}:{report}");
    }
    for report in others {
        let separator = if text.is_empty() { "" } else { " " };
        let _ = write!(text, "{separator}{report}");
    }
    text
}

/// Reads the valid reports of a message, each with the service that it states, if any. Anything else is ignored.
pub fn read_reports(text: &str) -> impl Iterator<Item = (Option<&str>, TargetReport)> {
    let text = if text.len() > MAX_TEXT { "" } else { text };
    text.split(' ').take(MAX_REPORTS).filter_map(|part| {
        let (service, report) = match part.split_once(':') {
            Some((service, report)) => (Some(service), report),
            None => (None, part),
        };
        report.parse().ok().map(|report| (service, report))
    })
}

/// Measures the pace of a target: the recent service time as a multiple of what is usual for its routes in the fleet.
#[derive(Debug)]
pub struct PaceMeter {
    sum: f64,
    weight: f64,
    updated_ms: u64,
    long_term: f64,
}

impl Default for PaceMeter {
    fn default() -> Self {
        Self { sum: 0.0, weight: 0.0, updated_ms: 0, long_term: 1.0 }
    }
}

impl PaceMeter {
    /// Records a response's service time and the average of its route over all targets.
    pub fn record(&mut self, service_time: Duration, usual: Duration, now_ms: u64) {
        let usual = usual.as_secs_f64().max(0.000_1);
        let sample = (service_time.as_secs_f64() / usual).min(MAX_SAMPLE);
        let kept = self.kept(now_ms);
        self.sum = self.sum * kept + sample;
        self.weight = self.weight * kept + 1.0;
        self.updated_ms = now_ms;
        self.long_term += (sample - self.long_term) * LONG_TERM_WEIGHT;
    }

    /// Returns the pace in percent.
    pub fn pace(&self, now_ms: u64) -> u32 {
        let kept = self.kept(now_ms);
        let sum = self.sum * kept + self.long_term * PACE_PRIOR;
        (sum / (self.weight * kept + PACE_PRIOR) * 100.0).round() as u32
    }

    /// Returns the pace in percent of a target that states how long work takes on its VM, as a multiple of what is usual
    /// there.
    pub fn stated_pace(&self, multiple: f64) -> u32 {
        (self.long_term * multiple * 100.0).round() as u32
    }

    /// Returns the fraction of the earlier weight that is left.
    fn kept(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.updated_ms) as f64) / PACE_WINDOW_MS).exp()
    }
}

/// Load that is expected of a target at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ExpectedLoad {
    /// Calls that run or wait.
    pub(crate) busy: f64,
    /// Calls that may run at a time.
    pub(crate) limit: f64,
    /// Service time as a multiple of what is usual.
    pub(crate) pace: f64,
    /// Least response time that this node's own calls make likely, as a multiple of the usual service time.
    pub(crate) observed: f64,
    /// Expected wait for the link.
    pub(crate) link_wait: Duration,
    /// Standard deviation of the calls that run or wait.
    pub(crate) uncertainty: f64,
}

/// What a node knows of one target's load from shared reports.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KnownLoad {
    busy: u32,
    limit: u32,
    pace: f32,
    link_wait: Duration,
    /// Estimated time of the measurement; 0 if there is no report.
    measured_ms: u64,
    /// Whether the report came from the node beside the target.
    is_own: bool,
    /// Long-term average of the pace; 0 if there is no report.
    usual_pace: f32,
    /// Times at which this node's latest calls to the target were sent.
    starts: [u64; KEPT_STARTS],
    next_start: usize,
    /// Time of the latest refusal or lost answer.
    refused_ms: u64,
    /// End of the time in which reports are ignored, because the target refused a call while they said that it had room.
    distrusted_until_ms: u64,
    /// Moving average of this node's own response times at the target, as a multiple of the usual service time, less 1.
    excess: f32,
    excess_ms: u64,
}

impl KnownLoad {
    /// Records a report if it is newer than the known one, and returns whether it is.
    ///
    /// `is_own` says that the report comes from the node beside the target; only such reports form the long-term pace,
    /// so that the reports that other nodes pass on change little for long.
    pub(crate) fn record(
        &mut self,
        report: &TargetReport,
        is_own: bool,
        transit: Duration,
        now_ms: u64,
    ) -> bool {
        let age_ms = (report.age + transit).as_millis() as u64;
        let measured_ms = now_ms.saturating_sub(age_ms).max(1);
        if measured_ms <= self.measured_ms || age_ms > MAX_REPORT_AGE_MS {
            return false;
        }
        let pace = report.pace as f32 / 100.0;
        self.usual_pace = match self.usual_pace {
            usual if !is_own => usual,
            0.0 => 1.0 + (pace - 1.0) / 2.0,
            usual => usual + (pace - usual) * USUAL_PACE_WEIGHT,
        };
        self.is_own = is_own;
        self.busy = report.busy;
        self.limit = report.limit.max(1);
        self.pace = pace;
        self.link_wait = report.link_wait;
        self.measured_ms = measured_ms;
        true
    }

    /// Records that this node sends a call to the target.
    pub(crate) fn record_start(&mut self, now_ms: u64) {
        self.starts[self.next_start] = now_ms;
        self.next_start = (self.next_start + 1) % KEPT_STARTS;
    }

    /// Records that the target refused a call of this node or lost its answer.
    pub(crate) fn record_refusal(&mut self, now_ms: u64) {
        self.refused_ms = now_ms;
        if self.age_ms(now_ms).is_some() && self.busy < self.limit {
            self.distrusted_until_ms = now_ms + DISTRUST_MS;
        }
    }

    /// Records the response time of a call of this node, as a multiple of the usual service time.
    pub(crate) fn record_response(&mut self, relative_time: f32, now_ms: u64) {
        let excess = self.excess(now_ms) as f32;
        let sample = relative_time.min(MAX_SAMPLE as f32) - 1.0;
        self.excess = excess + (sample - excess) * EXCESS_WEIGHT;
        self.excess_ms = now_ms;
    }

    fn excess(&self, now_ms: u64) -> f64 {
        let age = now_ms.saturating_sub(self.excess_ms) as f64;
        f64::from(self.excess) * (-age / EXCESS_TIME_MS).exp()
    }

    /// Returns the age of the report in milliseconds, if there is one that still counts.
    pub(crate) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let age = now_ms.saturating_sub(self.measured_ms);
        (self.measured_ms > 0 && age <= MAX_REPORT_AGE_MS).then_some(age)
    }

    /// Returns the report with its present age, to pass it on.
    pub(crate) fn report(&self, id: TargetId, now_ms: u64) -> Option<TargetReport> {
        let age = Duration::from_millis(self.age_ms(now_ms)?);
        let pace = (self.pace * 100.0).round() as u32;
        let Self { busy, limit, link_wait, .. } = *self;
        Some(TargetReport { id, busy, limit, pace, link_wait, age })
    }

    /// Returns the reported utilization and the fraction of its deviation from the average that is left.
    pub(crate) fn utilization(&self, time_ms: f64, now_ms: u64) -> Option<(f64, f64)> {
        let age = self.age_ms(now_ms)? as f64;
        Some((f64::from(self.busy) / f64::from(self.limit), (-age / time_ms).exp()))
    }

    /// Estimates the present load.
    ///
    /// `slots` is the announced number of slots, `mean` the average utilization of the service, and `time_ms` the usual
    /// service time, which is the time constant with which the load of a target reverts to the average.
    pub(crate) fn expected(
        &self,
        slots: u32,
        mean: f64,
        time_ms: f64,
        now_ms: u64,
    ) -> ExpectedLoad {
        let decay = |since_ms: u64, time_ms: f64| {
            (-(now_ms.saturating_sub(since_ms) as f64) / time_ms).exp()
        };
        let is_distrusted = now_ms < self.distrusted_until_ms;
        let usual = match self.usual_pace {
            0.0 => 1.0,
            usual if is_distrusted => f64::from(usual).max(1.0),
            usual => f64::from(usual),
        };
        let own: f64 = self
            .starts
            .iter()
            .filter(|at| **at > self.measured_ms)
            .map(|at| decay(*at, time_ms * usual))
            .sum();
        let is_known = self.age_ms(now_ms).is_some() && !is_distrusted;
        let (utilization, limit, pace, link_wait, kept) = match is_known {
            false => (mean, f64::from(slots), usual, Duration::ZERO, 0.0),
            true => {
                let limit = f64::from(self.limit);
                let kept = decay(self.measured_ms, time_ms);
                let utilization = mean + (f64::from(self.busy) / limit - mean) * kept;
                let pace_kept = decay(self.measured_ms, PACE_TIME_MS);
                let pace = usual + (f64::from(self.pace) - usual) * pace_kept;
                (utilization, limit, pace, self.link_wait.mul_f64(kept), kept)
            }
        };
        let (utilization, pace) = match self.is_own {
            true => (utilization.max(mean * MIN_RELATIVE_UTILIZATION), pace),
            false => (
                utilization.max(mean * MIN_FORWARDED_UTILIZATION),
                pace.max(usual * MIN_FORWARDED_PACE),
            ),
        };
        let observed = (1.0 + self.excess(now_ms)) * OBSERVED_FRACTION;
        // A report from before a refusal does not make the target look better than the refusal does.
        let refused = match self.refused_ms > self.measured_ms {
            true => decay(self.refused_ms, time_ms),
            false => 0.0,
        };
        let utilization = utilization.max(refused);
        let busy = utilization * limit + own;
        // Calls arrive and end independently, so that their number at equilibrium varies by its root.
        let uncertainty = (limit * mean.min(1.0) * (1.0 - kept * kept)).sqrt();
        ExpectedLoad { busy, limit, pace, observed, link_wait, uncertainty }
    }
}
