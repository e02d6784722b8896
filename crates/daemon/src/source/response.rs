//! Responses of the operator API.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::LOCATION;
use kingcuplift_config::Outcome;
use kingcuplift_core::{ResultCode, Version};
use serde_json::json;

use crate::problem::Problem;

/// Response to an operator's request.
#[derive(Debug, actix::MessageResponse)]
pub(crate) enum Response {
    /// The request succeeded with a JSON document.
    Document(serde_json::Value),
    /// The request succeeded with serialized JSON.
    Text(String),
    /// A version was accepted.
    Accepted(Version),
    /// The request was refused.
    Problem(Box<Problem>),
    /// Another member is the leader; holds the address of its operator API.
    Redirect(String),
    /// The request has not been carried out, as no leader is known; one is being elected, so it may be tried again shortly.
    Unready(&'static str),
    /// The leader was lost, or lost the lead, before the outcome was known; the same request may be sent again.
    Interrupted(&'static str),
}

impl Response {
    /// Creates a problem response from a result code.
    pub(crate) fn problem(code: ResultCode, detail: impl Into<String>) -> Self {
        Self::Problem(Box::new(Problem::new(code, detail)))
    }

    /// Creates the response for the outcome of a submission.
    pub(crate) fn from_outcome(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Accepted(version) => Self::Accepted(version),
            Outcome::Refused { code, faults } => {
                let detail = faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ");
                Self::Problem(Box::new(Problem::new(code, detail).with_faults(faults)))
            }
        }
    }

    /// Returns the response to a request that replaces or starts something in place: 200, not 201.
    pub(crate) fn without_creation(self) -> Self {
        match self {
            Self::Accepted(version) => Self::Document(version_body(version)),
            response => response,
        }
    }

    /// Converts to an HTTP response; `path` is the request's path and query, used for redirects.
    pub(crate) fn into_response(self, path: &str) -> HttpResponse {
        match self {
            Self::Document(document) => HttpResponse::Ok().json(document),
            Self::Text(text) => HttpResponse::Ok().content_type("application/json").body(text),
            Self::Accepted(version) => HttpResponse::Created().json(version_body(version)),
            Self::Problem(problem) => problem.into_response(),
            Self::Redirect(address) => HttpResponse::build(StatusCode::TEMPORARY_REDIRECT)
                .insert_header((LOCATION, format!("http://{address}{path}")))
                .finish(),
            Self::Unready(detail) => Problem::new(ResultCode::NoLeader, detail).into_response(),
            Self::Interrupted(detail) => {
                Problem::new(ResultCode::LeadershipLost, detail).into_response()
            }
        }
    }
}

fn version_body(version: Version) -> serde_json::Value {
    json!({ "version": version.get() })
}
