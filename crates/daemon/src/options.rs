//! Settings, checked once into typed options.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use http::HeaderName;
use kingcuplift_core::logger::Format;
use kingcuplift_core::{
    Faults, MemberId, NodeName, ResultCode, ServiceName, ZoneName, check_fields,
};
use kingcuplift_keys::{Role, RoleSet};
use kingcuplift_schema::settings as wire;
use kingcuplift_traffic::RetryLimits;
use log::LevelFilter;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::error::StartError;
use crate::node::HeaderNames;

/// Time without a leader after which an election may begin, unless set.
const DEFAULT_ELECTION: Duration = Duration::from_millis(500);
/// Permitted election times, in milliseconds.
const ELECTION_RANGE: std::ops::RangeInclusive<u64> = 50..=60_000;
/// Time for a stop, unless set; calls take less by default.
const DEFAULT_STOP: Duration = Duration::from_secs(30);
/// Milliseconds in a second.
const MS: f64 = 1_000.0;
/// Longest time in the settings, in milliseconds: one day.
const MAX_TIME_MS: f64 = 86_400_000.0;
/// Threads that serve calls, unless set.
const DEFAULT_THREADS: usize = 1;
/// Most threads that serve calls.
const MAX_THREADS: u32 = 64;
/// Permitted numbers of initial source members.
const MEMBER_COUNTS: [usize; 3] = [1, 3, 5];

/// Options of a process.
#[derive(Debug)]
pub struct Options {
    /// Name of the process.
    pub name: NodeName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Roles of the process.
    pub roles: RoleSet,
    /// Layout of log lines.
    pub log_format: Format,
    /// Least urgent events that are logged.
    pub log_level: LevelFilter,
    /// Certificate files.
    pub keys: KeyOptions,
    /// Options of the source role.
    pub source: Option<SourceOptions>,
    /// Options of the relay role.
    pub relay: Option<RelayOptions>,
    /// Options of the node role.
    pub node: Option<NodeOptions>,
}

/// Where the certificates come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOptions {
    /// Links use TCP without certificates.
    None,
    /// Made at start and held in memory; only for one process with all roles.
    Temporary,
    /// Read from PEM files.
    Files {
        /// Certificate of the authority.
        authority: PathBuf,
        /// Certificate of this process.
        certificate: PathBuf,
        /// Private key of this process.
        key: PathBuf,
    },
}

/// Options of the source role.
#[derive(Debug, Clone)]
pub struct SourceOptions {
    /// Number of this member; absent where members find each other through seeds.
    pub id: Option<MemberId>,
    /// Folder of the durable state.
    pub data: PathBuf,
    /// Address of the operators' interface.
    pub http: SocketAddr,
    /// Address for other members and relays.
    pub listen: SocketAddr,
    /// Address at which they reach this member.
    pub advertise: SocketAddr,
    /// The initial members, this one included; empty where they find each other through seeds.
    pub members: Vec<MemberOptions>,
    /// Addresses of some members.
    pub seeds: Vec<SocketAddr>,
    /// Address at which nodes reach the relay in the same process.
    pub relay: Option<SocketAddr>,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Whether the whole site starts for the first time, with empty disks.
    pub is_first: bool,
    /// Whether the leader writes down which target version of a service takes the calls.
    pub holds_versions: bool,
    /// Time without a leader after which an election may begin.
    pub election: Duration,
}

/// One initial member of the source.
#[derive(Debug, Clone)]
pub struct MemberOptions {
    /// Number of the member.
    pub id: MemberId,
    /// Address for other members and relays.
    pub listen: SocketAddr,
    /// Address of the operators' interface.
    pub http: SocketAddr,
}

/// Options of the relay role.
#[derive(Debug, Clone)]
pub struct RelayOptions {
    /// Address for nodes.
    pub listen: SocketAddr,
    /// Address of health and metrics.
    pub http: SocketAddr,
    /// Addresses of the source members.
    pub sources: Vec<SocketAddr>,
}

