//! Identifiers, sizes, result codes and log events shared by every package of kingcuplift.
//!
//! Nothing in this package performs I/O except [`logger`], which installs the process-wide logger.

mod code;
mod digest;
mod event;
mod fault;
mod fingerprint;
mod id;
pub mod logger;
mod size;

pub use code::{ResultCode, RunState};
pub use digest::Digest;
pub use event::{Event, Severity};
pub use fault::{Fault, Faults, check_fields};
pub use fingerprint::CallFingerprint;
pub use id::{
    Incarnation, MemberId, NodeName, OperationId, ParseIdError, RouteName, ServiceName,
    TargetVersion, Version, ZoneName,
};
pub use size::{ByteSize, ParseSizeError, PerSecond, Rank, Share};
