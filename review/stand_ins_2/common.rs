//! A small site on loopback addresses for the scripts of this review: processes, a stand-in endpoint, an operator and
//! a plain HTTP client. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
/// Interval of the status reports of an endpoint (`heartbeat_s`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time after which an operator or an endpoint gives up on a request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

/// Ids of the processes that run; a script that gives up ends them.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script because the case could not run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    let running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for id in running.iter() {
        // SAFETY: a signal to a process that this script started and has not waited for.
        unsafe { kill(*id as i32, SIGKILL) };
    }
    std::process::exit(2);
}

/// Whether the disruption is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn add(&self, text: impl Into<String>) {
        let line = (self.now_ms(), text.into());
        self.lines.lock().unwrap().push(line);
    }

    /// Records and prints a line.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:>6} ms {text}", self.now_ms());
        self.add(text);
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines.iter().map(|(at, line)| format!("{at:>6} ms {line}\n")).collect();
        fs::write(path, text).unwrap_or_else(|error| give_up(&format!("record: {error}")));
    }
}

/// A response, as far as it was read.
#[derive(Debug, Clone, Default)]
pub struct Response {
    /// 0 if there was no status line.
    pub status: u16,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the whole body has arrived.
    pub is_complete: bool,
}

/// Reads one response; `pace` is the largest number of bytes taken at once and the pause after each.
pub fn read_response(
    stream: &mut TcpStream,
    until: Instant,
    pace: Option<(usize, Duration)>,
) -> Response {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; pace.map_or(64 * 1024, |(size, _)| size)];
    let mut response = Response::default();
    let mut body_at = None;
    let mut is_ended = false;
    loop {
        if body_at.is_none() {
            if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
                let mut lines = head.split("\r\n");
                let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
                response.status = status.unwrap_or(0);
                response.headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                body_at = Some(at + 4);
            }
        }
        if let Some(at) = body_at {
            let length = response.headers.get("content-length").and_then(|text| text.parse().ok());
            let is_chunked = response.headers.contains_key("transfer-encoding");
            let raw = &bytes[at..];
            match (is_chunked, length) {
                (true, _) => {
                    let (body, is_complete) = unchunk(raw);
                    if is_complete || is_ended {
                        response.body = body;
                        response.is_complete = is_complete;
                        return response;
                    }
                }
                (false, Some(length)) if raw.len() >= length || is_ended => {
                    response.is_complete = raw.len() >= length;
                    response.body = raw[..raw.len().min(length)].to_vec();
                    return response;
                }
                (false, None) if is_ended => {
                    response.is_complete = true;
                    response.body = raw.to_vec();
                    return response;
                }
                _ => {}
            }
        }
        if is_ended {
            return response;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            is_ended = true;
            continue;
        }
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.read(&mut chunk) {
            Ok(0) => is_ended = true,
            Ok(size) => bytes.extend_from_slice(&chunk[..size]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => is_ended = true,
        }
        if let Some((_, pause)) = pace {
            std::thread::sleep(pause);
        }
    }
}

fn unchunk(mut raw: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = raw.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let size = String::from_utf8_lossy(&raw[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (body, false) };
        raw = &raw[end + 2..];
        if size == 0 {
            return (body, raw.starts_with(b"\r\n"));
        }
        if raw.len() < size + 2 {
            body.extend_from_slice(&raw[..raw.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&raw[..size]);
        raw = &raw[size + 2..];
    }
}

/// Sends one request on a new connection and reads the response.
pub fn request(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> Response {
    let until = Instant::now() + timeout;
    let Ok(to) = address.parse::<SocketAddr>() else { return Response::default() };
    let Ok(mut stream) = TcpStream::connect_timeout(&to, timeout) else { return Response::default() };
    let head = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).is_err() {
        return Response::default();
    }
    read_response(&mut stream, until, None)
}

/// Connects with a small receive buffer.
pub fn connect_with_buffer(address: &str, bytes: i32) -> Option<TcpStream> {
    let to: SocketAddr = address.parse().ok()?;
    let SocketAddr::V4(to) = to else { return None };
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&to.port().to_be_bytes());
    raw[4..8].copy_from_slice(&to.ip().octets());
    // SAFETY: plain calls of the C library with buffers of the stated lengths.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, 4);
        (connect(fd, raw.as_ptr(), 16) == 0).then_some(stream)
    }
}

