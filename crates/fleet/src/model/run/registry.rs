//! The endpoint list from the project's own registry. Its list, leases and admission control, and the sidecars'
//! watchers, are the state machines that the real processes run. Replication is not simulated: commit latency and
//! failover time are drawn from the scenario's ranges.

use super::*;
use crate::model::world::RegistrySpec;
use lotusmoor_registry::core::admission::{Admission, AdmissionDecision};
use lotusmoor_registry::core::lease::{self, LeaseTracker, Renewal};
use lotusmoor_registry::core::{Command, List, Outcome as ApplyOutcome, Registration};
use lotusmoor_registry_client as client;
use lotusmoor_registry_client::{EndpointList, ListUpdate, RegistryWatcher, Version};

/// An event of the registry. Numbers are indices: of polls, writes and replicas in [`Registry`], of processes and
/// servers in [`Run`].
#[derive(Clone, Copy)]
pub(super) enum RegistryEvent {
    /// A poll arrived at its replica.
    PollArrived(u32),
    /// A long poll has reached its wait time.
    PollExpired(u32),
    /// The response to a poll, or its failure, arrived at the sidecar.
    PollAnswered(u32),
    /// A watcher's timer expires; ignored if it was set again since (process, stamp).
    WatcherTimer(u32, u32),
    /// A write arrived at the leader.
    WriteArrived(u32),
    /// A write is committed.
    Committed(u32),
    /// A replica learned that a write is committed.
    Published(u32),
    /// A server renews its lease.
    Renew(u32),
    /// The leader checks for expired leases.
    LeaseCheck,
}

/// How often the leader checks for expired leases.
const LEASE_CHECK_INTERVAL: Micros = SECOND / 4;
/// Mean interval between retries of a write while there is no leader.
const WRITE_RETRY_INTERVAL: Micros = SECOND / 2;
/// The HTTP status of a replica that has no capacity for a poll.
const SERVICE_UNAVAILABLE: u16 = 503;

/// A replica.
struct Replica {
    zone: usize,
    up: bool,
    /// Its process is paused and does not respond.
    paused: bool,
    admission: Admission,
    busy_until: Micros,
    waiting: Vec<u32>,
}

/// A sidecar's poll for list updates.
struct Poll {
    process: u32,
    number: u64,
    replica: usize,
    after: Option<Version>,
    wait: Micros,
    arrived: Micros,
    is_waiting: bool,
    /// Its result: an update, or a failure with an optional time after which to retry.
    reply: Result<Box<ListUpdate>, Option<Micros>>,
}

/// An acknowledged change of the list.
struct Acknowledged {
    index: u64,
    at: Micros,
    /// When the server's state changed.
    since: Micros,
    last_notified_at: Micros,
}

/// The registry, its polls and writes, and when its changes were acknowledged.
pub(super) struct Registry {
    spec: RegistrySpec,
    list: List,
    leases: LeaseTracker,
    replicas: Vec<Replica>,
    leader: usize,
    /// There is no leader until then.
    leaderless_until: Micros,
    /// Replicas that are killed or paused, the latest at the end.
    failed: Vec<usize>,
    /// The new leader has not restarted the leases yet.
    leases_stale: bool,
    polls: Vec<Poll>,
    writes: Vec<(Command, Micros)>,
    acknowledged: Vec<Acknowledged>,
    rng: ChaCha8Rng,
}

impl Registry {
    fn new(spec: RegistrySpec, zones: usize, seed: u64) -> Self {
        let replica = |i: usize| Replica {
            zone: i % zones,
            up: true,
            paused: false,
            admission: Admission::new(spec.full_lists_per_s, spec.full_lists_per_s, 30 * SECOND),
            busy_until: 0,
            waiting: Vec::new(),
        };
        Self {
            list: List::default(),
            leases: LeaseTracker::new(lease::Settings::default()),
            replicas: (0..spec.replicas).map(replica).collect(),
            leader: 0,
            leaderless_until: 0,
            failed: Vec::new(),
            leases_stale: false,
            polls: Vec::new(),
            writes: Vec::new(),
            acknowledged: Vec::new(),
            rng: stream(seed, "roster", 0),
            spec,
        }
    }

