//! State shared by all client connections.

use crate::engine::EngineHandle;
use crate::memory_budget::MemoryBudget;
use crate::request::TrafficClasses;
use crate::request_ids::RequestIds;
use crate::service_state::ServiceState;
use std::rc::Rc;
use tokio::sync::watch;

/// State shared by all client connections.
pub struct InboundContext {
    /// Classes and tenants.
    pub traffic_classes: TrafficClasses,
    /// Handle to the engine.
    pub engine: EngineHandle,
    /// Memory for requests.
    pub memory: Rc<MemoryBudget>,
    /// Ids of open and recently completed requests.
    pub ids: RequestIds,
    /// Whether the sidecar is in service.
    pub service: watch::Receiver<ServiceState>,
}
