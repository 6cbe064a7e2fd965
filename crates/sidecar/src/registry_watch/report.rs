//! The log lines for the reports of a watcher.

use crate::log::log_line;
use lotusmoor_registry_client::{Micros, Report};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// At most one failed poll is logged in each interval of this length.
const POLL_FAILURE_INTERVAL: Duration = Duration::from_secs(5);
const MICROS_PER_SECOND: Micros = 1_000_000;

/// Logs the reports of a watcher.
pub(super) struct ReportLog {
    addresses: Vec<SocketAddr>,
    poll_failure_logged_at: Option<Instant>,
}

impl ReportLog {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses, poll_failure_logged_at: None }
    }

    pub(super) fn write(&mut self, report: Report) {
        if matches!(report, Report::PollFailed { .. }) {
            let was_logged = self.poll_failure_logged_at;
            if was_logged.is_some_and(|at| at.elapsed() < POLL_FAILURE_INTERVAL) {
                return;
            }
            self.poll_failure_logged_at = Some(Instant::now());
        }
        log_line!("roster: {}", self.line(&report));
    }

    pub(super) fn line(&self, report: &Report) -> String {
        let at = |replica: &usize| self.addresses[*replica];
        match report {
            Report::PollFailed { replica, error } => format!("{}: {error}", at(replica)),
            Report::OlderVersion { replica, version } => {
                format!("{}: list {version} is older than what is known", at(replica))
            }
            Report::DigestMismatch { replica, version } => {
                format!("{}: list {version} is not what others have as {version}", at(replica))
            }
            Report::UnreadableEntry(entry) => format!("entry left out: {entry}"),
            Report::Withheld { replica, version, removed, active_before } => format!(
                "{}: list {version} takes away {removed} of {active_before} servers, and is held back",
                at(replica)
            ),
            Report::Confirmed(replica) => format!("{}: what was held back is confirmed", at(replica)),
            Report::Unconfirmed(replica) => {
                format!("{}: has another list than what was held back", at(replica))
            }
            Report::NoServers(service) => format!("service {service} has no servers"),
            Report::Stale(age) => {
                format!("the list is {} s old, and stays in use", age / MICROS_PER_SECOND)
            }
            Report::Fresh => "the list is up to date again".to_owned(),
        }
    }
}
