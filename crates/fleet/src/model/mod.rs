//! The fleet in simulated time: servers, links, discovery, clients, and sidecars that run the decision module
//! itself. One loop, one order of events; the same seed gives the same run, whatever the machine's cores.

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
