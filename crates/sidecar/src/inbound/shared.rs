//! What all clients' connections share.

use crate::engine::EngineHandle;
use crate::memory_budget::MemoryBudget;
use crate::request::TrafficClasses;
use crate::request_ids::RequestIds;
use crate::service_state::ServiceState;
use std::time::Duration;
use tokio::sync::watch;

/// What all clients' connections share.
pub struct InboundContext {
    /// Classes and tenants.
    pub traffic_classes: TrafficClasses,
    /// The engine.
    pub engine: EngineHandle,
    /// Memory for the bodies of requests.
    pub memory: MemoryBudget,
    /// Ids of requests.
    pub ids: RequestIds,
    /// Whether the sidecar is in service.
    pub service: watch::Receiver<ServiceState>,
    /// How long a streamed body may make no progress towards its endpoint.
    pub max_stall: Duration,
}
