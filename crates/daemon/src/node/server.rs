//! HTTP/1.1 server for calls from callers and other nodes.
//!
//! When a caller closes its connection, hyper drops the future of the handler, which cancels the call.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::error::StartError;
use crate::link::listen;
use crate::node::body::Body;
use crate::node::paced_stream::{PacedStream, WriteLimit};
use crate::node::pool::Pool;
use crate::node::shared::NodeShared;
use crate::node::unwritten::{CallDeadline, ServedBody, UnwrittenResponses};

/// Time for which sent data may stay unacknowledged before a connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Data that the kernel takes before it is sent, in bytes; more would hide that the link or the reader is slow.
const MAX_UNSENT: u32 = 32 * 1024;
/// Delay after a failed accept, for instance when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Minimum size of a connection's read buffer, in bytes; hyper accepts no smaller one.
const MIN_READ_BUFFER: usize = 8 * 1024;

/// State that the handlers of one thread share.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) pool: Pool,
}

/// Serves connections on `address` with a handler, on this thread and `threads - 1` others.
pub(crate) fn serve_calls<H, F>(
    address: SocketAddr,
    threads: usize,
    shared: &Arc<NodeShared>,
    handler: H,
) -> Result<(), StartError>
where
    H: Fn(Worker, Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let unavailable = |source| StartError::Address { address, source };
    let listener = listen(address).map_err(unavailable)?;
    let listener = listener.into_std().map_err(unavailable)?;
    for _ in 1..threads {
        let other = listener.try_clone().map_err(unavailable)?;
        let (shared, handler) = (Arc::clone(shared), handler.clone());
        let run = move || run_call_thread(other, shared, handler);
        std::thread::Builder::new().name("calls".to_owned()).spawn(run).map_err(unavailable)?;
    }
    let listener = TcpListener::from_std(listener).map_err(unavailable)?;
    let worker = Worker { shared: Arc::clone(shared), pool: Pool::default() };
    tokio::task::spawn_local(accept(listener, worker, handler));
    Ok(())
}

fn run_call_thread<H, F>(listener: std::net::TcpListener, shared: Arc<NodeShared>, handler: H)
where
    H: Fn(Worker, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let built = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match built {
        Ok(runtime) => runtime,
        Err(error) => return log::error!("can't start the runtime of a call thread: {error}"),
    };
    runtime.block_on(LocalSet::new().run_until(async {
        match TcpListener::from_std(listener) {
            Ok(listener) => {
                accept(listener, Worker { shared, pool: Pool::default() }, handler).await;
            }
            Err(error) => log::error!("can't listen on a call thread: {error}"),
        }
    }));
}

/// Accepts connections until the process ends.
async fn accept<H, F>(listener: TcpListener, worker: Worker, handler: H)
where
    H: Fn(Worker, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (worker, handler) = (worker.clone(), Rc::clone(&handler));
                tokio::task::spawn_local(serve(stream, worker, handler));
            }
            Err(error) => {
                log::debug!("can't accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it ends; at a shutdown it closes after the response in progress.
async fn serve<H, F>(stream: TcpStream, worker: Worker, handler: Rc<H>)
where
    H: Fn(Worker, Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let schedules_link = worker.shared.schedules_link();
    if let Err(error) = set_socket_options(&stream, schedules_link) {
        return log::debug!("can't set the options of a connection: {error}");
    }
    let mut closing = worker.shared.closing();
    let view = worker.shared.view.load();
    let limits = view.as_ref().map(|view| view.limits().clone()).unwrap_or_default();
    drop(view);
    let write_limits = WriteLimits::default();
    let unwritten = UnwrittenResponses::default();
    let stream = PacedStream::new(stream)
        .with_link(Some(&worker.shared.link))
        .with_write_limit(Rc::clone(&write_limits.current))
        .with_unwritten(unwritten.clone());
    let service = service_fn(|request| {
        let guard = worker.shared.begin_response();
        let (response, unwritten) = (handler(worker.clone(), request), unwritten.clone());
        let write_limits = write_limits.clone();
        async move {
            let response = response.await;
            write_limits.begin_response(&response);
            Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, guard, unwritten)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // hyper counts the idle time before a request as time for its headers.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_size.as_usize().max(MIN_READ_BUFFER))
        .auto_date_header(false);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    // A connection that is opened during the shutdown gets one response, which closes it.
    let is_closing = *closing.borrow();
    write_limits.is_closing.set(is_closing);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_for_close(&mut closing), if !is_closing => {
            write_limits.begin_close();
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::trace!("connection failed: {error}");
    }
}

/// Times until which the reader of a connection may stop reading.
#[derive(Debug, Clone, Default)]
struct WriteLimits {
    /// Limit in effect.
    current: WriteLimit,
    /// Deadline of the call whose response is written; the limit in effect at a shutdown.
    call_deadline: Rc<Cell<Option<Instant>>>,
    is_closing: Rc<Cell<bool>>,
}

impl WriteLimits {
    fn begin_response(&self, response: &Response<Body>) {
        self.current.set(response.body().write_deadline());
        let deadline = response.extensions().get::<CallDeadline>();
        self.call_deadline.set(deadline.map(|deadline| deadline.0));
        if self.is_closing.get() {
            self.begin_close();
        }
    }

    /// Ends a response that nobody reads at the deadline of its call, so that it holds up a shutdown no longer.
    fn begin_close(&self) {
        self.is_closing.set(true);
        self.current.set(self.current.get().or(self.call_deadline.get()));
    }
}

fn set_socket_options(stream: &TcpStream, schedules_link: bool) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    if schedules_link {
        socket.set_tcp_notsent_lowat(MAX_UNSENT)?;
    }
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Waits until connections must be closed.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|is_closing| *is_closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}
