//! Typed resources of the configuration document and the checks on each by itself.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use kingcuplift_core::{
    Faults, Rank, ResultCode, ServiceName, Share, TargetVersion, ZoneName, check_fields,
};
use kingcuplift_schema::config as wire;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;

/// Slots of a target when its service names none.
const DEFAULT_SLOTS: u32 = 20;
/// Connections of a target when its service names none.
const DEFAULT_CONNECTIONS: u32 = 120;
/// Calls that may wait before one target when the service names no number.
const DEFAULT_QUEUE: u32 = 100;
/// Largest number of slots, connections or waiting calls.
const MAX_COUNT: u32 = 100_000;
/// Longest time for one call when the route names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time for one call that a route may name.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// Longest host name or path prefix, in bytes.
const MAX_TEXT: usize = 1024;

/// Kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A class of calls.
    Priorities,
    /// A service and what its targets bear.
    Services,
    /// A rule that sends calls to a service.
    Routes,
    /// A change of traffic between target versions.
    Moves,
    /// An availability zone.
    Zones,
}

impl Kind {
    /// Returns the name used in documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Priorities => "priorities",
            Self::Services => "services",
            Self::Routes => "routes",
            Self::Moves => "moves",
            Self::Zones => "zones",
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
            _ => Err(format!(
                "{text:?} is no resource kind; use services, routes, priorities, moves or zones"
            )),
        }
    }
}

/// Address of a resource, written `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name within the kind.
    pub name: SmolStr,
}

impl ResourceKey {
    /// Makes the address of `name` within `kind`.
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

/// A service and what its targets bear.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Calls that one target runs at a time.
    pub slots: u32,
    /// Connections that one target accepts.
    pub connections: u32,
    /// Methods that may run more than once.
    pub idempotent: Vec<SmolStr>,
    /// Calls that may wait before one target.
    pub queue: u32,
}

/// A rule that sends calls to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Host that the caller names, in lower case.
    pub host: SmolStr,
    /// Beginning of the path.
    pub prefix: SmolStr,
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the priority.
    pub priority: Option<SmolStr>,
    /// Longest time for one call.
    pub timeout: Duration,
}

/// A change of a service's traffic from one target version to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveSpec {
    /// Name of the service.
    pub service: ServiceName,
    /// Target version that has the traffic.
    pub from: TargetVersion,
    /// Target version that is to get the traffic.
    pub to: TargetVersion,
    /// Final share of the new target version.
    pub share: Share,
    /// Time by which the traffic must have moved.
    pub deadline: jiff::Timestamp,
}

/// Whether an availability zone is in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneState {
    /// Takes new work.
    In,
    /// Takes no new work.
    Out,
}

/// A checked resource.
#[derive(Debug, Clone, PartialEq, Eq)]
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
}

impl Resource {
    /// Checks `value` as the content of `key`; every fault found is added to `faults`.
    pub fn parse(key: &ResourceKey, value: &Value, faults: &mut Faults) -> Option<Self> {
        let before = faults.0.len();
        let path = key.to_string();
        let resource = match key.kind {
            Kind::Services => parse_service(&path, value, faults).map(Self::Service),
            Kind::Routes => parse_route(&path, value, faults).map(Self::Route),
            Kind::Priorities => parse_priority(&path, value, faults).map(Self::Priority),
            Kind::Moves => parse_move(&path, value, faults).map(Self::Move),
            Kind::Zones => parse_zone(&key.name, &path, value, faults).map(Self::Zone),
        };
        match faults.0.len() == before {
            true => resource,
            false => None,
        }
    }

    /// Returns the addresses of the resources that this one refers to.
    pub fn references(&self) -> Vec<ResourceKey> {
        match self {
            Self::Route(route) => {
                let mut keys = vec![ResourceKey::new(Kind::Services, route.service.as_str())];
                let priority = route.priority.as_ref();
                keys.extend(priority.map(|name| ResourceKey::new(Kind::Priorities, name)));
                keys
            }
            Self::Move(spec) => vec![ResourceKey::new(Kind::Services, spec.service.as_str())],
            Self::Service(_) | Self::Priority(_) | Self::Zone(_) => Vec::new(),
        }
    }

    /// Returns the service that the resource belongs to, if it belongs to one.
    pub fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Route(route) => Some(&route.service),
            Self::Move(spec) => Some(&spec.service),
            Self::Service(_) | Self::Priority(_) | Self::Zone(_) => None,
        }
    }
}

/// Reads `value` as a message, reporting each faulty field.
fn read<T: DeserializeOwned>(path: &str, value: &Value, faults: &mut Faults) -> Option<T> {
    let Some(object) = value.as_object() else {
        faults.push(ResultCode::PatchWrongType, path, "the resource is not a JSON object");
        return None;
    };
    let sound = check_fields::<T>(
        path,
        object,
        ResultCode::PatchUnknownField,
        ResultCode::PatchWrongType,
        faults,
    );
    serde_json::from_value(Value::Object(sound)).ok()
}

