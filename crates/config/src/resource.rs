//! Typed resources of the configuration document and the validation of each single resource.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use kingcuplift_core::{
    ByteSize, Faults, PerSecond, Rank, ResultCode, ServiceName, Share, TargetVersion, ZoneName,
    check_fields,
};
use kingcuplift_schema::config as wire;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;

/// Default number of concurrent calls per target.
const DEFAULT_SLOTS: u32 = 20;
/// Default number of connections per target.
const DEFAULT_CONNECTIONS: u32 = 120;
/// Default queue length per target, in calls.
const DEFAULT_QUEUE: u32 = 100;
/// Longest duration of a move.
const MAX_MOVE_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);
/// Largest share, in thousandths.
const MAX_PERMILLE: u32 = 1_000;
/// Largest rank.
const MAX_RANK: u32 = u8::MAX as u32;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;
/// Largest number of concurrent calls, connections or queued calls, and largest weight and warm-up rate.
const MAX_COUNT: u32 = 100_000;
/// Default timeout of a call.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest timeout of a call, of receiving headers and of an idle connection, and longest latency objective.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// Longest warm-up period of a target.
const MAX_WARMUP: Duration = Duration::from_secs(3600);
/// Largest permitted number of attempts per call.
const MAX_ATTEMPTS: u32 = 16;
/// Default limit on the headers of a call; the usual limit of HTTP/1.1 servers.
const DEFAULT_MAX_HEADER_SIZE: ByteSize = ByteSize::kib(64);
/// Default limit on the body of a call.
const DEFAULT_MAX_BODY_SIZE: ByteSize = ByteSize::mib(64);
/// Default timeout for receiving the headers of a call.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Default timeout of an idle connection.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Name of the only resource of kind `limits`.
pub const CALLER_LIMITS: &str = "callers";
/// Longest host name or path prefix, in bytes.
const MAX_TEXT_BYTES: usize = 1024;

/// Kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A priority class of calls.
    Priorities,
    /// A service and the capacity of its targets.
    Services,
    /// A rule that routes calls to services.
    Routes,
    /// A gradual shift of a service's traffic between target versions.
    Moves,
    /// An availability zone.
    Zones,
    /// Limits on what callers may send.
    Limits,
    /// An organisation whose callers identify themselves by keys.
    Tenants,
}

impl Kind {
    /// All kinds, in the order of documents.
    pub const ALL: [Self; 7] = [
        Self::Services,
        Self::Routes,
        Self::Priorities,
        Self::Moves,
        Self::Zones,
        Self::Limits,
        Self::Tenants,
    ];

    /// Returns whether a full configuration replaces all resources of the kind.
    pub const fn is_replaced_by_revision(self) -> bool {
        matches!(self, Self::Services | Self::Routes | Self::Limits | Self::Tenants)
    }

    /// Returns the name used in documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Priorities => "priorities",
            Self::Services => "services",
            Self::Routes => "routes",
            Self::Moves => "moves",
            Self::Zones => "zones",
            Self::Limits => "limits",
            Self::Tenants => "tenants",
        }
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "priorities" => Ok(Self::Priorities),
            "services" => Ok(Self::Services),
            "routes" => Ok(Self::Routes),
            "moves" => Ok(Self::Moves),
            "zones" => Ok(Self::Zones),
            "limits" => Ok(Self::Limits),
            "tenants" => Ok(Self::Tenants),
            _ => Err(format!(
                "{text:?} is not a resource kind; use services, routes, priorities, moves, zones, limits or tenants"
            )),
        }
    }
}

/// Key of a resource, written `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name within the kind.
    pub name: SmolStr,
}

impl ResourceKey {
    /// Creates the key of `name` within `kind`.
    pub fn new(kind: Kind, name: &str) -> Self {
        Self { kind, name: SmolStr::new(name) }
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl FromStr for ResourceKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) =
            text.split_once('/').ok_or_else(|| format!("{text:?} is not of the form kind/name"))?;
        let name = ServiceName::from_str(name).map_err(|error| error.to_string())?;
        Ok(Self::new(kind.parse()?, name.as_str()))
    }
}

