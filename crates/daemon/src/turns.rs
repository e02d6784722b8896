//! Time that the event loop spends on each kind of work; it handles nothing else meanwhile.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

use kingcuplift_core::Event;
use rustix::time::{ClockId, clock_gettime};

use crate::metrics;

/// Work of this duration is logged: a few of them in series take longer than an election timeout.
const LONG_WORK: Duration = Duration::from_millis(200);
/// Shortest time between two of these log lines.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// A committed entry is applied to the catalog.
    Apply,
    /// A configuration is checked and turned into a submission.
    Check,
    /// A message of another member is handled.
    Replicate,
    /// A query of an operator is answered.
    Query,
    /// A snapshot of the source's state is encoded or decoded.
    Snapshot,
    /// A downstream process joins.
    Join,
    /// An update for a downstream process is created.
    Encode,
    /// An update is decoded and applied by a relay.
    Update,
}

impl Work {
    /// Returns the name used in metrics and events.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Apply => "apply",
            Self::Check => "check",
            Self::Replicate => "replicate",
            Self::Query => "query",
            Self::Snapshot => "snapshot",
            Self::Join => "join",
            Self::Encode => "encode",
            Self::Update => "update",
        }
    }
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

thread_local! {
    /// Processor time of the work that was measured within the present one.
    static NESTED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static LAST_LOGGED: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Does a piece of work and records how long it took, without the work that is measured within it.
pub(crate) fn measure<T>(work: Work, run: impl FnOnce() -> T) -> T {
    let (started_at, used_before) = (Instant::now(), processor_time());
    let outer = NESTED.replace(Duration::ZERO);
    let outcome = run();
    let used = processor_time().saturating_sub(used_before);
    let own = used.saturating_sub(NESTED.replace(outer + used));
    metrics::WORK_TIME.with_label_values(&[work.as_str()]).inc_by(own.as_secs_f64());
    log_if_long(work, started_at.elapsed(), used);
    outcome
}

fn log_if_long(work: Work, elapsed: Duration, used: Duration) {
    let is_recent = LAST_LOGGED.get().is_some_and(|at| at.elapsed() < LOG_INTERVAL);
    if elapsed < LONG_WORK || is_recent {
        return;
    }
    LAST_LOGGED.set(Some(Instant::now()));
    let fields: [(&str, &dyn fmt::Display); 3] =
        [("work", &work), ("ms", &elapsed.as_millis()), ("processor_ms", &used.as_millis())];
    Event::LoopBlocked.emit(&fields);
}

/// Returns the processor time that this thread has used.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or_default())
}
