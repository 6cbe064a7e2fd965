//! One run: the event loop that simulates a world under a policy.

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
use super::server::{Arrival, Arriving, MachineState, Server};
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

/// A sidecar is presumed to know a version of the endpoint list this long after discovery had it and was reachable.
const PRESUMED_KNOWN_AFTER: Micros = 6 * SECOND;
/// A stopping sidecar stays up at least this long, because new connections keep arriving.
const MIN_STOP_TIME: Micros = 400_000;

/// Why a world can't be simulated.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The balancer rejected the site's settings.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The adapter program could not be started.
    #[error("{0}")]
    Adapter(#[from] AdapterError),
}

/// A run that has not started.
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
    /// The registry, if the world has one in place of the platform's discovery.
    registry: Option<Box<registry::Registry>>,
    /// Servers that operators have cordoned.
    cordoned: BTreeSet<usize>,
    /// For each server, the list version that contains its latest start; `usize::MAX` until a start is listed.
    start_versions: Vec<usize>,
    /// For each server, the list version that announced its drain or removal; `None` while it is listed as ready.
    removal_versions: Vec<Option<usize>>,
    /// Factors on the traffic: of all sidecars, and by zone.
    traffic_factors: (f64, Vec<f64>),
    reset_share: f64,
    corrupt_share: f64,
    /// Share of new connections that are slow to establish, and their additional delay.
    late_connects: (f64, Micros),
    /// Factor on the clients' number of retries, and the additional share of clients that disconnect early.
    retry_surge: (f64, f64),
    /// For each tenant, the current second and its requests in that second.
    tenant_usage: Vec<(Micros, f64)>,
    metrics: MetricsRecorder,
    violations: Violations,
    /// Random stream for discovery's delays.
    list_rng: ChaCha8Rng,
    /// Buffer for the actions of a policy, reused between events.
    actions: Vec<Action>,
}

/// An event of the simulation. Numbers are indices into the vectors of [`Run`].
enum SimEvent {
    /// A client of this sidecar starts a new request.
    ClientRequest(u32),
    /// A client sends its request: the first try or a retry.
    ClientSend(u32),
    /// A try arrived at its sidecar's process.
    TryArrived(u32),
    /// A client stops waiting for the response to a try.
    ClientTimeout(u32),
    /// The deadline for the final response, grace period included, has passed.
    ResponseOverdue(u32),
    /// A response arrived at the client.
    ResponseArrived(u32, Response),
    /// A new connection is established; the request goes out on it with this one-way delay.
    ConnectionEstablished(u32, Micros),
    /// An attempt arrived at its server.
    AttemptArrived(u32),
    /// The cancellation of an attempt arrived at its server.
    CancelArrived(u32),
    /// A server may have completed requests; ignored if the server's completion stamp has changed since.
    ServerCompletion(u32, u32),
    /// A message arrived at a sidecar and is queued on its processor.
    MessageArrived(u32, Message),
    /// A client sends a malformed message to a sidecar.
    MalformedMessage(u32),
    /// The first byte of a streamed response arrived at the sidecar.
    StreamStarted(u32),
    /// A server's response stream ends with this outcome.
    StreamEnded(u32, Outcome),
    /// The outcome of an attempt arrived at its sidecar.
    AttemptEnded(u32, Outcome),
    /// A health check of a server ended: process, server, when it was sent, and the outcome.
    ProbeEnded(u32, u32, Micros, Outcome),
    /// A sidecar's timeout for an attempt expires.
    AttemptTimeout(u32),
    /// A timer of a process expires.
    Timer(u32, u64),
    /// A server's regular pause begins (`true`) or ends.
    Pause(u32, bool),
    /// An entry of the world's plan is due.
    Planned(u32),
    /// Discovery records a change of a server's state.
    DiscoveryUpdate(Change),
    /// Discovery publishes the changes recorded since the last round.
    PublishRound,
    /// A published list update arrives at a sidecar.
    ListPushed(u32),
    /// A process fetches the endpoint list from discovery.
    FetchList(u32),
    /// A fetch of the endpoint list was answered (`true`) or failed.
    FetchEnded(u32, bool),
    /// A stopping process exits if it has no open requests; its successor starts after this delay.
    StopCheck(u32, Micros),
    /// A sidecar's next process starts, unless one is running.
    StartProcess(u32),
    /// An event of the registry.
    Registry(registry::RegistryEvent),
    /// Idle connections that have reached the idle timeout are closed.
    IdleSweep,
}

