//! Takes calls from callers, finds a target for each and hands back the whole answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::header::{CONNECTION, HOST, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use hyper::body::Incoming;
use kingcuplift_config::Semantics;
use kingcuplift_core::{Event, ResultCode, RunState};
use kingcuplift_traffic::{
    Attempt, CallEstimate, Candidate, RetryReason, RouteMatch, RoutingView, SelectionContext,
    ServiceView, ServingVersions, TargetKey, may_retry, select_target,
};
use smol_str::SmolStr;

use crate::clock::monotonic_ms;
use crate::error::StartError;
use crate::metrics;
use crate::node::body::{Body, BodyError};
use crate::node::envelope::{Envelope, take_load};
use crate::node::forward::{self, Answer, Call, Outcome, Refusal};
use crate::node::headers::{self, CODE, ENVELOPE, LOAD, ROOM, strip_hop};
use crate::node::peers::{hand_over, path_of};
use crate::node::respond::respond;
use crate::node::server::{Worker, serve_calls};
use crate::node::shared::NodeShared;

/// Most that a call's usual time counts for, as a part of the time until its objective.
const MAX_PART: f64 = 2.0;
/// Calls that a node works on at a time; each takes some tens of KiB, with its connections.
const MAX_IN_FLIGHT: usize = 600;
/// Nodes that may refuse one call before it is refused to its caller.
const MAX_REFUSALS: usize = 3;

/// Opens the callers' interface.
pub(crate) fn serve_callers(
    address: SocketAddr,
    threads: usize,
    shared: &Arc<NodeShared>,
) -> Result<(), StartError> {
    serve_calls(address, threads, shared, take)
}

async fn take(worker: Worker, request: Request<Incoming>) -> Response<Body> {
    let began = Instant::now();
    let guard = worker.shared.begin_call();
    let result = serve(&worker, request, began).await;
    drop(guard);
    let code = result.as_ref().err().map_or(0, |refusal| refusal.code.number());
    metrics::CALLS.with_label_values(&[code.to_string()]).inc();
    metrics::CALL_TIME.observe(began.elapsed().as_secs_f64());
    let mut response = respond(result);
    let headers = response.headers_mut();
    for name in [LOAD, ROOM] {
        headers.remove(name);
    }
    if worker.shared.is_draining() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve(
    worker: &Worker,
    request: Request<Incoming>,
    began: Instant,
) -> Result<Answer, Refusal> {
    if worker.shared.in_flight() > MAX_IN_FLIGHT {
        return Err(ResultCode::Overloaded.into());
    }
    let view = worker.shared.view.load_full().ok_or(ResultCode::NodeNotReady)?;
    let (parts, incoming) = request.into_parts();
    let route = find_route(&parts, &view)?;
    let time = call_time(&worker.shared, &parts, route)?;
    worker.shared.check_stop(began + time)?;
    let body = match Body::read(incoming, view.limits().max_body_size.get()).await {
        Ok(body) => body,
        Err(BodyError::Broken(_)) => return Err(ResultCode::CallMalformed.into()),
        Err(BodyError::TooLong) => return Err(ResultCode::BodyTooLarge.into()),
    };
    let call = make_call(&worker.shared, parts, body, route, began, time);
    let name = route.draw_service(&mut rand::rng());
    let service = view.service(name.as_str()).ok_or(ResultCode::NoTarget)?;
    let is_idempotent = match route.semantics {
        Some(semantics) => semantics == Semantics::Idempotent,
        None => service.spec.idempotent_methods.iter().any(|method| method == call.method.as_str()),
    };
    let name = SmolStr::new(name.as_str());
    worker.shared.budget().record_call(&name, monotonic_ms());
    let attempts = Attempts {
        worker,
        service,
        name,
        is_idempotent,
        most: route.attempts,
        tried: Vec::new(),
        sent: 0,
        refusals: 0,
    };
    attempts.run(call).await
}

fn find_route<'a>(parts: &Parts, view: &'a RoutingView) -> Result<&'a RouteMatch, ResultCode> {
    let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.ok_or(ResultCode::CallMalformed)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
    view.router().find(&name, parts.uri.path()).ok_or(ResultCode::RouteNotFound)
}

