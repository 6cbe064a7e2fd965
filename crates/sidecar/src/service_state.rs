//! Whether the sidecar is in service, and how far a graceful shutdown has progressed.

use tokio::sync::watch;

/// The sidecar's service state, in the order in which a shutdown passes through it. In all states but the first, `/up`
/// reports that the sidecar is out of service, and connections close once the requests on them are answered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServiceState {
    /// In service.
    Serving,
    /// Drained by operators; may serve again.
    Draining,
    /// Shutting down.
    Stopping,
    /// Shutting down, and new connections are no longer accepted.
    NotAccepting,
    /// Shutting down, and requests that are still open are failed at once.
    Aborting,
}

/// Waits until a shutdown fails all that is still open. No wait on behalf of a client may outlast this.
pub async fn aborting(service: &watch::Receiver<ServiceState>) {
    // The sender is dropped only as the process ends.
    let _ = service.clone().wait_for(|state| *state == ServiceState::Aborting).await;
}

/// Drains the sidecar or ends the drain. Has no effect once a shutdown has begun.
pub fn set_drained(state: &watch::Sender<ServiceState>, drained: bool) {
    let target = if drained { ServiceState::Draining } else { ServiceState::Serving };
    state.send_if_modified(|current| {
        let changes = *current < ServiceState::Stopping && *current != target;
        if changes {
            *current = target;
        }
        changes
    });
}
