//! A replicated log: the consensus state machine and its durable storage.
//!
//! [`Replica`] is a pure state machine: events with the time go in, effects come out. It has no sockets,
//! clocks or files. [`Store`] keeps its state in a folder. The daemon connects the two.

mod effect;
mod election;
mod folder;
mod formation;
mod frame;
mod log;
mod membership;
mod placement;
mod promise;
mod replica;
mod replication;
mod store;
mod trust;

pub use effect::{Effect, Event, Millis, Notice, Refusal, Ticket, Token};
pub use folder::{DiskFolder, Folder};
pub use formation::{Formation, Founders, offer, offered_voter};
pub use log::Log;
pub use membership::{Members, MembershipError};
pub use placement::Placement;
pub use replica::{Identity, Replica, Restored, RoleName, Timing};
pub use store::{Record, Recovery, Store, StoreError};
