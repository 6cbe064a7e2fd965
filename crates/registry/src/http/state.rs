//! State shared by the request handlers of a replica.

use super::metrics::Metrics;
use super::rendered::RenderCache;
use crate::core::SECOND;
use crate::core::admission::{Admission, AdmissionDecision};
use crate::node::Node;
use crate::raft::Transport;
use std::sync::atomic::AtomicUsize;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Limits on the resources that clients may use.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Concurrent connections.
    pub connections: usize,
    /// Concurrent watches.
    pub watchers: usize,
    /// Full lists per second, which is also the size of a burst.
    pub full_lists_per_s: f64,
    /// Maximum `Retry-After` for a client whose full list is deferred.
    pub max_retry_after: Duration,
    /// Time after which a connection is closed if its request head does not arrive or its response is not read.
    pub io_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 8000,
            watchers: 7000,
            full_lists_per_s: 500.0,
            max_retry_after: Duration::from_secs(30),
            io_timeout: Duration::from_secs(3),
        }
    }
}

/// State shared by the request handlers.
pub(super) struct ServerState<T> {
    pub(super) node: Node<T>,
    pub(super) limits: Limits,
    pub(super) metrics: Metrics,
    pub(super) rendered_lists: RenderCache,
    pub(super) watchers: AtomicUsize,
    admission: Mutex<Admission>,
    closing: watch::Receiver<bool>,
    /// Whether the list is too old to be served, as this replica has lost contact with a quorum.
    quorum_lost: watch::Receiver<bool>,
}

impl<T: Transport> ServerState<T> {
    pub(super) fn new(
        node: Node<T>,
        limits: Limits,
        closing: watch::Receiver<bool>,
        quorum_lost: watch::Receiver<bool>,
    ) -> Self {
        let max_retry_after = i64::try_from(limits.max_retry_after.as_micros()).unwrap_or(30 * SECOND);
        let admission = Admission::new(limits.full_lists_per_s, limits.full_lists_per_s, max_retry_after);
        Self {
            node,
            metrics: Metrics::default(),
            rendered_lists: RenderCache::default(),
            watchers: AtomicUsize::new(0),
            admission: Mutex::new(admission),
            closing,
            quorum_lost,
            limits,
        }
    }

    /// Whether a full list may be sent now.
    pub(super) fn admit_full_list(&self) -> AdmissionDecision {
        self.admission.lock().unwrap_or_else(PoisonError::into_inner).admit(self.node.now())
    }

    /// Waits until the service is being closed.
    pub(super) async fn closing(&self) {
        wait_until_set(&mut self.closing.clone()).await;
    }

    /// Waits until contact with a quorum is lost.
    pub(super) async fn quorum_lost(&self) {
        wait_until_set(&mut self.quorum_lost.clone()).await;
    }
}

/// Waits until a flag is set or its sender is dropped.
pub(super) async fn wait_until_set(flag: &mut watch::Receiver<bool>) {
    let _ = flag.wait_for(|is_set| *is_set).await.map(|_| ());
}