/// A service and the capacity of its targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Concurrent calls per target.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Methods whose calls may be executed more than once.
    pub idempotent_methods: Vec<SmolStr>,
    /// Queue length per target, in calls.
    pub queue: u32,
    /// Path of the target's health check.
    pub health_check_path: Option<SmolStr>,
    /// Warm-up period after a target's start.
    pub warmup: Duration,
    /// Calls per second that a target can serve while warming up; `None` means no limit.
    pub warmup_rate: Option<PerSecond>,
}

/// A rule that routes calls to services.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSpec {
    /// Host of the request, in lower case.
    pub host: SmolStr,
    /// Path prefix.
    pub prefix: SmolStr,
    /// Services that share the calls; at least one.
    pub split: Vec<WeightedService>,
    /// Name of the priority.
    pub priority: Option<SmolStr>,
    /// Rank of the calls if the route names no priority.
    pub rank: Option<Rank>,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Latency objective: a later response has less value.
    pub objective: Option<Duration>,
    /// Whether a call may be executed more than once; `None` means that the method decides.
    pub semantics: Option<Semantics>,
    /// Most targets to which a call is sent.
    pub attempt_limit: Option<u32>,
}

/// A service of a route and its weight.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the route's other services, 0 or more.
    pub weight: f64,
}

/// Whether a call may be executed more than once, and whether it transfers much data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Semantics {
    /// A call may be executed more than once.
    Idempotent,
    /// A call must not be executed twice.
    AtMostOnce,
    /// A call with a large request, which must not be executed twice.
    Upload,
    /// A call with a large response, which may be executed more than once.
    Download,
}

impl Semantics {
    /// Returns whether a call may be executed more than once.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }

    /// Returns whether a call transfers much data.
    pub const fn is_bulk(self) -> bool {
        matches!(self, Self::Upload | Self::Download)
    }

    /// Returns the name used in configurations and messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "at_most_once",
            Self::Upload => "upload",
            Self::Download => "download",
        }
    }
}

impl FromStr for Semantics {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "idempotent" => Ok(Self::Idempotent),
            "at_most_once" => Ok(Self::AtMostOnce),
            "upload" => Ok(Self::Upload),
            "download" => Ok(Self::Download),
            _ => Err(format!(
                "{text:?} is unknown; use \"idempotent\", \"at_most_once\", \"upload\" or \"download\""
            )),
        }
    }
}

/// Limits on what callers may send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest total size of a call's headers.
    pub max_header_size: ByteSize,
    /// Largest body of a call.
    pub max_body_size: ByteSize,
    /// Timeout for receiving the headers of a call.
    pub header_timeout: Duration,
    /// Timeout of an idle connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_size: DEFAULT_MAX_HEADER_SIZE,
            max_body_size: DEFAULT_MAX_BODY_SIZE,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// An organisation whose callers identify themselves by keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantSpec {
    /// Keys of its callers.
    pub api_keys: Vec<SmolStr>,
    /// Rank of its calls, in place of that of the route.
    pub rank: Option<Rank>,
}

/// A gradual shift of a service's traffic from one target version to another.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveSpec {
    /// Name of the service.
    pub service: ServiceName,
    /// Target version that has the traffic so far; `None` if no version had any.
    pub from: Option<TargetVersion>,
    /// Target version that receives the traffic.
    pub to: TargetVersion,
    /// Final share of the new target version.
    pub share: Share,
    /// Time by which the move must be complete.
    pub deadline: Option<jiff::Timestamp>,
    /// Progress of the move.
    pub state: MoveState,
    /// Present share of the new target version, in thousandths.
    pub moved_permille: u16,
    /// Planned duration of the move.
    pub duration: Option<Duration>,
    /// When the move was requested, in milliseconds since the Unix epoch.
    pub requested_ms: u64,
}

/// Progress of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveState {
    /// The new target version has no share yet.
    Waiting,
    /// The new target version has a share.
    Moving,
    /// The new target version has its final share.
    Done,
    /// The move was rolled back: the old target version has all traffic again.
    RolledBack,
}

