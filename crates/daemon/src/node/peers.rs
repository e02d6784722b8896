//! Takes calls from other nodes for the targets beside this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use kingcuplift_core::{ByteSize, Event, ResultCode};
use kingcuplift_traffic::{CallOutcome, LoadReport, TargetKey};
use smol_str::SmolStr;

use crate::error::StartError;
use crate::metrics;
use crate::node::body::{Body, BodyError};
use crate::node::control::TargetDown;
use crate::node::envelope::{Envelope, write_load};
use crate::node::forward::{self, Answer, Call, Outcome, Refusal};
use crate::node::headers::{self, CODE, strip_hop};
use crate::node::respond::{refuse, respond};
use crate::node::server::{Worker, serve_calls};
use crate::node::shared::{LocalTarget, NodeShared};

/// Largest body of a call between nodes; the entry node applies the callers' limit.
const MAX_CALL: ByteSize = ByteSize::mib(1_024);
/// Statuses by which a target says that it has too much to do.
const SHED: [StatusCode; 2] = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// Opens the interface for other nodes.
pub(crate) fn serve_peers(
    address: SocketAddr,
    threads: usize,
    shared: &Arc<NodeShared>,
) -> Result<(), StartError> {
    serve_calls(address, threads, shared, take)
}

async fn take(worker: Worker, request: Request<Incoming>) -> Response<Body> {
    let began = Instant::now();
    let (parts, incoming) = request.into_parts();
    let mut headers = parts.headers;
    let Some(envelope) = Envelope::take(&mut headers) else {
        return refuse(ResultCode::CallMalformed.into());
    };
    let body = match Body::read(incoming, MAX_CALL.get()).await {
        Ok(body) => body,
        Err(BodyError::Broken(_)) => return refuse(ResultCode::CallMalformed.into()),
        Err(BodyError::TooLong) => return refuse(ResultCode::BodyTooLarge.into()),
    };
    strip_hop(&mut headers);
    let id = worker.shared.headers.call.as_ref().and_then(|name| headers.get(name).cloned());
    let key = TargetKey {
        service: envelope.service,
        version: envelope.version,
        node: SmolStr::new(worker.shared.name.as_str()),
    };
    let call = Call {
        method: parts.method,
        path: path_of(&parts.uri),
        headers,
        body,
        deadline: began + envelope.time,
        objective: began + envelope.objective,
        route: envelope.route,
        rank: envelope.rank,
        id,
    };
    let outcome = hand_over(&worker, &key, &envelope.instance, call).await;
    let (load, service) = (outcome.load, outcome.service);
    let mut response = respond(outcome.result);
    if let Some(load) = load {
        write_load(response.headers_mut(), load, service);
    }
    response
}

/// Admits a call to a target beside this node and sends it there.
pub(crate) async fn hand_over(
    worker: &Worker,
    key: &TargetKey,
    instance: &SmolStr,
    call: Call,
) -> Outcome {
    let guard = worker.shared.begin_call();
    let local = worker.shared.locals.load().get(key).cloned();
    let outcome = match local {
        None => Refusal::from(ResultCode::TargetReplaced).into(),
        Some(local) if !instance.is_empty() && local.instance != *instance => {
            Refusal::from(ResultCode::TargetReplaced).into()
        }
        Some(local) => admit(worker, key, &local, call).await,
    };
    drop(guard);
    let code = outcome.result.as_ref().err().map_or(0, |refusal| refusal.code.number());
    metrics::HANDED.with_label_values(&[code.to_string()]).inc();
    outcome
}

async fn admit(worker: &Worker, key: &TargetKey, local: &LocalTarget, call: Call) -> Outcome {
    if let Err(refusal) = worker.shared.check_stop(call.deadline) {
        return refusal.into();
    }
    let objective = call.objective.saturating_duration_since(Instant::now());
    let id = call.id.clone();
    let permit = match local.gate.enter(&call.route, call.rank, call.time_left(), objective).await {
        Ok(permit) => permit,
        Err(refusal) => {
            let load = local.gate.load();
            log_refusal(&worker.shared, key, &id, &refusal, load);
            return Outcome { result: Err(refusal), load: Some(load), service: None };
        }
    };
    let route = call.route.clone();
    let result = run(worker, local, call).await;
    let service = permit.elapsed();
    metrics::TARGET_TIME.observe(service.as_secs_f64());
    let made = made_of(&result);
    permit.finish(&route, made);
    if matches!(result, Err(ResultCode::TargetRefused)) {
        worker.pool.forget(local.address);
        TargetDown { key: key.clone(), instance: local.instance.clone() }.send(&worker.shared);
    }
    let took = result.is_ok().then_some(service);
    Outcome { result: result.map_err(Refusal::from), load: Some(local.gate.load()), service: took }
}

/// Logs that a gate refused a call.
fn log_refusal(
    shared: &NodeShared,
    key: &TargetKey,
    id: &Option<HeaderValue>,
    refusal: &Refusal,
    load: LoadReport,
) {
    let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
    shared.log_call(
        Event::CallNotAdmitted,
        &shared.gate_lines,
        &[
            ("call", &id),
            ("target", key),
            ("code", &refusal.code),
            ("busy", &load.busy),
            ("limit", &load.limit),
            ("room_ms", &refusal.room.map_or(0, |room| room.as_millis())),
        ],
    );
}

/// Sends a call to the target beside this node and checks whose answer comes.
async fn run(worker: &Worker, local: &LocalTarget, mut call: Call) -> Result<Answer, ResultCode> {
    let names = &worker.shared.headers;
    let left = call.time_left().as_millis().to_string();
    headers::set(&mut call.headers, names.time_left.as_ref(), &left);
    if !local.instance.is_empty() {
        headers::set(&mut call.headers, names.instance.as_ref(), &local.instance);
    }
    let id = call.id.clone();
    let mut answer = forward::send(&worker.pool, local.address, call, true).await?;
    answer.headers.remove(CODE);
    let echoed = names.call.as_ref().map(|name| answer.headers.get(name).cloned());
    let is_own = echoed.is_none_or(|echoed| echoed.is_none() || echoed == id);
    let not_run = names.not_run.as_ref().is_some_and(|name| answer.headers.contains_key(name));
    let is_sealed = names.seal.as_ref().is_none_or(|name| answer.headers.contains_key(name));
    match answer.status {
        _ if !is_own => {
            worker.pool.forget(local.address);
            Err(ResultCode::AnswerDamaged)
        }
        StatusCode::MISDIRECTED_REQUEST if names.instance.is_some() => {
            Err(ResultCode::TargetReplaced)
        }
        _ if not_run => Err(ResultCode::TargetShed),
        status if status.is_success() && !is_sealed => Err(ResultCode::AnswerDamaged),
        _ => Ok(answer),
    }
}

/// Returns what a call's outcome says of the target.
fn made_of(result: &Result<Answer, ResultCode>) -> CallOutcome {
    match result {
        Ok(answer) if SHED.contains(&answer.status) => CallOutcome::Shed,
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
