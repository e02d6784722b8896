//! Lists and changes the members of the source.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::Method;
use serde_json::{Value, json};

use crate::cli::{MemberAdd, MemberReplace, MemberVerb};
use crate::client::{Request, Source};
use crate::error::CommandError;
use crate::output;

/// Time between tries to give a member its vote.
const POLL: Duration = Duration::from_millis(100);

/// Runs a verb on members.
pub(crate) async fn member(source: &Source, verb: &MemberVerb) -> Result<(), CommandError> {
    let members = match verb {
        MemberVerb::List(verb) => {
            let members = source.send(&Request::get("/v1/members")).await?;
            if verb.json {
                output::print_json(&members);
                return Ok(());
            }
            members
        }
        MemberVerb::Add(verb) => {
            add(source, verb).await?;
            promote(source, verb.id).await?
        }
        MemberVerb::Remove(verb) => remove(source, verb.id).await?,
        MemberVerb::Replace(verb) => replace(source, verb).await?,
    };
    output::print_members(&members);
    Ok(())
}

/// Replaces a member: learner first where the numbers differ, then the lost one out, then the vote.
async fn replace(source: &Source, verb: &MemberReplace) -> Result<Value, CommandError> {
    let added = MemberAdd { id: verb.with, listen: verb.listen, http: verb.http };
    match verb.with == verb.lost {
        true => {
            remove(source, verb.lost).await?;
            add(source, &added).await?;
        }
        false => {
            add(source, &added).await?;
            wait_caught_up(source, verb.with).await?;
            remove(source, verb.lost).await?;
        }
    }
    promote(source, verb.with).await
}

async fn add(source: &Source, verb: &MemberAdd) -> Result<Value, CommandError> {
    let disk = read_disk(verb.http).await?;
    let body = json!({ "id": verb.id, "listen": verb.listen, "http": verb.http, "disk": disk });
    source.send(&post("/v1/members".to_owned(), Some(body))).await
}

async fn remove(source: &Source, id: u64) -> Result<Value, CommandError> {
    let request = Request { method: Method::DELETE, ..post(format!("/v1/members/{id}"), None) };
    source.send(&request).await
}

/// Gives a member its vote as soon as it has caught up.
async fn promote(source: &Source, id: u64) -> Result<Value, CommandError> {
    wait_caught_up(source, id).await?;
    source.send(&post(format!("/v1/members/{id}/promote"), None)).await
}

async fn wait_caught_up(source: &Source, id: u64) -> Result<(), CommandError> {
    let until = Instant::now() + source.patience();
    loop {
        let members = source.send(&Request::get("/v1/members")).await?;
        let last = members["last"].as_u64().unwrap_or(u64::MAX);
        let listed = members["members"].as_array().into_iter().flatten();
        let stored = listed.filter(|m| m["id"] == id).find_map(|m| m["stored"].as_u64());
        match stored {
            Some(stored) if stored >= last => return Ok(()),
            _ if Instant::now() >= until => {
                let detail = format!("member {id} has not caught up; see its log and try again");
                return Err(CommandError::Argument(detail));
            }
            _ => actix_rt::time::sleep(POLL).await,
        }
    }
}

/// Asks the new member itself for the identity of its disk.
async fn read_disk(http: SocketAddr) -> Result<String, CommandError> {
    let client = awc::Client::default();
    let unreachable = |error: String| CommandError::Unreachable(format!("{http}: {error}"));
    let sent = client.get(format!("http://{http}/healthz")).send().await;
    let mut response = sent.map_err(|error| unreachable(error.to_string()))?;
    let health: Value = response.json().await.map_err(|error| unreachable(error.to_string()))?;
    match health["disk"].as_str() {
        Some(disk) => Ok(disk.to_owned()),
        None => Err(unreachable("no disk identity in its health".to_owned())),
    }
}

fn post(path: String, body: Option<Value>) -> Request {
    Request { method: Method::POST, path, body, operation: None }
}
