//! The targets' interface, health and metrics of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use actix_web::dev::Server;
use actix_web::{HttpResponse, web};
use kingcuplift_core::{ResultCode, ServiceName, TargetVersion};
use serde::Deserialize;
use serde_json::json;
use smol_str::SmolStr;

use crate::error::StartError;
use crate::listener::serve_control;
use crate::metrics;
use crate::node::NodeActor;
use crate::node::control::{Announce, AskHealth, LEASE, Withdraw};
use crate::node::gate::Gate;
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

/// Query of a withdrawal.
#[derive(Debug, Deserialize)]
struct WithdrawQuery {
    version: Option<String>,
}

/// Opens the targets' interface.
pub(crate) fn serve_admin(
    address: SocketAddr,
    actor: Addr<NodeActor>,
) -> Result<Server, StartError> {
    let actor = web::Data::new(actor);
    serve_control(address, move |app| {
        app.app_data(web::Data::clone(&actor))
            .route("/v1/targets/{service}", web::put().to(announce))
            .route("/v1/targets/{service}", web::delete().to(withdraw))
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
        address: address.to_string(),
        slots: body.slots,
    })
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
    let gates = node.send(Withdraw { service, version }).await.unwrap_or_default();
    let count = gates.len();
    let drained = tokio::time::timeout(DRAIN_LIMIT, wait_idle(gates)).await.is_ok();
    HttpResponse::Ok().json(json!({ "targets": count, "drained": drained }))
}

async fn wait_idle(gates: Vec<Arc<Gate>>) {
    while gates.iter().any(|gate| !gate.is_idle()) {
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
