//! Serves calls from other nodes to the local targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use kingcuplift_config::Semantics;
use kingcuplift_core::{ByteSize, CallFingerprint, Event, ResultCode, RunState};
use kingcuplift_traffic::{CallOutcome, LoadReport, TargetKey};
use smol_str::SmolStr;

use crate::clock::{monotonic_ms, monotonic_us};
use crate::error::StartError;
use crate::metrics;
use crate::node::body::{Body, BodyEnd};
use crate::node::bulk_link::{BulkCall, LinkTransfer};
use crate::node::call::{self, AttemptOutcome, Call, CallError, TargetResponse};
use crate::node::control::QUEUE_GRACE;
use crate::node::envelope::{Envelope, write_load};
use crate::node::forward::{self, Destination};
use crate::node::headers::{self, CODE, LOADS, TargetNotice, strip_hop_by_hop};
use crate::node::load_exchange;
use crate::node::respond::{error_response, respond};
use crate::node::running_call::RunningCall;
use crate::node::server::{Worker, serve_calls};
use crate::node::shared::{LocalTarget, NodeShared};
use crate::node::target_change::{TargetChange, TargetChanged};
use crate::node::unwritten::CallDeadline;

/// Maximum body size of a call between nodes; the node that a caller is connected to applies the configured limit.
const MAX_CALL_BODY: ByteSize = ByteSize::mib(1_024);
/// Time after a lost answer until the target's connections are checked; those that ended with it are closed by then.
const CHECK_DELAY: Duration = Duration::from_millis(10);
/// Statuses by which a target signals overload.
const OVERLOAD_STATUSES: [StatusCode; 2] =
    [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// Starts the server for other nodes.
pub(crate) fn serve_peers(
    address: SocketAddr,
    threads: usize,
    shared: &Arc<NodeShared>,
) -> Result<(), StartError> {
    serve_calls(address, threads, shared, handle)
}

async fn handle(worker: Worker, request: Request<Incoming>) -> Response<Body> {
    let started_at = Instant::now();
    let (parts, incoming) = request.into_parts();
    let mut headers = parts.headers;
    let Some(envelope) = Envelope::take(&mut headers) else {
        return error_response(ResultCode::CallMalformed.into());
    };
    let body = match Body::read(incoming, MAX_CALL_BODY.get()).await {
        Ok(body) => body,
        Err(error) => return error_response(ResultCode::from(error).into()),
    };
    strip_hop_by_hop(&mut headers);
    // Nodes of earlier releases would pass the reports in a response on to their callers.
    let reports = headers.remove(LOADS);
    let sender = reports.as_ref().and_then(|reports| {
        load_exchange::record(&worker.shared, reports, &envelope.service, Duration::ZERO)
    });
    let id = worker.shared.headers.call.as_ref().and_then(|name| headers.get(name).cloned());
    let path = path_of(&parts.uri);
    let names = &worker.shared.headers;
    let fingerprint = call::fingerprint(&parts.method, &path, &headers, &body, names);
    let key = TargetKey {
        service: envelope.service,
        version: envelope.version,
        node: SmolStr::new(worker.shared.name.as_str()),
    };
    let call = Call {
        method: parts.method,
        path,
        headers,
        body,
        deadline: started_at + envelope.time_left,
        objective: started_at + envelope.objective,
        route: envelope.route,
        rank: envelope.rank,
        is_patient: envelope.is_patient,
        semantics: envelope.semantics,
        enters_here: false,
        id,
        fingerprint,
    };
    let deadline = CallDeadline(call.deadline);
    let outcome = call_local_target(&worker, &key, &envelope.instance, call).await;
    let (load, service_time) = (outcome.load, outcome.service_time);
    let mut response = respond(outcome.result);
    response.extensions_mut().insert(deadline);
    if let Some(load) = load {
        write_load(response.headers_mut(), load, service_time);
    }
    if reports.is_some() && worker.shared.shares_load() {
        load_exchange::write(&worker.shared, response.headers_mut(), &key.service, sender);
    }
    response
}

/// Admits a call to a local target and sends it there.
pub(crate) async fn call_local_target(
    worker: &Worker,
    key: &TargetKey,
    instance: &SmolStr,
    call: Call,
) -> AttemptOutcome {
    let guard = worker.shared.begin_call();
    let local = worker.shared.local_targets.load().get(key).cloned();
    let outcome = match local {
        None => CallError::from(ResultCode::TargetUnknown).into(),
        Some(local) if !instance.is_empty() && local.instance != *instance => {
            CallError::from(ResultCode::TargetUnknown).into()
        }
        Some(local) => admit(worker, key, &local, call).await,
    };
    let code = outcome.result.as_ref().err().map_or(0, |error| error.code.number());
    metrics::TARGET_CALLS.with_label_values(&[code.to_string()]).inc();
    let result = outcome.result.map(|response| response.with_guard(guard));
    AttemptOutcome { result, ..outcome }
}

async fn admit(
    worker: &Worker,
    key: &TargetKey,
    local: &Arc<LocalTarget>,
    call: Call,
) -> AttemptOutcome {
    let shared = &worker.shared;
    let checked = shared.check_shutdown(call.deadline);
    if let Err(error) = checked.and_then(|()| shared.check_quarantine(call.fingerprint)) {
        return error.into();
    }
    let transfer = match admit_to_link(shared, local, &call) {
        Ok(transfer) => transfer,
        Err(error) => {
            let load = Some(local.admission.load());
            return AttemptOutcome { result: Err(error), load, service_time: None };
        }
    };
    let (id, deadline) = (call.id.clone(), call.deadline);
    let permit = match local.admission.acquire(&call).await {
        Ok(permit) => permit,
        Err(error) => {
            let load = local.admission.load();
            log_refusal(&worker.shared, key, &id, &error, load);
            return AttemptOutcome { result: Err(error), load: Some(load), service_time: None };
        }
    };
    // The request may have been quarantined while the call was queued.
    if let Err(error) = worker.shared.check_quarantine(call.fingerprint) {
        return error.into();
    }
    let (route, fingerprint) = (call.route.clone(), call.fingerprint);
    let started_ms = monotonic_ms();
    let running = RunningCall::begin(shared, key, &route, call.deadline);
    let result = send_to_target(worker, key, local, call).await;
    running.finish(&result);
    let elapsed = permit.elapsed();
    metrics::TARGET_TIME.observe(elapsed.as_secs_f64());
    let observed = call_outcome(&result);
    permit.finish(&route, observed);
    if let Some(lost) = answer_lost(&result) {
        local.losses().record(lost, monotonic_ms());
    }
    match &result {
        Err(ResultCode::TargetRefused) => report_down(worker, key, local),
        Err(code) if code.run() == RunState::Unknown => {
            record_loss(worker, key, local, fingerprint, started_ms);
        }
        _ => {}
    }
    let size = result.as_ref().ok().filter(|response| response.status.is_success());
    let is_answered = size.is_some();
    if let Some(size) = size.and_then(|response| response.body.length()) {
        shared.route_sizes().record(&route, size);
    }
    let took = result.is_ok().then_some(elapsed);
    if is_answered {
        record_pace(shared, local, &route, elapsed);
    }
    // A target may end while it sends a long response.
    let (ended_worker, ended_key, ended) = (worker.clone(), key.clone(), Arc::clone(local));
    let result = result.map(|response| {
        response.on_end(move |end| match end {
            BodyEnd::Complete => {
                ended_worker.shared.quarantine().record_answer(fingerprint, monotonic_ms());
            }
            BodyEnd::Interrupted => {
                record_loss(&ended_worker, &ended_key, &ended, fingerprint, started_ms);
            }
        })
    });
    let result = match transfer {
        Some(transfer) => result.map(|response| response.paced(transfer, deadline)),
        None => result,
    };
    AttemptOutcome {
        result: result.map_err(CallError::from),
        load: Some(local.admission.load()),
        service_time: took,
    }
}

/// Admits the response to another node's call to the link, if it is a bulk call.
fn admit_to_link(
    shared: &NodeShared,
    local: &LocalTarget,
    call: &Call,
) -> Result<Option<LinkTransfer>, CallError> {
    let is_download = call.semantics == Some(Semantics::Download);
    if call.enters_here || !is_download || !shared.schedules_link() {
        return Ok(None);
    }
    let size = shared.route_sizes().expected(&call.route);
    let bulk = BulkCall {
        route: &call.route,
        size,
        service_time: local.admission.average_service_time(&call.route),
        objective: call.objective,
        deadline: call.deadline,
        is_patient: call.is_patient,
    };
    Ok(Some(shared.link.admit(&bulk)?))
}

/// Records the service time of a response in the pace of the target.
fn record_pace(shared: &NodeShared, local: &LocalTarget, route: &SmolStr, elapsed: Duration) {
    if !shared.shares_load() {
        return;
    }
    let usual = shared.evidence().average_time(route);
    if let Some(usual) = usual {
        local.pace().record(elapsed, usual, monotonic_ms());
    }
}

/// Records that a target left a call without a complete response, and checks whether it has ended.
fn record_loss(
    worker: &Worker,
    key: &TargetKey,
    local: &Arc<LocalTarget>,
    fingerprint: CallFingerprint,
    started_ms: u64,
) {
    worker.shared.crash_log().record_loss(key, fingerprint, started_ms, monotonic_ms());
    check_connection(worker, key, local);
}

/// Reports that a target does not accept connections.
fn report_down(worker: &Worker, key: &TargetKey, local: &LocalTarget) {
    worker.pool.close_idle(local.address);
    worker.shared.crash_log().record_down(key, monotonic_ms());
    report_change(worker, key, local, TargetChange::Down);
}

/// Reports to the node's control plane what a call to a target has shown.
fn report_change(worker: &Worker, key: &TargetKey, local: &LocalTarget, change: TargetChange) {
    let instance = local.instance.clone();
    worker.shared.report_change(TargetChanged { key: key.clone(), instance, change });
}

/// Checks in the background whether a target that has lost an answer still accepts connections.
fn check_connection(worker: &Worker, key: &TargetKey, local: &Arc<LocalTarget>) {
    if local.is_checked.swap(true, Ordering::AcqRel) {
        return;
    }
    let (worker, key, local) = (worker.clone(), key.clone(), Arc::clone(local));
    tokio::task::spawn_local(async move {
        tokio::time::sleep(CHECK_DELAY).await;
        if !worker.pool.check(local.address).await {
            report_down(&worker, &key, &local);
        }
        local.is_checked.store(false, Ordering::Release);
    });
}

/// Logs that admission control refused a call.
fn log_refusal(
    shared: &NodeShared,
    key: &TargetKey,
    id: &Option<HeaderValue>,
    error: &CallError,
    load: LoadReport,
) {
    let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
    shared.log_call(
        Event::CallNotAdmitted,
        &shared.admission_log_limiter,
        &[
            ("call", &id),
            ("target", key),
            ("code", &error.code),
            ("busy", &load.busy),
            ("limit", &load.limit),
            ("room_ms", &error.retry_after.map_or(0, |time| time.as_millis())),
        ],
    );
}

/// Sends a call to a local target and checks that the response belongs to the call.
async fn send_to_target(
    worker: &Worker,
    key: &TargetKey,
    local: &LocalTarget,
    mut call: Call,
) -> Result<TargetResponse, ResultCode> {
    let names = &worker.shared.headers;
    let (started_ms, started_us) = (monotonic_ms(), monotonic_us());
    let time_left = call.time_left().as_millis().to_string();
    headers::set(&mut call.headers, names.time_left.as_ref(), &time_left);
    if !local.instance.is_empty() {
        headers::set(&mut call.headers, names.instance.as_ref(), &local.instance);
    }
    let id = call.id.clone();
    let is_download = call.semantics == Some(Semantics::Download);
    let to = match is_download && worker.shared.schedules_link() {
        true => Destination::BulkTarget(&worker.shared.link),
        false => Destination::Target,
    };
    let mut response = forward::send(&worker.pool, local.address, call, true, to).await?;
    for name in [CODE, LOADS] {
        response.headers.remove(name);
    }
    // Without the call's id, a response may be one to an earlier call on the same connection.
    let echoed = names.call.as_ref().map(|name| response.headers.get(name).cloned());
    let is_matching = id.is_none() || echoed.is_none_or(|echoed| echoed == id);
    if is_matching {
        let notice = names.notice(&response.headers);
        apply_notice(worker, key, local, notice, started_ms);
        worker.shared.apply_load(key, local, notice.load, started_us);
    }
    let not_run = names.not_run.as_ref().is_some_and(|name| response.headers.contains_key(name));
    let is_sealed = names.seal.as_ref().is_none_or(|name| response.headers.contains_key(name));
    match response.status {
        _ if !is_matching => {
            worker.pool.close_idle(local.address);
            Err(ResultCode::AnswerDamaged)
        }
        StatusCode::MISDIRECTED_REQUEST if names.instance.is_some() => {
            Err(ResultCode::TargetReplaced)
        }
        _ if not_run => Err(ResultCode::TargetShed),
        status if status.is_success() && !is_sealed => Err(ResultCode::AnswerDamaged),
        _ => Ok(response),
    }
}

/// Records what a target says of itself in its response to a call that began at `started_ms`.
fn apply_notice(
    worker: &Worker,
    key: &TargetKey,
    local: &LocalTarget,
    notice: TargetNotice,
    started_ms: u64,
) {
    if local.stated().set_limit(notice.rate_limit, started_ms, monotonic_ms()) {
        let limit = notice.rate_limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        Event::TargetLimited.emit(&[("target", key), ("limit", &limit)]);
        local.admission.set_stated_limit(notice.rate_limit);
        report_change(worker, key, local, TargetChange::Stated);
    }
    if notice.is_leaving && !local.stated().set_leaving() {
        Event::TargetLeaving.emit(&[("target", key), ("instance", &local.instance)]);
        local.admission.close(QUEUE_GRACE);
        report_change(worker, key, local, TargetChange::Stated);
    }
}

/// Returns whether the target lost or spoiled its answer; `None` if the result says nothing of that.
fn answer_lost(result: &Result<TargetResponse, ResultCode>) -> Option<bool> {
    match result {
        Ok(_) | Err(ResultCode::AnswerTooLarge) => Some(false),
        Err(ResultCode::AnswerLost | ResultCode::AnswerDamaged) => Some(true),
        Err(_) => None,
    }
}

/// Classifies a call's result for the concurrency limit of the target.
fn call_outcome(result: &Result<TargetResponse, ResultCode>) -> CallOutcome {
    match result {
        Ok(response) if OVERLOAD_STATUSES.contains(&response.status) => CallOutcome::Shed,
        Err(ResultCode::TargetShed) => CallOutcome::Shed,
        Ok(_) | Err(ResultCode::AnswerTooLarge) => CallOutcome::Answered,
        Err(_) => CallOutcome::Lost,
    }
}

/// Returns the path and query of a request.
pub(crate) fn path_of(uri: &http::Uri) -> SmolStr {
    uri.path_and_query()
        .map_or_else(|| SmolStr::new_static("/"), |path| SmolStr::new(path.as_str()))
}
