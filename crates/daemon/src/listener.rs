//! Starts the HTTP servers of the management interfaces.

use std::net::SocketAddr;

use actix_web::dev::Server;
use actix_web::{App, HttpServer, web};

use crate::error::StartError;

/// Starts the server of a management interface on all `addresses`, with the routes that `configure` adds.
pub(crate) fn serve_management(
    addresses: &[SocketAddr],
    configure: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
) -> Result<Server, StartError> {
    let mut server = HttpServer::new(move || App::new().configure(configure.clone()))
        .workers(1)
        .disable_signals();
    for address in addresses {
        let address = *address;
        server = server.bind(address).map_err(|source| StartError::Address { address, source })?;
    }
    Ok(server.run())
}
