//! Implements the subcommands.

mod backup;
mod check;
mod keys;
mod member;
mod submit;

pub(crate) use check::Findings;
use serde_json::Value;

use crate::cli::{Arguments, Verb};
use crate::client::{Request, SourceClient};
use crate::error::CommandError;
use crate::output;

/// Runs the subcommand given by the arguments.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let source = SourceClient::new(arguments);
    match &arguments.verb {
        Verb::Submit(options) => submit::submit(&source, options).await,
        Verb::Zone(options) => submit::zone(&source, options).await,
        Verb::Versions(options) => {
            let path = format!("/v1/versions?after={}&limit={}", options.after, options.limit);
            fetch_and_print(&source, path, options.json, output::print_versions).await
        }
        Verb::Show(options) => {
            let path = format!("/v1/versions/{}", options.version);
            fetch_and_print(&source, path, options.json, output::print_version).await
        }
        Verb::Config(options) => {
            let path = match options.version {
                Some(version) => format!("/v1/versions/{version}/config"),
                None => "/v1/config".to_owned(),
            };
            fetch_and_print(&source, path, true, output::print_json).await
        }
        Verb::Moves(options) => {
            fetch_and_print(&source, "/v1/moves".to_owned(), options.json, output::print_moves)
                .await
        }
        Verb::Move(options) => {
            let path = format!("/v1/moves/{}", options.name);
            fetch_and_print(&source, path, options.json, output::print_move).await
        }
        Verb::Targets(options) => {
            fetch_and_print(&source, "/v1/targets".to_owned(), options.json, output::print_targets)
                .await
        }
        Verb::Check(options) => check::check(&source, options).await,
        Verb::Keys(options) => keys::keys(options),
        Verb::Member(options) => member::member(&source, &options.verb).await,
        Verb::Backup(options) => backup::backup(&source, options).await,
        Verb::Restore(options) => backup::restore(options),
    }
}

/// Fetches a document and prints it, as JSON or in human-readable form.
async fn fetch_and_print(
    source: &SourceClient,
    path: String,
    json: bool,
    print: fn(&Value),
) -> Result<(), CommandError> {
    let document = source.send(&Request::get(path)).await?;
    match json {
        true => output::print_json(&document),
        false => print(&document),
    }
    Ok(())
}
