//! Readers of a few services, who wait at replicas and take changes: each is told of its services, of all that happens
//! to them, and of nothing else.

use super::check::Told;
use super::net::Step;
use super::schedule::{STEP, Wrong};
use crate::core::freshness::Reading;
use crate::core::list::List;
use crate::node::Node;
use crate::raft::Transport;
use lotusmoor_registry_client::{EndpointList, Entry, ListUpdate, Status};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::timeout;

/// What readers ask for. Nobody registers with the last of these services.
const SETS: [&[&str]; 5] = [&["a"], &["b"], &["a", "b"], &["b", "c"], &["c", "never"]];
/// Longest wait, in steps.
const LONGEST: Step = 300;

struct Reader {
    services: Arc<[String]>,
    known: EndpointList,
    /// The number of its last call, and when it is given up.
    call: (u64, Step),
}

/// All readers of a schedule, and what they were told. They draw apart from the rest.
pub(super) struct Readers {
    rng: ChaCha8Rng,
    readers: Vec<Arc<Mutex<Reader>>>,
    told: Arc<Mutex<Vec<Told>>>,
}

fn lock<V>(of: &Mutex<V>) -> std::sync::MutexGuard<'_, V> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Readers {
    pub(super) fn new(seed: u64) -> Self {
        let reader = |set: &&[&str]| {
            let services = set.iter().map(|s| (*s).to_owned()).collect();
            Arc::new(Mutex::new(Reader { services, known: EndpointList::default(), call: (0, 0) }))
        };
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7365_7276);
        Self { rng, readers: SETS.iter().map(reader).collect(), told: Arc::default() }
    }

    /// The service of a server that registers.
    pub(super) fn service(&mut self) -> Option<String> {
        [Some("a"), Some("b"), Some("c"), None][self.rng.random_range(0..4)].map(str::to_owned)
    }

    /// The replica that one of them may call now.
    pub(super) fn draw(&mut self) -> Option<u64> {
        let id = self.rng.random_range(1..=3);
        self.rng.random_bool(0.1).then_some(id)
    }

    /// One of them calls a replica; `None` where that one still waits elsewhere.
    pub(super) fn call<T: Transport>(
        &mut self,
        node: &Node<T>,
        now: Step,
        wrong: Option<Wrong>,
    ) -> Option<impl Future<Output = ()> + Send + use<T>> {
        let reader = Arc::clone(&self.readers[self.rng.random_range(0..SETS.len())]);
        let wait = self.rng.random_range(0..LONGEST);
        let number = {
            let mut reader = lock(&reader);
            if reader.call.1 > now {
                return None;
            }
            reader.call = (reader.call.0 + 1, now + wait + 20);
            reader.call.0
        };
        let (node, told) = (node.clone(), Arc::clone(&self.told));
        Some(async move {
            let (services, version) = {
                let reader = lock(&reader);
                (Arc::clone(&reader.services), reader.known.version)
            };
            let mut woken = None;
            if version.epoch > 0 {
                let changed = node.applied_state().services_changed(version.index, &services);
                let wait = STEP * u32::try_from(wait).unwrap_or(0);
                woken = Some(match wrong {
                    Some(Wrong::WakesAreLost) => timeout(wait, std::future::pending::<()>()).await.is_ok(),
                    _ => timeout(wait, changed).await.is_ok(),
                });
            }
            let mut reader = lock(&reader);
            if reader.call.0 == number {
                reader.call.1 = 0;
                lock(&told).extend(reader.read(&node, woken, wrong));
            }
        })
    }

    /// Each asks once more, where all faults are over.
    pub(super) fn end<T: Transport>(&mut self, node: &Node<T>, wrong: Option<Wrong>) {
        for reader in &self.readers {
            lock(&self.told).extend(lock(reader).read(node, None, wrong));
        }
    }

    pub(super) fn told(&self) -> Vec<Told> {
        std::mem::take(&mut *lock(&self.told))
    }
}

impl Reader {
    /// Takes what a replica has; `None` where that is nothing, or older than what this reader has.
    fn read<T: Transport>(
        &mut self,
        node: &Node<T>,
        woken: Option<bool>,
        wrong: Option<Wrong>,
    ) -> Option<Told> {
        let before = self.known.version;
        let after = (before.epoch > 0).then_some(before.index);
        let read = node.read_services(after, &self.services);
        let list = &node.applied_state().state().list;
        if read.reading == Reading::Refused || read.update.version.epoch == 0 {
            return None;
        }
        let update = spoilt(read.update, list, after, wrong);
        // As a sidecar does: it never goes back.
        if update.version < before {
            return None;
        }
        self.known = self.known.updated(&update, Some(before))?;
        let inside = |e: &Entry| e.service.as_ref().is_some_and(|s| self.services.contains(s));
        let listed = list.entries().values().filter(|k| inside(&k.entry));
        Some(Told {
            services: self.services.to_vec(),
            version: update.version,
            digest: update.digest,
            snapshot: update.snapshot,
            entries: update.endpoints,
            woken,
            known: self.known.entries.clone(),
            listed: listed.map(|k| (k.entry.name.clone(), k.entry.clone())).collect::<BTreeMap<_, _>>(),
        })
    }
}

/// What a service that does something wrong would tell.
fn spoilt(mut update: ListUpdate, list: &List, after: Option<u64>, wrong: Option<Wrong>) -> ListUpdate {
    match wrong {
        Some(Wrong::HandOversLeaveNoTombstone) => {
            update.endpoints.retain(|e| e.status != Status::Removed || !list.entries().contains_key(&e.name));
        }
        Some(Wrong::FloorsAreIgnored) if after.is_some_and(|after| after + 3 < update.version.index) => {
            update.endpoints.retain(|e| e.status != Status::Removed);
        }
        Some(Wrong::AllAreTold) => update.endpoints = list.update(after).endpoints,
        Some(Wrong::DigestsDiffer) => update.digest ^= update.replica,
        _ => {}
    }
    update
}
