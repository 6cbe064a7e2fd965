//! One run: the loop that plays a world under a policy.

use super::calendar::{Calendar, round_at};
use super::decider::{AdapterError, Decider, Policy, Sight, Source, Spent};
use super::discovery::{Change, Discovery, Entry};
use super::measure::{End, Figures, Gauge};
use super::rules::{self, Broken, SendCheck, Sent};
use super::server::{Arrival, Arriving, Fall, Machine, Server};
use super::world::{Happening, World};
use crate::chance::{self, stream};
use crate::{Micros, SECOND};
use linenproxy::{
    Action, AttemptEnd, Effect, Event, ListUpdate, Listing, Load, NewRequest, Outcome, RequestId, Settings,
    SettingsError, Status,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeSet;

/// What discovery has to tell counts as told this long after it could be.
const TOLD_WITHIN: Micros = 6 * SECOND;
/// A cold server that falls over breaks a rule where this share of what it was sent came from those who knew.
const KNEW: f64 = 2.0 / 3.0;
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
    effects: Vec<Effect>,
    calendar: Calendar<Happens>,
    servers: Vec<Server>,
    sidecars: Vec<Sidecar>,
    processes: Vec<Process>,
    requests: Vec<Request>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    discovery: Discovery,
    /// Servers that operators have taken out.
    cordoned: BTreeSet<usize>,
    /// The version that tells of each server's last start.
    starts: Vec<usize>,
    traffic: (f64, Vec<f64>),
    resets: f64,
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
    /// An attempt has come to its server.
    AtServer(u32),
    /// A server is told that an attempt is given up.
    Cancel(u32),
    /// A server may be done with something; the stamp tells whether that still holds.
    Done(u32, u32),
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
}

struct Process {
    sidecar: u32,
    decider: Option<Box<dyn Decider>>,
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
}

