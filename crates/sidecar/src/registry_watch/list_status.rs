//! The handle through which operators get the status of the registry's list, and a reload changes the watched services.

use super::watcher::SharedWatcher;
use crate::log::log_line;
use lotusmoor_registry_client::Micros;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::watch;

const MICROS_PER_MILLISECOND: Micros = 1000;

/// A handle to a [`RegistryDriver`](super::RegistryDriver): the status of its list, and the services that it watches.
#[derive(Clone)]
pub struct RegistryHandle {
    watcher: SharedWatcher,
    /// The watched services; empty for all.
    services: Rc<watch::Sender<BTreeSet<String>>>,
}

impl RegistryHandle {
    pub(super) fn new(watcher: SharedWatcher, services: watch::Sender<BTreeSet<String>>) -> Self {
        Self { watcher, services: Rc::new(services) }
    }

    /// Watches the servers of these services from now on; all servers if `services` is empty.
    pub fn watch_services(&self, services: BTreeSet<String>) {
        if *self.services.borrow() == services {
            return;
        }
        let names: Vec<&str> = services.iter().map(String::as_str).collect();
        let names = if names.is_empty() { "all".to_owned() } else { names.join(", ") };
        log_line!("roster: watching services: {names}");
        self.services.send_replace(services);
    }

    /// One line: version, age, number of servers, whether a list is withheld, and the number of watched services unless
    /// all servers are watched.
    pub fn summary(&self) -> String {
        let watcher = self.watcher.state();
        let (version, servers) = match watcher.list() {
            Some(list) => (list.version.to_string(), list.entries.len()),
            None => ("none".to_owned(), 0),
        };
        let age_ms = watcher.age(self.watcher.now()) / MICROS_PER_MILLISECOND;
        let withheld = u8::from(watcher.withholds_list());
        let services = match self.services.borrow().len() {
            0 => String::new(),
            number => format!(" services={number}"),
        };
        format!("version={version} age_ms={age_ms} servers={servers} held={withheld}{services}")
    }
}
