//! Moves of a service's traffic to another target version, carried out by the leader.

use std::collections::HashMap;
use std::time::Duration;

use actix::{Handler, Message, ResponseFuture};
use kingcuplift_config::{Kind, MoveSpec, MoveState, Resource, ResourceKey, Submission};
use kingcuplift_core::{Event, OperationId, ResultCode, ServiceName, TargetVersion};
use kingcuplift_quorum::{Event as Input, Token};
use kingcuplift_schema::Message as _;
use kingcuplift_schema::control::{Evidence, Target, TargetState};
use kingcuplift_traffic::{MoveEvidence, MoveStage, MoveStep, Side, next_step};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::clock::{monotonic_ms, wall_ms};
use crate::source::actor::SourceActor;
use crate::source::response::Response;

/// Interval of the checks of active moves.
pub(crate) const MOVE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Duration of a move that doesn't specify one.
const DEFAULT_MOVE_DURATION: Duration = Duration::from_secs(60);
/// Time after a move's deadline during which an identical request counts as a retry, in milliseconds.
const RETRY_WINDOW_MS: u64 = 10_000;

/// Starts moving the traffic of a service to a target version.
#[derive(Debug, Clone, Message)]
#[rtype(result = "Response")]
pub(crate) struct StartMove {
    pub(crate) service: ServiceName,
    pub(crate) to: TargetVersion,
    pub(crate) within: Duration,
    pub(crate) operation: OperationId,
}

/// The leader's state for an active move.
#[derive(Debug)]
struct ActiveMove {
    to: SmolStr,
    evidence: MoveEvidence,
    moved: u16,
    /// Monotonic time when the leader last saw the share change, in milliseconds.
    changed_ms: u64,
    /// Proposal of a step that is neither applied nor refused yet.
    pending_step: Option<Token>,
}

/// Active moves by service.
#[derive(Debug, Default)]
pub(crate) struct MoveController {
    active: HashMap<SmolStr, ActiveMove>,
}

impl MoveController {
    /// Drops all collected evidence, when this member stops being the leader.
    pub(crate) fn clear(&mut self) {
        self.active.clear();
    }

    /// Begins to collect evidence on active moves, and drops that on others.
    fn track(&mut self, specs: &[MoveSpec]) {
        let is_listed = |service: &SmolStr, active: &ActiveMove| {
            specs.iter().any(|spec| {
                spec.service.as_str() == service && spec.to.as_str() == active.to.as_str()
            })
        };
        self.active.retain(|service, active| is_listed(service, active));
        for spec in specs {
            self.active.entry(SmolStr::new(spec.service.as_str())).or_insert_with(|| ActiveMove {
                to: SmolStr::new(spec.to.as_str()),
                evidence: MoveEvidence::default(),
                moved: spec.moved_permille,
                changed_ms: monotonic_ms(),
                pending_step: None,
            });
        }
    }

    fn begin_step(&mut self, service: &SmolStr, token: Token) {
        if let Some(active_move) = self.active.get_mut(service) {
            active_move.pending_step = Some(token);
        }
    }

    /// Permits the next step of the move whose step was proposed with this token: it is applied, or was refused.
    pub(crate) fn end_step(&mut self, token: Token) {
        let mut moves = self.active.values_mut();
        if let Some(active_move) = moves.find(|active| active.pending_step == Some(token)) {
            active_move.pending_step = None;
        }
    }

    /// Records evidence from nodes; returns whether any of it is about the new version of an active move.
    fn add_evidence(&mut self, evidence: &Evidence, now_ms: u64) -> bool {
        let mut is_relevant = false;
        for count in &evidence.counts {
            let Some(active_move) = self.active.get_mut(count.service.as_str()) else { continue };
            let side = match active_move.to == count.version {
                true => Side::New,
                false => Side::Old,
            };
            active_move.evidence.add(side, count, now_ms);
            is_relevant |= side == Side::New;
        }
        is_relevant
    }
}

impl SourceActor {
    /// Records evidence from nodes and advances the moves at once if it is about a new version.
    pub(crate) fn handle_evidence(&mut self, evidence: &Evidence) {
        let specs = self.active_specs();
        self.moves.track(&specs);
        if self.moves.add_evidence(evidence, monotonic_ms()) {
            self.advance_moves();
        }
    }

    /// As leader, advances all active moves.
    pub(crate) fn advance_moves(&mut self) {
        if !self.is_current_leader() {
            return;
        }
        let specs = self.active_specs();
        self.moves.track(&specs);
        for spec in specs {
            self.advance_move(&spec);
        }
    }

    /// Returns the moves that the leader has to advance.
    fn active_specs(&self) -> Vec<MoveSpec> {
        let document = self.catalog.current().document();
        let resources = document.keys_of(Kind::Moves).filter_map(|key| document.get(key));
        let specs = resources.filter_map(|stored| match &stored.resource {
            Resource::Move(spec) if is_active(spec) => Some(spec.clone()),
            _ => None,
        });
        specs.collect()
    }

