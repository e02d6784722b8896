//! HTTP interface of a relay for health checks and metrics.

use std::net::SocketAddr;

use actix::Addr;
use actix_web::dev::Server;
use actix_web::{HttpResponse, web};
use serde_json::json;

use crate::error::StartError;
use crate::listener::{Listener, serve_management};
use crate::metrics;
use crate::relay::RelayActor;
use crate::relay::actor::GetHealth;

/// Starts the HTTP server for health checks and metrics.
pub(crate) fn serve_http(
    address: SocketAddr,
    actor: Addr<RelayActor>,
) -> Result<Server, StartError> {
    let actor = web::Data::new(actor);
    serve_management([Listener::new(address)], move |app| {
        app.app_data(web::Data::clone(&actor))
            .route("/healthz", web::get().to(health))
            .route("/metrics", web::get().to(metrics::serve));
    })
}

async fn health(relay: web::Data<Addr<RelayActor>>) -> HttpResponse {
    let Ok(state) = relay.send(GetHealth).await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let document = json!({ "head": state.head, "nodes": state.nodes, "linked": state.linked });
    match state.linked {
        true => HttpResponse::Ok().json(document),
        false => HttpResponse::ServiceUnavailable().json(document),
    }
}
