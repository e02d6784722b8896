//! Numbered log events; `docs/EVENTS.md` lists them.

use log::kv::Value;
use log::{Level, Record};

/// How urgent an event is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// The system can't do its work without an operator.
    Error,
    /// Something failed and the system deals with it.
    Warn,
    /// A change of state worth recording.
    Info,
}

impl Severity {
    /// Returns the name used in the catalogue.
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
            /// Every event, in rising order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Returns the number.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Returns how urgent the event is.
            pub const fn severity(self) -> Severity {
                match self { $(Self::$name => Severity::$severity,)+ }
            }

            /// Returns the event's name.
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
    /// The process begins an orderly stop.
    ProcessStopping = 2, Info;
    /// The process has stopped.
    ProcessStopped = 3, Info;
    /// The process can't start.
    StartFailed = 4, Error;
    /// The node refuses new calls and finishes those in flight.
    CallsDraining = 5, Info;
    /// Changed settings are in use.
    SettingsReloaded = 6, Info;
    /// Changed settings are faulty and the old ones stay in use.
    SettingsRefused = 7, Error;
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
    /// The log was read back at start.
    LogRecovered = 106, Info;
    /// An incomplete record at the end of the log was cut off.
    TailTruncated = 107, Warn;
    /// Writing or syncing the log failed.
    StorageFailed = 108, Error;
    /// A snapshot of the source's state was written.
    SnapshotWritten = 109, Info;
    /// A snapshot from the leader was installed.
    SnapshotInstalled = 110, Info;
    /// The initial members formed the replicated log.
    GroupFormed = 111, Info;
    /// A member's disk does not match the membership.
    DiskRefused = 112, Error;
    /// The leader changes the membership by itself.
    MembersPlaced = 113, Info;
    /// A move went a step further, was done or was taken back.
    MoveStepped = 116, Info;
    /// A connection to a peer was established.
    LinkOpened = 201, Info;
    /// A connection to a peer ended.
    LinkClosed = 202, Info;
    /// An incoming connection was refused.
    LinkRefused = 203, Warn;
    /// A connection attempt failed.
    LinkFailed = 204, Warn;
    /// Changed certificate files are in use for all connections that begin from now on.
    KeysRenewed = 205, Info;
    /// Changed certificate files are faulty and the old ones stay in use.
    KeysRefused = 206, Error;
    /// A configuration version was put in force.
    VersionApplied = 301, Info;
    /// An update was refused and the last good version stays in force.
    UpdateRefused = 302, Warn;
    /// The content digest differs from the sender's and a snapshot was requested.
    DigestMismatch = 303, Warn;
    /// A target announced itself.
    TargetAnnounced = 401, Info;
    /// A target's lease ended without renewal.
    TargetExpired = 402, Warn;
    /// A target was drained.
    TargetDrained = 403, Info;
    /// A target takes no connections and gets no calls until it reports again.
    TargetLost = 404, Warn;
    /// A target's report of itself can't be read and was left out.
    ReportRefused = 405, Warn;
    /// A call was refused and has not run; lines beyond some a second are counted only.
    CallRefused = 501, Warn;
    /// A call may have run and has no answer of its target; lines beyond some a second are counted only.
    CallFailed = 502, Warn;
    /// A call is sent to another target; lines beyond some a second are counted only.
    CallRepeated = 503, Info;
    /// A target's node refused a call; lines beyond some a second are counted only.
    CallNotAdmitted = 504, Info;

}

impl Event {
    /// Writes the event to the log with key-value pairs.
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
