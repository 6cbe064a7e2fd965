//! The endpoint list from a service registry, if one is configured: carries out the decisions of the registry's
//! client ([`RegistryWatcher`]).

mod config;
mod list_status;
mod poll;
mod report;
mod watcher;

pub use config::{RegistryConfig, RegistryConfigError};
pub use list_status::RegistryHandle;

use crate::endpoint_list::{ListMessage, ListedEndpoint, ListedStatus};
use crate::engine_input::{Input, InputSender};
use crate::file_access;
use crate::log::log_line;
use lotusmoor_registry_client::{
    Action, EndpointList, Entry, Event, Micros, RegistryWatcher, Status, Version, cache_file,
};
use poll::IdleConnection;
use report::ReportLog;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep_until;
use watcher::SharedWatcher;

/// Time limit for reading the cache file, and for writing it.
const FILE_TIMEOUT: Duration = Duration::from_millis(500);

/// Drives a [`RegistryWatcher`] with the sidecar's sockets and clock, and forwards its list to the engine.
pub struct RegistryDriver {
    config: RegistryConfig,
    watcher: SharedWatcher,
    inputs: InputSender,
    /// Indexed by replica.
    connections: Vec<IdleConnection>,
    polls_in_flight: HashMap<u64, AbortHandle>,
    poll_events: mpsc::UnboundedSender<Event>,
    poll_results: mpsc::UnboundedReceiver<Event>,
    services: watch::Receiver<BTreeSet<String>>,
    report_log: ReportLog,
}

impl RegistryDriver {
    /// A driver that has not started, and the handle to it. Its lists are sent to `inputs`.
    pub fn new(config: RegistryConfig, seed: u64, inputs: InputSender) -> (Self, RegistryHandle) {
        let watcher = SharedWatcher::new(RegistryWatcher::new(config.settings(), seed));
        let (services_sender, services) = watch::channel(config.services.clone());
        let handle = RegistryHandle::new(watcher.clone(), services_sender);
        let (poll_events, poll_results) = mpsc::unbounded_channel();
        let driver = Self {
            watcher,
            inputs,
            connections: config.addresses.iter().map(|_| Rc::default()).collect(),
            polls_in_flight: HashMap::new(),
            poll_events,
            poll_results,
            services,
            report_log: ReportLog::new(config.addresses.clone()),
            config,
        };
        (driver, handle)
    }

    /// Runs until the process ends. The list of the cache file is used at once.
    pub async fn run(mut self) {
        let cached = self.load();
        self.handle(Event::Start(cached));
        loop {
            let event = self.next_event().await;
            self.handle(event);
        }
    }

    async fn next_event(&mut self) -> Event {
        let next_timer = self.watcher.next_timer();
        let timer = async {
            match next_timer {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            event = self.poll_results.recv() => event.unwrap_or(Event::Timer),
            Ok(()) = self.services.changed() => {
                Event::ServicesChanged(self.services.borrow_and_update().iter().cloned().collect())
            }
            () = timer => Event::Timer,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Event::Response { poll, .. } | Event::PollFailed { poll, .. } = &event {
            self.polls_in_flight.remove(poll);
        }
        for action in self.watcher.handle(event) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Poll { poll, replica, after, wait } => self.send_poll(poll, replica, after, wait),
            Action::CancelPoll(poll) => {
                if let Some(task) = self.polls_in_flight.remove(&poll) {
                    task.abort();
                }
            }
            Action::Apply(applied) => {
                let endpoints = applied.entries.into_iter().map(listed_endpoint).collect();
                let (index, snapshot) = (applied.version.index, applied.full);
                self.inputs.send(Input::ListReceived(ListMessage {
                    index,
                    snapshot,
                    endpoints,
                    unreadable: None,
                }));
            }
            Action::Save => self.save(),
            Action::Report(report) => self.report_log.write(report),
        }
    }

    fn send_poll(&mut self, poll: u64, replica: usize, after: Option<Version>, wait: Micros) {
        let path = self.watcher.state().poll_path(after, wait);
        let (address, connection) = (self.config.addresses[replica], Rc::clone(&self.connections[replica]));
        let events = self.poll_events.clone();
        let task = spawn_local(async move {
            let event = poll::send(poll, address, connection, &path).await;
            // The receiver lives as long as the process.
            let _ = events.send(event);
        });
        self.polls_in_flight.insert(poll, task.abort_handle());
    }

    fn load(&self) -> Option<EndpointList> {
        let path = self.config.file.clone()?;
        let loaded = file_access::run_at_startup(FILE_TIMEOUT, move || cache_file::load(&path));
        match loaded {
            Ok(Ok(Some((list, age)))) => {
                let (version, servers, age) = (list.version, list.entries.len(), age.as_secs());
                log_line!("roster: list {version} of {servers} servers from the cache file, {age} s old");
                Some(list)
            }
            Ok(Ok(None)) => None,
            Ok(Err(error)) => {
                log_line!("roster: the cache file can't be used: {error}");
                None
            }
            Err(error) => {
                log_line!("roster: the cache file can't be read: {error}");
                None
            }
        }
    }

    /// Writes the cache file on a separate thread, as a write to disk may block.
    fn save(&self) {
        let list = self.watcher.state().list().cloned();
        let (Some(path), Some(list)) = (self.config.file.clone(), list) else { return };
        spawn_local(async move {
            let saved = file_access::run(FILE_TIMEOUT, move |_| Ok(cache_file::save(&path, &list)));
            match saved.await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log_line!("roster: the cache file can't be written: {error}"),
                Err(error) => log_line!("roster: the cache file can't be written: {error}"),
            }
        });
    }
}

fn listed_endpoint(entry: Entry) -> ListedEndpoint {
    ListedEndpoint {
        name: entry.name,
        address: Some(entry.address),
        zone: entry.zone,
        machine_type: entry.machine_type,
        cell: entry.cell,
        status: match entry.status {
            Status::Active => ListedStatus::Active,
            Status::Draining => ListedStatus::Draining,
            Status::Removed => ListedStatus::Removed,
        },
        weight: entry.weight,
        started_ms: entry.started_ms,
    }
}

#[cfg(test)]
mod tests;
