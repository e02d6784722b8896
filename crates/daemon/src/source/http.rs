//! The operator API of a source member.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix::{Addr, Handler, Message};
use actix_web::dev::Server;
use actix_web::http::header::IF_MATCH;
use actix_web::{HttpRequest, HttpResponse, web};
use kingcuplift_config::{MAX_PATCH_SIZE, Submission};
use kingcuplift_core::{ByteSize, MemberId, OperationId, ResultCode, Version, ZoneName};
use kingcuplift_schema::quorum::Voter;
use rand::Rng;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::error::StartError;
use crate::listener::{Listener, serve_management};
use crate::metrics;
use crate::source::SourceActor;
use crate::source::members::MemberChange;
use crate::source::messages::{
    ChangeMembers, CreateBackup, GetHealth, ListMembers, ReplaceConfig, RunQuery, Submit,
};
use crate::source::moves::StartMove;
use crate::source::query::{DEFAULT_LIST_LIMIT, Query};
use crate::source::response::Response;

/// Maximum time to wait for a submission to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to wait for a new leader; operators turn to another member after a second.
const ELECTION_WAIT: Duration = Duration::from_millis(800);
/// Interval of the checks for a new leader.
const ELECTION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Allowance for the fields around the patch in a request body.
const MAX_PATCH_OVERHEAD: ByteSize = ByteSize::kib(64);
/// Zstandard compression level of backups.
const BACKUP_LEVEL: i32 = 6;
/// Maximum length of a note, author or other header value, in bytes.
const MAX_NOTE_BYTES: usize = 4_096;
/// Header with the operation id, which makes a submission idempotent.
const OPERATION_HEADER: &str = "idempotency-key";
/// Header with the author of a submission.
const AUTHOR_HEADER: &str = "kingcuplift-author";

/// Body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    base: u64,
    #[serde(default)]
    number: Option<u64>,
    patch: Value,
    #[serde(default)]
    note: String,
}

/// Query parameters of a list of versions.
#[derive(Debug, Deserialize)]
struct ListQuery {
    after: Option<u64>,
    limit: Option<usize>,
}

/// Starts the HTTP server of the operator API.
pub(crate) fn serve_http(
    listener: Listener,
    actor: Addr<SourceActor>,
) -> Result<Server, StartError> {
    let actor = web::Data::new(actor);
    let limit = (MAX_PATCH_SIZE.get() + MAX_PATCH_OVERHEAD.get()) as usize;
    serve_management([listener], move |app| {
        app.app_data(web::Data::clone(&actor))
            .app_data(web::PayloadConfig::new(limit))
            .route("/v1/versions", web::post().to(submit))
            .route("/v1/versions", web::get().to(list_versions))
            .route("/v1/versions/{version}", web::get().to(show_version))
            .route("/v1/versions/{version}/config", web::get().to(show_config))
            .route("/v1/config", web::get().to(show_head_config))
            .route("/v1/revision", web::put().to(replace_config))
            .route("/v1/revision", web::get().to(show_revision))
            .route("/v1/moves", web::get().to(list_moves))
            .route("/v1/moves", web::post().to(start_move))
            .route("/v1/moves/{name}", web::get().to(show_move))
            .route("/v1/zones/{zone}/{state}", web::post().to(set_zone))
            .route("/v1/targets", web::get().to(list_targets))
            .route("/v1/members", web::get().to(list_members))
            .route("/v1/members", web::post().to(add_member))
            .route("/v1/members/{id}/promote", web::post().to(promote_member))
            .route("/v1/members/{id}", web::delete().to(remove_member))
            .route("/v1/backup", web::get().to(backup))
            .route("/healthz", web::get().to(health))
            .route("/metrics", web::get().to(metrics::serve));
    })
}

type Source = web::Data<Addr<SourceActor>>;

/// Whether a client may repeat a request whose outcome it doesn't know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repetition {
    /// The source recognises the repetition, or it changes nothing more.
    Safe,
    /// The repetition may be refused although the request was carried out.
    Unsafe,
}

