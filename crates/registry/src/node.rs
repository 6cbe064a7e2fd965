//! A replica: composes the log, the list, the leader's leases and the list's age, and runs their periodic tasks.
//!
//! It runs on tokio's clock, which the fault exploration ([`crate::explore`]) pauses, and calls other replicas through
//! a [`Transport`].

mod error;
mod leases;
mod membership;
mod peer_calls;
mod reads;
mod settings;
mod writes;

pub use error::{MembershipError, NodeError, PeerCallError, WriteError};
pub use reads::Read;
pub use settings::Settings;

use crate::core::Micros;
use crate::core::flap::FlapDamping;
use crate::core::freshness::Freshness;
use crate::core::lease::LeaseTracker;
use crate::raft::{Peers, Raft, Replica, Target, Transport};
use crate::store::{AppliedState, StateMachine, Store};
use leases::LeaderState;
use openraft::SnapshotPolicy;
use openraft::error::Fatal;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval};

/// The cluster's name in openraft's log lines: the registry's name in commands, metrics and file names.
const CLUSTER_NAME: &str = "roster";
/// Maximum number of log entries in one append call.
const MAX_ENTRIES_PER_APPEND: u64 = 64;
/// Maximum size in bytes of the part of a snapshot in one call.
const SNAPSHOT_CHUNK_BYTES: u64 = 1 << 20;
/// How many times as often the read index is requested until the list's age is known: until then, no list is served.
const STARTUP_READ_INDEX_RATE: u32 = 10;

struct Inner<T> {
    settings: Settings,
    own: Replica,
    raft: Raft,
    store: Store,
    applied_state: Arc<AppliedState>,
    peers: Peers<T>,
    leader_state: Mutex<LeaderState>,
    flap_damping: Mutex<FlapDamping>,
    freshness: Mutex<Freshness>,
    started_at: Instant,
    /// Serializes membership changes that this replica makes.
    membership_change: tokio::sync::Mutex<()>,
    tasks: Mutex<JoinSet<()>>,
}

/// A handle to a replica; clones refer to the same one.
pub struct Node<T> {
    inner: Arc<Inner<T>>,
}

impl<T> Clone for Node<T> {
    fn clone(&self) -> Self {
        Self { inner: Arc::clone(&self.inner) }
    }
}

/// Locks a mutex, also after a panic of a holder: every critical section leaves its state consistent.
fn lock<V>(mutex: &Mutex<V>) -> MutexGuard<'_, V> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn raft_config(settings: &Settings) -> openraft::Config {
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    openraft::Config {
        cluster_name: CLUSTER_NAME.into(),
        heartbeat_interval: millis(settings.heartbeat_interval),
        election_timeout_min: millis(settings.election_timeout_min),
        election_timeout_max: millis(settings.election_timeout_max),
        install_snapshot_timeout: millis(settings.request_timeout),
        snapshot_policy: SnapshotPolicy::LogsSinceLast(settings.snapshot_every),
        max_in_snapshot_log_to_keep: settings.retained_log_entries,
        max_payload_entries: MAX_ENTRIES_PER_APPEND,
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
        ..openraft::Config::default()
    }
}

impl<T: Transport> Node<T> {
    /// Starts a replica over its store. `new_identity` becomes its identity if the store has none yet.
    pub async fn start(
        settings: Settings,
        store: Store,
        transport: T,
        new_identity: u64,
    ) -> Result<Self, NodeError> {
        store.verify()?;
        let identity = store.identity(settings.id, new_identity)?;
        let own = Replica { address: settings.address.clone(), identity };
        let config = raft_config(&settings).validate().map_err(|e| NodeError::Settings(Box::new(e)))?;
        let (state_machine, applied_state) = StateMachine::open(store.clone())?;
        let peers = Peers { transport, id: settings.id, own: own.clone() };
        let raft = Raft::new(settings.id, Arc::new(config), peers.clone(), store.clone(), state_machine);
        let raft = raft.await.map_err(NodeError::raft)?;
        let inner = Inner {
            freshness: Mutex::new(Freshness::new(settings.stale_after, settings.refuse_after)),
            leader_state: Mutex::new(LeaderState::new(LeaseTracker::new(settings.leases.clone()))),
            settings,
            own,
            raft,
            store,
            applied_state,
            peers,
            flap_damping: Mutex::default(),
            started_at: Instant::now(),
            membership_change: tokio::sync::Mutex::default(),
            tasks: Mutex::default(),
        };
        let node = Self { inner: Arc::new(inner) };
        node.spawn_tasks();
        Ok(node)
    }

    fn spawn_tasks(&self) {
        let mut tasks = lock(&self.inner.tasks);
        tasks.spawn(self.clone().track_applied());
        let mut lease_checks = interval(self.inner.settings.lease_check_interval);
        lease_checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        tasks.spawn(self.clone().check_leases_periodically(lease_checks));
        tasks.spawn(self.clone().refresh_freshness_periodically());
    }

    async fn track_applied(self) {
        let mut applied = self.inner.applied_state.applied_index();
        loop {
            let index = *applied.borrow_and_update();
            lock(&self.inner.freshness).record_applied(index);
            if applied.changed().await.is_err() {
                return;
            }
        }
    }

    async fn check_leases_periodically(self, mut checks: Interval) {
        loop {
            checks.tick().await;
            self.check_leases().await;
        }
    }

    async fn refresh_freshness_periodically(self) {
        let pause = self.inner.settings.read_index_interval;
        loop {
            self.refresh_freshness().await;
            let is_known = self.age().is_some();
            tokio::time::sleep(if is_known { pause } else { pause / STARTUP_READ_INDEX_RATE }).await;
        }
    }

    /// Whether the replica has stopped because its store failed.
    pub fn store_failed(&self) -> bool {
        let running = self.inner.raft.metrics().borrow().running_state.clone();
        matches!(running, Err(Fatal::StorageError(_)))
    }

    /// Stops the replica abruptly, as the end of its process would. Its store stays as it is.
    pub async fn stop(&self) {
        lock(&self.inner.tasks).abort_all();
        let _ = self.inner.raft.shutdown().await;
    }

    /// Microseconds since the replica started.
    pub fn now(&self) -> Micros {
        Micros::try_from(self.inner.started_at.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// The replica's settings.
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// This replica's address and identity.
    pub fn own(&self) -> &Replica {
        &self.inner.own
    }

    /// The list with its place in the log.
    pub fn applied_state(&self) -> &Arc<AppliedState> {
        &self.inner.applied_state
    }

    /// The replica's store.
    pub fn store(&self) -> &Store {
        &self.inner.store
    }

    /// The replica's Raft instance.
    pub fn raft(&self) -> &Raft {
        &self.inner.raft
    }

    /// The leader, as far as it is known here.
    pub fn leader(&self) -> Option<u64> {
        self.inner.raft.metrics().borrow().current_leader
    }

    fn leader_target(&self) -> Option<Target> {
        let metrics = self.inner.raft.metrics();
        let metrics = metrics.borrow();
        let id = metrics.current_leader?;
        let replica = metrics.membership_config.membership().get_node(&id)?;
        Some(Target { id, address: replica.address.clone() })
    }
}

/// Unix time in milliseconds, for the history that operators read.
pub fn unix_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
