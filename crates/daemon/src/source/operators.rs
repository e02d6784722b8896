//! Answers operators.

use actix::{Handler, ResponseFuture};
use kingcuplift_config::{Outcome, Patch, RevisionBody, Submission};
use kingcuplift_core::{MemberId, ResultCode};
use kingcuplift_quorum::{Event as Input, RoleName};
use kingcuplift_schema::Message as _;

use crate::clock::wall_ms;
use crate::source::actor::{SourceActor, Stage};
use crate::source::answer::Answer;
use crate::source::members;
use crate::source::messages::{
    Ask, AskBackup, AskHealth, AskMembers, Change, MemberHealth, Revise, Submit, TransferLeadership,
};
use crate::source::query::View;

impl Handler<Submit> for SourceActor {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, message: Submit, _: &mut Self::Context) -> Self::Result {
        if let Some(answer) = self.not_leading() {
            return Box::pin(async move { answer });
        }
        let mut submission = message.0;
        submission.at_ms = wall_ms();
        if let Some(outcome) = self.catalog.recorded_outcome(&submission) {
            return Box::pin(async move { Answer::outcome(outcome) });
        }
        if let Err(faults) = Patch::parse(&submission.patch) {
            let outcome = Outcome::refused(faults);
            return Box::pin(async move { Answer::outcome(outcome) });
        }
        self.propose(&submission)
    }
}

impl Handler<Revise> for SourceActor {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, message: Revise, _: &mut Self::Context) -> Self::Result {
        if let Some(answer) = self.not_leading() {
            return Box::pin(async move { answer });
        }
        let submission = match self.check_revision(&message) {
            Ok(submission) => submission,
            Err(outcome) => return Box::pin(async move { Answer::outcome(outcome) }),
        };
        self.propose(&submission)
    }
}

impl SourceActor {
    /// Proposes a submission and returns its future answer.
    pub(crate) fn propose(&mut self, submission: &Submission) -> ResponseFuture<Answer> {
        let (token, answer) = self.expect_answer();
        let command = submission.encode_to_vec();
        self.step(Input::Propose { token, command });
        answer
    }

    /// Makes the submission of a whole configuration, or returns what is known to become of it.
    fn check_revision(&self, message: &Revise) -> Result<Submission, Outcome> {
        let body = RevisionBody::parse(&message.text).map_err(Outcome::refused)?;
        let held = self.catalog.revision();
        let document = self.catalog.current().document();
        let mut submission = body.submission(message.after, &message.text, held, document);
        submission.at_ms = wall_ms();
        if let Some(outcome) = self.catalog.recorded_outcome(&submission) {
            return Err(outcome);
        }
        if message.after == held.number {
            let patch = Patch::parse(&submission.patch).map_err(Outcome::refused)?;
            patch.stage(document, self.catalog.head().next()).map_err(Outcome::refused)?;
        }
        self.catalog.check_revision(&submission)?;
        Ok(submission)
    }
}

impl Handler<Change> for SourceActor {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, message: Change, _: &mut Self::Context) -> Self::Result {
        if let Some(answer) = self.not_leading() {
            return Box::pin(async move { answer });
        }
        let Stage::Member(replica) = &self.stage else {
            return Box::pin(async { Answer::problem(ResultCode::NoLeader, "no group is formed") });
        };
        match message.0.apply(replica) {
            Ok(membership) => {
                let (token, answer) = self.expect_answer();
                self.step(Input::ChangeMembers { token, membership });
                answer
            }
            Err(answer) => Box::pin(async move { answer }),
        }
    }
}

impl Handler<AskMembers> for SourceActor {
    type Result = Answer;

    fn handle(&mut self, _: AskMembers, _: &mut Self::Context) -> Answer {
        match (self.not_leading(), &self.stage) {
            (None, Stage::Member(replica)) => Answer::Document(members::list(replica)),
            (Some(answer), _) => answer,
            _ => Answer::problem(ResultCode::NoLeader, "no group is formed"),
        }
    }
}

impl Handler<AskBackup> for SourceActor {
    type Result = Result<Vec<u8>, Answer>;

    fn handle(&mut self, _: AskBackup, _: &mut Self::Context) -> Self::Result {
        match self.not_leading() {
            None => Ok(self.catalog.encode()),
            Some(answer) => Err(answer),
        }
    }
}

impl Handler<Ask> for SourceActor {
    type Result = Answer;

    fn handle(&mut self, message: Ask, _: &mut Self::Context) -> Answer {
        let view = View {
            catalog: &self.catalog,
            tracker: &self.relays.tracker,
            targets: self.relays.targets.table(),
        };
        match self.not_leading() {
            Some(answer) => answer,
            None => view.answer(&message.0),
        }
    }
}

impl Handler<AskHealth> for SourceActor {
    type Result = MemberHealth;

    fn handle(&mut self, _: AskHealth, _: &mut Self::Context) -> MemberHealth {
        let (role, term, leader) = match &self.stage {
            Stage::Forming(_) => ("forming", 0, None),
            Stage::Failed => ("failed", 0, None),
            Stage::Member(replica) => {
                let role = match replica.role() {
                    RoleName::Leader => "leader",
                    RoleName::Follower => "follower",
                    RoleName::PreCandidate | RoleName::Candidate => "candidate",
                };
                (role, replica.term(), replica.leader().map(MemberId::get))
            }
        };
        MemberHealth {
            role,
            term,
            head: self.catalog.head().get(),
            leader,
            relays: self.relays.fanout.len(),
            disk: self.identity.disk,
            healthy: leader.is_some(),
        }
    }
}

impl Handler<TransferLeadership> for SourceActor {
    type Result = ();

    fn handle(&mut self, _: TransferLeadership, _: &mut Self::Context) {
        self.step(Input::Transfer);
    }
}
