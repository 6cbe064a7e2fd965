//! Watching the servers of some services only.
//!
//! Names of services are sorted and unique wherever they are kept. An empty set stands for all servers.

use crate::list::{EndpointList, Entry, ListUpdate, Status};
use crate::{PollError, Report};
use std::collections::BTreeSet;

/// Sorts names and drops duplicates.
pub(crate) fn normalized(mut services: Vec<String>) -> Vec<String> {
    services.sort_unstable();
    services.dedup();
    services
}

/// Whether an entry is of one of these services, of which there is at least one.
fn is_of(entry: &Entry, services: &[String]) -> bool {
    entry.service.as_ref().is_some_and(|name| services.binary_search(name).is_ok())
}

/// Cuts a list to these services; whether any entry was removed.
pub(crate) fn restrict(list: &mut EndpointList, services: &[String]) -> bool {
    let before = list.entries.len();
    if !services.is_empty() {
        list.entries.retain(|_, entry| is_of(entry, services));
    }
    list.services = services.to_vec();
    list.entries.len() < before
}

/// Checks that a response is of the services that were polled, and of no others. Whose servers the entries of any
/// other response are is unknown.
pub(crate) fn check_response(update: &ListUpdate, services: &[String]) -> Result<(), PollError> {
    match &update.services {
        None if services.is_empty() => return Ok(()),
        None => return Err(PollError::ServicesUnsupported),
        Some(of) if services.is_empty() || of != services => return Err(PollError::OtherServices),
        Some(_) => {}
    }
    // A removed entry may have moved to any service.
    let is_foreign = |entry: &Entry| entry.status != Status::Removed && !is_of(entry, services);
    if update.endpoints.iter().any(is_foreign) {
        return Err(PollError::OtherServices);
    }
    Ok(())
}

/// Watched services that are known to have no servers, each of which is reported once.
#[derive(Default)]
pub(crate) struct EmptyServices {
    reported: BTreeSet<String>,
}

impl EmptyServices {
    /// Forgets what is not watched any more.
    pub(crate) fn retain(&mut self, services: &[String]) {
        self.reported.retain(|name| services.contains(name));
    }

    /// Reports for those of the watched services that have no servers in this list and were not reported yet.
    pub(crate) fn update(&mut self, list: &EndpointList, services: &[String]) -> Vec<Report> {
        let served: BTreeSet<&str> = list.entries.values().filter_map(|e| e.service.as_deref()).collect();
        let mut reports = Vec::new();
        for name in services {
            if served.contains(name.as_str()) {
                self.reported.remove(name);
            } else if self.reported.insert(name.clone()) {
                reports.push(Report::NoServers(name.clone()));
            }
        }
        reports
    }
}
