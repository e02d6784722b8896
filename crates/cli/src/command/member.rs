//! Lists and changes the members of the source.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::Method;
use serde_json::{Value, json};

use crate::cli::{MemberAdd, MemberReplace, MemberVerb};
use crate::client::{Request, SourceClient};
use crate::error::CommandError;
use crate::output;

/// Time between two polls of a member's replication progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a subcommand of `member`.
pub(crate) async fn member(
    source: &SourceClient,
    options: &MemberVerb,
) -> Result<(), CommandError> {
    let members = match options {
        MemberVerb::List(options) => {
            let members = source.send(&Request::get("/v1/members")).await?;
            if options.json {
                output::print_json(&members);
                return Ok(());
            }
            members
        }
        MemberVerb::Add(options) => {
            add(source, options).await?;
            promote(source, options.id).await?
        }
        MemberVerb::Remove(options) => remove(source, options.id).await?,
        MemberVerb::Replace(options) => replace(source, options).await?,
    };
    output::print_members(&members);
    Ok(())
}

/// Replaces a lost member. With a new id, the new member is added as a learner and catches up before the lost one is
/// removed; an id that is used again must be removed before it is added. Last, the new member is promoted to voter.
async fn replace(source: &SourceClient, options: &MemberReplace) -> Result<Value, CommandError> {
    let added = MemberAdd { id: options.with, listen: options.listen, http: options.http };
    match options.with == options.lost {
        true => {
            remove(source, options.lost).await?;
            add(source, &added).await?;
        }
        false => {
            add(source, &added).await?;
            wait_caught_up(source, options.with).await?;
            remove(source, options.lost).await?;
        }
    }
    promote(source, options.with).await
}

async fn add(source: &SourceClient, options: &MemberAdd) -> Result<Value, CommandError> {
    let disk = fetch_disk_id(options.http).await?;
    let body =
        json!({ "id": options.id, "listen": options.listen, "http": options.http, "disk": disk });
    source.send(&post("/v1/members".to_owned(), Some(body))).await
}

async fn remove(source: &SourceClient, id: u64) -> Result<Value, CommandError> {
    let request = Request { method: Method::DELETE, ..post(format!("/v1/members/{id}"), None) };
    source.send(&request).await
}

/// Promotes a member to voter as soon as it has caught up.
async fn promote(source: &SourceClient, id: u64) -> Result<Value, CommandError> {
    wait_caught_up(source, id).await?;
    source.send(&post(format!("/v1/members/{id}/promote"), None)).await
}

async fn wait_caught_up(source: &SourceClient, id: u64) -> Result<(), CommandError> {
    let deadline = Instant::now() + source.retry_timeout();
    loop {
        let members = source.send(&Request::get("/v1/members")).await?;
        let last = members["last"].as_u64().unwrap_or(u64::MAX);
        let listed = members["members"].as_array().into_iter().flatten();
        let stored = listed.filter(|m| m["id"] == id).find_map(|m| m["stored"].as_u64());
        match stored {
            Some(stored) if stored >= last => return Ok(()),
            _ if Instant::now() >= deadline => {
                let detail = format!("member {id} has not caught up; see its log and try again");
                return Err(CommandError::Argument(detail));
            }
            _ => actix_rt::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Reads the identity of a member's disk from the member's health.
async fn fetch_disk_id(http: SocketAddr) -> Result<String, CommandError> {
    let client = awc::Client::default();
    let unreachable = |error: String| CommandError::Unreachable(format!("{http}: {error}"));
    let sent = client.get(format!("http://{http}/healthz")).send().await;
    let mut response = sent.map_err(|error| unreachable(error.to_string()))?;
    let health: Value = response.json().await.map_err(|error| unreachable(error.to_string()))?;
    match health["disk"].as_str() {
        Some(disk) => Ok(disk.to_owned()),
        None => Err(unreachable("the health response has no disk identity".to_owned())),
    }
}

fn post(path: String, body: Option<Value>) -> Request {
    Request { method: Method::POST, path, body, operation: None }
}