/// Returns the time that the call may take: the route's, or what the caller has left.
fn call_time(
    shared: &NodeShared,
    parts: &Parts,
    route: &RouteMatch,
) -> Result<Duration, ResultCode> {
    let Some(text) = headers::text(&parts.headers, shared.headers.time_left.as_ref()) else {
        return Ok(route.timeout);
    };
    let millis: f64 = text.trim().parse().map_err(|_invalid| ResultCode::CallMalformed)?;
    let left = Duration::try_from_secs_f64(millis / 1_000.0);
    let left = left.map_err(|_invalid| ResultCode::CallMalformed)?;
    Ok(route.timeout.min(left))
}

fn make_call(
    shared: &NodeShared,
    parts: Parts,
    body: Body,
    route: &RouteMatch,
    began: Instant,
    time: Duration,
) -> Call {
    let mut headers = parts.headers;
    strip_hop(&mut headers);
    for name in [CODE, ENVELOPE] {
        headers.remove(name);
    }
    let names = &shared.headers;
    if let Some(name) = &names.instance {
        headers.remove(name);
    }
    if let Some(name) = &names.caller {
        headers.remove(name);
        if let Some(service) = shared.service.load().as_deref() {
            headers::set(&mut headers, Some(name), service.as_str());
        }
    }
    let id = names.call.as_ref().and_then(|name| headers.get(name).cloned());
    Call {
        method: parts.method,
        path: path_of(&parts.uri),
        headers,
        body,
        deadline: began + time,
        objective: began + route.objective.min(time),
        route: route.name.clone(),
        rank: route.rank,
        id,
    }
}

/// What may become of a call after one attempt.
enum Next {
    /// The caller gets this.
    Settled(Result<Answer, Refusal>),
    /// Another target may be tried; the caller gets this if none is.
    Again(Result<Answer, Refusal>),
}

/// What log lines say of a call.
struct Trace {
    id: Option<HeaderValue>,
    route: SmolStr,
    began: Instant,
}

impl Trace {
    /// Returns the call's id as text; empty when it has none.
    fn id(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}

/// Attempts of one call.
struct Attempts<'a> {
    worker: &'a Worker,
    service: &'a ServiceView,
    name: SmolStr,
    is_idempotent: bool,
    /// Most targets that the call is sent to.
    most: usize,
    tried: Vec<TargetKey>,
    /// Targets that the call has reached.
    sent: usize,
    /// Nodes that have refused the call.
    refusals: usize,
}

