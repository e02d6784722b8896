//! Serves calls from callers: chooses a target for each call and returns the target's response.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::header::{CONNECTION, HOST, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use hyper::body::Incoming;
use kingcuplift_config::Semantics;
use kingcuplift_core::{ByteSize, CallFingerprint, Event, ResultCode, RunState};
use kingcuplift_traffic::{
    AdmissionPolicy, AttemptResults, CallEstimate, Candidate, RetryReason, RetryRule, RouteMatch,
    RoutingView, SelectionContext, ServiceView, ServingVersions, Suspicion, TargetKey, retry_rule,
    select_by_reports, select_target,
};
use smol_str::SmolStr;

use crate::clock::monotonic_ms;
use crate::error::StartError;
use crate::metrics;
use crate::node::body::{Body, BodyEnd};
use crate::node::bulk_link::{BulkCall, LinkTransfer};
use crate::node::call::{self, AttemptOutcome, Call, CallError, TargetResponse};
use crate::node::envelope::{Envelope, take_load};
use crate::node::forward::{self, Destination};
use crate::node::headers::{self, CAPACITY_WAIT, CODE, ENVELOPE, LOAD, LOADS, strip_hop_by_hop};
use crate::node::load_exchange;
use crate::node::peers::{call_local_target, path_of};
use crate::node::respond::{max_retry_after, respond_within};
use crate::node::server::{Worker, serve_calls};
use crate::node::shared::{DRAINING, NodeShared};
use crate::node::unwritten::CallDeadline;

/// Upper bound of a call's expected latency, as a fraction of the time left until its objective.
const MAX_LATENCY_FRACTION: f64 = 2.0;
/// Maximum number of calls in progress on a node; each takes some tens of KiB, with its connections.
const MAX_IN_FLIGHT: usize = 600;
/// Maximum number of nodes that may refuse a call before the caller gets the refusal.
const MAX_REFUSALS: usize = 3;

/// Size that is assumed for a response on a bulk route of which none was seen.
const UNKNOWN_BULK_SIZE: ByteSize = ByteSize::kib(64);

/// Starts the server for callers.
pub(crate) fn serve_callers(
    address: SocketAddr,
    threads: usize,
    shared: &Arc<NodeShared>,
) -> Result<(), StartError> {
    serve_calls(address, threads, shared, handle)
}

/// What is known of a call that is being served.
#[derive(Debug, Default)]
struct CallProgress {
    /// Whether the call may have been sent to a target or its node.
    is_sent: Cell<bool>,
    deadline: Cell<Option<Instant>>,
}

async fn handle(worker: Worker, request: Request<Incoming>) -> Response<Body> {
    let started_at = Instant::now();
    let guard = worker.shared.begin_call();
    let progress = CallProgress::default();
    let result = tokio::select! {
        biased;
        result = process(&worker, request, started_at, &progress) => result,
        () = worker.shared.stopping() => Err(error_at_stop(progress.is_sent.get())),
    };
    let result = result.map(|response| response.with_guard(guard));
    let code = result.as_ref().err().map_or(0, |error| error.code.number());
    metrics::CALLS.with_label_values(&[code.to_string()]).inc();
    metrics::CALL_TIME.observe(started_at.elapsed().as_secs_f64());
    let max_wait = max_retry_after(worker.shared.admission_policy());
    let mut response = respond_within(result, max_wait);
    let headers = response.headers_mut();
    for name in [LOAD, LOADS, CAPACITY_WAIT] {
        headers.remove(name);
    }
    if worker.shared.is_draining() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(deadline) = progress.deadline.get() {
        response.extensions_mut().insert(CallDeadline(deadline));
    }
    response
}

/// Returns the error of a call that is in progress when the process ends.
fn error_at_stop(is_sent: bool) -> CallError {
    match is_sent {
        true => ResultCode::DeadlineAfter.into(),
        false => DRAINING,
    }
}

