//! Planned stops of a node while callers still read their responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use kingcuplift_testing::{
    PIECE_BYTES, PlaintextSite, ScriptedTarget, TargetBehavior, desk_configuration, is_node_ready,
    put_revision, report_desk,
};
use rstest::rstest;
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// Time between SIGTERM and the forced end.
const GRACE: Duration = Duration::from_secs(6);
/// Time for which a stop serves on without any open response: callers and other nodes learn of it meanwhile.
const NOTICE: Duration = Duration::from_millis(3_000);
/// Time that the end of the process takes beyond what holds it up.
const STOP_SLACK: Duration = Duration::from_millis(1_000);
/// Time between a call and SIGTERM: a call that follows it is sent by a caller that can't know of the stop yet.
const CALL_PAUSE: Duration = Duration::from_millis(400);
/// Time limit of the calls that are read.
const TIME_LIMIT: Duration = Duration::from_secs(6);
/// Time in which a slow reader reads a whole response: longer than the notice.
const READ_TIME: Duration = Duration::from_millis(3_800);
/// Number of parts in which it does so.
const PARTS: u32 = 38;
/// Receive buffer of the callers, in bytes; a larger one would take a whole response from the node at once.
const RECEIVE_BUFFER: usize = 16_384;

/// The node that is stopped; the target is beside `node-1`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stopped {
    /// The node that the caller is connected to, which is also the one beside the target.
    Both,
    /// The node that the caller is connected to.
    Entry,
    /// The node beside the target; it refuses such calls once it stops, so the call is sent before.
    Target,
}

impl Stopped {
    fn entry(self) -> &'static str {
        match self {
            Self::Both => "node-1",
            Self::Entry | Self::Target => "node-2",
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Both | Self::Target => "node-1",
            Self::Entry => "node-2",
        }
    }
}

/// How a node passes a response on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Empty,
    Buffered,
    Streamed,
    /// Read ahead from the target and paced on the link, as a download.
    Paced,
}

impl Kind {
    fn length(self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Buffered => 3 * PIECE_BYTES,
            Self::Streamed | Self::Paced => 14 * PIECE_BYTES,
        }
    }

    fn behavior(self) -> TargetBehavior {
        match self.length() / PIECE_BYTES {
            0 => TargetBehavior::Raw(
                "HTTP/1.1 200 OK\r\nx-call: ID\r\nx-seal: s\r\ncontent-length: 0\r\n\r\n"
                    .to_owned(),
            ),
            count => TargetBehavior::InPieces { count, pause: Duration::ZERO },
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Paced => "/archive/1",
            _ => "/read/1",
        }
    }
}

/// Starts a site with a target beside `node-1`, and another node.
fn start_site(kind: Kind, is_link_scheduled: bool) -> (PlaintextSite, ScriptedTarget) {
    let target = ScriptedTarget::start(kind.behavior());
    let other = ScriptedTarget::start(TargetBehavior::Hang);
    let mut site = PlaintextSite::start(1, &[target.address(), other.address()]);
    let mut document = desk_configuration(3);
    for route in ["reads", "books"] {
        document["routes"][route]["timeout_ms"] = json!(TIME_LIMIT.as_millis() as u64);
    }
    if is_link_scheduled {
        document["routes"]["archive"] = json!({ "host": "a.example", "prefix": "/archive/",
            "semantics": "download", "timeout_ms": TIME_LIMIT.as_millis() as u64,
            "objective_ms": 800, "rank": 2, "attempts": 2, "service": "desk" });
    }
    for node in ["node-1", "node-2"] {
        site.set_grace(node, GRACE.as_secs_f64());
        if is_link_scheduled {
            site.set_node_setting(node, "link_mbps", json!(12));
        }
    }
    site.wait("a leader", |site| (put_revision(site, 0, &document).status == 200).then_some(()));
    site.wait("the target", |site| {
        let reported = report_desk(site, "node-1", &target, &json!({ "slots": 20 }));
        (reported.status == 200).then_some(())
    });
    for node in ["node-1", "node-2"] {
        site.wait("the first version", |site| is_node_ready(site, node).then_some(()));
    }
    std::thread::sleep(Duration::from_millis(500));
    (site, target)
}

/// Connects with a small receive buffer.
fn connect(address: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("the buffer is set");
    let address: SocketAddr = address.parse().expect("an address");
    socket.connect(&address.into()).expect("a connection");
    socket.set_read_timeout(Some(GRACE)).expect("the timeout is set");
    socket.into()
}

