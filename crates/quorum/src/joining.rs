//! Members that join a group: nothing of it is stored yet, and the first write contains it.
//!
//! The member that forms a group asks the other initial members for their votes in the first term, with the membership, as
//! soon as it has stored both. They store the membership and their vote in one write, too. A group has its first leader so
//! after three syncs in series, the identities of the disks included, and nobody waits for an election timeout.
//!
//! This elects at most one leader: only the founder is a candidate in the first term, since all others start with that term.
//! It makes the group known only once it has stored it itself; a founder that restarts before may form another one, and
//! one that restarts later doesn't.

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{HardState, Membership, Snapshot, VoteReply, peer};

use crate::effect::Millis;
use crate::replica::{Identity, Replica, Restored, Role, Timing};
use crate::vote_restriction::VoteRestriction;

/// Term in which the founder of a group is a candidate.
const FIRST_TERM: u64 = 1;

/// Way in which a member joins a group.
#[derive(Debug, Clone, PartialEq)]
pub enum Joining {
    /// The member forms the group.
    Founder(Membership),
    /// Another member has formed the group and asks for a vote in its first term.
    Voter {
        /// Membership.
        membership: Membership,
        /// Member that has formed the group.
        founder: MemberId,
    },
    /// The group exists.
    Newcomer(Membership),
}

impl Joining {
    /// Returns the membership.
    pub fn membership(&self) -> &Membership {
        match self {
            Self::Founder(membership)
            | Self::Voter { membership, .. }
            | Self::Newcomer(membership) => membership,
        }
    }
}

impl Replica {
    /// Creates a member that joins a group; its first effects follow with those of the next event.
    ///
    /// `seed` randomizes election timeouts.
    pub fn join(
        identity: Identity,
        timing: Timing,
        joining: Joining,
        seed: u64,
        now: Millis,
    ) -> Self {
        let membership = joining.membership().clone();
        let snapshot = Snapshot { membership: Some(membership.clone()), ..Snapshot::default() };
        let restored = Restored { snapshot, ..Restored::default() };
        let mut replica = Self::new(identity, timing, restored, seed, now);
        replica.unsaved_group = Some(membership);
        match joining {
            Joining::Founder(_) => replica.found(),
            Joining::Voter { founder, .. } => replica.vote_for_founder(founder),
            Joining::Newcomer(_) => {}
        }
        replica
    }

    /// Becomes the candidate of the first term.
    fn found(&mut self) {
        self.begin_first_term(self.identity.id);
        self.role = Role::Candidate { granted: [self.identity.id].into() };
        let membership = self.membership().clone();
        for id in self.other_voters() {
            self.send_synced(id, peer::Body::Founded(membership.clone()));
        }
        self.count_votes();
    }

    fn vote_for_founder(&mut self, founder: MemberId) {
        self.begin_first_term(founder);
        let reply = VoteReply { pre: false, granted: true, last_index: self.log.last_index() };
        self.send_synced(founder, peer::Body::VoteReply(reply));
    }

    fn begin_first_term(&mut self, founder: MemberId) {
        self.hard_state = HardState { term: FIRST_TERM, vote: founder.get() };
        // Nobody has led this group before.
        self.vote_restriction = VoteRestriction::None;
        // There is one candidate, so a retry would only disturb it.
        self.early_retry_until = self.now;
        self.reset_election_deadline();
    }

    /// Returns what to send to a member that doesn't know its group; `None` until this member has stored the group itself.
    pub fn invitation(&self) -> Option<peer::Body> {
        let membership = self.membership().clone();
        match &self.role {
            _ if self.is_group_unsynced() => None,
            Role::Candidate { .. } if self.hard_state.term == FIRST_TERM => {
                Some(peer::Body::Founded(membership))
            }
            _ => Some(peer::Body::Formed(membership)),
        }
    }
}
