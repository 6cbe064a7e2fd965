//! Tasks of clients that run beside the usual traffic, and the requests that they record.

use super::check::ClientRequest;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// Requests that clients have recorded so far.
#[derive(Clone, Default)]
pub(super) struct RecordedRequests(Arc<Mutex<Vec<ClientRequest>>>);

impl RecordedRequests {
    /// Records a request.
    pub(super) fn push(&self, request: ClientRequest) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(request);
    }
}

/// Running clients, and their requests.
#[derive(Default)]
pub(super) struct ClientTasks {
    requests: RecordedRequests,
    tasks: Vec<JoinHandle<()>>,
}

impl ClientTasks {
    /// Starts a client that records its requests itself.
    pub(super) fn spawn<F: Future<Output = ()> + Send + 'static>(
        &mut self,
        runtime: &Handle,
        client: impl FnOnce(RecordedRequests) -> F,
    ) {
        self.tasks.push(runtime.spawn(client(self.requests.clone())));
    }

    /// Starts a client of a single request; `None` if that was not taken.
    pub(super) fn spawn_one(
        &mut self,
        runtime: &Handle,
        client: impl Future<Output = Option<ClientRequest>> + Send + 'static,
    ) {
        self.spawn(runtime, |requests| async move {
            if let Some(request) = client.await {
                requests.push(request);
            }
        });
    }

    /// Waits until all clients have finished, and returns their requests.
    pub(super) fn finish(&mut self, runtime: &Handle) -> Vec<ClientRequest> {
        for task in self.tasks.drain(..) {
            // A task that was aborted has recorded no further request.
            let _ = runtime.block_on(task);
        }
        std::mem::take(&mut self.requests.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
