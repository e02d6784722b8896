//! Typed options, parsed and validated from the settings file.

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
use kingcuplift_traffic::{LinkRate, RetryLimits, WarmupTolerance};
use log::LevelFilter;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::error::StartError;
use crate::node::HeaderNames;

/// Default time without a leader after which an election may start.
const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Permitted election timeouts, in milliseconds.
const ELECTION_TIMEOUT_RANGE_MS: std::ops::RangeInclusive<u64> = 50..=60_000;
/// Time between the end of a graceful shutdown and the forced end of the process.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Default time for a graceful shutdown; the default timeout of calls is shorter.
const DEFAULT_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);
const MS_PER_SECOND: f64 = 1_000.0;
/// Maximum duration in the settings, in milliseconds: one day.
const MAX_DURATION_MS: f64 = 86_400_000.0;
/// Default number of threads that serve calls.
const DEFAULT_THREADS: usize = 1;
/// Maximum number of threads that serve calls.
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
    /// Format of log lines.
    pub log_format: Format,
    /// Minimum severity of the events that are logged.
    pub log_level: LevelFilter,
    /// Source of the certificates.
    pub keys: KeyOptions,
    /// Options of the source role.
    pub source: Option<SourceOptions>,
    /// Options of the relay role.
    pub relay: Option<RelayOptions>,
    /// Options of the node role.
    pub node: Option<NodeOptions>,
}

/// Source of the certificates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOptions {
    /// No certificates; links use plaintext TCP.
    None,
    /// Generated at start and kept in memory; only for a process with all roles.
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
    /// Identifier of this member; absent if members discover each other through seeds.
    pub id: Option<MemberId>,
    /// Data folder with the durable state.
    pub data: PathBuf,
    /// Address of the operator API.
    pub http: SocketAddr,
    /// Address on which links from other members and relays are accepted.
    pub listen: SocketAddr,
    /// Address at which other members and relays reach this member.
    pub advertise: SocketAddr,
    /// The initial members, including this one; empty if they discover each other through seeds.
    pub members: Vec<MemberOptions>,
    /// Addresses of some members, for discovery.
    pub seeds: Vec<SocketAddr>,
    /// Address at which nodes reach the relay in the same process, if any.
    pub relay: Option<SocketAddr>,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Whether the whole site starts for the first time, with empty data folders.
    pub is_first_start: bool,
    /// Whether the leader records the target version of each service that has only one.
    pub pins_versions: bool,
    /// Time without a leader after which an election may start.
    pub election_timeout: Duration,
}

/// One initial member of the source.
#[derive(Debug, Clone)]
pub struct MemberOptions {
    /// Identifier of the member.
    pub id: MemberId,
    /// Address at which other members and relays reach the member.
    pub listen: SocketAddr,
    /// Address of the operator API.
    pub http: SocketAddr,
}

/// Options of the relay role.
#[derive(Debug, Clone)]
pub struct RelayOptions {
    /// Address on which links from nodes are accepted.
    pub listen: SocketAddr,
    /// Address of the HTTP interface for health checks and metrics.
    pub http: SocketAddr,
    /// Addresses of the source members.
    pub sources: Vec<SocketAddr>,
}

/// Options of the node role.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// Address on which calls from callers are accepted.
    pub callers: SocketAddr,
    /// Address on which calls forwarded by other nodes are accepted.
    pub peers: SocketAddr,
    /// Address at which other nodes reach this node.
    pub advertise: SocketAddr,
    /// Address of the HTTP interface for targets, health checks and metrics.
    pub admin: SocketAddr,
    /// Addresses of relays, nearest first.
    pub relays: Vec<SocketAddr>,
    /// Services that callers may reach through this node; empty means all.
    pub services: Vec<ServiceName>,
    /// Number of threads that serve calls.
    pub threads: usize,
    /// Additional address of the readiness endpoint.
    pub ready: Option<SocketAddr>,
    /// Additional address of the metrics endpoint.
    pub metrics: Option<SocketAddr>,
    /// Service of the local target.
    pub service: Option<ServiceName>,
    /// Address of the local target.
    pub target: Option<SocketAddr>,
    /// Names of the headers that callers and targets use.
    pub headers: HeaderNames,
    /// Limits on the retries of all nodes together.
    pub retries: RetryLimits,
    /// Calls that cold targets bear beyond the rate that their service states.
    pub warmup: WarmupTolerance,
    /// Upper bound of the rate of the VM's link; `None` if it is not known.
    pub link_rate: Option<LinkRate>,
    /// Time for a graceful shutdown.
    pub shutdown_timeout: Duration,
}

