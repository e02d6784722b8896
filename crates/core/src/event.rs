//! Numbered log events; `docs/EVENTS.md` lists them.

use log::kv::Value;
use log::{Level, Record};

/// Severity of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// The system can't continue without an operator's action.
    Error,
    /// Something failed and the system handles it.
    Warn,
    /// A regular change of state.
    Info,
}

impl Severity {
    /// Returns the name used in `docs/EVENTS.md`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
        }
    }

    const fn level(self) -> Level {
        match self {
            Self::Error => Level::Error,
            Self::Warn => Level::Warn,
            Self::Info => Level::Info,
        }
    }
}

macro_rules! events {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $severity:ident;)+) => {
        /// Numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Event {
            /// Every event, in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Returns the number.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Returns the severity.
            pub const fn severity(self) -> Severity {
                match self { $(Self::$name => Severity::$severity,)+ }
            }

            /// Returns the name.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }

            /// Returns the one-line meaning.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),+).trim(),)+ }
            }
        }
    };
}

events! {
    /// The process has started and listens on all its addresses.
    ProcessStarted = 1, Info;
    /// The process has begun a graceful shutdown.
    ProcessStopping = 2, Info;
    /// The process has stopped.
    ProcessStopped = 3, Info;
    /// The process can't start.
    StartFailed = 4, Error;
    /// The node rejects new calls and completes those in flight.
    CallsDraining = 5, Info;
    /// Changed settings were loaded and are in effect.
    SettingsReloaded = 6, Info;
    /// Changed settings are invalid; the previous ones stay in effect.
    SettingsRefused = 7, Error;
    /// The process ends although callers or nodes have not read all responses.
    ResponsesCutOff = 8, Warn;
    /// A source member won an election.
    LeaderElected = 101, Info;
    /// A source member gave up leadership.
    LeaderStepped = 102, Info;
    /// A source member follows another leader.
    LeaderFollowed = 103, Info;
    /// A configuration version was accepted.
    VersionAccepted = 104, Info;
    /// A submission was refused.
    SubmissionRefused = 105, Info;
    /// The log was recovered at startup.
    LogRecovered = 106, Info;
    /// An incomplete record at the end of the log was truncated.
    TailTruncated = 107, Warn;
    /// Reading or writing the data folder failed; the member takes part again once the folder is recovered.
    StorageFailed = 108, Error;
    /// A snapshot of the source's state was written.
    SnapshotWritten = 109, Info;
    /// A snapshot from the leader was installed.
    SnapshotInstalled = 110, Info;
    /// The initial members formed the replication group.
    GroupFormed = 111, Info;
    /// A member's disk does not match the membership.
    DiskRefused = 112, Error;
    /// The leader started an automatic membership change.
    MembersPlaced = 113, Info;
    /// The data folder can be written again; the member takes part in the group with what it contains.
    StorageRecovered = 114, Info;
    /// A move advanced by a step, was completed or was rolled back.
    MoveStepped = 116, Info;
    /// A leader whose storage has failed asked another member to take over.
    LeaderResigned = 117, Warn;
    /// A member has heard of no leader for too long and starts an election.
    ElectionStarted = 118, Info;
    /// One piece of work kept the event loop from everything else.
    LoopBlocked = 119, Warn;
    /// Departures of targets were stored in the log.
    DeparturesStored = 120, Info;
    /// A connection to a peer was established.
    LinkOpened = 201, Info;
    /// A connection to a peer ended.
    LinkClosed = 202, Info;
    /// An incoming connection was refused.
    LinkRefused = 203, Warn;
    /// A connection attempt failed.
    LinkFailed = 204, Warn;
    /// Changed certificate files were loaded and apply to all new connections.
    KeysRenewed = 205, Info;
    /// Changed certificate files are invalid; the previous ones stay in use.
    KeysRefused = 206, Error;
    /// A configuration version was applied.
    VersionApplied = 301, Info;
    /// An update was rejected; the last valid version stays active.
    UpdateRefused = 302, Warn;
    /// The content digest differs from the sender's; a snapshot was requested.
    DigestMismatch = 303, Warn;
    /// A receiver refused an update and gets a full one.
    SnapshotRequested = 304, Warn;
    /// A target announced itself.
    TargetAnnounced = 401, Info;
    /// A target's lease expired without renewal.
    TargetExpired = 402, Warn;
    /// A target was drained.
    TargetDrained = 403, Info;
    /// A target does not accept connections and receives no calls until it reports again.
    TargetLost = 404, Warn;
    /// A target's status report can't be parsed and was ignored.
    ReportRefused = 405, Warn;
    /// The fraction of answers that a target loses or spoils has changed by a level; calls prefer other targets.
    TargetLosses = 406, Warn;
    /// A target ended while it ran calls; one of them may have caused it.
    TargetCrashed = 407, Warn;
    /// A target states another limit on its rate of calls, or none any more.
    TargetLimited = 408, Info;
    /// A target says in its answers that it is about to leave.
    TargetLeaving = 409, Info;
    /// A target states fewer free slots than its node counts; it gets fewer calls until it states otherwise.
    TargetSlotsReduced = 410, Info;
    /// A target that leaves got no confirmation: the source has not stored its departure in time.
    DepartureUnconfirmed = 411, Warn;
    /// A call was refused and not executed; lines beyond a rate limit are only counted.
    CallRefused = 501, Warn;
    /// A call may have been executed but got no response from its target; lines beyond a rate limit are only counted.
    CallFailed = 502, Warn;
    /// A call is retried at another target; lines beyond a rate limit are only counted.
    CallRepeated = 503, Info;
    /// The node beside a target refused a call; lines beyond a rate limit are only counted.
    CallNotAdmitted = 504, Info;
    /// A request is refused from now on, because targets ended while they ran it.
    RequestQuarantined = 505, Warn;
    /// The node judges calls that find no free slot at its targets by another policy from now on.
    AdmissionChanged = 506, Info;
    /// A bulk call was refused because the VM's link can't send it in time; lines beyond a rate limit are only counted.
    BulkRefused = 511, Warn;
    /// The VM's link carries less than was assumed; bulk is sent more slowly.
    LinkRateLowered = 512, Warn;
}

impl Event {
    /// Logs the event with key-value pairs.
    pub fn emit(self, pairs: &[(&str, &dyn std::fmt::Display)]) {
        let level = self.severity().level();
        if level > log::max_level() {
            return;
        }
        let mut values: Vec<(&str, Value<'_>)> = Vec::with_capacity(pairs.len() + 2);
        values.push(("event", Value::from(self.number())));
        values.push(("name", Value::from(self.name())));
        for (key, value) in pairs {
            values.push((key, Value::from_dyn_display(value)));
        }
        log::logger().log(
            &Record::builder()
                .level(level)
                .target("kingcuplift")
                .key_values(&values.as_slice())
                .args(format_args!("{}", self.meaning()))
                .build(),
        );
    }
}
