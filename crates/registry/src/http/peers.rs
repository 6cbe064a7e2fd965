//! Calls of other replicas.

use super::answer::Refused;
use super::serve::State;
use crate::raft::{Rpc, Transport};
use axum::body::Bytes;
use axum::extract::{Path, State as Held};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use std::sync::Arc;

pub(super) async fn call<T: Transport>(
    Held(state): Held<Arc<State<T>>>,
    Path(name): Path<String>,
    body: Bytes,
) -> Result<Response, Refused> {
    let rpc = Rpc::ALL.into_iter().find(|rpc| rpc.name() == name);
    let rpc = rpc.ok_or_else(|| Refused::bad(StatusCode::NOT_FOUND, "no such call"))?;
    let answer = state.node.handle_peer_call(rpc, &body).await;
    answer
        .map(IntoResponse::into_response)
        .map_err(|error| Refused::bad(StatusCode::CONFLICT, error.to_string()))
}
