//! Membership changes requested by operators.

use kingcuplift_core::{MemberId, ResultCode};
use kingcuplift_quorum::{MembershipExt, Replica};
use kingcuplift_schema::quorum::{Membership, Voter};
use serde_json::{Value, json};

use crate::source::response::Response;

/// A membership change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum MemberChange {
    /// Adds a learner (a member without a vote).
    Add(Voter),
    /// Promotes a learner to voter.
    Promote(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}

impl MemberChange {
    /// Returns the membership after the change, or an error response if the change is not allowed.
    pub(crate) fn apply(&self, replica: &Replica) -> Result<Membership, Response> {
        let mut next = replica.membership().clone();
        match self {
            Self::Add(voter) => next.learners.push(voter.clone()),
            Self::Promote(id) => {
                let at = next.learners.iter().position(|learner| learner.id == id.get());
                let Some(at) = at else { return Err(not_found(*id, "learner")) };
                let learner = next.learners.remove(at);
                next.voters.push(learner);
            }
            Self::Remove(id) => {
                if next.member(*id).is_none() {
                    return Err(not_found(*id, "member"));
                }
                next.voters.retain(|voter| voter.id != id.get());
                next.learners.retain(|learner| learner.id != id.get());
            }
        }
        match replica.check_members(&next) {
            Ok(()) => Ok(next),
            Err(error) => Err(Response::problem(ResultCode::MembershipRefused, error.to_string())),
        }
    }
}

fn not_found(id: MemberId, kind: &str) -> Response {
    let detail = format!("{kind} {id} does not exist; see `member list`");
    Response::problem(ResultCode::ResourceNotFound, detail)
}

/// Lists the members with their replication progress, as known to the leader.
pub(crate) fn list(replica: &Replica) -> Value {
    let matched = replica.matched();
    let last = replica.log().last_index();
    let describe = |voter: &Voter, has_vote: bool| {
        let id = MemberId::new(voter.id);
        let is_leader = replica.leader() == Some(id);
        json!({
            "id": voter.id,
            "vote": has_vote,
            "leader": is_leader,
            "stored": if is_leader { last } else { matched.get(&id).copied().unwrap_or(0) },
            "listen": voter.listen,
            "http": voter.http,
            "disk": format!("{:016x}", voter.disk),
        })
    };
    let membership = replica.membership();
    let voters = membership.voters.iter().map(|voter| describe(voter, true));
    let learners = membership.learners.iter().map(|learner| describe(learner, false));
    json!({ "members": voters.chain(learners).collect::<Vec<_>>(), "last": last })
}
