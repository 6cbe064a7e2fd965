//! The paths of the HTTP interface and their handlers.

use super::state::ServerState;
use super::{discovery, operators, peers, replicas, servers};
use crate::raft::Transport;
use axum::Router;
use axum::extract::{DefaultBodyLimit, State};
use axum::routing::{delete, get, post, put};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Maximum body size of most requests.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Maximum body size of a batch of registrations.
const MAX_BATCH_BYTES: usize = 4 << 20;
/// Maximum body size of a call between replicas.
const MAX_PEER_CALL_BYTES: usize = 32 << 20;

pub(super) fn router<T: Transport>(state: Arc<ServerState<T>>) -> Router {
    let batches = Router::new()
        .route("/v1/servers", post(servers::register_batch))
        .layer(DefaultBodyLimit::max(MAX_BATCH_BYTES));
    let peer_calls = Router::new()
        .route("/peer/{rpc}", post(peers::call))
        .layer(DefaultBodyLimit::max(MAX_PEER_CALL_BYTES));
    Router::new()
        .route("/up", get(|| async { "up" }))
        .route("/discovery/hosts", get(discovery::hosts))
        .route("/v1/list", get(discovery::list))
        .route("/v1/watch", get(discovery::list))
        .route("/v1/history", get(operators::history))
        .route("/v1/status", get(operators::status))
        .route("/v1/backup", get(operators::backup))
        .route("/v1/servers/{name}", put(servers::register).get(servers::show).delete(servers::remove))
        .route("/v1/servers/{name}/renew", post(servers::renew))
        .route("/v1/servers/{name}/drain", post(servers::drain))
        .route("/v1/servers/{name}/resume", post(servers::resume))
        .route("/v1/replicas", post(replicas::add))
        .route("/v1/replicas/{id}", delete(replicas::remove))
        .route("/metrics", get(metrics))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .merge(batches)
        .merge(peer_calls)
        .with_state(state)
}

async fn metrics<T: Transport>(State(state): State<Arc<ServerState<T>>>) -> String {
    state.metrics.encode(&state.node, state.watchers.load(Ordering::Relaxed))
}
