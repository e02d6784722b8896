//! The configuration document, patches against it, its versions, and updates of it to other processes.
//!
//! [`Catalog`] is the state machine of the source. [`Feed`] is the copy of the document that every
//! process holds: it makes updates for receivers and applies those of its sender.

mod catalog;
mod document;
mod feed;
mod frame;
mod patch;
mod resource;
mod revision;
mod subscription;

pub use catalog::{
    Catalog, CatalogError, KEPT_OUTCOMES, KEPT_VERSIONS, Outcome, Submission, VersionInfo,
};
pub use document::{Document, Stored};
pub use feed::{Applied, Feed, UpdateError};
pub use frame::{FrameError, decode_update, encode_update};
pub use patch::{MAX_DEPTH, MAX_PATCH, Patch, Staged};
pub use resource::{
    CALLER_LIMITS, CallerLimits, Kind, MoveSpec, MoveState, Part, Resource, ResourceKey, RouteSpec,
    Semantics, ServiceSpec, ZoneState,
};
pub use revision::{Revision, RevisionBody};
pub use subscription::Subscription;
