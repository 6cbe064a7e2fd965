//! Graceful shutdown: open requests are answered, and each connection closes once its requests are.

use crate::log::log_line;
use crate::metrics::RequestOutcome;
use crate::service_state::ServiceState;
use crate::startup::Sidecar;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long new connections are accepted after SIGTERM, as clients may open them for up to 400 ms more.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// The longest deadline that any request is given.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// How long after the longest deadline the requests that are still open are failed. SIGKILL follows at least 700 ms
/// after that deadline, and the answers have to be sent before.
const ABORT_DELAY: Duration = Duration::from_millis(500);
/// Time limit for sending the last answers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(150);

impl Sidecar {
    /// Shuts the sidecar down.
    pub async fn shut_down(self) {
        let began = Instant::now();
        log_line!("shutting down");
        self.service.send_replace(ServiceState::Stopping);
        // Clients of a shared socket are accepted by the other process.
        if !self.shared_socket {
            sleep(ACCEPT_TIME).await;
        }
        self.service.send_replace(ServiceState::NotAccepting);
        log_line!("no longer accepting clients");
        // Each connection holds a receiver of the service state.
        let all_closed = async {
            if self.accepting.await.is_ok() {
                self.service.closed().await;
            }
        };
        tokio::pin!(all_closed);
        let abort_at = began + self.longest_deadline.min(MAX_DEADLINE) + ABORT_DELAY;
        tokio::select! {
            () = &mut all_closed => return log_line!("shut down: all connections closed"),
            () = sleep_until(abort_at) => {}
        }
        log_line!("failing the requests that are still open");
        self.service.send_replace(ServiceState::Aborting);
        let closed = match timeout(LAST_ANSWERS_TIME, all_closed).await {
            Ok(()) => "all connections closed",
            Err(_) => "connections were still open",
        };
        let failed = RequestOutcome::ShutDown.total();
        log_line!("shut down: {closed}, {failed} requests failed by the shutdown");
    }
}