    fn is_available(&self, replica: usize) -> bool {
        self.replicas[replica].up && !self.replicas[replica].paused
    }

    fn leads(&self, now: Micros) -> bool {
        now >= self.leaderless_until && self.is_available(self.leader)
    }

    /// Starts a failover: another available replica becomes leader after the failover time.
    fn lose_leader(&mut self, now: Micros) {
        let after = crate::seconds(self.spec.failover_s.draw(&mut self.rng));
        self.leaderless_until = now + after;
        self.leases_stale = true;
        if let Some(next) = (0..self.replicas.len()).find(|r| self.is_available(*r)) {
            self.leader = next;
        }
    }

    /// When that version was acknowledged.
    pub(super) fn acknowledged_at(&self, version: u64) -> Option<Micros> {
        let at = self.acknowledged.binary_search_by_key(&version, |a| a.index).ok()?;
        Some(self.acknowledged[at].at)
    }

    /// For each change that reached a sidecar, the time from its acknowledgement to the last sidecar's notification.
    pub(super) fn last_notified(&self) -> impl Iterator<Item = Micros> {
        self.acknowledged.iter().filter(|a| a.last_notified_at > 0).map(|a| a.last_notified_at - a.at)
    }
}

/// A process's registry watcher and its timer.
pub(super) struct RegistryWatch {
    watcher: RegistryWatcher,
    /// Generation of the current timer; events with an older stamp are ignored.
    stamp: u32,
    next_wake: Micros,
    has_list: bool,
}

impl Run {
    /// Bootstraps the registry with the servers that are running, and starts their lease renewals.
    pub(super) fn start_registry(&mut self) {
        let Some(spec) = self.world.registry.clone() else { return };
        let mut registry = Registry::new(spec, self.world.zones.len(), self.world.seed);
        registry.list.apply(&Command::Bootstrap { epoch: 1000, backup: None });
        let first = (0..self.servers.len()).filter(|s| !self.servers[*s].spec.starts_later);
        let servers: Vec<Registration> = first.map(|s| self.registration(s, &registry.spec)).collect();
        registry.list.apply(&Command::Register { servers, expect: None, at_ms: 0 });
        registry.leases.start_leading(0, registry.list.entries().values());
        self.start_versions.fill(0);
        self.registry = Some(Box::new(registry));
        for s in 0..self.servers.len() {
            let spread = (chance::unit(self.world.seed ^ (s as u64) << 13) * 2e6) as Micros;
            self.schedule_registry(spread, RegistryEvent::Renew(s as u32));
        }
        self.schedule_registry(LEASE_CHECK_INTERVAL, RegistryEvent::LeaseCheck);
    }

    fn schedule_registry(&mut self, at: Micros, event: RegistryEvent) {
        self.events.schedule(at, SimEvent::Registry(event));
    }

    fn registration(&self, server: usize, spec: &RegistrySpec) -> Registration {
        let s = &self.servers[server];
        let entry = client::Entry {
            name: server_name(server),
            address: ([127, 0, 0, 1], 80).into(),
            service: None,
            zone: Some(self.world.zones[s.spec.zone].clone()),
            region: None,
            machine_type: None,
            cell: s.spec.cell,
            status: client::Status::Active,
            weight: s.spec.weight,
            started_ms: s.started.map_or(0, |at| (at / 1000).max(1)),
            status_reason: client::StatusReason::Registered,
        };
        Registration { entry, lease_ms: spec.lease_ms }
    }

    // ---- Servers ----

    /// Writes a server's new state to the registry: it registers, drains or is removed.
    pub(super) fn report_to_registry(&mut self, now: Micros, server: usize, status: EndpointStatus) {
        let Some(registry) = &self.registry else { return };
        let name = server_name(server);
        let command = match status {
            EndpointStatus::Ready => {
                let server = self.registration(server, &registry.spec);
                Command::Register { servers: vec![server], expect: None, at_ms: 0 }
            }
            EndpointStatus::Draining => Command::Drain { name, expect: None, at_ms: 0 },
            EndpointStatus::Removed => Command::Remove { name, expect: None, at_ms: 0 },
        };
        self.write_to_registry(now, command, now);
    }

