//! Watching only the servers of some services.
//!
//! Stored sets of service names are sorted and without duplicates. An empty set stands for all servers.

use crate::list::{EndpointList, Entry, ListUpdate, Status};
use crate::{PollError, Report};
use std::collections::BTreeSet;

/// Sorts service names and removes duplicates.
pub(crate) fn normalized(mut services: Vec<String>) -> Vec<String> {
    services.sort_unstable();
    services.dedup();
    services
}

/// Whether an entry belongs to one of these services, of which there is at least one.
fn belongs_to(entry: &Entry, services: &[String]) -> bool {
    entry.service.as_ref().is_some_and(|name| services.binary_search(name).is_ok())
}

/// Limits a list to these services; returns whether any entry was removed.
pub(crate) fn restrict(list: &mut EndpointList, services: &[String]) -> bool {
    let before = list.entries.len();
    if !services.is_empty() {
        list.entries.retain(|_, entry| belongs_to(entry, services));
    }
    list.services = services.to_vec();
    list.entries.len() < before
}

/// Checks that a response is for exactly the services that were polled. In any other response, it is unknown which
/// services the entries belong to.
pub(crate) fn check_response(update: &ListUpdate, services: &[String]) -> Result<(), PollError> {
    match &update.services {
        None if services.is_empty() => return Ok(()),
        None => return Err(PollError::ServicesUnsupported),
        Some(got) if services.is_empty() || got != services => return Err(PollError::OtherServices),
        Some(_) => {}
    }
    // A removed entry may belong to any service, as the server may have moved.
    let is_of_other_service = |entry: &Entry| entry.status != Status::Removed && !belongs_to(entry, services);
    if update.endpoints.iter().any(is_of_other_service) {
        return Err(PollError::OtherServices);
    }
    Ok(())
}

/// Watched services that are known to have no servers; each is reported once.
#[derive(Default)]
pub(crate) struct EmptyServices {
    reported: BTreeSet<String>,
}

impl EmptyServices {
    /// Forgets services that are no longer watched.
    pub(crate) fn retain(&mut self, services: &[String]) {
        self.reported.retain(|name| services.contains(name));
    }

    /// Returns reports for the watched services that have no servers in this list and are not reported yet.
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
