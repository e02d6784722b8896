//! Whether a restarted member's disk holds all that it has acknowledged.
//!
//! The other members remember which committed entries each disk has stored. A restarted member takes no
//! part until a leader, or every other voter, has told it what it must hold. When some voters can't be
//! reached for a while, they count as the fault that the group tolerates, and the member goes on: soon if a
//! majority has answered, since every leader spreads what it knows to a majority, and later if none has.

use std::collections::BTreeSet;

use kingcuplift_core::MemberId;
use kingcuplift_schema::quorum::{InquiryReply, InquiryRequest, Watermark, peer};

use crate::effect::Millis;
use crate::membership::MembershipExt;
use crate::replica::{Replica, Role};

/// Election times after which a member goes on although some voter has not answered.
const PATIENCE: u64 = 10;
/// Part of the election time after which a member goes on although a minority has not answered: one fifth.
const MINORITY_DIVISOR: u64 = 5;

/// Trust in the member's own disk.
#[derive(Debug)]
pub(crate) enum Trust {
    /// The disk holds all that it should, as far as anybody knows.
    Proved,
    /// The other voters are being asked.
    Asking {
        /// When the member goes on without further answers.
        until: Millis,
        /// When the member goes on if a majority has answered by then.
        soon: Millis,
        /// When the voters are asked again.
        again: Millis,
        /// Voters that have answered.
        answered: BTreeSet<MemberId>,
    },
    /// The disk lacks acknowledged entries; the member must be replaced.
    Refused,
}

impl Trust {
    /// Begins to ask.
    pub(crate) fn asking(now: Millis, election: Millis) -> Self {
        Self::Asking {
            until: now + PATIENCE * election,
            soon: now + election / MINORITY_DIVISOR,
            again: now,
            answered: BTreeSet::new(),
        }
    }

    /// Returns whether the member may take part.
    pub(crate) fn is_proved(&self) -> bool {
        matches!(self, Self::Proved)
    }
}

impl Replica {
    /// Asks the other voters, and goes on when time is up.
    pub(crate) fn tick_trust(&mut self) {
        let (now, heartbeat) = (self.now, self.timing.heartbeat);
        let others = self.other_voters();
        let majority = self.log.membership().majority();
        let Trust::Asking { until, soon, again, answered } = &mut self.trust else { return };
        let answers = others.iter().filter(|id| answered.contains(id)).count();
        let is_enough = answers == others.len() || (now >= *soon && answers + 1 >= majority);
        if now >= *until || is_enough {
            self.trust = Trust::Proved;
            self.hasten_election();
            return;
        }
        if now < *again {
            return;
        }
        *again = now + heartbeat;
        let unanswered: Vec<_> = others.into_iter().filter(|id| !answered.contains(id)).collect();
        for id in unanswered {
            self.inquire(id);
        }
    }

    /// Asks another member what it knows of this one, and of a leader.
    pub(crate) fn inquire(&mut self, id: MemberId) {
        let life = self.promise.life();
        self.send_now(id, peer::Body::Inquiry(InquiryRequest { life }));
    }

    pub(crate) fn on_inquiry(&mut self, from: MemberId, disk: u64, request: InquiryRequest) {
        let index = self.watermarks.get(&(from, disk)).copied().unwrap_or(0);
        let reply = InquiryReply {
            watermark: Some(Watermark { id: from.get(), disk, index }),
            life: request.life,
            led: matches!(self.role, Role::Leader(_)) || self.promise.is_to_leader(self.now),
            membership: self.log.membership().digest(),
        };
        self.send_now(from, peer::Body::InquiryReply(reply));
    }

    pub(crate) fn on_inquiry_reply(&mut self, from: MemberId, disk: u64, reply: InquiryReply) {
        self.learn_watermarks(reply.watermark.as_slice());
        if let Trust::Asking { answered, .. } = &mut self.trust {
            answered.insert(from);
        }
        self.learn_quiet(from, disk, &reply);
    }

    /// Remembers watermarks and compares the member's own with its log.
    pub(crate) fn learn_watermarks(&mut self, marks: &[Watermark]) {
        for mark in marks {
            let key = (MemberId::new(mark.id), mark.disk);
            let known = self.watermarks.entry(key).or_default();
            *known = (*known).max(mark.index);
        }
        let own = (self.identity.id, self.identity.disk);
        let listed = marks.iter().any(|mark| (MemberId::new(mark.id), mark.disk) == own);
        let needed = self.watermarks.get(&own).copied().unwrap_or(0);
        let is_whole = self.log.last_index() >= needed;
        match self.trust {
            Trust::Asking { .. } if !is_whole => {
                self.trust = Trust::Refused;
                self.report_disk(self.identity.id);
            }
            // Only a leader lists several members; it knows what they have stored.
            Trust::Asking { .. } if listed && marks.len() > 1 => self.trust = Trust::Proved,
            _ => {}
        }
    }
}
