//! A site without certificates and without a list: members find each other through seeds.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::addresses::AddressPool;
use crate::process::spawn;

/// Longest time that anything in a site may take.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time between looks.
const POLL: Duration = Duration::from_millis(50);
/// Availability zones, given to processes in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Port of every source member for links, each on its own loopback address.
const SOURCE_PORT: u16 = 7_660;
/// Port of every relay for links.
const RELAY_PORT: u16 = 7_661;
/// Port of every member's operators' interface.
const HTTP_PORT: u16 = 8_146;
/// Port of every relay's health.
const RELAY_HTTP_PORT: u16 = 9_464;

/// An answer, as read from the socket.
#[derive(Debug, Clone, Default)]
pub struct RawResponse {
    /// Status; 0 when the connection ended without an answer.
    pub status: u16,
    /// Head of the answer, in lower case.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl RawResponse {
    /// Returns the body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Reads an answer; one that has not come whole has status 0.
    pub(crate) fn parse(bytes: &[u8]) -> Self {
        parse(bytes)
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// Addresses of a node.
#[derive(Debug, Clone)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: String,
    /// For targets.
    pub admin: String,
    /// For the question whether it is ready.
    pub ready: String,
}

/// An address at which others reach a process, in front of the one that it listens on.
#[derive(Debug, Clone)]
pub struct ProxiedAddress {
    /// Name of the process.
    pub process: String,
    /// Address that other processes are told.
    pub advertised: String,
    /// Address that the process listens on.
    pub listen: String,
}

/// Running processes; they are killed when the site is dropped.
#[derive(Debug)]
pub struct PlaintextSite {
    folder: TempDir,
    hosts: Vec<String>,
    /// Hosts at which others reach the members; the members' own ones unless there are fronts.
    known_hosts: Vec<String>,
    is_proxied: bool,
    proxied_addresses: Vec<ProxiedAddress>,
    nodes: BTreeMap<String, NodeAddresses>,
    settings: BTreeMap<String, String>,
    running: BTreeMap<String, Child>,
}

impl PlaintextSite {
    /// Starts members and nodes; each target in `targets` gets a node.
    pub fn start(members: usize, targets: &[SocketAddr]) -> Self {
        Self::start_with(members, targets, false)
    }

    /// Starts members and nodes that reach each other through [`Self::fronts`], which the test must serve.
    pub fn start_proxied(members: usize, targets: &[SocketAddr]) -> Self {
        Self::start_with(members, targets, true)
    }

    fn start_with(members: usize, targets: &[SocketAddr], is_proxied: bool) -> Self {
        let draw = || (0..members).map(|_| AddressPool::new().host().to_owned()).collect();
        let hosts: Vec<String> = draw();
        let known_hosts = if is_proxied { draw() } else { hosts.clone() };
        let mut site = Self {
            folder: tempfile::tempdir().expect("a temporary folder"),
            hosts,
            known_hosts,
            is_proxied,
            proxied_addresses: Vec::new(),
            nodes: BTreeMap::new(),
            settings: BTreeMap::new(),
            running: BTreeMap::new(),
        };
        for number in 1..=members {
            let settings = site.member(number, true);
            site.write_settings(&format!("core-{number}"), &settings);
        }
        for (i, target) in targets.iter().enumerate() {
            let settings = site.node(i + 1, *target);
            site.write_settings(&format!("node-{}", i + 1), &settings);
        }
        for name in site.settings.keys().cloned().collect::<Vec<_>>() {
            site.start_process(&name);
        }
        site
    }

    /// Returns the addresses in front of the processes' own.
    pub fn proxied_addresses(&self) -> &[ProxiedAddress] {
        &self.proxied_addresses
    }

    /// Returns the names of all processes.
    pub fn names(&self) -> Vec<String> {
        self.settings.keys().cloned().collect()
    }

    /// Returns whether a process has been started and not been waited for.
    pub fn is_started(&self, name: &str) -> bool {
        self.running.contains_key(name)
    }

    /// Puts a front before an address, if the site has any, and returns the address that others know.
    fn proxied_address(&mut self, process: &str, advertised: String, listen: &str) -> String {
        if !self.is_proxied {
            return listen.to_owned();
        }
        if !self.proxied_addresses.iter().any(|known| known.advertised == advertised) {
            self.proxied_addresses.push(ProxiedAddress {
                process: process.to_owned(),
                advertised: advertised.clone(),
                listen: listen.to_owned(),
            });
        }
        advertised
    }

    /// Starts a process that does not run.
    pub fn start_process(&mut self, name: &str) {
        let arguments = ["--settings".to_owned(), self.settings[name].clone()];
        let log = self.folder.path().join(format!("{name}.log"));
        let child = spawn("kingcupliftd", &arguments, self.folder.path(), &log);
        self.running.insert(name.to_owned(), child);
    }

    /// Kills a process at once.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.running.remove(name).expect("the process runs");
        child.kill().expect("the process can be killed");
        child.wait().expect("the process ends");
    }

    /// Removes the data of a member that does not run; it starts as a new member from then on.
    pub fn wipe(&mut self, number: usize) {
        let data = self.folder.path().join(format!("data-{number}"));
        std::fs::remove_dir_all(data).expect("the folder can be removed");
        let settings = self.member(number, false);
        self.write_settings(&format!("core-{number}"), &settings);
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.running[name].id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal is sent");
    }

    /// Waits until a process has ended and returns whether it ended well.
    pub fn wait_exited(&mut self, name: &str) -> bool {
        let mut child = self.running.remove(name).expect("the process runs");
        child.wait().is_ok_and(|status| status.success())
    }

