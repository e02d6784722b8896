//! Takes calls from callers, finds a target for each and hands back the whole answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::dev::Server;
use actix_web::{HttpRequest, HttpResponse, web};
use awc::Client;
use bytes::Bytes;
use kingcuplift_core::{Event, ResultCode, RunState};
use kingcuplift_traffic::{
    Attempt, Candidate, RouteMatch, ServiceView, TargetKey, View, choose, may_retry,
};

use crate::clock::monotonic_ms;
use crate::error::StartError;
use crate::listener::serve_calls;
use crate::metrics;
use crate::node::forward::{self, Answer, Call, MAX_CALL, TIMEOUT_HEADER};
use crate::node::peers::{hand_over, path_of, respond, write_envelope};
use crate::node::shared::NodeShared;
use crate::problem::CODE_HEADER;

/// Targets that one call may be sent to.
const MAX_ATTEMPTS: usize = 4;

/// Opens the callers' interface.
pub(crate) fn serve_callers(
    address: SocketAddr,
    threads: usize,
    shared: Arc<NodeShared>,
) -> Result<Server, StartError> {
    serve_calls(address, threads, shared, take)
}

async fn take(
    request: HttpRequest,
    payload: web::Payload,
    shared: web::Data<NodeShared>,
    client: web::Data<Client>,
) -> HttpResponse {
    let began = Instant::now();
    let guard = shared.begin_call();
    let outcome = serve(&request, payload, &shared, &client, began).await;
    drop(guard);
    let code = outcome.as_ref().err().map_or(0, |code| code.number());
    metrics::CALLS.with_label_values(&[code.to_string()]).inc();
    metrics::CALL_TIME.observe(began.elapsed().as_secs_f64());
    if let Err(code) = &outcome {
        log::debug!("call to {} refused: {code}", request.uri());
    }
    respond(outcome)
}

async fn serve(
    request: &HttpRequest,
    payload: web::Payload,
    shared: &NodeShared,
    client: &Client,
    began: Instant,
) -> Result<Answer, ResultCode> {
    if shared.is_draining() {
        return Err(ResultCode::Draining);
    }
    let view = shared.view.load_full().ok_or(ResultCode::NodeNotReady)?;
    let route = find_route(request, &view)?;
    let time = call_time(request, route)?;
    let body = read_body(payload).await?;
    let mut headers = forward::end_to_end(request.headers());
    headers.remove(CODE_HEADER);
    let call = Call {
        method: request.method().clone(),
        path: path_of(request),
        headers,
        body,
        deadline: began + time,
        route: route.name.clone(),
    };
    let service = view.service(route.service.as_str()).ok_or(ResultCode::NoTarget)?;
    try_targets(shared, client, service, route, call).await
}

fn find_route<'a>(request: &HttpRequest, view: &'a View) -> Result<&'a RouteMatch, ResultCode> {
    let host = request.headers().get("host").and_then(|value| value.to_str().ok());
    let host = host.ok_or(ResultCode::CallMalformed)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
    view.router().find(&name, request.path()).ok_or(ResultCode::RouteNotFound)
}

/// Returns the time that the call may take: the route's, or what the caller has left.
fn call_time(request: &HttpRequest, route: &RouteMatch) -> Result<Duration, ResultCode> {
    let Some(value) = request.headers().get(TIMEOUT_HEADER) else {
        return Ok(route.timeout);
    };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let millis = millis.ok_or(ResultCode::CallMalformed)?;
    Ok(route.timeout.min(Duration::from_millis(millis)))
}

async fn read_body(payload: web::Payload) -> Result<Bytes, ResultCode> {
    match payload.to_bytes_limited(MAX_CALL.as_usize()).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(_)) => Err(ResultCode::CallMalformed),
        Err(_) => Err(ResultCode::BodyTooLarge),
    }
}

/// Sends the call to one target after another, as far as that can't run it twice.
async fn try_targets(
    shared: &NodeShared,
    client: &Client,
    service: &ServiceView,
    route: &RouteMatch,
    call: Call,
) -> Result<Answer, ResultCode> {
    let idempotent = service.spec.idempotent.iter().any(|m| m == call.method.as_str());
    let mut tried: Vec<TargetKey> = Vec::new();
    let mut last = ResultCode::NoTarget;
    shared.budget.earn();
    while tried.len() < MAX_ATTEMPTS {
        if !tried.is_empty() && !shared.budget.spend() {
            break;
        }
        let now = monotonic_ms();
        let chosen = choose(&service.candidates, &shared.zone, &tried, now, &mut rand::rng());
        let Some(candidate) = chosen else { break };
        tried.push(candidate.key.clone());
        let outcome = attempt(shared, client, candidate, route, &call).await;
        let Err(code) = outcome else {
            candidate.answered();
            return outcome;
        };
        candidate.refused(monotonic_ms());
        // A retry must not turn "unknown" into "not run".
        last = match last.run() {
            RunState::Unknown => last,
            _ => code,
        };
        let failed = Attempt { run: code.run(), idempotent };
        if !may_retry(failed) || call.time_left().is_zero() {
            break;
        }
    }
    if shared.may_log_refusal(monotonic_ms()) {
        Event::CallRefused.emit(&[("code", &last), ("route", &route.name)]);
    }
    Err(last)
}

/// Sends the call to one target, here or beside another node.
async fn attempt(
    shared: &NodeShared,
    client: &Client,
    candidate: &Candidate,
    route: &RouteMatch,
    call: &Call,
) -> Result<Answer, ResultCode> {
    let load = Load::begin(candidate);
    let outcome = match candidate.key.node == shared.name.as_str() {
        true => hand_over(shared, client, &candidate.key, route.rank, call).await,
        false => {
            let mut call = call.clone();
            write_envelope(&mut call.headers, &candidate.key, route.rank, &route.name);
            let answer = forward::send(client, &candidate.peer, &call).await;
            answer.and_then(unwrap_refusal)
        }
    };
    drop(load);
    outcome
}

/// Counts a call as load of a target until dropped.
#[derive(Debug)]
struct Load<'a>(&'a Candidate);

impl<'a> Load<'a> {
    fn begin(candidate: &'a Candidate) -> Self {
        candidate.begin();
        Self(candidate)
    }
}

impl Drop for Load<'_> {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// Turns an answer that the other node made itself back into its code.
fn unwrap_refusal(answer: Answer) -> Result<Answer, ResultCode> {
    let Some(value) = answer.headers.get(CODE_HEADER) else {
        return Ok(answer);
    };
    let number = value.to_str().ok().and_then(|text| text.parse::<u16>().ok());
    Err(number.and_then(ResultCode::from_number).unwrap_or(ResultCode::AnswerLost))
}
