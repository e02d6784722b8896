//! Takes calls from other nodes for the targets beside this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::dev::Server;
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::{HttpRequest, HttpResponse, web};
use awc::Client;
use kingcuplift_core::{Rank, ResultCode};
use kingcuplift_traffic::{Response, TargetKey};
use smol_str::SmolStr;

use crate::error::StartError;
use crate::listener::serve_calls;
use crate::metrics;
use crate::node::forward::{self, Answer, Call, MAX_CALL, TIMEOUT_HEADER};
use crate::node::shared::NodeShared;
use crate::problem::{CODE_HEADER, Problem};

/// Header that names the service of a call between nodes.
pub(crate) const SERVICE_HEADER: &str = "kingcuplift-service";
/// Header that names the target's version.
pub(crate) const VERSION_HEADER: &str = "kingcuplift-version";
/// Header with the call's rank.
pub(crate) const RANK_HEADER: &str = "kingcuplift-rank";
/// Header that names the route of a call between nodes.
const ROUTE_HEADER: &str = "kingcuplift-route";
/// Statuses by which a target says that it has too much to do.
const SHED: [StatusCode; 2] = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// Opens the interface for other nodes.
pub(crate) fn serve_peers(
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
    let Some(Envelope { key, rank, time, route }) = read_envelope(request.headers(), &shared)
    else {
        let detail = "the call lacks the headers of a call between nodes";
        return Problem::new(ResultCode::CallMalformed, detail).into_response();
    };
    let Ok(Ok(body)) = payload.to_bytes_limited(MAX_CALL.as_usize()).await else {
        let detail = format!("the body is broken or longer than {MAX_CALL}");
        return Problem::new(ResultCode::BodyTooLarge, detail).into_response();
    };
    let mut headers = forward::end_to_end(request.headers());
    for name in [SERVICE_HEADER, VERSION_HEADER, RANK_HEADER, ROUTE_HEADER] {
        headers.remove(name);
    }
    let call = Call {
        method: request.method().clone(),
        path: path_of(&request),
        headers,
        body,
        deadline: began + time,
        route,
    };
    respond(hand_over(&shared, &client, &key, rank, &call).await)
}

/// Admits a call to a target beside this node and sends it there.
pub(crate) async fn hand_over(
    shared: &NodeShared,
    client: &Client,
    key: &TargetKey,
    rank: Rank,
    call: &Call,
) -> Result<Answer, ResultCode> {
    let guard = shared.begin_call();
    let outcome = hand_over_counted(shared, client, key, rank, call).await;
    drop(guard);
    let code = outcome.as_ref().err().map_or(0, |code| code.number());
    metrics::HANDED.with_label_values(&[code.to_string()]).inc();
    outcome
}

async fn hand_over_counted(
    shared: &NodeShared,
    client: &Client,
    key: &TargetKey,
    rank: Rank,
    call: &Call,
) -> Result<Answer, ResultCode> {
    let local = shared.locals.load().get(key).cloned().ok_or(ResultCode::NoTarget)?;
    let permit = local.gate.enter(rank, call.time_left()).await?;
    let outcome = forward::send(client, &local.address, call).await;
    permit.finish(&call.route, response_of(&outcome));
    let mut answer = outcome?;
    answer.headers.remove(CODE_HEADER);
    Ok(answer)
}

/// Returns what a call's outcome says of the target.
fn response_of(outcome: &Result<Answer, ResultCode>) -> Response {
    match outcome {
        Ok(answer) if SHED.contains(&answer.status) => Response::Shed,
        Ok(_) | Err(ResultCode::AnswerTooLarge) => Response::Answered,
        Err(_) => Response::Lost,
    }
}

/// Makes the HTTP answer of a call.
pub(crate) fn respond(outcome: Result<Answer, ResultCode>) -> HttpResponse {
    let answer = match outcome {
        Ok(answer) => answer,
        Err(code) => return Problem::new(code, code.meaning()).into_response(),
    };
    let mut response = HttpResponse::build(answer.status);
    for (name, value) in answer.headers {
        response.append_header((name, value));
    }
    response.body(answer.body)
}

/// Returns the path and query of a request.
pub(crate) fn path_of(request: &HttpRequest) -> String {
    request.uri().path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string)
}

/// Adds the headers of a call between nodes.
pub(crate) fn write_envelope(
    headers: &mut HeaderMap,
    key: &TargetKey,
    rank: Rank,
    route: &SmolStr,
) {
    let mut insert = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    insert(SERVICE_HEADER, &key.service);
    insert(VERSION_HEADER, &key.version);
    insert(RANK_HEADER, &rank.to_string());
    insert(ROUTE_HEADER, route);
}

/// What a call between nodes says besides the call itself.
struct Envelope {
    key: TargetKey,
    rank: Rank,
    time: Duration,
    route: SmolStr,
}

fn read_envelope(headers: &HeaderMap, shared: &NodeShared) -> Option<Envelope> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let key = TargetKey {
        service: SmolStr::new(text(SERVICE_HEADER)?),
        version: SmolStr::new(text(VERSION_HEADER)?),
        node: SmolStr::new(shared.name.as_str()),
    };
    let rank = text(RANK_HEADER)?.parse().ok()?;
    let millis = text(TIMEOUT_HEADER)?.parse().ok()?;
    let route = SmolStr::new(text(ROUTE_HEADER)?);
    Some(Envelope { key, rank, time: Duration::from_millis(millis), route })
}
