//! A TCP proxy on loopback that injects network faults.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Interval at which the injected fault is checked while no bytes arrive.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a connection to the process behind the proxy.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Most bytes that are forwarded at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Fault that a [`Proxy`] injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// No fault.
    #[default]
    None,
    /// Each forwarded block of bytes is delayed.
    Delay(Duration),
    /// Bytes to the process are not forwarded until the fault ends.
    BlockInbound,
    /// Bytes from the process are not forwarded until the fault ends.
    BlockOutbound,
    /// Bytes are forwarded in neither direction, and no connection is opened.
    BlockAll,
}

impl ProxyFault {
    fn blocks(self, is_inbound: bool) -> bool {
        match self {
            Self::BlockInbound => is_inbound,
            Self::BlockOutbound => !is_inbound,
            Self::BlockAll => true,
            Self::None | Self::Delay(_) => false,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    fault: Mutex<ProxyFault>,
    /// Connections with a lower number are closed.
    reset_below: AtomicU64,
    /// Connections with a lower number no longer forward bytes.
    stalled_below: AtomicU64,
    /// Number of connections opened so far.
    opened: AtomicU64,
    is_stopped: AtomicBool,
}

/// A proxy in front of one address.
#[derive(Debug, Clone)]
pub struct Proxy {
    state: Arc<State>,
    upstream: SocketAddr,
}

impl Proxy {
    /// Starts a proxy from `listen` to `upstream`; its threads end soon after [`Self::stop`].
    pub fn start(listen: &str, upstream: &str) -> Self {
        let listener = TcpListener::bind(listen).expect("the address is free");
        listener.set_nonblocking(true).expect("the listener can be set to non-blocking");
        let upstream = upstream.parse().expect("an address");
        let proxy = Self { state: Arc::default(), upstream };
        let server = proxy.clone();
        std::thread::spawn(move || server.accept(&listener));
        proxy
    }

    /// Sets the fault for all connections, present and future.
    pub fn set_fault(&self, fault: ProxyFault) {
        *self.state.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Closes all present connections.
    pub fn reset_connections(&self) {
        let opened = self.state.opened.load(Ordering::Acquire);
        self.state.reset_below.store(opened, Ordering::Release);
    }

    /// Stops forwarding on all present connections without closing them; later ones work.
    pub fn stall_connections(&self) {
        let opened = self.state.opened.load(Ordering::Acquire);
        self.state.stalled_below.store(opened, Ordering::Release);
    }

    /// Stops the proxy.
    pub fn stop(&self) {
        self.state.is_stopped.store(true, Ordering::Release);
    }

    fn fault(&self) -> ProxyFault {
        *self.state.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.state.is_stopped.load(Ordering::Acquire)
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.is_stopped() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let proxy = self.clone();
                    std::thread::spawn(move || proxy.serve(stream));
                }
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn serve(&self, client: TcpStream) {
        while self.fault() == ProxyFault::BlockAll && !self.is_stopped() {
            std::thread::sleep(POLL_INTERVAL);
        }
        // If the process is down, the connection is refused, and dropping `client` closes the caller's connection.
        let Ok(upstream) = TcpStream::connect_timeout(&self.upstream, CONNECT_TIMEOUT) else {
            return;
        };
        let number = self.state.opened.fetch_add(1, Ordering::AcqRel);
        let pairs =
            [(client.try_clone(), upstream.try_clone(), true), (Ok(upstream), Ok(client), false)];
        for (from, to, is_inbound) in pairs {
            let (Ok(from), Ok(to)) = (from, to) else { return };
            let proxy = self.clone();
            std::thread::spawn(move || proxy.forward(from, to, is_inbound, number));
        }
    }

    /// Forwards bytes in one direction until either side closes.
    fn forward(&self, mut from: TcpStream, mut to: TcpStream, is_inbound: bool, number: u64) {
        let options_set =
            from.set_read_timeout(Some(POLL_INTERVAL)).and_then(|()| to.set_nodelay(true));
        let mut buffer = vec![0; BUFFER_BYTES];
        while options_set.is_ok() && !self.is_stopped() {
            if number < self.state.reset_below.load(Ordering::Acquire) {
                break;
            }
            let is_stalled = number < self.state.stalled_below.load(Ordering::Acquire);
            let fault = self.fault();
            if is_stalled || fault.blocks(is_inbound) {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            let size = match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(size) => size,
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    continue;
                }
                Err(_) => break,
            };
            if let ProxyFault::Delay(delay) = fault {
                std::thread::sleep(delay);
            }
            if to.write_all(&buffer[..size]).is_err() {
                break;
            }
        }
        // Either side may have closed already.
        let _from = from.shutdown(Shutdown::Both);
        let _to = to.shutdown(Shutdown::Both);
    }
}