impl MoveState {
    /// Returns the name used in documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Moving => "moving",
            Self::Done => "done",
            Self::RolledBack => "taken_back",
        }
    }

    /// Returns whether the move has ended.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack)
    }
}

impl FromStr for MoveState {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::Waiting, Self::Moving, Self::Done, Self::RolledBack]
            .into_iter()
            .find(|state| state.as_str() == text)
            .ok_or_else(|| {
                format!(
                    "{text:?} is not a state; use \"waiting\", \"moving\", \"done\" or \"taken_back\""
                )
            })
    }
}

/// Whether an availability zone is in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneState {
    /// Receives new calls.
    In,
    /// Receives no new calls.
    Out,
}

/// A validated resource.
#[derive(Debug, Clone, PartialEq)]
pub enum Resource {
    /// A service.
    Service(ServiceSpec),
    /// A route.
    Route(RouteSpec),
    /// A priority with its rank.
    Priority(Rank),
    /// A move.
    Move(MoveSpec),
    /// An availability zone.
    Zone(ZoneState),
    /// Limits on what callers may send.
    Limits(CallerLimits),
    /// An organisation.
    Tenant(TenantSpec),
}

impl Resource {
    /// Validates `value` as the content of `key` and adds every fault found to `faults`.
    pub fn parse(key: &ResourceKey, value: &Value, faults: &mut Faults) -> Option<Self> {
        let before = faults.0.len();
        let path = key.to_string();
        let resource = match key.kind {
            Kind::Services => parse_service(&path, value, faults).map(Self::Service),
            Kind::Routes => parse_route(&path, value, faults).map(Self::Route),
            Kind::Priorities => parse_priority(&path, value, faults).map(Self::Priority),
            Kind::Moves => parse_move(&path, value, faults).map(Self::Move),
            Kind::Zones => parse_zone(&key.name, &path, value, faults).map(Self::Zone),
            Kind::Limits => parse_limits(&key.name, &path, value, faults).map(Self::Limits),
            Kind::Tenants => parse_tenant(&path, value, faults).map(Self::Tenant),
        };
        match faults.0.len() == before {
            true => resource,
            false => None,
        }
    }

    /// Returns the keys of the resources that this one refers to.
    pub fn references(&self) -> Vec<ResourceKey> {
        let service = |name: &ServiceName| ResourceKey::new(Kind::Services, name.as_str());
        match self {
            Self::Route(route) => {
                let mut keys: Vec<_> =
                    route.split.iter().map(|part| service(&part.service)).collect();
                let priority = route.priority.as_ref();
                keys.extend(priority.map(|name| ResourceKey::new(Kind::Priorities, name)));
                keys
            }
            Self::Move(spec) => vec![service(&spec.service)],
            Self::Service(_)
            | Self::Priority(_)
            | Self::Zone(_)
            | Self::Limits(_)
            | Self::Tenant(_) => Vec::new(),
        }
    }

    /// Returns the services that the resource belongs to.
    pub fn services(&self) -> Vec<&ServiceName> {
        match self {
            Self::Route(route) => route.split.iter().map(|part| &part.service).collect(),
            Self::Move(spec) => vec![&spec.service],
            Self::Service(_)
            | Self::Priority(_)
            | Self::Zone(_)
            | Self::Limits(_)
            | Self::Tenant(_) => Vec::new(),
        }
    }
}

/// Deserialises `value`, reporting each faulty field.
fn parse_fields<T: DeserializeOwned>(path: &str, value: &Value, faults: &mut Faults) -> Option<T> {
    let Some(object) = value.as_object() else {
        faults.push(ResultCode::PatchWrongType, path, "the resource is not a JSON object");
        return None;
    };
    let valid = check_fields::<T>(
        path,
        object,
        ResultCode::PatchUnknownField,
        ResultCode::PatchWrongType,
        faults,
    );
    serde_json::from_value(Value::Object(valid)).ok()
}

/// Parses a required text field.
fn parse_required<T>(path: &str, field: &str, text: Option<&str>, faults: &mut Faults) -> Option<T>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let Some(text) = text else {
        report_missing_field(path, field, faults);
        return None;
    };
    match text.parse() {
        Ok(value) => Some(value),
        Err(error) => {
            faults.push(ResultCode::PatchBadValue, format!("{path}/{field}"), error.to_string());
            None
        }
    }
}