/// Opens a connection and sends a call.
fn send(address: &str, path: &str, time_limit: Duration) -> TcpStream {
    let mut stream = connect(address);
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-call: c-1\r\nx-left: {}\r\n\r\n",
        time_limit.as_millis()
    );
    stream.write_all(head.as_bytes()).expect("the call is sent");
    stream
}

/// Reads a response of `length` bytes slowly; returns its status and how many bytes of its body have come.
fn read_slowly(stream: &mut TcpStream, length: usize) -> (String, usize) {
    let mut bytes = Vec::new();
    let mut part = vec![0; (length / PARTS as usize).max(256)];
    let is_complete = |bytes: &[u8]| {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        end.is_some_and(|end| bytes.len() >= end + 4 + length)
    };
    while !is_complete(&bytes) {
        match stream.read(&mut part) {
            Ok(size) if size > 0 => bytes.extend_from_slice(&part[..size]),
            _ => break,
        }
        std::thread::sleep(READ_TIME / PARTS);
    }
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n").map_or(0, |end| end + 4);
    let status = String::from_utf8_lossy(&bytes[..bytes.len().min(12)]).into_owned();
    (status, bytes.len() - end)
}

/// Sends SIGTERM to a node and returns when.
fn stop(site: &PlaintextSite, node: &str) -> Instant {
    site.signal(node, "-TERM");
    Instant::now()
}

/// A node ended when it had handed its last response to its HTTP library, which still had most of it in memory.
#[rstest]
fn slow_reader_gets_whole_response(
    #[values(Kind::Empty, Kind::Buffered, Kind::Streamed, Kind::Paced)] kind: Kind,
    #[values(true, false)] is_link_scheduled: bool,
    #[values(Stopped::Both, Stopped::Entry, Stopped::Target)] stopped: Stopped,
) {
    if kind == Kind::Paced && !is_link_scheduled {
        return;
    }
    let (mut site, _target) = start_site(kind, is_link_scheduled);
    let address = site.addresses(stopped.entry()).callers.clone();
    let send = || send(&address, kind.path(), TIME_LIMIT);
    let sent_before = (stopped == Stopped::Target).then(send);
    if sent_before.is_some() {
        std::thread::sleep(CALL_PAUSE);
    }
    let stopped_at = stop(&site, stopped.name());
    let mut stream = sent_before.unwrap_or_else(|| {
        std::thread::sleep(CALL_PAUSE);
        send()
    });
    let (status, received) = read_slowly(&mut stream, kind.length());
    let read_after = stopped_at.elapsed();
    assert_eq!((status.as_str(), received), ("HTTP/1.1 200", kind.length()), "{read_after:?}");
    assert!(site.wait_exited(stopped.name()), "the node ends by itself");
    let ended_after = stopped_at.elapsed();
    assert!(ended_after < NOTICE.max(read_after) + STOP_SLACK, "{ended_after:?}, {read_after:?}");
}

/// A response that nobody reads holds up a stop until the deadline of its call, and no longer.
#[rstest]
fn stopped_reader_holds_until_deadline(
    #[values(Kind::Buffered, Kind::Streamed, Kind::Paced)] kind: Kind,
) {
    let time_limit = Duration::from_millis(3_200);
    let (mut site, _target) = start_site(kind, true);
    let address = site.addresses("node-1").callers.clone();
    let stopped_at = stop(&site, "node-1");
    std::thread::sleep(CALL_PAUSE);
    let sent_at = Instant::now();
    let _stream = send(&address, kind.path(), time_limit);
    assert!(site.wait_exited("node-1"), "the node ends by itself");
    let ended_at = Instant::now();
    let latest = (stopped_at + NOTICE).max(sent_at + time_limit) + STOP_SLACK;
    assert!(ended_at < latest, "{:?}", ended_at - stopped_at);
}

/// Connections without an open response don't hold up a stop.
#[test]
fn idle_connections_do_not_hold() {
    let (mut site, _target) = start_site(Kind::Buffered, true);
    let address = site.addresses("node-1").callers.clone();
    let _unused: Vec<TcpStream> = (0..20).map(|_| connect(&address)).collect();
    let mut used: Vec<TcpStream> =
        (0..5).map(|_| send(&address, Kind::Buffered.path(), TIME_LIMIT)).collect();
    for stream in &mut used {
        let mut body = vec![0; Kind::Buffered.length()];
        stream.read_exact(&mut body).expect("a response");
    }
    std::thread::sleep(Duration::from_millis(200));
    let stopped_at = stop(&site, "node-1");
    assert!(site.wait_exited("node-1"), "the node ends by itself");
    let ended_after = stopped_at.elapsed();
    assert!(ended_after < NOTICE + STOP_SLACK, "{ended_after:?}");
}