impl Attempts<'_> {
    /// Sends the call to one target after another, as far as that can't run it twice.
    async fn run(mut self, call: Call) -> Result<Answer, Refusal> {
        let version = self.draw_version().cloned();
        let trace = Trace { id: call.id.clone(), route: call.route.clone(), began: Instant::now() };
        let mut last: Result<Answer, Refusal> = Err(ResultCode::NoTarget.into());
        let mut next = Some(call);
        while let Some(call) = next.take() {
            let wanted = SelectionContext {
                zone: &self.worker.shared.zone,
                version: version.as_ref(),
                tried: &self.tried,
                held_back: &self.service.held_back,
                estimate: self.shape(&call),
            };
            let (now, candidates) = (monotonic_ms(), &self.service.candidates);
            let chosen = select_target(candidates, wanted, now, &mut rand::rng());
            let Some(candidate) = chosen else { break };
            self.tried.push(candidate.key.clone());
            let copy = call.copy();
            let route = call.route.clone();
            let outcome = attempt(self.worker, candidate, call).await;
            self.learn(candidate, &route, &outcome);
            match self.judge(outcome.result) {
                Next::Settled(result) => {
                    if let Err(refusal) = &result {
                        self.log_end(&trace, *refusal);
                    }
                    return result;
                }
                Next::Again(result) => {
                    self.log_repeat(&trace, &candidate.key, &result);
                    last = worse(last, result);
                    next = copy.filter(|copy| !copy.time_left().is_zero());
                }
            }
        }
        if let Err(refusal) = &last {
            self.log_end(&trace, *refusal);
        }
        last
    }

    /// Logs that the call has no answer of a target.
    fn log_end(&self, trace: &Trace, refusal: Refusal) {
        let event = match refusal.code.run() {
            RunState::NotRun => Event::CallRefused,
            RunState::Unknown | RunState::Ran => Event::CallFailed,
        };
        let tried = self.tried.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        let shared = &self.worker.shared;
        shared.log_call(
            event,
            &shared.call_lines,
            &[
                ("call", &trace.id()),
                ("route", &trace.route),
                ("service", &self.name),
                ("code", &refusal.code),
                ("run", &refusal.code.run().as_str()),
                ("tried", &tried),
                ("candidates", &self.service.candidates.len()),
                ("room_ms", &refusal.room.map_or(0, |room| room.as_millis())),
                ("took_ms", &trace.began.elapsed().as_millis()),
            ],
        );
    }

    /// Logs that the call goes to another target after what became of it at one.
    fn log_repeat(&self, trace: &Trace, target: &TargetKey, result: &Result<Answer, Refusal>) {
        let outcome = match result {
            Ok(answer) => format!("status {}", answer.status.as_u16()),
            Err(refusal) => refusal.code.to_string(),
        };
        let code = result.as_ref().err().map_or(0, |refusal| refusal.code.number());
        metrics::REPEATS.with_label_values(&[code.to_string()]).inc();
        let shared = &self.worker.shared;
        shared.log_call(
            Event::CallRepeated,
            &shared.call_lines,
            &[
                ("call", &trace.id()),
                ("route", &trace.route),
                ("target", target),
                ("outcome", &outcome),
                ("idempotent", &self.is_idempotent),
                ("took_ms", &trace.began.elapsed().as_millis()),
            ],
        );
    }

    /// Returns what is known of the call before it is sent.
    fn shape(&self, call: &Call) -> CallEstimate {
        let left = call.objective.saturating_duration_since(Instant::now());
        match self.worker.shared.evidence().usual(&call.route) {
            Some(usual) => {
                let left = left.as_secs_f64().max(f64::MIN_POSITIVE);
                CallEstimate { latency_fraction: (usual.as_secs_f64() / left).min(MAX_PART) }
            }
            None => CallEstimate::default(),
        }
    }

    /// Draws the target version of the call.
    fn draw_version(&self) -> Option<&SmolStr> {
        match &self.service.serving {
            ServingVersions::Split { from, to, .. }
                if self.worker.shared.evidence().is_tripped(&self.name, to) =>
            {
                Some(from)
            }
            serving => serving.draw(&mut rand::rng()),
        }
    }

    /// Decides whether the call may go to another target.
    fn judge(&mut self, result: Result<Answer, Refusal>) -> Next {
        let code = match &result {
            Ok(answer) if answer.status.is_server_error() && self.is_idempotent => {
                return self.repeat(result, RetryReason::Failed);
            }
            Ok(_) => return Next::Settled(result),
            Err(refusal) => refusal.code,
        };
        let attempt = Attempt { run: code.run(), idempotent: self.is_idempotent };
        match code {
            ResultCode::DeadlineAfter => Next::Settled(result),
            _ if !may_retry(attempt) => Next::Settled(result),
            ResultCode::TargetShed | ResultCode::TargetReplaced => {
                self.repeat(result, RetryReason::NotRun)
            }
            _ if attempt.run == RunState::Unknown => self.repeat(result, RetryReason::Failed),
            _ => self.try_elsewhere(result),
        }
    }

    /// Allows another attempt after a node refused the call before its target saw it.
    fn try_elsewhere(&mut self, result: Result<Answer, Refusal>) -> Next {
        self.refusals += 1;
        match self.refusals < MAX_REFUSALS {
            true => Next::Again(result),
            false => Next::Settled(result),
        }
    }

    /// Allows another attempt after the call has reached a target, if the route and the budget of all nodes do.
    fn repeat(&mut self, result: Result<Answer, Refusal>, reason: RetryReason) -> Next {
        self.sent += 1;
        if self.sent >= self.most {
            return Next::Settled(result);
        }
        let nodes = self.worker.shared.nodes.load(Ordering::Relaxed);
        match self.worker.shared.budget().try_spend(&self.name, nodes, reason, monotonic_ms()) {
            true => Next::Again(result),
            false => Next::Settled(result),
        }
    }

    /// Learns from what became of an attempt.
    fn learn(&self, candidate: &Candidate, route: &SmolStr, outcome: &Outcome) {
        let now = monotonic_ms();
        if let Some(load) = outcome.load {
            candidate.record_load(load, now);
        }
        let failed = match &outcome.result {
            Ok(answer) => answer.status.is_server_error(),
            Err(refusal) => match refusal.code {
                ResultCode::TargetShed | ResultCode::AnswerLost | ResultCode::AnswerDamaged => true,
                ResultCode::DeadlineAfter => true,
                _ => {
                    candidate.record_refusal(now);
                    return;
                }
            },
        };
        candidate.record_outcome(failed, now);
        if outcome.result.is_ok() {
            candidate.record_answer();
        }
        let mut evidence = self.worker.shared.evidence();
        let service = outcome.service.unwrap_or_default();
        if !failed && let Some(service) = outcome.service {
            candidate.record_latency(evidence.time(route, service));
        }
        // A lost answer speaks of the target, not of its version.
        if let (ServingVersions::Split { to, .. }, Ok(_)) = (&self.service.serving, &outcome.result)
        {
            evidence.count(&candidate.key, to, route, failed, service);
        }
    }
}

