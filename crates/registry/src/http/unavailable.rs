//! What callers hear while a replica has no store that it could answer from.

use super::serve::{Callers, Limits, accept};
use axum::Router;
use axum::routing::get;
use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use prometheus_client::metrics::counter::Counter;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// When callers may ask again, in seconds.
const AGAIN: &str = "1";

/// Answers every call with 503 until `over` comes to hold; the counts say how often the store has failed.
pub async fn unavailable(
    listener: Arc<TcpListener>,
    limits: &Limits,
    failures: u64,
    over: impl Future<Output = ()>,
) {
    let counts = format!(
        "# HELP roster_store_failures Times the store failed since the start of the process.\n\
         # TYPE roster_store_failures counter\nroster_store_failures_total {failures}\n\
         # HELP roster_store_available Whether the store can be used.\n\
         # TYPE roster_store_available gauge\nroster_store_available 0\n# EOF\n"
    );
    let sorry =
        || async { (StatusCode::SERVICE_UNAVAILABLE, [(RETRY_AFTER, AGAIN)], "the store has failed\n") };
    let routes = Router::new().route("/metrics", get(|| async { counts })).fallback(sorry);
    let (closing, closed) = watch::channel(false);
    let callers =
        Callers { room: limits.connections, patience: limits.patience, refused: Counter::default() };
    let mut serving = std::pin::pin!(accept(listener, routes, callers, closed));
    tokio::select! {
        () = &mut serving => {}
        () = over => {
            closing.send_replace(true);
            serving.await;
        }
    }
}
