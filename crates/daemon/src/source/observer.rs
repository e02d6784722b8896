//! What a member knows of its group while its storage has failed.

use kingcuplift_core::MemberId;
use kingcuplift_quorum::{MembershipExt, Millis};
use kingcuplift_schema::quorum::{Membership, Peer, Voter, peer};

use crate::source::actor::Stage;

/// Follows who leads the group, without taking part in it.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    membership: Membership,
    /// Latest term in which a leader was heard.
    term: u64,
    leader: Option<MemberId>,
    /// When a leader was last heard.
    heard_ms: Millis,
}

impl Observer {
    /// Creates the observer that a member becomes.
    pub(crate) fn of(stage: &Stage) -> Self {
        match stage {
            Stage::Member(replica) => {
                let own = replica.identity().id;
                Self {
                    membership: replica.membership().clone(),
                    term: replica.term(),
                    leader: replica.leader().filter(|leader| *leader != own),
                    heard_ms: replica.last_leader_contact(),
                }
            }
            Stage::Forming(_) | Stage::Failed(_) => Self::default(),
        }
    }

    /// Learns from a message who leads.
    pub(crate) fn observe(&mut self, message: &Peer, now: Millis) {
        let is_from_leader =
            matches!(message.body, Some(peer::Body::Append(_) | peer::Body::Snapshot(_)));
        let is_current = message.group == self.membership.group && message.term >= self.term;
        if is_from_leader && is_current {
            self.term = message.term;
            self.leader = Some(MemberId::new(message.from));
            self.heard_ms = now;
        }
    }

    /// Returns when a leader was last heard.
    pub(crate) fn heard_ms(&self) -> Millis {
        self.heard_ms
    }

    /// Returns the leader.
    pub(crate) fn leader(&self) -> Option<&Voter> {
        self.member(self.leader?)
    }

    /// Returns a member of the group.
    pub(crate) fn member(&self, id: MemberId) -> Option<&Voter> {
        self.membership.member(id)
    }
}
