//! Starts a sidecar: opens its sockets, and starts the engine and the tasks that serve clients and operators.

mod error;

pub use error::StartError;

use crate::config::Config;
use crate::connection_limiter::ConnectionLimiter;
use crate::engine::{Engine, NewEngine};
use crate::gossip::GossipSocket;
use crate::held_resources::{Held, set_memory_limit};
use crate::inbound;
use crate::management::{self, Management};
use crate::memory_budget::MemoryBudget;
use crate::reload::Reloader;
use crate::request::TrafficClasses;
use crate::request_ids::RequestIds;
use crate::resource_share::{LimitedResources, ResourceShare};
use crate::retry::retry_at_startup;
use crate::service_state::ServiceState;
use crate::state_file::StateFile;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Mutex, watch};
use tokio::task::{JoinHandle, spawn_local};

/// Number of processes that may run side by side during an upgrade, and share the sidecar's resource limits.
const PROCESSES_IN_UPGRADE: usize = 2;

/// A running sidecar.
pub struct Sidecar {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
    reloader: Reloader,
    engine: JoinHandle<()>,
    /// Ends once no more connections are accepted; some may still be open then.
    pub(crate) accepting: JoinHandle<()>,
    pub(crate) service: Rc<watch::Sender<ServiceState>>,
    /// Other processes may accept connections on the clients' socket as well.
    pub(crate) shared_socket: bool,
    pub(crate) longest_deadline: Duration,
}

impl Sidecar {
    /// Starts a sidecar, on the inherited socket if there is one.
    pub fn start(config: Config, inherited: Option<StdListener>) -> Result<Self, StartError> {
        // Installed before anything else, as an unhandled SIGHUP would end the process.
        let hangup = listen_for(SignalKind::hangup(), "SIGHUP")?;
        let shared_socket = inherited.is_some();
        let listener = bind_clients(&config, inherited)?;
        let operators = bind_operators(&config)?;
        let terminate = listen_for(SignalKind::terminate(), "SIGTERM")?;
        let interrupt = listen_for(SignalKind::interrupt(), "SIGINT")?;
        let gossip = bind_gossip(&config)?;

        let longest_deadline = config.longest_deadline();
        let limits = config.limits(if shared_socket { PROCESSES_IN_UPGRADE } else { 1 });
        let share = match shared_socket {
            true => ResourceShare::take(config.listen, limits.of_processes(PROCESSES_IN_UPGRADE)),
            false => None,
        };
        let limits = share.as_ref().map_or(limits, ResourceShare::limits);
        set_memory_limit(config.memory_mb);
        let traffic_classes = TrafficClasses::new(&config);
        let ids = match shared_socket {
            true => RequestIds::shared(limits.request_ids, config.listen),
            false => RequestIds::new(limits.request_ids),
        };
        let state = if shared_socket { StateFile::shared(config.listen) } else { StateFile::in_memory() };
        let cordoned = state.state().cordoned.clone();
        let NewEngine { engine, handle, upstream, registry_handle } =
            Engine::start(config, limits, gossip, cordoned).map_err(StartError::Balancer)?;
        let initial = if state.state().drained { ServiceState::Draining } else { ServiceState::Serving };
        let (service, service_changes) = watch::channel(initial);
        let service = Rc::new(service);

        let engine = spawn_local(engine.run());
        let request_memory = Rc::new(MemoryBudget::new(limits.request_bytes, Held::RequestMemory));
        let clients = ConnectionLimiter::new(limits.clients);
        if let Some(share) = share {
            let (clients, request_memory) = (Rc::clone(&clients), Rc::clone(&request_memory));
            let resources = LimitedResources { clients, upstream, request_memory };
            spawn_local(share.keep_adjusting(resources, Rc::clone(&service)));
        }
        let shared = inbound::InboundContext {
            traffic_classes,
            engine: handle.clone(),
            memory: request_memory,
            ids,
            service: service_changes,
        };
        let accepting = inbound::accept(listener, shared_socket, clients, Rc::new(shared));
        let accepting = spawn_local(accepting);
        let reloader = Reloader::new(handle.clone(), registry_handle.clone());
        let management = Management {
            state: Mutex::new(state),
            service: Rc::clone(&service),
            engine: handle,
            registry_handle,
        };
        let management = Rc::new(management);
        if shared_socket {
            spawn_local(Rc::clone(&management).follow_state_file());
        }
        if let Some(operators) = operators {
            spawn_local(management::serve(operators, management));
        }
        Ok(Self {
            hangup,
            terminate,
            interrupt,
            reloader,
            engine,
            accepting,
            service,
            shared_socket,
            longest_deadline,
        })
    }

    /// Serves until SIGTERM or SIGINT, and reloads the configuration on SIGHUP. Returns an error if the engine ends:
    /// without it every request would fail, so the process should exit and be restarted.
    pub async fn serve_until_stopped(&mut self) -> Result<(), StartError> {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return Ok(()),
                _ = self.interrupt.recv() => return Ok(()),
                _ = self.hangup.recv() => self.reloader.request(),
                read = self.reloader.read() => self.reloader.finish(read),
                _ = &mut self.engine => return Err(StartError::EngineFailed),
            }
        }
    }
}

fn listen_for(kind: SignalKind, name: &'static str) -> Result<Signal, StartError> {
    signal(kind).map_err(|source| StartError::Signal { name, source })
}

fn bind_clients(config: &Config, inherited: Option<StdListener>) -> Result<TcpListener, StartError> {
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => retry_at_startup(|| inbound::bind(config.listen)),
    };
    listener.map_err(|source| StartError::Listen { address: config.listen, source })
}

fn bind_operators(config: &Config) -> Result<Option<TcpListener>, StartError> {
    let Some(address) = config.management else { return Ok(None) };
    match management::bind(address) {
        Ok(listener) => Ok(Some(listener)),
        Err(source) => Err(StartError::ListenForOperators { address, source }),
    }
}

fn bind_gossip(config: &Config) -> Result<Option<GossipSocket>, StartError> {
    let Some(address) = config.peer_listen else { return Ok(None) };
    match retry_at_startup(|| GossipSocket::bind(address, &config.peers, config.peers_broadcast)) {
        Ok(socket) => Ok(Some(socket)),
        Err(source) => Err(StartError::BindGossip { address, source }),
    }
}
