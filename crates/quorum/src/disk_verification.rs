//! Verification, after a restart, that this member's disk has every entry that it had acknowledged.
//!
//! The members track the highest committed index that each disk has stored (its watermark). A restarted member
//! does not participate until it has learned its own watermark from a leader or from every other voter. Voters
//! that stay unreachable count towards the failures that the group tolerates, and the member proceeds without
//! them: after a short wait if a majority has replied, since a leader propagates its watermarks to a majority,
//! and after a long one otherwise.

use std::collections::BTreeSet;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{InquiryReply, InquiryRequest, Watermark, peer};

use crate::effect::Millis;
use crate::membership::MembershipExt;
use crate::replica::{Replica, Role};

/// Number of election times after which a member proceeds without further replies.
const TIMEOUT_ELECTIONS: u64 = 10;
/// A member proceeds with replies from a majority after this fraction (1/n) of the election time.
const MAJORITY_WAIT_DIVISOR: u64 = 5;

/// State of the verification of this member's own disk.
#[derive(Debug)]
pub(crate) enum DiskVerification {
    /// The disk is not known to lack any acknowledged entry.
    Verified,
    /// The other voters are being queried.
    Pending {
        /// When the member proceeds without further replies.
        timeout_at: Millis,
        /// When replies from a majority are enough.
        majority_timeout_at: Millis,
        /// When the next round of inquiries is sent.
        next_inquiry_at: Millis,
        /// Voters that have replied.
        replied: BTreeSet<MemberId>,
    },
    /// The disk lacks acknowledged entries; the member must be replaced.
    Failed,
}

impl DiskVerification {
    /// Creates a pending verification.
    pub(crate) fn pending(now: Millis, election: Millis) -> Self {
        Self::Pending {
            timeout_at: now + TIMEOUT_ELECTIONS * election,
            majority_timeout_at: now + election / MAJORITY_WAIT_DIVISOR,
            next_inquiry_at: now,
            replied: BTreeSet::new(),
        }
    }

    /// Returns whether the member may participate.
    pub(crate) fn is_verified(&self) -> bool {
        matches!(self, Self::Verified)
    }
}

impl Replica {
    /// Queries the other voters, and completes the verification after enough replies or a timeout.
    pub(crate) fn tick_disk_verification(&mut self) {
        let (now, heartbeat) = (self.now, self.timing.heartbeat);
        let others = self.other_voters();
        let majority = self.log.membership().majority();
        let DiskVerification::Pending { timeout_at, majority_timeout_at, next_inquiry_at, replied } =
            &mut self.disk_verification
        else {
            return;
        };
        let replies = others.iter().filter(|id| replied.contains(id)).count();
        let has_enough_replies =
            replies == others.len() || (now >= *majority_timeout_at && replies + 1 >= majority);
        if now >= *timeout_at || has_enough_replies {
            self.disk_verification = DiskVerification::Verified;
            self.schedule_early_election();
            return;
        }
        if now < *next_inquiry_at {
            return;
        }
        *next_inquiry_at = now + heartbeat;
        let remaining: Vec<_> = others.into_iter().filter(|id| !replied.contains(id)).collect();
        for id in remaining {
            self.send_inquiry(id);
        }
    }

    /// Queries another member for this member's watermark and for a current leader.
    pub(crate) fn send_inquiry(&mut self, id: MemberId) {
        let life = self.vote_restriction.incarnation();
        self.send_now(id, peer::Body::Inquiry(InquiryRequest { life }));
    }

    pub(crate) fn on_inquiry(&mut self, from: MemberId, disk: u64, request: InquiryRequest) {
        let index = self.watermarks.get(&(from, disk)).copied().unwrap_or(0);
        let reply = InquiryReply {
            watermark: Some(Watermark { id: from.get(), disk, index, silent_ms: 0 }),
            life: request.life,
            led: matches!(self.role, Role::Leader(_)) || self.vote_restriction.has_leader(self.now),
            membership: self.log.membership().digest(),
        };
        self.send_now(from, peer::Body::InquiryReply(reply));
    }

    pub(crate) fn on_inquiry_reply(&mut self, from: MemberId, disk: u64, reply: InquiryReply) {
        self.merge_watermarks(reply.watermark.as_slice());
        if let DiskVerification::Pending { replied, .. } = &mut self.disk_verification {
            replied.insert(from);
        }
        self.record_leaderless_reply(from, disk, &reply);
    }

    /// Merges watermarks and compares this member's own one with its log.
    pub(crate) fn merge_watermarks(&mut self, marks: &[Watermark]) {
        for mark in marks {
            let key = (MemberId::new(mark.id), mark.disk);
            let index = self.watermarks.entry(key).or_default();
            *index = (*index).max(mark.index);
        }
        let own = (self.identity.id, self.identity.disk);
        let listed = marks.iter().any(|mark| (MemberId::new(mark.id), mark.disk) == own);
        let required = self.watermarks.get(&own).copied().unwrap_or(0);
        let is_complete = self.log.last_index() >= required;
        match self.disk_verification {
            DiskVerification::Pending { .. } if !is_complete => {
                self.disk_verification = DiskVerification::Failed;
                self.report_disk(self.identity.id);
            }
            // Only a leader sends the watermarks of several members, and it knows this member's.
            DiskVerification::Pending { .. } if listed && marks.len() > 1 => {
                self.disk_verification = DiskVerification::Verified
            }
            _ => {}
        }
    }
}