/// Options of the node role.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// Address of the callers' interface.
    pub callers: SocketAddr,
    /// Address on which other nodes hand over calls.
    pub peers: SocketAddr,
    /// Address at which they reach this node.
    pub advertise: SocketAddr,
    /// Address of the targets' interface, health and metrics.
    pub admin: SocketAddr,
    /// Addresses of relays, the nearest first.
    pub relays: Vec<SocketAddr>,
    /// Services that callers of this node may reach; empty means all.
    pub services: Vec<ServiceName>,
    /// Threads that serve calls.
    pub threads: usize,
    /// Address of the readiness answer, beside that on the targets' interface.
    pub ready: Option<SocketAddr>,
    /// Address of the metrics, beside that on the targets' interface.
    pub metrics: Option<SocketAddr>,
    /// Service of the target beside the node.
    pub service: Option<ServiceName>,
    /// Address of the target beside the node.
    pub target: Option<SocketAddr>,
    /// Headers that callers and targets use.
    pub headers: HeaderNames,
    /// Repeats that all nodes together may send.
    pub repeats: RetryLimits,
    /// Time for a stop.
    pub stop: Duration,
}

/// How processes find each other.
#[derive(Debug, Clone, Default)]
struct LinkOptions {
    is_open: bool,
    seeds: Vec<SocketAddr>,
    source_port: Option<u16>,
    relay_port: Option<u16>,
}

impl LinkOptions {
    /// Returns the seeds with another port.
    fn seeds_at(&self, port: Option<u16>) -> Vec<SocketAddr> {
        let moved = |seed: &SocketAddr| SocketAddr::new(seed.ip(), port.unwrap_or(seed.port()));
        self.seeds.iter().map(moved).collect()
    }
}

impl Options {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, StartError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| StartError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(&text).map_err(StartError::Faulty)
    }

    /// Checks settings and lists every fault.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut checker = Checker::default();
        let object = match serde_json::from_str(text) {
            Ok(Value::Object(object)) => object,
            Ok(_) => {
                checker.bad(
                    ResultCode::SettingsUnreadable,
                    "",
                    "the settings are not a JSON object",
                );
                return Err(checker.faults);
            }
            Err(error) => {
                checker.bad(ResultCode::SettingsUnreadable, "", error.to_string());
                return Err(checker.faults);
            }
        };
        let sound = checker.check_shape(&object);
        let wire = serde_json::from_value::<wire::Settings>(Value::Object(sound));
        let wire = wire.unwrap_or_default();
        let options = checker.options(wire);
        match (checker.faults.is_empty(), options) {
            (true, Some(options)) => Ok(options),
            _ => Err(checker.faults),
        }
    }
}

/// Collects faults while settings are checked.
#[derive(Debug, Default)]
struct Checker {
    faults: Faults,
}

impl Checker {
    fn bad(&mut self, code: ResultCode, path: &str, detail: impl Into<String>) {
        self.faults.push(code, path, detail);
    }

    /// Finds unknown fields and wrong types, section by section, and returns the rest.
    fn check_shape(&mut self, object: &Map<String, Value>) -> Map<String, Value> {
        let mut top = Map::new();
        let mut sections = Map::new();
        for (name, value) in object {
            let Value::Object(part) = value else {
                top.insert(name.clone(), value.clone());
                continue;
            };
            let path = format!("/{name}");
            let sound = match name.as_str() {
                "log" => self.check_section::<wire::LogSettings>(&path, part),
                "keys" => self.check_section::<wire::KeySettings>(&path, part),
                "source" => self.check_section::<wire::SourceSettings>(&path, part),
                "relay" => self.check_section::<wire::RelaySettings>(&path, part),
                "node" => self.check_section::<wire::NodeSettings>(&path, part),
                "links" => self.check_section::<wire::LinkSettings>(&path, part),
                _ => {
                    top.insert(name.clone(), value.clone());
                    continue;
                }
            };
            sections.insert(name.clone(), Value::Object(sound));
        }
        let mut sound = self.check_section::<wire::Settings>("", &top);
        sound.append(&mut sections);
        sound
    }

    fn check_section<T: DeserializeOwned>(
        &mut self,
        path: &str,
        part: &Map<String, Value>,
    ) -> Map<String, Value> {
        let (unknown, wrong) = (ResultCode::SettingsUnknownField, ResultCode::SettingsWrongType);
        check_fields::<T>(path, part, unknown, wrong, &mut self.faults)
    }

