//! The decisions of a client-side load balancer: which endpoint a request goes to, when it is retried,
//! delayed or rejected.
//!
//! [`Balancer`] is a state machine: [`Balancer::handle`] takes the time and an [`Event`] and returns
//! [`Action`]s. It does no I/O and reads no clock. The sidecar drives it with sockets, the simulator adapter
//! with a line protocol, and the fleet model with simulated time.

mod action;
mod attempt;
mod balancer;
mod circuit;
mod decaying_sum;
mod endpoint;
mod event;
mod ids;
mod interner;
mod latency;
mod load_shedding;
mod log;
mod quota;
mod request;
pub mod settings;
mod timers;

pub use action::Action;
pub use balancer::Balancer;
pub use event::{
    AttemptEnd, EndpointEntry, EndpointListUpdate, EndpointStatus, Event, LoadReport, NewRequest, Outcome,
};
pub use ids::{AttemptNumber, ClassId, EndpointId, MachineTypeId, Micros, RequestId, TenantId, ZoneId};
pub use interner::Interner;
pub use settings::{
    DedupScope, DiscoveryMode, Idempotency, Limits, LoadReportSource, Prices, RequestClass, Rules,
    ScoreWeights, Settings, SettingsError, Tenant, ValidRange, WeightSource,
};