    fn write_to_registry(&mut self, now: Micros, command: Command, since: Micros) {
        let Some(registry) = &mut self.registry else { return };
        registry.writes.push((command, since));
        let number = registry.writes.len() as u32 - 1;
        self.schedule_registry(now + 1000, RegistryEvent::WriteArrived(number));
    }

    fn renew(&mut self, now: Micros, server: u32) {
        let s = &self.servers[server as usize];
        let alive = s.machine == MachineState::Up;
        let Some(registry) = &mut self.registry else { return };
        if alive && registry.leads(now) && !registry.leases_stale {
            let listed = s.started.is_none_or(|at| now > at + 2 * SECOND);
            let lost = registry.leases.renew(now, &server_name(server as usize)) == Renewal::Unknown;
            if lost && listed && s.draining.is_none() {
                self.report_to_registry(now, server as usize, EndpointStatus::Ready);
            }
        }
        if now < self.world.length {
            self.schedule_registry(now + 2 * SECOND, RegistryEvent::Renew(server));
        }
    }

    // ---- The service ----

    pub(super) fn registry_event(&mut self, now: Micros, event: RegistryEvent) {
        match event {
            RegistryEvent::PollArrived(poll) => self.poll_arrived(now, poll),
            RegistryEvent::PollExpired(poll) => {
                let Some(registry) = &mut self.registry else { return };
                let pending = &registry.polls[poll as usize];
                let replica = pending.replica;
                if pending.is_waiting && registry.is_available(replica) {
                    registry.replicas[replica].waiting.retain(|w| *w != poll);
                    self.answer_poll(now, poll);
                }
            }
            RegistryEvent::PollAnswered(poll) => {
                let Some(registry) = &mut self.registry else { return };
                let pending = &mut registry.polls[poll as usize];
                let (process, number) = (pending.process, pending.number);
                let event = match std::mem::replace(&mut pending.reply, Err(None)) {
                    Ok(update) => client::Event::Response { poll: number, update: *update },
                    Err(retry_after) => client::Event::PollFailed {
                        poll: number,
                        retry_after,
                        error: poll_error(retry_after),
                    },
                };
                self.drive_watcher(now, process, event);
            }
            RegistryEvent::WatcherTimer(process, stamp) => {
                let is_current = self.processes[process as usize]
                    .registry_watch
                    .as_ref()
                    .is_some_and(|r| r.stamp == stamp);
                if is_current {
                    self.drive_watcher(now, process, client::Event::Timer);
                }
            }
            RegistryEvent::WriteArrived(write) => {
                let Some(registry) = &mut self.registry else { return };
                if registry.leads(now) {
                    let after = crate::millis(registry.spec.commit_ms.draw(&mut registry.rng)).max(1);
                    self.schedule_registry(now + after, RegistryEvent::Committed(write));
                } else {
                    let after =
                        (WRITE_RETRY_INTERVAL as f64 * (0.5 + registry.rng.random::<f64>())) as Micros;
                    self.schedule_registry(now + after, RegistryEvent::WriteArrived(write));
                }
            }
            RegistryEvent::Committed(write) => self.write_committed(now, write),
            RegistryEvent::Published(replica) => {
                let Some(registry) = &mut self.registry else { return };
                if registry.is_available(replica as usize) {
                    for poll in std::mem::take(&mut registry.replicas[replica as usize].waiting) {
                        self.answer_poll(now, poll);
                    }
                }
            }
            RegistryEvent::Renew(server) => self.renew(now, server),
            RegistryEvent::LeaseCheck => self.check_leases(now),
        }
    }