/// Sends a request to the actor, again and again while a leader is being elected.
///
/// An operator that is turned away tries again later and later, and may then miss the new leader by seconds. `pending` is the
/// response if the outcome is not known in time.
async fn ask_leader<M>(
    source: &Source,
    request: M,
    repetition: Repetition,
    pending: Response,
) -> Response
where
    M: Message<Result = Response> + Clone + Send + 'static,
    SourceActor: Handler<M>,
{
    let started_at = Instant::now();
    let mut interruption = None;
    loop {
        let sent = source.send(request.clone());
        let response = match tokio::time::timeout(COMMIT_TIMEOUT, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) | Err(_) => return pending,
        };
        let may_wait = started_at.elapsed() < ELECTION_WAIT;
        match response {
            Response::Interrupted(detail) if may_wait && repetition == Repetition::Safe => {
                interruption = Some(detail);
            }
            Response::Unready(_) if may_wait => {}
            // The request may have been carried out before.
            Response::Unready(detail) => {
                return interruption.map_or(Response::Unready(detail), Response::Interrupted);
            }
            response => return response,
        }
        tokio::time::sleep(ELECTION_POLL_INTERVAL).await;
    }
}

async fn submit(request: HttpRequest, body: web::Bytes, source: Source) -> HttpResponse {
    let response = match serde_json::from_slice::<SubmitBody>(&body) {
        Ok(body) => submit_body(&request, body, &source).await,
        Err(error) => {
            let detail = format!("{error}; send {{\"base\": N, \"patch\": {{...}}}}");
            Response::problem(ResultCode::PatchMalformed, detail)
        }
    };
    respond(&request, response)
}

async fn submit_body(request: &HttpRequest, body: SubmitBody, source: &Source) -> Response {
    if body.note.len() > MAX_NOTE_BYTES {
        let detail = format!("the note is longer than {MAX_NOTE_BYTES} bytes; shorten it");
        return Response::problem(ResultCode::PatchTooLarge, detail);
    }
    let operation = match operation_id(request) {
        Ok(operation) => operation,
        Err(response) => return response,
    };
    let submission = Submission {
        operation: operation.to_string(),
        base: body.base,
        number: body.number.unwrap_or(0),
        patch: body.patch.to_string(),
        note: body.note,
        author: header(request, AUTHOR_HEADER).unwrap_or_default(),
        ..Submission::default()
    };
    // Without an id from the client, its repetition would be another submission.
    let repetition = match request.headers().contains_key(OPERATION_HEADER) {
        true => Repetition::Safe,
        false => Repetition::Unsafe,
    };
    send_submission(source, submission, repetition).await
}

async fn send_submission(
    source: &Source,
    submission: Submission,
    repetition: Repetition,
) -> Response {
    let pending = Response::Interrupted(
        "no majority has stored the submission yet; send the same operation id again",
    );
    ask_leader(source, Submit(submission), repetition, pending).await
}

/// Returns the operation id of the request, or a new one.
fn operation_id(request: &HttpRequest) -> Result<OperationId, Response> {
    let text = header(request, OPERATION_HEADER)
        .unwrap_or_else(|| format!("{:032x}", rand::rng().random::<u128>()));
    text.parse().map_err(|error| {
        Response::problem(ResultCode::PatchBadValue, format!("{OPERATION_HEADER}: {error}"))
    })
}

fn header(request: &HttpRequest, name: &str) -> Option<String> {
    let value = request.headers().get(name)?.to_str().ok()?;
    (value.len() <= MAX_NOTE_BYTES).then(|| value.trim_matches('"').to_owned())
}

async fn list_versions(
    request: HttpRequest,
    query: web::Query<ListQuery>,
    source: Source,
) -> HttpResponse {
    let after = Version::new(query.after.unwrap_or(0));
    let limit = query.limit.unwrap_or(DEFAULT_LIST_LIMIT);
    run_query(&request, &source, Query::Versions { after, limit }).await
}