impl Run {
    /// Sets a world up under a policy.
    pub fn new(world: World, policy: Policy) -> Result<Self, RunError> {
        let mut settings = Vec::with_capacity(world.sidecars.len());
        for i in 0..world.sidecars.len() {
            let text = world.settings_for(i).to_string();
            let decoded = linenproxy::settings::decode(&text);
            let decoded = decoded.map_err(|_| SettingsError("not in the form that sidecars read"))?;
            settings.push(decoded.settings);
        }
        let classes = world.classes.iter().map(|c| (c.name.clone(), c.worth, c.late_worth));
        let gauge = Gauge::new(classes);
        let zones = world.zones.len();
        let sidecar = |i: usize| Sidecar {
            rng: stream(world.seed, "arrivals", i as u64),
            process: None,
            told: 0,
            starts: 0,
        };
        Ok(Self {
            effects: settings[0].classes.iter().map(|c| c.effect).collect(),
            settings,
            calendar: Calendar::default(),
            servers: world.servers.iter().cloned().map(Server::new).collect(),
            sidecars: (0..world.sidecars.len()).map(sidecar).collect(),
            processes: Vec::new(),
            requests: Vec::new(),
            tries: Vec::new(),
            attempts: Vec::new(),
            discovery: Discovery::default(),
            cordoned: BTreeSet::new(),
            starts: vec![0; world.servers.len()],
            traffic: (1.0, vec![1.0; zones]),
            resets: 0.0,
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
    pub fn play(mut self) -> Result<Figures, RunError> {
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
        let mut figures = self.gauge.figures(self.world.length, self.world.goal, self.world.prices, done);
        figures.broken = self.broken.0.into_iter().map(|(rule, n)| (rule.to_owned(), n)).collect();
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
            Happens::Outcome(id, how) => self.outcome(now, id, how),
            Happens::Probed(process, server, sent, outcome) => {
                let (endpoint, took, load) = (server as usize, now - sent, self.load(now, server));
                let load = if outcome == Outcome::Ok { load } else { Load::default() };
                self.tell(now, process, Event::ProbeEnded { endpoint, outcome, took, load });
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
                    && change.entry.status == Status::Ready
                {
                    self.starts[change.server] = version;
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
            Happens::Sweep => self.sweep(now),
        }
        Ok(())
    }

    // ---- Clients ----

    fn next_ask(&mut self, now: Micros, sidecar: u32) {
        let spec = &self.world.sidecars[sidecar as usize];
        let (height, length) = self.world.wave;
        let wave = 1.0 + height * (std::f64::consts::TAU * now as f64 / length as f64).sin();
        let rate = spec.rate * self.traffic.0 * self.traffic.1[spec.zone] * wave / SECOND as f64;
        let unit: f64 = self.sidecars[sidecar as usize].rng.random();
        let at = now + (-(1.0 - unit).ln() / rate.max(1e-12)).min(1e12) as Micros + 1;
        if at < self.world.length {
            self.calendar.at(at, Happens::Ask(sidecar));
        }
    }

    fn ask(&mut self, now: Micros, sidecar: u32) {
        let world = &self.world;
        let rng = &mut self.sidecars[sidecar as usize].rng;
        let mut pick: f64 = rng.random();
        let class = world.classes.iter().position(|c| {
            pick -= c.share;
            pick < 0.0
        });
        let class = class.unwrap_or(world.classes.len() - 1);
        let spec = &world.classes[class];
        let spread = if spec.lognormal {
            chance::factor(rng.random(), spec.cv)
        } else {
            -(1.0 - rng.random::<f64>()).ln()
        };
        let popular = rng.random::<f64>() * world.keys.last().copied().unwrap_or(1.0);
        let key = world.keys.partition_point(|sum| *sum < popular) as u32;
        let clients = &world.clients;
        let more = u8::from(rng.random::<f64>() < clients.retries.fract());
        let request = Request {
            class: class as u8,
            sidecar,
            work: (spec.work * spread).max(1.0) as f32,
            key,
            first: now,
            tries: 0,
            retries: clients.retries as u8 + more,
            honours: rng.random::<f64>() < clients.honour,
            impatient: rng.random::<f64>() < clients.impatient,
            ran: None,
            last: None,
            over: false,
        };
        self.gauge.ask(now, class, f64::from(request.work));
        self.requests.push(request);
        self.send(now, self.requests.len() as u32 - 1);
        self.next_ask(now, sidecar);
    }

    fn send(&mut self, now: Micros, request: u32) {
        let r = &mut self.requests[request as usize];
        let class = &self.world.classes[usize::from(r.class)];
        r.tries += 1;
        self.gauge.at(now).tries += 1;
        let due = (now + (class.deadline as f64 * self.world.clients.try_share) as Micros)
            .min(r.first + class.deadline);
        let sidecar = r.sidecar as usize;
        let process = self.sidecars[sidecar].process.filter(|p| !self.processes[*p as usize].stopping);
        let id = self.tries.len() as u32;
        let path = self.world.links.client as Micros + 1;
        let leaves = r.impatient && r.tries == 1;
        self.tries.push(Try {
            request,
            process: process.unwrap_or(u32::MAX),
            due,
            attempts: Vec::new(),
            over: process.is_none(),
            client_gone: false,
        });
        if process.is_none() {
            return self.calendar.at(now + path, Happens::Answer(id, Answer::Unreached));
        }
        let at = self.round_up(now + path + self.world.sidecar_time);
        self.calendar.at(at, Happens::Arrives(id));
        let early = if leaves { chance::unit(self.world.seed ^ u64::from(id)) * 0.5 } else { 1.0 };
        self.calendar.at(now + ((due - now) as f64 * early) as Micros, Happens::GivesUp(id));
    }

    fn answered(&mut self, now: Micros, id: u32, answer: Answer) {
        let t = &mut self.tries[id as usize];
        if std::mem::replace(&mut t.client_gone, true) {
            return;
        }
        let request = t.request;
        let r = &self.requests[request as usize];
        let class = &self.world.classes[usize::from(r.class)];
        match answer {
            Answer::Served => {
                let end = if now - r.first <= class.aim { End::InTime } else { End::Late };
                self.finish(now, request, end);
            }
            Answer::Refused(hold_off) => self.try_again(now, request, End::Refused, hold_off, true),
            Answer::Unreached => self.try_again(now, request, End::Failed, 0, true),
            Answer::Failed => self.try_again(now, request, End::Failed, 0, false),
        }
    }

    fn gives_up(&mut self, now: Micros, id: u32) {
        let t = &mut self.tries[id as usize];
        if std::mem::replace(&mut t.client_gone, true) {
            return;
        }
        let (request, process, due, over) = (t.request, t.process, t.due, t.over);
        let slack = self.settings[self.requests[request as usize].sidecar as usize].rules.answer_slack;
        if now < due && !over {
            // It left early; what is open is called off.
            self.tries[id as usize].over = true;
            self.close(process, id);
            self.tell(now, process, Event::Abandoned(RequestId::from(id)));
            return self.finish(now, request, End::Failed);
        }
        if !over {
            self.calendar.at(now + slack, Happens::Overdue(id));
        }
        self.try_again(now, request, End::Failed, 0, false);
    }

    fn overdue(&mut self, now: Micros, id: u32) {
        let t = &mut self.tries[id as usize];
        if std::mem::replace(&mut t.over, true) {
            return;
        }
        let process = t.process;
        self.close(process, id);
        self.broken.note(Some("no final answer in time"));
        self.tell(now, process, Event::Abandoned(RequestId::from(id)));
    }

    /// A client tries again, if its class, its patience and its time allow.
    fn try_again(&mut self, now: Micros, request: u32, end: End, hold_off: Micros, harmless: bool) {
        let clients = &self.world.clients;
        let r = &mut self.requests[request as usize];
        let class = &self.world.classes[usize::from(r.class)];
        let fresh = r.ran.is_none_or(|at| now - at < class.repeat_for);
        let name = self.world.seed ^ (u64::from(request) << 8) ^ u64::from(r.tries);
        let grown =
            clients.backoff * if clients.doubling { f64::from(1u32 << (r.tries - 1).min(16)) } else { 1.0 };
        let wait = (grown * (0.5 + chance::unit(name))) as Micros;
        let wait = if r.honours { wait.max(hold_off.min(clients.max_hold_off)) } else { wait };
        let may = (harmless || fresh) && r.tries <= r.retries && now + wait < r.first + class.deadline;
        r.last = Some(end);
        if may {
            self.calendar.at(now + wait, Happens::Send(request));
        } else {
            self.finish(now, request, end);
        }
    }

    fn finish(&mut self, now: Micros, request: u32, end: End) {
        let r = &mut self.requests[request as usize];
        if !std::mem::replace(&mut r.over, true) {
            let aim = self.world.classes[usize::from(r.class)].aim;
            self.gauge.end(now, r.first, usize::from(r.class), aim, end);
        }
    }

    // ---- Sidecars ----

    /// Sidecars that work in rounds hear of things at the next one.
    fn round_up(&self, at: Micros) -> Micros {
        round_at(at, self.world.tick)
    }

    fn start_process(&mut self, now: Micros, sidecar: u32, first: bool) -> Result<(), SettingsError> {
        let place = &mut self.sidecars[sidecar as usize];
        place.starts += 1;
        let seed = chance::mix(self.world.seed ^ u64::from(sidecar) << 24 ^ place.starts << 56) >> 1;
        let id = self.processes.len() as u32;
        let (set, world) = (self.settings[sidecar as usize].clone(), &self.world);
        let object = || world.settings_for(sidecar as usize);
        let decider = self.source.start(u64::from(id), set, &object, seed)?;
        place.process = Some(id);
        let version = place.told;
        self.processes.push(Process {
            sidecar,
            decider: Some(decider),
            stopping: false,
            watching: first,
            open: FxHashSet::default(),
            idle: FxHashMap::default(),
            gone: FxHashMap::default(),
            cordoned: FxHashMap::default(),
        });
        let list = self.list_at(version);
        self.note_gone(now, id, &list);
        self.tell(now, id, Event::Endpoints(ListUpdate::Cached(list)));
        // What operators told outlives an upgrade.
        for server in self.cordoned.clone() {
            self.processes[id as usize].cordoned.insert(server as u32, now);
            self.tell(now, id, Event::Cordoned(server));
        }
        if !first {
            self.calendar.at(now + 1000, Happens::Call(id));
        }
        Ok(())
    }

    fn arrives(&mut self, now: Micros, id: u32) {
        let t = &mut self.tries[id as usize];
        if t.over {
            return;
        }
        // What was on its way to a process that has ended since comes to the one that has its socket, or is reset
        // and was never taken.
        if self.processes[t.process as usize].decider.is_none() {
            let sidecar = self.processes[t.process as usize].sidecar as usize;
            match self.sidecars[sidecar].process.filter(|p| !self.processes[*p as usize].stopping) {
                Some(process) => t.process = process,
                None => {
                    t.over = true;
                    return self.calendar.at(now + 1, Happens::Answer(id, Answer::Unreached));
                }
            }
        }
        let (process, due) = (t.process, t.due);
        let r = &self.requests[t.request as usize];
        let new = NewRequest {
            id: RequestId::from(id),
            class: usize::from(r.class),
            tenant: None,
            key: Some(u64::from(r.key)),
            due,
            work: self.world.hints.then(|| {
                let rough = chance::factor(self.world.seed ^ u64::from(t.request) << 16, 0.3);
                (f64::from(r.work) * rough) as Micros
            }),
            repeat: r.tries > 1,
            coming: false,
        };
        self.processes[process as usize].open.insert(id);
        self.tell(now, process, Event::Request(new));
    }

    fn close(&mut self, process: u32, id: u32) {
        let p = &mut self.processes[process as usize];
        p.open.remove(&id);
        // The old process of an upgrade ends once all it had is answered.
        if p.open.is_empty() && self.sidecars[p.sidecar as usize].process != Some(process) {
            self.end_process(process);
        }
    }

    /// Its connections end with it.
    fn end_process(&mut self, process: u32) {
        let p = &mut self.processes[process as usize];
        p.decider = None;
        for (server, idle) in std::mem::take(&mut p.idle) {
            let s = &mut self.servers[server as usize];
            let held = idle.iter().filter(|(_, i)| *i == s.incarnation).count();
            s.connections = s.connections.saturating_sub(held as u32);
        }
    }

    /// Hands an event to a process, and does what it asks for.
    fn tell(&mut self, now: Micros, process: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let p = &mut self.processes[process as usize];
        let Some(decider) = &mut p.decider else {
            self.actions = actions;
            return;
        };
        let (multiple, window) = self.world.fall;
        let sight = Sight {
            servers: &self.servers,
            links: &self.world.links,
            zone: self.world.sidecars[p.sidecar as usize].zone,
            fall: Fall { multiple, window },
        };
        decider.handle(now, event, &sight, &mut actions);
        for action in actions.drain(..) {
            self.act(now, process, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Micros, process: u32, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout } => {
                self.attempt(now, process, request as u32, endpoint, timeout)
            }
            Action::Refuse { request, hold_off } => {
                let id = request as u32;
                if !self.tries[id as usize].over {
                    let sent = self.sent(id);
                    let effect = self.effects
                        [usize::from(self.requests[self.tries[id as usize].request as usize].class)];
                    self.broken.note(rules::of_refusal(now, effect, &sent));
                    self.gauge.at(now).refusals += 1;
                    self.answer(now, process, id, Answer::Refused(hold_off));
                }
            }
            Action::Fail(request) if !self.tries[request as usize].over => {
                self.answer(now, process, request as u32, Answer::Failed)
            }
            Action::Cancel { request, attempt } => {
                let id = self.tries[request as usize].attempts.get(attempt as usize).copied();
                if let Some(id) = id.filter(|id| self.attempts[*id as usize].open) {
                    // It is given up now, and that is told at the next turn.
                    self.give_up(now, id);
                    self.calendar.at(self.round_up(now + 1), Happens::Outcome(id, Outcome::Cancelled));
                }
            }
            Action::SetTimer { after, token } => {
                let at = self.round_up(now + after.max(1));
                self.calendar.at(at, Happens::Timer(process, token));
            }
            Action::Subscribe(true) | Action::FetchList if self.world.discovery.on_request => {
                self.calendar.at(now + 1000, Happens::Call(process));
            }
            Action::CloseIdle(endpoint) => {
                let idle =
                    self.processes[process as usize].idle.remove(&(endpoint as u32)).unwrap_or_default();
                let s = &mut self.servers[endpoint];
                let held = idle.iter().filter(|(_, i)| *i == s.incarnation).count();
                s.connections = s.connections.saturating_sub(held as u32);
            }
            Action::Probe(endpoint) => self.probe(now, process, endpoint),
            // Messages to peers, which the site does not allow.
            _ => {}
        }
    }

    /// A probe's own work is so little that it is counted in its time alone.
    fn probe(&mut self, now: Micros, process: u32, server: usize) {
        self.gauge.probes += 1;
        let (work, deep, patience) = self.world.probe;
        let zone = self.world.sidecars[self.processes[process as usize].sidecar as usize].zone;
        let s = &self.servers[server];
        let (to, stretch) = (s.spec.zone, s.spec.stretch);
        let path = self.world.links.time(zone, to, stretch) + self.world.links.time(to, zone, stretch);
        let waits = if deep { s.backlog() / s.spec.cores } else { 0.0 };
        let core = (s.capacity(now) / s.spec.cores).max(1e-9);
        let took = path + ((waits + work) / core).min(1e12) as Micros;
        let (took, outcome) = match s.machine {
            Machine::Down => (path, Outcome::ConnectFailed),
            Machine::Up if took <= patience && self.world.links.both(zone, to) => (took, Outcome::Ok),
            _ => (patience, Outcome::TimedOut),
        };
        self.calendar.at(self.round_up(now + took), Happens::Probed(process, server as u32, now, outcome));
    }

    fn answer(&mut self, now: Micros, process: u32, id: u32, answer: Answer) {
        self.calendar.note(u64::from(id));
        self.tries[id as usize].over = true;
        self.close(process, id);
        let path = self.world.links.client as Micros + 1;
        self.calendar.at(now + path + self.world.sidecar_time, Happens::Answer(id, answer));
    }

    fn sent(&self, id: u32) -> Vec<Sent> {
        let of = |a: &u32| {
            let a = &self.attempts[*a as usize];
            let spec = &self.servers[a.server as usize].spec;
            Sent { zone: spec.zone, cell: spec.cell, at: a.sent, open: a.open, may_have_run: a.may_have_run }
        };
        self.tries[id as usize].attempts.iter().map(of).collect()
    }

    // ---- Attempts ----

    fn attempt(&mut self, now: Micros, process: u32, id: u32, server: usize, timeout: Micros) {
        let p = &mut self.processes[process as usize];
        let limits = &self.settings[p.sidecar as usize].limits;
        let (zone, to) = (self.world.sidecars[p.sidecar as usize].zone, self.servers[server].spec.zone);
        let (most, copies) = (limits.max_attempts, limits.may_duplicate);
        let [listed, cordoned] = [&p.gone, &p.cordoned].map(|told| told.get(&(server as u32)).copied());
        let told_gone = listed.into_iter().chain(cordoned).min();
        let t = &self.tries[id as usize];
        let r = &self.requests[t.request as usize];
        let earlier = self.sent(id);
        let spec = &self.servers[server].spec;
        let (cell, may_have_run) = (spec.cell, true);
        let check = SendCheck {
            effect: self.effects[usize::from(r.class)],
            earlier: &earlier,
            to: Sent { zone: to, cell, at: now, open: true, may_have_run },
            over: t.over,
            listed: !spec.later || self.servers[server].incarnation > 0,
            told_gone,
            grace: self.world.grace,
            most,
            copies,
        };
        let broken = rules::of_send(&check);
        self.broken.note(broken);
        if t.over || earlier.len() as u32 >= most {
            return;
        }
        let class = &self.world.classes[usize::from(r.class)];
        let name = self.world.seed ^ chance::mix(u64::from(id) << 8 | earlier.len() as u64);
        let work = f64::from((f64::from(r.work) * chance::factor(name, class.noise)) as f32);
        let number = self.attempts.len() as u32;
        let incarnation = self.servers[server].incarnation;
        let p = &mut self.processes[process as usize];
        let kept = p.idle.get_mut(&(server as u32)).and_then(Vec::pop);
        self.tries[id as usize].attempts.push(number);
        self.calendar.note(u64::from(number) << 32 | server as u64);
        let due = now + timeout.max(1);
        self.attempts.push(Attempt {
            of: id,
            number: earlier.len() as u32,
            server: server as u32,
            incarnation: kept.map_or(incarnation, |k| k.1),
            sent: now,
            due,
            work: work as f32,
            open: true,
            reused: kept.is_some(),
            connected: kept.is_some(),
            may_have_run,
        });
        let window = self.gauge.at(now);
        window.attempts += 1;
        window.crossed += u64::from(zone != to);
        self.calendar.at(self.round_up(due), Happens::TimeOut(number));
        let stretch = self.servers[server].spec.stretch;
        let path = self.world.links.time(zone, to, stretch) + self.world.sidecar_time;
        let s = &mut self.servers[server];
        if kept.is_some() {
            s.coming += work;
            return self.calendar.at(now + path, Happens::AtServer(number));
        }
        if s.machine == Machine::Silent || !self.world.links.both(zone, to) {
            let failed = self.round_up(now + self.world.dial_timeout);
            return self.calendar.at(failed, Happens::Outcome(number, Outcome::ConnectFailed));
        }
        if s.machine == Machine::Down || s.connections >= s.spec.connections {
            let refused = self.round_up(now + 2 * path);
            return self.calendar.at(refused, Happens::Outcome(number, Outcome::ConnectFailed));
        }
        s.connections += 1;
        s.coming += work;
        self.attempts[number as usize].connected = true;
        self.gauge.at(now).handshakes += 1;
        let shake = (self.world.handshake.0 * 2.0 * path as f64) as Micros;
        self.calendar.at(now + path + shake, Happens::AtServer(number));
    }

    fn zones_of(&self, a: &Attempt) -> (usize, usize) {
        let process = self.tries[a.of as usize].process as usize;
        let sidecar = self.processes[process].sidecar as usize;
        (self.world.sidecars[sidecar].zone, self.servers[a.server as usize].spec.zone)
    }

    /// Something goes back to the sidecar, unless the link is cut.
    fn reply(&mut self, now: Micros, id: u32, how: Outcome) {
        let a = &self.attempts[id as usize];
        let (zone, from) = self.zones_of(a);
        let stretch = self.servers[a.server as usize].spec.stretch;
        if self.world.links.open(from, zone) {
            let at = now + self.world.links.time(from, zone, stretch) + self.world.sidecar_time;
            self.calendar.at(self.round_up(at), Happens::Outcome(id, how));
        }
    }

    fn at_server(&mut self, now: Micros, id: u32) {
        let a = &self.attempts[id as usize];
        let (zone, to) = self.zones_of(a);
        let (of, server, work, due, reused) = (a.of, a.server, f64::from(a.work), a.due, a.reused);
        let current = a.incarnation == self.servers[server as usize].incarnation;
        self.servers[server as usize].coming -= work;
        if !self.world.links.open(zone, to) {
            return;
        }
        let s = &mut self.servers[server as usize];
        match s.machine {
            Machine::Silent => return,
            // What was written to a process that is no more is reset.
            Machine::Down => return self.reply(now, id, reset(reused)),
            Machine::Up if !current => return self.reply(now, id, reset(reused)),
            Machine::Up => {}
        }
        let t = &self.tries[of as usize];
        if s.turns_away == Some(self.requests[t.request as usize].class) {
            return self.reply(now, id, Outcome::Rejected);
        }
        let key = u64::from(self.requests[t.request as usize].key);
        let sidecar = self.processes[t.process as usize].sidecar as usize;
        let gain = if s.spec.keys > 0 && s.knows(now, key) { self.world.key_gain } else { 0.0 };
        let shake = if reused { 0.0 } else { self.world.handshake.1 };
        let work = work * (1.0 - gain) + shake;
        let (multiple, window) = self.world.fall;
        // What discovery has to tell counts as told after so long, whether it came or not.
        let started = s.started;
        let told = self.sidecars[sidecar].told >= self.starts[server as usize];
        let informed = told || started.is_some_and(|at| now > at + TOLD_WITHIN);
        let new = Arriving { attempt: id, work, due, informed };
        match self.servers[server as usize].arrive(now, new, Fall { multiple, window }, self.world.grace) {
            Arrival::Taken => self.look_again(now, server),
            Arrival::TurnedAway => self.reply(now, id, Outcome::Rejected),
            Arrival::Tipped(informed) => {
                self.gauge.tipped += 1;
                let s = &self.servers[server as usize];
                tracing::debug!(
                    "{:.3} s: server {server} (kind {}, speed {:.2}) falls over, {:.2} warm, {:.0}% by those who knew",
                    now as f64 / SECOND as f64,
                    s.spec.kind,
                    s.spec.speed,
                    s.warmth(now),
                    100.0 * informed
                );
                self.broken.note((informed >= KNEW).then_some("a cold server pushed over"));
                self.end_server(now, server as usize);
                self.reply(now, id, reset(reused));
            }
        }
    }

    /// A server's next completion, as things stand now.
    fn look_again(&mut self, now: Micros, server: u32) {
        let s = &mut self.servers[server as usize];
        s.stamp += 1;
        if let Some(at) = s.next_done(now) {
            self.calendar.at(at, Happens::Done(server, s.stamp));
        }
    }

    fn done(&mut self, now: Micros, server: u32) {
        let mut done = Vec::new();
        self.servers[server as usize].finish(now, &mut done);
        for id in done {
            let name = chance::mix(self.world.seed ^ 0xe770 ^ u64::from(id));
            let s = &self.servers[server as usize];
            if s.machine == Machine::Silent {
                continue;
            }
            let how = if chance::unit(name) < s.errors {
                Outcome::Error
            } else if chance::unit(!name) < self.resets {
                reset(self.attempts[id as usize].reused)
            } else {
                Outcome::Ok
            };
            self.reply(now, id, how);
        }
        self.look_again(now, server);
    }

    fn outcome(&mut self, now: Micros, id: u32, how: Outcome) {
        let a = &mut self.attempts[id as usize];
        if !std::mem::replace(&mut a.open, false) {
            return;
        }
        a.may_have_run = !how.never_ran();
        let (of, server, incarnation, took, number) = (a.of, a.server, a.incarnation, now - a.sent, a.number);
        let work = f64::from(a.work);
        let t = &self.tries[of as usize];
        let (process, request, over) = (t.process, t.request, t.over);
        let kept = matches!(how, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let p = &mut self.processes[process as usize];
        if kept && p.decider.is_some() && std::mem::take(&mut self.attempts[id as usize].connected) {
            p.idle.entry(server).or_default().push((now, incarnation));
        }
        self.drop_connection(id);
        if self.attempts[id as usize].may_have_run {
            let sent = self.attempts[id as usize].sent;
            self.requests[request as usize].ran.get_or_insert(sent);
        }
        // The first answer goes to the client by itself.
        if how == Outcome::Ok && !over {
            self.gauge.work.1 += work;
            self.answer(now, process, of, Answer::Served);
        }
        let load = self.load(now, server);
        let end = AttemptEnd {
            request: RequestId::from(of),
            attempt: number,
            endpoint: server as usize,
            outcome: how,
            took,
            settled: over || how == Outcome::Ok,
            spent: false,
            load: if how == Outcome::Ok { load } else { Load::default() },
        };
        self.tell(now, process, Event::AttemptEnded(end));
    }

    fn load(&mut self, now: Micros, server: u32) -> Load {
        let Some((period, noise)) = self.world.report else { return Load::default() };
        let s = &mut self.servers[server as usize];
        if now - s.report.1 >= period {
            let read =
                s.queued() as f64 * chance::factor(self.world.seed ^ now as u64 ^ u64::from(server), noise);
            s.report = (read, now);
        }
        Load { waiting: Some(s.report.0), ..Load::default() }
    }

    /// An attempt's connection ends, if it has one.
    fn drop_connection(&mut self, id: u32) {
        let a = &mut self.attempts[id as usize];
        let s = &mut self.servers[a.server as usize];
        let lives = s.incarnation == a.incarnation && s.machine != Machine::Down;
        if std::mem::take(&mut a.connected) && lives {
            s.connections = s.connections.saturating_sub(1);
        }
    }

    /// A sidecar closes an attempt's connection, of which the server hears.
    fn give_up(&mut self, now: Micros, id: u32) {
        self.drop_connection(id);
        let (zone, to) = self.zones_of(&self.attempts[id as usize]);
        if self.world.links.open(zone, to) {
            let at = now + self.world.links.time(zone, to, 1.0);
            self.calendar.at(at, Happens::Cancel(id));
        }
    }

    fn time_out(&mut self, now: Micros, id: u32) {
        if self.attempts[id as usize].open {
            self.give_up(now, id);
            self.outcome(now, id, Outcome::TimedOut);
        }
    }

    // ---- Faults ----

    fn pause(&mut self, now: Micros, server: u32, begin: bool) {
        let s = &mut self.servers[server as usize];
        s.pause(now, begin);
        let name = chance::mix(self.world.seed ^ now as u64 ^ u64::from(server) << 40);
        let at = if begin {
            now + (s.spec.pause as f64 * (1.0 + s.spec.pause_grow * s.use_now())) as Micros
        } else {
            now + (s.spec.pause_every as f64 * (0.5 + chance::unit(name))) as Micros
        };
        if now < self.world.length {
            self.calendar.at(at, Happens::Pause(server, !begin));
        }
        self.look_again(now, server);
    }

    fn end_server(&mut self, now: Micros, server: usize) {
        let lost = self.servers[server].lose_all(now);
        self.servers[server].machine = Machine::Down;
        for id in lost {
            let reused = self.attempts[id as usize].reused;
            self.reply(now, id, reset(reused));
        }
        // What was kept open is closed, and the sidecars see that.
        for process in &mut self.processes {
            process.idle.remove(&(server as u32));
        }
    }

    /// Discovery learns of a server's state after a while.
    fn learns(&mut self, now: Micros, server: usize, status: Status, after: crate::site::Range) {
        let entry = Entry { status, started: self.servers[server].started };
        let at = now + crate::seconds(after.draw(&mut self.lists));
        self.calendar.at(at, Happens::Learns(Change { server, entry, since: now }));
    }

    fn planned(&mut self, now: Micros, what: Happening) -> Result<(), SettingsError> {
        let d = self.world.discovery.clone();
        match what {
            Happening::Drain(s) if self.servers[s].machine == Machine::Up => {
                self.servers[s].draining = Some(now);
                self.learns(now, s, Status::Draining, d.notice);
            }
            Happening::End(s) if self.servers[s].machine != Machine::Down => {
                self.end_server(now, s);
                self.learns(now, s, Status::Gone, d.notice);
            }
            Happening::Start(s) if !self.servers[s].tipped => {
                if self.servers[s].machine == Machine::Silent {
                    self.servers[s].lose_all(now);
                }
                self.servers[s].start(now);
                self.starts[s] = usize::MAX;
                self.learns(now, s, Status::Ready, d.add);
            }
            Happening::Silent(s) if self.servers[s].machine == Machine::Up => {
                self.servers[s].advance(now);
                self.servers[s].machine = Machine::Silent;
                self.learns(now, s, Status::Gone, d.silent_notice);
            }
            Happening::Pause(s, begin) => {
                self.servers[s].pause(now, begin);
                self.look_again(now, s as u32);
            }
            Happening::Slow(s, factor) => {
                self.servers[s].advance(now);
                self.servers[s].slow *= factor;
                self.look_again(now, s as u32);
            }
            Happening::Errors(s, share) => self.servers[s].errors = share,
            Happening::Cordon(s, out) => {
                if out {
                    self.cordoned.insert(s)
                } else {
                    self.cordoned.remove(&s)
                };
                for id in 0..self.processes.len() as u32 {
                    let told = &mut self.processes[id as usize].cordoned;
                    if out {
                        told.insert(s as u32, now)
                    } else {
                        told.remove(&(s as u32))
                    };
                    self.tell(now, id, if out { Event::Cordoned(s) } else { Event::Uncordoned(s) });
                }
            }
            Happening::TurnAway(s, class) => self.servers[s].turns_away = class,
            Happening::Cut(zone, both, begin) => self.world.links.cut(zone, both, begin),
            Happening::Traffic(None, factor) => self.traffic.0 *= factor,
            Happening::Traffic(Some(zone), factor) => self.traffic.1[zone] *= factor,
            Happening::KillSidecar(s) => self.kill(now, s as u32),
            Happening::StopSidecar(s, away) => {
                if let Some(p) = self.sidecars[s].process {
                    self.processes[p as usize].stopping = true;
                    self.calendar.at(now + LINGER, Happens::Leaves(p, away));
                }
            }
            Happening::StartSidecar(s) if self.sidecars[s].process.is_none() => {
                self.start_process(now, s as u32, false)?
            }
            Happening::UpgradeSidecar(s) => {
                if let Some(old) = self.sidecars[s].process {
                    self.start_process(now, s as u32, false)?;
                    if self.processes[old as usize].open.is_empty() {
                        self.end_process(old);
                    }
                }
            }
            Happening::Discovery(up) => self.discovery.down = !up,
            Happening::Resets(share) => self.resets = share,
            _ => {}
        }
        Ok(())
    }

    fn leaves(&mut self, now: Micros, process: u32, away: Micros) {
        let p = &self.processes[process as usize];
        let sidecar = p.sidecar;
        if self.sidecars[sidecar as usize].process != Some(process) {
            return;
        }
        if !p.open.is_empty() {
            return self.calendar.at(now + LINGER / 8, Happens::Leaves(process, away));
        }
        self.sidecars[sidecar as usize].process = None;
        self.end_process(process);
        self.calendar.at(now + away, Happens::Starts(sidecar));
    }

    fn kill(&mut self, now: Micros, sidecar: u32) {
        let Some(process) = self.sidecars[sidecar as usize].process.take() else { return };
        let mut open: Vec<u32> = self.processes[process as usize].open.drain().collect();
        open.sort_unstable();
        let path = self.world.links.client as Micros + 1;
        for id in open {
            self.tries[id as usize].over = true;
            for attempt in self.tries[id as usize].attempts.clone() {
                if std::mem::take(&mut self.attempts[attempt as usize].open) {
                    self.give_up(now, attempt);
                }
                let sent = self.attempts[attempt as usize].sent;
                self.requests[self.tries[id as usize].request as usize].ran.get_or_insert(sent);
            }
            self.calendar.at(now + path, Happens::Answer(id, Answer::Failed));
        }
        self.end_process(process);
    }

    // ---- The list ----

    fn listing(&self, server: usize, entry: Entry) -> Listing {
        let spec = &self.servers[server].spec;
        Listing {
            endpoint: server,
            zone: Some(spec.zone),
            cell: spec.cell,
            kind: Some(spec.kind),
            status: entry.status,
            size: spec.weight,
            started: entry.started,
        }
    }

    /// The list as that version has it.
    fn list_at(&self, version: usize) -> Vec<Listing> {
        let first = |i: usize| Entry {
            status: if self.servers[i].spec.later { Status::Gone } else { Status::Ready },
            started: None,
        };
        let mut entries: Vec<Entry> = (0..self.servers.len()).map(first).collect();
        for change in self.discovery.until(version) {
            entries[change.server] = change.entry;
        }
        let listed = entries.into_iter().enumerate().filter(|(_, e)| e.status != Status::Gone);
        listed.map(|(i, e)| self.listing(i, e)).collect()
    }

    fn round(&mut self, now: Micros) {
        let news = self.discovery.publish();
        if news && !self.discovery.down {
            for sidecar in 0..self.sidecars.len() as u32 {
                let after = (self.lists.random::<f64>() * self.world.discovery.spread as f64) as Micros;
                self.calendar.at(self.round_up(now + after), Happens::Told(sidecar));
            }
        }
        if now < self.world.length {
            self.calendar.at(now + self.world.discovery.period, Happens::Round);
        }
    }

    fn told(&mut self, now: Micros, sidecar: u32) {
        let Some(process) = self.sidecars[sidecar as usize].process else { return };
        if !self.processes[process as usize].watching || self.discovery.down {
            return;
        }
        let from = self.sidecars[sidecar as usize].told;
        let changes: Vec<Change> = self.discovery.since(from).to_vec();
        if !changes.is_empty() {
            let list: Vec<Listing> = changes.iter().map(|c| self.listing(c.server, c.entry)).collect();
            changes.iter().for_each(|c| self.gauge.told(now, now - c.since));
            self.sidecars[sidecar as usize].told = self.discovery.version();
            self.note_gone(now, process, &list);
            self.tell(now, process, Event::Endpoints(ListUpdate::Delta(list)));
        }
    }

    /// What a process was told of servers that it must not send to any more.
    fn note_gone(&mut self, now: Micros, process: u32, list: &[Listing]) {
        let gone = &mut self.processes[process as usize].gone;
        for l in list {
            if l.status == Status::Ready {
                gone.remove(&(l.endpoint as u32));
            } else {
                gone.entry(l.endpoint as u32).or_insert(now);
            }
        }
    }

    fn call(&mut self, now: Micros, process: u32) {
        if self.processes[process as usize].decider.is_some() {
            let d = &self.world.discovery;
            let answered = self.discovery.call(now, d.call, d.call_timeout);
            let (at, fine) = answered.map_or_else(|at| (at, false), |at| (at, true));
            self.calendar.at(self.round_up(at), Happens::Called(process, fine));
        }
    }

    fn called(&mut self, now: Micros, process: u32, fine: bool) {
        if self.processes[process as usize].decider.is_none() {
            return;
        }
        if !fine || self.discovery.down {
            if self.world.discovery.on_request {
                return self.tell(now, process, Event::Endpoints(ListUpdate::Failed));
            }
            return self.calendar.at(now + self.world.discovery.retry, Happens::Call(process));
        }
        let (sidecar, version) = (self.processes[process as usize].sidecar, self.discovery.version());
        let from = self.sidecars[sidecar as usize].told;
        let ages: Vec<Micros> = self.discovery.since(from).iter().map(|c| now - c.since).collect();
        ages.into_iter().for_each(|age| self.gauge.told(now, age));
        self.processes[process as usize].watching = true;
        self.sidecars[sidecar as usize].told = version;
        let list = self.list_at(version);
        self.note_gone(now, process, &list);
        self.tell(now, process, Event::Endpoints(ListUpdate::Full(list)));
    }

    fn sweep(&mut self, now: Micros) {
        let idle = self.world.idle;
        for process in &mut self.processes {
            process.idle.retain(|server, kept| {
                let s = &mut self.servers[*server as usize];
                kept.retain(|(since, incarnation)| {
                    let stays = now - since < idle;
                    if !stays && *incarnation == s.incarnation {
                        s.connections = s.connections.saturating_sub(1);
                    }
                    stays
                });
                !kept.is_empty()
            });
        }
        let held = self.servers.iter().map(|s| u64::from(s.connections)).sum();
        self.gauge.at(now - 1).connections = held;
        if now < self.world.length {
            self.calendar.at(now + SECOND, Happens::Sweep);
        }
    }
}

/// A connection that breaks under an attempt.
fn reset(reused: bool) -> Outcome {
    if reused { Outcome::KeptReset } else { Outcome::Reset }
}