    fn options(&mut self, wire: wire::Settings) -> Option<Options> {
        let roles = self.roles(&wire);
        let name = self.required("/name", wire.name.as_deref());
        let zone = self.required("/zone", wire.zone.as_deref());
        let log = wire.log.unwrap_or_default();
        let log_format = self.optional("/log/format", log.format.as_deref(), Format::Text);
        let log_level = self.optional("/log/level", log.level.as_deref(), LevelFilter::Info);
        let links = self.links(&wire.links.unwrap_or_default());
        let keys = match links.is_open {
            true => Some(KeyOptions::None),
            false => self.keys(wire.keys, &roles),
        };
        let source = match roles.contains(&Role::Source) {
            true => {
                let relay = wire
                    .relay
                    .as_ref()
                    .and_then(|relay| relay.advertise.clone().or_else(|| relay.listen.clone()));
                let zone = zone.clone()?;
                Some(self.source(wire.source.unwrap_or_default(), &links, relay, zone)?)
            }
            false => None,
        };
        let relay = match roles.contains(&Role::Relay) {
            true => Some(self.relay(wire.relay.unwrap_or_default(), &links)?),
            false => None,
        };
        let node = match roles.contains(&Role::Node) {
            true => Some(self.node(wire.node.unwrap_or_default(), &links)?),
            false => None,
        };
        Some(Options {
            name: name?,
            zone: zone?,
            roles,
            log_format,
            log_level,
            keys: keys?,
            source,
            relay,
            node,
        })
    }

    fn roles(&mut self, wire: &wire::Settings) -> RoleSet {
        let mut roles = RoleSet::new();
        for (i, text) in wire.roles.iter().enumerate() {
            roles.extend(self.required::<Role>(&format!("/roles/{i}"), Some(text)));
        }
        if wire.roles.is_empty() {
            let detail = "name at least one of source, relay and node";
            self.bad(ResultCode::SettingsMissingField, "/roles", detail);
        }
        let sections = [
            (Role::Source, wire.source.is_some()),
            (Role::Relay, wire.relay.is_some()),
            (Role::Node, wire.node.is_some()),
        ];
        for (role, present) in sections {
            let path = format!("/{role}");
            match (roles.contains(&role), present) {
                (true, false) => {
                    let detail = format!("the role {role} needs this section");
                    self.bad(ResultCode::SettingsMissingField, &path, detail);
                }
                (false, true) => {
                    let detail = format!("remove this section or add the role {role}");
                    self.bad(ResultCode::SettingsBadValue, &path, detail);
                }
                _ => {}
            }
        }
        roles
    }

    fn keys(&mut self, wire: Option<wire::KeySettings>, roles: &RoleSet) -> Option<KeyOptions> {
        let Some(wire) = wire else {
            if roles.len() == 3 {
                return Some(KeyOptions::Temporary);
            }
            let detail = "name the certificate files; only a process with all roles can do without";
            self.bad(ResultCode::SettingsMissingField, "/keys", detail);
            return None;
        };
        let authority = self.required("/keys/ca", wire.ca.as_deref());
        let certificate = self.required("/keys/cert", wire.cert.as_deref());
        let key = self.required("/keys/key", wire.key.as_deref());
        Some(KeyOptions::Files { authority: authority?, certificate: certificate?, key: key? })
    }

    fn links(&mut self, wire: &wire::LinkSettings) -> LinkOptions {
        let is_open = match wire.security.as_deref() {
            Some("open") => true,
            Some("keys") | None => false,
            Some(other) => {
                let detail = format!("{other:?} is unknown; use \"keys\" or \"open\"");
                self.bad(ResultCode::SettingsBadValue, "/links/security", detail);
                false
            }
        };
        let mut seeds = Vec::new();
        for (i, text) in wire.seeds.iter().enumerate() {
            seeds.extend(self.required::<SocketAddr>(&format!("/links/seeds/{i}"), Some(text)));
        }
        let source_port = self.port("/links/source_port", wire.source_port);
        let relay_port = self.port("/links/relay_port", wire.relay_port);
        LinkOptions { is_open, seeds, source_port, relay_port }
    }

    fn port(&mut self, path: &str, port: Option<u32>) -> Option<u16> {
        match port.map(u16::try_from) {
            Some(Ok(port)) if port > 0 => Some(port),
            Some(_) => {
                self.bad(ResultCode::SettingsBadValue, path, "use 1 to 65535");
                None
            }
            None => None,
        }
    }

