//! Queries on a membership and the rules for changing it.

use kingcuplift_core::MemberId;
use kingcuplift_schema::Message as _;
use kingcuplift_schema::quorum::{Membership, Voter};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Reason why a membership change is refused.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum MembershipError {
    /// More than one voter would change.
    #[error("more than one voter changes; change one at a time")]
    ManyChanges,
    /// No voter would remain.
    #[error("no voter remains; keep at least one")]
    Empty,
    /// A member is listed twice.
    #[error("member {0} appears twice; give each member a unique id")]
    Duplicate(MemberId),
    /// A new voter was not a learner before.
    #[error("member {0} is not a learner; add it as a learner first")]
    NotLearner(MemberId),
    /// A learner lags too far behind to become a voter.
    #[error("member {0} has not caught up; wait and try again")]
    NotCaughtUp(MemberId),
}

/// Queries on a [`Membership`].
pub trait MembershipExt {
    /// Returns the voter or learner with this id.
    fn member(&self, id: MemberId) -> Option<&Voter>;
    /// Returns whether the member has a vote.
    fn is_voter(&self, id: MemberId) -> bool;
    /// Returns the number of voters in a majority.
    fn majority(&self) -> usize;
    /// Checks whether `next` may follow this membership.
    fn check_change(&self, next: &Membership) -> Result<(), MembershipError>;
    /// Returns a digest of the content.
    fn digest(&self) -> u64;
}

impl MembershipExt for Membership {
    fn member(&self, id: MemberId) -> Option<&Voter> {
        self.voters.iter().chain(&self.learners).find(|voter| voter.id == id.get())
    }

    fn is_voter(&self, id: MemberId) -> bool {
        self.voters.iter().any(|voter| voter.id == id.get())
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    fn digest(&self) -> u64 {
        xxh3_64(&self.encode_to_vec())
    }

    fn check_change(&self, next: &Membership) -> Result<(), MembershipError> {
        if next.voters.is_empty() {
            return Err(MembershipError::Empty);
        }
        let ids: Vec<u64> = next.voters.iter().chain(&next.learners).map(|v| v.id).collect();
        let duplicate = ids.iter().enumerate().find(|(i, id)| ids[..*i].contains(id));
        if let Some((_, id)) = duplicate {
            return Err(MembershipError::Duplicate(MemberId::new(*id)));
        }
        let added: Vec<&Voter> =
            next.voters.iter().filter(|voter| !self.voters.contains(voter)).collect();
        let removed = self.voters.iter().filter(|voter| !next.voters.contains(voter)).count();
        if added.len() + removed > 1 {
            return Err(MembershipError::ManyChanges);
        }
        match added.iter().find(|voter| !self.learners.contains(voter)) {
            Some(voter) => Err(MembershipError::NotLearner(MemberId::new(voter.id))),
            None => Ok(()),
        }
    }
}
