//! A target whose responses are set by the test.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::addresses::AddressPool;

/// How a [`ScriptedTarget`] handles a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetBehavior {
    /// Responds with success after a delay.
    Respond(Duration),
    /// Responds with success, but with the id of another call.
    WrongCallId,
    /// Responds with success, and sends a second copy of the response on the same connection after a delay.
    LateCopy(Duration),
    /// Sends a second copy of the previous response on the connection when the next request arrives, then responds to it.
    StaleCopy,
    /// Refuses the first request of a connection; sends that refusal again when the next request arrives, then runs it.
    StaleRefusal {
        /// Status of the refusal.
        status: &'static str,
        /// Headers of the refusal; `ID` stands for the id of the first call.
        headers: &'static str,
    },
    /// Responds with success, but without the seal header.
    NoSeal,
    /// Responds with 503 and the header that says that the request has not run.
    Shed,
    /// Closes the connection without a response.
    Disconnect,
    /// Sends these bytes, then `filler` the given number of times, and closes the connection.
    CutOff {
        /// Bytes before the filler; `ID` stands for the id of the call.
        start: &'static str,
        /// Bytes that are repeated.
        filler: &'static str,
        /// Number of repetitions.
        count: usize,
    },
    /// Sends these bytes and keeps the connection open for further requests; `ID` stands for the id of the call.
    Raw(String),
    /// Responds with success after a delay, but ends when a request whose head contains `text` arrives.
    CrashOn {
        /// Text in the head of the request, in lower case.
        text: &'static str,
        /// Time before each response.
        delay: Duration,
    },
    /// As `CrashOn`, but ends halfway through a response of this length, in bytes.
    CrashMidway {
        /// Text in the head of the request, in lower case.
        text: &'static str,
        /// Time before each other response.
        delay: Duration,
        /// Length of the response.
        length: usize,
    },
    /// Responds with success after a delay, which is a longer one for a request whose head contains `text`.
    SlowOn {
        /// Text in the head of the request, in lower case.
        text: &'static str,
        /// Time before the response to such a request.
        slow: Duration,
        /// Time before each other response.
        delay: Duration,
    },
    /// Responds with success; the body comes in pieces of [`PIECE_BYTES`], with a pause before each.
    InPieces {
        /// Number of pieces.
        count: usize,
        /// Time before each piece.
        pause: Duration,
    },
    /// Responds with success after a delay, but never to a request whose head contains `text`.
    HangOn {
        /// Text in the head of the request, in lower case.
        text: &'static str,
        /// Time before each response.
        delay: Duration,
    },
    /// Never responds; waits until the peer closes the connection.
    Hang,
    /// Sends these bytes, then `filler` again and again until the peer closes the connection.
    Endless {
        /// Bytes before the filler; `ID` stands for the id of the call.
        start: &'static str,
        /// Bytes that are repeated.
        filler: &'static str,
        /// Time between two repetitions.
        pause: Duration,
    },
}

/// Size of the pieces of [`TargetBehavior::InPieces`].
pub const PIECE_BYTES: usize = 40_000;
/// Repetitions of the filler of an endless response that are sent at a time if there is no pause.
const FILLER_BATCH: usize = 1_024;
/// Time after the first half of a response until the target ends.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// A request that a [`ScriptedTarget`] received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Request line and headers, in lower case.
    pub head: String,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// Address from which the peer has connected; tells connections from each other.
    pub peer: Option<SocketAddr>,
    /// Whether the target refused the request rather than running it.
    pub is_refused: bool,
    /// When the peer closed the connection, where it did so before a response.
    pub closed_at: Option<Instant>,
}

/// Connections of a target's current life, and the ends of its lives.
#[derive(Debug, Default)]
struct Lives {
    is_down: bool,
    streams: Vec<TcpStream>,
    crashes: Vec<Instant>,
}

/// An HTTP/1.1 target whose responses are set by the test.
#[derive(Debug, Clone)]
pub struct ScriptedTarget {
    address: SocketAddr,
    behavior: Arc<Mutex<TargetBehavior>>,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    lives: Arc<Mutex<Lives>>,
    headers: Arc<Mutex<String>>,
}

