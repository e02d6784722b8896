//! Messages to the source actor.

use actix::Message;
use bytes::Bytes;
use kingcuplift_config::Submission;

use crate::source::members::MemberChange;
use crate::source::query::Query;
use crate::source::response::Response;

/// Submits a patch as a new version.
#[derive(Debug, Clone, Message)]
#[rtype(result = "Response")]
pub(crate) struct Submit(pub(crate) Submission);

/// Replaces the full configuration in force.
#[derive(Debug, Clone, Message)]
#[rtype(result = "Response")]
pub(crate) struct ReplaceConfig {
    /// Operators' number of the configuration to replace; the request fails if another one is in force.
    pub(crate) after: u64,
    /// Full configuration as JSON.
    pub(crate) text: Bytes,
}

/// Runs a read-only query, if this member is the leader with a valid lease.
#[derive(Debug, Clone, Message)]
#[rtype(result = "Response")]
pub(crate) struct RunQuery(pub(crate) Query);

/// Requests the member's health.
#[derive(Debug, Message)]
#[rtype(result = "MemberHealth")]
pub(crate) struct GetHealth;

/// Requests a membership change.
#[derive(Debug, Clone, Message)]
#[rtype(result = "Response")]
pub(crate) struct ChangeMembers(pub(crate) MemberChange);

/// Requests the list of members from the leader.
#[derive(Debug, Clone, Message)]
#[rtype(result = "Response")]
pub(crate) struct ListMembers;

/// Requests the encoded catalog for a backup.
#[derive(Debug, Message)]
#[rtype(result = "Result<Vec<u8>, Response>")]
pub(crate) struct CreateBackup;

/// Requests a transfer of leadership to another member.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct TransferLeadership;

/// Health of a member.
#[derive(Debug, Clone, actix::MessageResponse)]
pub(crate) struct MemberHealth {
    pub(crate) role: &'static str,
    pub(crate) term: u64,
    pub(crate) head: u64,
    pub(crate) leader: Option<u64>,
    pub(crate) relays: usize,
    pub(crate) disk: u64,
    pub(crate) healthy: bool,
}
