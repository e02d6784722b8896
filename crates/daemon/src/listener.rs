//! Opens the HTTP interfaces of a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, Handler, HttpRequest, HttpServer, Responder, web};
use awc::Client;

use crate::error::StartError;
use crate::node::NodeShared;
use crate::node::call_client;

/// Time for calls in flight at a stop, in seconds.
const STOP_LIMIT: u64 = 30;
/// Time after which an unused connection for calls is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Opens an interface for control, with the routes that `configure` adds.
pub(crate) fn serve_control(
    address: SocketAddr,
    configure: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
) -> Result<Server, StartError> {
    let server = HttpServer::new(move || App::new().configure(configure.clone()))
        .workers(1)
        .disable_signals()
        .bind(address)
        .map_err(|source| StartError::Address { address, source })?;
    Ok(server.run())
}

/// Arguments of a handler of calls.
pub(crate) type CallArguments =
    (HttpRequest, web::Payload, web::Data<NodeShared>, web::Data<Client>);

/// Opens an interface for calls; every request goes to `handler`.
///
/// A caller that closes its connection cancels its call.
pub(crate) fn serve_calls<H>(
    address: SocketAddr,
    threads: usize,
    shared: Arc<NodeShared>,
    handler: H,
) -> Result<Server, StartError>
where
    H: Handler<CallArguments> + Clone + Send,
    H::Output: Responder + 'static,
{
    let shared = web::Data::from(shared);
    let app = move || {
        App::new()
            .app_data(web::Data::clone(&shared))
            .app_data(web::Data::new(call_client()))
            .default_service(web::to(handler.clone()))
    };
    let server = HttpServer::new(app)
        .workers(threads)
        .keep_alive(KEEP_ALIVE)
        .h1_allow_half_closed(false)
        .shutdown_timeout(STOP_LIMIT)
        .disable_signals()
        .bind(address)
        .map_err(|source| StartError::Address { address, source })?;
    Ok(server.run())
}
