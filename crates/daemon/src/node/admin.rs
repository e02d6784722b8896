//! HTTP interface of a node: registration of targets, health and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{Addr, MailboxError};
use actix_web::dev::Server;
use actix_web::{HttpResponse, web};
use kingcuplift_core::{Event, NodeName, ResultCode, ServiceName, TargetVersion};
use serde::Deserialize;
use serde_json::json;
use smol_str::SmolStr;

use crate::clock::wall_ms;
use crate::error::StartError;
use crate::listener::{Listener, serve_management};
use crate::metrics;
use crate::node::NodeActor;
use crate::node::admission::AdmissionController;
use crate::node::control::{Announce, Deregister, GetHealth, InstanceReport, LEASE_MS, Withdraw};
use crate::problem::Problem;

/// Interval of the checks whether a drained target is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for which a drain waits for calls in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest warm-up that a report may state.
const MAX_WARMUP: Duration = Duration::from_secs(24 * 60 * 60);
/// Largest number of slots that a report may state.
const MAX_SLOTS: u32 = 1_000_000;
/// Largest sequence number that a report may state; larger numbers are not exact in all JSON writers.
const MAX_SEQUENCE: u64 = 1 << 53;
/// Time by which the clock of a target may be ahead of the node's, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 24 * 60 * 60 * 1_000;

/// Announcement of a target by its service.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Announcement {
    address: String,
    version: String,
    #[serde(default)]
    slots: Option<u32>,
    /// Accepted for later use; the node limits calls by slots.
    #[serde(default, rename = "connections")]
    _connections: Option<u32>,
    /// Accepted for later use; health is derived from the results of calls.
    #[serde(default, rename = "health")]
    _health: Option<String>,
    /// Accepted for later use; load is derived from the results of calls.
    #[serde(default, rename = "load")]
    _load: Option<String>,
}

/// Report of a target on itself, addressed by its instance name.
#[derive(Debug, Deserialize)]
struct InstanceReportBody {
    service: String,
    address: String,
    version: String,
    slots: u32,
    state: ReportedState,
    /// Increases with each report of one instance.
    sequence: u64,
    /// Remaining warm-up time of the target, in milliseconds. A report without it says nothing of a cold target's state.
    warmup_ms: f64,
    /// Start time of the target, in milliseconds since the Unix epoch.
    #[serde(default)]
    born: u64,
}

/// State that a target reports of itself.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportedState {
    Ready,
    Leaving,
}

/// Optional body of a deregistration.
#[derive(Debug, Default, Deserialize)]
struct DeregistrationBody {
    #[serde(default)]
    born: u64,
}

/// Query parameters of a withdrawal.
#[derive(Debug, Deserialize)]
struct WithdrawQuery {
    version: Option<String>,
}

/// Starts the interface for targets, with readiness and metrics, on all `addresses`.
pub(crate) fn serve_admin(
    addresses: &[SocketAddr],
    actor: Addr<NodeActor>,
) -> Result<Server, StartError> {
    let actor = web::Data::new(actor);
    let listeners = addresses.iter().copied().map(Listener::new);
    serve_management(listeners, move |app| {
        app.app_data(web::Data::clone(&actor))
            .route("/v1/targets/{service}", web::put().to(put_target))
            .route("/v1/targets/{service}", web::delete().to(delete_target))
            .route("/v1/instances/{instance}", web::put().to(put_instance))
            .route("/v1/instances/{instance}", web::delete().to(delete_instance))
            .route("/readyz", web::get().to(readiness))
            .route("/healthz", web::get().to(health))
            .route("/metrics", web::get().to(metrics::serve));
    })
}

async fn put_target(
    service: web::Path<String>,
    body: web::Bytes,
    actor: web::Data<Addr<NodeActor>>,
) -> HttpResponse {
    let message = match parse_announcement(&service, &body) {
        Ok(message) => message,
        Err(detail) => {
            return Problem::new(ResultCode::AnnouncementMalformed, detail).into_response();
        }
    };
    match actor.send(message).await {
        Ok(_) => HttpResponse::Ok().json(json!({ "lease_ms": LEASE_MS })),
        Err(_) => Problem::new(ResultCode::Draining, "the node is stopping").into_response(),
    }
}

fn parse_announcement(service: &str, body: &[u8]) -> Result<Announce, String> {
    let service: ServiceName = service.parse().map_err(|e| format!("service: {e}"))?;
    let body: Announcement = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let version: TargetVersion = body.version.parse().map_err(|e| format!("version: {e}"))?;
    let address: SocketAddr = body.address.parse().map_err(|e| format!("address: {e}"))?;
    Ok(Announce {
        service,
        version: SmolStr::new(version.as_str()),
        address,
        slots: body.slots,
        report: None,
    })
}

/// Handles a target's report on itself; a malformed report is logged and changes nothing.
async fn put_instance(
    instance: web::Path<String>,
    body: web::Bytes,
    actor: web::Data<Addr<NodeActor>>,
) -> HttpResponse {
    let message = match parse_instance_report(&instance, &body) {
        Ok(message) => message,
        Err(detail) => {
            Event::ReportRefused.emit(&[("instance", &instance), ("reason", &detail)]);
            return Problem::new(ResultCode::AnnouncementMalformed, detail).into_response();
        }
    };
    confirm(&instance, actor.send(message).await)
}

