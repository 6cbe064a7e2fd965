//! Readers that wait for changes of services, by service: a change costs those that it concerns, and not all.

use crate::core::List;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Who waits for which services.
#[derive(Default)]
pub(super) struct Waiting(Mutex<Readers>);

#[derive(Default)]
struct Readers {
    next: u64,
    /// Up to where changes were told, and the list's mark of what it does not remember then.
    told: (u64, u64),
    waiting: HashMap<u64, Reader>,
    by_service: HashMap<String, HashSet<u64>>,
}

struct Reader {
    after: u64,
    services: Arc<[String]>,
    wake: Arc<Notify>,
}

/// A reader that waits, for as long as this lives.
pub(super) struct Waiter<'a> {
    waiting: &'a Waiting,
    number: u64,
    wake: Arc<Notify>,
}

impl Waiting {
    fn readers(&self) -> MutexGuard<'_, Readers> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Somebody waits for changes of these services after that index. What has come before this call wakes nobody.
    pub(super) fn wait(&self, after: u64, services: &Arc<[String]>) -> Waiter<'_> {
        let wake = Arc::new(Notify::new());
        let mut readers = self.readers();
        let number = readers.next;
        readers.next += 1;
        for service in services.iter() {
            match readers.by_service.get_mut(service) {
                Some(numbers) => drop(numbers.insert(number)),
                None => drop(readers.by_service.insert(service.clone(), HashSet::from([number]))),
            }
        }
        let reader = Reader { after, services: Arc::clone(services), wake: Arc::clone(&wake) };
        readers.waiting.insert(number, reader);
        Waiter { waiting: self, number, wake }
    }

    /// The list has gone on: whoever waits for what has changed is woken.
    pub(super) fn tell(&self, list: &List) {
        let readers = &mut *self.readers();
        let now = (list.version().index, list.services_dropped_index());
        let (told, forgotten) = std::mem::replace(&mut readers.told, now);
        let news = |reader: &Reader| list.services_changed_index(&reader.services) > reader.after;
        if forgotten != now.1 {
            // Of services that are not remembered it is not known who waits: an epoch has begun, or thousands were
            // emptied before.
            readers.waiting.values().filter(|r| news(r)).for_each(|r| r.wake.notify_one());
            return;
        }
        for service in list.services_changed_after(told) {
            let numbers = readers.by_service.get(service).into_iter().flatten();
            let concerned = numbers.filter_map(|number| readers.waiting.get(number));
            concerned.filter(|r| news(r)).for_each(|r| r.wake.notify_one());
        }
    }
}

impl Waiter<'_> {
    /// Waits until it is woken.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let readers = &mut *self.waiting.readers();
        let Some(reader) = readers.waiting.remove(&self.number) else { return };
        for service in reader.services.iter() {
            if let Some(numbers) = readers.by_service.get_mut(service) {
                numbers.remove(&self.number);
                if numbers.is_empty() {
                    readers.by_service.remove(service);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
