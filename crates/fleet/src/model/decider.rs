//! The policy that decides in a sidecar: the balancer, or a baseline with the same events and actions.

mod adapter;
mod baseline;

pub use adapter::AdapterError;
use adapter::{Adapter, Instance};

use super::link::Links;
use super::server::{MachineState, OverloadLimit, Server};
use crate::Micros;
use lotusmoor_balancer::{Action, Balancer, EndpointId, Event, Outcome, Settings, SettingsError};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The load-balancing policy of the sidecars.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The project's balancer, [`lotusmoor_balancer::Balancer`].
    #[default]
    Balancer,
    /// The balancer without circuit breakers: failures that would open a circuit are hidden from it.
    NoBreakers,
    /// Round robin over the listed servers, with retries on other servers.
    RoundRobin,
    /// The server with the fewest attempts in flight from this sidecar.
    LeastInFlight,
    /// An idealised policy that sees the current state of all servers and links.
    TrueState,
    /// A program that speaks the simulator protocol, such as an earlier version of the project. The operators (the
    /// company that runs the sidecars) have a simulator of their own, which talks to the balancer in this protocol
    /// through the crate `lotusmoor_simulator_adapter`.
    Adapter(PathBuf),
}

impl Policy {
    /// The built-in policies.
    pub const ALL: [Self; 5] =
        [Self::Balancer, Self::NoBreakers, Self::RoundRobin, Self::LeastInFlight, Self::TrueState];

    /// Its name in files and reports.
    pub fn name(&self) -> String {
        match self {
            Self::Balancer => "module".into(),
            Self::NoBreakers => "no_breakers".into(),
            Self::RoundRobin => "round_robin".into(),
            Self::LeastInFlight => "least_in_flight".into(),
            Self::TrueState => "true_state".into(),
            Self::Adapter(program) => format!("adapter:{}", program.display()),
        }
    }

    /// The policy of that name; `adapter:PROGRAM` starts a program that speaks the simulator protocol.
    pub fn from_name(name: &str) -> Option<Self> {
        match name.strip_prefix("adapter:") {
            Some(program) => Some(Self::Adapter(program.into())),
            None => Self::ALL.into_iter().find(|p| p.name() == name),
        }
    }

    /// Creates the factory for the deciders of one run.
    pub(super) fn factory(self) -> Result<DeciderFactory, AdapterError> {
        Ok(match self {
            Self::Adapter(program) => DeciderFactory::Adapter(Adapter::start(&program)?),
            builtin => DeciderFactory::Builtin(builtin),
        })
    }
}

/// Creates the deciders of one run's sidecars.
pub(super) enum DeciderFactory {
    Builtin(Policy),
    Adapter(Arc<Mutex<Adapter>>),
    Timed(Box<DeciderFactory>, DecisionTime),
}

/// Wall-clock time that decisions have taken.
#[derive(Clone, Default)]
pub struct DecisionTime(Arc<AtomicU64>);

impl DecisionTime {
    /// The total so far.
    pub fn get(&self) -> Duration {
        Duration::from_nanos(self.0.load(Ordering::Relaxed))
    }
}

/// Adds the time of each decision to a total.
struct TimedDecider(Box<dyn Decider>, DecisionTime);

impl Decider for TimedDecider {
    fn handle(&mut self, now: Micros, event: Event, view: &TrueView, out: &mut Vec<Action>) {
        let started = Instant::now();
        self.0.handle(now, event, view, out);
        self.1.0.fetch_add(started.elapsed().as_nanos() as u64, Ordering::Relaxed);
    }
}

impl DeciderFactory {
    /// Creates a decider for a new sidecar process. `number` is unique in the run; `object` returns the settings
    /// object that `settings` was decoded from.
    pub fn start(
        &self,
        number: u64,
        settings: Settings,
        object: &dyn Fn() -> serde_json::Value,
        seed: u64,
    ) -> Result<Box<dyn Decider>, SettingsError> {
        Ok(match self {
            Self::Adapter(adapter) => Box::new(Instance::start(adapter.clone(), number, &object(), seed)),
            Self::Timed(factory, decision_time) => {
                Box::new(TimedDecider(factory.start(number, settings, object, seed)?, decision_time.clone()))
            }
            Self::Builtin(Policy::NoBreakers) => Box::new(NoBreakers(Balancer::new(settings, seed)?)),
            Self::Builtin(Policy::RoundRobin) => {
                Box::new(baseline::Baseline::new(settings, baseline::Selection::RoundRobin, seed))
            }
            Self::Builtin(Policy::LeastInFlight) => {
                Box::new(baseline::Baseline::new(settings, baseline::Selection::LeastInFlight, seed))
            }
            Self::Builtin(Policy::TrueState) => {
                Box::new(baseline::Baseline::new(settings, baseline::Selection::TrueState, seed))
            }
            Self::Builtin(_) => Box::new(BalancerDecider(Balancer::new(settings, seed)?)),
        })
    }
}

/// The current state of the simulation, seen from a sidecar. Only [`Policy::TrueState`] uses it.
pub struct TrueView<'a> {
    /// All servers.
    pub servers: &'a [Server],
    /// All links.
    pub links: &'a Links,
    /// The sidecar's zone.
    pub zone: usize,
    /// The overload limit of servers that are warming up.
    pub overload_limit: OverloadLimit,
}

impl TrueView<'_> {
    /// The expected time until a request with that much work would complete there; `None` if the server can't
    /// complete it or must not be sent it.
    pub fn expected_completion(&self, now: Micros, server: EndpointId, work: f64) -> Option<f64> {
        let s = &self.servers[server];
        let usable = s.machine == MachineState::Up && s.draining.is_none() && s.error_share < 0.2;
        if !usable
            || !self.links.bidirectional(self.zone, s.spec.zone)
            || s.overload_headroom(now, self.overload_limit) < work
        {
            return None;
        }
        let path = 2.0 * self.links.mean_delay(self.zone, s.spec.zone) * s.spec.latency_factor;
        let core = s.capacity(now) / s.spec.cores;
        Some(path + (s.backlog() / s.spec.cores + work) / core)
    }
}

/// The decision logic of one sidecar process.
pub trait Decider: Send {
    /// Handles an event at time `now` and appends the resulting actions.
    fn handle(&mut self, now: Micros, event: Event, view: &TrueView, out: &mut Vec<Action>);
}

/// The project's balancer as a decider.
struct BalancerDecider(Balancer);

impl Decider for BalancerDecider {
    fn handle(&mut self, now: Micros, event: Event, _: &TrueView, out: &mut Vec<Action>) {
        self.0.handle(now, event, out);
    }
}

/// The balancer without circuit breakers: failures are reported as outcomes that don't count against the server. They
/// preserve whether the attempt may have been executed, which the retry filter needs.
struct NoBreakers(Balancer);

impl Decider for NoBreakers {
    fn handle(&mut self, now: Micros, mut event: Event, _: &TrueView, out: &mut Vec<Action>) {
        if let Event::AttemptEnded(end) = &mut event {
            end.outcome = match end.outcome {
                Outcome::Error | Outcome::TimedOut | Outcome::Reset => Outcome::ReusedConnectionReset,
                Outcome::Rejected | Outcome::ConnectFailed => Outcome::NotSent,
                other => other,
            };
        }
        self.0.handle(now, event, out);
    }
}
