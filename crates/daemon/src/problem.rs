//! Error responses of the system itself, as problem documents (RFC 9457).

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use kingcuplift_core::{Fault, ResultCode, RunState};
use serde::Serialize;

/// Header with the result code; only responses that the system itself made have it.
const CODE_HEADER: &str = "kingcuplift-code";

/// A problem document.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Problem {
    /// HTTP status.
    pub(crate) status: u16,
    /// Meaning of the result code, in one line.
    pub(crate) title: &'static str,
    /// Explanation of this occurrence.
    pub(crate) detail: String,
    /// Number of the result code.
    pub(crate) code: u16,
    /// Whether the request was carried out.
    pub(crate) run: RunState,
    /// All faults of the request.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) faults: Vec<Fault>,
}

impl Problem {
    /// Creates a problem document for a result code.
    pub(crate) fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            status: code.status(),
            title: code.meaning(),
            detail: detail.into(),
            code: code.number(),
            run: code.run(),
            faults: Vec::new(),
        }
    }

    /// Adds the faults of the request.
    pub(crate) fn with_faults(mut self, faults: Vec<Fault>) -> Self {
        self.faults = faults;
        self
    }

    /// Converts the document to an HTTP response.
    pub(crate) fn into_response(self) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        HttpResponse::build(status)
            .content_type("application/problem+json")
            .insert_header((CODE_HEADER, self.code.to_string()))
            .body(serde_json::to_vec(&self).unwrap_or_default())
    }
}
