//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use kingcuplift_core::{NodeName, ZoneName};

/// Operate kingcuplift: submit configuration versions and see what became of them.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    /// addresses of the source members, separated by commas (default: the variable
    /// KINGCUPLIFT_SOURCES, or 127.0.0.1:7101)
    #[argh(option)]
    pub(crate) sources: Option<String>,

    /// time to keep trying, in seconds (default: 10)
    #[argh(option, default = "10")]
    pub(crate) patience: u64,

    #[argh(subcommand)]
    pub(crate) verb: Verb,
}

/// What to do.
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

/// What to do with members.
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

/// Add a running member with an empty disk, wait until it has caught up, and give it a vote.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "add")]
pub(crate) struct MemberAdd {
    /// number of the member
    #[argh(positional)]
    pub(crate) id: u64,

    /// address for members and relays
    #[argh(option)]
    pub(crate) listen: SocketAddr,

    /// operators' interface of the member
    #[argh(option)]
    pub(crate) http: SocketAddr,
}

/// Remove a member.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct MemberRemove {
    /// number of the member
    #[argh(positional)]
    pub(crate) id: u64,
}

/// Replace a lost member by a running one with an empty disk, in the order that keeps the quorum.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replace")]
pub(crate) struct MemberReplace {
    /// number of the lost member
    #[argh(positional)]
    pub(crate) lost: u64,

    /// number of the new member; may be that of the lost one
    #[argh(option)]
    pub(crate) with: u64,

    /// address of the new member for members and relays
    #[argh(option)]
    pub(crate) listen: SocketAddr,

    /// operators' interface of the new member
    #[argh(option)]
    pub(crate) http: SocketAddr,
}

/// Save the whole state of the source, while it runs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backup")]
pub(crate) struct Backup {
    /// file to write
    #[argh(option)]
    pub(crate) out: PathBuf,
}

/// Make a data folder from a backup: a new group with one member, to which others are added.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "restore")]
pub(crate) struct Restore {
    /// backup file
    #[argh(positional)]
    pub(crate) backup: PathBuf,

    /// data folder to make; must not hold a member's state
    #[argh(option)]
    pub(crate) data: PathBuf,

    /// number of the member
    #[argh(option)]
    pub(crate) id: u64,

    /// address for members and relays
    #[argh(option)]
    pub(crate) listen: SocketAddr,

    /// operators' interface of the member
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

    /// number that the new version must get
    #[argh(option)]
    pub(crate) number: Option<u64>,

    /// free text, kept with the version
    #[argh(option, default = "String::new()")]
    pub(crate) note: String,

    /// operation id of an earlier try, to learn its outcome
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

/// List moves.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "moves")]
pub(crate) struct Moves {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Show a move.
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

/// Check a patch against an empty configuration, without a source.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// file with the patch, in JSON
    #[argh(positional)]
    pub(crate) patch: PathBuf,
}

/// Make certificates.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub(crate) struct Keys {
    #[argh(subcommand)]
    pub(crate) verb: KeysVerb,
}

/// What to do with certificates.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeysVerb {
    Init(KeysInit),
    Issue(KeysIssue),
}

/// Make an authority.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "init")]
pub(crate) struct KeysInit {
    /// folder for the files ca.pem and ca.key
    #[argh(option)]
    pub(crate) dir: PathBuf,
}

/// Make the certificate of a process.
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
