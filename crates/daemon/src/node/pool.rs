//! Connections for calls, kept open for the next call. A pool belongs to one thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use kingcuplift_core::ResultCode;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::node::body::Body;
use crate::node::headers;

/// Longest time to open a connection; the other end is on this VM or in the same region.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may stay unacknowledged before a connection counts as lost.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_000);
/// Time for which an unused connection is kept, unless the other side says less.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Time before the other side's limit at which an unused connection is given up.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Unused connections that are kept for one address.
const MAX_IDLE: usize = 32;
/// Read buffer of a connection at most, in bytes.
const MAX_BUFFER: usize = 64 * 1024;

/// An unused connection.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    until: Instant,
}

/// Unused connections by address.
#[derive(Debug, Default)]
struct Connections {
    idle: HashMap<SocketAddr, Vec<Idle>>,
}

/// Connections for calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool(Rc<RefCell<Connections>>);

/// A connection in use; it goes back to the pool by [`Lease::give_back`] only.
#[derive(Debug)]
pub(crate) struct Lease {
    address: SocketAddr,
    sender: SendRequest<Body>,
    keep: Duration,
}

impl Pool {
    /// Sends a request on an unused connection, or on a new one.
    ///
    /// A request that can't have left this process is sent again on a new connection.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        reuse: bool,
    ) -> Result<(Response<hyper::body::Incoming>, Lease), ResultCode> {
        let mut request = request;
        if reuse && let Some(mut lease) = self.take(address) {
            match lease.sender.try_send_request(request).await {
                Ok(response) => return Ok(lease.answered(response)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ResultCode::AnswerLost),
                },
            }
        }
        let mut lease = connect(address).await.map_err(|error| {
            log::debug!("no connection to {address}: {error}");
            ResultCode::TargetRefused
        })?;
        match lease.sender.try_send_request(request).await {
            Ok(response) => Ok(lease.answered(response)),
            Err(error) if error.message().is_some() => Err(ResultCode::TargetRefused),
            Err(_) => Err(ResultCode::AnswerLost),
        }
    }

    /// Takes the connection that was used last.
    fn take(&self, address: SocketAddr) -> Option<Lease> {
        let mut connections = self.0.borrow_mut();
        let idle = connections.idle.get_mut(&address)?;
        let now = Instant::now();
        idle.retain(|held| !held.sender.is_closed() && held.until > now);
        let at = idle.iter().rposition(|held| held.sender.is_ready())?;
        let held = idle.remove(at);
        Some(Lease { address, sender: held.sender, keep: IDLE_LIMIT })
    }

    /// Closes all unused connections to an address.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.0.borrow_mut().idle.remove(&address);
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn give_back(&self, lease: Lease) {
        if lease.sender.is_closed() {
            return;
        }
        let until = Instant::now() + lease.keep;
        let mut connections = self.0.borrow_mut();
        let idle = connections.idle.entry(lease.address).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(Idle { sender: lease.sender, until });
        }
    }
}

impl Lease {
    fn answered<B>(mut self, response: Response<B>) -> (Response<B>, Self) {
        if let Some(seconds) = headers::keep_alive_seconds(response.headers()) {
            let stated = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
            self.keep = stated.min(IDLE_LIMIT);
        }
        (response, self)
    }
}

async fn connect(address: SocketAddr) -> io::Result<Lease> {
    let opened = tokio::time::timeout(CONNECT_LIMIT, open(address)).await;
    let sender = opened.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(Lease { address, sender, keep: IDLE_LIMIT })
}

async fn open(address: SocketAddr) -> io::Result<SendRequest<Body>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_BUFFER);
    let (sender, connection) =
        builder.handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection to {address} ended: {error}");
        }
    });
    Ok(sender)
}
