//! Decisions on the call path: routing, target selection, admission control, retries and target leases.
//!
//! The types do no I/O and read no clock; callers pass the current time.

mod admission;
mod choice;
mod cold_rush;
mod concurrency;
mod crash_log;
mod departures;
mod grey_target;
mod handshakes;
mod lease;
mod link_schedule;
mod move_policy;
mod planned_stop;
mod progress;
mod quarantine;
mod registry;
mod restart_rush;
mod retry;
mod retry_budget;
mod route_sizes;
mod router;
mod server_load;
mod service_times;
mod shared_load;
mod slot_reserve;
mod stale_links;
mod stated_load;
mod table;
mod view;

pub use admission::{
    Admission, AdmissionLimits, AdmissionPolicy, CallId, CallTimes, Decision, Release,
};
pub use choice::{
    Announcement, CallEstimate, Candidate, LoadReport, SelectionContext, SharedChoice,
    freshest_reports, select_by_reports, select_target,
};
pub use cold_rush::{WarmupPace, WarmupTolerance};
pub use concurrency::{CallOutcome, ConcurrencyLimit};
pub use crash_log::{Crash, CrashLog};
pub use departures::{DatedDepartures, Departures, ReportPosition};
pub use grey_target::LossMeter;
pub use handshakes::HandshakeLimit;
pub use lease::{Lease, Leases};
pub use link_schedule::{
    Grant, LinkRate, LinkRefusal, LinkSchedule, LinkUsage, MAX_CHUNK, MAX_LINK_STALL,
    ParseLinkRateError, TransferId, TransferRequest,
};
pub use move_policy::{MoveEvidence, MoveStage, MoveStep, Regression, Side, next_step};
pub use planned_stop::{RESPONSE_TIME, time_before_stop};
pub use progress::{ProgressReporter, ProgressTracker, VersionProgress, ZoneProgress};
pub use quarantine::{Quarantine, Suspicion};
pub use registry::{RemoteMerge, TargetRegistry};
pub use restart_rush::StartupWindow;
pub use retry::{Attempt, AttemptResults, RetryRule, may_retry, retry_rule};
pub use retry_budget::{RetryBudget, RetryLimits, RetryReason};
pub use route_sizes::RouteSizes;
pub use router::{RouteMatch, Router};
pub use server_load::{ServerLoad, ServerLoadError, ServerLoadTracker};
pub use service_times::{ServiceTime, ServiceTimes};
pub use shared_load::{
    FORWARDED_REPORTS, MAX_REPORT_AGE_MS, PaceMeter, ParseReportError, TargetId, TargetReport,
    read_reports, write_reports,
};
pub use stale_links::LinkStaleness;
pub use stated_load::StatedLoad;
pub use table::{MergeResult, TargetKey, TargetTable};
pub use view::{RoutingView, ServiceView, ServingVersions, is_zone_out, serving_versions};
