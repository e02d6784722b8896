//! Takes HTTP/1.1 connections of callers and other nodes.
//!
//! A caller that closes its connection ends its call: the library drops the handler's future then.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

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
use crate::node::pool::Pool;
use crate::node::shared::NodeShared;

/// Time for which sent bytes may stay unacknowledged before a connection counts as lost.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for instance when no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Read buffer of a connection at least, in bytes; the library takes no less.
const LEAST_BUFFER: usize = 8 * 1024;

/// What the handlers of one thread share.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) pool: Pool,
}

/// Takes connections on `address` with a handler, on this thread and `threads - 1` others.
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
        let run = move || run_thread(other, shared, handler);
        std::thread::Builder::new().name("calls".to_owned()).spawn(run).map_err(unavailable)?;
    }
    let listener = TcpListener::from_std(listener).map_err(unavailable)?;
    let worker = Worker { shared: Arc::clone(shared), pool: Pool::default() };
    tokio::task::spawn_local(accept(listener, worker, handler));
    Ok(())
}

fn run_thread<H, F>(listener: std::net::TcpListener, shared: Arc<NodeShared>, handler: H)
where
    H: Fn(Worker, Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let built = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match built {
        Ok(runtime) => runtime,
        Err(error) => return log::error!("a thread for calls can't start: {error}"),
    };
    runtime.block_on(LocalSet::new().run_until(async {
        match TcpListener::from_std(listener) {
            Ok(listener) => {
                accept(listener, Worker { shared, pool: Pool::default() }, handler).await;
            }
            Err(error) => log::error!("a thread for calls can't listen: {error}"),
        }
    }));
}

/// Takes connections as long as the process is there.
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
                log::debug!("a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it ends; at a stop it ends with its next answer.
async fn serve<H, F>(stream: TcpStream, worker: Worker, handler: Rc<H>)
where
    H: Fn(Worker, Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    if let Err(error) = prepare(&stream) {
        return log::debug!("a connection ended at once: {error}");
    }
    let mut closing = worker.shared.closing();
    let view = worker.shared.view.load();
    let limits = view.as_ref().map(|view| view.limits().clone()).unwrap_or_default();
    drop(view);
    let service = service_fn(move |request| {
        let answer = handler(worker.clone(), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // The library counts idle time as time for headers.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_size.as_usize().max(LEAST_BUFFER))
        .auto_date_header(false);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopped(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::trace!("a connection ended: {error}");
    }
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

/// Waits until connections are to be closed.
async fn stopped(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|is_closing| *is_closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}
