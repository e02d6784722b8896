//! Changes of the membership that operators ask for.

use kingcuplift_core::{MemberId, ResultCode};
use kingcuplift_quorum::{MembershipExt, Replica};
use kingcuplift_schema::quorum::{Membership, Voter};
use serde_json::{Value, json};

use crate::source::answer::Answer;

/// A change of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum MemberChange {
    /// Adds a member without a vote.
    Add(Voter),
    /// Gives a member without a vote its vote.
    Promote(MemberId),
    /// Removes a member.
    Remove(MemberId),
}

impl MemberChange {
    /// Returns the membership after the change, or why it is refused.
    pub(crate) fn apply(&self, replica: &Replica) -> Result<Membership, Answer> {
        let mut next = replica.membership().clone();
        match self {
            Self::Add(voter) => next.learners.push(voter.clone()),
            Self::Promote(id) => {
                let at = next.learners.iter().position(|learner| learner.id == id.get());
                let Some(at) = at else { return Err(missing(*id, "waits for a vote")) };
                let learner = next.learners.remove(at);
                next.voters.push(learner);
            }
            Self::Remove(id) => {
                if next.member(*id).is_none() {
                    return Err(missing(*id, "exists"));
                }
                next.voters.retain(|voter| voter.id != id.get());
                next.learners.retain(|learner| learner.id != id.get());
            }
        }
        match replica.check_members(&next) {
            Ok(()) => Ok(next),
            Err(error) => Err(Answer::problem(ResultCode::MembershipRefused, error.to_string())),
        }
    }
}

fn missing(id: MemberId, what: &str) -> Answer {
    let detail = format!("no member {id} {what}; see `member list`");
    Answer::problem(ResultCode::ResourceNotFound, detail)
}

/// Lists the members as the leader sees them.
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
