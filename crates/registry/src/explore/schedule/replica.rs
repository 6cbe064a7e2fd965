//! Simulated replicas: start, step, suspension and crash.

use super::Schedule;
use crate::explore::clock::{STEP, Step, duration_of};
use crate::explore::defect::Defect;
use crate::explore::disk::{Disk, OpenDisk};
use crate::explore::network::SimulatedTransport;
use crate::explore::violation::{ClusterFailure, Violation};
use crate::node::{Node, NodeError, Settings};
use crate::store::{Format, Store, StoreError};
use std::io;
use tokio::runtime::Runtime;

/// Times that a replica's tasks are polled in a step.
const POLLS_PER_STEP: usize = 30;
/// Memory of a store's cache in bytes.
const STORE_CACHE_BYTES: usize = 1 << 20;
/// Log entries between snapshots: few, so that schedules cover snapshots.
const SNAPSHOT_ENTRIES: u64 = 20;
/// Log entries that are retained after a snapshot.
const RETAINED_ENTRIES: u64 = 5;
/// Added to a replica's id for its identity, by which replicas with the same id are told apart (see
/// [`crate::raft::Replica`]).
const IDENTITY_OFFSET: u64 = 100;

/// A replica and its disk, which outlives crashes.
#[derive(Default)]
pub(super) struct SimulatedReplica {
    pub(super) disk: Disk,
    pub(super) running: Option<RunningReplica>,
    /// Steps since it was suspended, if it is.
    pub(super) suspended_for: Option<Step>,
    /// When it resumes or starts again.
    pub(super) returns_at: Option<Step>,
}

/// A replica's process.
pub(super) struct RunningReplica {
    pub(super) runtime: Runtime,
    pub(super) node: Node<SimulatedTransport>,
}

/// Why a replica did not start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Runtime(io::Error),
    #[error("{0}")]
    Database(#[from] redb::DatabaseError),
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("{0}")]
    Node(#[from] NodeError),
}

impl SimulatedReplica {
    /// Runs the replica for one step, unless it is suspended.
    pub(super) fn step(&mut self) {
        if let Some(steps) = &mut self.suspended_for {
            *steps += 1;
            return;
        }
        let Some(running) = &self.running else { return };
        running.runtime.block_on(async {
            tokio::time::advance(STEP).await;
            for _ in 0..POLLS_PER_STEP {
                tokio::task::yield_now().await;
            }
        });
    }

    pub(super) fn is_suspended(&self) -> bool {
        self.suspended_for.is_some()
    }
}

impl RunningReplica {
    fn start(id: u64, disk: OpenDisk, transport: SimulatedTransport) -> Result<Self, StartError> {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build().map_err(StartError::Runtime)?;
        let started: Result<_, StartError> = runtime.block_on(async {
            let mut builder = redb::Database::builder();
            let database = builder.set_cache_size(STORE_CACHE_BYTES).create_with_backend(disk)?;
            let store = Store::from_database(database, Format::NEWEST)?;
            Ok(Node::start(settings(id), store, transport, id + IDENTITY_OFFSET).await?)
        });
        Ok(Self { node: started?, runtime })
    }
}

fn settings(id: u64) -> Settings {
    let mut settings = Settings::new(id, format!("replica-{id}"));
    settings.snapshot_every = SNAPSHOT_ENTRIES;
    settings.retained_log_entries = RETAINED_ENTRIES;
    settings
}

impl Schedule {
    /// Whether disks ignore syncs.
    pub(super) fn disks_ignore_syncs(&self) -> bool {
        self.defect == Some(Defect::SyncsAreIgnored)
    }

    /// Starts a replica's process on its disk; returns whether it did start.
    pub(super) fn start(&mut self, id: u64) -> bool {
        let ignores_syncs = self.disks_ignore_syncs();
        let replica = self.replicas.entry(id).or_default();
        replica.disk.configure(false, ignores_syncs);
        let transport = SimulatedTransport { network: self.network.clone(), replica: id };
        let failure = match RunningReplica::start(id, replica.disk.open(), transport) {
            Ok(running) => {
                replica.running = Some(running);
                return true;
            }
            Err(StartError::Runtime(error)) => ClusterFailure::Runtime { error: error.to_string() },
            Err(error) => ClusterFailure::ReplicaStart { replica: id, error: error.to_string() },
        };
        self.violations.push(Violation::ClusterFailed(failure));
        false
    }

    /// Ends a replica's process without warning.
    pub(super) fn crash(&mut self, id: u64) {
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        replica.suspended_for = None;
        if let Some(RunningReplica { runtime, node }) = replica.running.take() {
            // The disk first: what the process still writes while it shuts down must not reach it.
            replica.disk.crash(&mut self.rng);
            runtime.shutdown_background();
            drop(node);
        }
    }

    /// Resumes a suspended replica, or starts one that crashed.
    pub(super) fn bring_back(&mut self, id: u64) {
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        replica.returns_at = None;
        if let Some(steps) = replica.suspended_for.take() {
            if let Some(running) = &replica.running {
                // Its clock jumps by the time for which it was suspended.
                running.runtime.block_on(tokio::time::advance(duration_of(steps)));
            }
            self.note(format!("replica {id} resumes after {steps} steps"));
        } else if replica.running.is_none() {
            self.note(format!("replica {id} restarts"));
            self.start(id);
        }
    }

    /// Schedules the return of a replica, no earlier than it is scheduled already.
    pub(super) fn schedule_return(&mut self, id: u64, steps: Step) {
        let at = self.now + steps;
        if let Some(replica) = self.replicas.get_mut(&id) {
            replica.returns_at = Some(replica.returns_at.map_or(at, |scheduled| scheduled.max(at)));
        }
    }
}
