//! Who decides in a sidecar: the module, or a baseline behind the same events and actions.

mod plain;

use super::link::Links;
use super::server::{Fall, Machine, Server};
use crate::Micros;
use linenproxy::{Action, Balancer, EndpointId, Event, Outcome, Settings, SettingsError};
use serde::{Deserialize, Serialize};

/// What a sidecar is run by.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
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
}

impl Policy {
    /// All of them.
    pub const ALL: [Self; 5] =
        [Self::Module, Self::NoBreakers, Self::RoundRobin, Self::LeastInFlight, Self::TrueState];

    /// Its name in files and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Module => "module",
            Self::NoBreakers => "no_breakers",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::TrueState => "true_state",
        }
    }

    /// The policy of that name.
    pub fn of(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.name() == name)
    }

    /// A sidecar's decisions, from the start.
    pub fn start(self, settings: Settings, seed: u64) -> Result<Box<dyn Decider>, SettingsError> {
        Ok(match self {
            Self::Module => Box::new(Module(Balancer::new(settings, seed)?)),
            Self::NoBreakers => Box::new(NoBreakers(Balancer::new(settings, seed)?)),
            Self::RoundRobin => Box::new(plain::Plain::new(settings, plain::Pick::Turn, seed)),
            Self::LeastInFlight => Box::new(plain::Plain::new(settings, plain::Pick::LeastInFlight, seed)),
            Self::TrueState => Box::new(plain::Plain::new(settings, plain::Pick::TrueState, seed)),
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
                Outcome::Error | Outcome::TimedOut | Outcome::Reset => Outcome::KeptReset,
                Outcome::Rejected | Outcome::ConnectFailed => Outcome::NotSent,
                other => other,
            };
        }
        self.0.handle(now, event, out);
    }
}