/// Reports a missing field, unless the field is present with another fault.
fn report_missing_field(path: &str, field: &str, faults: &mut Faults) {
    let path = format!("{path}/{field}");
    if !faults.has(&path) {
        let detail = format!("the field {field:?} is required");
        faults.push(ResultCode::PatchMissingField, path, detail);
    }
}

/// Checks that a number is within `min..=max`; returns the default if it is missing or out of range.
fn parse_number<T>(
    path: &str,
    value: Option<T>,
    default: T,
    min: T,
    max: T,
    faults: &mut Faults,
) -> T
where
    T: Copy + PartialOrd + fmt::Display,
{
    match value {
        Some(n) if n < min || n > max => {
            let detail = format!("{n} is out of range; use {min} to {max}");
            faults.push(ResultCode::PatchBadValue, path, detail);
            default
        }
        Some(n) => n,
        None => default,
    }
}

fn parse_service(path: &str, value: &Value, faults: &mut Faults) -> Option<ServiceSpec> {
    let wire: wire::Service = parse_fields(path, value, faults)?;
    let mut count = |field: &str, value, default, min| {
        parse_number(&format!("{path}/{field}"), value, default, min, MAX_COUNT, faults)
    };
    let slots = count("slots", wire.slots, DEFAULT_SLOTS, 1);
    let connections = count("connections", wire.connections, DEFAULT_CONNECTIONS, 1);
    let queue = count("queue", wire.queue, DEFAULT_QUEUE, 0);
    for (i, method) in wire.idempotent_methods.iter().enumerate() {
        let valid = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        if !valid {
            let detail = format!("{method:?} is not a method; use upper-case letters");
            let path = format!("{path}/idempotent_methods/{i}");
            faults.push(ResultCode::PatchBadValue, path, detail);
        }
    }
    let idempotent_methods = wire.idempotent_methods.iter().map(SmolStr::new).collect();
    let max = MAX_WARMUP.as_secs_f64();
    let warmup = parse_number(&format!("{path}/warmup_s"), wire.warmup_s, 0.0, 0.0, max, faults);
    let max = f64::from(MAX_COUNT);
    let rate =
        parse_number(&format!("{path}/warmup_rate"), wire.warmup_rate, 0.0, 0.0, max, faults);
    if wire.protocol.as_deref().is_some_and(|protocol| protocol != "h1") {
        let detail = "the only protocol of targets is \"h1\"";
        faults.push(ResultCode::PatchBadValue, format!("{path}/protocol"), detail);
    }
    if wire.tls == Some(true) {
        let detail = "calls to targets stay within the VM and use no TLS; set false";
        faults.push(ResultCode::PatchBadValue, format!("{path}/tls"), detail);
    }
    Some(ServiceSpec {
        slots,
        connections,
        idempotent_methods,
        queue,
        health_check_path: wire.health.map(SmolStr::new),
        warmup: Duration::from_secs_f64(warmup),
        warmup_rate: (rate > 0.0).then(|| PerSecond::new(rate)),
    })
}