async fn show_version(
    request: HttpRequest,
    version: web::Path<u64>,
    source: Source,
) -> HttpResponse {
    run_query(&request, &source, Query::Version(Version::new(*version))).await
}

async fn show_config(
    request: HttpRequest,
    version: web::Path<u64>,
    source: Source,
) -> HttpResponse {
    run_query(&request, &source, Query::Config(Some(Version::new(*version)))).await
}

async fn show_head_config(request: HttpRequest, source: Source) -> HttpResponse {
    run_query(&request, &source, Query::Config(None)).await
}

/// Replaces the full configuration whose number is in `If-Match`.
async fn replace_config(request: HttpRequest, body: web::Bytes, source: Source) -> HttpResponse {
    let after = header(&request, IF_MATCH.as_str()).unwrap_or_else(|| "0".to_owned());
    let Ok(after) = after.parse::<u64>() else {
        let detail = "If-Match must be the number of the configuration to replace";
        return respond(&request, Response::problem(ResultCode::PatchBadValue, detail));
    };
    let pending =
        Response::Interrupted("no majority has stored the configuration yet; send it again");
    let message = ReplaceConfig { after, text: body };
    let response = ask_leader(&source, message, Repetition::Safe, pending).await;
    respond(&request, response.without_creation())
}

async fn show_revision(request: HttpRequest, source: Source) -> HttpResponse {
    run_query(&request, &source, Query::Revision).await
}

/// Body of a request to move a service's traffic.
#[derive(Debug, Deserialize)]
struct MoveBody {
    service: String,
    to: String,
    /// Time for the whole move, in seconds.
    within_s: f64,
}

async fn start_move(request: HttpRequest, body: web::Bytes, source: Source) -> HttpResponse {
    let response = match parse_move(&request, &body) {
        Ok(message) => {
            let pending = Response::Interrupted(
                "no majority has stored the move yet; send the same request again",
            );
            ask_leader(&source, message, Repetition::Safe, pending).await
        }
        Err(response) => response,
    };
    respond(&request, response.without_creation())
}

fn parse_move(request: &HttpRequest, body: &[u8]) -> Result<StartMove, Response> {
    let malformed = |detail: String| Response::problem(ResultCode::PatchMalformed, detail);
    let body: MoveBody =
        serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))?;
    let within = Duration::try_from_secs_f64(body.within_s);
    Ok(StartMove {
        service: body.service.parse().map_err(|error| malformed(format!("service: {error}")))?,
        to: body.to.parse().map_err(|error| malformed(format!("to: {error}")))?,
        within: within.map_err(|error| malformed(format!("within_s: {error}")))?,
        operation: operation_id(request)?,
    })
}

async fn list_moves(request: HttpRequest, source: Source) -> HttpResponse {
    run_query(&request, &source, Query::Moves).await
}

async fn show_move(request: HttpRequest, name: web::Path<String>, source: Source) -> HttpResponse {
    run_query(&request, &source, Query::Move(name.into_inner())).await
}

async fn list_targets(request: HttpRequest, source: Source) -> HttpResponse {
    run_query(&request, &source, Query::Targets).await
}

/// Takes an availability zone out of service or back into service, as a separate version.
async fn set_zone(
    request: HttpRequest,
    path: web::Path<(String, String)>,
    source: Source,
) -> HttpResponse {
    let (zone, state) = path.into_inner();
    let valid = zone.parse::<ZoneName>().is_ok() && matches!(state.as_str(), "in" | "out");
    if !valid {
        let detail = "post to /v1/zones/ZONE/in or /v1/zones/ZONE/out";
        return respond(&request, Response::problem(ResultCode::ResourceNotFound, detail));
    }
    let response = match operation_id(&request) {
        Ok(operation) => submit_zone(&source, &zone, &state, operation, &request).await,
        Err(response) => response,
    };
    respond(&request, response)
}

