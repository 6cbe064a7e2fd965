//! One run: the loop that plays a world under a policy.

mod attempts;
mod clients;
mod faults;
mod list;
mod registry;
mod sidecars;

use super::decider::{AdapterError, Decider, DeciderFactory, DecisionTime, Policy, TrueView};
use super::discovery::{Change, Discovery, Entry};
use super::event_queue::{EventQueue, round_up_to_tick};
use super::measure::{Figures, MetricsRecorder, RequestOutcome, Worth};
use super::rules::{self, SendCheck, Sent, Violations};
use super::server::{Arrival, Arriving, Machine, Server};
use super::world::{PlannedEvent, World};
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
const PRESUMED_KNOWN_AFTER: Micros = 6 * SECOND;
/// After it is told to stop a sidecar stays at least this long, as new connections keep coming.
const MIN_STOP_TIME: Micros = 400_000;

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
    factory: DeciderFactory,
    settings: Vec<Settings>,
    idempotency: Vec<Idempotency>,
    events: EventQueue<SimEvent>,
    servers: Vec<Server>,
    sidecars: Vec<Sidecar>,
    processes: Vec<Process>,
    requests: Vec<Request>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    discovery: Discovery,
    /// The roster, where the world has one.
    registry: Option<Box<registry::Registry>>,
    /// Servers that operators have taken out.
    cordoned: BTreeSet<usize>,
    /// The version that tells of each server's last start.
    start_versions: Vec<usize>,
    /// The version that first told that a server drains or is gone, where that is the last that is known of it.
    removal_versions: Vec<Option<usize>>,
    traffic_factors: (f64, Vec<f64>),
    reset_share: f64,
    corrupt_share: f64,
    late_connects: (f64, Micros),
    /// How many times as often clients try, and the share more that leaves early.
    retry_surge: (f64, f64),
    /// What each tenant has asked for in a second.
    tenant_usage: Vec<(Micros, f64)>,
    metrics: MetricsRecorder,
    violations: Violations,
    list_rng: ChaCha8Rng,
    actions: Vec<Action>,
}

/// What can happen. Numbers are places in the tables of the run.
enum SimEvent {
    /// A client of that sidecar asks something new.
    ClientRequest(u32),
    /// A client sends its request, for the first time or again.
    ClientSend(u32),
    /// A try has come to its sidecar's process.
    TryArrived(u32),
    /// A client gives up a try.
    ClientTimeout(u32),
    /// The time for a final answer, slack and all, is over.
    ResponseOverdue(u32),
    /// An answer has come to its client.
    ResponseArrived(u32, Response),
    /// A new connection has come up, and the request goes out on it, on its way for so long.
    ConnectionEstablished(u32, Micros),
    /// An attempt has come to its server.
    AttemptArrived(u32),
    /// A server is told that an attempt is given up.
    CancelArrived(u32),
    /// A server may be done with something; the stamp tells whether that still holds.
    ServerCompletion(u32, u32),
    /// A message has come to a sidecar, whose processor gets to it in its turn.
    MessageArrived(u32, Message),
    /// A message that is no request is sent to a sidecar.
    MalformedMessage(u32),
    /// The first byte of a streamed answer has come to its sidecar.
    StreamStarted(u32),
    /// A server's stream ends so.
    StreamEnded(u32, Outcome),
    /// An attempt's end has come to its sidecar.
    AttemptEnded(u32, Outcome),
    /// A probe that a process sent at that instant has ended.
    ProbeEnded(u32, u32, Micros, Outcome),
    /// A sidecar stops waiting for an attempt.
    AttemptTimeout(u32),
    /// A timer of a process goes off.
    Timer(u32, u64),
    /// A server's own pause begins, or ends.
    Pause(u32, bool),
    /// The plan's next.
    Planned(u32),
    /// A change that discovery learns of.
    DiscoveryUpdate(Change),
    /// Discovery's round.
    PublishRound,
    /// What discovery has published comes to a sidecar.
    ListPushed(u32),
    /// A process calls discovery, and that call is answered or has failed.
    FetchList(u32),
    FetchEnded(u32, bool),
    /// A process that was told to stop ends, if all is answered; it starts again so long after.
    StopCheck(u32, Micros),
    /// A sidecar's next process starts.
    StartProcess(u32),
    /// Something about the roster.
    Registry(registry::RegistryEvent),
    /// Idle connections are looked through.
    IdleSweep,
}

#[derive(Clone, Copy)]
enum Response {
    Served,
    Rejected(Micros),
    Failed,
    /// There was nobody to take it.
    ConnectionRefused,
}

/// A sidecar's place: what stays over restarts of its process.
struct Sidecar {
    rng: ChaCha8Rng,
    process: Option<u32>,
    /// The newest version that it was told.
    known_version: usize,
    starts: u64,
    /// The list that its file has, where it rides a roster.
    saved_list: Option<lotusmoor_registry_client::EndpointList>,
    processor: Processor,
    /// A message that is no request comes so often; 0 for never.
    malformed_interval: Micros,
}