    fn check_leases(&mut self, now: Micros) {
        if now < self.world.length {
            self.schedule_registry(now + LEASE_CHECK_INTERVAL, RegistryEvent::LeaseCheck);
        }
        let Some(registry) = &mut self.registry else { return };
        if !registry.leads(now) {
            return;
        }
        if std::mem::take(&mut registry.leases_stale) {
            registry.leases.start_leading(now, registry.list.entries().values());
        }
        let expired = registry.leases.take_expired(now, registry.list.active());
        if !expired.is_empty() {
            let last_renewed = now - Micros::try_from(registry.spec.lease_ms * 1000).unwrap_or(0);
            self.write_to_registry(now, Command::Expire { leases: expired, at_ms: 0 }, last_renewed);
        }
    }

    fn write_committed(&mut self, now: Micros, write: u32) {
        let Some(registry) = &mut self.registry else { return };
        let (command, since) = &registry.writes[write as usize];
        let (before, since) = (registry.list.version().index, *since);
        let ApplyOutcome::Applied { version, changed: true } = registry.list.apply(command) else {
            return;
        };
        let (changed, removed) = registry.list.changed_after(before);
        changed.for_each(|server| registry.leases.update(now, server));
        removed.for_each(|name| registry.leases.remove(name));
        registry.acknowledged.push(Acknowledged {
            index: version.index,
            at: now,
            since,
            last_notified_at: 0,
        });
        if let Command::Register { servers, .. } = command {
            for server in servers.iter().filter_map(|s| server_number(&s.entry.name)) {
                self.start_versions[server] = version.index as usize;
            }
        }
        let (leader, replicas) = (registry.leader, registry.replicas.len());
        let zone = registry.replicas[leader].zone;
        for replica in 0..replicas {
            let to = self.registry.as_ref().map_or(0, |r| r.replicas[replica].zone);
            // A follower learns that it is committed with the next heartbeat or log entry.
            let after = if replica == leader { 1 } else { self.world.links.delay(zone, to, 1.0) };
            self.schedule_registry(now + after, RegistryEvent::Published(replica as u32));
        }
    }

    fn poll_arrived(&mut self, now: Micros, poll: u32) {
        let Some(registry) = &mut self.registry else { return };
        let (replica, after) = (registry.polls[poll as usize].replica, registry.polls[poll as usize].after);
        if registry.replicas[replica].paused {
            return;
        }
        registry.polls[poll as usize].arrived = now;
        if !registry.replicas[replica].up {
            return self.send_reply(now, poll, Err(None));
        }
        let version = registry.list.version();
        let full = registry.list.update(after.map(|a| a.index)).snapshot;
        if full {
            if let AdmissionDecision::RetryAfter(wait) = registry.replicas[replica].admission.admit(now) {
                self.metrics.throttled_polls += 1;
                return self.send_reply(now, poll, Err(Some(wait)));
            }
        } else if after == Some(version) && registry.polls[poll as usize].wait > 0 {
            registry.polls[poll as usize].is_waiting = true;
            registry.replicas[replica].waiting.push(poll);
            let expires_at = now + registry.polls[poll as usize].wait;
            return self.schedule_registry(expires_at, RegistryEvent::PollExpired(poll));
        }
        self.answer_poll(now, poll);
    }

    fn answer_poll(&mut self, now: Micros, poll: u32) {
        let Some(registry) = &mut self.registry else { return };
        let pending = &mut registry.polls[poll as usize];
        pending.is_waiting = false;
        let mut update = registry.list.update(pending.after.map(|v| v.index));
        update.waited_ms = ((now - pending.arrived) / 1000) as u64;
        // Without a leader the age of a replica's list grows.
        let leaderless_for =
            if now < registry.leaderless_until { now - (registry.leaderless_until - SECOND) } else { 0 };
        update.age_ms = 250 + (leaderless_for.max(0) / 1000) as u64;
        self.send_reply(now, poll, Ok(Box::new(update)));
    }