    fn source(
        &mut self,
        wire: wire::SourceSettings,
        links: &LinkOptions,
        relay: Option<String>,
        zone: ZoneName,
    ) -> Option<SourceOptions> {
        let finds_itself = wire.members.is_empty() && !links.seeds.is_empty();
        let id = match finds_itself {
            true => None,
            false => Some(self.member_id("/source/id", wire.id)?),
        };
        let data = self.required("/source/data", wire.data.as_deref());
        let http = self.required("/source/http", wire.http.as_deref());
        let listen = self.required("/source/listen", wire.listen.as_deref());
        let mut members = Vec::new();
        for (i, member) in wire.members.iter().enumerate() {
            members.extend(self.member(&format!("/source/members/{i}"), member));
        }
        if !finds_itself {
            self.check_members(&members, id);
        }
        let default = DEFAULT_ELECTION.as_millis() as u64;
        let election = wire.election_ms.unwrap_or(default);
        if !ELECTION_RANGE.contains(&election) {
            let detail = "use 50 to 60000";
            self.bad(ResultCode::SettingsBadValue, "/source/election_ms", detail);
        }
        Some(SourceOptions {
            id,
            data: data?,
            http: http?,
            listen: listen?,
            advertise: self.maybe("/source/advertise", wire.advertise.as_deref()).or(listen)?,
            members,
            seeds: links.seeds_at(links.source_port),
            relay: relay.and_then(|relay| relay.parse().ok()),
            zone,
            is_first: wire.first_start.unwrap_or(false),
            holds_versions: wire.hold_versions.unwrap_or(false),
            election: Duration::from_millis(election),
        })
    }

    fn check_members(&mut self, members: &[MemberOptions], own: Option<MemberId>) {
        let ids: BTreeSet<MemberId> = members.iter().map(|member| member.id).collect();
        if !MEMBER_COUNTS.contains(&members.len()) || ids.len() != members.len() {
            let detail = "name 1, 3 or 5 members with different numbers";
            self.bad(ResultCode::SettingsBadValue, "/source/members", detail);
        }
        if own.is_some_and(|id| !ids.contains(&id)) {
            let detail = "the members do not include this one";
            self.bad(ResultCode::SettingsBadValue, "/source/members", detail);
        }
    }

    fn member(&mut self, path: &str, wire: &wire::MemberSettings) -> Option<MemberOptions> {
        let id = self.member_id(&format!("{path}/id"), wire.id);
        let listen = self.required(&format!("{path}/listen"), wire.listen.as_deref());
        let http = self.required(&format!("{path}/http"), wire.http.as_deref());
        Some(MemberOptions { id: id?, listen: listen?, http: http? })
    }

    fn member_id(&mut self, path: &str, id: Option<u64>) -> Option<MemberId> {
        match id {
            Some(id) if id > 0 => Some(MemberId::new(id)),
            Some(_) => {
                self.bad(ResultCode::SettingsBadValue, path, "number the members from 1");
                None
            }
            None => {
                self.bad(ResultCode::SettingsMissingField, path, "the field is required");
                None
            }
        }
    }

    fn relay(&mut self, wire: wire::RelaySettings, links: &LinkOptions) -> Option<RelayOptions> {
        let listen = self.required("/relay/listen", wire.listen.as_deref());
        let http = self.required("/relay/http", wire.http.as_deref());
        let sources = match (wire.sources.is_empty(), links.seeds_at(links.source_port)) {
            (true, seeds) if !seeds.is_empty() => seeds,
            _ => self.list("/relay/sources", &wire.sources),
        };
        Some(RelayOptions { listen: listen?, http: http?, sources })
    }

