//! Handlers of requests to the operator API.

use actix::{Handler, ResponseFuture};
use kingcuplift_config::{Outcome, Patch, RevisionBody, Submission};
use kingcuplift_core::{MemberId, ResultCode};
use kingcuplift_quorum::{Event as Input, RoleName};
use kingcuplift_schema::Message as _;

use crate::clock::wall_ms;
use crate::source::actor::{SourceActor, Stage};
use crate::source::members;
use crate::source::messages::{
    ChangeMembers, CreateBackup, GetHealth, ListMembers, MemberHealth, ReplaceConfig, RunQuery,
    Submit, TransferLeadership,
};
use crate::source::query::QueryContext;
use crate::source::response::Response;
use crate::turns::{Work, measure};

impl Handler<Submit> for SourceActor {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, message: Submit, _: &mut Self::Context) -> Self::Result {
        if let Some(response) = self.reject_unless_leader() {
            return Box::pin(async move { response });
        }
        let mut submission = message.0;
        submission.at_ms = wall_ms();
        if let Some(outcome) = self.catalog.recorded_outcome(&submission) {
            return Box::pin(async move { Response::from_outcome(outcome) });
        }
        if let Err(faults) = Patch::parse(&submission.patch) {
            let outcome = Outcome::refused(faults);
            return Box::pin(async move { Response::from_outcome(outcome) });
        }
        self.propose(&submission)
    }
}

impl Handler<ReplaceConfig> for SourceActor {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, message: ReplaceConfig, _: &mut Self::Context) -> Self::Result {
        if let Some(response) = self.reject_unless_leader() {
            return Box::pin(async move { response });
        }
        let submission = match measure(Work::Check, || self.check_revision(&message)) {
            Ok(submission) => submission,
            Err(outcome) => return Box::pin(async move { Response::from_outcome(outcome) }),
        };
        self.propose(&submission)
    }
}

impl SourceActor {
    /// Proposes a submission and returns its future response.
    pub(crate) fn propose(&mut self, submission: &Submission) -> ResponseFuture<Response> {
        // The operation id of a full configuration is a digest of its content. An operator that gets no response in time
        // sends it again; a second entry would be stored only after the first one.
        let is_repeatable = submission.revision != 0;
        if is_repeatable && let Some(response) = self.pending_responses.join(&submission.operation)
        {
            return response;
        }
        let (token, response) = self.register_response();
        if is_repeatable {
            self.pending_responses.name(token, &submission.operation);
        }
        let command = submission.encode_to_vec();
        self.step(Input::Propose { token, command });
        response
    }

    /// Builds the submission of a full configuration, or returns its outcome if that is known without a proposal.
    fn check_revision(&mut self, message: &ReplaceConfig) -> Result<Submission, Outcome> {
        let ReplaceConfig { after, text } = message;
        let body = RevisionBody::parse(text).map_err(Outcome::refused)?;
        let current = self.catalog.revision();
        let document = self.catalog.current().document();
        let submission =
            body.submission(*after, text, current, document, &mut self.canonical_cache);
        let mut submission = submission.map_err(Outcome::refused)?;
        submission.at_ms = wall_ms();
        let recorded = || self.catalog.recorded_outcome(&submission);
        if let Some(outcome) = self.catalog.active_outcome(&submission).or_else(recorded) {
            return Err(outcome);
        }
        if *after == current.number {
            self.catalog.prepare(&submission)?;
        }
        self.catalog.check_revision(&submission)?;
        Ok(submission)
    }
}

impl Handler<ChangeMembers> for SourceActor {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, message: ChangeMembers, _: &mut Self::Context) -> Self::Result {
        if let Some(response) = self.reject_unless_leader() {
            return Box::pin(async move { response });
        }
        let Stage::Member(replica) = &self.stage else {
            return Box::pin(async {
                Response::problem(ResultCode::NoLeader, "no group is formed")
            });
        };
        match message.0.apply(replica) {
            Ok(membership) => {
                let (token, response) = self.register_response();
                self.step(Input::ChangeMembers { token, membership });
                response
            }
            Err(response) => Box::pin(async move { response }),
        }
    }
}

impl Handler<ListMembers> for SourceActor {
    type Result = Response;

    fn handle(&mut self, _: ListMembers, _: &mut Self::Context) -> Response {
        match (self.reject_unless_leader(), &self.stage) {
            (None, Stage::Member(replica)) => Response::Document(members::list(replica)),
            (Some(response), _) => response,
            _ => Response::problem(ResultCode::NoLeader, "no group is formed"),
        }
    }
}

impl Handler<CreateBackup> for SourceActor {
    type Result = Result<Vec<u8>, Response>;

    fn handle(&mut self, _: CreateBackup, _: &mut Self::Context) -> Self::Result {
        match self.reject_unless_leader() {
            None => Ok(self.catalog.encode()),
            Some(response) => Err(response),
        }
    }
}

impl Handler<RunQuery> for SourceActor {
    type Result = Response;

    fn handle(&mut self, message: RunQuery, _: &mut Self::Context) -> Response {
        let context = QueryContext {
            catalog: &self.catalog,
            tracker: &self.relays.tracker,
            targets: self.relays.targets.table(),
        };
        match self.reject_unless_leader() {
            Some(response) => response,
            None => measure(Work::Query, || context.run(&message.0)),
        }
    }
}

impl Handler<GetHealth> for SourceActor {
    type Result = MemberHealth;

    fn handle(&mut self, _: GetHealth, _: &mut Self::Context) -> MemberHealth {
        let (role, term, leader) = match &self.stage {
            Stage::Forming(_) => ("forming", 0, None),
            Stage::Failed(_) => ("failed", 0, None),
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