/// Serves a call and records its progress.
async fn process(
    worker: &Worker,
    request: Request<Incoming>,
    started_at: Instant,
    progress: &CallProgress,
) -> Result<TargetResponse, CallError> {
    worker.shared.check_open()?;
    if worker.shared.in_flight() > MAX_IN_FLIGHT {
        return Err(ResultCode::Overloaded.into());
    }
    let (parts, incoming) = request.into_parts();
    let view = wait_for_view(&worker.shared, &parts).await?;
    let route = find_route(&parts, &view)?;
    let time = call_time(&worker.shared, &parts, route)?;
    progress.deadline.set(Some(started_at + time));
    worker.shared.limit_to_shutdown(time, route.objective)?;
    let body = Body::read(incoming, view.limits().max_body_size.get());
    let body = tokio::time::timeout_at((started_at + time).into(), body).await;
    let body = body.map_err(|_elapsed| ResultCode::DeadlineBefore)?.map_err(ResultCode::from)?;
    let rank = view.router().rank(route);
    let call = Call { rank, ..make_call(&worker.shared, parts, body, route, started_at, time) };
    let name = route.draw_service(&mut rand::rng());
    let service = view.service(name.as_str()).ok_or(ResultCode::NoTarget)?;
    let (transfer, deadline) = (admit_download(&worker.shared, &call)?, call.deadline);
    let is_idempotent = match route.semantics {
        Some(semantics) => semantics.is_idempotent(),
        None => service.spec.idempotent_methods.iter().any(|method| method == call.method.as_str()),
    };
    let service_name = SmolStr::new(name.as_str());
    worker.shared.retry_budget().record_call(&service_name, monotonic_ms());
    let attempts = Attempts {
        worker,
        service,
        service_name,
        is_idempotent,
        is_bulk: route.semantics.is_some_and(Semantics::is_bulk),
        is_sent: &progress.is_sent,
        objective: route.objective,
        attempt_limit: route.attempts,
        tried: Vec::new(),
        targets_reached: 0,
        refusals: 0,
    };
    let result = attempts.run(call).await;
    match transfer {
        Some(transfer) => result.map(|response| response.paced(transfer, deadline)),
        None => result,
    }
}

/// Admits the response to a download to this node's link.
fn admit_download(shared: &NodeShared, call: &Call) -> Result<Option<LinkTransfer>, CallError> {
    if call.semantics != Some(Semantics::Download) {
        return Ok(None);
    }
    let size = shared.route_sizes().expected(&call.route);
    let service_time = shared.evidence().average_time(&call.route).unwrap_or_default();
    let bulk = BulkCall {
        route: &call.route,
        size,
        service_time,
        objective: call.objective,
        deadline: call.deadline,
        is_patient: false,
    };
    Ok(Some(shared.link.admit(&bulk)?))
}

/// Admits the body of an upload to this node's link, if the call goes to another node.
fn admit_upload(
    shared: &NodeShared,
    candidate: &Candidate,
    call: &Call,
) -> Result<Option<LinkTransfer>, CallError> {
    let is_local = candidate.key.node == shared.name.as_str();
    if call.semantics != Some(Semantics::Upload) || is_local {
        return Ok(None);
    }
    let service_time = shared.evidence().average_time(&call.route).unwrap_or_default();
    let bulk = BulkCall {
        route: &call.route,
        size: call.body.length(),
        service_time: Duration::ZERO,
        // The target must have the body early enough to respond by the objective.
        objective: call.objective.checked_sub(service_time).unwrap_or(call.objective),
        deadline: call.deadline,
        is_patient: call.is_patient,
    };
    Ok(Some(shared.link.admit(&bulk)?))
}

/// Returns the routing state, after waiting for it and for targets of the call's route if the node has just started.
async fn wait_for_view(shared: &NodeShared, parts: &Parts) -> Result<Arc<RoutingView>, ResultCode> {
    let arrived_ms = monotonic_ms();
    let mut changes = shared.view_changes();
    loop {
        changes.mark_unchanged();
        let view = shared.view.load_full();
        if view.as_ref().is_some_and(|view| is_routable(parts, view)) {
            return view.ok_or(ResultCode::NodeNotReady);
        }
        let time = stated_time(shared, parts)?;
        let wait = shared.startup.wait_left(arrived_ms, time, monotonic_ms());
        let has_changed = match wait {
            Duration::ZERO => false,
            wait => tokio::time::timeout(wait, changes.changed()).await.is_ok(),
        };
        if !has_changed {
            return view.ok_or(ResultCode::NodeNotReady);
        }
    }
}

/// Returns whether a call has targets, or will be refused whatever targets there are.
fn is_routable(parts: &Parts, view: &RoutingView) -> bool {
    let Ok(route) = find_route(parts, view) else { return true };
    let mut parts = route.parts.iter().filter(|part| part.weight > 0.0);
    parts.all(|part| {
        view.service(part.service.as_str()).is_none_or(|service| !service.candidates.is_empty())
    })
}

