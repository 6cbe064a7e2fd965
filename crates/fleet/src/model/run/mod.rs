//! One run: the loop that plays a world under a policy.

mod attempts;
mod clients;
mod faults;
mod list;
mod roster;
mod sidecars;

use super::calendar::{Calendar, round_at};
use super::decider::{AdapterError, Decider, Policy, Sight, Source, Spent};
use super::discovery::{Change, Discovery, Entry};
use super::measure::{End, Figures, Gauge, Worth};
use super::rules::{self, Broken, SendCheck, Sent};
use super::server::{Arrival, Arriving, Machine, Server};
use super::world::{Happening, World};
use crate::chance::{self, stream};
use crate::{Micros, SECOND};
use lotusmoor_balancer::{
    Action, AttemptEnd, EndpointEntry, EndpointListUpdate, EndpointStatus, Event, Idempotency, LoadReport,
    NewRequest, Outcome, RequestId, Settings, SettingsError,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeSet;

/// What discovery has to tell counts as told this long after discovery had it and could be reached.
const TOLD_WITHIN: Micros = 6 * SECOND;
/// After it is told to stop a sidecar stays at least this long, as new connections keep coming.
const LINGER: Micros = 400_000;

/// Why a world can't be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The module can't decide under the site's settings.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The program that is to decide can't be started.
    #[error("{0}")]
    Adapter(#[from] AdapterError),
}

/// A run that has not begun.
pub struct Run {
    world: World,
    source: Source,
    settings: Vec<Settings>,
    effects: Vec<Idempotency>,
    calendar: Calendar<Happens>,
    servers: Vec<Server>,
    sidecars: Vec<Sidecar>,
    processes: Vec<Process>,
    requests: Vec<Request>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    discovery: Discovery,
    /// The roster, where the world has one.
    roster: Option<Box<roster::Roster>>,
    /// Servers that operators have taken out.
    cordoned: BTreeSet<usize>,
    /// The version that tells of each server's last start.
    starts: Vec<usize>,
    /// The version that first told that a server drains or is gone, where that is the last that is known of it.
    leaving: Vec<Option<usize>>,
    traffic: (f64, Vec<f64>),
    resets: f64,
    spoilt: f64,
    late_connects: (f64, Micros),
    /// How many times as often clients try, and the share more that leaves early.
    eager: (f64, f64),
    /// What each tenant has asked for in a second.
    quotas: Vec<(Micros, f64)>,
    gauge: Gauge,
    broken: Broken,
    lists: ChaCha8Rng,
    actions: Vec<Action>,
}

/// What can happen. Numbers are places in the tables of the run.
enum Happens {
    /// A client of that sidecar asks something new.
    Ask(u32),
    /// A client sends its request, for the first time or again.
    Send(u32),
    /// A try has come to its sidecar's process.
    Arrives(u32),
    /// A client gives up a try.
    GivesUp(u32),
    /// The time for a final answer, slack and all, is over.
    Overdue(u32),
    /// An answer has come to its client.
    Answer(u32, Answer),
    /// A new connection has come up, and the request goes out on it, on its way for so long.
    Connected(u32, Micros),
    /// An attempt has come to its server.
    AtServer(u32),
    /// A server is told that an attempt is given up.
    Cancel(u32),
    /// A server may be done with something; the stamp tells whether that still holds.
    Done(u32, u32),
    /// A message has come to a sidecar, whose processor gets to it in its turn.
    Comes(u32, Message),
    /// A message that is no request is sent to a sidecar.
    Bad(u32),
    /// The first byte of a streamed answer has come to its sidecar.
    Started(u32),
    /// A server's stream ends so.
    Streamed(u32, Outcome),
    /// An attempt's end has come to its sidecar.
    Outcome(u32, Outcome),
    /// A probe that a process sent at that instant has ended.
    Probed(u32, u32, Micros, Outcome),
    /// A sidecar stops waiting for an attempt.
    TimeOut(u32),
    /// A timer of a process goes off.
    Timer(u32, u64),
    /// A server's own pause begins, or ends.
    Pause(u32, bool),
    /// The plan's next.
    Planned(u32),
    /// A change that discovery learns of.
    Learns(Change),
    /// Discovery's round.
    Round,
    /// What discovery has published comes to a sidecar.
    Told(u32),
    /// A process calls discovery, and that call is answered or has failed.
    Call(u32),
    Called(u32, bool),
    /// A process that was told to stop ends, if all is answered; it starts again so long after.
    Leaves(u32, Micros),
    /// A sidecar's next process starts.
    Starts(u32),
    /// Something about the roster.
    Roster(roster::RosterEvent),
    /// Idle connections are looked through.
    Sweep,
}

#[derive(Clone, Copy)]
enum Answer {
    Served,
    Refused(Micros),
    Failed,
    /// There was nobody to take it.
    Unreached,
}

/// A sidecar's place: what stays over restarts of its process.
struct Sidecar {
    rng: ChaCha8Rng,
    process: Option<u32>,
    /// The newest version that it was told.
    told: usize,
    starts: u64,
    /// The list that its file has, where it rides a roster.
    file: Option<lotusmoor_registry_client::EndpointList>,
    processor: Processor,
    /// A message that is no request comes so often; 0 for never.
    bad: Micros,
}

/// A sidecar's share of a core, which takes one message at a time.
#[derive(Default)]
struct Processor {
    busy_until: Micros,
    /// Its use in a second.
    second: Micros,
    used: f64,
}

/// What a sidecar's processor has to look at.
#[derive(Clone, Copy)]
enum Message {
    Try(u32),
    Started(u32),
    Outcome(u32, Outcome),
    /// Something that is no request.
    Bad,
}

struct Process {
    sidecar: u32,
    decider: Option<Box<dyn Decider>>,
    /// Its way with the roster.
    riding: Option<Box<roster::Riding>>,
    /// It takes nothing new.
    stopping: bool,
    watching: bool,
    open: FxHashSet<u32>,
    /// Idle connections by server: since when, and to which of its starts.
    idle: FxHashMap<u32, Vec<(Micros, u32)>>,
    /// Servers that it was told drain or are gone, and when.
    gone: FxHashMap<u32, Micros>,
    /// Servers that operators took out, and when it was told.
    cordoned: FxHashMap<u32, Micros>,
}

struct Request {
    class: u8,
    sidecar: u32,
    work: f32,
    key: u32,
    first: Micros,
    tries: u8,
    retries: u8,
    honours: bool,
    impatient: bool,
    worth: Worth,
    tenant: Option<u8>,
    /// The first attempt of it that may have run.
    ran: Option<Micros>,
    last: Option<End>,
    over: bool,
}

struct Try {
    request: u32,
    process: u32,
    due: Micros,
    attempts: Vec<u32>,
    /// It has its final answer, or its client has left.
    over: bool,
    client_gone: bool,
    /// The first byte of a streamed answer came: no time runs any more.
    started: Option<Micros>,
}

struct Attempt {
    of: u32,
    number: u32,
    server: u32,
    incarnation: u32,
    sent: Micros,
    due: Micros,
    work: f32,
    open: bool,
    reused: bool,
    /// It holds one of its server's connections.
    connected: bool,
    may_have_run: bool,
    /// It streams its answer.
    started: bool,
}

impl Run {
    /// Sets a world up under a policy.
    pub fn new(world: World, policy: Policy) -> Result<Self, RunError> {
        let mut settings = Vec::with_capacity(world.sidecars.len());
        for i in 0..world.sidecars.len() {
            let text = world.settings_for(i).to_string();
            let decoded = lotusmoor_balancer::settings::decode(&text);
            let decoded =
                decoded.map_err(|_| SettingsError::Undecodable("not in the form that sidecars read"))?;
            settings.push(decoded.settings);
        }
        let classes = world.classes.iter().map(|c| c.name.clone()).collect();
        let gauge = Gauge::new(classes, world.tenants.len());
        let zones = world.zones.len();
        let sidecar = |i: usize| Sidecar {
            rng: stream(world.seed, "arrivals", i as u64),
            process: None,
            told: 0,
            starts: 0,
            file: None,
            processor: Processor::default(),
            bad: 0,
        };
        Ok(Self {
            effects: settings[0].classes.iter().map(|c| c.idempotency).collect(),
            settings,
            calendar: Calendar::default(),
            servers: world.servers.iter().cloned().map(Server::new).collect(),
            sidecars: (0..world.sidecars.len()).map(sidecar).collect(),
            processes: Vec::new(),
            requests: Vec::new(),
            tries: Vec::new(),
            attempts: Vec::new(),
            discovery: Discovery::default(),
            roster: None,
            cordoned: BTreeSet::new(),
            starts: vec![0; world.servers.len()],
            leaving: vec![None; world.servers.len()],
            traffic: (1.0, vec![1.0; zones]),
            resets: 0.0,
            spoilt: 0.0,
            late_connects: (0.0, 0),
            eager: (1.0, 0.0),
            quotas: vec![(0, 0.0); world.tenants.len()],
            gauge,
            broken: Broken::default(),
            lists: stream(world.seed, "lists", 0),
            actions: Vec::new(),
            source: policy.open()?,
            world,
        })
    }

    /// From now on the time that decisions take is measured, on the machine's clock; the run goes as it would.
    pub fn time_decisions(&mut self) -> Spent {
        let spent = Spent::default();
        let source = std::mem::replace(&mut self.source, Source::Own(Policy::Module));
        self.source = Source::Timed(Box::new(source), spent.clone());
        spent
    }

    /// Plays it to the end: until nobody asks any more and all is answered.
    pub fn execute(mut self) -> Result<Figures, RunError> {
        self.start_roster();
        for i in 0..self.sidecars.len() as u32 {
            self.start_process(0, i, true)?;
            self.next_ask(0, i);
        }
        for (i, server) in self.world.servers.iter().enumerate().filter(|(_, s)| s.pause_every > 0) {
            let first =
                (chance::unit(self.world.seed ^ (i as u64) << 20) * server.pause_every as f64) as Micros;
            self.calendar.at(first, Happens::Pause(i as u32, true));
        }
        for (i, planned) in self.world.plan.iter().enumerate() {
            self.calendar.at(planned.at, Happens::Planned(i as u32));
        }
        self.calendar.at(self.world.discovery.period, Happens::Round);
        self.calendar.at(SECOND, Happens::Sweep);
        // Past this every client has its answer or has given up: whatever still turns is a loop.
        let longest = self.world.classes.iter().map(|c| c.deadline).max().unwrap_or(SECOND);
        let end = self.world.length + 2 * longest + SECOND;
        while let Some((now, event)) = self.calendar.next() {
            if now > end {
                break;
            }
            self.happens(now, event)?;
        }
        let done = self.servers.iter().map(|s| s.done).sum();
        if let Some(roster) = &self.roster {
            self.gauge.told_last = roster.told_last().collect();
        }
        let world = &self.world;
        let mut figures =
            self.gauge.figures(world.length, world.goal, world.prices, self.servers.len(), done);
        figures.violations = self.broken.0.into_iter().map(|(rule, n)| (rule.to_owned(), n)).collect();
        (figures.events, figures.digest) = (self.calendar.taken(), self.calendar.digest());
        Ok(figures)
    }

    fn happens(&mut self, now: Micros, event: Happens) -> Result<(), SettingsError> {
        match event {
            Happens::Ask(sidecar) => self.ask(now, sidecar),
            Happens::Send(request) => self.send(now, request),
            Happens::Arrives(id) => self.arrives(now, id),
            Happens::GivesUp(id) => self.gives_up(now, id),
            Happens::Overdue(id) => self.overdue(now, id),
            Happens::Answer(id, answer) => self.answered(now, id, answer),
            Happens::Connected(id, path) => self.connected(now, id, path),
            Happens::AtServer(id) => self.at_server(now, id),
            Happens::Cancel(id) => {
                let a = &self.attempts[id as usize];
                if self.servers[a.server as usize].incarnation == a.incarnation {
                    let server = a.server;
                    self.servers[server as usize].cancel(now, id);
                    self.look_again(now, server);
                }
            }
            Happens::Done(server, stamp) if self.servers[server as usize].stamp == stamp => {
                self.done(now, server)
            }
            Happens::Done(..) => {}
            Happens::Comes(sidecar, message) => {
                let after = self.processed(now, sidecar);
                self.handled(now + after, message);
            }
            Happens::Bad(sidecar) => {
                let every = self.sidecars[sidecar as usize].bad;
                if every > 0 && now < self.world.length {
                    self.comes(now, sidecar, Message::Bad);
                    self.calendar.at(now + every, Happens::Bad(sidecar));
                }
            }
            Happens::Started(id) => self.stream_started(now, id),
            Happens::Streamed(id, how) => self.streamed(now, id, how),
            Happens::Outcome(id, how) => self.outcome(now, id, how),
            Happens::Probed(process, server, sent, outcome) => {
                if !matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected) {
                    let s = &mut self.servers[server as usize];
                    s.probes = s.probes.saturating_sub(1);
                }
                let (endpoint, took, load) = (server as usize, now - sent, self.load(now, server));
                let load = if outcome == Outcome::Ok { load } else { LoadReport::default() };
                self.tell(
                    now,
                    process,
                    Event::HealthCheckEnded { endpoint, outcome, duration: took, load_report: load },
                );
            }
            Happens::TimeOut(id) => self.time_out(now, id),
            Happens::Timer(process, token) => self.tell(now, process, Event::Timer(token)),
            Happens::Pause(server, begin) => self.pause(now, server, begin),
            Happens::Planned(i) => {
                let what = self.world.plan[i as usize].what.clone();
                self.planned(now, what)?;
            }
            Happens::Learns(change) => {
                let version = self.discovery.learn(change);
                if change.entry.started == self.servers[change.server].started
                    && change.entry.status == EndpointStatus::Ready
                {
                    self.starts[change.server] = version;
                }
                let leaving = &mut self.leaving[change.server];
                if change.entry.status == EndpointStatus::Ready {
                    *leaving = None;
                } else {
                    leaving.get_or_insert(version);
                }
            }
            Happens::Round => self.round(now),
            Happens::Told(sidecar) => self.told(now, sidecar),
            Happens::Call(process) => self.call(now, process),
            Happens::Called(process, fine) => self.called(now, process, fine),
            Happens::Leaves(process, away) => self.leaves(now, process, away),
            Happens::Starts(sidecar) if self.sidecars[sidecar as usize].process.is_none() => {
                self.start_process(now, sidecar, false)?
            }
            Happens::Starts(_) => {}
            Happens::Roster(event) => self.roster_event(now, event),
            Happens::Sweep => self.sweep(now),
        }
        Ok(())
    }
}

/// A connection that breaks under an attempt.
fn reset(reused: bool) -> Outcome {
    if reused { Outcome::ReusedConnectionReset } else { Outcome::Reset }
}