fn parse_instance_report(instance: &str, body: &[u8]) -> Result<Announce, String> {
    let body: InstanceReportBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let service: ServiceName = body.service.parse().map_err(|e| format!("service: {e}"))?;
    let version: TargetVersion = body.version.parse().map_err(|e| format!("version: {e}"))?;
    let instance: NodeName = instance.parse().map_err(|e| format!("instance: {e}"))?;
    let address: SocketAddr = body.address.parse().map_err(|e| format!("address: {e}"))?;
    let warmup = Duration::try_from_secs_f64(body.warmup_ms / 1_000.0);
    let warmup = warmup.map_err(|e| format!("warmup_ms: {e}"))?;
    check_plausible(&body, warmup)?;
    Ok(Announce {
        service,
        version: SmolStr::new(version.as_str()),
        address,
        slots: Some(body.slots),
        report: Some(InstanceReport {
            instance: SmolStr::new(instance.as_str()),
            start_time_ms: body.born,
            sequence: body.sequence,
            is_leaving: matches!(body.state, ReportedState::Leaving),
            warmup,
        }),
    })
}

/// Refuses numbers that no target states; one of them would outlast the target's own reports.
fn check_plausible(body: &InstanceReportBody, warmup: Duration) -> Result<(), String> {
    match body {
        _ if warmup > MAX_WARMUP => Err(format!("warmup_ms: above {}", MAX_WARMUP.as_millis())),
        body if body.slots > MAX_SLOTS => Err(format!("slots: above {MAX_SLOTS}")),
        body if body.sequence > MAX_SEQUENCE => Err(format!("sequence: above {MAX_SEQUENCE}")),
        body => check_start_time(body.born),
    }
}

/// Refuses a start time in the future: it would outlast the target, and those that follow it.
fn check_start_time(start_time_ms: u64) -> Result<(), String> {
    match start_time_ms > wall_ms().saturating_add(MAX_CLOCK_SKEW_MS) {
        true => Err("born: in the future".to_owned()),
        false => Ok(()),
    }
}

/// Deregisters a target that leaves; its calls in flight finish.
async fn delete_instance(
    instance: web::Path<String>,
    body: web::Bytes,
    actor: web::Data<Addr<NodeActor>>,
) -> HttpResponse {
    let body = match body.is_empty() {
        true => DeregistrationBody::default(),
        false => serde_json::from_slice(&body).unwrap_or_default(),
    };
    if let Err(detail) = check_start_time(body.born) {
        Event::ReportRefused.emit(&[("instance", &instance), ("reason", &detail)]);
        return Problem::new(ResultCode::AnnouncementMalformed, detail).into_response();
    }
    let message =
        Deregister { instance: SmolStr::new(instance.as_str()), start_time_ms: body.born };
    confirm(&instance, actor.send(message).await)
}

/// Confirms what a target says of itself, if that is also stored where it must be.
fn confirm(instance: &str, is_stored: Result<bool, MailboxError>) -> HttpResponse {
    match is_stored {
        Ok(true) => HttpResponse::Ok().json(json!({})),
        Ok(false) => {
            Event::DepartureUnconfirmed.emit(&[("instance", &instance)]);
            let detail = "the source has not stored the departure; repeat the request";
            Problem::new(ResultCode::DepartureUnconfirmed, detail).into_response()
        }
        Err(_) => Problem::new(ResultCode::Draining, "the node is stopping").into_response(),
    }
}

async fn readiness(actor: web::Data<Addr<NodeActor>>) -> HttpResponse {
    match actor.send(GetHealth).await {
        Ok(health) if health.ready && health.version > 0 && !health.stopping => {
            HttpResponse::Ok().finish()
        }
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Drains the targets of a service and responds once none of their calls is in flight.
async fn delete_target(
    service: web::Path<String>,
    query: web::Query<WithdrawQuery>,
    actor: web::Data<Addr<NodeActor>>,
) -> HttpResponse {
    let Ok(service) = service.parse::<ServiceName>() else {
        let detail = "the service's name is malformed";
        return Problem::new(ResultCode::AnnouncementMalformed, detail).into_response();
    };
    let version = query.version.as_ref().map(SmolStr::new);
    let controllers = actor.send(Withdraw { service, version }).await.unwrap_or_default();
    let count = controllers.len();
    let drained = tokio::time::timeout(DRAIN_TIMEOUT, wait_idle(controllers)).await.is_ok();
    HttpResponse::Ok().json(json!({ "targets": count, "drained": drained }))
}

async fn wait_idle(controllers: Vec<Arc<AdmissionController>>) {
    while controllers.iter().any(|controller| !controller.is_idle()) {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

async fn health(actor: web::Data<Addr<NodeActor>>) -> HttpResponse {
    let Ok(health) = actor.send(GetHealth).await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let document = json!({
        "version": health.version,
        "held": health.received_version,
        "linked": health.linked,
        "ready": health.ready,
        "targets": health.targets,
        "locals": health.locals,
    });
    match health.ready {
        true => HttpResponse::Ok().json(document),
        false => HttpResponse::ServiceUnavailable().json(document),
    }
}
