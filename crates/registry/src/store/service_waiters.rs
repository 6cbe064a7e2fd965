//! Watchers that wait for changes of services, indexed by service: a change costs time for the watchers of its services
//! alone.

use crate::core::List;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Who waits for which services.
#[derive(Default)]
pub(super) struct ServiceWaiters(Mutex<Registrations>);

#[derive(Default)]
struct Registrations {
    next_id: u64,
    /// The index up to which changes were notified, and the list's count of services forgotten by then.
    notified: (u64, u64),
    by_id: HashMap<u64, Registration>,
    ids_by_service: HashMap<String, HashSet<u64>>,
}

struct Registration {
    after: u64,
    services: Arc<[String]>,
    notify: Arc<Notify>,
}

impl Registration {
    fn notify_if_changed(&self, list: &List) {
        if list.services_changed_index(&self.services) > self.after {
            self.notify.notify_one();
        }
    }
}

/// A registered watcher; dropping it ends the registration.
pub(super) struct Waiter<'a> {
    waiters: &'a ServiceWaiters,
    id: u64,
    notify: Arc<Notify>,
}

impl ServiceWaiters {
    fn registrations(&self) -> MutexGuard<'_, Registrations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a watcher for changes of these services after that index. Changes that were notified before this
    /// call do not wake it.
    pub(super) fn register(&self, after: u64, services: &Arc<[String]>) -> Waiter<'_> {
        let notify = Arc::new(Notify::new());
        let mut registrations = self.registrations();
        let id = registrations.next_id;
        registrations.next_id += 1;
        for service in services.iter() {
            // `entry` would clone the name of a service that is indexed already.
            match registrations.ids_by_service.get_mut(service) {
                Some(ids) => drop(ids.insert(id)),
                None => drop(registrations.ids_by_service.insert(service.clone(), HashSet::from([id]))),
            }
        }
        let registration =
            Registration { after, services: Arc::clone(services), notify: Arc::clone(&notify) };
        registrations.by_id.insert(id, registration);
        Waiter { waiters: self, id, notify }
    }

    /// Wakes the watchers of services that changed since the last call.
    pub(super) fn notify(&self, list: &List) {
        let registrations = &mut *self.registrations();
        let now = (list.version().index, list.services_dropped_index());
        let (notified_index, forgotten) = std::mem::replace(&mut registrations.notified, now);
        if forgotten != now.1 {
            // Which services the list forgot is not known: every watcher is checked. This happens when an epoch starts,
            // and after thousands of services have become empty.
            registrations.by_id.values().for_each(|registration| registration.notify_if_changed(list));
            return;
        }
        for service in list.services_changed_after(notified_index) {
            let ids = registrations.ids_by_service.get(service).into_iter().flatten();
            let concerned = ids.filter_map(|id| registrations.by_id.get(id));
            concerned.for_each(|registration| registration.notify_if_changed(list));
        }
    }
}

impl Waiter<'_> {
    /// Waits until a service has changed.
    pub(super) async fn notified(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let registrations = &mut *self.waiters.registrations();
        let Some(registration) = registrations.by_id.remove(&self.id) else { return };
        for service in registration.services.iter() {
            if let Some(ids) = registrations.ids_by_service.get_mut(service) {
                ids.remove(&self.id);
                if ids.is_empty() {
                    registrations.ids_by_service.remove(service);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
