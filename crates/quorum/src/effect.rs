//! Inputs and outputs of the consensus state machine.

use std::sync::Arc;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{Entry, HardState, Membership, Peer, Snapshot};

/// Time on the member's monotonic clock, in milliseconds.
pub type Millis = u64;

/// Number of a write; writes complete in rising order.
pub type WriteSeq = u64;

/// Number by which the driver knows a proposal.
pub type Token = u64;

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived from another member.
    Receive(Box<Peer>),
    /// The driver wants a command in the log.
    Propose {
        /// Number by which the driver knows the proposal.
        token: Token,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// All writes up to this number are synced.
    Stored(WriteSeq),
    /// The driver has encoded the state as of an applied entry.
    SnapshotTaken {
        /// Last entry that the state covers.
        index: u64,
        /// Encoded state.
        state: Vec<u8>,
    },
    /// An operator wants another membership.
    ChangeMembers {
        /// Number by which the driver knows the proposal.
        token: Token,
        /// Wanted membership.
        membership: Membership,
    },
    /// The leader is to hand over its role before it stops.
    Transfer,
}

/// Output of the state machine.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Write and sync, then report [`Event::Stored`].
    Save {
        /// Number of the write.
        seq: WriteSeq,
        /// Term and vote, when they changed.
        hard_state: Option<HardState>,
        /// Entries; they replace whatever stands from the first one's index on.
        entries: Vec<Entry>,
        /// Snapshot that replaces the log up to its index.
        snapshot: Option<Arc<Snapshot>>,
    },
    /// Send a message to another member; it may be lost.
    Send {
        /// Receiver.
        to: MemberId,
        /// Message.
        message: Box<Peer>,
    },
    /// Apply a committed entry.
    Apply {
        /// Entry.
        entry: Entry,
        /// Proposal that the entry came from, on the member that proposed it.
        token: Option<Token>,
    },
    /// Replace the applied state by a snapshot.
    Install(Arc<Snapshot>),
    /// A proposal will not be answered through [`Effect::Apply`].
    Refuse {
        /// Number by which the driver knows the proposal.
        token: Token,
        /// Reason.
        refusal: Refusal,
    },
    /// Something that operators want to know.
    Report(Notice),
}

/// Reason why a proposal is not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The member is not the leader; the proposal was not appended.
    NotLeader,
    /// Too many proposals are in flight; the proposal was not appended.
    Busy,
    /// The member lost leadership; the proposal may or may not be committed.
    LeadershipLost,
    /// Another membership change is in flight or the wanted one is not permitted.
    MembershipRefused,
}

/// Change of state that operators want to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// The member became leader.
    Elected {
        /// Term.
        term: u64,
    },
    /// The member gave up leadership.
    SteppedDown {
        /// Term in which it was leader.
        term: u64,
    },
    /// The member follows a leader.
    Following {
        /// Term.
        term: u64,
        /// Leader.
        leader: MemberId,
    },
    /// A member's disk differs from the membership, or has forgotten acknowledged entries.
    DiskRefused {
        /// Member.
        member: MemberId,
    },
}
