//! Moves that the leader carries out.

use std::time::Duration;

use actix::{Handler, Message, ResponseFuture};
use kingcuplift_config::{Kind, MoveState, Resource, ResourceKey, Submission};
use kingcuplift_core::{OperationId, ResultCode, ServiceName, TargetVersion};
use kingcuplift_quorum::{Event as Input, RoleName};
use kingcuplift_schema::Message as _;
use kingcuplift_schema::control::{Evidence, TargetState};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::clock::wall_ms;
use crate::source::actor::{SourceActor, Stage};
use crate::source::answer::Answer;

/// Time between looks at the moves.
pub(crate) const MOVE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after its end for which the same order counts as a resend, in milliseconds.
const RESEND_TIME: u64 = 10_000;

/// Asks for the traffic of a service to move to a target version.
#[derive(Debug, Message)]
#[rtype(result = "Answer")]
pub(crate) struct StartMove {
    pub(crate) service: ServiceName,
    pub(crate) to: TargetVersion,
    pub(crate) within: Duration,
    pub(crate) operation: OperationId,
}

/// Evidence of the moves that go on.
#[derive(Debug)]
pub(crate) struct MoveControl {
    trial_part: f64,
}

impl MoveControl {
    /// Makes the control of a leader that knows of no evidence.
    pub(crate) fn new(trial_part: f64) -> Self {
        Self { trial_part }
    }

    /// Forgets all evidence, because another member leads.
    pub(crate) fn forget(&mut self) {
        *self = Self::new(self.trial_part);
    }

    /// Takes evidence of nodes.
    pub(crate) fn learn(&mut self, _evidence: &Evidence) {}
}

impl SourceActor {
    /// Carries the moves further.
    pub(crate) fn tick_moves(&mut self) {}

    /// As leader, writes down which target version takes the calls of a service that has had one only.
    pub(crate) fn hold_versions(&mut self) {
        let Stage::Member(replica) = &self.stage else { return };
        if !self.options.holds_versions || replica.role() != RoleName::Leader {
            return;
        }
        let document = self.catalog.feed().document();
        let table = self.relays.targets.table();
        let mut moves = serde_json::Map::new();
        for key in document.keys_of(Kind::Services) {
            let is_held = document.referrers(key).any(|referrer| referrer.kind == Kind::Moves);
            let mut versions: Vec<&str> = table
                .of_service(&key.name)
                .filter(|(_, target)| target.state() == TargetState::Ready)
                .map(|(_, target)| target.version.as_str())
                .collect();
            versions.dedup();
            if let (false, [version]) = (is_held, versions.as_slice()) {
                let done = MoveState::Done.as_str();
                let held = json!({ "service": key.name, "to": version, "state": done });
                moves.insert(key.name.to_string(), held);
            }
        }
        if !moves.is_empty() {
            self.submit_own(json!({ "moves": moves }));
        }
    }

    /// Submits a patch of the leader itself.
    pub(crate) fn submit_own(&mut self, patch: Value) {
        let operation = format!("leader-{:032x}", rand::random::<u128>());
        let submission = Submission {
            operation,
            at_head: true,
            patch: patch.to_string(),
            at_ms: wall_ms(),
            author: self.name.to_string(),
            ..Submission::default()
        };
        let token = self.next_token();
        self.step(Input::Propose { token, command: submission.encode_to_vec() });
    }

    /// Returns the target version that has the traffic of a service.
    fn serving_version(&self, service: &ServiceName, to: &TargetVersion) -> Option<SmolStr> {
        let key = ResourceKey::new(Kind::Moves, service.as_str());
        let stored = self.catalog.feed().document().get(&key);
        if let Some(Resource::Move(spec)) = stored.map(|stored| &stored.resource) {
            return match spec.state {
                MoveState::Done => Some(SmolStr::new(spec.to.as_str())),
                _ => spec.from.as_ref().map(|from| SmolStr::new(from.as_str())),
            };
        }
        let targets = self.relays.targets.table().of_service(service.as_str());
        targets
            .map(|(key, _)| key.version.clone())
            .find(|version| version.as_str() != to.as_str())
    }
}

impl Handler<StartMove> for SourceActor {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, order: StartMove, _: &mut Self::Context) -> Self::Result {
        if let Some(answer) = self.not_leading() {
            return Box::pin(async move { answer });
        }
        let key = ResourceKey::new(Kind::Moves, order.service.as_str());
        let stored = self.catalog.feed().document().get(&key);
        if let Some(Resource::Move(spec)) = stored.map(|stored| &stored.resource) {
            let age = wall_ms().saturating_sub(spec.ordered_ms + order.within.as_millis() as u64);
            let is_same = spec.to == order.to && spec.ordered_ms > 0;
            if is_same && (!spec.state.is_final() || age < RESEND_TIME) {
                return Box::pin(async { Answer::Document(json!({ "state": "known" })) });
            }
            if !spec.state.is_final() {
                let detail = "another move of the service goes on; wait for its end";
                return Box::pin(async move { Answer::problem(ResultCode::BaseConflict, detail) });
            }
        }
        let from = self.serving_version(&order.service, &order.to);
        let Some(from) = from.filter(|from| from.as_str() != order.to.as_str()) else {
            let detail = "no other target version of the service has calls";
            return Box::pin(async move { Answer::problem(ResultCode::ResourceNotFound, detail) });
        };
        let spec = json!({
            "service": order.service.as_str(),
            "from": from,
            "to": order.to.as_str(),
            "share": 100,
            "deadline": null,
            "within_s": order.within.as_secs_f64(),
            "ordered_ms": wall_ms(),
            "state": MoveState::Moving.as_str(),
            "moved": 0,
        });
        let submission = Submission {
            operation: order.operation.to_string(),
            at_head: true,
            patch: json!({ "moves": { order.service.as_str(): spec } }).to_string(),
            at_ms: wall_ms(),
            ..Submission::default()
        };
        let (token, answer) = self.expect_answer();
        self.step(Input::Propose { token, command: submission.encode_to_vec() });
        answer
    }
}
