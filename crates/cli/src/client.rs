//! Talks to the source: tries each member, follows redirects, repeats what is safe to repeat.

use std::time::{Duration, Instant};

use awc::Client;
use awc::http::{Method, StatusCode, header};
use bytes::Bytes;
use serde_json::Value;

use crate::cli::Arguments;
use crate::error::CommandError;

/// Variable with the addresses of the source members.
const SOURCES_VARIABLE: &str = "KINGCUPLIFT_SOURCES";
/// Address that is tried when none is given.
const DEFAULT_SOURCE: &str = "127.0.0.1:7101";
/// Time before another round over the members.
const ROUND_DELAY: Duration = Duration::from_millis(200);
/// Longest time for one request.
const REQUEST_LIMIT: Duration = Duration::from_secs(6);
/// Largest answer, in bytes.
const MAX_ANSWER: usize = 256 << 20;
/// Header that makes a submission idempotent.
const OPERATION_HEADER: &str = "Idempotency-Key";
/// Run state of a request that was not carried out.
const NOT_RUN: &str = "not_run";

/// A request to the source.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Option<Value>,
    /// Operation id; present for submissions, which are then safe to repeat.
    pub(crate) operation: Option<String>,
}

impl Request {
    /// Makes a reading request.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: None, operation: None }
    }
}

/// Connection to the source.
#[derive(Debug)]
pub(crate) struct Source {
    addresses: Vec<String>,
    patience: Duration,
}

/// What one member answered.
enum Reply {
    Body(Bytes),
    Redirect(String),
    Refused(CommandError),
    /// The member can't serve at present; another try is safe.
    Retry(CommandError),
}

impl Source {
    /// Reads the addresses from the arguments or the environment.
    pub(crate) fn new(arguments: &Arguments) -> Self {
        let given = arguments.sources.clone().or_else(|| std::env::var(SOURCES_VARIABLE).ok());
        let text = given.unwrap_or_else(|| DEFAULT_SOURCE.to_owned());
        let addresses = text.split(',').map(|address| address.trim().to_owned()).collect();
        Self { addresses, patience: Duration::from_secs(arguments.patience) }
    }

    /// Returns the time to keep trying.
    pub(crate) fn patience(&self) -> Duration {
        self.patience
    }

    /// Sends a request and reads the answer as JSON.
    pub(crate) async fn send(&self, request: &Request) -> Result<Value, CommandError> {
        let body = self.fetch(request).await?;
        serde_json::from_slice(&body)
            .map_err(|error| CommandError::Unreachable(format!("the answer is not JSON: {error}")))
    }

    /// Sends a request until a member answers it or patience ends.
    pub(crate) async fn fetch(&self, request: &Request) -> Result<Bytes, CommandError> {
        let client = Client::builder().disable_redirects().timeout(REQUEST_LIMIT).finish();
        let until = Instant::now() + self.patience;
        loop {
            let mut last = CommandError::Unreachable("no address is given".to_owned());
            for address in &self.addresses {
                match self.ask(&client, address, request).await {
                    Reply::Body(body) => return Ok(body),
                    Reply::Refused(error) => return Err(error),
                    Reply::Redirect(url) => {
                        last = CommandError::Unreachable(format!("too many redirects to {url}"));
                    }
                    Reply::Retry(error) => last = error,
                }
            }
            if Instant::now() >= until {
                return Err(last);
            }
            actix_rt::time::sleep(ROUND_DELAY).await;
        }
    }

    /// Asks one member, and the leader that it names.
    async fn ask(&self, client: &Client, address: &str, request: &Request) -> Reply {
        let url = format!("http://{address}{}", request.path);
        match exchange(client, &url, request).await {
            Reply::Redirect(leader) => exchange(client, &leader, request).await,
            reply => reply,
        }
    }
}

async fn exchange(client: &Client, url: &str, request: &Request) -> Reply {
    let mut builder = client.request(request.method.clone(), url);
    if let Some(operation) = &request.operation {
        builder = builder.insert_header((OPERATION_HEADER, operation.as_str()));
    }
    let sent = match &request.body {
        Some(body) => builder.send_json(body).await,
        None => builder.send().await,
    };
    let mut response = match sent {
        Ok(response) => response,
        Err(error) => return Reply::Retry(CommandError::Unreachable(format!("{url}: {error}"))),
    };
    let status = response.status();
    if status == StatusCode::TEMPORARY_REDIRECT {
        let location = response.headers().get(header::LOCATION);
        let location = location.and_then(|value| value.to_str().ok()).unwrap_or_default();
        return Reply::Redirect(location.to_owned());
    }
    let body = match response.body().limit(MAX_ANSWER).await {
        Ok(body) => body,
        Err(error) => return Reply::Retry(CommandError::Unreachable(format!("{url}: {error}"))),
    };
    match status.is_success() {
        true => Reply::Body(body),
        false => {
            let document = serde_json::from_slice(&body).unwrap_or(Value::Null);
            refusal(status, &document, request)
        }
    }
}

fn refusal(status: StatusCode, document: &Value, request: &Request) -> Reply {
    let run = document["run"].as_str().unwrap_or("unknown").to_owned();
    let detail = match document["detail"].as_str() {
        Some(detail) => detail.to_owned(),
        None => format!("the member answered with status {status}"),
    };
    let is_unknown = run != NOT_RUN && request.operation.is_some();
    let error = match &request.operation {
        Some(operation) if is_unknown => CommandError::Unknown { operation: operation.clone() },
        _ => CommandError::Refused {
            status: u64::from(status.as_u16()),
            code: document["code"].as_u64().unwrap_or(0),
            run,
            detail,
        },
    };
    match status.is_server_error() {
        true => Reply::Retry(error),
        false => Reply::Refused(error),
    }
}
