//! A site whose links have no certificates, and whose members discover each other through seed addresses.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::addresses::AddressPool;
use crate::platform_settings::RenderedProcess;
use crate::process::{spawn, spawn_with_slow_reader};

/// Longest time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time that a test waits for a part of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of redirects that operators follow for one request.
pub(crate) const MAX_REDIRECTS: usize = 2;
/// Interval between polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Availability zones, assigned to processes in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Port on which every source member accepts links, each on its own loopback address.
const SOURCE_PORT: u16 = 7_660;
/// Port on which every relay accepts links.
const RELAY_PORT: u16 = 7_661;
/// Port of the operator API of every member.
const HTTP_PORT: u16 = 8_146;
/// Port of the health endpoint of every relay.
const RELAY_HTTP_PORT: u16 = 9_464;

/// An HTTP response as read from the socket.
#[derive(Debug, Clone, Default)]
pub struct RawResponse {
    /// Status code; 0 when the connection ended without a response.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl RawResponse {
    /// Returns the body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Parses a response; the status is 0 while its head is incomplete.
    pub(crate) fn parse(bytes: &[u8]) -> Self {
        parse(bytes)
    }

    /// Returns the host that a redirect names.
    pub(crate) fn redirect_host(&self) -> Option<&str> {
        let url = self.header("location").filter(|_| self.status == 307)?;
        url.strip_prefix("http://")?.split('/').next()
    }

    /// Returns the value of a header whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// Listen addresses of a node.
#[derive(Debug, Clone)]
pub struct NodeAddresses {
    /// Address for callers.
    pub callers: String,
    /// Address for the reports of targets.
    pub admin: String,
    /// Address of the readiness endpoint.
    pub ready: String,
}

/// An address that a process advertises in place of the one on which it listens, for a proxy between them.
#[derive(Debug, Clone)]
pub struct ProxiedAddress {
    /// Name of the process.
    pub process: String,
    /// Address that other processes connect to.
    pub advertised: String,
    /// Address on which the process listens.
    pub listen: String,
}

/// A running site; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct PlaintextSite {
    folder: TempDir,
    hosts: Vec<String>,
    /// Hosts that the members advertise; the same as `hosts` unless the site is proxied.
    advertised_hosts: Vec<String>,
    is_proxied: bool,
    /// Election timeout of the members, unless it is the default.
    election_timeout: Option<Duration>,
    proxied_addresses: Vec<ProxiedAddress>,
    nodes: BTreeMap<String, NodeAddresses>,
    /// Whether the settings are rendered from the platform's templates.
    is_rendered: bool,
    /// Whether the logs go to pipes that are read slowly.
    has_slow_logs: bool,
    settings: BTreeMap<String, String>,
    running: BTreeMap<String, Child>,
}

impl PlaintextSite {
    /// Starts members, and a node for each target.
    pub fn start(members: usize, targets: &[SocketAddr]) -> Self {
        Self::start_with(members, targets, false, None)
    }

    /// Starts members and nodes that connect to each other through [`Self::proxied_addresses`].
    ///
    /// The test must run a proxy for each of these.
    pub fn start_proxied(members: usize, targets: &[SocketAddr]) -> Self {
        Self::start_with(members, targets, true, None)
    }

    /// Starts members with an election timeout, and a node for each target; see [`Self::start_proxied`] for proxies.
    pub(crate) fn start_with(
        members: usize,
        targets: &[SocketAddr],
        is_proxied: bool,
        election_timeout: Option<Duration>,
    ) -> Self {
        let mut site = Self::prepare(members, targets, is_proxied, election_timeout);
        for name in site.names() {
            site.start_process(&name);
        }
        site
    }

    /// Writes the settings of members and nodes, and starts none of them.
    pub(crate) fn prepare(
        members: usize,
        targets: &[SocketAddr],
        is_proxied: bool,
        election_timeout: Option<Duration>,
    ) -> Self {
        let allocate_hosts =
            || (0..members).map(|_| AddressPool::new().host().to_owned()).collect();
        let hosts: Vec<String> = allocate_hosts();
        let advertised_hosts = if is_proxied { allocate_hosts() } else { hosts.clone() };
        let mut site = Self {
            folder: tempfile::tempdir().expect("a temporary folder"),
            hosts,
            advertised_hosts,
            is_proxied,
            election_timeout,
            proxied_addresses: Vec::new(),
            nodes: BTreeMap::new(),
            is_rendered: false,
            has_slow_logs: false,
            settings: BTreeMap::new(),
            running: BTreeMap::new(),
        };
        site.write_member_settings();
        for (i, target) in targets.iter().enumerate() {
            let settings = site.node_settings(i + 1, *target);
            site.write_settings(&format!("node-{}", i + 1), &settings);
        }
        site
    }