impl ScriptedTarget {
    /// Starts a target; its threads run until the test process exits.
    pub fn start(behavior: TargetBehavior) -> Self {
        let listener = TcpListener::bind(AddressPool::new().next()).expect("an address is free");
        let address = listener.local_addr().expect("the listener has an address");
        let target = Self {
            address,
            behavior: Arc::new(Mutex::new(behavior)),
            requests: Arc::default(),
            lives: Arc::default(),
            headers: Arc::default(),
        };
        target.accept(listener);
        target
    }

    /// Serves connections until the target ends.
    fn accept(&self, listener: TcpListener) {
        let server = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut lives = server.lives();
                if lives.is_down {
                    return;
                }
                lives.streams.extend(stream.try_clone());
                drop(lives);
                let server = server.clone();
                std::thread::spawn(move || {
                    let peer = stream.peer_addr().ok();
                    server.serve(stream);
                    // The connection stays open as long as there is a copy of its stream.
                    server.lives().streams.retain(|other| other.peer_addr().ok() != peer);
                });
            }
        });
    }

    /// Closes all connections and refuses new ones until [`Self::restart`].
    fn crash(&self) {
        let mut lives = self.lives();
        if std::mem::replace(&mut lives.is_down, true) {
            return;
        }
        lives.crashes.push(Instant::now());
        for stream in lives.streams.drain(..) {
            // The peer may have closed the connection already.
            let _shutdown = stream.shutdown(Shutdown::Both);
        }
        drop(lives);
        // Wakes the thread that accepts connections, which then closes the listener.
        let _woken = TcpStream::connect(self.address);
    }

    /// Accepts connections again after the target has ended.
    pub fn restart(&self) {
        let listener = TcpListener::bind(self.address).expect("the address is still free");
        self.lives().is_down = false;
        self.accept(listener);
    }

    /// Returns whether the target has ended and not been restarted.
    pub fn is_down(&self) -> bool {
        self.lives().is_down
    }

    /// Returns when the target ended, for each of its lives that are over.
    pub fn crashes(&self) -> Vec<Instant> {
        self.lives().crashes.clone()
    }

    fn lives(&self) -> MutexGuard<'_, Lives> {
        self.lives.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the behavior for requests that arrive from now on.
    pub fn set_behavior(&self, behavior: TargetBehavior) {
        *self.behavior.lock().unwrap_or_else(PoisonError::into_inner) = behavior;
    }

    /// Sets headers of the answers of [`TargetBehavior::Respond`] from now on; each line ends with CRLF.
    pub fn set_headers(&self, headers: &str) {
        *self.headers.lock().unwrap_or_else(PoisonError::into_inner) = headers.to_owned();
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut previous_id: Option<String> = None;
        let peer = stream.peer_addr().ok();
        while let Some(head) = read_head(&mut stream) {
            let index = {
                let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
                let arrived_at = Instant::now();
                requests.push(ReceivedRequest {
                    head: head.clone(),
                    arrived_at,
                    peer,
                    is_refused: false,
                    closed_at: None,
                });
                requests.len() - 1
            };
            let behavior = self.behavior.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let id = head.lines().find_map(|line| line.strip_prefix("x-call: ")).unwrap_or("");
            let written = match behavior {
                TargetBehavior::Respond(delay) => {
                    std::thread::sleep(delay);
                    let more = self.headers.lock().unwrap_or_else(PoisonError::into_inner).clone();
                    let headers = format!("x-call: {id}\r\nx-seal: s\r\n{more}");
                    respond(&mut stream, "200 OK", &headers)
                }
                TargetBehavior::CrashOn { text, .. } if head.contains(text) => {
                    return self.crash();
                }
                TargetBehavior::CrashMidway { text, length, .. } if head.contains(text) => {
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nx-call: {id}\r\nx-seal: s\r\ncontent-length: {length}\r\n\r\n"
                    );
                    let sent = stream.write_all(head.as_bytes());
                    let _sent = sent.and_then(|()| stream.write_all(&vec![b'a'; length / 2]));
                    std::thread::sleep(CRASH_DELAY);
                    return self.crash();
                }
                TargetBehavior::InPieces { count, pause } => {
                    let length = PIECE_BYTES * count;
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nx-call: {id}\r\nx-seal: s\r\ncontent-length: {length}\r\n\r\n"
                    );
                    let mut written = stream.write_all(head.as_bytes());
                    for _ in 0..count {
                        std::thread::sleep(pause);
                        written = written.and_then(|()| stream.write_all(&[b'a'; PIECE_BYTES]));
                    }
                    written
                }
                TargetBehavior::SlowOn { text, slow, delay } => {
                    std::thread::sleep(if head.contains(text) { slow } else { delay });
                    respond(&mut stream, "200 OK", &format!("x-call: {id}\r\nx-seal: s\r\n"))
                }
                TargetBehavior::HangOn { text, .. } if head.contains(text) => {
                    // The read returns when the peer closes the connection.
                    let _closed = stream.read(&mut [0]);
                    return self.record_close(index);
                }
                TargetBehavior::CrashOn { delay, .. }
                | TargetBehavior::CrashMidway { delay, .. }
                | TargetBehavior::HangOn { delay, .. } => {
                    std::thread::sleep(delay);
                    respond(&mut stream, "200 OK", &format!("x-call: {id}\r\nx-seal: s\r\n"))
                }
                TargetBehavior::WrongCallId => {
                    respond(&mut stream, "200 OK", "x-call: other\r\nx-seal: s\r\n")
                }
                TargetBehavior::LateCopy(delay) => {
                    let headers = format!("x-call: {id}\r\nx-seal: s\r\n");
                    if let Ok(mut copy) = stream.try_clone() {
                        let headers = headers.clone();
                        std::thread::spawn(move || {
                            std::thread::sleep(delay);
                            respond(&mut copy, "200 OK", &headers)
                        });
                    }
                    respond(&mut stream, "200 OK", &headers)
                }
                TargetBehavior::StaleCopy => {
                    let copied = match previous_id.replace(id.to_owned()) {
                        Some(previous) => {
                            let headers = format!("x-call: {previous}\r\nx-seal: s\r\n");
                            respond(&mut stream, "200 OK", &headers)
                        }
                        None => Ok(()),
                    };
                    let headers = format!("x-call: {id}\r\nx-seal: s\r\n");
                    copied.and_then(|()| respond(&mut stream, "200 OK", &headers))
                }
                TargetBehavior::StaleRefusal { status, headers } => {
                    let (first_id, is_first) = match &previous_id {
                        Some(first) => (first.clone(), false),
                        None => (previous_id.insert(id.to_owned()).clone(), true),
                    };
                    let answer = format!("x-call: {id}\r\nx-seal: s\r\n");
                    self.requests.lock().unwrap_or_else(PoisonError::into_inner)[index]
                        .is_refused = is_first;
                    let refused = respond(&mut stream, status, &headers.replace("ID", &first_id));
                    match is_first {
                        true => refused,
                        false => refused.and_then(|()| respond(&mut stream, "200 OK", &answer)),
                    }
                }
                TargetBehavior::NoSeal => {
                    respond(&mut stream, "200 OK", &format!("x-call: {id}\r\n"))
                }
                TargetBehavior::Shed => {
                    let headers = format!("x-call: {id}\r\nx-not-run: 1\r\n");
                    respond(&mut stream, "503 Service Unavailable", &headers)
                }
                TargetBehavior::Raw(text) => stream.write_all(text.replace("ID", id).as_bytes()),
                TargetBehavior::Disconnect => return,
                TargetBehavior::CutOff { start, filler, count } => {
                    let text = start.replace("ID", id) + &filler.repeat(count);
                    let _written = stream.write_all(text.as_bytes());
                    return;
                }
                TargetBehavior::Hang => {
                    // The read returns when the peer closes the connection.
                    let _closed = stream.read(&mut [0]);
                    return self.record_close(index);
                }
                TargetBehavior::Endless { start, filler, pause } => {
                    let start = start.replace("ID", id);
                    let batch = if pause.is_zero() { FILLER_BATCH } else { 1 };
                    let filler = filler.repeat(batch);
                    let mut written = stream.write_all(start.as_bytes());
                    while written.is_ok() {
                        std::thread::sleep(pause);
                        written = stream.write_all(filler.as_bytes());
                    }
                    return self.record_close(index);
                }
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Records that the peer closed the connection of a request before the response was complete.
    fn record_close(&self, index: usize) {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests[index].closed_at = Some(Instant::now());
    }
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str) -> std::io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\n{headers}content-length: 4\r\n\r\nbody");
    stream.write_all(text.as_bytes())
}

/// Reads a request and returns its head in lower case; the body is discarded.
///
/// Returns `None` when the connection ends first.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8_lossy(&bytes).to_ascii_lowercase().replace("\r\n", "\n");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}
