//! A driver for a watcher, which a test advances step by step.

use crate::registry_model::RegistryModel;
use crate::support::names;
use lotusmoor_registry_client::{
    Action, EndpointList, Entry, Event, ListUpdate, Micros, RegistryWatcher, Settings, Status, Version,
};
use std::collections::BTreeMap;

/// Drives a watcher, and applies its actions to the list in use.
pub struct TestDriver {
    pub watcher: RegistryWatcher,
    pub now: Micros,
    pub in_flight: Vec<SentPoll>,
    /// Polls to which a response may still arrive.
    pub cancelled: Vec<SentPoll>,
    pub in_use: BTreeMap<String, Entry>,
    newest: Version,
    pub saved: Option<EndpointList>,
    pub services: Vec<String>,
}

#[derive(Clone)]
pub struct SentPoll {
    pub id: u64,
    pub replica: usize,
    pub after: Option<Version>,
    pub services: Vec<String>,
}

impl TestDriver {
    pub fn new(replicas: usize, services: &[&str], seed: u64) -> Self {
        let settings = Settings { services: names(services), ..Settings::new(replicas) };
        Self {
            watcher: RegistryWatcher::new(settings, seed),
            now: 0,
            in_flight: Vec::new(),
            cancelled: Vec::new(),
            in_use: BTreeMap::new(),
            newest: Version::default(),
            saved: None,
            services: names(services),
        }
    }

    pub fn start(replicas: usize, services: &[&str]) -> Self {
        let mut driver = Self::new(replicas, services, 7);
        driver.handle(Event::Start(None));
        driver
    }

    /// Starts a watcher and responds to its first poll with this list.
    pub fn with_list(list: &RegistryModel, replicas: usize, services: &[&str]) -> Self {
        let mut driver = Self::start(replicas, services);
        driver.respond(list);
        driver
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.watcher.handle(self.now, event, &mut out);
        for action in &out {
            match action {
                Action::Poll { poll, replica, after, wait } => {
                    let path = self.watcher.poll_path(*after, *wait);
                    let services = path
                        .split_once("&services=")
                        .map_or(Vec::new(), |(_, s)| s.split(',').map(str::to_owned).collect());
                    assert_eq!(services, self.services, "{path}");
                    self.in_flight.push(SentPoll { id: *poll, replica: *replica, after: *after, services });
                }
                Action::CancelPoll(id) => {
                    let at = self.in_flight.iter().position(|poll| poll.id == *id).expect("a poll in flight");
                    self.cancelled.push(self.in_flight.remove(at));
                }
                Action::Apply(applied) => {
                    assert!(applied.version >= self.newest, "{} after {}", applied.version, self.newest);
                    self.newest = applied.version;
                    if applied.full {
                        self.in_use.clear();
                    }
                    for entry in &applied.entries {
                        match entry.status {
                            Status::Removed => drop(self.in_use.remove(&entry.name)),
                            _ => drop(self.in_use.insert(entry.name.clone(), entry.clone())),
                        }
                    }
                }
                Action::Save => self.saved = self.watcher.list().cloned(),
                Action::Report(_) => {}
            }
        }
        out
    }

    pub fn advance(&mut self) -> Vec<Action> {
        self.now = self.now.max(self.watcher.next_timer().expect("a timer is always set"));
        self.handle(Event::Timer)
    }

    /// Returns the oldest poll in flight; advances the time until there is one.
    pub fn next_poll(&mut self) -> SentPoll {
        for _ in 0..100 {
            if let Some(poll) = self.in_flight.first() {
                return poll.clone();
            }
            self.advance();
        }
        panic!("no poll was sent");
    }

    /// Responds to the next poll with this list.
    pub fn respond(&mut self, list: &RegistryModel) -> Vec<Action> {
        let poll = self.next_poll();
        self.respond_with(&poll, list.update(&poll.services, poll.after))
    }

    pub fn respond_with(&mut self, poll: &SentPoll, update: ListUpdate) -> Vec<Action> {
        self.now += 1000;
        self.in_flight.retain(|open| open.id != poll.id);
        self.handle(Event::Response { poll: poll.id, update })
    }

    pub fn change_services(&mut self, services: &[&str]) -> Vec<Action> {
        self.now += 1000;
        self.services = names(services);
        self.services.sort_unstable();
        self.services.dedup();
        self.handle(Event::ServicesChanged(names(services)))
    }

    pub fn names_in_use(&self) -> Vec<&str> {
        self.in_use.keys().map(String::as_str).collect()
    }
}
