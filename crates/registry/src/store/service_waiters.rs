//! Waiters for changes of services, indexed by service: a change takes time only for the waiters of the services that
//! changed.

use crate::core::List;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// All waiters.
#[derive(Default)]
pub(super) struct ServiceWaiters(Mutex<WaiterTable>);

#[derive(Default)]
struct WaiterTable {
    next_id: u64,
    /// The list's index and its [`List::services_dropped_index`] at the last notification.
    notified: (u64, u64),
    by_id: HashMap<u64, WaiterEntry>,
    ids_by_service: HashMap<String, HashSet<u64>>,
}

struct WaiterEntry {
    after: u64,
    services: Arc<[String]>,
    notify: Arc<Notify>,
}

impl WaiterEntry {
    fn notify_if_changed(&self, list: &List) {
        if list.services_changed_index(&self.services) > self.after {
            self.notify.notify_one();
        }
    }
}

/// A registered waiter; dropping it removes it from the table.
pub(super) struct Waiter<'a> {
    waiters: &'a ServiceWaiters,
    id: u64,
    notify: Arc<Notify>,
}

impl ServiceWaiters {
    fn table(&self) -> MutexGuard<'_, WaiterTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a waiter for changes of these services after the index `after`. Changes that were notified before this
    /// call do not wake it.
    pub(super) fn register(&self, after: u64, services: &Arc<[String]>) -> Waiter<'_> {
        let notify = Arc::new(Notify::new());
        let mut table = self.table();
        let id = table.next_id;
        table.next_id += 1;
        for service in services.iter() {
            // `HashMap::entry` would clone the name of a service that is already in the index.
            match table.ids_by_service.get_mut(service) {
                Some(ids) => drop(ids.insert(id)),
                None => drop(table.ids_by_service.insert(service.clone(), HashSet::from([id]))),
            }
        }
        let entry = WaiterEntry { after, services: Arc::clone(services), notify: Arc::clone(&notify) };
        table.by_id.insert(id, entry);
        Waiter { waiters: self, id, notify }
    }

    /// Wakes the waiters for services that changed since the last call.
    pub(super) fn notify(&self, list: &List) {
        let table = &mut *self.table();
        let now = (list.version().index, list.services_dropped_index());
        let (notified_index, previous_dropped_index) = std::mem::replace(&mut table.notified, now);
        if previous_dropped_index != now.1 {
            // It is not known which services' state the list dropped, so every waiter is checked. This happens when an
            // epoch starts, and after thousands of services have become empty.
            table.by_id.values().for_each(|entry| entry.notify_if_changed(list));
            return;
        }
        for service in list.services_changed_after(notified_index) {
            let ids = table.ids_by_service.get(service).into_iter().flatten();
            let affected = ids.filter_map(|id| table.by_id.get(id));
            affected.for_each(|entry| entry.notify_if_changed(list));
        }
    }
}

impl Waiter<'_> {
    /// Waits until one of the services has changed.
    pub(super) async fn notified(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let table = &mut *self.waiters.table();
        let Some(entry) = table.by_id.remove(&self.id) else { return };
        for service in entry.services.iter() {
            if let Some(ids) = table.ids_by_service.get_mut(service) {
                ids.remove(&self.id);
                if ids.is_empty() {
                    table.ids_by_service.remove(service);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