    /// Writes the settings of members and of a node for each target's service, rendered from the platform's templates.
    pub(crate) fn prepare_rendered(members: usize, services: &[&str]) -> Self {
        let mut site = Self::prepare(0, &[], false, None);
        site.hosts = (0..members).map(|_| AddressPool::new().host().to_owned()).collect();
        site.advertised_hosts = site.hosts.clone();
        site.is_rendered = true;
        site.write_member_settings();
        for (i, service) in services.iter().enumerate() {
            let host = AddressPool::new().host().to_owned();
            let name = format!("node-{}", i + 1);
            let (zone, seeds) = (site_zone(i + 1), site.seeds());
            let process = RenderedProcess { name: &name, zone, host: &host, seeds: &seeds };
            let settings = process.node(service);
            site.write_settings(&name, &settings);
            let address =
                |field: &str| settings["node"][field].as_str().unwrap_or_default().to_owned();
            let addresses = NodeAddresses {
                callers: address("callers"),
                admin: address("admin"),
                ready: address("ready"),
            };
            site.nodes.insert(name, addresses);
        }
        site
    }

    /// Lets the processes that are started from now on write their logs to pipes that are read slowly.
    pub(crate) fn slow_down_logs(&mut self) {
        self.has_slow_logs = true;
    }

    /// Returns the address of the target next to a node whose settings are rendered.
    pub(crate) fn rendered_target(&self, node: &str) -> SocketAddr {
        let settings = self.read_settings(node);
        let target = settings["node"]["target"].as_str().and_then(|text| text.parse().ok());
        target.expect("the settings contain the target's address")
    }

    /// Writes the settings of all members, for their first start.
    fn write_member_settings(&mut self) {
        for number in 1..=self.hosts.len() {
            let settings = self.member_settings(number, true);
            self.write_settings(&format!("core-{number}"), &settings);
        }
    }

    /// Returns the addresses for which the test must run proxies.
    pub fn proxied_addresses(&self) -> &[ProxiedAddress] {
        &self.proxied_addresses
    }

    /// Returns the names of all processes.
    pub fn names(&self) -> Vec<String> {
        self.settings.keys().cloned().collect()
    }

    /// Returns the id of a running process.
    pub fn process_id(&self, name: &str) -> u32 {
        self.running[name].id()
    }

    /// Returns whether a process has been started and neither killed nor waited for.
    pub fn is_started(&self, name: &str) -> bool {
        self.running.contains_key(name)
    }

