//! HTTP client of the source: tries each member, follows redirects, retries requests that are safe to retry.

use std::time::{Duration, Instant};

use awc::Client;
use awc::http::{Method, StatusCode, header};
use bytes::Bytes;
use serde_json::Value;

use crate::cli::Arguments;
use crate::error::CommandError;

/// Environment variable with the addresses of the source members.
const SOURCES_VARIABLE: &str = "KINGCUPLIFT_SOURCES";
/// Address that is used when none is given.
const DEFAULT_SOURCE: &str = "127.0.0.1:7101";
/// Delay between two rounds over all members.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of redirects of one request.
const MAX_REDIRECTS: usize = 2;
/// Largest accepted response body, in bytes.
const MAX_RESPONSE_SIZE: usize = 256 << 20;
/// Header that makes a submission idempotent.
const OPERATION_HEADER: &str = "Idempotency-Key";
/// Value of `run` in an error response to a request that was not carried out.
const NOT_RUN: &str = "not_run";

/// A request to the source.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Option<Value>,
    /// Operation id; present for submissions, which makes them safe to retry.
    pub(crate) operation: Option<String>,
}

impl Request {
    /// Creates a GET request.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: None, operation: None }
    }
}

/// Client of the source members' operator API.
#[derive(Debug)]
pub(crate) struct SourceClient {
    addresses: Vec<String>,
    retry_timeout: Duration,
}

/// Outcome of a request to one member.
enum Reply {
    Body(Bytes),
    Redirect(String),
    Refused(CommandError),
    /// The member can't serve the request at present; a retry is safe.
    Retry(CommandError),
}

impl SourceClient {
    /// Reads the addresses from the arguments or the environment.
    pub(crate) fn new(arguments: &Arguments) -> Self {
        let given = arguments.sources.clone().or_else(|| std::env::var(SOURCES_VARIABLE).ok());
        let text = given.unwrap_or_else(|| DEFAULT_SOURCE.to_owned());
        Self::at(&[text], Duration::from_secs(arguments.patience))
    }

    /// Creates a client of the members at these addresses; a text may hold several, separated by commas.
    pub(crate) fn at(texts: &[String], retry_timeout: Duration) -> Self {
        let addresses = texts.iter().flat_map(|text| text.split(','));
        let addresses = addresses.map(|address| address.trim().to_owned()).collect();
        Self { addresses, retry_timeout }
    }

    /// Returns how long requests are retried.
    pub(crate) fn retry_timeout(&self) -> Duration {
        self.retry_timeout
    }

    /// Sends a request and parses the response body as JSON.
    pub(crate) async fn send(&self, request: &Request) -> Result<Value, CommandError> {
        let body = self.fetch(request).await?;
        serde_json::from_slice(&body).map_err(|error| {
            CommandError::Unreachable(format!("the response is not JSON: {error}"))
        })
    }

    /// Sends a request to the members in turn until one answers it or the retry timeout has passed.
    pub(crate) async fn fetch(&self, request: &Request) -> Result<Bytes, CommandError> {
        let client = Client::builder().disable_redirects().timeout(REQUEST_TIMEOUT).finish();
        let deadline = Instant::now() + self.retry_timeout;
        loop {
            let mut last_error = CommandError::Unreachable("no address is given".to_owned());
            for address in &self.addresses {
                match self.request_member(&client, address, request).await {
                    Reply::Body(body) => return Ok(body),
                    Reply::Refused(error) => return Err(error),
                    Reply::Redirect(url) => {
                        last_error =
                            CommandError::Unreachable(format!("too many redirects to {url}"));
                    }
                    Reply::Retry(error) => last_error = error,
                }
            }
            if Instant::now() >= deadline {
                return Err(last_error);
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Sends a request to one member and follows redirects to the leader; one that was just lost names the next.
    async fn request_member(&self, client: &Client, address: &str, request: &Request) -> Reply {
        let url = format!("http://{address}{}", request.path);
        let mut reply = send_once(client, &url, request).await;
        for _ in 0..MAX_REDIRECTS {
            reply = match reply {
                Reply::Redirect(leader) => send_once(client, &leader, request).await,
                reply => return reply,
            };
        }
        reply
    }
}

async fn send_once(client: &Client, url: &str, request: &Request) -> Reply {
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
    let body = match response.body().limit(MAX_RESPONSE_SIZE).await {
        Ok(body) => body,
        Err(error) => return Reply::Retry(CommandError::Unreachable(format!("{url}: {error}"))),
    };
    match status.is_success() {
        true => Reply::Body(body),
        false => {
            let document = serde_json::from_slice(&body).unwrap_or(Value::Null);
            error_reply(status, &document, request)
        }
    }
}

fn error_reply(status: StatusCode, document: &Value, request: &Request) -> Reply {
    let run = document["run"].as_str().unwrap_or("unknown").to_owned();
    let detail = match document["detail"].as_str() {
        Some(detail) => detail.to_owned(),
        None => format!("the member answered with status {status}"),
    };
    let is_outcome_unknown = run != NOT_RUN && request.operation.is_some();
    let error = match &request.operation {
        Some(operation) if is_outcome_unknown => {
            CommandError::Unknown { operation: operation.clone() }
        }
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