    /// Returns the addresses of a node.
    pub fn addresses(&self, node: &str) -> &NodeAddresses {
        &self.nodes[node]
    }

    /// Returns the operators' interface of a member.
    pub fn operator_address(&self, number: usize) -> String {
        format!("{}:{HTTP_PORT}", self.hosts[number - 1])
    }

    /// Returns the log of a process.
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends a request of an operator to each member in turn until one settles it.
    pub fn operator_request(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> RawResponse {
        let until = Instant::now() + PATIENCE;
        let mut last = RawResponse::default();
        while Instant::now() < until {
            for number in 1..=self.hosts.len() {
                last = follow(&self.operator_address(number), method, path, headers, body);
                if last.status != 0 && last.status != 503 {
                    return last;
                }
            }
            std::thread::sleep(POLL);
        }
        panic!("no member settled {method} {path}: {last:?}; logs: {}", self.logs());
    }

    /// Waits until a question to the site has the wanted answer.
    pub fn wait<T>(&self, what: &str, mut look: impl FnMut(&Self) -> Option<T>) -> T {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(found) = look(self) {
                return found;
            }
            std::thread::sleep(POLL);
        }
        panic!("{what} did not come about; logs: {}", self.logs());
    }

    /// Returns the logs of all processes, one after the other.
    pub fn logs(&self) -> String {
        self.settings.keys().map(|name| self.log(name)).collect::<Vec<_>>().join("\n")
    }

    fn links(&self) -> Value {
        let seeds: Vec<String> =
            self.known_hosts.iter().take(3).map(|host| format!("{host}:{HTTP_PORT}")).collect();
        json!({ "security": "open", "seeds": seeds, "source_port": SOURCE_PORT,
            "relay_port": RELAY_PORT })
    }

    fn member(&mut self, number: usize, is_first: bool) -> Value {
        let (host, known) = (self.hosts[number - 1].clone(), self.known_hosts[number - 1].clone());
        let name = format!("core-{number}");
        let mut advertise = |port: u16| {
            self.proxied_address(&name, format!("{known}:{port}"), &format!("{host}:{port}"))
        };
        let (source, relay) = (advertise(SOURCE_PORT), advertise(RELAY_PORT));
        json!({
            "name": format!("core-{number}"),
            "zone": ZONES[(number - 1) % ZONES.len()],
            "roles": ["source", "relay"],
            "log": { "format": "json" },
            "links": self.links(),
            "source": {
                "data": format!("data-{number}"),
                "http": format!("{host}:{HTTP_PORT}"),
                "listen": format!("{host}:{SOURCE_PORT}"),
                "advertise": source,
                "first_start": is_first,
            },
            "relay": {
                "listen": format!("{host}:{RELAY_PORT}"),
                "advertise": relay,
                "http": format!("{host}:{RELAY_HTTP_PORT}"),
            },
        })
    }

    fn node(&mut self, number: usize, target: SocketAddr) -> Value {
        let mut pool = AddressPool::new();
        let name = format!("node-{number}");
        let addresses =
            NodeAddresses { callers: pool.next(), admin: pool.next(), ready: pool.next() };
        self.nodes.insert(name.clone(), addresses.clone());
        let peers = pool.next();
        let advertise = self.proxied_address(&name, AddressPool::new().next(), &peers);
        json!({
            "name": name,
            "zone": ZONES[(number - 1) % ZONES.len()],
            "roles": ["node"],
            "log": { "format": "json" },
            "links": self.links(),
            "node": {
                "callers": addresses.callers,
                "peers": peers,
                "advertise": advertise,
                "admin": addresses.admin,
                "ready": addresses.ready,
                "service": "desk",
                "target": target.to_string(),
                "stop_ms": 2_000,
                "headers": { "call": "x-call", "time_left": "x-left", "seal": "x-seal",
                    "instance": "x-instance", "not_run": "x-not-run", "caller": "x-caller" },
            },
        })
    }

    fn write_settings(&mut self, name: &str, settings: &Value) {
        let path = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the file can be written");
        self.settings.insert(name.to_owned(), path.to_string_lossy().into_owned());
    }
}

impl Drop for PlaintextSite {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            // The process may have ended by itself.
            let _ended = child.kill();
            let _status = child.wait();
        }
    }
}

/// Sends a request, and once more where the answer leads elsewhere.
pub(crate) fn follow(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> RawResponse {
    let answer = request(address, method, path, headers, body);
    match answer.header("location") {
        Some(location) if answer.status == 307 => {
            let place = location.trim_start_matches("http://");
            let host = place.split('/').next().unwrap_or(place).to_owned();
            request(&host, method, path, headers, body)
        }
        _ => answer,
    }
}

/// Sends one request on a connection of its own and reads the whole answer.
pub fn request(address: &str, method: &str, path: &str, headers: &str, body: &str) -> RawResponse {
    let Some(mut stream) = send_request(address, method, path, headers, body) else {
        return RawResponse::default();
    };
    let mut bytes = Vec::new();
    // An answer that breaks off counts as far as it came.
    let _end = stream.read_to_end(&mut bytes);
    parse(&bytes)
}

/// Sends one request and returns the connection; headers end with CRLF each.
pub fn send_request(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Option<TcpStream> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let host = match headers.to_ascii_lowercase().contains("host:") {
        true => String::new(),
        false => format!("host: {address}\r\n"),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\n{host}connection: close\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    Some(stream)
}

fn parse(bytes: &[u8]) -> RawResponse {
    let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return RawResponse::default();
    };
    let head = String::from_utf8_lossy(&bytes[..at]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    RawResponse { status, head: head.replace("\r\n", "\n"), body: bytes[at + 4..].to_vec() }
}
