//! Endpoints, the connections to them, and the attempts made over these connections.

mod attempt;
mod attempt_target;
mod endpoint;
mod exchange;
mod exchange_result;
mod load_report;
mod pool;
mod pooled_connection;
mod response;
mod timing;

pub use attempt_target::AttemptTarget;
pub use endpoint::Endpoint;

use crate::held_resources::Held;
use crate::idle_bound::AdaptiveIdleTimeout;
use crate::log::ThrottledLog;
use crate::memory_budget::MemoryBudget;
use crate::resizable_semaphore::ResizableSemaphore;
use crate::resource_limits::ResourceLimits;
use lotusmoor_balancer::Micros;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// An idle connection is closed before the endpoint would close it, earlier by 1 / `IDLE_MARGIN_DIVISOR` of the
/// endpoint's idle time: a request written later would end with a reset.
const IDLE_MARGIN_DIVISOR: u32 = 8;
/// Time after which endpoints close idle connections, where the settings do not give it.
const DEFAULT_IDLE_CLOSE_US: Micros = 10_000_000;
/// Time limit for connecting, where the settings do not give it.
const DEFAULT_DIAL_TIMEOUT_US: Micros = 250_000;
/// Minimum time between two log lines about bytes that belong to no request.
const UNEXPECTED_BYTES_LOG_SPACING: Duration = Duration::from_secs(1);

/// All endpoints, and the limits on connections to them.
pub struct Upstream {
    endpoints: RefCell<Vec<Rc<Endpoint>>>,
    connections: ResizableSemaphore,
    memory: MemoryBudget,
    dial_timeout: Duration,
    idle_timeout: RefCell<AdaptiveIdleTimeout>,
    connection_pooled: Notify,
    unexpected_bytes_log: RefCell<ThrottledLog>,
}

impl Upstream {
    /// Creates an upstream without endpoints. `limits` bounds the number of connections, `dial_timeout` the time to
    /// connect; endpoints close idle connections after `idle_close`. A time of 0 stands for its default.
    pub fn new(limits: ResourceLimits, dial_timeout: Micros, idle_close: Micros) -> Self {
        let idle_close = duration_or(idle_close, DEFAULT_IDLE_CLOSE_US);
        let idle_timeout =
            AdaptiveIdleTimeout::new(idle_close - idle_close / IDLE_MARGIN_DIVISOR, Instant::now());
        Self {
            endpoints: RefCell::default(),
            connections: ResizableSemaphore::new(limits.upstream),
            memory: MemoryBudget::new(limits.response_bytes, Held::ResponseMemory),
            dial_timeout: duration_or(dial_timeout, DEFAULT_DIAL_TIMEOUT_US),
            idle_timeout: RefCell::new(idle_timeout),
            connection_pooled: Notify::new(),
            unexpected_bytes_log: RefCell::new(ThrottledLog::new(UNEXPECTED_BYTES_LOG_SPACING)),
        }
    }

    /// Changes the limits on connections and on memory. Idle connections above the limit are closed; those in use stay.
    pub fn set_limits(&self, connections: usize, response_bytes: usize) {
        let surplus = self.connections.total().saturating_sub(connections);
        while self.connections.semaphore().available_permits() < surplus && self.close_oldest_idle() {}
        self.connections.resize(connections);
        self.memory.resize(response_bytes);
    }

    /// The limit on the number of connections, above which are none, not even those that were granted before.
    pub fn connection_limit(&self) -> usize {
        self.connections.total()
    }

    /// Memory for responses.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// Returns the endpoint with that number. It is created, with all of smaller numbers, if necessary.
    pub fn endpoint(&self, id: usize) -> Rc<Endpoint> {
        let mut endpoints = self.endpoints.borrow_mut();
        while endpoints.len() <= id {
            endpoints.push(Rc::default());
        }
        Rc::clone(&endpoints[id])
    }

    /// Removes the endpoints that are not listed.
    pub fn remove_unlisted(&self, listed: &HashSet<usize>) {
        for (id, endpoint) in self.endpoints.borrow().iter().enumerate() {
            if !listed.contains(&id) {
                endpoint.update(None, false, 0);
            }
        }
    }

    /// Forgets a removed endpoint, whose number may be reused for another. Attempts that still refer to it have lost
    /// their permission and write nothing.
    pub fn forget(&self, id: usize) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            endpoint.update(None, false, 0);
            *endpoint = Rc::default();
        }
    }
}

fn duration_or(micros: Micros, default: Micros) -> Duration {
    let micros = if micros > 0 { micros } else { default };
    Duration::from_micros(micros.unsigned_abs())
}

#[cfg(test)]
mod tests;