fn find_route<'a>(parts: &Parts, view: &'a RoutingView) -> Result<&'a RouteMatch, ResultCode> {
    let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.ok_or(ResultCode::CallMalformed)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
    view.router().find(&name, parts.uri.path()).ok_or(ResultCode::RouteNotFound)
}

/// Returns the timeout of a call: the smaller of the route's timeout and the time left that the caller states.
fn call_time(
    shared: &NodeShared,
    parts: &Parts,
    route: &RouteMatch,
) -> Result<Duration, ResultCode> {
    Ok(stated_time(shared, parts)?.map_or(route.timeout, |left| route.timeout.min(left)))
}

/// Returns the time left that the caller states, if any.
fn stated_time(shared: &NodeShared, parts: &Parts) -> Result<Option<Duration>, ResultCode> {
    let Some(text) = headers::text(&parts.headers, shared.headers.time_left.as_ref()) else {
        return Ok(None);
    };
    let millis: f64 = text.trim().parse().map_err(|_invalid| ResultCode::CallMalformed)?;
    let left = Duration::try_from_secs_f64(millis / 1_000.0);
    left.map(Some).map_err(|_invalid| ResultCode::CallMalformed)
}

fn make_call(
    shared: &NodeShared,
    parts: Parts,
    body: Body,
    route: &RouteMatch,
    started_at: Instant,
    time: Duration,
) -> Call {
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    for name in [CODE, ENVELOPE, LOADS] {
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
    let path = path_of(&parts.uri);
    Call {
        fingerprint: call::fingerprint(&parts.method, &path, &headers, &body, names),
        method: parts.method,
        path,
        headers,
        body,
        deadline: started_at + time,
        objective: started_at + route.objective.min(time),
        route: route.name.clone(),
        rank: route.rank,
        is_patient: false,
        semantics: route.semantics,
        enters_here: true,
        id,
    }
}

/// What follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disposition {
    /// The caller gets the result of the attempts so far.
    Final,
    /// The call may be sent to another target.
    Retry,
}

/// Details of a call for log lines.
struct CallLogContext {
    id: Option<HeaderValue>,
    fingerprint: CallFingerprint,
    route: SmolStr,
    started_at: Instant,
}

impl CallLogContext {
    /// Returns the call's id as text; empty if it has none.
    fn id(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}

/// Attempts of one call.
struct Attempts<'a> {
    worker: &'a Worker,
    service: &'a ServiceView,
    service_name: SmolStr,
    is_idempotent: bool,
    /// Whether the calls of the route transfer much data.
    is_bulk: bool,
    /// Set before the first attempt.
    is_sent: &'a Cell<bool>,
    /// Time from the call's arrival to its latency objective.
    objective: Duration,
    /// Maximum number of targets that the call is sent to.
    attempt_limit: usize,
    tried: Vec<TargetKey>,
    /// Number of targets that the call has reached.
    targets_reached: usize,
    /// Number of nodes that have refused the call.
    refusals: usize,
}

