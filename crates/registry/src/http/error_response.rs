//! Responses to writes, and error responses in a common format, with a status and possibly `Retry-After`.

use crate::core::Micros;
use crate::core::{Outcome, Refusal};
use crate::node::WriteError;
use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde_json::json;

/// Microseconds in a second, for `Retry-After`.
const MICROS_PER_SECOND: f64 = 1e6;
/// Steps of `Retry-After` per second: it has three decimals.
const RETRY_AFTER_PRECISION: f64 = 1000.0;
/// `Retry-After` while there may be an election, which takes one to two seconds.
const ELECTION_RETRY_AFTER: Micros = 500_000;

/// An error response.
#[derive(Debug)]
pub struct ErrorResponse {
    status: StatusCode,
    message: String,
    retry_after: Option<Micros>,
    /// Additional fields of the JSON body.
    details: serde_json::Value,
}

impl ErrorResponse {
    /// A response to a request that would fail again if retried.
    pub fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self { status, message: message.into(), retry_after: None, details: json!({}) }
    }

    /// A response to a request that may be retried after that time.
    pub fn unavailable(message: impl Into<String>, retry_after: Micros) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { retry_after: Some(retry_after), ..Self::new(status, message) }
    }
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        let mut body = json!({"error": self.message});
        if let (Some(body), Some(details)) = (body.as_object_mut(), self.details.as_object()) {
            body.extend(details.clone());
        }
        let mut response = (self.status, Json(body)).into_response();
        if let Some(after) = self.retry_after
            && let Ok(value) = HeaderValue::from_str(&retry_after(after))
        {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// The value of `Retry-After`. The protocol allows decimals; they are rounded up, so that no client retries too early.
fn retry_after(after: Micros) -> String {
    let seconds = (after as f64 / MICROS_PER_SECOND * RETRY_AFTER_PRECISION).ceil() / RETRY_AFTER_PRECISION;
    format!("{seconds:.3}")
}

impl From<WriteError> for ErrorResponse {
    fn from(error: WriteError) -> Self {
        let message = error.to_string();
        match error {
            WriteError::RateLimited(after) => {
                Self { retry_after: Some(after), ..Self::new(StatusCode::TOO_MANY_REQUESTS, message) }
            }
            WriteError::OutcomeUnknown(_) => {
                let details = json!({"unknown": true});
                Self { details, ..Self::unavailable(message, ELECTION_RETRY_AFTER) }
            }
            WriteError::NoLeader | WriteError::Stopped(_) => Self::unavailable(message, ELECTION_RETRY_AFTER),
        }
    }
}

/// The response to a command that was applied or rejected.
pub fn outcome_response(outcome: Outcome) -> Result<Response, ErrorResponse> {
    match outcome {
        Outcome::NoCommand => Err(ErrorResponse::unavailable("nothing was written", ELECTION_RETRY_AFTER)),
        Outcome::Applied { version, changed } => {
            let body = json!({"epoch": version.epoch, "index": version.index, "changed": changed});
            Ok(Json(body).into_response())
        }
        Outcome::Refused(refusal) => Err(refusal_response(&refusal)),
    }
}

fn refusal_response(refusal: &Refusal) -> ErrorResponse {
    let (status, details) = match refusal {
        Refusal::IndexMismatch { found, .. } => (StatusCode::CONFLICT, json!({"found": found})),
        Refusal::UnknownEndpoint(_) => (StatusCode::NOT_FOUND, json!({})),
        Refusal::ListFull | Refusal::Invalid(_) | Refusal::StaleEpoch(_) => {
            (StatusCode::UNPROCESSABLE_ENTITY, json!({}))
        }
    };
    ErrorResponse { details, ..ErrorResponse::new(status, refusal.to_string()) }
}
