//! The configuration document, patches to it, its versions, and updates that replicate it to other processes.
//!
//! [`Catalog`] is the state machine of the source. [`VersionedDocument`] is the copy of the document that every
//! process holds: it creates updates for receivers and applies those of its sender.

mod canonical;
mod catalog;
mod departures;
mod differences;
mod document;
mod dry_run;
mod frame;
mod lints;
mod patch;
mod resource;
mod revision;
mod strict_json;
mod subscription;
mod versioned_document;

pub use canonical::CanonicalCache;
pub use catalog::{
    Catalog, CatalogError, Outcome, RETAINED_OUTCOMES, RETAINED_VERSIONS, Submission, VersionInfo,
};
pub use departures::{DEPARTURE_TTL_MS, DepartureTable, merge_departure};
pub use differences::{Change, Difference, FieldChange, differences};
pub use document::{Document, StoredResource};
pub use dry_run::DryRun;
pub use frame::{FrameError, UpdateSummary, decode_update, encode_update};
pub use lints::{Lint, LintKind, find_lints};
pub use patch::{MAX_PATCH_DEPTH, MAX_PATCH_SIZE, Patch, StagedChanges};
pub use resource::{
    CALLER_LIMITS, CallerLimits, Kind, MoveSpec, MoveState, Resource, ResourceKey, RouteSpec,
    Semantics, ServiceSpec, TenantSpec, WeightedService, ZoneState,
};
pub use revision::{Revision, RevisionBody};
pub use subscription::Subscription;
pub use versioned_document::{ApplyOutcome, UpdateError, VersionedDocument};