/// The processes of a site; they are killed when it is dropped.
pub struct Site {
    folder: PathBuf,
    cores: Vec<String>,
    nodes: Vec<String>,
    settings: HashMap<String, String>,
    running: HashMap<String, Child>,
    record: Record,
}

impl Site {
    /// Starts three processes of the role `source` and a node for each service in `services`.
    pub fn start(record: &Record, services: &[&str], link_mbps: f64) -> Self {
        let mut site = Self::prepare(record, services, link_mbps);
        site.settings_names().iter().for_each(|name| site.start_process(name));
        site
    }

    /// Writes the settings of all processes and starts none of them.
    pub fn prepare(record: &Record, services: &[&str], link_mbps: f64) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), wall_ms()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| give_up(&error.to_string()));
        let hosts = free_hosts(3 + services.len());
        let (cores, nodes) = hosts.split_at(3);
        let mut site = Self {
            folder,
            cores: cores.to_vec(),
            nodes: nodes.to_vec(),
            settings: HashMap::new(),
            running: HashMap::new(),
            record: record.clone(),
        };
        let seeds: Vec<String> = cores.iter().map(|host| format!("\"{host}:8146\"")).collect();
        let seeds = format!("[{}]", seeds.join(","));
        let zones = ["colombo-a", "colombo-b", "colombo-c"];
        for (i, host) in cores.iter().enumerate() {
            let name = format!("core-{}", i + 1);
            let data = site.folder.join(&name).display().to_string();
            for is_first in [true, false] {
                let text = render("platform/source.json", &[
                    ("node_name", quoted(&name)),
                    ("zone", quoted(zones[i % 3])),
                    ("seeds", seeds.clone()),
                    ("internal_port_range.0", "7660".to_owned()),
                    ("internal_port_range.1", "7675".to_owned()),
                    ("data_dir", quoted(&data)),
                    ("listen.admin", quoted(&format!("{host}:8146"))),
                    ("bootstrap", is_first.to_string()),
                    ("ip", quoted(host)),
                ]);
                let key = if is_first { name.clone() } else { format!("{name}-later") };
                site.write_settings(&key, &text);
            }
        }
        for (i, host) in nodes.iter().enumerate() {
            let name = format!("node-{}", i + 1);
            let at = |port: u16| quoted(&format!("{host}:{port}"));
            let text = render("platform/node.json", &[
                ("node_name", quoted(&name)),
                ("zone", quoted(zones[i % 3])),
                ("seeds", seeds.clone()),
                ("internal_port_range.0", "7660".to_owned()),
                ("internal_port_range.1", "7675".to_owned()),
                ("listen.outbound", at(8141)),
                ("listen.inbound", at(8145)),
                ("listen.admin", at(8146)),
                ("listen.readiness", at(8140)),
                ("ip", quoted(host)),
                ("service", quoted(services[i])),
                ("app_address", at(8147)),
                ("bounds.grace_s", "6".to_owned()),
                ("limits.link_mbps", link_mbps.to_string()),
                ("bounds.budget_ratio", "0.2".to_owned()),
                ("bounds.budget_window_s", "10".to_owned()),
                ("bounds.budget_slack", "60".to_owned()),
                ("bounds.warmup_factor", "1.5".to_owned()),
                ("bounds.warmup_slack", "5".to_owned()),
            ]);
            site.write_settings(&name, &text);
        }
        site
    }

    /// Returns the names of all processes, those of the role `source` first.
    fn settings_names(&self) -> Vec<String> {
        let names = self.settings.keys().filter(|name| !name.ends_with("-later"));
        let mut names: Vec<String> = names.cloned().collect();
        names.sort();
        names
    }

    fn write_settings(&mut self, name: &str, text: &str) {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, text).unwrap_or_else(|error| give_up(&error.to_string()));
        self.settings.insert(name.to_owned(), path.display().to_string());
    }

    /// Starts a process with the command of the deploy file.
    pub fn start_process(&mut self, name: &str) {
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log);
        let log = log.unwrap_or_else(|error| give_up(&error.to_string()));
        let errors = log.try_clone().unwrap_or_else(|error| give_up(&error.to_string()));
        let child = Command::new("target/release/kingcupliftd")
            .args(["--settings", &self.settings[name]])
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| give_up(&format!("kingcupliftd: {error}")));
        RUNNING.lock().unwrap().push(child.id());
        self.running.insert(name.to_owned(), child);
        // `bootstrap` is true at the first start only.
        if let Some(later) = self.settings.get(&format!("{name}-later")).cloned() {
            self.settings.insert(name.to_owned(), later);
        }
        self.record.say(format!("start {name}"));
    }

    /// Returns the names of the running processes, those of the role `source` first.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.running.keys().cloned().collect();
        names.sort();
        names
    }

    /// Kills a process (SIGKILL).
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.running.remove(name) {
            end(&mut child);
        }
        self.record.say(format!("SIGKILL {name}"));
    }

    pub fn signal(&self, name: &str, signal: i32) {
        let pid = self.running[name].id() as i32;
        // SAFETY: a signal to a process that this script started.
        let sent = unsafe { kill(pid, signal) };
        self.record.say(format!("signal {signal} to {name}: {sent}"));
    }

    /// Returns whether a process has ended.
    pub fn has_ended(&mut self, name: &str) -> bool {
        let Some(child) = self.running.get_mut(name) else { return true };
        let has_ended = matches!(child.try_wait(), Ok(Some(_)));
        if has_ended {
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
        has_ended
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Address of a node for requesters.
    pub fn outbound(&self, node: usize) -> String {
        format!("{}:8141", self.nodes[node - 1])
    }

    /// Address of a node for the status reports of its endpoint.
    pub fn admin(&self, node: usize) -> String {
        format!("{}:8146", self.nodes[node - 1])
    }

    /// Address of the endpoint beside a node.
    pub fn app(&self, node: usize) -> String {
        format!("{}:8147", self.nodes[node - 1])
    }

    pub fn is_ready(&self, node: usize) -> bool {
        let address = format!("{}:8140", self.nodes[node - 1]);
        request(&address, "GET", "/readyz", "Host: ready\r\n", b"", REPLY_TIMEOUT).status == 200
    }

    pub fn core(&self, number: usize) -> String {
        format!("{}:8146", self.cores[number - 1])
    }

    /// Sends an order to one process of the role `source` after the other until it is accepted.
    pub fn order(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> u16 {
        let limit = Duration::from_secs(20);
        let status = self.order_within(method, path, headers, body, limit);
        status.unwrap_or_else(|| give_up(&format!("{method} {path} was not accepted")))
    }

    /// Does the same, for a limited time.
    pub fn order_within(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
        limit: Duration,
    ) -> Option<u16> {
        let until = Instant::now() + limit;
        let mut number = 0;
        while Instant::now() < until {
            number = number % self.cores.len() + 1;
            let mut address = self.core(number);
            for _ in 0..3 {
                let headers = format!("Host: {address}\r\n{headers}");
                let response = request(&address, method, path, &headers, body, REPLY_TIMEOUT);
                match response.status {
                    307 => {
                        let location = response.headers.get("location").cloned().unwrap_or_default();
                        let host = location.trim_start_matches("http://").split('/').next();
                        address = host.unwrap_or_default().to_owned();
                    }
                    200 | 201 => {
                        self.record.say(format!("operator: {method} {path} -> {}", response.status));
                        return Some(response.status);
                    }
                    status => {
                        self.record.add(format!("operator: {method} {path} at {address} -> {status}"));
                        break;
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Waits until a condition holds.
    pub fn wait(&self, what: &str, limit: Duration, condition: impl Fn(&Self) -> bool) {
        let until = Instant::now() + limit;
        while !condition(self) {
            if Instant::now() > until {
                give_up(&format!("no {what} within {limit:?}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        self.record.say(format!("seen: {what}"));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.running.values_mut().for_each(end);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

/// Kills a process and waits for its end.
fn end(child: &mut Child) {
    RUNNING.lock().unwrap().retain(|id| *id != child.id());
    let _ = child.kill();
    let _ = child.wait();
}

fn quoted(text: &str) -> String {
    format!("\"{text}\"")
}

/// Fills in a template of the project; values are JSON.
fn render(path: &str, values: &[(&str, String)]) -> String {
    let mut text = fs::read_to_string(path).unwrap_or_else(|error| give_up(&format!("{path}: {error}")));
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}|json}}}}"), value);
        text = text.replace(&format!("{{{{{name}}}}}"), value.trim_matches('"'));
    }
    if text.contains("{{") {
        give_up(&format!("{path} has a placeholder that this stand-in doesn't know"));
    }
    text
}

/// Returns loopback hosts on which the ports of a site are free.
fn free_hosts(count: usize) -> Vec<String> {
    // Scripts that run at the same time begin far apart.
    let seed = u64::from(std::process::id()) * 7_919;
    let mut hosts = Vec::new();
    let mut number = seed % 60_000;
    while hosts.len() < count {
        number = (number + 1) % 60_000;
        let host = format!("127.{}.{}.{}", 20 + number / 2_500, number / 250 % 10 + 1, number % 250 + 1);
        let ports = [8140, 8141, 8145, 8146, 8147, 7660, 7675, 9464];
        if ports.iter().all(|port| TcpListener::bind((host.as_str(), *port)).is_ok()) {
            hosts.push(host);
        }
    }
    hosts
}

/// A request that reached an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub line: String,
}

/// A stand-in endpoint beside a node.
#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: String,
    pub admin: String,
    pub born: u64,
    pub work: Duration,
    pub slots: usize,
    pub state: Arc<EndpointState>,
    record: Record,
}

#[derive(Default)]
pub struct EndpointState {
    pub sequence: AtomicU64,
    /// Whether the endpoint has begun to leave; it serves on until it has exited.
    pub is_leaving: AtomicBool,
    pub has_exited: AtomicBool,
    /// Whether the endpoint sends no reports by itself.
    pub is_quiet: AtomicBool,
    /// Whether the endpoint is cut off: what arrives meanwhile is held up, and lost as its sender gives up.
    pub is_cut: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    busy: AtomicUsize,
    streams: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    /// Starts an endpoint; it reports to the node at `admin` from [`Self::begin_reports`] on.
    pub fn start(record: &Record, id: &str, service: &str, address: &str, admin: &str) -> Self {
        Self::start_with_work(record, id, service, address, admin, Duration::from_millis(80))
    }

    /// Starts an endpoint that works on each request for a time.
    pub fn start_with_work(
        record: &Record,
        id: &str,
        service: &str,
        address: &str,
        admin: &str,
        work: Duration,
    ) -> Self {
        let endpoint = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: address.to_owned(),
            admin: admin.to_owned(),
            born: wall_ms(),
            work,
            slots: 17,
            state: Arc::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind(address).unwrap_or_else(|error| give_up(&error.to_string()));
        let server = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.state.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                server.state.streams.lock().unwrap().extend(stream.try_clone());
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        endpoint
    }

    /// Ends the endpoint, as an exit of its process does.
    pub fn exit(&self) {
        self.state.has_exited.store(true, Ordering::SeqCst);
        for stream in self.state.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts connections, which then closes the listener.
        let _ = TcpStream::connect(&self.address);
        self.record.say(format!("endpoint {} has exited", self.id));
    }

    /// Returns the body of the next status report.
    pub fn report(&self, state: &str) -> String {
        let sequence = self.state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"colombo-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"warmup_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.slots, self.born
        )
    }

    /// Sends a status report and returns its status; 0 if there was no answer within a second.
    pub fn send_report(&self, body: &str) -> u16 {
        let path = format!("/v1/instances/{}", self.id);
        let headers = format!("Host: {}\r\nContent-Type: application/json\r\n", self.admin);
        request(&self.admin, "PUT", &path, &headers, body.as_bytes(), REPLY_TIMEOUT).status
    }

    /// Sends `DELETE` once and returns the status; 0 if there was no answer within a second.
    pub fn send_delete(&self) -> u16 {
        let path = format!("/v1/instances/{}", self.id);
        let headers = format!("Host: {}\r\nContent-Type: application/json\r\n", self.admin);
        let body = format!("{{\"born\":{}}}", self.born);
        request(&self.admin, "DELETE", &path, &headers, body.as_bytes(), REPLY_TIMEOUT).status
    }

    /// Reports `ready` every heartbeat until the endpoint leaves.
    pub fn begin_reports(&self) {
        let endpoint = self.clone();
        std::thread::spawn(move || {
            loop {
                let state = &endpoint.state;
                if state.is_quiet.load(Ordering::SeqCst) {
                    return;
                }
                if state.is_leaving.load(Ordering::SeqCst) || state.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                let status = endpoint.send_report(&endpoint.report("ready"));
                endpoint.record.add(format!("{} reports ready -> {status}", endpoint.id));
                std::thread::sleep(HEARTBEAT);
            }
        });
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some((head, body_length)) = read_request(&mut stream) {
            if self.state.is_cut.load(Ordering::SeqCst) {
                while self.state.is_cut.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(10));
                }
                return;
            }
            if self.state.has_exited.load(Ordering::SeqCst) {
                return;
            }
            let line = head.lines().next().unwrap_or_default().to_owned();
            let header = |name: &str| {
                let mut lines = head.lines();
                lines.find_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
                })
            };
            let is_leaving = self.state.is_leaving.load(Ordering::SeqCst);
            let own = format!("Kingcuplift-Instance-Id: {}\r\n", self.id);
            let id = header("kingcuplift-attempt-id");
            let echo = id.as_ref().map(|id| format!("Kingcuplift-Attempt-Id: {id}\r\n"));
            let echo = echo.unwrap_or_default();
            let refuse = |status: &str, more: &str| {
                format!("HTTP/1.1 {status}\r\n{own}{echo}{more}Content-Length: 0\r\n\r\n").into_bytes()
            };
            let expected = header("kingcuplift-target-instance");
            let not_run = "Kingcuplift-Not-Executed: 1\r\n";
            let answer = if line.starts_with("GET /health ") {
                refuse(if is_leaving { "503 Service Unavailable" } else { "200 OK" }, "")
            } else if expected.is_some_and(|expected| expected != self.id) {
                refuse("421 Misdirected Request", not_run)
            } else if id.is_none() {
                refuse("400 Bad Request", not_run)
            } else if self.state.busy.fetch_add(1, Ordering::SeqCst) >= self.slots {
                self.state.busy.fetch_sub(1, Ordering::SeqCst);
                refuse("503 Service Unavailable", not_run)
            } else {
                let id = id.unwrap_or_default();
                let run = Run { at: Instant::now(), id: id.clone(), line: line.clone() };
                self.state.runs.lock().unwrap().push(run);
                self.record.add(format!("{} runs {id} {line} ({body_length} bytes)", self.id));
                std::thread::sleep(self.work);
                self.state.busy.fetch_sub(1, Ordering::SeqCst);
                let size = line.split("size-").nth(1).and_then(|rest| {
                    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
                });
                let size: usize = size.unwrap_or(4);
                let leaving = if is_leaving { "Connection: close\r\n" } else { "" };
                let mut answer = format!(
                    "HTTP/1.1 200 OK\r\n{echo}Kingcuplift-Response-Seal: s.{id}\r\n{leaving}\
                     Content-Length: {size}\r\n\r\n"
                )
                .into_bytes();
                answer.resize(answer.len() + size, b'a');
                answer
            };
            if stream.write_all(&answer).is_err() || (is_leaving && answer.len() > 200) {
                return;
            }
        }
    }
}

/// Reads a request; returns its head and the length of its body.
fn read_request(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8_lossy(&bytes).replace("\r\n", "\n");
    let find = |name: &str| {
        head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        })
    };
    if find("transfer-encoding").is_some() {
        let mut total = 0;
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                match stream.read(&mut byte) {
                    Ok(1) => line.push(byte[0]),
                    _ => return None,
                }
            }
            let size = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk).ok()?;
            total += size;
            if size == 0 {
                return Some((head, total));
            }
        }
    }
    let length: usize = find("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, length))
}

/// What a requester saw of one request.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    pub sent: Instant,
    pub status: u16,
    pub is_complete: bool,
    pub has_seal: bool,
}
