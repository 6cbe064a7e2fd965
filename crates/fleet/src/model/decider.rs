//! Who decides in a sidecar: the module, or a baseline behind the same events and actions.

mod adapter;
mod plain;

pub use adapter::AdapterError;
use adapter::{Adapter, Instance};

use super::link::Links;
use super::server::{Fall, Machine, Server};
use crate::Micros;
use lotusmoor_balancer::{Action, Balancer, EndpointId, Event, Outcome, Settings, SettingsError};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What sidecars are run by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The decision module.
    #[default]
    Module,
    /// The same, which hears of no failure that would open a circuit.
    NoBreakers,
    /// Round robin over what the list has, and tries again elsewhere.
    RoundRobin,
    /// Least in flight of what this sidecar itself sent.
    LeastInFlight,
    /// Sees the true state of all servers and links, at once.
    TrueState,
    /// A program that speaks the simulator's wire: an earlier version of the project.
    Adapter(PathBuf),
}

impl Policy {
    /// Those that come with the tool.
    pub const ALL: [Self; 5] =
        [Self::Module, Self::NoBreakers, Self::RoundRobin, Self::LeastInFlight, Self::TrueState];

    /// Its name in files and reports.
    pub fn name(&self) -> String {
        match self {
            Self::Module => "module".into(),
            Self::NoBreakers => "no_breakers".into(),
            Self::RoundRobin => "round_robin".into(),
            Self::LeastInFlight => "least_in_flight".into(),
            Self::TrueState => "true_state".into(),
            Self::Adapter(program) => format!("adapter:{}", program.display()),
        }
    }

    /// The policy of that name; `adapter:PROGRAM` is one that speaks the simulator's wire.
    pub fn from_name(name: &str) -> Option<Self> {
        match name.strip_prefix("adapter:") {
            Some(program) => Some(Self::Adapter(program.into())),
            None => Self::ALL.into_iter().find(|p| p.name() == name),
        }
    }

    /// What starts the sidecars of one run.
    pub(super) fn open(self) -> Result<Source, AdapterError> {
        Ok(match self {
            Self::Adapter(program) => Source::Adapter(Adapter::start(&program)?),
            own => Source::Own(own),
        })
    }
}

/// Starts the decisions of one run's sidecars.
pub(super) enum Source {
    Own(Policy),
    Adapter(Arc<Mutex<Adapter>>),
    Timed(Box<Source>, Spent),
}

/// Real time that decisions have taken.
#[derive(Clone, Default)]
pub struct Spent(Arc<AtomicU64>);

impl Spent {
    /// All of it so far.
    pub fn get(&self) -> Duration {
        Duration::from_nanos(self.0.load(Ordering::Relaxed))
    }
}

struct Timed(Box<dyn Decider>, Spent);

impl Decider for Timed {
    fn handle(&mut self, now: Micros, event: Event, sight: &Sight, out: &mut Vec<Action>) {
        let begun = Instant::now();
        self.0.handle(now, event, sight, out);
        self.1.0.fetch_add(begun.elapsed().as_nanos() as u64, Ordering::Relaxed);
    }
}

impl Source {
    /// A sidecar's decisions, from the start. `number` is new with each; `object` is what the settings were read from.
    pub fn start(
        &self,
        number: u64,
        settings: Settings,
        object: &dyn Fn() -> serde_json::Value,
        seed: u64,
    ) -> Result<Box<dyn Decider>, SettingsError> {
        Ok(match self {
            Self::Adapter(adapter) => Box::new(Instance::start(adapter.clone(), number, &object(), seed)),
            Self::Timed(source, spent) => {
                Box::new(Timed(source.start(number, settings, object, seed)?, spent.clone()))
            }
            Self::Own(Policy::NoBreakers) => Box::new(NoBreakers(Balancer::new(settings, seed)?)),
            Self::Own(Policy::RoundRobin) => Box::new(plain::Plain::new(settings, plain::Pick::Turn, seed)),
            Self::Own(Policy::LeastInFlight) => {
                Box::new(plain::Plain::new(settings, plain::Pick::LeastInFlight, seed))
            }
            Self::Own(Policy::TrueState) => {
                Box::new(plain::Plain::new(settings, plain::Pick::TrueState, seed))
            }
            Self::Own(_) => Box::new(Module(Balancer::new(settings, seed)?)),
        })
    }
}

/// The true state of things, seen from a sidecar. Only the baseline that is meant to see it looks.
pub struct Sight<'a> {
    /// All servers.
    pub servers: &'a [Server],
    /// All links.
    pub links: &'a Links,
    /// The sidecar's zone.
    pub zone: usize,
    /// What cold servers bear.
    pub fall: Fall,
}

impl Sight<'_> {
    /// When a request with that much work would be done there; `None` where it would not, or must not be sent.
    pub fn wait(&self, now: Micros, server: EndpointId, work: f64) -> Option<f64> {
        let s = &self.servers[server];
        let fine = s.machine == Machine::Up && s.draining.is_none() && s.errors < 0.2;
        if !fine || !self.links.both(self.zone, s.spec.zone) || s.room(now, self.fall) < work {
            return None;
        }
        let path = 2.0 * self.links.mean(self.zone, s.spec.zone) * s.spec.stretch;
        let core = s.capacity(now) / s.spec.cores;
        Some(path + (s.backlog() / s.spec.cores + work) / core)
    }
}

/// The decisions of one sidecar.
pub trait Decider: Send {
    /// Takes one event that happens at `now` and appends what is to be done.
    fn handle(&mut self, now: Micros, event: Event, sight: &Sight, out: &mut Vec<Action>);
}

struct Module(Balancer);

impl Decider for Module {
    fn handle(&mut self, now: Micros, event: Event, _: &Sight, out: &mut Vec<Action>) {
        self.0.handle(now, event, out);
    }
}

/// The module with its ears shut to what would open a circuit: failures are told as ones that say nothing of the
/// server. They keep what matters to the retry filter, whether the attempt may have run.
struct NoBreakers(Balancer);

impl Decider for NoBreakers {
    fn handle(&mut self, now: Micros, mut event: Event, _: &Sight, out: &mut Vec<Action>) {
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
