//! Calls from other replicas: `POST /peer/{rpc}`.

use super::error_response::ErrorResponse;
use super::state::ServerState;
use crate::raft::{Rpc, Transport};
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use std::sync::Arc;

/// `POST /peer/{rpc}`
pub(super) async fn call<T: Transport>(
    State(state): State<Arc<ServerState<T>>>,
    Path(name): Path<String>,
    body: Bytes,
) -> Result<Response, ErrorResponse> {
    let rpc = Rpc::ALL.into_iter().find(|rpc| rpc.name() == name);
    let rpc = rpc.ok_or_else(|| ErrorResponse::new(StatusCode::NOT_FOUND, "no such call"))?;
    let response = state.node.handle_peer_call(rpc, &body).await;
    response
        .map(IntoResponse::into_response)
        .map_err(|error| ErrorResponse::new(StatusCode::CONFLICT, error.to_string()))
}
