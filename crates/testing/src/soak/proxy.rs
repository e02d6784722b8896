//! A TCP proxy on loopback that harms what passes through it.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Time between looks at the harm while no bytes come.
const POLL: Duration = Duration::from_millis(20);
/// Longest time to reach the process behind the proxy.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Bytes that are passed on at a time.
const BUFFER: usize = 16 * 1024;

/// What a proxy does to the bytes that pass.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Nothing is harmed.
    #[default]
    None,
    /// All bytes come late.
    Delay(Duration),
    /// Bytes towards the process are held back until the harm ends.
    BlockInbound,
    /// Bytes from the process are held back until the harm ends.
    BlockOutbound,
    /// Nothing passes either way, and no connection opens.
    BlockAll,
}

impl ProxyFault {
    fn holds(self, inward: bool) -> bool {
        match self {
            Self::BlockInbound => inward,
            Self::BlockOutbound => !inward,
            Self::BlockAll => true,
            Self::None | Self::Delay(_) => false,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    harm: Mutex<ProxyFault>,
    /// Connections with a lower number are reset.
    reset_below: AtomicU64,
    /// Connections with a lower number pass nothing any more.
    silent_below: AtomicU64,
    opened: AtomicU64,
    is_over: AtomicBool,
}

/// A proxy before one address.
#[derive(Debug, Clone)]
pub struct Proxy {
    state: Arc<State>,
    to: SocketAddr,
}

impl Proxy {
    /// Starts a proxy; its threads end soon after [`Self::end`].
    pub fn start(at: &str, to: &str) -> Self {
        let listener = TcpListener::bind(at).expect("the front's address is free");
        listener.set_nonblocking(true).expect("a listener can be polled");
        let to = to.parse().expect("an address");
        let proxy = Self { state: Arc::default(), to };
        let server = proxy.clone();
        std::thread::spawn(move || server.accept(&listener));
        proxy
    }

    /// Sets the harm for all connections, present and later.
    pub fn set_fault(&self, fault: ProxyFault) {
        *self.state.harm.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Resets all present connections.
    pub fn reset_connections(&self) {
        let opened = self.state.opened.load(Ordering::Acquire);
        self.state.reset_below.store(opened, Ordering::Release);
    }

    /// Lets all present connections pass nothing any more; later ones work.
    pub fn stall_connections(&self) {
        let opened = self.state.opened.load(Ordering::Acquire);
        self.state.silent_below.store(opened, Ordering::Release);
    }

    /// Ends the proxy.
    pub fn stop(&self) {
        self.state.is_over.store(true, Ordering::Release);
    }

    fn harm(&self) -> ProxyFault {
        *self.state.harm.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_over(&self) -> bool {
        self.state.is_over.load(Ordering::Acquire)
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.is_over() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let proxy = self.clone();
                    std::thread::spawn(move || proxy.serve(stream));
                }
                Err(_) => std::thread::sleep(POLL),
            }
        }
    }

    fn serve(&self, near: TcpStream) {
        while self.harm() == ProxyFault::BlockAll && !self.is_over() {
            std::thread::sleep(POLL);
        }
        // A process that is down refuses; the near side then sees its connection end.
        let Ok(far) = TcpStream::connect_timeout(&self.to, CONNECT_LIMIT) else { return };
        let number = self.state.opened.fetch_add(1, Ordering::AcqRel);
        let pairs = [(near.try_clone(), far.try_clone(), true), (Ok(far), Ok(near), false)];
        for (from, to, inward) in pairs {
            let (Ok(from), Ok(to)) = (from, to) else { return };
            let proxy = self.clone();
            std::thread::spawn(move || proxy.copy(from, to, inward, number));
        }
    }

    /// Passes bytes on one way until either side ends.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, inward: bool, number: u64) {
        let set = from.set_read_timeout(Some(POLL)).and_then(|()| to.set_nodelay(true));
        let mut buffer = vec![0; BUFFER];
        while set.is_ok() && !self.is_over() {
            if number < self.state.reset_below.load(Ordering::Acquire) {
                break;
            }
            let is_silent = number < self.state.silent_below.load(Ordering::Acquire);
            let harm = self.harm();
            if is_silent || harm.holds(inward) {
                std::thread::sleep(POLL);
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
            if let ProxyFault::Delay(time) = harm {
                std::thread::sleep(time);
            }
            if to.write_all(&buffer[..size]).is_err() {
                break;
            }
        }
        // Either side may be gone already.
        let _near = from.shutdown(Shutdown::Both);
        let _far = to.shutdown(Shutdown::Both);
    }
}
