//! Numbered result codes; `docs/RESULT-CODES.md` lists them.

use std::fmt;

use serde::Serialize;

/// Whether a request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request was not executed and will not be.
    NotRun,
    /// It is unknown whether the request was executed.
    Unknown,
    /// The request was executed.
    Ran,
}

impl RunState {
    /// Returns the text used in problem documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $run:ident;)+) => {
        /// Numbered outcome of a request, a validation or a startup.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name,)+
        }

        impl ResultCode {
            /// Every code, in ascending order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Returns the number.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Returns the HTTP status of a response with this code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Returns whether a request with this outcome was executed.
            pub const fn run(self) -> RunState {
                match self { $(Self::$name => RunState::$run,)+ }
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

result_codes! {
    /// The settings file can't be read or is not JSON.
    SettingsUnreadable = 1001, 500, NotRun;
    /// The settings hold a field that does not exist.
    SettingsUnknownField = 1002, 500, NotRun;
    /// A settings field has the wrong type.
    SettingsWrongType = 1003, 500, NotRun;
    /// A required settings field is missing.
    SettingsMissingField = 1004, 500, NotRun;
    /// A settings field has a value outside its permitted range.
    SettingsBadValue = 1005, 500, NotRun;
    /// The key files can't be read or do not fit together.
    KeysUnreadable = 1006, 500, NotRun;
    /// A listening address can't be opened.
    AddressUnavailable = 1007, 500, NotRun;
    /// The request body is not JSON of the expected shape.
    PatchMalformed = 2001, 400, NotRun;
    /// The patch names a resource kind that does not exist.
    PatchUnknownKind = 2002, 400, NotRun;
    /// A resource holds a field that does not exist.
    PatchUnknownField = 2003, 400, NotRun;
    /// A resource field has the wrong type.
    PatchWrongType = 2004, 400, NotRun;
    /// A resource lacks a required field.
    PatchMissingField = 2005, 400, NotRun;
    /// A resource field has a value outside its permitted range.
    PatchBadValue = 2006, 400, NotRun;
    /// A resource refers to another resource that does not exist.
    PatchUnknownReference = 2007, 400, NotRun;
    /// The patch is larger than permitted.
    PatchTooLarge = 2008, 413, NotRun;
    /// The patch is nested more deeply than permitted.
    PatchTooDeep = 2009, 400, NotRun;
    /// The requested version number is not the next one.
    NumberConflict = 2010, 409, NotRun;
    /// The base version does not exist or is no longer kept.
    BaseUnknown = 2011, 409, NotRun;
    /// A resource that the patch touches or refers to has changed since its base.
    BaseConflict = 2012, 409, NotRun;
    /// The version does not exist or is no longer kept.
    VersionNotFound = 2013, 404, NotRun;
    /// The named resource does not exist.
    ResourceNotFound = 2014, 404, NotRun;
    /// The operation id was used before for a different submission.
    OperationReused = 2015, 409, NotRun;
    /// Another whole configuration is in force than the one that this one replaces.
    RevisionConflict = 2016, 412, NotRun;
    /// The number of a whole configuration is not above the one in force.
    RevisionStale = 2017, 412, NotRun;
    /// No route matches the call's host and path.
    RouteNotFound = 3001, 404, NotRun;
    /// No target of the route's service can take the call.
    NoTarget = 3002, 503, NotRun;
    /// The deadline passed before the call was sent to a target.
    DeadlineBefore = 3003, 503, NotRun;
    /// The connection to the target broke after the call was sent.
    AnswerLost = 3004, 502, Unknown;
    /// The deadline passed after the call was sent to a target.
    DeadlineAfter = 3005, 504, Unknown;
    /// The queue before the target is full.
    QueueFull = 3006, 503, NotRun;
    /// The call gave up its place in the queue to a call of a better rank.
    Displaced = 3007, 503, NotRun;
    /// The call's body is larger than permitted.
    BodyTooLarge = 3008, 413, NotRun;
    /// The target's answer is larger than permitted.
    AnswerTooLarge = 3009, 502, Ran;
    /// The node has no configuration that is proved to be current.
    NodeNotReady = 3010, 503, NotRun;
    /// The node or target is stopping and takes no new calls.
    Draining = 3011, 503, NotRun;
    /// The target refused the connection.
    TargetRefused = 3012, 503, NotRun;
    /// The announcement of a target is malformed.
    AnnouncementMalformed = 3013, 400, NotRun;
    /// The call's headers are malformed or contradict each other.
    CallMalformed = 3014, 400, NotRun;
    /// The target that the call was meant for is no longer there.
    TargetReplaced = 3015, 503, NotRun;
    /// The target said that it has not run the call.
    TargetShed = 3016, 503, NotRun;
    /// The answer is damaged, or belongs to another call.
    AnswerDamaged = 3018, 502, Unknown;
    /// The call could not be answered in time.
    Overloaded = 3020, 503, NotRun;
    /// The node beside the target does not know this instance of it.
    TargetUnknown = 3021, 503, NotRun;
    /// Targets ended while they ran this request, so it is not sent to others.
    RequestQuarantined = 3022, 503, NotRun;
    /// The source has not stored yet that the target leaves; the target must report it again.
    DepartureUnconfirmed = 3023, 503, NotRun;
    /// No leader of the source is known at present.
    NoLeader = 4001, 503, NotRun;
    /// The member lost leadership before the submission was committed.
    LeadershipLost = 4002, 503, Unknown;
    /// Writing or syncing the log failed and the member has stepped out.
    StorageFailed = 4003, 500, NotRun;
    /// The log is damaged at a place that acknowledged entries may occupy.
    LogDamaged = 4004, 500, NotRun;
    /// Another process holds the data folder.
    FolderLocked = 4005, 500, NotRun;
    /// The member has too many submissions in flight.
    SourceBusy = 4006, 503, NotRun;
    /// The data folder belongs to another member.
    FolderForeign = 4007, 500, NotRun;
    /// A membership change is refused in the present state.
    MembershipRefused = 4008, 409, NotRun;
    /// The peer's certificate does not grant the role that it claims.
    RoleRefused = 5001, 403, NotRun;
    /// The peer asks for more than the process admits at present.
    AdmissionDelayed = 5002, 503, NotRun;
    /// An update does not fit the state that it is meant for.
    UpdateRefused = 5003, 500, NotRun;
}

impl ResultCode {
    /// Returns the code with this number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