/// Security of the links, and seeds for the discovery of other processes.
#[derive(Debug, Clone, Default)]
struct LinkOptions {
    is_plaintext: bool,
    seeds: Vec<SocketAddr>,
    source_port: Option<u16>,
    relay_port: Option<u16>,
}

impl LinkOptions {
    /// Returns the seed addresses with `port` in place of their own, if given.
    fn seeds_at(&self, port: Option<u16>) -> Vec<SocketAddr> {
        let with_port = |seed: &SocketAddr| SocketAddr::new(seed.ip(), port.unwrap_or(seed.port()));
        self.seeds.iter().map(with_port).collect()
    }
}

impl Options {
    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, StartError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| StartError::SettingsFile { path: path.to_owned(), source })?;
        Self::parse(&text).map_err(StartError::InvalidSettings)
    }

    /// Parses and validates settings; the error lists all faults.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut checker = Checker::default();
        let object = match serde_json::from_str(text) {
            Ok(Value::Object(object)) => object,
            Ok(_) => {
                checker.add_fault(
                    ResultCode::SettingsUnreadable,
                    "",
                    "the settings are not a JSON object",
                );
                return Err(checker.faults);
            }
            Err(error) => {
                checker.add_fault(ResultCode::SettingsUnreadable, "", error.to_string());
                return Err(checker.faults);
            }
        };
        let valid = checker.check_sections(&object);
        let wire = serde_json::from_value::<wire::Settings>(Value::Object(valid));
        let wire = wire.unwrap_or_default();
        let options = checker.options(wire);
        match (checker.faults.is_empty(), options) {
            (true, Some(options)) => Ok(options),
            _ => Err(checker.faults),
        }
    }
}

/// Collects the faults found during validation.
#[derive(Debug, Default)]
struct Checker {
    faults: Faults,
}

impl Checker {
    fn add_fault(&mut self, code: ResultCode, path: &str, detail: impl Into<String>) {
        self.faults.push(code, path, detail);
    }

    /// Checks each section for unknown fields and wrong types, and returns the other fields.
    fn check_sections(&mut self, object: &Map<String, Value>) -> Map<String, Value> {
        let mut top_level = Map::new();
        let mut sections = Map::new();
        for (name, value) in object {
            let Value::Object(section) = value else {
                top_level.insert(name.clone(), value.clone());
                continue;
            };
            let path = format!("/{name}");
            let valid = match name.as_str() {
                "log" => self.check_section::<wire::LogSettings>(&path, section),
                "keys" => self.check_section::<wire::KeySettings>(&path, section),
                "source" => self.check_section::<wire::SourceSettings>(&path, section),
                "relay" => self.check_section::<wire::RelaySettings>(&path, section),
                "node" => self.check_section::<wire::NodeSettings>(&path, section),
                "links" => self.check_section::<wire::LinkSettings>(&path, section),
                _ => {
                    top_level.insert(name.clone(), value.clone());
                    continue;
                }
            };
            sections.insert(name.clone(), Value::Object(valid));
        }
        let mut valid = self.check_section::<wire::Settings>("", &top_level);
        valid.append(&mut sections);
        valid
    }