fn parse_route(path: &str, value: &Value, faults: &mut Faults) -> Option<RouteSpec> {
    let wire: wire::Route = parse_fields(path, value, faults)?;
    let host = wire.host.unwrap_or_default().to_ascii_lowercase();
    if host.is_empty() {
        report_missing_field(path, "host", faults);
    } else if host.len() > MAX_TEXT_BYTES || host.contains(['/', ' ', ':']) {
        let detail = "use a host name without a port, such as lessons.example";
        faults.push(ResultCode::PatchBadValue, format!("{path}/host"), detail);
    }
    let prefix = wire.prefix.unwrap_or_else(|| "/".to_owned());
    if !prefix.starts_with('/') || prefix.len() > MAX_TEXT_BYTES {
        let detail = "a prefix must begin with '/' and have at most 1024 bytes";
        faults.push(ResultCode::PatchBadValue, format!("{path}/prefix"), detail);
    }
    let split = parse_split(path, wire.service.as_deref(), &wire.split, faults);
    let max = MAX_TIMEOUT.as_secs_f64() * MS_PER_SECOND;
    let default = DEFAULT_TIMEOUT.as_secs_f64() * MS_PER_SECOND;
    let timeout =
        parse_number(&format!("{path}/timeout_ms"), wire.timeout_ms, default, 1.0, max, faults);
    let objective =
        parse_number(&format!("{path}/objective_ms"), wire.objective_ms, 0.0, 0.0, max, faults);
    let rank = parse_rank(path, wire.rank, faults);
    let attempt_limit = wire.attempts.map(|attempts| {
        parse_number(&format!("{path}/attempts"), Some(attempts), 1, 1, MAX_ATTEMPTS, faults)
    });
    let semantics = wire.semantics.as_deref();
    let semantics =
        semantics.and_then(|text| parse_required(path, "semantics", Some(text), faults));
    Some(RouteSpec {
        host: SmolStr::new(host),
        prefix: SmolStr::new(prefix),
        split: split?,
        priority: wire.priority.map(SmolStr::new),
        rank,
        timeout: Duration::from_secs_f64(timeout / MS_PER_SECOND),
        objective: (objective > 0.0).then(|| Duration::from_secs_f64(objective / MS_PER_SECOND)),
        semantics,
        attempt_limit,
    })
}

/// Parses the services that share a route's calls.
fn parse_split(
    path: &str,
    service: Option<&str>,
    split: &[wire::Part],
    faults: &mut Faults,
) -> Option<Vec<WeightedService>> {
    if split.is_empty() {
        let service = parse_required(path, "service", service, faults)?;
        return Some(vec![WeightedService { service, weight: 1.0 }]);
    }
    let mut parts = Vec::with_capacity(split.len());
    for (i, part) in split.iter().enumerate() {
        let path = format!("{path}/split/{i}");
        let weight = parse_number(
            &format!("{path}/weight"),
            part.weight,
            1.0,
            0.0,
            f64::from(MAX_COUNT),
            faults,
        );
        let service = parse_required(&path, "service", part.service.as_deref(), faults);
        parts.extend(service.map(|service| WeightedService { service, weight }));
    }
    if parts.iter().all(|part| part.weight == 0.0) {
        let detail = "no service of the split has a weight above 0";
        faults.push(ResultCode::PatchBadValue, format!("{path}/split"), detail);
    }
    Some(parts)
}

fn parse_limits(
    name: &str,
    path: &str,
    value: &Value,
    faults: &mut Faults,
) -> Option<CallerLimits> {
    let wire: wire::CallerLimits = parse_fields(path, value, faults)?;
    if name != CALLER_LIMITS {
        let detail = format!("the only resource of kind limits is {CALLER_LIMITS:?}");
        faults.push(ResultCode::PatchBadValue, path, detail);
    }
    let default = CallerLimits::default();
    let mut at_least_one = |field: &str, value, default: f64| {
        parse_number(&format!("{path}/{field}"), value, default, 1.0, f64::MAX, faults)
    };
    let header_bytes =
        at_least_one("header_bytes", wire.header_bytes, default.max_header_size.get() as f64);
    let body_bytes =
        at_least_one("body_bytes", wire.body_bytes, default.max_body_size.get() as f64);
    let header_ms = at_least_one(
        "header_ms",
        wire.header_ms,
        default.header_timeout.as_secs_f64() * MS_PER_SECOND,
    );
    let idle_ms =
        at_least_one("idle_ms", wire.idle_ms, default.idle_timeout.as_secs_f64() * MS_PER_SECOND);
    let longest = MAX_TIMEOUT.as_secs_f64() * MS_PER_SECOND;
    Some(CallerLimits {
        max_header_size: ByteSize::bytes(header_bytes as u64),
        max_body_size: ByteSize::bytes(body_bytes as u64),
        header_timeout: Duration::from_secs_f64(header_ms.min(longest) / MS_PER_SECOND),
        idle_timeout: Duration::from_secs_f64(idle_ms.min(longest) / MS_PER_SECOND),
    })
}

