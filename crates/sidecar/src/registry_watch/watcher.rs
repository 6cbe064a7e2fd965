//! A watcher driven by the process's monotonic clock.

use lotusmoor_registry_client::{Action, Event, Micros, RegistryWatcher};
use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A [`RegistryWatcher`] that is shared by its driver and the handle to that.
#[derive(Clone)]
pub(super) struct SharedWatcher {
    state: Rc<RefCell<RegistryWatcher>>,
    started: Instant,
}

impl SharedWatcher {
    pub(super) fn new(state: RegistryWatcher) -> Self {
        Self { state: Rc::new(RefCell::new(state)), started: Instant::now() }
    }

    pub(super) fn state(&self) -> Ref<'_, RegistryWatcher> {
        self.state.borrow()
    }

    /// The current time on its clock.
    pub(super) fn now(&self) -> Micros {
        Micros::try_from(self.started.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// When its next timer is due.
    pub(super) fn next_timer(&self) -> Option<Instant> {
        let at = self.state.borrow().next_timer()?;
        Some(self.started + Duration::from_micros(at.max(0).unsigned_abs()))
    }

    pub(super) fn handle(&self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.state.borrow_mut().handle(self.now(), event, &mut actions);
        actions
    }
}