    fn check_section<T: DeserializeOwned>(
        &mut self,
        path: &str,
        section: &Map<String, Value>,
    ) -> Map<String, Value> {
        let (unknown_field, wrong_type) =
            (ResultCode::SettingsUnknownField, ResultCode::SettingsWrongType);
        check_fields::<T>(path, section, unknown_field, wrong_type, &mut self.faults)
    }

    fn options(&mut self, wire: wire::Settings) -> Option<Options> {
        let roles = self.roles(&wire);
        let name = self.required("/name", wire.name.as_deref());
        let zone = self.required("/zone", wire.zone.as_deref());
        let log = wire.log.unwrap_or_default();
        let log_format = self.optional_or("/log/format", log.format.as_deref(), Format::Text);
        let log_level = self.optional_or("/log/level", log.level.as_deref(), LevelFilter::Info);
        let links = self.links(&wire.links.unwrap_or_default());
        let keys = match links.is_plaintext {
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
            let detail = "give at least one of source, relay and node";
            self.add_fault(ResultCode::SettingsMissingField, "/roles", detail);
        }
        let sections = [
            (Role::Source, wire.source.is_some()),
            (Role::Relay, wire.relay.is_some()),
            (Role::Node, wire.node.is_some()),
        ];
        for (role, is_present) in sections {
            let path = format!("/{role}");
            match (roles.contains(&role), is_present) {
                (true, false) => {
                    let detail = format!("the role {role} needs this section");
                    self.add_fault(ResultCode::SettingsMissingField, &path, detail);
                }
                (false, true) => {
                    let detail = format!("remove this section or add the role {role}");
                    self.add_fault(ResultCode::SettingsBadValue, &path, detail);
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
            let detail =
                "give the certificate files; only a process with all roles can run without them";
            self.add_fault(ResultCode::SettingsMissingField, "/keys", detail);
            return None;
        };
        let authority = self.required("/keys/ca", wire.ca.as_deref());
        let certificate = self.required("/keys/cert", wire.cert.as_deref());
        let key = self.required("/keys/key", wire.key.as_deref());
        Some(KeyOptions::Files { authority: authority?, certificate: certificate?, key: key? })
    }

    fn links(&mut self, wire: &wire::LinkSettings) -> LinkOptions {
        let is_plaintext = match wire.security.as_deref() {
            Some("open") => true,
            Some("keys") | None => false,
            Some(other) => {
                let detail = format!("{other:?} is unknown; use \"keys\" or \"open\"");
                self.add_fault(ResultCode::SettingsBadValue, "/links/security", detail);
                false
            }
        };
        let mut seeds = Vec::new();
        for (i, text) in wire.seeds.iter().enumerate() {
            seeds.extend(self.required::<SocketAddr>(&format!("/links/seeds/{i}"), Some(text)));
        }
        let source_port = self.port("/links/source_port", wire.source_port);
        let relay_port = self.port("/links/relay_port", wire.relay_port);
        LinkOptions { is_plaintext, seeds, source_port, relay_port }
    }

    fn port(&mut self, path: &str, port: Option<u32>) -> Option<u16> {
        match port.map(u16::try_from) {
            Some(Ok(port)) if port > 0 => Some(port),
            Some(_) => {
                self.add_fault(ResultCode::SettingsBadValue, path, "use 1 to 65535");
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
        let uses_discovery = wire.members.is_empty() && !links.seeds.is_empty();
        let id = match uses_discovery {
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
        if !uses_discovery {
            self.check_members(&members, id);
        }
        let default_ms = DEFAULT_ELECTION_TIMEOUT.as_millis() as u64;
        let election_ms = wire.election_ms.unwrap_or(default_ms);
        if !ELECTION_TIMEOUT_RANGE_MS.contains(&election_ms) {
            let detail = "use 50 to 60000";
            self.add_fault(ResultCode::SettingsBadValue, "/source/election_ms", detail);
        }
        Some(SourceOptions {
            id,
            data: data?,
            http: http?,
            listen: listen?,
            advertise: self.optional("/source/advertise", wire.advertise.as_deref()).or(listen)?,
            members,
            seeds: links.seeds_at(links.source_port),
            relay: relay.and_then(|relay| relay.parse().ok()),
            zone,
            is_first_start: wire.first_start.unwrap_or(false),
            pins_versions: wire.hold_versions.unwrap_or(false),
            election_timeout: Duration::from_millis(election_ms),
        })
    }

    fn check_members(&mut self, members: &[MemberOptions], own_id: Option<MemberId>) {
        let ids: BTreeSet<MemberId> = members.iter().map(|member| member.id).collect();
        if !MEMBER_COUNTS.contains(&members.len()) || ids.len() != members.len() {
            let detail = "list 1, 3 or 5 members with different ids";
            self.add_fault(ResultCode::SettingsBadValue, "/source/members", detail);
        }
        if own_id.is_some_and(|id| !ids.contains(&id)) {
            let detail = "the members do not include this member's id";
            self.add_fault(ResultCode::SettingsBadValue, "/source/members", detail);
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
                self.add_fault(ResultCode::SettingsBadValue, path, "use an id of 1 or more");
                None
            }
            None => {
                self.add_fault(ResultCode::SettingsMissingField, path, "the field is required");
                None
            }
        }
    }

    fn relay(&mut self, wire: wire::RelaySettings, links: &LinkOptions) -> Option<RelayOptions> {
        let listen = self.required("/relay/listen", wire.listen.as_deref());
        let http = self.required("/relay/http", wire.http.as_deref());
        let sources = match (wire.sources.is_empty(), links.seeds_at(links.source_port)) {
            (true, seeds) if !seeds.is_empty() => seeds,
            _ => self.required_addresses("/relay/sources", &wire.sources),
        };
        Some(RelayOptions { listen: listen?, http: http?, sources })
    }

    fn node(&mut self, wire: wire::NodeSettings, links: &LinkOptions) -> Option<NodeOptions> {
        let callers = self.required("/node/callers", wire.callers.as_deref());
        let peers = self.required("/node/peers", wire.peers.as_deref());
        let admin = self.required("/node/admin", wire.admin.as_deref());
        let relays = match (wire.relays.is_empty(), links.seeds_at(links.relay_port)) {
            (true, seeds) if !seeds.is_empty() => seeds,
            _ => self.required_addresses("/node/relays", &wire.relays),
        };
        let mut services = Vec::new();
        for (i, text) in wire.services.iter().enumerate() {
            services
                .extend(self.required::<ServiceName>(&format!("/node/services/{i}"), Some(text)));
        }
        let threads = wire.threads.unwrap_or(DEFAULT_THREADS as u32);
        if threads == 0 || threads > MAX_THREADS {
            let detail = format!("use 1 to {MAX_THREADS}");
            self.add_fault(ResultCode::SettingsBadValue, "/node/threads", detail);
        }
        let link_rate = self.link_rate(wire.link_mbps);
        Some(NodeOptions {
            callers: callers?,
            peers: peers?,
            advertise: self.optional("/node/advertise", wire.advertise.as_deref()).or(peers)?,
            admin: admin?,
            relays,
            services,
            threads: threads as usize,
            ready: self.optional("/node/ready", wire.ready.as_deref()),
            metrics: self.optional("/node/metrics", wire.metrics.as_deref()),
            service: self.optional("/node/service", wire.service.as_deref()),
            target: self.optional("/node/target", wire.target.as_deref()),
            headers: self.headers(wire.headers),
            retries: self.retries(&wire.repeats.unwrap_or_default()),
            warmup: self.warmup(&wire.warmup.unwrap_or_default()),
            link_rate,
            shutdown_timeout: self.shutdown_timeout(wire.stop_ms, wire.grace_s),
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
            rate_limit: name("rate_limit", wire.rate_limit.as_deref()),
            leaving: name("leaving", wire.leaving.as_deref()),
        }
    }

    /// Returns the time for a graceful shutdown, which ends shortly before the process would be killed.
    fn shutdown_timeout(&mut self, stop_ms: Option<f64>, grace_s: Option<f64>) -> Duration {
        let grace_ms = grace_s.map(|seconds| seconds * MS_PER_SECOND);
        match grace_ms {
            None => self.duration("/node/stop_ms", stop_ms, DEFAULT_SHUTDOWN_TIMEOUT),
            grace_ms => {
                let grace = self.duration("/node/grace_s", grace_ms, DEFAULT_SHUTDOWN_TIMEOUT);
                grace - KILL_MARGIN.min(grace / 2)
            }
        }
    }

    fn link_rate(&mut self, mbps: Option<f64>) -> Option<LinkRate> {
        let mbps = mbps.filter(|mbps| *mbps != 0.0)?;
        let rate = LinkRate::mbps(mbps);
        if rate.is_none() {
            let detail = "use a number above 0, or 0 if the rate is not known";
            self.add_fault(ResultCode::SettingsBadValue, "/node/link_mbps", detail);
        }
        rate
    }

    fn retries(&mut self, wire: &wire::RepeatSettings) -> RetryLimits {
        let defaults = RetryLimits::default();
        let ratio = wire.ratio.unwrap_or(defaults.ratio);
        let slack = wire.slack.unwrap_or(defaults.slack);
        if ratio < 0.0 || slack < 0.0 {
            self.add_fault(
                ResultCode::SettingsBadValue,
                "/node/repeats",
                "use numbers of 0 or more",
            );
        }
        let default_window = Duration::from_millis(defaults.window_ms);
        let window_ms = wire.window_s.map(|seconds| seconds * MS_PER_SECOND);
        let window = self.duration("/node/repeats/window_s", window_ms, default_window);
        RetryLimits { ratio, slack, window_ms: window.as_millis() as u64 }
    }

    fn warmup(&mut self, wire: &wire::WarmupSettings) -> WarmupTolerance {
        let defaults = WarmupTolerance::default();
        let factor = wire.factor.unwrap_or(defaults.factor);
        let slack = wire.slack.unwrap_or(defaults.slack);
        if factor < 1.0 || slack < 0.0 {
            let detail = "use a factor of 1 or more and a slack of 0 or more";
            self.add_fault(ResultCode::SettingsBadValue, "/node/warmup", detail);
        }
        WarmupTolerance { factor, slack }
    }

    /// Converts a number of milliseconds; an invalid one is a fault.
    fn duration(&mut self, path: &str, ms: Option<f64>, default: Duration) -> Duration {
        match ms {
            None => default,
            Some(ms) if (1.0..=MAX_DURATION_MS).contains(&ms) => {
                Duration::from_secs_f64(ms / MS_PER_SECOND)
            }
            Some(_) => {
                self.add_fault(
                    ResultCode::SettingsBadValue,
                    path,
                    "use 1 to 86400000 milliseconds",
                );
                default
            }
        }
    }

    /// Parses an optional text field; an invalid one is a fault.
    fn optional<T>(&mut self, path: &str, text: Option<&str>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        text.and_then(|text| self.required(path, Some(text)))
    }

    /// Parses a list of at least one address.
    fn required_addresses(&mut self, path: &str, texts: &[String]) -> Vec<SocketAddr> {
        if texts.is_empty() {
            self.add_fault(ResultCode::SettingsMissingField, path, "give at least one address");
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
            // A field of the wrong type has been reported as such and is not missing.
            if !self.faults.has(path) {
                self.add_fault(ResultCode::SettingsMissingField, path, "the field is required");
            }
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_fault(ResultCode::SettingsBadValue, path, format!("{text:?}: {error}"));
                None
            }
        }
    }

    fn optional_or<T>(&mut self, path: &str, text: Option<&str>, default: T) -> T
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
