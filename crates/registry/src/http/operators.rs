//! Requests of operators: the history of changes, the status of the replica, and backups.

use super::error_response::ErrorResponse;
use super::state::ServerState;
use crate::raft::Transport;
use axum::Json;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use serde_json::{Value, json};
use std::sync::Arc;

/// Number of changes in a response if the request has no limit.
const DEFAULT_HISTORY_LIMIT: usize = 100;
/// Maximum number of changes in a response.
const MAX_HISTORY_LIMIT: usize = 1000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: i64 = 1000;

/// Parameters of a history request.
#[derive(Deserialize)]
pub(super) struct HistoryQuery {
    #[serde(default)]
    after: u64,
    #[serde(default = "default_history_limit")]
    limit: usize,
}

fn default_history_limit() -> usize {
    DEFAULT_HISTORY_LIMIT
}

/// `GET /v1/history`
pub(super) async fn history<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
    Query(query): Query<HistoryQuery>,
) -> Response {
    let list = &state.node.applied_state().state().list;
    let changes: Vec<_> =
        list.history(query.after).take(query.limit.min(MAX_HISTORY_LIMIT)).cloned().collect();
    Json(json!({"index": list.version().index, "changes": changes})).into_response()
}

/// `GET /v1/status`
pub(super) async fn status<T: Transport>(State(state): State<Arc<ServerState<T>>>) -> Json<Value> {
    let node = &state.node;
    let metrics = node.raft().metrics().borrow().clone();
    let state = node.applied_state().state();
    let replicas: Vec<Value> = metrics
        .membership_config
        .nodes()
        .map(|(id, replica)| {
            let votes = metrics.membership_config.voter_ids().any(|voter| voter == *id);
            json!({"id": id, "address": replica.address, "identity": replica.identity, "votes": votes})
        })
        .collect();
    Json(json!({
        "id": node.settings().id,
        "identity": node.own().identity,
        "leader": metrics.current_leader,
        "term": metrics.current_term,
        "epoch": state.list.version().epoch,
        "index": state.list.version().index,
        "digest": state.list.digest(),
        "servers": state.list.entries().len(),
        "active": state.list.active(),
        "waiting_to_expire": node.deferred_expiries(),
        "applied": state.applied.map(|l| l.index),
        "last_log": metrics.last_log_index,
        "snapshot": metrics.snapshot.map(|l| l.index),
        "age_ms": node.age().map(|age| age / MICROS_PER_MILLI),
        "joint": metrics.membership_config.membership().get_joint_config().len() > 1,
        "replicas": replicas,
    }))
}

/// `GET /v1/backup`
pub(super) async fn backup<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
) -> Result<Response, ErrorResponse> {
    let snapshot = state.node.applied_state().state().clone();
    // Encoded in the store's format, so that the previous release can read the backup for as long as the replica can be
    // downgraded to it.
    let encoded = state.node.store().encode_snapshot(&snapshot);
    let encoded =
        encoded.map_err(|e| ErrorResponse::new(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()))?;
    Ok(encoded.into_response())
}