/// A sidecar's share of a core, which takes one message at a time.
#[derive(Default)]
struct Processor {
    busy_until: Micros,
    /// Its use in a second.
    current_second: Micros,
    used_in_second: f64,
}

/// What a sidecar's processor has to look at.
#[derive(Clone, Copy)]
enum Message {
    Try(u32),
    Started(u32),
    Outcome(u32, Outcome),
    /// Something that is no request.
    Malformed,
}

struct Process {
    sidecar: u32,
    decider: Option<Box<dyn Decider>>,
    /// Its way with the roster.
    registry_watch: Option<Box<registry::RegistryWatch>>,
    /// It takes nothing new.
    stopping: bool,
    watching: bool,
    open: FxHashSet<u32>,
    /// Idle connections by server: since when, and to which of its starts.
    idle: FxHashMap<u32, Vec<(Micros, u32)>>,
    /// Servers that it was told drain or are gone, and when.
    unavailable: FxHashMap<u32, Micros>,
    /// Servers that operators took out, and when it was told.
    cordoned: FxHashMap<u32, Micros>,
}

struct Request {
    class: u8,
    sidecar: u32,
    work: f32,
    key: u32,
    first_try_at: Micros,
    tries: u8,
    retries: u8,
    honours_retry_after: bool,
    leaves_early: bool,
    worth: Worth,
    tenant: Option<u8>,
    /// The first attempt of it that may have run.
    may_have_run_since: Option<Micros>,
    last_outcome: Option<RequestOutcome>,
    finished: bool,
}

struct Try {
    request: u32,
    process: u32,
    due: Micros,
    attempts: Vec<u32>,
    /// It has its final answer, or its client has left.
    finished: bool,
    client_gone: bool,
    /// The first byte of a streamed answer came: no time runs any more.
    started: Option<Micros>,
}

