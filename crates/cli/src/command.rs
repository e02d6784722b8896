//! The verbs of the command line.

mod backup;
mod check;
mod keys;
mod member;
mod submit;

use serde_json::Value;

use crate::cli::{Arguments, Verb};
use crate::client::{Request, Source};
use crate::error::CommandError;
use crate::output;

/// Runs the verb that the arguments name.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let source = Source::new(arguments);
    match &arguments.verb {
        Verb::Submit(verb) => submit::submit(&source, verb).await,
        Verb::Zone(verb) => submit::zone(&source, verb).await,
        Verb::Versions(verb) => {
            let path = format!("/v1/versions?after={}&limit={}", verb.after, verb.limit);
            read(&source, path, verb.json, output::print_versions).await
        }
        Verb::Show(verb) => {
            let path = format!("/v1/versions/{}", verb.version);
            read(&source, path, verb.json, output::print_version).await
        }
        Verb::Config(verb) => {
            let path = match verb.version {
                Some(version) => format!("/v1/versions/{version}/config"),
                None => "/v1/config".to_owned(),
            };
            read(&source, path, true, output::print_json).await
        }
        Verb::Moves(verb) => {
            read(&source, "/v1/moves".to_owned(), verb.json, output::print_moves).await
        }
        Verb::Move(verb) => {
            let path = format!("/v1/moves/{}", verb.name);
            read(&source, path, verb.json, output::print_move).await
        }
        Verb::Targets(verb) => {
            read(&source, "/v1/targets".to_owned(), verb.json, output::print_targets).await
        }
        Verb::Check(verb) => check::check(verb),
        Verb::Keys(verb) => keys::keys(verb),
        Verb::Member(verb) => member::member(&source, &verb.verb).await,
        Verb::Backup(verb) => backup::backup(&source, verb).await,
        Verb::Restore(verb) => backup::restore(verb),
    }
}

/// Reads a document and prints it, as JSON or for people.
async fn read(
    source: &Source,
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
