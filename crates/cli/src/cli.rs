//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use kingcuplift_core::{NodeName, ZoneName};

/// Operate kingcuplift: submit configuration versions and follow their distribution to the nodes.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    /// addresses of the source members, separated by commas (default: the variable
    /// KINGCUPLIFT_SOURCES, or 127.0.0.1:7101)
    #[argh(option)]
    pub(crate) sources: Option<String>,

    /// time to keep retrying, in seconds (default: 10)
    #[argh(option, default = "10")]
    pub(crate) patience: u64,

    #[argh(subcommand)]
    pub(crate) verb: Verb,
}

/// Subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Verb {
    Submit(Submit),
    Versions(Versions),
    Show(Show),
    Config(Config),
    Moves(Moves),
    Move(Move),
    Zone(Zone),
    Targets(Targets),
    Check(Check),
    Keys(Keys),
    Member(Member),
    Backup(Backup),
    Restore(Restore),
}

/// List or change the members of the source.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "member")]
pub(crate) struct Member {
    #[argh(subcommand)]
    pub(crate) verb: MemberVerb,
}

/// Subcommands of `member`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum MemberVerb {
    List(MemberList),
    Add(MemberAdd),
    Remove(MemberRemove),
    Replace(MemberReplace),
}

/// List the members.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct MemberList {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Add a running member with an empty disk as a learner, wait until it has caught up, and promote it to voter.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "add")]
pub(crate) struct MemberAdd {
    /// id of the member
    #[argh(positional)]
    pub(crate) id: u64,

    /// address on which the member serves members and relays
    #[argh(option)]
    pub(crate) listen: SocketAddr,

    /// address of the member's operator API
    #[argh(option)]
    pub(crate) http: SocketAddr,
}

/// Remove a member.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct MemberRemove {
    /// id of the member
    #[argh(positional)]
    pub(crate) id: u64,
}

/// Replace a lost member by a running one with an empty disk, in the order that preserves the quorum.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replace")]
pub(crate) struct MemberReplace {
    /// id of the lost member
    #[argh(positional)]
    pub(crate) lost: u64,

    /// id of the new member; may equal that of the lost one
    #[argh(option)]
    pub(crate) with: u64,

    /// address on which the new member serves members and relays
    #[argh(option)]
    pub(crate) listen: SocketAddr,

    /// address of the new member's operator API
    #[argh(option)]
    pub(crate) http: SocketAddr,
}

/// Back up the whole state of the running source.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backup")]
pub(crate) struct Backup {
    /// file to write
    #[argh(option)]
    pub(crate) out: PathBuf,
}

/// Create a data folder from a backup: a new group with one member, to which others can be added.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "restore")]
pub(crate) struct Restore {
    /// backup file
    #[argh(positional)]
    pub(crate) backup: PathBuf,

    /// data folder to create; must not hold the state of a member
    #[argh(option)]
    pub(crate) data: PathBuf,

    /// id of the member
    #[argh(option)]
    pub(crate) id: u64,

    /// address on which the member serves members and relays
    #[argh(option)]
    pub(crate) listen: SocketAddr,

    /// address of the member's operator API
    #[argh(option)]
    pub(crate) http: SocketAddr,
}

/// Submit a patch against a version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Submit {
    /// file with the patch, in JSON
    #[argh(positional)]
    pub(crate) patch: PathBuf,

    /// version that the patch was written against
    #[argh(option)]
    pub(crate) base: u64,

    /// number that the new version must have
    #[argh(option)]
    pub(crate) number: Option<u64>,

    /// free text, stored with the version
    #[argh(option, default = "String::new()")]
    pub(crate) note: String,

    /// operation id of an earlier attempt, to learn its outcome
    #[argh(option)]
    pub(crate) operation: Option<String>,

    /// wait until the version is in force on every known node
    #[argh(switch)]
    pub(crate) wait: bool,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// List versions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "versions")]
pub(crate) struct Versions {
    /// list versions after this one
    #[argh(option, default = "0")]
    pub(crate) after: u64,

    /// list at most this many
    #[argh(option, default = "100")]
    pub(crate) limit: u64,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Show a version and on how many nodes it is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// number of the version
    #[argh(positional)]
    pub(crate) version: u64,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print the whole configuration of a version, or of the latest one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct Config {
    /// number of the version
    #[argh(positional)]
    pub(crate) version: Option<u64>,
}

/// List moves of traffic between target versions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "moves")]
pub(crate) struct Moves {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Show one move of traffic between target versions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "move")]
pub(crate) struct Move {
    /// name of the move
    #[argh(positional)]
    pub(crate) name: String,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Take an availability zone out of service, or return it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
pub(crate) struct Zone {
    /// new state, "out" or "in"
    #[argh(positional)]
    pub(crate) state: String,

    /// name of the availability zone
    #[argh(positional)]
    pub(crate) zone: ZoneName,

    /// wait until the version is in force on every known node
    #[argh(switch)]
    pub(crate) wait: bool,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// List announced targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "targets")]
pub(crate) struct Targets {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Check a full configuration or a patch before it is sent: faults, warnings, and differences from a base, which is
/// empty if none is given.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    note = "Nothing is sent to a source but requests to read.",
    error_code(0, "nothing was found"),
    error_code(1, "the source would refuse the file, or a file or the source can't be read"),
    error_code(2, "the arguments contradict each other"),
    error_code(6, "there are warnings only")
)]
pub(crate) struct Check {
    /// file with the full configuration or the patch, in JSON
    #[argh(positional)]
    pub(crate) file: PathBuf,

    /// addresses of source members, separated by commas; the version in force there is the base
    #[argh(option)]
    pub(crate) to: Vec<String>,

    /// file with the base: a full configuration, or the output of `config`
    #[argh(option)]
    pub(crate) base: Option<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Create certificates.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub(crate) struct Keys {
    #[argh(subcommand)]
    pub(crate) verb: KeysVerb,
}

/// Subcommands of `keys`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeysVerb {
    Init(KeysInit),
    Issue(KeysIssue),
}

/// Create a certificate authority.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "init")]
pub(crate) struct KeysInit {
    /// folder for the files ca.pem and ca.key
    #[argh(option)]
    pub(crate) dir: PathBuf,
}

/// Issue the certificate of a process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "issue")]
pub(crate) struct KeysIssue {
    /// folder with ca.pem and ca.key; NAME.pem and NAME.key are written there
    #[argh(option)]
    pub(crate) dir: PathBuf,

    /// name of the process
    #[argh(option)]
    pub(crate) name: NodeName,

    /// availability zone of the process
    #[argh(option)]
    pub(crate) zone: ZoneName,

    /// roles, separated by commas
    #[argh(option)]
    pub(crate) roles: String,
}