    /// Chooses the next step of a move and submits it.
    fn advance_move(&mut self, spec: &MoveSpec) {
        let now = monotonic_ms();
        let name = SmolStr::new(spec.service.as_str());
        let targets = self.relays.targets.table().of_service(&name);
        let is_ready = |target: &Target| {
            target.version == spec.to.as_str() && target.state() == TargetState::Ready
        };
        let targets = targets.filter(|(_, target)| is_ready(target)).count();
        let Some(active_move) = self.moves.active.get_mut(&name) else { return };
        if active_move.moved != spec.moved_permille {
            active_move.moved = spec.moved_permille;
            active_move.changed_ms = now;
        }
        if active_move.pending_step.is_some() {
            return;
        }
        let stage = MoveStage {
            new_share: spec.moved_permille,
            since_change: Duration::from_millis(now - active_move.changed_ms),
            elapsed: Duration::from_millis(wall_ms().saturating_sub(spec.requested_ms)),
            within: spec.duration.unwrap_or(DEFAULT_MOVE_DURATION),
            targets,
        };
        let step = next_step(stage, &active_move.evidence);
        let change = match &step {
            MoveStep::Wait => return,
            MoveStep::Share(moved) => {
                json!({ "state": MoveState::Moving.as_str(), "moved": moved })
            }
            MoveStep::Done => json!({ "state": MoveState::Done.as_str(), "moved": 1_000 }),
            MoveStep::RollBack(_) => json!({ "state": MoveState::RolledBack.as_str(), "moved": 0 }),
        };
        let reason = match &step {
            MoveStep::RollBack(Some(regression)) => {
                format!(
                    "{:.0} of {:.0} calls of {} failed or were slow",
                    regression.bad_calls, regression.calls, regression.route
                )
            }
            _ => format!(
                "{targets} targets, {:.1?} since the request; {}",
                stage.elapsed, active_move.evidence
            ),
        };
        Event::MoveStepped.emit(&[("service", &name), ("step", &change), ("reason", &reason)]);
        let token = self.next_token();
        self.moves.begin_step(&name, token);
        self.submit_internal(token, json!({ "moves": { name.as_str(): change } }));
    }

    /// As leader, records the target version of each service that has only one as a completed move.
    pub(crate) fn pin_single_versions(&mut self) {
        if !self.options.pins_versions || !self.is_current_leader() {
            return;
        }
        let document = self.catalog.current().document();
        let table = self.relays.targets.table();
        let mut moves = serde_json::Map::new();
        for key in document.keys_of(Kind::Services) {
            let is_pinned = document.referrers(key).any(|referrer| referrer.kind == Kind::Moves);
            let mut versions: Vec<&str> = table
                .of_service(&key.name)
                .filter(|(_, target)| target.state() == TargetState::Ready)
                .map(|(_, target)| target.version.as_str())
                .collect();
            versions.dedup();
            if let (false, [version]) = (is_pinned, versions.as_slice()) {
                let done = MoveState::Done.as_str();
                let pinned = json!({ "service": key.name, "to": version, "state": done });
                moves.insert(key.name.to_string(), pinned);
            }
        }
        if !moves.is_empty() {
            let token = self.next_token();
            self.submit_internal(token, json!({ "moves": moves }));
        }
    }

    /// Submits a patch on behalf of the leader.
    fn submit_internal(&mut self, token: Token, patch: Value) {
        let operation = format!("leader-{:032x}", rand::random::<u128>());
        let submission = Submission {
            operation,
            at_head: true,
            patch: patch.to_string(),
            at_ms: wall_ms(),
            author: self.name.to_string(),
            ..Submission::default()
        };
        self.step(Input::Propose { token, command: submission.encode_to_vec() });
    }

    /// Returns the target version that serves the traffic of a service.
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

    /// Returns whether a configured service has no targets here: the relays of a new leader may not have reported them.
    fn lacks_targets(&self, service: &ServiceName) -> bool {
        let key = ResourceKey::new(Kind::Services, service.as_str());
        let mut targets = self.relays.targets.table().of_service(service.as_str());
        self.catalog.current().document().contains(&key) && targets.next().is_none()
    }
}

/// Returns whether the leader has to advance a move.
fn is_active(spec: &MoveSpec) -> bool {
    !spec.state.is_final() && spec.from.is_some()
}

impl Handler<StartMove> for SourceActor {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, request: StartMove, _: &mut Self::Context) -> Self::Result {
        if let Some(response) = self.reject_unless_leader() {
            return Box::pin(async move { response });
        }
        let key = ResourceKey::new(Kind::Moves, request.service.as_str());
        let stored = self.catalog.current().document().get(&key);
        if let Some(Resource::Move(spec)) = stored.map(|stored| &stored.resource) {
            let age =
                wall_ms().saturating_sub(spec.requested_ms + request.within.as_millis() as u64);
            let is_same = spec.to == request.to && spec.requested_ms > 0;
            if is_same && (!spec.state.is_final() || age < RETRY_WINDOW_MS) {
                return Box::pin(async { Response::Document(json!({ "state": "known" })) });
            }
            if !spec.state.is_final() {
                let detail = "another move of the service is active; wait until it ends";
                return Box::pin(
                    async move { Response::problem(ResultCode::BaseConflict, detail) },
                );
            }
        }
        let from = match self.serving_version(&request.service, &request.to) {
            Some(from) if from.as_str() != request.to.as_str() => from,
            None if self.lacks_targets(&request.service) => {
                let detail = "no target of the service is known yet; try again shortly";
                return Box::pin(async move { Response::Unready(detail) });
            }
            _ => {
                let detail = "no other target version of the service receives calls";
                return Box::pin(
                    async move { Response::problem(ResultCode::ResourceNotFound, detail) },
                );
            }
        };
        let spec = json!({
            "service": request.service.as_str(),
            "from": from,
            "to": request.to.as_str(),
            "share": 100,
            "deadline": null,
            "within_s": request.within.as_secs_f64(),
            "ordered_ms": wall_ms(),
            "state": MoveState::Moving.as_str(),
            "moved": 0,
        });
        let submission = Submission {
            operation: request.operation.to_string(),
            at_head: true,
            patch: json!({ "moves": { request.service.as_str(): spec } }).to_string(),
            at_ms: wall_ms(),
            ..Submission::default()
        };
        self.propose(&submission)
    }
}
