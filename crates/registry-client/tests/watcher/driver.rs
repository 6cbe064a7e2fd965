//! A driver for a watcher, which a test advances step by step, and the lists that it responds with.

use lotusmoor_registry_client::{
    Action, Entry, Event, ListUpdate, Micros, PollError, RegistryWatcher, Report, Settings, Status,
    StatusReason, Version,
};

pub fn entry(i: usize, status: Status, reason: StatusReason) -> Entry {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1000 + i as u16));
    Entry {
        name: format!("s-{i}"),
        address,
        service: None,
        zone: None,
        region: None,
        machine_type: None,
        cell: 0,
        status,
        weight: 1.0,
        started_ms: 0,
        status_reason: reason,
    }
}

pub fn v(epoch: u64, index: u64) -> Version {
    Version { epoch, index }
}

/// The complete list of a version, with that number of active servers.
pub fn complete(at: Version, servers: usize) -> ListUpdate {
    let endpoints = (0..servers).map(|i| entry(i, Status::Active, StatusReason::Registered)).collect();
    ListUpdate { version: at, snapshot: true, digest: at.index, endpoints, ..ListUpdate::default() }
}

pub fn no_changes(at: Version) -> ListUpdate {
    ListUpdate { version: at, digest: at.index, ..ListUpdate::default() }
}

/// Drives a watcher step by step.
pub struct TestDriver {
    pub watcher: RegistryWatcher,
    pub now: Micros,
    pub out: Vec<Action>,
}

impl TestDriver {
    pub fn start(replicas: usize, seed: u64) -> Self {
        let mut driver =
            Self { watcher: RegistryWatcher::new(Settings::new(replicas), seed), now: 0, out: Vec::new() };
        driver.handle(Event::Start(None));
        driver
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.watcher.handle(self.now, event, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// Advances the time to the watcher's next timer.
    pub fn advance(&mut self) -> Vec<Action> {
        self.now = self.now.max(self.watcher.next_timer().expect("a timer is always set"));
        self.handle(Event::Timer)
    }

    /// Advances the time until a poll is sent.
    pub fn next_poll(&mut self) -> (u64, usize, Option<Version>, Vec<Action>) {
        let mut all = Vec::new();
        for _ in 0..100 {
            all.extend(self.advance());
            if let Some((poll, replica, after)) = poll_in(&all) {
                return (poll, replica, after, all);
            }
        }
        panic!("no poll was sent: {all:?}");
    }

    pub fn respond(&mut self, poll: u64, update: ListUpdate) -> Vec<Action> {
        self.now += 1000;
        self.handle(Event::Response { poll, update })
    }

    pub fn fail(&mut self, poll: u64, retry_after: Option<Micros>) -> Vec<Action> {
        self.now += 1000;
        self.handle(Event::PollFailed { poll, retry_after, error: PollError::connection("refused") })
    }

    /// Starts a watcher and responds to its first poll with the complete list of a version.
    pub fn with_list(replicas: usize, at: Version, servers: usize) -> Self {
        let mut driver = Self::start(replicas, 7);
        let out = driver.respond(1, complete(at, servers));
        assert!(out.iter().any(|a| matches!(a, Action::Apply(applied) if applied.full)), "{out:?}");
        driver
    }
}

pub fn poll_in(out: &[Action]) -> Option<(u64, usize, Option<Version>)> {
    out.iter().find_map(|a| match a {
        Action::Poll { poll, replica, after, .. } => Some((*poll, *replica, *after)),
        _ => None,
    })
}

pub fn reports(out: &[Action]) -> Vec<&Report> {
    out.iter().filter_map(|a| if let Action::Report(r) = a { Some(r) } else { None }).collect()
}

pub fn applied(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Apply(_)))
}