    /// Returns the address to advertise for a listen address, and records it if the site is proxied.
    fn advertise(&mut self, process: &str, advertised: String, listen: &str) -> String {
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

    /// Restarts a node with another time between SIGTERM and its forced end, in seconds.
    pub fn set_grace(&mut self, node: &str, grace_s: f64) {
        self.kill(node);
        let mut settings = self.read_settings(node);
        settings["node"]["stop_ms"] = Value::Null;
        settings["node"]["grace_s"] = json!(grace_s);
        self.write_settings(node, &settings);
        self.start_process(node);
    }

    /// Restarts a node with another value of one of its settings.
    pub fn set_node_setting(&mut self, node: &str, field: &str, value: Value) {
        self.kill(node);
        let mut settings = self.read_settings(node);
        settings["node"][field] = value;
        self.write_settings(node, &settings);
        self.start_process(node);
    }

    /// Adds a member with an empty data folder at a new address, and returns its name; it is not started yet.
    pub fn add_member(&mut self) -> String {
        let host = AddressPool::new().host().to_owned();
        self.advertised_hosts.push(match self.is_proxied {
            true => AddressPool::new().host().to_owned(),
            false => host.clone(),
        });
        self.hosts.push(host);
        let number = self.hosts.len();
        let settings = self.member_settings(number, false);
        self.write_settings(&format!("core-{number}"), &settings);
        format!("core-{number}")
    }

    /// Removes a process that is not running, for good.
    pub fn remove(&mut self, name: &str) {
        self.settings.remove(name);
    }

    /// Returns the availability zone of a process.
    pub fn zone(&self, name: &str) -> String {
        let settings = self.read_settings(name);
        settings["zone"].as_str().unwrap_or_default().to_owned()
    }

    /// Replaces the seeds in the settings of a process by these members.
    pub fn set_seeds(&mut self, name: &str, members: &[String]) {
        let mut settings = self.read_settings(name);
        let numbers = members.iter().filter_map(|member| member_number(member));
        let seeds: Vec<String> = numbers
            .map(|number| format!("{}:{HTTP_PORT}", self.advertised_hosts[number - 1]))
            .collect();
        settings["links"]["seeds"] = json!(seeds);
        self.write_settings(name, &settings);
    }

    fn read_settings(&self, name: &str) -> Value {
        let text = std::fs::read_to_string(&self.settings[name]).expect("the settings exist");
        serde_json::from_str(&text).expect("the settings are JSON")
    }

    /// Starts a process that is not running.
    pub fn start_process(&mut self, name: &str) {
        let arguments = ["--settings".to_owned(), self.settings[name].clone()];
        let log = self.folder.path().join(format!("{name}.log"));
        let start = if self.has_slow_logs { spawn_with_slow_reader } else { spawn };
        let child = start("kingcupliftd", &arguments, self.folder.path(), &log);
        self.running.insert(name.to_owned(), child);
    }

    /// Kills a process with SIGKILL and waits for its exit.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.running.remove(name).expect("the process is running");
        child.kill().expect("the process can be killed");
        child.wait().expect("the exit status is read");
    }

    /// Kills all running processes as nearly at the same moment as possible, and waits for their exit.
    pub fn kill_all(&mut self) {
        let mut children = std::mem::take(&mut self.running);
        children.values_mut().for_each(|child| child.kill().expect("the process can be killed"));
        for child in children.values_mut() {
            child.wait().expect("the exit status is read");
        }
    }

    /// Returns whether a member has a data folder.
    pub fn has_data(&self, name: &str) -> bool {
        let number = member_number(name).expect("the name of a member");
        self.folder.path().join(format!("data-{number}")).exists()
    }

    /// Deletes the data folder of a member that is not running; from then on it starts as a new member.
    pub fn wipe(&mut self, name: &str) {
        self.delete_data(name, false);
    }

    /// Deletes the data folder of a member that is not running; from then on it starts as at the first start of the site.
    pub fn wipe_for_first_start(&mut self, name: &str) {
        self.delete_data(name, true);
    }

    fn delete_data(&mut self, name: &str, is_first_start: bool) {
        let number = member_number(name).expect("the name of a member");
        let data = self.folder.path().join(format!("data-{number}"));
        std::fs::remove_dir_all(data).expect("the folder can be removed");
        let settings = self.member_settings(number, is_first_start);
        self.write_settings(name, &settings);
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.running[name].id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal is sent");
    }

    /// Makes a process fail to write files, as on a full disk, or lets it write again.
    pub fn refuse_writes(&self, name: &str, is_refused: bool) {
        self.limit_file_size(name, is_refused.then_some(0));
    }

