//! Messages to the actor of the source role.

use actix::Message;
use bytes::Bytes;
use kingcuplift_config::Submission;

use crate::source::answer::Answer;
use crate::source::members::MemberChange;
use crate::source::query::Question;

/// Asks for a patch to become a version.
#[derive(Debug, Message)]
#[rtype(result = "Answer")]
pub(crate) struct Submit(pub(crate) Submission);

/// Asks for a whole configuration to replace the one in force.
#[derive(Debug, Message)]
#[rtype(result = "Answer")]
pub(crate) struct Revise {
    /// Operator's number of the configuration that is replaced.
    pub(crate) after: u64,
    /// Whole configuration, in JSON.
    pub(crate) text: Bytes,
}

/// Asks a question; only a leader that is proved to be current answers.
#[derive(Debug, Message)]
#[rtype(result = "Answer")]
pub(crate) struct Ask(pub(crate) Question);

/// Asks for the member's own state.
#[derive(Debug, Message)]
#[rtype(result = "MemberHealth")]
pub(crate) struct AskHealth;

/// Asks for a change of the membership.
#[derive(Debug, Message)]
#[rtype(result = "Answer")]
pub(crate) struct Change(pub(crate) MemberChange);

/// Asks for the members as the leader sees them.
#[derive(Debug, Message)]
#[rtype(result = "Answer")]
pub(crate) struct AskMembers;

/// Asks for the whole state, to be kept elsewhere.
#[derive(Debug, Message)]
#[rtype(result = "Result<Vec<u8>, Answer>")]
pub(crate) struct AskBackup;

/// Asks the member to hand over leadership.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct TransferLeadership;

/// State of a member, for health checks.
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