/// Submits the change of an availability zone's state, based on the head version.
async fn submit_zone(
    source: &Source,
    zone: &str,
    state: &str,
    operation: OperationId,
    request: &HttpRequest,
) -> Response {
    let submission = Submission {
        operation: operation.to_string(),
        at_head: true,
        patch: json!({ "zones": { zone: { "state": state } } }).to_string(),
        note: format!("zone {state} {zone}"),
        author: header(request, AUTHOR_HEADER).unwrap_or_default(),
        ..Submission::default()
    };
    send_submission(source, submission, Repetition::Safe).await
}

async fn list_members(request: HttpRequest, source: Source) -> HttpResponse {
    let response = ask_leader(&source, ListMembers, Repetition::Safe, stopping_response()).await;
    respond(&request, response)
}

/// Body of a request to add a member.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberBody {
    id: u64,
    listen: SocketAddr,
    http: SocketAddr,
    /// Disk identity in hexadecimal, as reported by the member's health check.
    disk: String,
}

async fn add_member(request: HttpRequest, body: web::Bytes, source: Source) -> HttpResponse {
    let parsed = serde_json::from_slice::<MemberBody>(&body).ok();
    let disk = parsed.as_ref().and_then(|body| u64::from_str_radix(&body.disk, 16).ok());
    let (Some(body), Some(disk)) = (parsed, disk) else {
        let detail = "send {\"id\": N, \"listen\": ..., \"http\": ..., \"disk\": HEX}";
        return respond(&request, Response::problem(ResultCode::PatchMalformed, detail));
    };
    let (listen, http) = (body.listen.to_string(), body.http.to_string());
    let voter = Voter { id: body.id, disk, listen, http, ..Voter::default() };
    change_members(&request, &source, MemberChange::Add(voter)).await
}

async fn promote_member(request: HttpRequest, id: web::Path<u64>, source: Source) -> HttpResponse {
    let change = MemberChange::Promote(MemberId::new(*id));
    change_members(&request, &source, change).await
}

async fn remove_member(request: HttpRequest, id: web::Path<u64>, source: Source) -> HttpResponse {
    let change = MemberChange::Remove(MemberId::new(*id));
    change_members(&request, &source, change).await
}

async fn change_members(
    request: &HttpRequest,
    source: &Source,
    change: MemberChange,
) -> HttpResponse {
    let pending = Response::Interrupted("no majority has stored the change yet; see `member list`");
    let change = ChangeMembers(change);
    let response = ask_leader(source, change, Repetition::Unsafe, pending).await;
    respond(request, response)
}

/// Sends a backup of the full state, compressed and with a checksum.
async fn backup(request: HttpRequest, source: Source) -> HttpResponse {
    match source.send(CreateBackup).await {
        Ok(Ok(state)) => match compress(&state) {
            Ok(body) => HttpResponse::Ok().content_type("application/zstd").body(body),
            Err(error) => {
                respond(&request, Response::problem(ResultCode::StorageFailed, error.to_string()))
            }
        },
        Ok(Err(response)) => respond(&request, response),
        Err(_) => respond(&request, stopping_response()),
    }
}

fn compress(state: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = zstd::Encoder::new(Vec::new(), BACKUP_LEVEL)?;
    encoder.include_checksum(true)?;
    encoder.write_all(state)?;
    encoder.finish()
}

fn stopping_response() -> Response {
    Response::problem(ResultCode::NoLeader, "the member is stopping; try another")
}

async fn run_query(request: &HttpRequest, source: &Source, query: Query) -> HttpResponse {
    let response = ask_leader(source, RunQuery(query), Repetition::Safe, stopping_response()).await;
    respond(request, response)
}

async fn health(source: Source) -> HttpResponse {
    let Ok(state) = source.send(GetHealth).await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let document = json!({
        "role": state.role,
        "term": state.term,
        "head": state.head,
        "leader": state.leader,
        "relays": state.relays,
        "disk": format!("{:016x}", state.disk),
    });
    match state.healthy {
        true => HttpResponse::Ok().json(document),
        false => HttpResponse::ServiceUnavailable().json(document),
    }
}

fn respond(request: &HttpRequest, response: Response) -> HttpResponse {
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    response.into_response(path)
}
