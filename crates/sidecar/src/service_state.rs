//! Whether the sidecar is in service, and how far a graceful shutdown has come.

use tokio::sync::watch;

/// The sidecar's service state, in the order in which a shutdown passes through it. Out of service, `/up` says so and
/// connections close once the requests on them are answered.
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
    /// Requests that are still open are failed at once.
    Aborting,
}

/// Drains the sidecar or ends the drain. A shutdown is final, whatever operators call.
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
