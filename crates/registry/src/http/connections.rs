//! Accepts connections and serves requests on them, within limits.

use super::state::wait_until_set;
use super::write_timeout::WriteTimeout;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use prometheus_client::metrics::counter::Counter;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

/// Pause after a failed accept, as such errors, for example too many open files, persist for a while.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of bytes that are buffered per connection.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Limits on connections.
pub(super) struct ConnectionLimits {
    /// Concurrent connections.
    pub(super) connections: usize,
    /// Time after which a connection is closed if its request head does not arrive or its response is not read.
    pub(super) io_timeout: Duration,
    /// Counts the connections beyond the limit, which are closed.
    pub(super) rejected: Counter,
}

/// Serves connections until `closing` is set, then completes the requests in flight.
pub(super) async fn serve_connections(
    listener: Arc<TcpListener>,
    router: Router,
    limits: ConnectionLimits,
    mut closing: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!("no connection could be accepted: {error}");
                    tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                    continue;
                }
            },
            () = wait_until_set(&mut closing) => break,
        };
        while connections.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            limits.rejected.inc();
            continue;
        };
        let serving = serve_connection(stream, router.clone(), limits.io_timeout, closing.clone());
        connections.spawn(async move {
            let _permit = permit;
            serving.await;
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    io_timeout: Duration,
    mut closing: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(WriteTimeout::new(stream, io_timeout));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(io_timeout)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(io, TowerToHyperService::new(router));
    let mut connection = pin!(connection);
    tokio::select! {
        // Errors are caused by the client, which closed the connection or sent something other than HTTP.
        _ = connection.as_mut() => {}
        () = wait_until_set(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            let _ = tokio::time::timeout(io_timeout, connection).await;
        }
    }
}