    /// Makes a member fail to write its files beyond their present size and `spare` bytes, as on a disk that is almost full.
    pub fn limit_writes(&self, name: &str, spare: u64) {
        let number = member_number(name).expect("the name of a member");
        let data = self.folder.path().join(format!("data-{number}"));
        let files = std::fs::read_dir(data).expect("the data folder exists");
        let sizes = files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len()));
        self.limit_file_size(name, Some(sizes.max().unwrap_or(0) + spare));
    }

    /// Limits the size of the files that a process writes; `None` lifts the limit.
    fn limit_file_size(&self, name: &str, bytes: Option<u64>) {
        let pid = i32::try_from(self.running[name].id()).ok().and_then(Pid::from_raw);
        let limit = getrlimit(Resource::Fsize);
        let limit = Rlimit { current: bytes.or(limit.maximum), ..limit };
        prlimit(pid, Resource::Fsize, limit).expect("the limit of an own process can be set");
    }

    /// Returns the number of the member that leads, if one does.
    pub fn leader(&self) -> Option<usize> {
        (1..=self.hosts.len()).find(|number| {
            let health = request(&self.operator_address(*number), "GET", "/healthz", "", "");
            health.json()["role"] == "leader"
        })
    }

    /// Returns the peak resident memory of a process, in KiB.
    pub fn peak_memory(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.running[name].id());
        let status = std::fs::read_to_string(path).expect("the process is running");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.expect("the peak is stated")
    }

    /// Waits until a process has exited and returns whether it did so with success.
    pub fn wait_exited(&mut self, name: &str) -> bool {
        let mut child = self.running.remove(name).expect("the process is running");
        child.wait().is_ok_and(|status| status.success())
    }

    /// Returns whether a process has exited by itself or after a signal; it then counts as not running.
    pub fn has_exited(&mut self, name: &str) -> bool {
        let child = self.running.get_mut(name);
        let has_exited =
            child.is_none_or(|child| child.try_wait().is_ok_and(|exit| exit.is_some()));
        if has_exited {
            self.running.remove(name);
        }
        has_exited
    }

    /// Returns the addresses of a node.
    pub fn addresses(&self, node: &str) -> &NodeAddresses {
        &self.nodes[node]
    }

    /// Returns the address of a member's operator API.
    pub fn operator_address(&self, number: usize) -> String {
        format!("{}:{HTTP_PORT}", self.hosts[number - 1])
    }

    /// Returns the address of the health endpoint of a member's relay.
    pub fn relay_address(&self, number: usize) -> String {
        format!("{}:{RELAY_HTTP_PORT}", self.hosts[number - 1])
    }

    /// Returns the address of the operator API of a member, by its name.
    pub(crate) fn operator_address_of(&self, name: &str) -> String {
        self.operator_address(member_number(name).expect("the name of a member"))
    }

    /// Returns the name of the member whose operator API has this address, unless it is gone for good.
    pub(crate) fn member_at(&self, address: &str) -> Option<String> {
        let names = self.settings.keys().filter(|name| member_number(name).is_some());
        names.into_iter().find(|name| self.operator_address_of(name) == address).cloned()
    }

    /// Returns the log of a process.
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends an operator request to each member in turn until one gives a response other than 503.
    pub fn operator_request(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> RawResponse {
        let until = Instant::now() + WAIT_TIMEOUT;
        let mut last = RawResponse::default();
        while Instant::now() < until {
            for number in 1..=self.hosts.len() {
                last = request_with_redirect(
                    &self.operator_address(number),
                    method,
                    path,
                    headers,
                    body,
                );
                if last.status != 0 && last.status != 503 {
                    return last;
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("no member completed {method} {path}: {last:?}; logs: {}", self.logs());
    }

    /// Polls the site until `probe` returns a value, and returns that value.
    pub fn wait<T>(&self, what: &str, mut probe: impl FnMut(&Self) -> Option<T>) -> T {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(found) = probe(self) {
                return found;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("timed out waiting for {what}; logs: {}", self.logs());
    }

    /// Returns the logs of all processes, one after the other.
    pub fn logs(&self) -> String {
        self.settings.keys().map(|name| self.log(name)).collect::<Vec<_>>().join("\n")
    }

    /// Returns the addresses of the members that processes know at their start.
    fn seeds(&self) -> Vec<String> {
        let hosts = self.advertised_hosts.iter().take(3);
        hosts.map(|host| format!("{host}:{HTTP_PORT}")).collect()
    }

    fn link_settings(&self) -> Value {
        json!({ "security": "open", "seeds": self.seeds(), "source_port": SOURCE_PORT,
            "relay_port": RELAY_PORT })
    }

    fn member_settings(&mut self, number: usize, is_first: bool) -> Value {
        let (host, advertised) =
            (self.hosts[number - 1].clone(), self.advertised_hosts[number - 1].clone());
        let name = format!("core-{number}");
        if self.is_rendered {
            let (zone, seeds) = (site_zone(number), self.seeds());
            let process = RenderedProcess { name: &name, zone, host: &host, seeds: &seeds };
            return process.member(&format!("data-{number}"), is_first);
        }
        let mut advertise_port = |port: u16| {
            self.advertise(&name, format!("{advertised}:{port}"), &format!("{host}:{port}"))
        };
        let (source, relay) = (advertise_port(SOURCE_PORT), advertise_port(RELAY_PORT));
        json!({
            "name": format!("core-{number}"),
            "zone": site_zone(number),
            "roles": ["source", "relay"],
            "log": { "format": "json" },
            "links": self.link_settings(),
            "source": {
                "data": format!("data-{number}"),
                "http": format!("{host}:{HTTP_PORT}"),
                "listen": format!("{host}:{SOURCE_PORT}"),
                "advertise": source,
                "first_start": is_first,
                "election_ms": self.election_timeout.map(|time| time.as_millis() as u64),
            },
            "relay": {
                "listen": format!("{host}:{RELAY_PORT}"),
                "advertise": relay,
                "http": format!("{host}:{RELAY_HTTP_PORT}"),
            },
        })
    }

    fn node_settings(&mut self, number: usize, target: SocketAddr) -> Value {
        let mut pool = AddressPool::new();
        let name = format!("node-{number}");
        let addresses =
            NodeAddresses { callers: pool.next(), admin: pool.next(), ready: pool.next() };
        self.nodes.insert(name.clone(), addresses.clone());
        let peers = pool.next();
        let advertise = self.advertise(&name, AddressPool::new().next(), &peers);
        json!({
            "name": name,
            "zone": site_zone(number),
            "roles": ["node"],
            "log": { "format": "json" },
            "links": self.link_settings(),
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
                    "instance": "x-instance", "not_run": "x-not-run", "caller": "x-caller",
                    "rate_limit": "x-limit", "leaving": "x-leaving", "server_load": "x-load",
                    "own_instance": "x-own" },
            },
        })
    }

    fn write_settings(&mut self, name: &str, settings: &Value) {
        let path = self.folder.path().join(format!("{name}.json"));
        // A process that starts in this moment must not read half of the file.
        let written = path.with_extension("new");
        std::fs::write(&written, settings.to_string()).expect("the file can be written");
        std::fs::rename(&written, &path).expect("the file can be renamed");
        self.settings.insert(name.to_owned(), path.to_string_lossy().into_owned());
    }
}

impl Drop for PlaintextSite {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            // The process may have exited already.
            let _killed = child.kill();
            let _status = child.wait();
        }
    }
}

