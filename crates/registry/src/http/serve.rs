//! Serves a replica on a listening socket.

use super::connections::{ConnectionLimits, serve_connections};
use super::router::router;
use super::state::{Limits, ServerState};
use crate::core::freshness::ReadConsistency;
use crate::node::Node;
use crate::raft::Transport;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Interval of the check for quorum contact, which is made once for all watchers.
const QUORUM_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A running service.
pub struct Service {
    closing: watch::Sender<bool>,
    done: tokio::task::JoinHandle<()>,
}

impl Service {
    /// Stops accepting connections, ends open watches, and returns when the requests in flight are complete.
    pub async fn close(self) {
        self.closing.send_replace(true);
        let _ = self.done.await;
    }
}

/// Serves a replica until the service is closed.
pub fn serve<T: Transport>(listener: impl Into<Arc<TcpListener>>, node: Node<T>, limits: Limits) -> Service {
    let (closing, closed) = watch::channel(false);
    let (quorum_lost_sender, quorum_lost) = watch::channel(false);
    let state = Arc::new(ServerState::new(node, limits, closed.clone(), quorum_lost));
    let quorum_checks = watch_quorum_contact(state.node.clone(), quorum_lost_sender);
    let connection_limits = ConnectionLimits {
        connections: state.limits.connections,
        io_timeout: state.limits.io_timeout,
        rejected: state.metrics.connections_rejected.clone(),
    };
    let connections = serve_connections(listener.into(), router(state), connection_limits, closed);
    let done = tokio::spawn(async move {
        tokio::select! {
            () = connections => {}
            () = quorum_checks => {}
        }
    });
    Service { closing, done }
}

/// Publishes whether quorum contact has been lost for so long that the list must no longer be served.
async fn watch_quorum_contact<T: Transport>(node: Node<T>, quorum_lost: watch::Sender<bool>) {
    loop {
        let is_lost = node.read_consistency() == ReadConsistency::Unavailable;
        quorum_lost.send_if_modified(|known| std::mem::replace(known, is_lost) != is_lost);
        tokio::time::sleep(QUORUM_CHECK_INTERVAL).await;
    }
}
