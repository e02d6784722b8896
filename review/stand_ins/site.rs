//! Starts a small deployment on loopback addresses, and the stand-ins for callers, endpoints and the operator.
//!
//! Standard library only. Processes are started with the command of `deploy/system.toml`; their settings are filled in
//! from the templates in `platform/`, as the platform does it. The product's own names for fields and calls are those
//! of `deploy/wire.toml`.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit status: the rule held.
pub const HELD: i32 = 0;
/// Exit status: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status: the case could not run.
pub const NOT_RUN: i32 = 2;

/// Time after which a case counts as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Interval of the status reports of an endpoint.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time from a crash of an endpoint until it is back.
pub const DOWN_TIME: Duration = Duration::from_secs(2);

/// Returns the time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Returns whether the disruption of the case takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.seconds(), text.as_ref());
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("record.txt can be written");
    }
}

/// Response to a request of a caller, an endpoint or the operator.
#[derive(Debug, Clone, Default)]
pub struct Response {
    /// Status; 0 if there was no complete head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub is_whole: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads bytes up to the end of a head; returns the head and what follows it.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut bytes = [0; 16_384];
    loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at]).into_owned();
            buffer.drain(..at + 4);
            return Some(head);
        }
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
        }
    }
}

pub fn header_lines(head: &str) -> Vec<(String, String)> {
    let lines = head.split("\r\n").skip(1).filter_map(|line| line.split_once(':'));
    lines.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect()
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// Fills the buffer up to `length` bytes; returns false if the connection ended before.
fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> bool {
    let mut bytes = [0; 65_536];
    while buffer.len() < length {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return false,
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
        }
    }
    true
}

/// Reads a body by its framing; returns it and whether it is complete.
pub fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &[(String, String)],
    ends_with_connection: bool,
) -> (Vec<u8>, bool) {
    let is_chunked =
        find(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let length = find(headers, "content-length").and_then(|value| value.parse::<usize>().ok());
    match (is_chunked, length) {
        (true, _) => read_chunks(stream, buffer),
        (false, Some(length)) => {
            let is_whole = fill(stream, buffer, length);
            let count = length.min(buffer.len());
            (buffer.drain(..count).collect(), is_whole)
        }
        (false, None) if ends_with_connection => {
            let mut bytes = [0; 65_536];
            loop {
                match stream.read(&mut bytes) {
                    Ok(0) => return (std::mem::take(buffer), true),
                    Err(_) => return (std::mem::take(buffer), false),
                    Ok(count) => buffer.extend_from_slice(&bytes[..count]),
                }
            }
        }
        (false, None) => (Vec::new(), true),
    }
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let mut at = 0;
        let line_end = loop {
            if let Some(end) = buffer[at..].windows(2).position(|window| window == b"\r\n") {
                break at + end;
            }
            at = buffer.len().saturating_sub(1);
            let wanted = buffer.len() + 1;
            if !fill(stream, buffer, wanted) {
                return (body, false);
            }
        };
        let line = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
        buffer.drain(..line_end + 2);
        let size = line.split(';').next().unwrap_or_default().trim();
        let Ok(size) = usize::from_str_radix(size, 16) else { return (body, false) };
        if !fill(stream, buffer, size + 2) {
            let count = size.min(buffer.len());
            body.extend(buffer.drain(..count));
            return (body, false);
        }
        body.extend(buffer.drain(..size));
        buffer.drain(..2);
        if size == 0 {
            return (body, true);
        }
    }
}

/// Reads one response.
pub fn read_response(stream: &mut TcpStream) -> Response {
    let mut buffer = Vec::new();
    let Some(head) = read_head(stream, &mut buffer) else { return Response::default() };
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let headers = header_lines(&head);
    let (body, is_whole) = read_body(stream, &mut buffer, &headers, true);
    Response { status, headers, body, is_whole }
}

