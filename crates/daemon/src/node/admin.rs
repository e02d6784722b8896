//! The targets' interface, health and metrics of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use actix_web::dev::Server;
use actix_web::{HttpResponse, web};
use kingcuplift_core::{Event, NodeName, ResultCode, ServiceName, TargetVersion};
use serde::Deserialize;
use serde_json::json;
use smol_str::SmolStr;

use crate::error::StartError;
use crate::listener::serve_control;
use crate::metrics;
use crate::node::NodeActor;
use crate::node::admission::AdmissionController;
use crate::node::control::{Announce, AskHealth, LEASE, Life, Part, Withdraw};
use crate::problem::Problem;

/// Time between checks whether a drained target is idle.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Longest time for which a drain waits for calls in flight.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);

/// Announcement of a target.
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
    /// Accepted for later use; calls themselves show health.
    #[serde(default, rename = "health")]
    _health: Option<String>,
    /// Accepted for later use; calls themselves show load.
    #[serde(default, rename = "load")]
    _load: Option<String>,
}

/// What a target says of itself under the name that it gave itself at its start.
#[derive(Debug, Deserialize)]
struct LifeReport {
    service: String,
    address: String,
    version: String,
    slots: u32,
    state: LifeState,
    /// Rises with each report of one life.
    sequence: u64,
    /// Time for which the target stays cold, in milliseconds.
    #[serde(default)]
    warmup_ms: f64,
    /// When the target started, in milliseconds since the Unix epoch.
    #[serde(default)]
    born: u64,
}

/// State that a target reports.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LifeState {
    Ready,
    Leaving,
}

/// What a target says of itself when it leaves.
#[derive(Debug, Default, Deserialize)]
struct LeaveReport {
    #[serde(default)]
    born: u64,
}

/// Query of a withdrawal.
#[derive(Debug, Deserialize)]
struct WithdrawQuery {
    version: Option<String>,
}

/// Opens the targets' interface, with readiness and metrics, on all `addresses`.
pub(crate) fn serve_admin(
    addresses: &[SocketAddr],
    actor: Addr<NodeActor>,
) -> Result<Server, StartError> {
    let actor = web::Data::new(actor);
    serve_control(addresses, move |app| {
        app.app_data(web::Data::clone(&actor))
            .route("/v1/targets/{service}", web::put().to(announce))
            .route("/v1/targets/{service}", web::delete().to(withdraw))
            .route("/v1/instances/{instance}", web::put().to(report))
            .route("/v1/instances/{instance}", web::delete().to(leave))
            .route("/readyz", web::get().to(readiness))
            .route("/healthz", web::get().to(health))
            .route("/metrics", web::get().to(metrics::serve));
    })
}

async fn announce(
    service: web::Path<String>,
    body: web::Bytes,
    node: web::Data<Addr<NodeActor>>,
) -> HttpResponse {
    let message = match read_announcement(&service, &body) {
        Ok(message) => message,
        Err(detail) => {
            return Problem::new(ResultCode::AnnouncementMalformed, detail).into_response();
        }
    };
    match node.send(message).await {
        Ok(()) => HttpResponse::Ok().json(json!({ "lease_ms": LEASE })),
        Err(_) => Problem::new(ResultCode::Draining, "the node is stopping").into_response(),
    }
}

fn read_announcement(service: &str, body: &[u8]) -> Result<Announce, String> {
    let service: ServiceName = service.parse().map_err(|e| format!("service: {e}"))?;
    let body: Announcement = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let version: TargetVersion = body.version.parse().map_err(|e| format!("version: {e}"))?;
    let address: SocketAddr = body.address.parse().map_err(|e| format!("address: {e}"))?;
    Ok(Announce {
        service,
        version: SmolStr::new(version.as_str()),
        address,
        slots: body.slots,
        life: None,
    })
}