impl<'a> Attempts<'a> {
    /// Sends the call to one target after another until a result is final.
    ///
    /// A call that is not idempotent is never run twice.
    async fn run(mut self, call: Call) -> Result<TargetResponse, CallError> {
        let version = self.draw_version().cloned();
        let context = CallLogContext {
            id: call.id.clone(),
            fingerprint: call.fingerprint,
            route: call.route.clone(),
            started_at: Instant::now(),
        };
        let mut results = AttemptResults::default();
        let mut next = Some(call);
        while let Some(mut call) = next.take() {
            let is_last_target = self.tried.len() + 1 >= self.service.candidates.len();
            call.is_patient = is_last_target || self.refusals + 1 >= MAX_REFUSALS;
            let selection = SelectionContext {
                node: self.worker.shared.name.as_str(),
                zone: &self.worker.shared.zone,
                version: version.as_ref(),
                tried: &self.tried,
                held_back: &self.service.held_back,
                estimate: self.estimate(&call),
            };
            let (now, candidates) = (monotonic_ms(), &self.service.candidates);
            let chosen = match self.worker.shared.shares_load() {
                true => self.select_by_reports(selection, now),
                false => select_target(candidates, selection, now, &mut rand::rng()),
            };
            let Some(candidate) = chosen else { break };
            if let Err(error) = self.worker.shared.check_quarantine(call.fingerprint) {
                results.add(Err(error), |error| error.code.run());
                break;
            }
            match self.worker.shared.limit_to_shutdown(call.time_left(), self.objective) {
                Ok(time) => call.deadline = call.deadline.min(Instant::now() + time),
                Err(error) => {
                    results.add(Err(error), |error| error.code.run());
                    break;
                }
            }
            let transfer = match admit_upload(&self.worker.shared, candidate, &call) {
                Ok(transfer) => transfer,
                Err(error) => {
                    results.add(Err(error), |error| error.code.run());
                    break;
                }
            };
            self.is_sent.set(true);
            self.tried.push(candidate.key.clone());
            let copy = call.try_clone();
            let (route, semantics) = (call.route.clone(), call.semantics);
            let sent_at = Instant::now();
            let mut outcome = attempt(self.worker, candidate, call, transfer).await;
            self.record_attempt(candidate, &route, semantics, &outcome, sent_at);
            let (shared, fingerprint) = (Arc::clone(&self.worker.shared), context.fingerprint);
            outcome.result = outcome.result.map(|response| {
                response.on_end(move |end| {
                    if end == BodyEnd::Complete {
                        shared.quarantine().record_answer(fingerprint, monotonic_ms());
                    }
                })
            });
            let disposition = self.decide(&outcome.result, context.fingerprint);
            if disposition == Disposition::Retry {
                self.log_retry(&context, &candidate.key, &outcome.result);
                next = copy.filter(|copy| !copy.time_left().is_zero());
            }
            results.add(outcome.result, |error| error.code.run());
        }
        let result = results.merged().unwrap_or_else(|| Err(ResultCode::NoTarget.into()));
        if let Err(error) = &result {
            self.log_failure(&context, *error);
        }
        result
    }

    /// Logs that the call has no response from a target.
    fn log_failure(&self, context: &CallLogContext, error: CallError) {
        let event = match error.code.run() {
            RunState::NotRun => Event::CallRefused,
            RunState::Unknown | RunState::Ran => Event::CallFailed,
        };
        let tried = self.tried.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        let shared = &self.worker.shared;
        shared.log_call(
            event,
            &shared.call_log_limiter,
            &[
                ("call", &context.id()),
                ("request", &context.fingerprint),
                ("route", &context.route),
                ("service", &self.service_name),
                ("code", &error.code),
                ("run", &error.code.run().as_str()),
                ("tried", &tried),
                ("candidates", &self.service.candidates.len()),
                ("room_ms", &error.retry_after.map_or(0, |time| time.as_millis())),
                ("took_ms", &context.started_at.elapsed().as_millis()),
            ],
        );
    }

    /// Logs and counts that the call may be retried at another target.
    fn log_retry(
        &self,
        context: &CallLogContext,
        target: &TargetKey,
        result: &Result<TargetResponse, CallError>,
    ) {
        let outcome = match result {
            Ok(response) => format!("status {}", response.status.as_u16()),
            Err(error) => error.code.to_string(),
        };
        let code = result.as_ref().err().map_or(0, |error| error.code.number());
        metrics::RETRIES.with_label_values(&[code.to_string()]).inc();
        let shared = &self.worker.shared;
        shared.log_call(
            Event::CallRepeated,
            &shared.call_log_limiter,
            &[
                ("call", &context.id()),
                ("request", &context.fingerprint),
                ("route", &context.route),
                ("target", target),
                ("outcome", &outcome),
                ("idempotent", &self.is_idempotent),
                ("took_ms", &context.started_at.elapsed().as_millis()),
            ],
        );
    }

