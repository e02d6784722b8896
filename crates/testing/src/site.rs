//! A site with certificates: source members, relays, nodes and targets, each a process of its own.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::{Child, Command, Output};
use std::time::{Duration, Instant};

use awc::Client;
use awc::http::Method;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::addresses::AddressPool;
use crate::process::{binary, spawn};

/// Longest time that a test waits for a condition or a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Availability zones, assigned to processes in turn.
const ZONES: [&str; 3] = ["colombo-a", "colombo-b", "colombo-c"];

/// Number of processes of each kind in a site, and the flags of its targets.
#[derive(Debug, Clone)]
pub struct SiteBuilder {
    sources: usize,
    relays: usize,
    nodes: usize,
    target_flags: Vec<String>,
}

/// Addresses of one process.
#[derive(Debug, Clone, Default)]
struct Addresses {
    http: String,
    listen: String,
    callers: String,
    peers: String,
}

/// An HTTP response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body as JSON, or null.
    pub body: Value,
    /// Header `x-call-id`.
    pub call_id: String,
}

/// A running site; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Site {
    folder: TempDir,
    addresses: BTreeMap<String, Addresses>,
    commands: BTreeMap<String, (&'static str, Vec<String>)>,
    running: BTreeMap<String, Child>,
}

impl Default for SiteBuilder {
    fn default() -> Self {
        Self { sources: 3, relays: 2, nodes: 3, target_flags: Vec::new() }
    }
}

impl SiteBuilder {
    /// Sets the number of source members.
    #[must_use]
    pub fn sources(mut self, count: usize) -> Self {
        self.sources = count;
        self
    }

    /// Sets the number of relays.
    #[must_use]
    pub fn relays(mut self, count: usize) -> Self {
        self.relays = count;
        self
    }

    /// Sets the number of nodes, each with a target of the service `lessons-desk`.
    #[must_use]
    pub fn nodes(mut self, count: usize) -> Self {
        self.nodes = count;
        self
    }

    /// Adds a flag for every target.
    #[must_use]
    pub fn target_flag(mut self, flag: &str) -> Self {
        self.target_flags.push(flag.to_owned());
        self
    }

    /// Starts all processes and waits until the source lists every target.
    pub async fn start(self) -> Site {
        let mut site = Site {
            folder: tempfile::tempdir().expect("a temporary folder"),
            addresses: BTreeMap::new(),
            commands: BTreeMap::new(),
            running: BTreeMap::new(),
        };
        site.init_authority();
        site.prepare(&self);
        for name in site.commands.keys().cloned().collect::<Vec<_>>() {
            site.start(&name);
        }
        site.wait_targets(self.nodes).await;
        site
    }
}

impl Site {
    /// Returns a builder for a site with the default number of processes.
    pub fn builder() -> SiteBuilder {
        SiteBuilder::default()
    }

    /// Starts a process that is not running.
    pub fn start(&mut self, name: &str) {
        let (program, arguments) = self.commands[name].clone();
        let log = self.folder.path().join(format!("{name}.log"));
        let child = spawn(program, &arguments, self.folder.path(), &log);
        self.running.insert(name.to_owned(), child);
    }