struct Attempt {
    try_id: u32,
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
        let metrics = MetricsRecorder::new(classes, world.tenants.len());
        let zones = world.zones.len();
        let sidecar = |i: usize| Sidecar {
            rng: stream(world.seed, "arrivals", i as u64),
            process: None,
            known_version: 0,
            starts: 0,
            saved_list: None,
            processor: Processor::default(),
            malformed_interval: 0,
        };
        Ok(Self {
            idempotency: settings[0].classes.iter().map(|c| c.idempotency).collect(),
            settings,
            events: EventQueue::default(),
            servers: world.servers.iter().cloned().map(Server::new).collect(),
            sidecars: (0..world.sidecars.len()).map(sidecar).collect(),
            processes: Vec::new(),
            requests: Vec::new(),
            tries: Vec::new(),
            attempts: Vec::new(),
            discovery: Discovery::default(),
            registry: None,
            cordoned: BTreeSet::new(),
            start_versions: vec![0; world.servers.len()],
            removal_versions: vec![None; world.servers.len()],
            traffic_factors: (1.0, vec![1.0; zones]),
            reset_share: 0.0,
            corrupt_share: 0.0,
            late_connects: (0.0, 0),
            retry_surge: (1.0, 0.0),
            tenant_usage: vec![(0, 0.0); world.tenants.len()],
            metrics,
            violations: Violations::default(),
            list_rng: stream(world.seed, "lists", 0),
            actions: Vec::new(),
            factory: policy.factory()?,
            world,
        })
    }

    /// From now on the time that decisions take is measured, on the machine's clock; the run goes as it would.
    pub fn time_decisions(&mut self) -> DecisionTime {
        let decision_time = DecisionTime::default();
        let factory = std::mem::replace(&mut self.factory, DeciderFactory::Builtin(Policy::Module));
        self.factory = DeciderFactory::Timed(Box::new(factory), decision_time.clone());
        decision_time
    }

    /// Plays it to the end: until nobody asks any more and all is answered.
    pub fn execute(mut self) -> Result<Figures, RunError> {
        self.start_registry();
        for i in 0..self.sidecars.len() as u32 {
            self.start_process(0, i, true)?;
            self.schedule_next_request(0, i);
        }
        for (i, server) in self.world.servers.iter().enumerate().filter(|(_, s)| s.pause_every > 0) {
            let first =
                (chance::unit(self.world.seed ^ (i as u64) << 20) * server.pause_every as f64) as Micros;
            self.events.schedule(first, SimEvent::Pause(i as u32, true));
        }
        for (i, planned) in self.world.plan.iter().enumerate() {
            self.events.schedule(planned.at, SimEvent::Planned(i as u32));
        }
        self.events.schedule(self.world.discovery.period, SimEvent::PublishRound);
        self.events.schedule(SECOND, SimEvent::IdleSweep);
        // Past this every client has its answer or has given up: whatever still turns is a loop.
        let longest = self.world.classes.iter().map(|c| c.deadline).max().unwrap_or(SECOND);
        let end = self.world.length + 2 * longest + SECOND;
        while let Some((now, event)) = self.events.next() {
            if now > end {
                break;
            }
            self.handle_event(now, event)?;
        }
        let done = self.servers.iter().map(|s| s.done).sum();
        if let Some(registry) = &self.registry {
            self.metrics.last_notified = registry.last_notified().collect();
        }
        let world = &self.world;
        let mut figures =
            self.metrics.figures(world.length, world.goal, world.prices, self.servers.len(), done);
        figures.violations = self.violations.0.into_iter().map(|(rule, n)| (rule.to_owned(), n)).collect();
        (figures.events, figures.digest) = (self.events.processed(), self.events.digest());
        Ok(figures)
    }

    fn handle_event(&mut self, now: Micros, event: SimEvent) -> Result<(), SettingsError> {
        match event {
            SimEvent::ClientRequest(sidecar) => self.new_request(now, sidecar),
            SimEvent::ClientSend(request) => self.send(now, request),
            SimEvent::TryArrived(id) => self.try_arrived(now, id),
            SimEvent::ClientTimeout(id) => self.client_timeout(now, id),
            SimEvent::ResponseOverdue(id) => self.response_overdue(now, id),
            SimEvent::ResponseArrived(id, answer) => self.response_arrived(now, id, answer),
            SimEvent::ConnectionEstablished(id, path) => self.connection_established(now, id, path),
            SimEvent::AttemptArrived(id) => self.attempt_arrived(now, id),
            SimEvent::CancelArrived(id) => {
                let a = &self.attempts[id as usize];
                if self.servers[a.server as usize].incarnation == a.incarnation {
                    let server = a.server;
                    self.servers[server as usize].cancel(now, id);
                    self.reschedule_completion(now, server);
                }
            }
            SimEvent::ServerCompletion(server, stamp) if self.servers[server as usize].stamp == stamp => {
                self.complete_requests(now, server)
            }
            SimEvent::ServerCompletion(..) => {}
            SimEvent::MessageArrived(sidecar, message) => {
                let after = self.processing_delay(now, sidecar);
                self.schedule_processed(now + after, message);
            }
            SimEvent::MalformedMessage(sidecar) => {
                let every = self.sidecars[sidecar as usize].malformed_interval;
                if every > 0 && now < self.world.length {
                    self.deliver_message(now, sidecar, Message::Malformed);
                    self.events.schedule(now + every, SimEvent::MalformedMessage(sidecar));
                }
            }
            SimEvent::StreamStarted(id) => self.stream_started(now, id),
            SimEvent::StreamEnded(id, how) => self.stream_ended(now, id, how),
            SimEvent::AttemptEnded(id, how) => self.attempt_ended(now, id, how),
            SimEvent::ProbeEnded(process, server, sent, outcome) => {
                if !matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected) {
                    let s = &mut self.servers[server as usize];
                    s.probes = s.probes.saturating_sub(1);
                }
                let (endpoint, took, load) = (server as usize, now - sent, self.load_report(now, server));
                let load = if outcome == Outcome::Ok { load } else { LoadReport::default() };
                self.dispatch(
                    now,
                    process,
                    Event::HealthCheckEnded { endpoint, outcome, duration: took, load_report: load },
                );
            }
            SimEvent::AttemptTimeout(id) => self.attempt_timeout(now, id),
            SimEvent::Timer(process, token) => self.dispatch(now, process, Event::Timer(token)),
            SimEvent::Pause(server, begin) => self.pause(now, server, begin),
            SimEvent::Planned(i) => {
                let what = self.world.plan[i as usize].what.clone();
                self.apply_planned(now, what)?;
            }
            SimEvent::DiscoveryUpdate(change) => {
                let version = self.discovery.record(change);
                if change.entry.started == self.servers[change.server].started
                    && change.entry.status == EndpointStatus::Ready
                {
                    self.start_versions[change.server] = version;
                }
                let removal = &mut self.removal_versions[change.server];
                if change.entry.status == EndpointStatus::Ready {
                    *removal = None;
                } else {
                    removal.get_or_insert(version);
                }
            }
            SimEvent::PublishRound => self.publish_round(now),
            SimEvent::ListPushed(sidecar) => self.list_pushed(now, sidecar),
            SimEvent::FetchList(process) => self.fetch_list(now, process),
            SimEvent::FetchEnded(process, succeeded) => self.fetch_ended(now, process, succeeded),
            SimEvent::StopCheck(process, away) => self.stop_if_idle(now, process, away),
            SimEvent::StartProcess(sidecar) if self.sidecars[sidecar as usize].process.is_none() => {
                self.start_process(now, sidecar, false)?
            }
            SimEvent::StartProcess(_) => {}
            SimEvent::Registry(event) => self.registry_event(now, event),
            SimEvent::IdleSweep => self.close_idle_connections(now),
        }
        Ok(())
    }
}

/// A connection that breaks under an attempt.
fn reset(reused: bool) -> Outcome {
    if reused { Outcome::ReusedConnectionReset } else { Outcome::Reset }
}
