//! The list from a roster of the project's own: its list, leases and admission, and the sidecars' watchers, are the very
//! cores that run in processes. What the log costs (a commit, a change of leader) is drawn from what was measured.

use super::*;
use crate::model::world::RosterSpec;
use lotusmoor_registry::core::admission::{Admission, AdmissionDecision};
use lotusmoor_registry::core::lease::{self, LeaseTracker, Renewal};
use lotusmoor_registry::core::{Command, List, Outcome as Written, Registration};
use lotusmoor_registry_client as client;
use lotusmoor_registry_client::{EndpointList, ListUpdate, RegistryWatcher, Version};

/// What can happen about a roster. Numbers are places in its tables.
#[derive(Clone, Copy)]
pub(super) enum RosterEvent {
    /// A call has come to its replica.
    Asked(u32),
    /// A watch has waited for its time.
    WatchOver(u32),
    /// A call's answer, or its failure, has come to its sidecar.
    Replied(u32),
    /// A watcher's timer is due, if it was not set anew.
    Wake(u32, u32),
    /// A write comes to the leader.
    Write(u32),
    /// A write is at a majority.
    Committed(u32),
    /// A replica has what was committed.
    Published(u32),
    /// A server renews its lease.
    Renew(u32),
    /// The leader looks through the leases.
    Tick,
}

/// Renewals are sent so often, and the leases looked through.
const TICK: Micros = SECOND / 4;
/// A writer that is turned away comes again after about this.
const AGAIN: Micros = SECOND / 2;
/// What a replica responds to a poll that it has no capacity for.
const SERVICE_UNAVAILABLE: u16 = 503;

/// A replica.
struct Replica {
    zone: usize,
    up: bool,
    /// It stands still: it says nothing.
    held: bool,
    admission: Admission,
    busy_until: Micros,
    waiting: Vec<u32>,
}

/// A sidecar's call.
struct Ask {
    process: u32,
    number: u64,
    replica: usize,
    after: Option<Version>,
    wait: Micros,
    arrived: Micros,
    waits: bool,
    /// How it ended: an answer, or a time to come again.
    reply: Result<Box<ListUpdate>, Option<Micros>>,
}

/// A change that was acknowledged.
struct Acknowledged {
    index: u64,
    at: Micros,
    /// When it became true.
    since: Micros,
    last_told: Micros,
}

/// The roster and what is known of its changes.
pub(super) struct Roster {
    spec: RosterSpec,
    list: List,
    leases: LeaseTracker,
    replicas: Vec<Replica>,
    leader: usize,
    /// Nobody leads until then.
    leaderless_until: Micros,
    /// Replicas that are away, the last first.
    struck: Vec<usize>,
    /// The one that leads from then on has yet to take the leases up.
    leads_anew: bool,
    asks: Vec<Ask>,
    writes: Vec<(Command, Micros)>,
    acknowledged: Vec<Acknowledged>,
    rng: ChaCha8Rng,
}

impl Roster {
    fn new(spec: RosterSpec, zones: usize, seed: u64) -> Self {
        let replica = |i: usize| Replica {
            zone: i % zones,
            up: true,
            held: false,
            admission: Admission::new(spec.whole_lists_per_s, spec.whole_lists_per_s, 30 * SECOND),
            busy_until: 0,
            waiting: Vec::new(),
        };
        Self {
            list: List::default(),
            leases: LeaseTracker::new(lease::Settings::default()),
            replicas: (0..spec.replicas).map(replica).collect(),
            leader: 0,
            leaderless_until: 0,
            struck: Vec::new(),
            leads_anew: false,
            asks: Vec::new(),
            writes: Vec::new(),
            acknowledged: Vec::new(),
            rng: stream(seed, "roster", 0),
            spec,
        }
    }

    fn well(&self, replica: usize) -> bool {
        self.replicas[replica].up && !self.replicas[replica].held
    }

    fn leads(&self, now: Micros) -> bool {
        now >= self.leaderless_until && self.well(self.leader)
    }

    /// The leader is gone: another leads after a while, if there is one.
    fn lose_leader(&mut self, now: Micros) {
        let after = crate::seconds(self.spec.failover_s.draw(&mut self.rng));
        self.leaderless_until = now + after;
        self.leads_anew = true;
        if let Some(next) = (0..self.replicas.len()).find(|r| self.well(*r)) {
            self.leader = next;
        }
    }