/// Connects and writes one request; `headers` are whole lines.
pub fn send(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    time: Duration,
) -> std::io::Result<TcpStream> {
    let address: SocketAddr = address.parse().expect("an address");
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(time))?;
    stream.set_nodelay(true)?;
    let host = match headers.to_ascii_lowercase().contains("host:") {
        true => String::new(),
        false => format!("host: {address}\r\n"),
    };
    let length = match (method, body.len()) {
        ("GET", 0) => String::new(),
        (_, length) => format!("content-length: {length}\r\n"),
    };
    let head = format!("{method} {path} HTTP/1.1\r\n{host}{headers}{length}\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    Ok(stream)
}

/// Sends one request on a new connection and reads the response.
pub fn request(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    time: Duration,
) -> Response {
    match send(address, method, path, headers, body, time) {
        Ok(mut stream) => read_response(&mut stream),
        Err(_) => Response::default(),
    }
}

/// Addresses of one machine.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: String,
}

/// Ports, the same on all machines.
#[derive(Debug, Clone, Copy)]
struct Ports {
    inbound: u16,
    outbound: u16,
    readiness: u16,
    admin: u16,
    app: u16,
    first_internal: u16,
    last_internal: u16,
    metrics: u16,
}

const PORTS: Ports = Ports {
    inbound: 8_145,
    outbound: 8_141,
    readiness: 8_140,
    admin: 8_146,
    app: 8_147,
    first_internal: 7_660,
    last_internal: 7_675,
    metrics: 9_464,
};

const ZONES: [&str; 3] = ["colombo-a", "colombo-b", "colombo-c"];

/// A deployment: source members on `core-1` and so on, nodes on `sidecar-1` and so on.
pub struct Site {
    root: PathBuf,
    folder: PathBuf,
    pub record: Record,
    pub cores: Vec<Machine>,
    pub sidecars: Vec<Machine>,
    settings: BTreeMap<String, PathBuf>,
    running: BTreeMap<String, Child>,
}

/// Process ids of the running processes, to end them if the case itself is cut short.
static PROCESS_IDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that the case has started; returns whether it was sent.
fn send_signal(process_id: u32, signal: &str) -> bool {
    unsafe extern "C" {
        fn kill(process_id: i32, signal: i32) -> i32;
    }
    // The numbers are the same on x86-64 and arm64.
    let number = match signal {
        "KILL" => 9,
        "TERM" => 15,
        "CONT" => 18,
        "STOP" => 19,
        _ => panic!("unknown signal {signal}"),
    };
    let Ok(process_id) = i32::try_from(process_id) else { return false };
    // SAFETY: `kill` of the C library takes two numbers and touches no memory of this process.
    unsafe { kill(process_id, number) == 0 }
}

