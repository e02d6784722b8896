//! Periods in which a member grants no votes, because a leader may hold a read lease.
//!
//! A leader serves reads locally while a majority has answered it within the election time, so a member that has
//! answered grants no vote during that time. A restarted member doesn't know whether it has answered a leader. It
//! withholds its vote for one election time, or until every other voter has reported that it is not leading, has
//! heard no leader and has the same membership: then no lease can exist. docs/design/storage.md has the proof.

use std::collections::BTreeSet;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::InquiryReply;

use crate::effect::Millis;
use crate::membership::MembershipExt;
use crate::replica::Replica;

/// Rounds of queries to the other voters per heartbeat interval.
const INQUIRIES_PER_HEARTBEAT: Millis = 2;

/// Restriction on granting votes.
#[derive(Debug)]
pub(crate) enum VoteRestriction {
    /// No lease can depend on this member.
    None,
    /// A leader was heard since the last start.
    LeaderHeard { until: Millis },
    /// A leader may have been heard before the last start.
    Restarted {
        until: Millis,
        /// Random number drawn at start; replies to inquiries of earlier incarnations are ignored.
        incarnation: u64,
        /// Voters that have reported that there is no leader.
        leaderless: BTreeSet<MemberId>,
        /// When the other voters are queried next.
        next_inquiry_at: Millis,
    },
}

impl VoteRestriction {
    /// Creates the restriction of a member that has just heard a leader.
    pub(crate) fn leader_heard(until: Millis) -> Self {
        Self::LeaderHeard { until }
    }

    /// Creates the restriction of a member that has just started.
    pub(crate) fn restarted(until: Millis, incarnation: u64) -> Self {
        Self::Restarted { until, incarnation, leaderless: BTreeSet::new(), next_inquiry_at: 0 }
    }

    /// Returns whether the member must not grant votes.
    pub(crate) fn is_active(&self, now: Millis) -> bool {
        match self {
            Self::LeaderHeard { until } | Self::Restarted { until, .. } => now < *until,
            Self::None => false,
        }
    }

    /// Returns whether the member must not start an election either: its own vote could break a lease.
    pub(crate) fn blocks_candidacy(&self) -> bool {
        matches!(self, Self::Restarted { .. })
    }

    /// Returns whether a leader was heard within the election time.
    pub(crate) fn has_leader(&self, now: Millis) -> bool {
        matches!(self, Self::LeaderHeard { .. }) && self.is_active(now)
    }

    /// Returns the incarnation, or 0 when none is needed.
    pub(crate) fn incarnation(&self) -> u64 {
        match self {
            Self::Restarted { incarnation, .. } => *incarnation,
            Self::None | Self::LeaderHeard { .. } => 0,
        }
    }
}

impl Replica {
    /// Queries the voters that have not yet reported that there is no leader.
    pub(crate) fn tick_vote_restriction(&mut self) {
        let (now, heartbeat) = (self.now, self.timing.heartbeat);
        let others = self.other_voters();
        let VoteRestriction::Restarted { until, leaderless, next_inquiry_at, .. } =
            &mut self.vote_restriction
        else {
            return;
        };
        if now >= *until {
            return self.lift_vote_restriction();
        }
        let remaining: Vec<MemberId> =
            others.into_iter().filter(|id| !leaderless.contains(id)).collect();
        if remaining.is_empty() {
            return self.lift_vote_restriction();
        }
        if now < *next_inquiry_at {
            return;
        }
        *next_inquiry_at = now + heartbeat / INQUIRIES_PER_HEARTBEAT;
        for id in remaining {
            self.send_inquiry(id);
        }
    }

    /// Records a reply; once all other voters report no leader, the restriction is lifted.
    pub(crate) fn record_leaderless_reply(
        &mut self,
        from: MemberId,
        disk: u64,
        reply: &InquiryReply,
    ) {
        let same_membership = reply.membership == self.log.membership().digest();
        let known_disk = self.check_disk(from, disk);
        let others = self.other_voters();
        let VoteRestriction::Restarted { incarnation, leaderless, .. } = &mut self.vote_restriction
        else {
            return;
        };
        if reply.life != *incarnation || reply.led || !same_membership || !known_disk {
            return;
        }
        leaderless.insert(from);
        if others.iter().all(|id| leaderless.contains(id)) {
            self.lift_vote_restriction();
        }
    }

    /// Allows votes again and schedules an early election.
    fn lift_vote_restriction(&mut self) {
        self.vote_restriction = VoteRestriction::None;
        self.schedule_early_election();
    }
}
