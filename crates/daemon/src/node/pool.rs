//! Pool of HTTP/1.1 client connections, reused across calls. Each thread has its own pool.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use kingcuplift_core::ResultCode;
use socket2::SockRef;

use crate::dial;
use crate::node::body::Body;
use crate::node::bulk_link::Link;
use crate::node::headers;
use crate::node::paced_stream::PacedStream;

/// Timeout for opening a connection; the peer is on this VM or in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent data may stay unacknowledged before a connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which an idle connection is kept, unless the peer states a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the peer's own idle timeout at which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Maximum size of a connection's read buffer, in bytes.
const MAX_READ_BUFFER: usize = 64 * 1024;

/// An idle connection.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    expires_at: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
struct Connections {
    idle: HashMap<SocketAddr, Vec<Idle>>,
}

/// Connection pool; clones share the same connections.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool(Rc<RefCell<Connections>>);

/// A connection in use; it returns to the pool through [`Pool::put_back`] only.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    address: SocketAddr,
    sender: SendRequest<Body>,
    idle_timeout: Duration,
}

impl Pool {
    /// Sends a request on an idle connection if `reuse` allows it and one exists, else on a new one.
    ///
    /// `link` meters what is written to a new connection, if it leaves over the link of the VM.
    /// A request of which nothing was written to an idle connection is sent on a new one.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        reuse: bool,
        link: Option<&Arc<Link>>,
    ) -> Result<(Response<hyper::body::Incoming>, PooledConnection), ResultCode> {
        let mut request = request;
        if reuse && let Some(mut connection) = self.take(address) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(connection.apply_keep_alive(response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ResultCode::AnswerLost),
                },
            }
        }
        let mut connection = connect(address, link).await.map_err(|error| {
            log::debug!("can't connect to {address}: {error}");
            ResultCode::TargetRefused
        })?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(connection.apply_keep_alive(response)),
            Err(error) if error.message().is_some() => Err(ResultCode::TargetRefused),
            Err(_) => Err(ResultCode::AnswerLost),
        }
    }

    /// Takes the idle connection that was used last.
    fn take(&self, address: SocketAddr) -> Option<PooledConnection> {
        let mut connections = self.0.borrow_mut();
        let idle = connections.idle.get_mut(&address)?;
        let now = Instant::now();
        idle.retain(|entry| !entry.sender.is_closed() && entry.expires_at > now);
        let at = idle.iter().rposition(|entry| entry.sender.is_ready())?;
        let entry = idle.remove(at);
        Some(PooledConnection { address, sender: entry.sender, idle_timeout: IDLE_TIMEOUT })
    }

    /// Returns whether an idle connection to an address is open.
    fn has_idle(&self, address: SocketAddr) -> bool {
        let connections = self.0.borrow();
        let mut idle = connections.idle.get(&address).into_iter().flatten();
        idle.any(|entry| !entry.sender.is_closed() && entry.sender.is_ready())
    }

    /// Returns whether an idle connection to an address is open, or a new one can be opened; the pool keeps that one.
    pub(crate) async fn check(&self, address: SocketAddr) -> bool {
        if self.has_idle(address) {
            return true;
        }
        match connect(address, None).await {
            Ok(connection) => {
                self.put_back(connection);
                true
            }
            Err(error) => {
                log::debug!("can't connect to {address}: {error}");
                false
            }
        }
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.0.borrow_mut().idle.remove(&address);
    }

    /// Returns a connection to the pool; its last response must have been read completely.
    pub(crate) fn put_back(&self, connection: PooledConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let expires_at = Instant::now() + connection.idle_timeout;
        let mut connections = self.0.borrow_mut();
        let idle = connections.idle.entry(connection.address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(Idle { sender: connection.sender, expires_at });
        }
    }
}

impl PooledConnection {
    fn apply_keep_alive<B>(mut self, response: Response<B>) -> (Response<B>, Self) {
        if let Some(seconds) = headers::keep_alive_seconds(response.headers()) {
            let stated = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
            self.idle_timeout = stated.min(IDLE_TIMEOUT);
        }
        (response, self)
    }
}

async fn connect(address: SocketAddr, link: Option<&Arc<Link>>) -> io::Result<PooledConnection> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, open(address, link)).await;
    let sender = opened.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(PooledConnection { address, sender, idle_timeout: IDLE_TIMEOUT })
}

async fn open(address: SocketAddr, link: Option<&Arc<Link>>) -> io::Result<SendRequest<Body>> {
    let stream = dial::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_READ_BUFFER);
    let (sender, connection) = builder
        .handshake(TokioIo::new(PacedStream::new(stream).with_link(link)))
        .await
        .map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} failed: {error}");
        }
    });
    Ok(sender)
}