    /// Kills a process with SIGKILL and waits for its exit.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.running.remove(name).expect("the process is running");
        child.kill().expect("the process can be killed");
        child.wait().expect("the exit status is read");
    }

    /// Sends SIGTERM to a process, which asks it to stop gracefully.
    pub fn terminate(&self, name: &str) {
        self.signal(name, "-TERM");
    }

    /// Pauses a process with SIGSTOP; its connections stay open but no longer respond.
    pub fn pause(&self, name: &str) {
        self.signal(name, "-STOP");
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self, name: &str) {
        self.signal(name, "-CONT");
    }

    fn signal(&self, name: &str, signal: &str) {
        let pid = self.running[name].id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal is sent");
    }

    /// Waits until a process that was asked to stop has exited.
    pub fn wait_exited(&mut self, name: &str) {
        let mut child = self.running.remove(name).expect("the process is running");
        child.wait().expect("the exit status is read");
    }

    /// Returns the HTTP address of a process.
    pub fn http(&self, name: &str) -> &str {
        &self.addresses[name].http
    }

    /// Returns the address on which a process accepts links from members, relays or nodes.
    pub fn listen(&self, name: &str) -> &str {
        &self.addresses[name].listen
    }

    /// Returns the path of the data folder of a source member.
    pub fn data(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("data-{name}"))
    }

    /// Issues a new certificate with the given roles for a process.
    pub fn reissue(&self, name: &str, roles: &str) {
        let dir = self.keys_dir();
        let zone = ZONES[0];
        self.run_keys(&[
            "keys", "issue", "--dir", &dir, "--name", name, "--zone", zone, "--roles", roles,
        ]);
    }

    /// Waits until a process has logged an event.
    pub async fn wait_event(&self, name: &str, event: u16) {
        let until = Instant::now() + WAIT_TIMEOUT;
        let pattern = format!("\"event\":{event},");
        while Instant::now() < until {
            if self.log(name).contains(&pattern) {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{name} did not log event {event}; its log: {}", self.log(name));
    }

    /// Returns the log of a process.
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Writes a file into the site's folder and returns its path.
    pub fn write(&self, name: &str, document: &Value) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, document.to_string()).expect("the file can be written");
        path.to_string_lossy().into_owned()
    }

    /// Runs the command-line tool against all source members.
    pub fn command(&self, arguments: &[&str]) -> Output {
        self.command_at(&self.http_addresses("source"), arguments)
    }

    /// Runs the command-line tool against the given source members.
    pub fn command_at(&self, sources: &[String], arguments: &[&str]) -> Output {
        let patience: &[&str] = match arguments.first() {
            Some(&"--patience") => &[],
            _ => &["--patience", "30"],
        };
        Command::new(binary("kingcuplift"))
            .args(["--sources", &sources.join(",")])
            .args(patience)
            .args(arguments)
            .output()
            .expect("the command-line tool starts")
    }

    /// Runs the command-line tool and returns its JSON output.
    pub fn command_json(&self, arguments: &[&str]) -> Value {
        let output = self.command(arguments);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{arguments:?} failed: {errors}");
        serde_json::from_str(&text).unwrap_or_else(|_| panic!("{arguments:?} printed {text}"))
    }

    /// Submits a patch, waits until it is in force on all nodes, and returns its version number.
    pub fn submit(&self, base: u64, patch: &Value) -> u64 {
        let path = self.write("patch.json", patch);
        let base = base.to_string();
        let arguments = ["submit", &path, "--base", &base, "--wait", "--json"];
        self.command_json(&arguments)["version"].as_u64().expect("a version number")
    }

    /// Waits for a leader and returns the name of that source member.
    pub async fn leader(&self) -> String {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            for name in self.running.keys().filter(|name| name.starts_with("source")) {
                let health = self.get(&self.addresses[name].http, "/healthz").await;
                if health.is_some_and(|reply| reply.body["role"] == "leader") {
                    return name.clone();
                }
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no source member became the leader within {WAIT_TIMEOUT:?}");
    }

    /// Returns the health of a process, if it responds.
    pub async fn health(&self, name: &str) -> Option<Response> {
        self.get(&self.addresses[name].http, "/healthz").await
    }

    /// Waits until the health of a process satisfies a condition.
    pub async fn wait_health(&self, name: &str, what: &str, is_met: impl Fn(&Response) -> bool) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if self.health(name).await.as_ref().is_some_and(&is_met) {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{name}: timed out waiting for {what}; its log: {}", self.log(name));
    }

    /// Sends a call to a node and returns the response, if there is one.
    pub async fn call(&self, node: &str, method: Method, path: &str, id: &str) -> Option<Response> {
        let url = format!("http://{}{path}", self.addresses[node].callers);
        let client = Client::builder().timeout(WAIT_TIMEOUT).disable_redirects().finish();
        let request = client
            .request(method, url)
            .insert_header(("host", "lessons.example"))
            .insert_header(("x-call-id", id));
        exchange(request).await
    }

    /// Returns how many calls the target beside a node has run.
    pub async fn runs(&self, target: &str) -> u64 {
        let reply = self.get(&self.addresses[target].http, "/runs").await;
        reply.and_then(|reply| reply.body["total"].as_u64()).unwrap_or(0)
    }

    async fn get(&self, address: &str, path: &str) -> Option<Response> {
        let client = Client::builder().timeout(Duration::from_secs(5)).finish();
        exchange(client.get(format!("http://{address}{path}"))).await
    }

    fn http_addresses(&self, role: &str) -> Vec<String> {
        let matching = self.addresses.iter().filter(|(name, _)| name.starts_with(role));
        matching.map(|(_, addresses)| addresses.http.clone()).collect()
    }

    fn listen_addresses(&self, role: &str) -> Vec<String> {
        let matching = self.addresses.iter().filter(|(name, _)| name.starts_with(role));
        matching.map(|(_, addresses)| addresses.listen.clone()).collect()
    }

    fn init_authority(&self) {
        let dir = self.keys_dir();
        self.run_keys(&["keys", "init", "--dir", &dir]);
    }

    fn keys_dir(&self) -> String {
        self.folder.path().join("keys").to_string_lossy().into_owned()
    }

    fn run_keys(&self, arguments: &[&str]) {
        let status = Command::new(binary("kingcuplift")).args(arguments).status();
        assert!(status.is_ok_and(|status| status.success()), "{arguments:?} failed");
    }

    /// Allocates addresses and writes the settings of all processes.
    fn prepare(&mut self, builder: &SiteBuilder) {
        let counts = [
            ("source", builder.sources),
            ("relay", builder.relays),
            ("node", builder.nodes),
            ("target", builder.nodes),
        ];
        let mut pool = AddressPool::new();
        for (role, count) in counts {
            for number in 1..=count {
                let addresses = Addresses {
                    http: pool.next(),
                    listen: pool.next(),
                    callers: pool.next(),
                    peers: pool.next(),
                };
                self.addresses.insert(format!("{role}-{number}"), addresses);
            }
        }
        for (role, count) in counts {
            for number in 1..=count {
                self.prepare_process(role, number, builder);
            }
        }
    }

    fn prepare_process(&mut self, role: &'static str, number: usize, builder: &SiteBuilder) {
        let name = format!("{role}-{number}");
        let own = self.addresses[&name].clone();
        let section = match role {
            "source" => self.source_settings(number, &own, &name),
            "relay" => json!({
                "listen": own.listen, "http": own.http, "sources": self.listen_addresses("source"),
            }),
            "node" => {
                let mut relays = self.listen_addresses("relay");
                let count = relays.len();
                relays.rotate_left(number % count);
                json!({
                    "callers": own.callers, "peers": own.peers, "admin": own.http, "relays": relays,
                })
            }
            _ => return self.prepare_target(number, &own, builder),
        };
        let zone = ZONES[(number - 1) % ZONES.len()];
        let dir = self.keys_dir();
        self.run_keys(&[
            "keys", "issue", "--dir", &dir, "--name", &name, "--zone", zone, "--roles", role,
        ]);
        let settings = json!({
            "name": name,
            "zone": zone,
            "roles": [role],
            "log": { "format": "json" },
            "keys": {
                "ca": format!("{dir}/ca.pem"),
                "cert": format!("{dir}/{name}.pem"),
                "key": format!("{dir}/{name}.key"),
            },
            role: section,
        });
        let path = self.write(&format!("{name}.json"), &settings);
        let arguments = vec!["--settings".to_owned(), path];
        self.commands.insert(name, ("kingcupliftd", arguments));
    }

    fn source_settings(&self, number: usize, own: &Addresses, name: &str) -> Value {
        let sources = self.addresses.iter().filter(|(name, _)| name.starts_with("source"));
        let members: Vec<Value> = sources
            .enumerate()
            .map(|(i, (_, a))| json!({ "id": i + 1, "listen": a.listen, "http": a.http }))
            .collect();
        json!({
            "id": number,
            "data": format!("data-{name}"),
            "http": own.http,
            "listen": own.listen,
            "members": members,
        })
    }

    fn prepare_target(&mut self, number: usize, own: &Addresses, builder: &SiteBuilder) {
        let admin = self.addresses[&format!("node-{number}")].http.clone();
        let mut arguments = vec![
            "--listen".to_owned(),
            own.http.clone(),
            "--admin".to_owned(),
            admin,
            "--service".to_owned(),
            "lessons-desk".to_owned(),
        ];
        arguments.extend(builder.target_flags.iter().cloned());
        self.commands.insert(format!("target-{number}"), ("stand_in_target", arguments));
    }

    async fn wait_targets(&self, count: usize) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            let output = self.command(&["targets", "--json"]);
            let document: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
            if document["targets"].as_array().is_some_and(|targets| targets.len() >= count) {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        let logs: Vec<String> = self.commands.keys().map(|name| self.log(name)).collect();
        panic!("timed out waiting for all targets at the source; logs: {}", logs.join("\n"));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            // The process may have exited already.
            let _killed = child.kill();
            let _status = child.wait();
        }
    }
}

/// Sends a request and reads the response; `None` when the connection fails.
async fn exchange(request: awc::ClientRequest) -> Option<Response> {
    let mut response = request.send().await.ok()?;
    let body = response.body().await.ok()?;
    let call_id = response.headers().get("x-call-id").and_then(|value| value.to_str().ok());
    Some(Response {
        status: response.status().as_u16(),
        call_id: call_id.unwrap_or_default().to_owned(),
        body: serde_json::from_slice(&body).unwrap_or_default(),
    })
}
