//! Simulated readers of services, which wait at replicas and apply updates as sidecars do.

use super::clock::{Step, duration_of};
use super::defect::Defect;
use super::history::ReaderUpdate;
use crate::core::List;
use crate::core::freshness::ReadConsistency;
use crate::node::Node;
use crate::raft::Transport;
use lotusmoor_registry_client::{EndpointList, Entry, ListUpdate, Status};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::timeout;

/// The services of each reader. No endpoint registers with "never".
const READER_SERVICES: [&[&str]; 5] = [&["a"], &["b"], &["a", "b"], &["b", "c"], &["c", "never"]];
/// The services that endpoints register with.
const ENDPOINT_SERVICES: [Option<&str>; 4] = [Some("a"), Some("b"), Some("c"), None];
/// The longest wait of a reader.
const MAX_WAIT: Step = 300;
/// How long after its wait a call is abandoned.
const CALL_GRACE: Step = 20;
/// The probability of a call in a step.
const CALL_PROBABILITY: f64 = 0.1;
/// Makes the readers' random numbers independent of those of the schedule.
const SEED_MASK: u64 = 0x7365_7276;
/// With [`Defect::UpdateFloorIsIgnored`], readers that are more than this many indexes behind get updates without
/// tombstones.
const IGNORED_FLOOR_LAG: u64 = 3;

struct Reader {
    services: Arc<[String]>,
    list: EndpointList,
    call_number: u64,
    /// When its current call is abandoned; 0 if there is none.
    call_deadline: Step,
}

/// All readers of a schedule, and the updates that they got.
pub(super) struct Readers {
    rng: ChaCha8Rng,
    readers: Vec<Arc<Mutex<Reader>>>,
    updates: Arc<Mutex<Vec<ReaderUpdate>>>,
}

fn lock<V>(mutex: &Mutex<V>) -> MutexGuard<'_, V> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Readers {
    pub(super) fn new(seed: u64) -> Self {
        let reader = |services: &&[&str]| {
            let services = services.iter().map(|s| (*s).to_owned()).collect();
            let list = EndpointList::default();
            Arc::new(Mutex::new(Reader { services, list, call_number: 0, call_deadline: 0 }))
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK),
            readers: READER_SERVICES.iter().map(reader).collect(),
            updates: Arc::default(),
        }
    }

    /// Draws the service of an endpoint that registers.
    pub(super) fn draw_endpoint_service(&mut self) -> Option<String> {
        ENDPOINT_SERVICES[self.rng.random_range(0..4)].map(str::to_owned)
    }

    /// Draws the replica that a reader calls in this step, if any.
    pub(super) fn draw_replica(&mut self) -> Option<u64> {
        let id = self.rng.random_range(1..=3);
        self.rng.random_bool(CALL_PROBABILITY).then_some(id)
    }

    /// Starts the call of a random reader to a replica; `None` if that reader is still in a call.
    pub(super) fn start_call<T: Transport>(
        &mut self,
        node: &Node<T>,
        now: Step,
        defect: Option<Defect>,
    ) -> Option<impl Future<Output = ()> + Send + use<T>> {
        let reader = Arc::clone(&self.readers[self.rng.random_range(0..READER_SERVICES.len())]);
        let wait = self.rng.random_range(0..MAX_WAIT);
        let number = lock(&reader).begin_call(now, wait)?;
        let node = node.clone();
        let updates = Arc::clone(&self.updates);
        Some(async move {
            let woken = wait_for_change(&reader, &node, wait, defect).await;
            let mut reader = lock(&reader);
            if reader.call_number == number {
                reader.call_deadline = 0;
                lock(&updates).extend(reader.read(&node, woken, defect));
            }
        })
    }

    /// Lets every reader read once more at the end of the schedule.
    pub(super) fn read_all<T: Transport>(&mut self, node: &Node<T>, defect: Option<Defect>) {
        for reader in &self.readers {
            lock(&self.updates).extend(lock(reader).read(node, None, defect));
        }
    }

    pub(super) fn take_updates(&self) -> Vec<ReaderUpdate> {
        std::mem::take(&mut *lock(&self.updates))
    }
}

/// Waits until the reader's services change. Returns whether they did, or `None` if the reader has no list and does not
/// wait.
async fn wait_for_change<T: Transport>(
    reader: &Mutex<Reader>,
    node: &Node<T>,
    wait: Step,
    defect: Option<Defect>,
) -> Option<bool> {
    let (services, version) = {
        let reader = lock(reader);
        (Arc::clone(&reader.services), reader.list.version)
    };
    if version.epoch == 0 {
        return None;
    }
    let changed = node.applied_state().services_changed(version.index, &services);
    let wait = duration_of(wait);
    Some(match defect {
        Some(Defect::WakeupsAreLost) => timeout(wait, std::future::pending::<()>()).await.is_ok(),
        _ => timeout(wait, changed).await.is_ok(),
    })
}

impl Reader {
    /// Begins a call and returns its number, unless another is running.
    fn begin_call(&mut self, now: Step, wait: Step) -> Option<u64> {
        if self.call_deadline > now {
            return None;
        }
        self.call_number += 1;
        self.call_deadline = now + wait + CALL_GRACE;
        Some(self.call_number)
    }

    /// Reads and applies an update; `None` if the replica has no list or an older one than the reader.
    fn read<T: Transport>(
        &mut self,
        node: &Node<T>,
        woken: Option<bool>,
        defect: Option<Defect>,
    ) -> Option<ReaderUpdate> {
        let version = self.list.version;
        let after = (version.epoch > 0).then_some(version.index);
        let read = node.read_services(after, &self.services);
        let replica_list = &node.applied_state().state().list;
        if read.consistency == ReadConsistency::Unavailable || read.update.version.epoch == 0 {
            return None;
        }
        let update = apply_defect(read.update, replica_list, after, defect);
        // Like a sidecar, a reader never goes back to an older version.
        if update.version < version {
            return None;
        }
        self.list = self.list.updated(&update, Some(version))?;
        let is_requested = |e: &Entry| e.service.as_ref().is_some_and(|s| self.services.contains(s));
        let requested = replica_list.entries().values().filter(|record| is_requested(&record.entry));
        Some(ReaderUpdate {
            services: self.services.to_vec(),
            version: update.version,
            digest: update.digest,
            snapshot: update.snapshot,
            entries: update.endpoints,
            woken,
            reader_entries: self.list.entries.clone(),
            replica_entries: requested.map(|r| (r.entry.name.clone(), r.entry.clone())).collect(),
        })
    }
}

/// The update as a registry with the defect would send it.
fn apply_defect(
    mut update: ListUpdate,
    list: &List,
    after: Option<u64>,
    defect: Option<Defect>,
) -> ListUpdate {
    match defect {
        Some(Defect::MovesLeaveNoTombstone) => {
            update.endpoints.retain(|e| e.status != Status::Removed || !list.entries().contains_key(&e.name));
        }
        Some(Defect::UpdateFloorIsIgnored)
            if after.is_some_and(|after| after + IGNORED_FLOOR_LAG < update.version.index) =>
        {
            update.endpoints.retain(|e| e.status != Status::Removed);
        }
        Some(Defect::ServicesAreNotFiltered) => update.endpoints = list.update(after).endpoints,
        Some(Defect::DigestsDifferByReplica) => update.digest ^= update.replica,
        _ => {}
    }
    update
}
