//! A replicated log: the consensus state machine and its durable storage.
//!
//! [`Replica`] is a state machine without I/O: it takes events with the current time and returns effects.
//! [`Store`] keeps its state in a folder. The daemon connects the two.

mod disk_verification;
mod effect;
mod election;
mod folder;
mod formation;
mod frame;
mod joining;
mod log;
mod membership;
mod membership_controller;
mod replica;
mod replication;
mod store;
mod vote_restriction;

pub use effect::{Effect, Event, Millis, Notice, Refusal, StepDownReason, Token, WriteSeq};
pub use folder::{DiskFolder, Folder};
pub use formation::{Formation, InitialMembers, formation_offer, voter_from_offer};
pub use joining::Joining;
pub use log::Log;
pub use membership::{MembershipError, MembershipExt};
pub use membership_controller::MembershipController;
pub use replica::{Identity, Replica, Restored, RoleName, Timing};
pub use store::{Record, Recovery, Store, StoreError};