    /// When that version was acknowledged.
    pub(super) fn acknowledged_at(&self, version: u64) -> Option<Micros> {
        let at = self.acknowledged.binary_search_by_key(&version, |a| a.index).ok()?;
        Some(self.acknowledged[at].at)
    }

    /// Figures of its changes: how long from the acknowledgement to a sidecar's hearing, and to the last one's.
    pub(super) fn told_last(&self) -> impl Iterator<Item = Micros> {
        self.acknowledged.iter().filter(|a| a.last_told > 0).map(|a| a.last_told - a.at)
    }
}

/// A sidecar's watcher, where its list comes from a roster.
pub(super) struct Riding {
    watcher: RegistryWatcher,
    /// Marks the wake that is still meant.
    stamp: u32,
    wakes_at: Micros,
    began: bool,
}

impl Run {
    /// Founds the roster with the servers that are there, and starts their renewals.
    pub(super) fn start_roster(&mut self) {
        let Some(spec) = self.world.roster.clone() else { return };
        let mut roster = Roster::new(spec, self.world.zones.len(), self.world.seed);
        roster.list.apply(&Command::Bootstrap { epoch: 1000, backup: None });
        let first = (0..self.servers.len()).filter(|s| !self.servers[*s].spec.later);
        let servers: Vec<Registration> = first.map(|s| self.registration(s, &roster.spec)).collect();
        roster.list.apply(&Command::Register { servers, expect: None, at_ms: 0 });
        roster.leases.start_leading(0, roster.list.entries().values());
        self.starts.fill(0);
        self.roster = Some(Box::new(roster));
        for s in 0..self.servers.len() {
            let spread = (chance::unit(self.world.seed ^ (s as u64) << 13) * 2e6) as Micros;
            self.at_roster(spread, RosterEvent::Renew(s as u32));
        }
        self.at_roster(TICK, RosterEvent::Tick);
    }

    fn at_roster(&mut self, at: Micros, event: RosterEvent) {
        self.calendar.at(at, Happens::Roster(event));
    }

