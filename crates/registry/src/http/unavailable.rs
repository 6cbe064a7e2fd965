//! Answers requests while a replica's store can't be used.

use super::connections::{ConnectionLimits, serve_connections};
use super::state::Limits;
use axum::Router;
use axum::routing::get;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use prometheus_client::metrics::counter::Counter;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// `Retry-After`, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

/// Answers every request with status 503 until `until` completes, except for `/metrics`, which reports how often the
/// store has failed.
pub async fn serve_unavailable(
    listener: Arc<TcpListener>,
    limits: &Limits,
    failures: u64,
    until: impl Future<Output = ()>,
) {
    let (closing, closed) = watch::channel(false);
    let connection_limits = ConnectionLimits {
        connections: limits.connections,
        io_timeout: limits.io_timeout,
        rejected: Counter::default(),
    };
    let connections = serve_connections(listener, router(failures), connection_limits, closed);
    let mut connections = std::pin::pin!(connections);
    tokio::select! {
        () = &mut connections => {}
        () = until => {
            closing.send_replace(true);
            connections.await;
        }
    }
}

fn router(failures: u64) -> Router {
    let metrics = format!(
        "# HELP roster_store_failures Times the store failed since the start of the process.\n\
         # TYPE roster_store_failures counter\nroster_store_failures_total {failures}\n\
         # HELP roster_store_available Whether the store can be used.\n\
         # TYPE roster_store_available gauge\nroster_store_available 0\n# EOF\n"
    );
    let store_failed = || async {
        let retry_after = [(RETRY_AFTER, RETRY_AFTER_SECONDS)];
        (StatusCode::SERVICE_UNAVAILABLE, retry_after, "the store has failed\n")
    };
    Router::new().route("/metrics", get(|| async { metrics })).fallback(store_failed)
}