    fn node(&mut self, wire: wire::NodeSettings, links: &LinkOptions) -> Option<NodeOptions> {
        let callers = self.required("/node/callers", wire.callers.as_deref());
        let peers = self.required("/node/peers", wire.peers.as_deref());
        let admin = self.required("/node/admin", wire.admin.as_deref());
        let relays = match (wire.relays.is_empty(), links.seeds_at(links.relay_port)) {
            (true, seeds) if !seeds.is_empty() => seeds,
            _ => self.list("/node/relays", &wire.relays),
        };
        let mut services = Vec::new();
        for (i, text) in wire.services.iter().enumerate() {
            services
                .extend(self.required::<ServiceName>(&format!("/node/services/{i}"), Some(text)));
        }
        let threads = wire.threads.unwrap_or(DEFAULT_THREADS as u32);
        if threads == 0 || threads > MAX_THREADS {
            let detail = format!("use 1 to {MAX_THREADS}");
            self.bad(ResultCode::SettingsBadValue, "/node/threads", detail);
        }
        Some(NodeOptions {
            callers: callers?,
            peers: peers?,
            advertise: self.maybe("/node/advertise", wire.advertise.as_deref()).or(peers)?,
            admin: admin?,
            relays,
            services,
            threads: threads as usize,
            ready: self.maybe("/node/ready", wire.ready.as_deref()),
            metrics: self.maybe("/node/metrics", wire.metrics.as_deref()),
            service: self.maybe("/node/service", wire.service.as_deref()),
            target: self.maybe("/node/target", wire.target.as_deref()),
            headers: self.headers(wire.headers),
            repeats: self.repeats(&wire.repeats.unwrap_or_default()),
            stop: self.duration("/node/stop_ms", wire.stop_ms, DEFAULT_STOP),
        })
    }

    fn headers(&mut self, wire: Option<wire::HeaderSettings>) -> HeaderNames {
        let Some(wire) = wire else { return HeaderNames::default() };
        let mut name = |field: &str, text: Option<&str>| match text {
            None | Some("") => None,
            text => self.required::<HeaderName>(&format!("/node/headers/{field}"), text),
        };
        HeaderNames {
            call: name("call", wire.call.as_deref()),
            time_left: name("time_left", wire.time_left.as_deref()),
            seal: name("seal", wire.seal.as_deref()),
            instance: name("instance", wire.instance.as_deref()),
            not_run: name("not_run", wire.not_run.as_deref()),
            caller: name("caller", wire.caller.as_deref()),
            own_instance: name("own_instance", wire.own_instance.as_deref()),
            warmup: name("warmup", wire.warmup.as_deref()),
        }
    }

    fn repeats(&mut self, wire: &wire::RepeatSettings) -> RetryLimits {
        let default = RetryLimits::default();
        let ratio = wire.ratio.unwrap_or(default.ratio);
        let slack = wire.slack.unwrap_or(default.slack);
        if ratio < 0.0 || slack < 0.0 {
            self.bad(ResultCode::SettingsBadValue, "/node/repeats", "use numbers of 0 or more");
        }
        let window = Duration::from_millis(default.window_ms);
        let window_ms = wire.window_s.map(|seconds| seconds * MS);
        let window = self.duration("/node/repeats/window_s", window_ms, window);
        RetryLimits { ratio, slack, window_ms: window.as_millis() as u64 }
    }

    /// Reads a time in milliseconds.
    fn duration(&mut self, path: &str, ms: Option<f64>, default: Duration) -> Duration {
        match ms {
            None => default,
            Some(ms) if (1.0..=MAX_TIME_MS).contains(&ms) => Duration::from_secs_f64(ms / MS),
            Some(_) => {
                self.bad(ResultCode::SettingsBadValue, path, "use 1 to 86400000 milliseconds");
                default
            }
        }
    }

    /// Reads an optional text field; a faulty one is reported.
    fn maybe<T>(&mut self, path: &str, text: Option<&str>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        text.and_then(|text| self.required(path, Some(text)))
    }

    /// Parses a list of addresses that must not be empty.
    fn list(&mut self, path: &str, texts: &[String]) -> Vec<SocketAddr> {
        if texts.is_empty() {
            self.bad(ResultCode::SettingsMissingField, path, "name at least one address");
        }
        let mut parsed = Vec::new();
        for (i, text) in texts.iter().enumerate() {
            parsed.extend(self.required::<SocketAddr>(&format!("{path}/{i}"), Some(text)));
        }
        parsed
    }

    fn required<T>(&mut self, path: &str, text: Option<&str>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = text else {
            // A field of the wrong type is reported as such, not as missing.
            if !self.faults.has(path) {
                self.bad(ResultCode::SettingsMissingField, path, "the field is required");
            }
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.bad(ResultCode::SettingsBadValue, path, format!("{text:?}: {error}"));
                None
            }
        }
    }

    fn optional<T>(&mut self, path: &str, text: Option<&str>, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        match text {
            Some(_) => self.required(path, text).unwrap_or(default),
            None => default,
        }
    }
}
