//! Whether the sidecar is in service.

use tokio::sync::watch;

/// Whether the sidecar is in service, and how far a planned stop has come. What is not serving says so at `/up`,
/// and its connections close once what is open on them is answered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    /// In service.
    Serving,
    /// Emptied by operators; may serve again.
    Draining,
    /// Told to stop.
    Stopping,
    /// New connections are no longer accepted.
    Closed,
    /// What is still open is failed at once.
    Now,
}

impl Service {
    /// Drains the sidecar or ends the drain. A stop is for good, whatever operators call.
    pub fn drain(service: &watch::Sender<Self>, drained: bool) {
        let to = if drained { Self::Draining } else { Self::Serving };
        service.send_if_modified(|now| *now < Self::Stopping && std::mem::replace(now, to) != to);
    }
}