    /// Sends the result of a poll to the sidecar. A replica produces its responses one after another.
    fn send_reply(&mut self, now: Micros, poll: u32, reply: Result<Box<ListUpdate>, Option<Micros>>) {
        let Some(registry) = &mut self.registry else { return };
        let pending = &mut registry.polls[poll as usize];
        let replica = &mut registry.replicas[pending.replica];
        let lines = reply.as_ref().map_or(0, |u| u.endpoints.len());
        let cost = registry.spec.response_time + (registry.spec.time_per_entry * lines as f64) as Micros;
        replica.busy_until = replica.busy_until.max(now) + cost;
        let (from, ready_at) = (replica.zone, replica.busy_until);
        pending.reply = reply;
        let sidecar = self.processes[pending.process as usize].sidecar as usize;
        let zone = self.world.sidecars[sidecar].zone;
        if self.world.links.is_open(from, zone) {
            let at = ready_at + self.world.links.delay(from, zone, 1.0);
            let at = self.round_up(at);
            self.schedule_registry(at, RegistryEvent::PollAnswered(poll));
        }
    }

    // ---- Faults ----

    /// Kills or pauses a replica, or brings the one back that failed last. `position` counts from the leader,
    /// which is 0.
    pub(super) fn registry_fault(&mut self, now: Micros, position: usize, pause: bool, begin: bool) {
        let Some(registry) = &mut self.registry else { return };
        let all = registry.replicas.len();
        let which =
            if begin { (registry.leader + position) % all } else { registry.failed.pop().unwrap_or(0) };
        let r = &mut registry.replicas[which];
        (r.up, r.paused) = if begin { (pause, pause) } else { (true, false) };
        let waiting = std::mem::take(&mut r.waiting);
        if begin {
            registry.failed.push(which);
            if which == registry.leader {
                registry.lose_leader(now);
            }
            if !pause {
                // The connections of waiting polls are reset.
                for poll in waiting {
                    self.send_reply(now, poll, Err(None));
                }
            }
        }
    }

    /// Stops all replicas, or starts them again.
    pub(super) fn registry_outage(&mut self, now: Micros, down: bool) {
        let Some(registry) = &mut self.registry else { return };
        let waiting: Vec<u32> =
            registry.replicas.iter_mut().flat_map(|r| std::mem::take(&mut r.waiting)).collect();
        registry.replicas.iter_mut().for_each(|r| r.up = !down);
        if down {
            registry.leaderless_until = Micros::MAX / 4;
        } else {
            registry.lose_leader(now);
        }
        for poll in waiting {
            self.send_reply(now, poll, Err(None));
        }
    }

    // ---- Sidecars ----

    /// Starts a process's registry watcher with its saved list. The very first process of a sidecar starts with the
    /// initial list.
    pub(super) fn start_watch(&mut self, now: Micros, process: u32, seed: u64) {
        let sidecar = self.processes[process as usize].sidecar as usize;
        let Some(registry) = &self.registry else { return };
        let known = match self.sidecars[sidecar].starts {
            1 => EndpointList::default().updated(&registry.list.update(None), None),
            _ => self.sidecars[sidecar].saved_list.clone().filter(|_| registry.spec.saves_list),
        };
        if self.sidecars[sidecar].starts == 1 {
            self.sidecars[sidecar].saved_list = known.clone();
        }
        let watcher = RegistryWatcher::new(client::Settings::new(registry.replicas.len()), seed);
        let watch = RegistryWatch { watcher, stamp: 0, next_wake: 0, has_list: false };
        self.processes[process as usize].registry_watch = Some(Box::new(watch));
        // Without a saved list the process starts with the one in its configuration, the initial list.
        if known.is_none() {
            let list = self.list_at(0);
            self.dispatch(now, process, Event::EndpointList(EndpointListUpdate::Cached(list)));
        }
        self.drive_watcher(now, process, client::Event::Start(known));
    }