/// Returns the availability zone of the process with a number.
fn site_zone(number: usize) -> &'static str {
    ZONES[(number - 1) % ZONES.len()]
}

/// Returns the number in the name of a member.
pub(crate) fn member_number(name: &str) -> Option<usize> {
    name.strip_prefix("core-")?.parse().ok()
}

/// Sends a request and follows redirects.
pub(crate) fn request_with_redirect(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> RawResponse {
    follow_redirect(address, method, path, headers, body, READ_TIMEOUT).1
}

/// Sends a request and follows redirects; returns the response and the address that it came from.
pub(crate) fn follow_redirect(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> (String, RawResponse) {
    let mut address = address.to_owned();
    let mut response = request_within(&address, method, path, headers, body, timeout);
    for _ in 0..MAX_REDIRECTS {
        let Some(host) = response.redirect_host() else { break };
        address = host.to_owned();
        response = request_within(&address, method, path, headers, body, timeout);
    }
    (address, response)
}

/// Sends one request on a new connection and reads the response.
pub fn request(address: &str, method: &str, path: &str, headers: &str, body: &str) -> RawResponse {
    request_within(address, method, path, headers, body, READ_TIMEOUT)
}

/// Sends one request on a new connection and reads the response, waiting for up to `timeout` for each part of it.
pub(crate) fn request_within(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> RawResponse {
    let Some(mut stream) = send_request(address, method, path, headers, body) else {
        return RawResponse::default();
    };
    if stream.set_read_timeout(Some(timeout)).is_err() {
        return RawResponse::default();
    }
    let mut bytes = Vec::new();
    // A response that is cut off is parsed as far as it was received.
    let _result = stream.read_to_end(&mut bytes);
    parse(&bytes)
}

/// Sends one request and returns the connection; each line of `headers` ends with CRLF.
pub fn send_request(
    address: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Option<TcpStream> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
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
    let Some(head_end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return RawResponse::default();
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    RawResponse { status, head: head.replace("\r\n", "\n"), body: bytes[head_end + 4..].to_vec() }
}
