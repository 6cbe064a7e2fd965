//! Answers that are not lists: errors in one form, with the status that fits and when to come again.

use crate::core::Micros;
use crate::core::{Outcome, Refusal};
use crate::node::WriteError;
use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde_json::json;

/// An answer that says no, or not yet.
#[derive(Debug)]
pub struct Refused {
    status: StatusCode,
    what: String,
    retry_after: Option<Micros>,
    more: serde_json::Value,
}

impl Refused {
    /// The caller is at fault.
    pub fn bad(status: StatusCode, what: impl Into<String>) -> Self {
        Self { status, what: what.into(), retry_after: None, more: json!({}) }
    }

    /// Not now; again after so long.
    pub fn later(what: impl Into<String>, after: Micros) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, what: what.into(), retry_after: Some(after), more: json!({}) }
    }
}

impl IntoResponse for Refused {
    fn into_response(self) -> Response {
        let mut body = json!({"error": self.what});
        if let (Some(body), Some(more)) = (body.as_object_mut(), self.more.as_object()) {
            body.extend(more.clone());
        }
        let mut response = (self.status, Json(body)).into_response();
        if let Some(after) = self.retry_after {
            // Decimal, as the platform allows it, and never sooner than told.
            let text = format!("{:.3}", (after as f64 / 1e6 * 1000.0).ceil() / 1000.0);
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Half a second: an election takes one to two.
const ELECTION: Micros = 500_000;

impl From<WriteError> for Refused {
    fn from(error: WriteError) -> Self {
        let what = error.to_string();
        match error {
            WriteError::RateLimited(after) => Self {
                status: StatusCode::TOO_MANY_REQUESTS,
                what,
                retry_after: Some(after),
                more: json!({}),
            },
            WriteError::OutcomeUnknown(_) => {
                Self { more: json!({"unknown": true}), ..Self::later(what, ELECTION) }
            }
            WriteError::NoLeader | WriteError::Stopped(_) => Self::later(what, ELECTION),
        }
    }
}

/// What became of a command, as an answer.
pub fn of_outcome(outcome: Outcome) -> Result<Response, Refused> {
    match outcome {
        Outcome::NoCommand => Err(Refused::later("nothing was written", ELECTION)),
        Outcome::Applied { version, changed } => {
            let body = json!({"epoch": version.epoch, "index": version.index, "changed": changed});
            Ok(Json(body).into_response())
        }
        Outcome::Refused(refusal) => {
            let (status, more) = match &refusal {
                Refusal::IndexMismatch { found, .. } => (StatusCode::CONFLICT, json!({"found": found})),
                Refusal::UnknownEndpoint(_) => (StatusCode::NOT_FOUND, json!({})),
                Refusal::ListFull | Refusal::Invalid(_) | Refusal::StaleEpoch(_) => {
                    (StatusCode::UNPROCESSABLE_ENTITY, json!({}))
                }
            };
            Err(Refused { more, ..Refused::bad(status, refusal.to_string()) })
        }
    }
}
