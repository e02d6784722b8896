//! How long a member votes for nobody, because a leader may count on it.
//!
//! A leader reads without asking as long as a majority has answered it within the election time, so a member that
//! has answered votes for nobody else during that time. A restarted member doesn't know whom it has answered. It
//! withholds its vote for an election time, unless every other voter says that it leads nothing, has heard of no
//! leader and holds the same membership: then nobody holds such a lease. docs/design/storage.md argues why.

use std::collections::BTreeSet;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::InquiryReply;

use crate::effect::Millis;
use crate::membership::MembershipExt;
use crate::replica::Replica;

/// What a member owes to a leader.
#[derive(Debug)]
pub(crate) enum Promise {
    /// Nobody counts on this member.
    Nothing,
    /// A leader was heard in this life.
    ToLeader { until: Millis },
    /// A leader may have been heard in an earlier life.
    Unknown {
        until: Millis,
        /// Number of this life; answers to questions of earlier ones don't count.
        life: u64,
        /// Voters that have said that nobody leads.
        quiet: BTreeSet<MemberId>,
    },
}

impl Promise {
    /// Makes the promise to a leader that was heard just now.
    pub(crate) fn to_leader(until: Millis) -> Self {
        Self::ToLeader { until }
    }

    /// Makes the promise of a member that has just started.
    pub(crate) fn unknown(until: Millis, life: u64) -> Self {
        Self::Unknown { until, life, quiet: BTreeSet::new() }
    }

    /// Returns whether the member may vote for nobody.
    pub(crate) fn binds(&self, now: Millis) -> bool {
        match self {
            Self::ToLeader { until } | Self::Unknown { until, .. } => now < *until,
            Self::Nothing => false,
        }
    }

    /// Returns whether the member may not try to be elected either: its own vote could break the promise.
    pub(crate) fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }

    /// Returns whether a leader was heard within the election time.
    pub(crate) fn is_to_leader(&self, now: Millis) -> bool {
        matches!(self, Self::ToLeader { .. }) && self.binds(now)
    }

    /// Returns the number of this life, as long as it matters.
    pub(crate) fn life(&self) -> u64 {
        match self {
            Self::Unknown { life, .. } => *life,
            Self::Nothing | Self::ToLeader { .. } => 0,
        }
    }
}

impl Replica {
    /// Asks the voters that have not yet said that nobody leads.
    pub(crate) fn tick_promise(&mut self) {
        let Promise::Unknown { until, quiet, .. } = &self.promise else { return };
        if self.now >= *until {
            return self.free_vote();
        }
        let others = self.other_voters().into_iter();
        let unheard: Vec<MemberId> = others.filter(|id| !quiet.contains(id)).collect();
        if unheard.is_empty() {
            return self.free_vote();
        }
        for id in unheard {
            self.inquire(id);
        }
    }

    /// Takes an answer; the last one that is missing frees the vote.
    pub(crate) fn learn_quiet(&mut self, from: MemberId, disk: u64, reply: &InquiryReply) {
        let is_alike = reply.membership == self.log.membership().digest();
        let is_known = self.check_disk(from, disk);
        let others = self.other_voters();
        let Promise::Unknown { life, quiet, .. } = &mut self.promise else { return };
        if reply.life != *life || reply.led || !is_alike || !is_known {
            return;
        }
        quiet.insert(from);
        if others.iter().all(|id| quiet.contains(id)) {
            self.free_vote();
        }
    }

    /// Lets the member vote, and soon try to be elected.
    fn free_vote(&mut self) {
        self.promise = Promise::Nothing;
        self.hasten_election();
    }
}
