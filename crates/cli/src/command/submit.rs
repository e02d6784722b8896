//! Submits changes of the configuration and waits until they are in force.

use std::time::{Duration, Instant};

use awc::http::Method;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use kingcuplift_core::Faults;
use serde_json::{Value, json};

use crate::cli::{Submit, Zone};
use crate::client::{Request, SourceClient};
use crate::command::check::read_text;
use crate::error::CommandError;
use crate::output;

/// Time between two polls of the progress of a version.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Submits a patch.
pub(crate) async fn submit(source: &SourceClient, arguments: &Submit) -> Result<(), CommandError> {
    let text = read_text(&arguments.patch)?;
    let patch: Value = serde_json::from_str(&text).map_err(|error| {
        let mut faults = Faults::default();
        let code = kingcuplift_core::ResultCode::PatchMalformed;
        faults.push(code, arguments.patch.display().to_string(), error.to_string());
        CommandError::InvalidInput(faults)
    })?;
    let operation = arguments.operation.clone().unwrap_or_else(new_operation_id);
    eprintln!("operation: {operation}");
    let mut body = json!({ "base": arguments.base, "patch": patch, "note": arguments.note });
    if let Some(number) = arguments.number {
        body["number"] = json!(number);
    }
    let request = Request {
        method: Method::POST,
        path: "/v1/versions".to_owned(),
        body: Some(body),
        operation: Some(operation),
    };
    send_and_wait(source, &request, arguments.wait, arguments.json).await
}

/// Takes an availability zone out of service, or returns it.
pub(crate) async fn zone(source: &SourceClient, arguments: &Zone) -> Result<(), CommandError> {
    if !matches!(arguments.state.as_str(), "in" | "out") {
        let detail = format!("{:?} is neither \"in\" nor \"out\"", arguments.state);
        return Err(CommandError::Argument(detail));
    }
    let operation = new_operation_id();
    eprintln!("operation: {operation}");
    let request = Request {
        method: Method::POST,
        path: format!("/v1/zones/{}/{}", arguments.zone, arguments.state),
        body: None,
        operation: Some(operation),
    };
    send_and_wait(source, &request, arguments.wait, arguments.json).await
}

async fn send_and_wait(
    source: &SourceClient,
    request: &Request,
    wait: bool,
    json: bool,
) -> Result<(), CommandError> {
    let document = source.send(request).await?;
    let version = document["version"].as_u64().unwrap_or(0);
    match json {
        true => output::print_json(&document),
        false => println!("version {version}"),
    }
    match wait {
        true => wait_in_force(source, version).await,
        false => Ok(()),
    }
}

/// Waits until a version is in force on every known node.
async fn wait_in_force(source: &SourceClient, version: u64) -> Result<(), CommandError> {
    let bar = ProgressBar::with_draw_target(Some(0), ProgressDrawTarget::stderr());
    if let Ok(style) = ProgressStyle::with_template("{pos}/{len} nodes {wide_bar} {elapsed}") {
        bar.set_style(style);
    }
    let deadline = Instant::now() + source.retry_timeout();
    let request = Request::get(format!("/v1/versions/{version}"));
    loop {
        let document = source.send(&request).await?;
        let count = |field: &str| document["progress"][field].as_u64().unwrap_or(0);
        let (in_force, known) = (count("in_force"), count("known"));
        bar.set_length(known);
        bar.set_position(in_force);
        match () {
            () if known > 0 && in_force == known => break,
            () if Instant::now() >= deadline => {
                bar.finish_and_clear();
                return Err(CommandError::WaitTimeout { version, in_force, known });
            }
            () => actix_rt::time::sleep(POLL_INTERVAL).await,
        }
    }
    bar.finish_and_clear();
    Ok(())
}

fn new_operation_id() -> String {
    uuid::Uuid::new_v4().simple().to_string()
}
