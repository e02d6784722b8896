//! Moves that the leader carries out.

use std::collections::HashMap;
use std::time::Duration;

use actix::{Handler, Message, ResponseFuture};
use kingcuplift_config::{Kind, MoveSpec, MoveState, Resource, ResourceKey, Submission};
use kingcuplift_core::{Event, OperationId, ResultCode, ServiceName, TargetVersion};
use kingcuplift_quorum::{Event as Input, RoleName};
use kingcuplift_schema::Message as _;
use kingcuplift_schema::control::{Evidence, Target, TargetState};
use kingcuplift_traffic::{MoveEvidence, MoveStage, MoveStep, Side, next_step};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::clock::{monotonic_ms, wall_ms};
use crate::source::actor::{SourceActor, Stage};
use crate::source::answer::Answer;

/// Time between looks at the moves.
pub(crate) const MOVE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for a move whose order names none.
const DEFAULT_WITHIN: Duration = Duration::from_secs(60);
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

/// What the leader knows of a move that goes on.
#[derive(Debug)]
struct Watched {
    to: SmolStr,
    evidence: MoveEvidence,
    moved: u16,
    /// When the share was last seen to change, on the leader's clock.
    changed_ms: u64,
    /// Whether a step is on its way into the log.
    is_stepping: bool,
}

/// Moves that go on, by service.
#[derive(Debug, Default)]
pub(crate) struct MoveControl {
    watched: HashMap<SmolStr, Watched>,
}

impl MoveControl {
    /// Forgets all evidence, because another member leads.
    pub(crate) fn forget(&mut self) {
        self.watched.clear();
    }

    /// Takes evidence of nodes; returns whether any of it concerns a move that goes on.
    fn learn(&mut self, evidence: &Evidence, now_ms: u64) -> bool {
        let mut concerned = false;
        for count in &evidence.counts {
            let Some(watched) = self.watched.get_mut(count.service.as_str()) else { continue };
            let side = match watched.to == count.version {
                true => Side::New,
                false => Side::Old,
            };
            watched.evidence.add(side, count, now_ms);
            concerned |= side == Side::New;
        }
        concerned
    }
}

impl SourceActor {
    /// Takes evidence of nodes, and acts on it at once.
    pub(crate) fn learn_evidence(&mut self, evidence: &Evidence) {
        if self.moves.learn(evidence, monotonic_ms()) {
            self.tick_moves();
        }
    }

    /// Carries the moves further, as leader.
    pub(crate) fn tick_moves(&mut self) {
        let Stage::Member(replica) = &self.stage else { return };
        if replica.role() != RoleName::Leader || !replica.is_current(monotonic_ms()) {
            return;
        }
        let document = self.catalog.current().document();
        let mut going: Vec<MoveSpec> = Vec::new();
        for key in document.keys_of(Kind::Moves) {
            match document.get(key).map(|stored| &stored.resource) {
                Some(Resource::Move(spec)) if is_going(spec) => going.push(spec.clone()),
                _ => {}
            }
        }
        let is_on = |service: &SmolStr| going.iter().any(|spec| spec.service.as_str() == service);
        self.moves.watched.retain(|service, _| is_on(service));
        for spec in going {
            self.carry_on(&spec);
        }
    }

    /// Decides on the next step of one move and submits it.
    fn carry_on(&mut self, spec: &MoveSpec) {
        let now = monotonic_ms();
        let name = SmolStr::new(spec.service.as_str());
        let targets = self.relays.targets.table().of_service(&name);
        let is_ready = |target: &Target| {
            target.version == spec.to.as_str() && target.state() == TargetState::Ready
        };
        let targets = targets.filter(|(_, target)| is_ready(target)).count();
        let watched = self.moves.watched.entry(name.clone()).or_insert_with(|| Watched {
            to: SmolStr::new(spec.to.as_str()),
            evidence: MoveEvidence::default(),
            moved: spec.moved_permille,
            changed_ms: now,
            is_stepping: false,
        });
        if watched.moved != spec.moved_permille {
            watched.moved = spec.moved_permille;
            watched.changed_ms = now;
            watched.is_stepping = false;
        }
        if watched.is_stepping {
            return;
        }
        let stage = MoveStage {
            new_share: spec.moved_permille,
            since_change: Duration::from_millis(now - watched.changed_ms),
            elapsed: Duration::from_millis(wall_ms().saturating_sub(spec.requested_ms)),
            within: spec.duration.unwrap_or(DEFAULT_WITHIN),
            targets,
        };
        let step = next_step(stage, &watched.evidence);
        let change = match &step {
            MoveStep::Wait => return,
            MoveStep::Share(moved) => {
                json!({ "state": MoveState::Moving.as_str(), "moved": moved })
            }
            MoveStep::Done => json!({ "state": MoveState::Done.as_str(), "moved": 1_000 }),
            MoveStep::RollBack(_) => json!({ "state": MoveState::RolledBack.as_str(), "moved": 0 }),
        };
        watched.is_stepping = true;
        let reason = match &step {
            MoveStep::RollBack(Some(regression)) => {
                format!(
                    "{:.0} of {:.0} calls of {} were bad",
                    regression.bad_calls, regression.calls, regression.route
                )
            }
            _ => format!("{targets} targets, {:.1?} since the order", stage.elapsed),
        };
        Event::MoveStepped.emit(&[("service", &name), ("step", &change), ("reason", &reason)]);
        self.submit_own(json!({ "moves": { name.as_str(): change } }));
    }

    /// As leader, writes down which target version takes the calls of a service that has had one only.
    pub(crate) fn hold_versions(&mut self) {
        let Stage::Member(replica) = &self.stage else { return };
        if !self.options.holds_versions || replica.role() != RoleName::Leader {
            return;
        }
        let document = self.catalog.current().document();
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
        let stored = self.catalog.current().document().get(&key);
        if let Some(Resource::Move(spec)) = stored.map(|stored| &stored.resource) {
            return match spec.state {
                MoveState::Done => Some(SmolStr::new(spec.to.as_str())),
                _ => spec.from.as_ref().map(|from| SmolStr::new(from.as_str())),
            };
        }
        let targets = self.relays.targets.table().of_service(service.as_str());
        targets.map(|(key, _)| key.version.clone()).find(|version| version.as_str() != to.as_str())
    }
}

/// Returns whether the leader has to carry a move on.
fn is_going(spec: &MoveSpec) -> bool {
    !spec.state.is_final() && spec.from.is_some()
}

impl Handler<StartMove> for SourceActor {
    type Result = ResponseFuture<Answer>;

    fn handle(&mut self, order: StartMove, _: &mut Self::Context) -> Self::Result {
        if let Some(answer) = self.not_leading() {
            return Box::pin(async move { answer });
        }
        let key = ResourceKey::new(Kind::Moves, order.service.as_str());
        let stored = self.catalog.current().document().get(&key);
        if let Some(Resource::Move(spec)) = stored.map(|stored| &stored.resource) {
            let age = wall_ms().saturating_sub(spec.requested_ms + order.within.as_millis() as u64);
            let is_same = spec.to == order.to && spec.requested_ms > 0;
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
        self.propose(&submission)
    }
}