fn parse_tenant(path: &str, value: &Value, faults: &mut Faults) -> Option<TenantSpec> {
    let wire: wire::Tenant = parse_fields(path, value, faults)?;
    for (i, _) in wire.api_keys.iter().enumerate().filter(|(_, key)| key.is_empty()) {
        let detail = "a key must not be empty";
        faults.push(ResultCode::PatchBadValue, format!("{path}/api_keys/{i}"), detail);
    }
    let rank = parse_rank(path, wire.rank, faults);
    Some(TenantSpec { api_keys: wire.api_keys.iter().map(SmolStr::new).collect(), rank })
}

/// Parses an optional rank.
fn parse_rank(path: &str, rank: Option<u32>, faults: &mut Faults) -> Option<Rank> {
    let rank = parse_number(&format!("{path}/rank"), Some(rank?), 0, 0, MAX_RANK, faults);
    u8::try_from(rank).ok().map(Rank::new)
}

fn parse_priority(path: &str, value: &Value, faults: &mut Faults) -> Option<Rank> {
    let wire: wire::Priority = parse_fields(path, value, faults)?;
    let rank = parse_number(&format!("{path}/rank"), wire.rank, 0, 0, MAX_RANK, faults);
    if wire.rank.is_none() {
        report_missing_field(path, "rank", faults);
    }
    u8::try_from(rank).ok().map(Rank::new)
}

fn parse_move(path: &str, value: &Value, faults: &mut Faults) -> Option<MoveSpec> {
    let wire: wire::Move = parse_fields(path, value, faults)?;
    let service = parse_required(path, "service", wire.service.as_deref(), faults);
    let to: Option<TargetVersion> = parse_required(path, "to", wire.to.as_deref(), faults);
    let state = match wire.state.as_deref() {
        Some(text) => parse_required(path, "state", Some(text), faults)?,
        None => MoveState::Waiting,
    };
    let from = match (state, wire.from.as_deref()) {
        (MoveState::Done, None) => None,
        (_, from) => Some(parse_required::<TargetVersion>(path, "from", from, faults)?),
    };
    let deadline = match (wire.deadline.as_deref(), wire.within_s) {
        (None, Some(_)) => None,
        (None, None) if state == MoveState::Done => None,
        (text, _) => Some(parse_required::<jiff::Timestamp>(path, "deadline", text, faults)?),
    };
    let longest = MAX_MOVE_DURATION.as_secs_f64();
    let within = wire.within_s.map(|within| {
        parse_number(&format!("{path}/within_s"), Some(within), longest, 0.0, longest, faults)
    });
    let max = u32::from(Share::FULL.percent());
    let share = parse_number(&format!("{path}/share"), wire.share, max, 1, max, faults);
    let moved = parse_number(&format!("{path}/moved"), wire.moved, 0, 0, MAX_PERMILLE, faults);
    let requested =
        parse_number(&format!("{path}/ordered_ms"), wire.ordered_ms, 0.0, 0.0, f64::MAX, faults);
    if from.is_some() && from == to {
        let detail = "\"from\" and \"to\" are equal; name two target versions";
        faults.push(ResultCode::PatchBadValue, format!("{path}/to"), detail);
    }
    Some(MoveSpec {
        service: service?,
        from,
        to: to?,
        share: u8::try_from(share).ok().and_then(Share::new)?,
        deadline,
        state,
        moved_permille: u16::try_from(moved).ok()?,
        duration: within.map(Duration::from_secs_f64),
        requested_ms: requested as u64,
    })
}

fn parse_zone(name: &str, path: &str, value: &Value, faults: &mut Faults) -> Option<ZoneState> {
    let wire: wire::Zone = parse_fields(path, value, faults)?;
    if let Err(error) = name.parse::<ZoneName>() {
        faults.push(ResultCode::PatchBadValue, path, error.to_string());
    }
    match wire.state.as_deref() {
        Some("in") => Some(ZoneState::In),
        Some("out") => Some(ZoneState::Out),
        None => {
            report_missing_field(path, "state", faults);
            None
        }
        Some(_) => {
            let detail = "the state of an availability zone must be \"in\" or \"out\"";
            faults.push(ResultCode::PatchBadValue, format!("{path}/state"), detail);
            None
        }
    }
}