    fn registration(&self, server: usize, spec: &RosterSpec) -> Registration {
        let s = &self.servers[server];
        let entry = client::Entry {
            name: name_of(server),
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

    /// A server has a new state, of which the roster learns from itself or by its silence.
    pub(super) fn tell_roster(&mut self, now: Micros, server: usize, status: EndpointStatus) {
        let Some(roster) = &self.roster else { return };
        let name = name_of(server);
        let command = match status {
            EndpointStatus::Ready => {
                let server = self.registration(server, &roster.spec);
                Command::Register { servers: vec![server], expect: None, at_ms: 0 }
            }
            EndpointStatus::Draining => Command::Drain { name, expect: None, at_ms: 0 },
            EndpointStatus::Removed => Command::Remove { name, expect: None, at_ms: 0 },
        };
        self.write_to_roster(now, command, now);
    }

    fn write_to_roster(&mut self, now: Micros, command: Command, since: Micros) {
        let Some(roster) = &mut self.roster else { return };
        roster.writes.push((command, since));
        let number = roster.writes.len() as u32 - 1;
        self.at_roster(now + 1000, RosterEvent::Write(number));
    }

    fn renew(&mut self, now: Micros, server: u32) {
        let s = &self.servers[server as usize];
        let alive = s.machine == Machine::Up;
        let Some(roster) = &mut self.roster else { return };
        if alive && roster.leads(now) && !roster.leads_anew {
            let listed = s.started.is_none_or(|at| now > at + 2 * SECOND);
            let lost = roster.leases.renew(now, &name_of(server as usize)) == Renewal::Unknown;
            if lost && listed && s.draining.is_none() {
                self.tell_roster(now, server as usize, EndpointStatus::Ready);
            }
        }
        if now < self.world.length {
            self.at_roster(now + 2 * SECOND, RosterEvent::Renew(server));
        }
    }

    // ---- The service ----

    pub(super) fn roster_event(&mut self, now: Micros, event: RosterEvent) {
        match event {
            RosterEvent::Asked(ask) => self.asked(now, ask),
            RosterEvent::WatchOver(ask) => {
                let Some(roster) = &mut self.roster else { return };
                let a = &roster.asks[ask as usize];
                let replica = a.replica;
                if a.waits && roster.well(replica) {
                    roster.replicas[replica].waiting.retain(|w| *w != ask);
                    self.answer_ask(now, ask);
                }
            }
            RosterEvent::Replied(ask) => {
                let Some(roster) = &mut self.roster else { return };
                let a = &mut roster.asks[ask as usize];
                let (process, number) = (a.process, a.number);
                let event = match std::mem::replace(&mut a.reply, Err(None)) {
                    Ok(update) => client::Event::Response { poll: number, update: *update },
                    Err(retry_after) => client::Event::PollFailed {
                        poll: number,
                        retry_after,
                        error: poll_error(retry_after),
                    },
                };
                self.ride(now, process, event);
            }
            RosterEvent::Wake(process, stamp) => {
                let meant =
                    self.processes[process as usize].riding.as_ref().is_some_and(|r| r.stamp == stamp);
                if meant {
                    self.ride(now, process, client::Event::Timer);
                }
            }
            RosterEvent::Write(write) => {
                let Some(roster) = &mut self.roster else { return };
                if roster.leads(now) {
                    let after = crate::millis(roster.spec.commit_ms.draw(&mut roster.rng)).max(1);
                    self.at_roster(now + after, RosterEvent::Committed(write));
                } else {
                    let after = (AGAIN as f64 * (0.5 + roster.rng.random::<f64>())) as Micros;
                    self.at_roster(now + after, RosterEvent::Write(write));
                }
            }
            RosterEvent::Committed(write) => self.committed(now, write),
            RosterEvent::Published(replica) => {
                let Some(roster) = &mut self.roster else { return };
                if roster.well(replica as usize) {
                    for ask in std::mem::take(&mut roster.replicas[replica as usize].waiting) {
                        self.answer_ask(now, ask);
                    }
                }
            }
            RosterEvent::Renew(server) => self.renew(now, server),
            RosterEvent::Tick => self.lease_tick(now),
        }
    }

    fn lease_tick(&mut self, now: Micros) {
        if now < self.world.length {
            self.at_roster(now + TICK, RosterEvent::Tick);
        }
        let Some(roster) = &mut self.roster else { return };
        if !roster.leads(now) {
            return;
        }
        if std::mem::take(&mut roster.leads_anew) {
            roster.leases.start_leading(now, roster.list.entries().values());
        }
        let due = roster.leases.take_expired(now, roster.list.active());
        if !due.is_empty() {
            let fell_silent = now - Micros::try_from(roster.spec.lease_ms * 1000).unwrap_or(0);
            self.write_to_roster(now, Command::Expire { leases: due, at_ms: 0 }, fell_silent);
        }
    }

    fn committed(&mut self, now: Micros, write: u32) {
        let Some(roster) = &mut self.roster else { return };
        let (command, since) = &roster.writes[write as usize];
        let (before, since) = (roster.list.version().index, *since);
        let Written::Applied { version, changed: true } = roster.list.apply(command) else { return };
        let (changed, left) = roster.list.changed_after(before);
        changed.for_each(|kept| roster.leases.update(now, kept));
        left.for_each(|name| roster.leases.remove(name));
        roster.acknowledged.push(Acknowledged { index: version.index, at: now, since, last_told: 0 });
        if let Command::Register { servers, .. } = command {
            for server in servers.iter().filter_map(|s| number_of(&s.entry.name)) {
                self.starts[server] = version.index as usize;
            }
        }
        let (leader, replicas) = (roster.leader, roster.replicas.len());
        let zone = roster.replicas[leader].zone;
        for replica in 0..replicas {
            let to = self.roster.as_ref().map_or(0, |r| r.replicas[replica].zone);
            // A follower hears that it is committed with the next heartbeat or entry.
            let after = if replica == leader { 1 } else { self.world.links.time(zone, to, 1.0) };
            self.at_roster(now + after, RosterEvent::Published(replica as u32));
        }
    }

    fn asked(&mut self, now: Micros, ask: u32) {
        let Some(roster) = &mut self.roster else { return };
        let (replica, after) = (roster.asks[ask as usize].replica, roster.asks[ask as usize].after);
        if roster.replicas[replica].held {
            return;
        }
        roster.asks[ask as usize].arrived = now;
        if !roster.replicas[replica].up {
            return self.send_reply(now, ask, Err(None));
        }
        let version = roster.list.version();
        let whole = roster.list.update(after.map(|a| a.index)).snapshot;
        if whole {
            if let AdmissionDecision::RetryAfter(wait) = roster.replicas[replica].admission.admit(now) {
                self.gauge.throttled_polls += 1;
                return self.send_reply(now, ask, Err(Some(wait)));
            }
        } else if after == Some(version) && roster.asks[ask as usize].wait > 0 {
            roster.asks[ask as usize].waits = true;
            roster.replicas[replica].waiting.push(ask);
            let over = now + roster.asks[ask as usize].wait;
            return self.at_roster(over, RosterEvent::WatchOver(ask));
        }
        self.answer_ask(now, ask);
    }

    fn answer_ask(&mut self, now: Micros, ask: u32) {
        let Some(roster) = &mut self.roster else { return };
        let a = &mut roster.asks[ask as usize];
        a.waits = false;
        let mut update = roster.list.update(a.after.map(|v| v.index));
        update.waited_ms = ((now - a.arrived) / 1000) as u64;
        // Without a leader a replica's list grows older.
        let lost = if now < roster.leaderless_until { now - (roster.leaderless_until - SECOND) } else { 0 };
        update.age_ms = 250 + (lost.max(0) / 1000) as u64;
        self.send_reply(now, ask, Ok(Box::new(update)));
    }

    /// Answers are made one after the other.
    fn send_reply(&mut self, now: Micros, ask: u32, reply: Result<Box<ListUpdate>, Option<Micros>>) {
        let Some(roster) = &mut self.roster else { return };
        let a = &mut roster.asks[ask as usize];
        let replica = &mut roster.replicas[a.replica];
        let lines = reply.as_ref().map_or(0, |u| u.endpoints.len());
        let cost = roster.spec.answer + (roster.spec.line * lines as f64) as Micros;
        replica.busy_until = replica.busy_until.max(now) + cost;
        let (from, made) = (replica.zone, replica.busy_until);
        a.reply = reply;
        let sidecar = self.processes[a.process as usize].sidecar as usize;
        let zone = self.world.sidecars[sidecar].zone;
        if self.world.links.open(from, zone) {
            let at = made + self.world.links.time(from, zone, 1.0);
            let at = self.round_up(at);
            self.at_roster(at, RosterEvent::Replied(ask));
        }
    }

    // ---- Faults ----

    /// A replica is gone, silently or not, or back; 0 is the one that leads.
    pub(super) fn roster_fault(&mut self, now: Micros, place: usize, silent: bool, begin: bool) {
        let Some(roster) = &mut self.roster else { return };
        let all = roster.replicas.len();
        let which = if begin { (roster.leader + place) % all } else { roster.struck.pop().unwrap_or(0) };
        let r = &mut roster.replicas[which];
        (r.up, r.held) = if begin { (silent, silent) } else { (true, false) };
        let waiting = std::mem::take(&mut r.waiting);
        if begin {
            roster.struck.push(which);
            if which == roster.leader {
                roster.lose_leader(now);
            }
            if !silent {
                // Their connections are reset.
                for ask in waiting {
                    self.send_reply(now, ask, Err(None));
                }
            }
        }
    }

    /// All of it is away, or back.
    pub(super) fn roster_away(&mut self, now: Micros, away: bool) {
        let Some(roster) = &mut self.roster else { return };
        let waiting: Vec<u32> =
            roster.replicas.iter_mut().flat_map(|r| std::mem::take(&mut r.waiting)).collect();
        roster.replicas.iter_mut().for_each(|r| r.up = !away);
        if away {
            roster.leaderless_until = Micros::MAX / 4;
        } else {
            roster.lose_leader(now);
        }
        for ask in waiting {
            self.send_reply(now, ask, Err(None));
        }
    }

    // ---- Sidecars ----

    /// A process begins to ride, with the list of its file; at the very first that is the list that all have.
    pub(super) fn start_riding(&mut self, now: Micros, process: u32, seed: u64) {
        let sidecar = self.processes[process as usize].sidecar as usize;
        let Some(roster) = &self.roster else { return };
        let known = match self.sidecars[sidecar].starts {
            1 => EndpointList::default().updated(&roster.list.update(None), None),
            _ => self.sidecars[sidecar].file.clone().filter(|_| roster.spec.file),
        };
        if self.sidecars[sidecar].starts == 1 {
            self.sidecars[sidecar].file = known.clone();
        }
        let watcher = RegistryWatcher::new(client::Settings::new(roster.replicas.len()), seed);
        let riding = Riding { watcher, stamp: 0, wakes_at: 0, began: false };
        self.processes[process as usize].riding = Some(Box::new(riding));
        // Without its file it has the list of its configuration, which is as old as that.
        if known.is_none() {
            let list = self.list_at(0);
            self.tell(now, process, Event::EndpointList(EndpointListUpdate::Cached(list)));
        }
        self.ride(now, process, client::Event::Start(known));
    }

    fn ride(&mut self, now: Micros, process: u32, event: client::Event) {
        let p = &mut self.processes[process as usize];
        if p.decider.is_none() {
            return;
        }
        let Some(riding) = &mut p.riding else { return };
        let mut actions = Vec::new();
        riding.watcher.handle(now, event, &mut actions);
        if let Some(at) = riding.watcher.next_timer()
            && (at != riding.wakes_at || now >= riding.wakes_at)
        {
            (riding.stamp, riding.wakes_at) = (riding.stamp + 1, at);
            let stamp = riding.stamp;
            let at = self.round_up(at.max(now + 1));
            self.at_roster(at, RosterEvent::Wake(process, stamp));
        }
        for action in actions {
            match action {
                client::Action::Poll { poll, replica, after, wait } => {
                    self.ask_roster(now, process, poll, replica, after, wait)
                }
                // The watcher ignores the response to a poll that it cancelled.
                client::Action::CancelPoll(_) => {}
                client::Action::Apply(applied) => self.apply_roster(now, process, applied),
                client::Action::Save => {
                    let p = &self.processes[process as usize];
                    let known = p.riding.as_ref().and_then(|r| r.watcher.list().cloned());
                    self.sidecars[p.sidecar as usize].file = known;
                }
                client::Action::Report(report) => {
                    self.gauge.withheld_lists += u64::from(matches!(report, client::Report::Withheld { .. }));
                }
            }
        }
    }

    fn ask_roster(
        &mut self,
        now: Micros,
        process: u32,
        number: u64,
        replica: usize,
        after: Option<Version>,
        wait: Micros,
    ) {
        let Some(roster) = &mut self.roster else { return };
        self.gauge.list_polls += 1;
        let reply = Err(None);
        roster.asks.push(Ask { process, number, replica, after, wait, arrived: now, waits: false, reply });
        let ask = roster.asks.len() as u32 - 1;
        let to = roster.replicas[replica].zone;
        let sidecar = self.processes[process as usize].sidecar as usize;
        let zone = self.world.sidecars[sidecar].zone;
        if self.world.links.open(zone, to) {
            let at = now + self.world.links.time(zone, to, 1.0);
            self.at_roster(at, RosterEvent::Asked(ask));
        }
    }

    fn apply_roster(&mut self, now: Micros, process: u32, applied: client::AppliedList) {
        let entry = |e: &client::Entry| {
            let status = match e.status {
                client::Status::Active => EndpointStatus::Ready,
                client::Status::Draining => EndpointStatus::Draining,
                client::Status::Removed => EndpointStatus::Removed,
            };
            let started = Some(e.started_ms * 1000).filter(|at| *at > 0);
            Some(self.listing(number_of(&e.name)?, Entry { status, started }))
        };
        let list: Vec<EndpointEntry> = applied.entries.iter().filter_map(entry).collect();
        let p = &mut self.processes[process as usize];
        let sidecar = p.sidecar as usize;
        let cached = p.riding.as_mut().is_some_and(|r| !std::mem::replace(&mut r.began, true));
        if !cached {
            let before = self.sidecars[sidecar].told as u64;
            self.gauge.lines += list.len() as u64;
            if let Some(roster) = &mut self.roster {
                let first = roster.acknowledged.partition_point(|a| a.index <= before);
                for a in &mut roster.acknowledged[first..] {
                    if a.index <= applied.version.index {
                        a.last_told = a.last_told.max(now);
                        self.gauge.told(now, now - a.since);
                        self.gauge.told_after(now - a.at);
                    }
                }
            }
        }
        let told = &mut self.sidecars[sidecar].told;
        *told = (*told).max(applied.version.index as usize);
        self.note_gone(now, process, &list);
        let update = match (cached, applied.full) {
            (true, _) => EndpointListUpdate::Cached(list),
            (false, true) => EndpointListUpdate::Full(list),
            (false, false) => EndpointListUpdate::Delta(list),
        };
        self.tell(now, process, Event::EndpointList(update));
    }
}

/// What a driver on sockets would see: a refusal names a time, a broken connection doesn't.
fn poll_error(retry_after: Option<Micros>) -> client::PollError {
    match retry_after {
        Some(_) => client::PollError::Status(SERVICE_UNAVAILABLE),
        None => client::PollError::connection(std::io::Error::from(std::io::ErrorKind::ConnectionReset)),
    }
}

fn name_of(server: usize) -> String {
    format!("s{server}")
}

fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix('s')?.parse().ok()
}
