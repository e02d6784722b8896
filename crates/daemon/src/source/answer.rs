//! Answers of the source to operators.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::LOCATION;
use kingcuplift_config::Outcome;
use kingcuplift_core::{ResultCode, Version};
use serde_json::json;

use crate::problem::Problem;

/// Answer to an operator.
#[derive(Debug, actix::MessageResponse)]
pub(crate) enum Answer {
    /// The request was answered.
    Document(serde_json::Value),
    /// The request was answered with JSON text.
    Text(String),
    /// A version was accepted.
    Accepted(Version),
    /// The request was refused.
    Problem(Box<Problem>),
    /// Another member is the leader; this is its operators' interface.
    Redirect(String),
}

impl Answer {
    /// Describes a refusal by its code.
    pub(crate) fn problem(code: ResultCode, detail: impl Into<String>) -> Self {
        Self::Problem(Box::new(Problem::new(code, detail)))
    }

    /// Makes the answer to a submission.
    pub(crate) fn outcome(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Accepted(version) => Self::Accepted(version),
            Outcome::Refused { code, faults } => {
                let detail = faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ");
                Self::Problem(Box::new(Problem::new(code, detail).with_faults(faults)))
            }
        }
    }

    /// Makes the HTTP answer; `path` is that of the request.
    pub(crate) fn into_response(self, path: &str) -> HttpResponse {
        match self {
            Self::Document(document) => HttpResponse::Ok().json(document),
            Self::Text(text) => HttpResponse::Ok().content_type("application/json").body(text),
            Self::Accepted(version) => {
                HttpResponse::Created().json(json!({ "version": version.get() }))
            }
            Self::Problem(problem) => problem.into_response(),
            Self::Redirect(address) => HttpResponse::build(StatusCode::TEMPORARY_REDIRECT)
                .insert_header((LOCATION, format!("http://{address}{path}")))
                .finish(),
        }
    }
}