/// Ends all processes that the case has started and that may still run.
fn kill_all() {
    for id in PROCESS_IDS.lock().unwrap().drain(..) {
        send_signal(id, "KILL");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        kill_all();
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Prepares a deployment; `folder` is the folder of the case.
    pub fn new(case_folder: &Path, cores: usize, services: &[&str]) -> Self {
        let record = Record::create(&case_folder.join("record.txt"));
        thread::spawn({
            let record = record.clone();
            move || {
                thread::sleep(TIME_LIMIT + Duration::from_secs(5));
                record.line("the case took too long");
                kill_all();
                std::process::exit(NOT_RUN);
            }
        });
        let root = std::env::current_dir().expect("the folder is known");
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let base = free_base(cores + services.len());
        let machine = |kind: &str, number: usize, offset: usize| Machine {
            name: format!("{kind}-{number}"),
            zone: ZONES[(number - 1) % ZONES.len()].to_owned(),
            ip: format!("127.{}.{}.{}", base.0, base.1, offset + number),
        };
        let core_machines: Vec<Machine> = (1..=cores).map(|i| machine("core", i, 0)).collect();
        let sidecars: Vec<Machine> =
            (1..=services.len()).map(|i| machine("sidecar", i, cores)).collect();
        let mut site = Self {
            root,
            folder,
            record,
            cores: core_machines,
            sidecars,
            settings: BTreeMap::new(),
            running: BTreeMap::new(),
        };
        for i in 0..cores {
            let machine = site.cores[i].clone();
            site.write_core_settings(&machine, true);
        }
        for (i, service) in services.iter().enumerate() {
            let machine = site.sidecars[i].clone();
            site.write_node_settings(&machine, service);
        }
        site
    }

    fn seeds(&self) -> String {
        let seeds =
            self.cores.iter().take(3).map(|core| format!("\"{}:{}\"", core.ip, PORTS.admin));
        format!("[{}]", seeds.collect::<Vec<_>>().join(","))
    }

    fn fill(&self, template: &str, values: &[(&str, String)]) -> String {
        let path = self.root.join(template);
        let mut text = fs::read_to_string(&path).expect("the template can be read");
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}|json}}}}"), value);
            text = text.replace(&format!("{{{{{name}}}}}"), value.trim_matches('"'));
        }
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        text
    }

    fn write_core_settings(&mut self, machine: &Machine, is_first: bool) {
        let data = self.folder.join(format!("data-{}", machine.name));
        let quoted = |text: &str| format!("\"{text}\"");
        let text = self.fill(
            "platform/source.json",
            &[
                ("node_name", quoted(&machine.name)),
                ("zone", quoted(&machine.zone)),
                ("seeds", self.seeds()),
                ("internal_port_range.0", PORTS.first_internal.to_string()),
                ("internal_port_range.1", PORTS.last_internal.to_string()),
                ("data_dir", quoted(&data.to_string_lossy())),
                ("listen.admin", quoted(&format!("{}:{}", machine.ip, PORTS.admin))),
                ("ip", quoted(&machine.ip)),
                ("bootstrap", is_first.to_string()),
            ],
        );
        self.write_settings(&machine.name, &text);
    }

    fn write_node_settings(&mut self, machine: &Machine, service: &str) {
        let quoted = |text: &str| format!("\"{text}\"");
        let address = |port: u16| quoted(&format!("{}:{port}", machine.ip));
        let text = self.fill(
            "platform/node.json",
            &[
                ("node_name", quoted(&machine.name)),
                ("zone", quoted(&machine.zone)),
                ("seeds", self.seeds()),
                ("internal_port_range.0", PORTS.first_internal.to_string()),
                ("internal_port_range.1", PORTS.last_internal.to_string()),
                ("listen.outbound", address(PORTS.outbound)),
                ("listen.inbound", address(PORTS.inbound)),
                ("listen.admin", address(PORTS.admin)),
                ("listen.readiness", address(PORTS.readiness)),
                ("ip", quoted(&machine.ip)),
                ("service", quoted(service)),
                ("app_address", address(PORTS.app)),
                ("bounds.grace_s", "6".to_owned()),
                ("bounds.budget_ratio", "0.2".to_owned()),
                ("bounds.budget_window_s", "10".to_owned()),
                ("bounds.budget_slack", "60".to_owned()),
                ("bounds.warmup_factor", "1.5".to_owned()),
                ("bounds.warmup_slack", "5".to_owned()),
            ],
        );
        self.write_settings(&machine.name, &text);
    }

    fn write_settings(&mut self, name: &str, text: &str) {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, text).expect("the settings can be written");
        self.settings.insert(name.to_owned(), path);
    }

    /// Starts all processes.
    pub fn start_all(&mut self) {
        for name in self.settings.keys().cloned().collect::<Vec<_>>() {
            self.start(&name);
        }
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, name: &str) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("the log can be opened");
        let child = Command::new(self.root.join("target/release/kingcupliftd"))
            .arg("--settings")
            .arg(&self.settings[name])
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the handle can be copied"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else { self.stop(NOT_RUN, "kingcupliftd is not built") };
        self.record.line(format!("start {name}"));
        PROCESS_IDS.lock().unwrap().push(child.id());
        self.running.insert(name.to_owned(), child);
    }

    /// Empties the disk of a member that does not run; it starts as one that has lost its disk.
    pub fn wipe_core(&mut self, number: usize) {
        let machine = self.cores[number - 1].clone();
        let data = self.folder.join(format!("data-{}", machine.name));
        fs::remove_dir_all(&data).expect("the folder can be removed");
        self.record.line(format!("the disk of {} is lost", machine.name));
        self.write_core_settings(&machine, false);
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        self.record.line(format!("SIG{signal} to {name}"));
        assert!(send_signal(self.running[name].id(), signal), "the signal can be sent");
    }

    /// Waits until a process has ended; returns false if it runs longer.
    pub fn wait_ended(&mut self, name: &str, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let child = self.running.get_mut(name).expect("the process was started");
            if child.try_wait().expect("the process can be waited for").is_some() {
                self.forget(name);
                self.record.line(format!("{name} has ended"));
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    fn forget(&mut self, name: &str) -> Option<Child> {
        let child = self.running.remove(name)?;
        PROCESS_IDS.lock().unwrap().retain(|id| *id != child.id());
        Some(child)
    }

    /// Returns whether a process that was started still runs.
    pub fn is_running(&mut self, name: &str) -> bool {
        self.running.get_mut(name).is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Ends a process with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        self.record.line(format!("SIGKILL to {name}"));
        if let Some(mut child) = self.forget(name) {
            child.kill().expect("the process can be killed");
            child.wait().expect("the process can be waited for");
        }
    }

    pub fn outbound(&self, sidecar: usize) -> String {
        format!("{}:{}", self.sidecars[sidecar - 1].ip, PORTS.outbound)
    }

    pub fn admin(&self, sidecar: usize) -> String {
        format!("{}:{}", self.sidecars[sidecar - 1].ip, PORTS.admin)
    }

    pub fn app(&self, sidecar: usize) -> String {
        format!("{}:{}", self.sidecars[sidecar - 1].ip, PORTS.app)
    }

    pub fn operator(&self, core: usize) -> String {
        format!("{}:{}", self.cores[core - 1].ip, PORTS.admin)
    }

    /// Returns whether a node says that it is ready.
    pub fn is_ready(&self, sidecar: usize) -> bool {
        let address = format!("{}:{}", self.sidecars[sidecar - 1].ip, PORTS.readiness);
        request(&address, "GET", "/readyz", "", b"", Duration::from_secs(1)).status == 200
    }

    pub fn wait_ready(&mut self, sidecar: usize) {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready(sidecar) {
            if Instant::now() > until {
                self.stop(NOT_RUN, &format!("sidecar-{sidecar} isn't ready in time"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(format!("sidecar-{sidecar} is ready"));
    }

    /// Sends an order of the operator to the members in turn until one gives a clear response, for `time` at most.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
        time: Duration,
    ) -> Response {
        let until = Instant::now() + time;
        let mut last = Response::default();
        while Instant::now() < until {
            for core in 1..=self.cores.len() {
                let mut address = self.operator(core);
                for _redirect in 0..3 {
                    last = request(
                        &address,
                        method,
                        path,
                        headers,
                        body.as_bytes(),
                        Duration::from_secs(1),
                    );
                    match last.header("location") {
                        Some(location) if last.status == 307 => {
                            let url = location.trim_start_matches("http://");
                            address = url.split('/').next().unwrap_or_default().to_owned();
                        }
                        _ => break,
                    }
                }
                if last.status != 0 && last.status != 307 && last.status < 500 {
                    return last;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        last
    }

    /// Sends an order of the operator to one member, and follows redirects.
    pub fn order_once(
        &self,
        core: usize,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> Response {
        let mut address = self.operator(core);
        for _redirect in 0..3 {
            let time = Duration::from_secs(2);
            let response = request(&address, method, path, headers, body.as_bytes(), time);
            match response.header("location") {
                Some(location) if response.status == 307 => {
                    let url = location.trim_start_matches("http://");
                    address = url.split('/').next().unwrap_or_default().to_owned();
                }
                _ => return response,
            }
        }
        Response::default()
    }

    /// Returns the resident memory of a process in KiB; 0 if it does not run.
    pub fn resident_kb(&self, name: &str) -> u64 {
        let Some(child) = self.running.get(name) else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Puts a configuration in place; `routes` and `services` are JSON objects.
    pub fn configure(&mut self, after: u64, version: u64, services: &str, routes: &str) {
        let limits =
            r#"{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000}"#;
        let body = format!(
            r#"{{"version":{version},"services":{services},"routes":{routes},"limits":{limits}}}"#
        );
        let headers = format!("if-match: {after}\r\ncontent-type: application/json\r\n");
        let response = self.order("PUT", "/v1/revision", &headers, &body, Duration::from_secs(20));
        self.record.line(format!(
            "configuration {version}: {} {}",
            response.status,
            response.text()
        ));
        if !(200..300).contains(&response.status) {
            self.stop(NOT_RUN, "the configuration is not accepted");
        }
    }

    /// Ends all processes and the case.
    pub fn stop(&mut self, status: i32, reason: &str) -> ! {
        self.record.line(format!("exit {status}: {reason}"));
        println!("exit {status}: {reason}");
        for child in self.running.values_mut() {
            let _killed = child.kill();
            let _status = child.wait();
        }
        PROCESS_IDS.lock().unwrap().clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
        std::process::exit(status);
    }
}

/// Returns the middle bytes of a loopback network in which the ports are free.
fn free_base(count: usize) -> (u32, u32) {
    let id = std::process::id();
    for attempt in 0..200 {
        let base = (70 + (id + attempt) % 150, (id / 150 + attempt * 7) % 250);
        let ports = [
            PORTS.inbound,
            PORTS.outbound,
            PORTS.readiness,
            PORTS.admin,
            PORTS.app,
            PORTS.first_internal,
            PORTS.last_internal,
            PORTS.metrics,
        ];
        let is_free = (1..=count).all(|host| {
            let is_port_free = |port: &u16| {
                TcpListener::bind(format!("127.{}.{}.{host}:{port}", base.0, base.1)).is_ok()
            };
            ports.iter().all(is_port_free)
        });
        if is_free {
            return base;
        }
    }
    println!("exit {NOT_RUN}: no free addresses");
    std::process::exit(NOT_RUN);
}

/// A request that an endpoint received.
#[derive(Debug, Clone)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn id(&self) -> String {
        self.header("kingcuplift-attempt-id").unwrap_or_default().to_owned()
    }
}

/// How an endpoint answers a request: writes the response and returns whether the connection stays open.
pub type Answer = dyn Fn(&Received, &mut TcpStream) -> bool + Send + Sync;

/// An endpoint: serves requests at its address and reports its status to the node beside it.
#[derive(Clone)]
pub struct Endpoint {
    /// Id of the current lifetime.
    id: Arc<Mutex<String>>,
    name: String,
    pub service: String,
    pub address: String,
    admin: String,
    zone: String,
    born: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    state: Arc<Mutex<&'static str>>,
    reports: Arc<AtomicBool>,
    is_up: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Version of its software.
    version: Arc<Mutex<&'static str>>,
    /// End of the time in which the endpoint is cold.
    warm_at: Arc<Mutex<Option<Instant>>>,
    record: Record,
}

impl Endpoint {
    /// Starts an endpoint beside a node.
    pub fn start(
        site: &Site,
        sidecar: usize,
        id: &str,
        service: &str,
        answer: impl Fn(&Received, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let endpoint = Self {
            id: Arc::new(Mutex::new(id.to_owned())),
            name: id.to_owned(),
            service: service.to_owned(),
            address: site.app(sidecar),
            admin: site.admin(sidecar),
            zone: site.sidecars[sidecar - 1].zone.clone(),
            born: Arc::new(AtomicU64::new(wall_ms())),
            sequence: Arc::new(AtomicU64::new(0)),
            state: Arc::new(Mutex::new("ready")),
            reports: Arc::new(AtomicBool::new(true)),
            is_up: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
            version: Arc::new(Mutex::new("v1")),
            warm_at: Arc::default(),
            record: site.record.clone(),
        };
        let answer: Arc<Answer> = Arc::new(answer);
        endpoint.listen(&answer);
        endpoint
    }

    /// Accepts connections until the end of the current lifetime.
    fn listen(&self, answer: &Arc<Answer>) {
        let listener = TcpListener::bind(&self.address).expect("the address is free");
        listener.set_nonblocking(true).expect("the listener can be polled");
        let (endpoint, answer) = (self.clone(), Arc::clone(answer));
        thread::spawn(move || {
            while endpoint.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("the stream can block");
                let copy = stream.try_clone().expect("the handle can be copied");
                endpoint.streams.lock().unwrap().push(copy);
                let (endpoint, answer) = (endpoint.clone(), Arc::clone(&answer));
                thread::spawn(move || endpoint.serve(stream, &*answer));
            }
            drop(listener);
            endpoint.begin_lifetime(&answer);
        });
    }

    /// Ends the current lifetime: all connections are closed. Another one begins after [`DOWN_TIME`].
    pub fn crash(&self) {
        if self.is_up.swap(false, Ordering::SeqCst) {
            self.record.line(format!("{} crashes", self.id()));
            for stream in self.streams.lock().unwrap().drain(..) {
                let _closed = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn begin_lifetime(&self, answer: &Arc<Answer>) {
        thread::sleep(DOWN_TIME);
        let born = wall_ms();
        *self.id.lock().unwrap() = format!("{}-{born}", self.name);
        self.born.store(born, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.is_up.store(true, Ordering::SeqCst);
        self.record.line(format!("{} is back", self.id()));
        self.listen(answer);
        self.send_report(&self.next_report());
    }

    /// Returns the id of the current lifetime.
    pub fn id(&self) -> String {
        self.id.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream, answer: &Answer) {
        let _nodelay = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer) {
            let headers = header_lines(&head);
            let mut words = head.split(' ');
            let method = words.next().unwrap_or_default().to_owned();
            let path = words.next().unwrap_or_default().to_owned();
            let (body, is_whole) = read_body(&mut stream, &mut buffer, &headers, false);
            if !is_whole {
                return;
            }
            let received = Received { method, path, headers, body };
            if received.path == "/health" {
                if !self.answer_health(&mut stream) {
                    return;
                }
                continue;
            }
            let addressed = received.header("kingcuplift-target-instance");
            if addressed.is_some_and(|instance| instance != self.id()) {
                let id = received.id();
                self.record.line(format!("{} rejects {id}: it is for another endpoint", self.id()));
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nkingcuplift-not-executed: 1\r\n\
                     kingcuplift-attempt-id: {id}\r\ncontent-length: 0\r\n\r\n"
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !answer(&received, &mut stream) {
                let _closed = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer_health(&self, stream: &mut TcpStream) -> bool {
        let status = match *self.state.lock().unwrap() {
            "ready" => "200 OK",
            _ => "503 Service Unavailable",
        };
        let text = format!(
            "HTTP/1.1 {status}\r\nkingcuplift-instance-id: {}\r\nkingcuplift-warmup-ms: {}\r\ncontent-length: 0\r\n\r\n",
            self.id(),
            self.warmup_ms()
        );
        stream.write_all(text.as_bytes()).is_ok()
    }

    /// Returns the body of the next status report.
    pub fn next_report(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = *self.state.lock().unwrap();
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":17,"state":"{state}","warmup_ms":{},"sequence":{sequence},"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            self.version.lock().unwrap(),
            self.warmup_ms(),
            self.born.load(Ordering::SeqCst)
        )
    }

    /// Returns the body of a status report that lacks the field for the warm-up.
    pub fn next_report_without_warmup(&self) -> String {
        let report = self.next_report();
        let (start, rest) = report.split_once(r#""warmup_ms":"#).expect("the field is there");
        let (_, end) = rest.split_once(',').expect("another field follows");
        format!("{start}{end}")
    }

    /// Sets the version of the endpoint's software; v1 unless set.
    pub fn set_version(&self, version: &'static str) {
        *self.version.lock().unwrap() = version;
    }

    /// Sets the end of the time in which the endpoint is cold.
    pub fn set_warm_at(&self, at: Instant) {
        *self.warm_at.lock().unwrap() = Some(at);
    }

    /// Returns the time for which the endpoint stays cold, in steps of 50 ms.
    fn warmup_ms(&self) -> u128 {
        let warm_at = self.warm_at.lock().unwrap().unwrap_or_else(Instant::now);
        warm_at.saturating_duration_since(Instant::now()).as_millis().div_ceil(50) * 50
    }

    /// Sends a status report.
    pub fn send_report(&self, body: &str) -> u16 {
        let path = format!("/v1/instances/{}", self.id());
        let headers = "content-type: application/json\r\nconnection: close\r\n";
        let time = Duration::from_secs(1);
        request(&self.admin, "PUT", &path, headers, body.as_bytes(), time).status
    }

    /// Reports now, and every heartbeat from now on.
    pub fn report_regularly(&self) {
        let endpoint = self.clone();
        thread::spawn(move || {
            let mut last_status = 0;
            while endpoint.reports.load(Ordering::SeqCst) {
                if !endpoint.is_up.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                let status = endpoint.send_report(&endpoint.next_report());
                if status != last_status {
                    endpoint.record.line(format!("{} reports ready: {status}", endpoint.id()));
                    last_status = status;
                }
                // A report without a confirmation is sent again soon.
                let pause = if status == 200 { HEARTBEAT } else { HEARTBEAT / 5 };
                thread::sleep(pause);
            }
        });
    }

    /// Ends the regular reports.
    pub fn end_reports(&self) {
        self.reports.store(false, Ordering::SeqCst);
    }

    /// Sets the state in the reports and in the answers to status checks.
    pub fn set_state(&self, state: &'static str) {
        *self.state.lock().unwrap() = state;
    }

    /// Says that the endpoint leaves.
    pub fn deregister(&self) -> u16 {
        let path = format!("/v1/instances/{}", self.id());
        let body = format!(r#"{{"born":{}}}"#, self.born.load(Ordering::SeqCst));
        let headers = "content-type: application/json\r\nconnection: close\r\n";
        let time = Duration::from_secs(1);
        request(&self.admin, "DELETE", &path, headers, body.as_bytes(), time).status
    }
}

/// Returns the head of a successful response.
pub fn success_head(received: &Received, seal: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nkingcuplift-attempt-id: {}\r\nkingcuplift-response-seal: {seal}\r\n{framing}\r\n",
        received.id()
    )
}

/// Returns the headers of a caller's request.
pub fn caller_headers(id: &str, time: Duration) -> String {
    format!(
        "host: lessons.example\r\nkingcuplift-attempt-id: {id}\r\nkingcuplift-deadline-ms: {}\r\n",
        time.as_millis()
    )
}

/// Runs a case; a panic counts as a case that could not run.
pub fn run(case: impl FnOnce(&Path) + std::panic::UnwindSafe) -> ! {
    let folder = std::env::args().nth(1).expect("the folder of the case is the argument");
    let folder = PathBuf::from(folder);
    match std::panic::catch_unwind(|| case(&folder)) {
        Ok(()) | Err(_) => std::process::exit(NOT_RUN),
    }
}

pub const SERVICES: &str =
    r#"{"lessons":{"health":"/health","connections":120,"protocol":"h1","tls":false}}"#;