    /// Selects a target by the load reports that nodes share, or by own observations if there are none.
    fn select_by_reports(
        &self,
        selection: SelectionContext<'_>,
        now_ms: u64,
    ) -> Option<&'a Arc<Candidate>> {
        let candidates = &self.service.candidates;
        load_exchange::record_own(&self.worker.shared, candidates, &self.service_name);
        let mut rng = rand::rng();
        let Some(choice) = select_by_reports(candidates, selection, now_ms, &mut rng) else {
            return select_target(candidates, selection, now_ms, &mut rng);
        };
        if let Some(age) = choice.report_age {
            metrics::LOAD_REPORT_AGE.observe(age.as_secs_f64());
        }
        metrics::LOAD_SPREAD.set(choice.spread);
        choice.target.record_start(now_ms);
        Some(choice.target)
    }

    /// Estimates the latency of the call as a fraction of the time left until its objective.
    fn estimate(&self, call: &Call) -> CallEstimate {
        let left = call.objective.saturating_duration_since(Instant::now());
        let shared = &self.worker.shared;
        let response_size = shared.route_sizes().expected(&call.route);
        let response_size = response_size.or(self.is_bulk.then_some(UNKNOWN_BULK_SIZE));
        let bytes = response_size.max(call.body.length());
        match shared.evidence().average_time(&call.route) {
            Some(average) => {
                let left = left.as_secs_f64().max(f64::MIN_POSITIVE);
                CallEstimate {
                    latency_fraction: (average.as_secs_f64() / left).min(MAX_LATENCY_FRACTION),
                    service_time: average,
                    bytes,
                }
            }
            None => CallEstimate { bytes, ..CallEstimate::default() },
        }
    }

    /// Chooses the target version of the call; during a move, the old one if too many calls to the new one failed.
    fn draw_version(&self) -> Option<&SmolStr> {
        match &self.service.serving {
            ServingVersions::Split { from, to, .. }
                if self.worker.shared.evidence().is_tripped(&self.service_name, to) =>
            {
                Some(from)
            }
            serving => serving.draw(&mut rand::rng()),
        }
    }

    /// Decides whether the call may be retried at another target.
    fn decide(
        &mut self,
        result: &Result<TargetResponse, CallError>,
        request: CallFingerprint,
    ) -> Disposition {
        let code = match result {
            Ok(response) if response.status.is_server_error() && self.is_idempotent => {
                return self.retry_within_budget(RetryReason::Failed);
            }
            Ok(_) => return Disposition::Final,
            Err(error) => error.code,
        };
        let suspicion = self.worker.shared.quarantine().suspicion(request, monotonic_ms());
        if code == ResultCode::AnswerLost && suspicion != Suspicion::None {
            return Disposition::Final;
        }
        match retry_rule(code, self.is_idempotent) {
            RetryRule::Never => Disposition::Final,
            RetryRule::Free => self.retry_after_refusal(),
            RetryRule::Charged(reason) => self.retry_within_budget(reason),
        }
    }

    /// Permits another attempt after a node refused the call, up to [`MAX_REFUSALS`]; no target was reached.
    fn retry_after_refusal(&mut self) -> Disposition {
        self.refusals += 1;
        match self.refusals < MAX_REFUSALS {
            true => Disposition::Retry,
            false => Disposition::Final,
        }
    }

    /// Permits another attempt after the call reached a target, within the route's limit and the retry budget.
    fn retry_within_budget(&mut self, reason: RetryReason) -> Disposition {
        self.targets_reached += 1;
        if self.targets_reached >= self.attempt_limit {
            return Disposition::Final;
        }
        let node_count = self.worker.shared.node_count.load(Ordering::Relaxed);
        match self.worker.shared.retry_budget().try_spend(
            &self.service_name,
            node_count,
            reason,
            monotonic_ms(),
        ) {
            true => Disposition::Retry,
            false => Disposition::Final,
        }
    }

    /// Updates the statistics of the target, the route and the move with the outcome of an attempt.
    fn record_attempt(
        &self,
        candidate: &Candidate,
        route: &SmolStr,
        semantics: Option<Semantics>,
        outcome: &AttemptOutcome,
        sent_at: Instant,
    ) {
        let now = monotonic_ms();
        if let Some(load) = outcome.load {
            candidate.record_load(load, now);
        }
        let is_in_time = self.worker.shared.admission_policy() == AdmissionPolicy::InTime;
        let failed = match &outcome.result {
            Ok(response) => response.status.is_server_error(),
            Err(error) => match error.code {
                ResultCode::TargetShed | ResultCode::AnswerLost | ResultCode::AnswerDamaged => true,
                ResultCode::DeadlineAfter => true,
                ResultCode::TargetUnknown => {
                    candidate.record_unknown(now);
                    return;
                }
                // The target's link may be busy; small calls to the target are served as before.
                ResultCode::Overloaded if semantics == Some(Semantics::Download) => return,
                // Under this policy a refusal says that the queue is full for some tens of milliseconds; the load in it
                // is enough to avoid the target, and a back-off would leave slots idle.
                ResultCode::Overloaded if outcome.load.is_some() && is_in_time => return,
                _ => {
                    candidate.record_refusal(now);
                    return;
                }
            },
        };
        candidate.record_outcome(failed, now);
        if let Ok(response) = &outcome.result {
            candidate.record_answer();
            if let Some(size) = response.body.length().filter(|_| !failed) {
                self.worker.shared.route_sizes().record(route, size);
            }
        }
        let mut evidence = self.worker.shared.evidence();
        if let Some(usual) = evidence.average_time(route).filter(|_| outcome.result.is_ok()) {
            let usual = usual.as_secs_f32().max(f32::MIN_POSITIVE);
            candidate.record_response(sent_at.elapsed().as_secs_f32() / usual, now);
        }
        let service_time = outcome.service_time.unwrap_or_default();
        if !failed && let Some(service_time) = outcome.service_time {
            candidate.record_latency(evidence.record_time(route, service_time));
        }
        let ServingVersions::Split { to, .. } = &self.service.serving else { return };
        match &outcome.result {
            Ok(_) => evidence.count(&candidate.key, to, route, failed, service_time),
            // The node beside the target reports calls without an answer; only it knows whether the target ran them.
            Err(error) if error.code == ResultCode::DeadlineAfter => {
                evidence.count_for_trip(&candidate.key, to, route, failed);
            }
            // A lost response is more likely the target's fault than its version's.
            Err(_) => {}
        }
    }
}