/// Returns the outcome that a caller must be told: "unknown" must not turn into "not run".
fn worse(before: Result<Answer, Refusal>, now: Result<Answer, Refusal>) -> Result<Answer, Refusal> {
    match (&before, &now) {
        (Ok(_), Err(_)) => before,
        (Err(held), Err(new))
            if held.code.run() == RunState::Unknown && new.code.run() == RunState::NotRun =>
        {
            before
        }
        _ => now,
    }
}

/// Sends the call to one target, here or beside another node.
async fn attempt(worker: &Worker, candidate: &Candidate, mut call: Call) -> Outcome {
    let load = Load::begin(candidate);
    if candidate.key.node == worker.shared.name.as_str() {
        let outcome = hand_over(worker, &candidate.key, &candidate.instance, call).await;
        drop(load);
        return outcome;
    }
    let Ok(peer) = candidate.peer.parse::<SocketAddr>() else {
        return Refusal::from(ResultCode::TargetRefused).into();
    };
    Envelope::of(&call, &candidate.key, &candidate.instance).write(&mut call.headers);
    let answer = forward::send(&worker.pool, peer, call, true).await;
    drop(load);
    match answer {
        Ok(answer) => unwrap_answer(answer),
        Err(code) => {
            if code == ResultCode::TargetRefused {
                worker.pool.forget(peer);
            }
            Refusal::from(code).into()
        }
    }
}

/// Counts a call as load of a target until dropped.
struct Load<'a>(&'a Candidate);

impl<'a> Load<'a> {
    fn begin(candidate: &'a Candidate) -> Self {
        candidate.call_started();
        Self(candidate)
    }
}

impl Drop for Load<'_> {
    fn drop(&mut self) {
        self.0.call_ended();
    }
}

/// Takes apart what another node answered; its own refusals become codes again.
fn unwrap_answer(mut answer: Answer) -> Outcome {
    let told = take_load(&mut answer.headers);
    let (load, service) = (told.map(|(load, _)| load), told.and_then(|(_, service)| service));
    let result = match answer.headers.get(CODE) {
        None => Ok(answer),
        Some(value) => {
            let number = value.to_str().ok().and_then(|text| text.parse::<u16>().ok());
            let code = number.and_then(ResultCode::from_number).unwrap_or(ResultCode::AnswerLost);
            let room = headers::text(&answer.headers, Some(&ROOM));
            let room = room.and_then(|text| text.parse().ok()).map(Duration::from_millis);
            Err(Refusal { code, room })
        }
    };
    Outcome { result, load, service }
}
