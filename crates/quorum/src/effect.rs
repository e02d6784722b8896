//! Inputs and outputs of the consensus state machine.

use std::fmt;
use std::sync::Arc;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{Entry, HardState, Membership, Peer, Snapshot};

/// Time on the member's monotonic clock, in milliseconds.
pub type Millis = u64;

/// Sequence number of a write; writes complete in ascending order.
pub type WriteSeq = u64;

/// Identifies a proposal to the driver.
pub type Token = u64;

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived from another member.
    Receive(Box<Peer>),
    /// The driver proposes a command.
    Propose {
        /// Identifies the proposal to the driver.
        token: Token,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// All writes up to this sequence number are synced.
    Stored(WriteSeq),
    /// The driver has encoded the applied state for a snapshot.
    SnapshotTaken {
        /// Last entry that the state covers.
        index: u64,
        /// Encoded state.
        state: Vec<u8>,
    },
    /// A membership change was requested.
    ChangeMembers {
        /// Identifies the proposal to the driver.
        token: Token,
        /// Requested membership.
        membership: Membership,
    },
    /// The leader is to transfer leadership before it stops.
    Transfer,
    /// The member can't store anything any more; a leader stops leading once the entries in flight are committed.
    ///
    /// A leader that hasn't stopped by the time of a second report does so at once.
    StorageFailed,
}

/// Output of the state machine.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Write and sync, then report [`Event::Stored`].
    Save {
        /// Sequence number of the write.
        seq: WriteSeq,
        /// Term and vote, if they changed.
        hard_state: Option<HardState>,
        /// Entries; they replace all stored entries from the first one's index on.
        entries: Vec<Entry>,
        /// Snapshot that replaces the log up to its index.
        snapshot: Option<Arc<Snapshot>>,
        /// Membership with which this member joins its group.
        joined: Option<Membership>,
    },
    /// Send a message to another member; it may be lost.
    Send {
        /// Recipient.
        to: MemberId,
        /// Message.
        message: Box<Peer>,
    },
    /// Apply a committed entry.
    Apply {
        /// Entry.
        entry: Entry,
        /// Proposal that created the entry, on the member that proposed it.
        token: Option<Token>,
    },
    /// Replace the applied state with a snapshot.
    Install(Arc<Snapshot>),
    /// A proposal was refused, or its result is unknown; no [`Effect::Apply`] will carry its token.
    Refuse {
        /// Identifies the proposal to the driver.
        token: Token,
        /// Reason.
        refusal: Refusal,
    },
    /// Report a change of state to operators.
    Report(Notice),
}

/// Reason why a proposal was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The member is not the leader; the proposal was not appended.
    NotLeader,
    /// Too many proposals are in flight; the proposal was not appended.
    Busy,
    /// The member lost leadership; the proposal may still be committed.
    LeadershipLost,
    /// Another membership change is in flight, or the requested one is not permitted.
    MembershipRefused,
}

/// Reason why a leader stepped down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// Another member has a higher term.
    HigherTerm,
    /// No majority has answered in time.
    NoMajority,
    /// The membership no longer contains the member, or it handed over.
    Retired,
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::HigherTerm => "higher_term",
            Self::NoMajority => "no_majority",
            Self::Retired => "retired",
        })
    }
}

/// Change of state to report to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// The member became leader.
    Elected {
        /// Term.
        term: u64,
    },
    /// The member has heard of no leader for too long and starts an election.
    ElectionStarted {
        /// Term that has had no leader for too long.
        term: u64,
        /// Time since a leader was last heard, or since the start.
        silent_ms: Millis,
        /// Time by which the member itself was late to notice.
        late_ms: Millis,
    },
    /// The member stepped down as leader.
    SteppedDown {
        /// Term in which it was leader.
        term: u64,
        /// Reason.
        reason: StepDownReason,
        /// Time since a majority last answered a request.
        silent_ms: Millis,
    },
    /// The member has stopped leading and asked another one to take over.
    Resigned {
        /// Term in which it was leader.
        term: u64,
        /// Member that is to take over.
        successor: MemberId,
    },
    /// The member follows a leader.
    Following {
        /// Term.
        term: u64,
        /// Leader.
        leader: MemberId,
    },
    /// A member's disk is not the one in the membership, or lacks acknowledged entries.
    DiskRefused {
        /// Member.
        member: MemberId,
    },
}