/// Parses a required text field.
fn required<T>(path: &str, field: &str, text: Option<&str>, faults: &mut Faults) -> Option<T>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let Some(text) = text else {
        report_missing(path, field, faults);
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

/// Reports a missing field, unless it is there with another fault.
fn report_missing(path: &str, field: &str, faults: &mut Faults) {
    let path = format!("{path}/{field}");
    if !faults.has(&path) {
        let detail = format!("the field {field:?} is required");
        faults.push(ResultCode::PatchMissingField, path, detail);
    }
}

/// Checks that a number lies within `min..=max`, filling in a default.
fn number<T>(path: &str, value: Option<T>, default: T, min: T, max: T, faults: &mut Faults) -> T
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
    let wire: wire::Service = read(path, value, faults)?;
    let mut count = |field: &str, value, default, min| {
        number(&format!("{path}/{field}"), value, default, min, MAX_COUNT, faults)
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
    let idempotent = wire.idempotent_methods.iter().map(SmolStr::new).collect();
    Some(ServiceSpec { slots, connections, idempotent, queue })
}

fn parse_route(path: &str, value: &Value, faults: &mut Faults) -> Option<RouteSpec> {
    let wire: wire::Route = read(path, value, faults)?;
    let host = wire.host.unwrap_or_default().to_ascii_lowercase();
    if host.is_empty() {
        report_missing(path, "host", faults);
    } else if host.len() > MAX_TEXT || host.contains(['/', ' ', ':']) {
        let detail = "name a host without port, such as lessons.example";
        faults.push(ResultCode::PatchBadValue, format!("{path}/host"), detail);
    }
    let prefix = wire.prefix.unwrap_or_else(|| "/".to_owned());
    if !prefix.starts_with('/') || prefix.len() > MAX_TEXT {
        let detail = "a prefix begins with '/' and has at most 1024 bytes";
        faults.push(ResultCode::PatchBadValue, format!("{path}/prefix"), detail);
    }
    let service = required(path, "service", wire.service.as_deref(), faults);
    let max = MAX_TIMEOUT.as_millis() as u64;
    let default = DEFAULT_TIMEOUT.as_millis() as u64;
    let timeout = number(&format!("{path}/timeout_ms"), wire.timeout_ms, default, 1, max, faults);
    Some(RouteSpec {
        host: SmolStr::new(host),
        prefix: SmolStr::new(prefix),
        service: service?,
        priority: wire.priority.map(SmolStr::new),
        timeout: Duration::from_millis(timeout),
    })
}

fn parse_priority(path: &str, value: &Value, faults: &mut Faults) -> Option<Rank> {
    let wire: wire::Priority = read(path, value, faults)?;
    let rank = number(&format!("{path}/rank"), wire.rank, 0, 0, u32::from(u8::MAX), faults);
    if wire.rank.is_none() {
        report_missing(path, "rank", faults);
    }
    u8::try_from(rank).ok().map(Rank::new)
}

fn parse_move(path: &str, value: &Value, faults: &mut Faults) -> Option<MoveSpec> {
    let wire: wire::Move = read(path, value, faults)?;
    let service = required(path, "service", wire.service.as_deref(), faults);
    let from: Option<TargetVersion> = required(path, "from", wire.from.as_deref(), faults);
    let to: Option<TargetVersion> = required(path, "to", wire.to.as_deref(), faults);
    let deadline = required(path, "deadline", wire.deadline.as_deref(), faults);
    let max = u32::from(Share::WHOLE.percent());
    let share = number(&format!("{path}/share"), wire.share, max, 1, max, faults);
    if from.is_some() && from == to {
        let detail = "\"from\" and \"to\" are equal; name two target versions";
        faults.push(ResultCode::PatchBadValue, format!("{path}/to"), detail);
    }
    Some(MoveSpec {
        service: service?,
        from: from?,
        to: to?,
        share: u8::try_from(share).ok().and_then(Share::new)?,
        deadline: deadline?,
    })
}

fn parse_zone(name: &str, path: &str, value: &Value, faults: &mut Faults) -> Option<ZoneState> {
    let wire: wire::Zone = read(path, value, faults)?;
    if let Err(error) = name.parse::<ZoneName>() {
        faults.push(ResultCode::PatchBadValue, path, error.to_string());
    }
    match wire.state.as_deref() {
        Some("in") => Some(ZoneState::In),
        Some("out") => Some(ZoneState::Out),
        None => {
            report_missing(path, "state", faults);
            None
        }
        Some(_) => {
            let detail = "the state of an availability zone is \"in\" or \"out\"";
            faults.push(ResultCode::PatchBadValue, format!("{path}/state"), detail);
            None
        }
    }
}
