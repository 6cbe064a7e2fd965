//! Discrete-event simulation of a fleet: servers, links, discovery, clients, and sidecars that run the real balancer.
//! A run is single-threaded and deterministic: the same seed gives the same run on any machine.

pub mod decider;
mod discovery;
mod event_queue;
mod link;
pub mod measure;
mod rules;
mod run;
mod server;
mod world;

pub use decider::{AdapterError, DecisionTime, Policy};
pub use measure::{ClassFigures, Figures, Window};
pub use run::{Run, RunError};
pub use world::{ClassSpec, Planned, PlannedEvent, ServerSpec, SidecarSpec, World};