/// Sends the call to one target, directly if it is local, else through its node.
async fn attempt(
    worker: &Worker,
    candidate: &Candidate,
    mut call: Call,
    transfer: Option<LinkTransfer>,
) -> AttemptOutcome {
    let guard = LoadGuard::begin(candidate);
    if candidate.key.node == worker.shared.name.as_str() {
        let outcome = call_local_target(worker, &candidate.key, &candidate.instance, call).await;
        drop(guard);
        return outcome;
    }
    let Ok(peer) = candidate.peer.parse::<SocketAddr>() else {
        return CallError::from(ResultCode::TargetRefused).into();
    };
    Envelope::of(&call, &candidate.key, &candidate.instance).write(&mut call.headers);
    if let Some(transfer) = transfer {
        call.body = call.body.paced(transfer, call.deadline);
    }
    let service = candidate.key.service.as_str();
    if worker.shared.shares_load() {
        load_exchange::write(&worker.shared, &mut call.headers, service, Some(candidate.id));
    }
    let started_at = Instant::now();
    let to = Destination::Node(&worker.shared.link);
    let response = forward::send(&worker.pool, peer, call, true, to).await;
    drop(guard);
    match response {
        Ok(mut response) => {
            let loads = response.headers.remove(LOADS);
            let outcome = decode_peer_response(response);
            if let Some(loads) = loads {
                let transit = load_exchange::transit(started_at.elapsed(), outcome.service_time);
                load_exchange::record(&worker.shared, &loads, service, transit);
            }
            outcome
        }
        Err(code) => {
            if code == ResultCode::TargetRefused {
                worker.pool.close_idle(peer);
            }
            CallError::from(code).into()
        }
    }
}

/// Counts a call as load of a target until dropped.
struct LoadGuard<'a>(&'a Candidate);

impl<'a> LoadGuard<'a> {
    fn begin(candidate: &'a Candidate) -> Self {
        candidate.call_started();
        Self(candidate)
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.0.call_ended();
    }
}

/// Separates a peer's response into the target's response or the peer's result code, and the target's load.
fn decode_peer_response(mut response: TargetResponse) -> AttemptOutcome {
    let stated = take_load(&mut response.headers);
    let (load, service_time) = (stated.map(|(load, _)| load), stated.and_then(|(_, time)| time));
    let result = match response.headers.get(CODE) {
        None => Ok(response),
        Some(value) => {
            let number = value.to_str().ok().and_then(|text| text.parse::<u16>().ok());
            let code = number.and_then(ResultCode::from_number).unwrap_or(ResultCode::AnswerLost);
            let retry_after = headers::text(&response.headers, Some(&CAPACITY_WAIT));
            let retry_after =
                retry_after.and_then(|text| text.parse().ok()).map(Duration::from_millis);
            Err(CallError { code, retry_after })
        }
    };
    AttemptOutcome { result, load, service_time }
}
