//! Correlation ids of requests. An id that is already known is rejected, so that an endpoint never sees one id for two
//! requests.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an id stays known after its request has completed: a duplicate of the request may arrive a little later
/// than the response.
const RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of ids of completed requests that are remembered.
const MAX_RETAINED: usize = 8192;

/// The ids of open and of recently completed requests.
#[derive(Clone, Default)]
pub struct RequestIds(Rc<RefCell<KnownIds>>);

#[derive(Default)]
struct KnownIds {
    ids: HashSet<Rc<[u8]>>,
    completed: VecDeque<(Instant, Rc<[u8]>)>,
}

/// The id of an open request. The request is completed when this is dropped.
pub struct OpenRequestId {
    ids: RequestIds,
    id: Rc<[u8]>,
}

impl RequestIds {
    /// Opens an id; `None` if it is known already.
    pub fn open(&self, id: &[u8], now: Instant) -> Option<OpenRequestId> {
        let known = &mut *self.0.borrow_mut();
        known.forget_expired(now);
        let id: Rc<[u8]> = id.into();
        known.ids.insert(Rc::clone(&id)).then(|| OpenRequestId { ids: self.clone(), id })
    }
}

impl KnownIds {
    fn forget_expired(&mut self, now: Instant) {
        while let Some((since, id)) = self.completed.front()
            && (self.completed.len() > MAX_RETAINED || now.duration_since(*since) >= RETENTION)
        {
            self.ids.remove(id);
            self.completed.pop_front();
        }
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().completed.push_back((Instant::now(), Rc::clone(&self.id)));
    }
}

#[cfg(test)]
mod tests;