/// What a client receives for a try.
#[derive(Clone, Copy)]
enum Response {
    Served,
    /// Rejected, with the time after which the client should retry.
    Rejected(Micros),
    Failed,
    /// No sidecar process accepted the request, so it was never processed.
    ConnectionRefused,
}

/// The state of a sidecar that survives restarts of its process.
struct Sidecar {
    rng: ChaCha8Rng,
    process: Option<u32>,
    /// The newest list version that it has received.
    known_version: usize,
    starts: u64,
    /// The list saved in its file, if it gets its list from a registry.
    saved_list: Option<lotusmoor_registry_client::EndpointList>,
    processor: Processor,
    /// Interval between malformed messages; 0 for none.
    malformed_interval: Micros,
}

/// A sidecar's share of a core, which handles one message at a time.
#[derive(Default)]
struct Processor {
    busy_until: Micros,
    /// The second that `used_in_second` counts processor time for.
    current_second: Micros,
    used_in_second: f64,
}

/// A message that costs a sidecar processor time.
#[derive(Clone, Copy)]
enum Message {
    Try(u32),
    Started(u32),
    Outcome(u32, Outcome),
    /// A malformed message.
    Malformed,
}

/// A process of a sidecar.
struct Process {
    sidecar: u32,
    decider: Option<Box<dyn Decider>>,
    /// The registry watcher, if the list comes from a registry.
    registry_watch: Option<Box<registry::RegistryWatch>>,
    /// It accepts no new requests.
    stopping: bool,
    /// It has subscribed to discovery's updates.
    watching: bool,
    /// Its open tries.
    open: FxHashSet<u32>,
    /// Idle connections by server: idle since when, and to which incarnation of the server.
    idle: FxHashMap<u32, Vec<(Micros, u32)>>,
    /// Servers that it knows to be draining or removed, and since when.
    unavailable: FxHashMap<u32, Micros>,
    /// Servers that operators cordoned, and when it was notified.
    cordoned: FxHashMap<u32, Micros>,
}

/// A client's request over all its tries.
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
    /// When the first attempt that a server may have executed was sent.
    may_have_run_since: Option<Micros>,
    last_outcome: Option<RequestOutcome>,
    finished: bool,
}

/// One try of a client: the first, or a retry. The sidecar may make several attempts for it.
struct Try {
    request: u32,
    process: u32,
    due: Micros,
    attempts: Vec<u32>,
    /// It has its final response, or its client has disconnected.
    finished: bool,
    client_gone: bool,
    /// When the first byte of a streamed response arrived; from then on timeouts no longer apply.
    started: Option<Micros>,
}

/// A sidecar's attempt to have a server execute a try.
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
    /// It occupies one of its server's connections.
    connected: bool,
    may_have_run: bool,
    /// Its response stream has started.
    started: bool,
}

impl Run {
    /// Prepares the simulation of a world under a policy.
    pub fn new(world: World, policy: Policy) -> Result<Self, RunError> {
        let mut settings = Vec::with_capacity(world.sidecars.len());
        for i in 0..world.sidecars.len() {
            let text = world.settings_for(i).to_string();
            let decoded = lotusmoor_balancer::settings::decode(&text);
            let decoded = decoded
                .map_err(|_| SettingsError::Undecodable("not in the format of the sidecar settings"))?;
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

    /// Measures the wall-clock time that decisions take from now on. Simulated time and results are not affected.
    pub fn time_decisions(&mut self) -> DecisionTime {
        let decision_time = DecisionTime::default();
        let factory = std::mem::replace(&mut self.factory, DeciderFactory::Builtin(Policy::Balancer));
        self.factory = DeciderFactory::Timed(Box::new(factory), decision_time.clone());
        decision_time
    }

    /// Runs the simulation to the end: until clients have stopped sending and all requests are finished.
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
        // After this time every client has its response or has given up. Events that remain only reschedule
        // themselves.
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
            self.metrics.figures(world.length, world.score_weights, world.prices, self.servers.len(), done);
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
            SimEvent::ResponseArrived(id, response) => self.response_arrived(now, id, response),
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
            SimEvent::StreamEnded(id, outcome) => self.stream_ended(now, id, outcome),
            SimEvent::AttemptEnded(id, outcome) => self.attempt_ended(now, id, outcome),
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
                let event = self.world.plan[i as usize].what.clone();
                self.apply_planned(now, event)?;
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
            SimEvent::StopCheck(process, restart_delay) => self.stop_if_idle(now, process, restart_delay),
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

/// The outcome of a connection reset during an attempt.
fn reset(reused: bool) -> Outcome {
    if reused { Outcome::ReusedConnectionReset } else { Outcome::Reset }
}
