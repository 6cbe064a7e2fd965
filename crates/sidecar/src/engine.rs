//! The engine owns the balancer: it turns what happens on the sockets into events for the balancer and carries out the
//! balancer's actions. It makes no decisions of its own.

mod attempts;
mod clock;
mod endpoint_table;
mod handle;
mod in_flight;

pub use handle::{EngineHandle, PendingResponse};

use crate::config::Config;
use crate::discovery::{self, DiscoveryCommand};
use crate::endpoint_list::ListMessage;
use crate::engine_input::{Answer, HealthCheckResult, Input, InputSender, QueuedDatagram};
use crate::gossip::{Datagram, GossipSocket};
use crate::held_resources::Held;
use crate::log::{ThrottledLog, log_line};
use crate::registry_watch::{RegistryDriver, RegistryHandle};
use crate::resource_limits::ResourceLimits;
use crate::upstream::Upstream;
use clock::Clock;
use endpoint_table::EndpointTable;
use in_flight::{AttemptKey, InFlightAttempt, OpenRequest, SendDecision};
use lotusmoor_balancer::{
    Action, Balancer, DiscoveryMode, EndpointEntry, EndpointListUpdate, Event, Micros, RequestId,
    SettingsError,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// Maximum number of gossip datagrams that wait to be handled. Further ones are dropped, as the network may drop any.
const MAX_QUEUED_DATAGRAMS: usize = 64;
/// Minimum time between two log lines about invalid input from outside.
const BAD_INPUT_LOG_SPACING: Duration = Duration::from_secs(5);

/// The balancer, with its open requests, attempts in flight and timers.
pub struct Engine {
    balancer: Balancer,
    clock: Clock,
    inputs: mpsc::UnboundedReceiver<Input>,
    sender: InputSender,
    requests: HashMap<RequestId, OpenRequest>,
    attempts: HashMap<AttemptKey, InFlightAttempt>,
    endpoints: EndpointTable,
    upstream: Rc<Upstream>,
    discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    gossip: Option<GossipSocket>,
    /// The balancer's timers: when each fires, and its token.
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Events caused by actions, not yet delivered to the balancer.
    events: VecDeque<Event>,
    bad_input_log: ThrottledLog,
}

/// An engine that is ready to run, with the handles that other tasks use.
pub struct NewEngine {
    /// The engine.
    pub engine: Engine,
    /// The handle through which client and operator connections reach the engine.
    pub handle: EngineHandle,
    /// Connections to endpoints.
    pub upstream: Rc<Upstream>,
    /// The status of the registry's list, if a registry is configured.
    pub registry_handle: Option<RegistryHandle>,
}

impl Engine {
    /// Starts the balancer with the cached endpoint list of the configuration, and the tasks that feed it.
    pub fn start(
        config: Config,
        limits: ResourceLimits,
        gossip: Option<GossipSocket>,
        cordoned: BTreeSet<String>,
    ) -> Result<NewEngine, SettingsError> {
        let decoded = config.decoded_settings;
        let continuous = decoded.settings.discovery == DiscoveryMode::Pushed;
        let connect_timeout = decoded.settings.limits.connect_timeout;
        let upstream = Rc::new(Upstream::new(limits, connect_timeout, decoded.idle_timeout));
        let balancer = Balancer::new(decoded.settings, config.seed)?;
        let (sender, inputs) = InputSender::new();
        let (discovery, commands) = mpsc::unbounded_channel();
        let clock = Clock::new();
        let mut engine = Self {
            balancer,
            clock,
            inputs,
            sender: sender.clone(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            endpoints: EndpointTable::new(decoded.zones, cordoned, Rc::clone(&upstream)),
            upstream: Rc::clone(&upstream),
            discovery: discovery.clone(),
            gossip: gossip.clone(),
            timers: BinaryHeap::new(),
            events: VecDeque::new(),
            bad_input_log: ThrottledLog::new(BAD_INPUT_LOG_SPACING),
        };
        spawn_local(Rc::clone(&upstream).retire_idle());
        let known_index = config.cached_list.as_ref().map(|list| list.index);
        let registry_handle = match config.registry {
            None => {
                let watch = discovery::WatchConfig { address: config.discovery, continuous, known_index };
                spawn_local(discovery::run(watch, commands, sender.clone()));
                None
            }
            // The registry is always watched for changes, whatever discovery mode the settings name.
            Some(registry) => {
                let (driver, handle) = RegistryDriver::new(registry, config.seed, sender.clone());
                spawn_local(driver.run());
                Some(handle)
            }
        };
        if let Some(gossip) = gossip {
            spawn_local(receive_gossip(gossip, sender.clone()));
        }
        let cached = config.cached_list.unwrap_or(ListMessage { snapshot: true, ..ListMessage::default() });
        let entries = engine.apply_list(cached, true);
        engine.deliver(Event::EndpointList(EndpointListUpdate::Cached(entries)));
        let handle = EngineHandle::new(sender, clock, discovery);
        Ok(NewEngine { engine, handle, upstream, registry_handle })
    }

    /// Handles inputs and timers. Does not return while any handle to the engine exists.
    pub async fn run(mut self) {
        loop {
            let next = self.timers.peek().map(|Reverse((at, _))| self.clock.instant(*at));
            let timer = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                input = self.inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                () = timer => {}
            }
            // Also after inputs, so that a stream of them can't delay the timers.
            self.fire_timers();
            Held::OpenRequests.set(self.requests.len());
            Held::Attempts.set(self.attempts.len());
        }
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(&Reverse((at, token))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            self.deliver(Event::Timer(token));
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Request(submission) => self.open_request(submission),
            Input::Abandoned(id) => self.abandon(id),
            Input::BodyReceived { request, deadline } => self.body_received(request, deadline),
            Input::AttemptEnded(result) => self.attempt_ended(result),
            Input::HealthCheckEnded(result) => {
                let HealthCheckResult { endpoint, outcome, duration, load: load_report } = result;
                self.deliver(Event::HealthCheckEnded { endpoint, outcome, duration, load_report });
            }
            Input::ListReceived(list) => self.list_received(list),
            Input::ListFailed(error) => {
                self.bad_input_log.line(format_args!("discovery: {error}"));
                self.deliver(Event::EndpointList(EndpointListUpdate::Failed));
            }
            Input::SetCordoned { names, done } => {
                self.set_cordoned(names);
                // The caller may have stopped waiting.
                let _ = done.send(());
            }
            Input::IsKnown { name, answer } => drop(answer.send(self.endpoints.is_known(&name))),
            Input::Datagram(QueuedDatagram { datagram, _permit }) => {
                let Datagram { from, bytes } = datagram;
                self.deliver(Event::PeerMessage { from, bytes });
            }
        }
    }

    fn list_received(&mut self, list: ListMessage) {
        let full = list.snapshot;
        let entries = self.apply_list(list, full);
        self.endpoints.list_applied(self.clock.now());
        let update =
            if full { EndpointListUpdate::Full(entries) } else { EndpointListUpdate::Delta(entries) };
        self.deliver(Event::EndpointList(update));
        self.release_removed();
    }

    /// Applies a list to the endpoint table and the connections, before the balancer can send anything more.
    fn apply_list(&mut self, list: ListMessage, full: bool) -> Vec<EndpointEntry> {
        if let Some(what) = &list.unreadable {
            self.bad_input_log.line(format_args!("discovery: skipped an unreadable entry: {what}"));
        }
        let applied = self.endpoints.apply(self.clock.now(), list, full);
        self.events.extend(applied.events_before);
        applied.entries
    }

    fn release_removed(&mut self) {
        let busy: HashSet<usize> = self.attempts.values().map(|attempt| attempt.endpoint).collect();
        for id in self.endpoints.take_releasable(&busy) {
            self.endpoints.release(id);
            self.deliver(Event::EndpointReleased(id));
        }
    }

    /// Cordons exactly the endpoints of these names.
    fn set_cordoned(&mut self, names: BTreeSet<String>) {
        for change in self.endpoints.set_cordoned(names) {
            let endpoint = change.endpoint;
            self.upstream.endpoint(endpoint).set_cordoned(change.cordoned);
            self.deliver(if change.cordoned {
                Event::Cordoned(endpoint)
            } else {
                Event::Uncordoned(endpoint)
            });
        }
    }

    /// Delivers an event to the balancer, then the events that the resulting actions cause.
    fn deliver(&mut self, event: Event) {
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, timeout, idempotency_window } => {
                self.start_attempt(SendDecision { request, endpoint, timeout, idempotency_window });
            }
            Action::Reject { request, retry_after } => self.answer(request, Answer::Shed(retry_after)),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => self.cancel_attempt((request, attempt)),
            Action::HealthCheck(endpoint) => {
                let (upstream, inputs) = (Rc::clone(&self.upstream), self.sender.clone());
                spawn_local(upstream.health_check(endpoint, inputs));
            }
            Action::SetTimer { after, token } => {
                self.timers.push(Reverse((self.clock.now().saturating_add(after), token)));
            }
            Action::Subscribe(on) => {
                self.command_discovery(if on { DiscoveryCommand::Watch } else { DiscoveryCommand::StopWatch })
            }
            Action::FetchEndpointList => self.command_discovery(DiscoveryCommand::Fetch),
            Action::CloseIdleConnections(endpoint) => self.upstream.endpoint(endpoint).close_idle(),
            Action::SendPeerMessage { to, bytes } => {
                if let Some(gossip) = &self.gossip {
                    gossip.send(to, &bytes);
                }
            }
            Action::Log(text) => log_line!("{text}"),
        }
    }

    fn command_discovery(&self, command: DiscoveryCommand) {
        // The channel has no receiver if a registry replaces discovery.
        let _ = self.discovery.send(command);
    }
}

/// Forwards datagrams from peers to the engine. Never returns.
async fn receive_gossip(gossip: GossipSocket, inputs: InputSender) {
    let queue = Arc::new(Semaphore::new(MAX_QUEUED_DATAGRAMS));
    loop {
        let datagram = gossip.receive().await;
        if let Ok(permit) = Arc::clone(&queue).try_acquire_owned() {
            inputs.send(Input::Datagram(QueuedDatagram { datagram, _permit: permit }));
        }
    }
}
