//! Setting up the cluster: one replica bootstraps it and lets the others join.

use super::{REPLICAS, Schedule};
use crate::core::EPOCH_SHIFT;
use crate::explore::clock::Step;
use crate::explore::violation::{ClusterFailure, Violation};
use crate::node::NodeError;
use crate::raft::Replica;
use std::error::Error;
use std::sync::{Arc, Mutex, PoisonError};

/// The list's epoch.
const EPOCH: u64 = 1000;
/// Steps for the setup.
const SETUP_STEPS: Step = 3000;
/// The replica that bootstraps the cluster.
const FIRST_REPLICA: u64 = 1;
/// The replicas that join it.
const JOINING_REPLICAS: [u64; 2] = [2, 3];

/// Why the cluster was not set up.
#[derive(Debug, thiserror::Error)]
pub(super) enum SetupError {
    /// The first replica could not bootstrap.
    #[error("{0}")]
    Bootstrap(#[from] NodeError),
    /// Another replica could not join.
    #[error("{0}")]
    Join(Box<dyn Error + Send + Sync>),
}

type SetupResult = Arc<Mutex<Option<Result<(), SetupError>>>>;

impl Schedule {
    /// Starts all replicas and waits until the cluster is set up.
    pub(super) fn set_up(&mut self) {
        for id in REPLICAS {
            if !self.start(id) {
                return;
            }
        }
        let setup = self.bootstrap();
        for _ in 0..SETUP_STEPS {
            self.step();
            let result = setup.lock().unwrap_or_else(PoisonError::into_inner).take();
            match result {
                Some(Ok(())) => {
                    self.history.first_index = EPOCH << EPOCH_SHIFT;
                    return;
                }
                Some(Err(error)) => {
                    let failure = ClusterFailure::Bootstrap { error: error.to_string() };
                    self.violations.push(Violation::ClusterFailed(failure));
                    return;
                }
                None => {}
            }
        }
        self.violations.push(Violation::ClusterFailed(ClusterFailure::BootstrapTimeout));
    }

    /// Lets the first replica bootstrap the cluster; the result is set once that has ended.
    pub(super) fn bootstrap(&self) -> SetupResult {
        let setup = SetupResult::default();
        if let Some(running) = self.running(FIRST_REPLICA) {
            let node = running.node.clone();
            let joining = JOINING_REPLICAS.map(|id| (id, self.membership_entry(id)));
            let result = Arc::clone(&setup);
            running.runtime.spawn(async move {
                let mut done =
                    node.bootstrap_cluster(EPOCH, None).await.map(drop).map_err(SetupError::Bootstrap);
                for (id, replica) in joining {
                    if done.is_ok() {
                        done = node
                            .add_member(id, replica)
                            .await
                            .map_err(|error| SetupError::Join(error.into()));
                    }
                }
                *result.lock().unwrap_or_else(PoisonError::into_inner) = Some(done);
            });
        }
        setup
    }

    fn membership_entry(&self, id: u64) -> Replica {
        self.running(id).map(|running| running.node.own().clone()).unwrap_or_default()
    }
}