    fn drive_watcher(&mut self, now: Micros, process: u32, event: client::Event) {
        let p = &mut self.processes[process as usize];
        if p.decider.is_none() {
            return;
        }
        let Some(watch) = &mut p.registry_watch else { return };
        let mut actions = Vec::new();
        watch.watcher.handle(now, event, &mut actions);
        if let Some(at) = watch.watcher.next_timer()
            && (at != watch.next_wake || now >= watch.next_wake)
        {
            (watch.stamp, watch.next_wake) = (watch.stamp + 1, at);
            let stamp = watch.stamp;
            let at = self.round_up(at.max(now + 1));
            self.schedule_registry(at, RegistryEvent::WatcherTimer(process, stamp));
        }
        for action in actions {
            match action {
                client::Action::Poll { poll, replica, after, wait } => {
                    self.send_poll(now, process, poll, replica, after, wait)
                }
                // The watcher ignores the response to a poll that it cancelled.
                client::Action::CancelPoll(_) => {}
                client::Action::Apply(applied) => self.apply_list(now, process, applied),
                client::Action::Save => {
                    let p = &self.processes[process as usize];
                    let known = p.registry_watch.as_ref().and_then(|r| r.watcher.list().cloned());
                    self.sidecars[p.sidecar as usize].saved_list = known;
                }
                client::Action::Report(report) => {
                    self.metrics.withheld_lists +=
                        u64::from(matches!(report, client::Report::Withheld { .. }));
                }
            }
        }
    }

    fn send_poll(
        &mut self,
        now: Micros,
        process: u32,
        number: u64,
        replica: usize,
        after: Option<Version>,
        wait: Micros,
    ) {
        let Some(registry) = &mut self.registry else { return };
        self.metrics.list_polls += 1;
        let reply = Err(None);
        registry.polls.push(Poll {
            process,
            number,
            replica,
            after,
            wait,
            arrived: now,
            is_waiting: false,
            reply,
        });
        let poll = registry.polls.len() as u32 - 1;
        let to = registry.replicas[replica].zone;
        let sidecar = self.processes[process as usize].sidecar as usize;
        let zone = self.world.sidecars[sidecar].zone;
        if self.world.links.is_open(zone, to) {
            let at = now + self.world.links.delay(zone, to, 1.0);
            self.schedule_registry(at, RegistryEvent::PollArrived(poll));
        }
    }

    fn apply_list(&mut self, now: Micros, process: u32, applied: client::AppliedList) {
        let entry = |e: &client::Entry| {
            let status = match e.status {
                client::Status::Active => EndpointStatus::Ready,
                client::Status::Draining => EndpointStatus::Draining,
                client::Status::Removed => EndpointStatus::Removed,
            };
            let started = Some(e.started_ms * 1000).filter(|at| *at > 0);
            Some(self.endpoint_entry(server_number(&e.name)?, Entry { status, started }))
        };
        let list: Vec<EndpointEntry> = applied.entries.iter().filter_map(entry).collect();
        let p = &mut self.processes[process as usize];
        let sidecar = p.sidecar as usize;
        let cached = p.registry_watch.as_mut().is_some_and(|r| !std::mem::replace(&mut r.has_list, true));
        if !cached {
            let before = self.sidecars[sidecar].known_version as u64;
            self.metrics.list_entries += list.len() as u64;
            if let Some(registry) = &mut self.registry {
                let first = registry.acknowledged.partition_point(|a| a.index <= before);
                for a in &mut registry.acknowledged[first..] {
                    if a.index <= applied.version.index {
                        a.last_notified_at = a.last_notified_at.max(now);
                        self.metrics.record_staleness(now, now - a.since);
                        self.metrics.record_notification(now - a.at);
                    }
                }
            }
        }
        let known_version = &mut self.sidecars[sidecar].known_version;
        *known_version = (*known_version).max(applied.version.index as usize);
        self.record_unavailable(now, process, &list);
        let update = match (cached, applied.full) {
            (true, _) => EndpointListUpdate::Cached(list),
            (false, true) => EndpointListUpdate::Full(list),
            (false, false) => EndpointListUpdate::Delta(list),
        };
        self.dispatch(now, process, Event::EndpointList(update));
    }
}

/// The error that the real network driver reports: a rejected poll has a retry time, a broken connection doesn't.
fn poll_error(retry_after: Option<Micros>) -> client::PollError {
    match retry_after {
        Some(_) => client::PollError::Status(SERVICE_UNAVAILABLE),
        None => client::PollError::connection(std::io::Error::from(std::io::ErrorKind::ConnectionReset)),
    }
}

fn server_name(server: usize) -> String {
    format!("s{server}")
}

fn server_number(name: &str) -> Option<usize> {
    name.strip_prefix('s')?.parse().ok()
}
