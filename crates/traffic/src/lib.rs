//! Decisions on the call path: routing, choice of target, admission, retries and target leases.
//!
//! The types hold no sockets or files; the time is passed in.

mod admission;
mod choice;
mod concurrency;
mod handshakes;
mod lease;
mod mover;
mod registry;
mod retry;
mod retry_budget;
mod router;
mod table;
mod view;

pub use admission::{Admission, AdmissionLimits, CallId, CallTimes, Decision, Release};
pub use choice::{CallEstimate, Candidate, LoadReport, SelectionContext, select_target};
pub use concurrency::{CallOutcome, ConcurrencyLimit};
pub use handshakes::HandshakeLimit;
pub use lease::{Lease, Leases};
pub use mover::{MoveEvidence, MoveStage, MoveStep, Regression, Side, next_step};
pub use registry::{Learnt, TargetRegistry};
pub use retry::{Attempt, may_retry};
pub use retry_budget::{RetryBudget, RetryLimits, RetryReason};
pub use router::{RouteMatch, Router};
pub use table::{Merge, TargetKey, TargetTable};
pub use view::{ServiceView, Serving, View, is_out, serving};