/// Takes a target's report of itself; one that can't be read names no target.
async fn report(
    instance: web::Path<String>,
    body: web::Bytes,
    node: web::Data<Addr<NodeActor>>,
) -> HttpResponse {
    let message = match read_report(&instance, &body) {
        Ok(message) => message,
        Err(detail) => {
            Event::ReportRefused.emit(&[("instance", &instance), ("reason", &detail)]);
            return Problem::new(ResultCode::AnnouncementMalformed, detail).into_response();
        }
    };
    match node.send(message).await {
        Ok(()) => HttpResponse::Ok().json(json!({})),
        Err(_) => Problem::new(ResultCode::Draining, "the node is stopping").into_response(),
    }
}

fn read_report(instance: &str, body: &[u8]) -> Result<Announce, String> {
    let body: LifeReport = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let service: ServiceName = body.service.parse().map_err(|e| format!("service: {e}"))?;
    let version: TargetVersion = body.version.parse().map_err(|e| format!("version: {e}"))?;
    let instance: NodeName = instance.parse().map_err(|e| format!("instance: {e}"))?;
    let address: SocketAddr = body.address.parse().map_err(|e| format!("address: {e}"))?;
    let warmup = Duration::try_from_secs_f64(body.warmup_ms / 1_000.0);
    Ok(Announce {
        service,
        version: SmolStr::new(version.as_str()),
        address,
        slots: Some(body.slots),
        life: Some(Life {
            instance: SmolStr::new(instance.as_str()),
            born: body.born,
            sequence: body.sequence,
            is_leaving: matches!(body.state, LifeState::Leaving),
            warmup: warmup.map_err(|e| format!("warmup_ms: {e}"))?,
        }),
    })
}

/// Takes a target's word that it leaves; calls in flight finish.
async fn leave(
    instance: web::Path<String>,
    body: web::Bytes,
    node: web::Data<Addr<NodeActor>>,
) -> HttpResponse {
    let report = match body.is_empty() {
        true => LeaveReport::default(),
        false => serde_json::from_slice(&body).unwrap_or_default(),
    };
    let message = Part { instance: SmolStr::new(instance.as_str()), born: report.born };
    match node.send(message).await {
        Ok(()) => HttpResponse::Ok().json(json!({})),
        Err(_) => Problem::new(ResultCode::Draining, "the node is stopping").into_response(),
    }
}

async fn readiness(node: web::Data<Addr<NodeActor>>) -> HttpResponse {
    match node.send(AskHealth).await {
        Ok(state) if state.ready && state.version > 0 && !state.stopping => {
            HttpResponse::Ok().finish()
        }
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Drains a target and answers when no call is in flight.
async fn withdraw(
    service: web::Path<String>,
    query: web::Query<WithdrawQuery>,
    node: web::Data<Addr<NodeActor>>,
) -> HttpResponse {
    let Ok(service) = service.parse::<ServiceName>() else {
        let detail = "the service's name is malformed";
        return Problem::new(ResultCode::AnnouncementMalformed, detail).into_response();
    };
    let version = query.version.as_ref().map(SmolStr::new);
    let controllers = node.send(Withdraw { service, version }).await.unwrap_or_default();
    let count = controllers.len();
    let drained = tokio::time::timeout(DRAIN_LIMIT, wait_idle(controllers)).await.is_ok();
    HttpResponse::Ok().json(json!({ "targets": count, "drained": drained }))
}

async fn wait_idle(controllers: Vec<Arc<AdmissionController>>) {
    while controllers.iter().any(|controller| !controller.is_idle()) {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

async fn health(node: web::Data<Addr<NodeActor>>) -> HttpResponse {
    let Ok(state) = node.send(AskHealth).await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let document = json!({
        "version": state.version,
        "held": state.held,
        "linked": state.linked,
        "ready": state.ready,
        "targets": state.targets,
        "locals": state.locals,
    });
    match state.ready {
        true => HttpResponse::Ok().json(document),
        false => HttpResponse::ServiceUnavailable().json(document),
    }
}
