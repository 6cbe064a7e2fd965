//! Injection of faults: network, crashes, suspensions and full disks.

use super::{REPLICAS, Schedule};
use crate::explore::clock::Step;
use rand::RngExt;
use std::ops::Range;

/// How long a fault of a replica lasts, in steps.
const FAULT_DURATION: Range<Step> = 20..600;
/// How long all replicas are down after a crash of the whole cluster, in steps.
const CLUSTER_OUTAGE: Range<Step> = 1..100;
/// The share of messages that a lossy network loses.
const LOSS: Range<f64> = 0.0..0.4;
/// The probability of a crash of all replicas, rather than of a full disk.
const CLUSTER_CRASH_PROBABILITY: f64 = 0.4;
/// Steps for which a replica runs on a full disk before it is crashed.
const FULL_DISK_STEPS: Step = 50;

impl Schedule {
    /// Draws and injects a fault, or ends those of the network.
    pub(super) fn inject_fault(&mut self) {
        self.faults += 1;
        let id = self.rng.random_range(REPLICAS);
        let other = 1 + (id + self.rng.random_range(0..2u64)) % 3;
        let steps = self.rng.random_range(FAULT_DURATION);
        match self.rng.random_range(0..9) {
            0 => self.cut_link(id, other),
            1 => self.isolate(id),
            2 | 3 => self.heal_network(),
            4 => self.lose_messages(),
            5 | 6 => self.crash_for(id, steps),
            7 => self.suspend(id, steps),
            _ if self.rng.random_bool(CLUSTER_CRASH_PROBABILITY) => self.crash_all(),
            _ => self.fill_disk(id, steps),
        }
    }

    fn cut_link(&mut self, from: u64, to: u64) {
        self.note(format!("the link from {from} to {to} is cut, one way"));
        self.network.state().cut(from, to);
    }

    fn isolate(&mut self, id: u64) {
        self.note(format!("replica {id} is isolated"));
        for other in REPLICAS.filter(|other| *other != id) {
            self.network.state().cut(id, other);
            self.network.state().cut(other, id);
        }
    }

    fn heal_network(&mut self) {
        self.note("the network is healed".into());
        self.network.state().heal();
    }

    fn lose_messages(&mut self) {
        let loss = self.rng.random_range(LOSS);
        self.note(format!("the network loses a share of {loss:.2}"));
        self.network.state().set_loss(loss);
    }

    fn crash_for(&mut self, id: u64, steps: Step) {
        self.note(format!("replica {id} crashes for {steps} steps"));
        self.crash(id);
        self.schedule_return(id, steps);
    }

    fn suspend(&mut self, id: u64, steps: Step) {
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        if replica.running.is_some() && !replica.is_suspended() {
            replica.suspended_for = Some(0);
            self.note(format!("replica {id} is suspended for {steps} steps"));
            self.schedule_return(id, steps);
        }
    }

    fn crash_all(&mut self) {
        self.note("all replicas crash".into());
        for id in REPLICAS {
            self.crash(id);
            let steps = self.rng.random_range(CLUSTER_OUTAGE);
            self.schedule_return(id, steps);
        }
    }

    fn fill_disk(&mut self, id: u64, steps: Step) {
        self.note(format!("the disk of replica {id} is full for {steps} steps"));
        if let Some(replica) = self.replicas.get(&id) {
            replica.disk.configure(true, self.disks_ignore_syncs());
        }
        // A replica whose disk fails ends, and starts again once there is space.
        self.schedule_return(id, steps);
        if self.running(id).is_some() {
            for _ in 0..FULL_DISK_STEPS {
                self.step();
            }
            self.crash(id);
        }
    }
}
