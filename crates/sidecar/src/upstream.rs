//! The endpoints, the connections to them, and the attempts made over these.

mod attempt;
mod endpoint;
mod exchange;
mod exchanged;
mod grant;
mod load_report;
mod pool;
mod pooled_connection;
mod response;
mod timing;

pub use endpoint::Endpoint;
pub use grant::AttemptTarget;
pub use timing::MAX_STALL;

use crate::idle_bound::IdleBound;
use crate::memory_budget::MemoryBudget;
use crate::resource_limits::ResourceLimits;
use lotusmoor_balancer::Micros;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

/// An idle connection is retired this part of its idle time before the endpoint would close it: a request written later
/// would end as a reset.
const IDLE_MARGIN: u32 = 8;
/// Idle time of endpoints where the settings do not give it.
const DEFAULT_IDLE_CLOSE_US: Micros = 10_000_000;
/// Time to connect where the settings do not give it.
const DEFAULT_DIAL_TIMEOUT_US: Micros = 250_000;
/// All endpoints, and the limits on connections to them.
pub struct Upstream {
    endpoints: RefCell<Vec<Rc<Endpoint>>>,
    permits: Arc<Semaphore>,
    memory: MemoryBudget,
    dial_timeout: Duration,
    idle_bound: RefCell<IdleBound>,
    parked: Notify,
}

impl Upstream {
    /// Allows as many connections as `limits` say, made within `dial_timeout`, closed by endpoints after `idle_close`; 0
    /// stands for the defaults.
    pub fn new(limits: ResourceLimits, dial_timeout: Micros, idle_close: Micros) -> Self {
        let idle_close = duration_or(idle_close, DEFAULT_IDLE_CLOSE_US);
        let idle_bound = IdleBound::new(idle_close - idle_close / IDLE_MARGIN, Instant::now());
        Self {
            endpoints: RefCell::default(),
            permits: Arc::new(Semaphore::new(limits.upstream)),
            memory: MemoryBudget::new(limits.body_bytes),
            dial_timeout: duration_or(dial_timeout, DEFAULT_DIAL_TIMEOUT_US),
            idle_bound: RefCell::new(idle_bound),
            parked: Notify::new(),
        }
    }

    /// The endpoint of that number. It is created with all of smaller numbers if need be.
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

    /// Forgets a removed endpoint, whose number may be given to another. What still refers to it writes nothing.
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
