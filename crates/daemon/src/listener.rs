//! Starts the HTTP servers of the management interfaces.

use std::net::{SocketAddr, TcpListener};

use actix_web::dev::Server;
use actix_web::{App, HttpServer, web};

use crate::error::StartError;

/// Address of a server.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    /// Socket that listens already; connections wait until the server is started.
    socket: Option<TcpListener>,
}

impl Listener {
    /// Creates an address that the server is to listen on.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, socket: None }
    }

    /// Listens on an address.
    pub(crate) fn open(address: SocketAddr) -> Result<Self, StartError> {
        let socket =
            TcpListener::bind(address).map_err(|source| StartError::Address { address, source })?;
        Ok(Self { address, socket: Some(socket) })
    }
}

/// Starts the server of a management interface on all `listeners`, with the routes that `configure` adds.
pub(crate) fn serve_management(
    listeners: impl IntoIterator<Item = Listener>,
    configure: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
) -> Result<Server, StartError> {
    let mut server = HttpServer::new(move || App::new().configure(configure.clone()))
        .workers(1)
        .disable_signals();
    for Listener { address, socket } in listeners {
        let bound = match socket {
            Some(socket) => server.listen(socket),
            None => server.bind(address),
        };
        server = bound.map_err(|source| StartError::Address { address, source })?;
    }
    Ok(server.run())
}
