//! Command line of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Run a kingcuplift process: source, relay, node, or several of them.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// settings file, in JSON
    #[argh(option)]
    pub settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}
