//! Requests that change the membership of the cluster.

use super::error_response::ErrorResponse;
use super::servers::decode;
use super::state::ServerState;
use crate::node::MembershipError;
use crate::raft::{Replica, Transport};
use axum::Json;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;

/// A replica to be added. The type is renamed for serde, as its errors quote the name to clients.
#[derive(Deserialize)]
#[serde(rename = "Newcomer")]
struct NewReplica {
    id: u64,
    address: String,
    identity: u64,
}

/// `POST /v1/replicas`
pub(super) async fn add<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
    body: Bytes,
) -> Result<Response, ErrorResponse> {
    let NewReplica { id, address, identity } = decode(&body)?;
    let added = state.node.add_member(id, Replica { address, identity }).await;
    added.map_err(|error| membership_error(&state, &error))?;
    Ok(Json(json!({"votes": true})).into_response())
}

/// `DELETE /v1/replicas/{id}`
pub(super) async fn remove<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
    Path(id): Path<u64>,
) -> Result<Response, ErrorResponse> {
    state.node.remove_member(id).await.map_err(|error| membership_error(&state, &error))?;
    Ok(Json(json!({"votes": false})).into_response())
}

/// Only the leader can change the membership; the error response of a follower has the leader's address.
fn membership_error<T: Transport>(state: &ServerState<T>, error: &MembershipError) -> ErrorResponse {
    let leader = state.node.leader().filter(|leader| *leader != state.node.settings().id);
    let Some(leader) = leader else {
        return ErrorResponse::new(StatusCode::CONFLICT, error.to_string());
    };
    let metrics = state.node.raft().metrics();
    let metrics = metrics.borrow();
    let replica = metrics.membership_config.membership().get_node(&leader);
    let address = replica.map(|replica| replica.address.as_str()).unwrap_or_default();
    let message = format!("ask the leader, replica {leader} at {address}");
    ErrorResponse::new(StatusCode::MISDIRECTED_REQUEST, message)
}
