//! Settings of a replica.

use crate::core::{Micros, SECOND, lease};
use std::time::Duration;

/// The id, address, timing and limits of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The replica's id, which no other member has or has had.
    pub id: u64,
    /// The address at which other replicas reach it.
    pub address: String,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Lower bound of the randomized election timeout.
    pub election_timeout_min: Duration,
    /// Upper bound of the randomized election timeout.
    pub election_timeout_max: Duration,
    /// Time between two checks for expired leases by the leader.
    pub lease_check_interval: Duration,
    /// Time between two requests for the leader's read index, which bounds the age of this replica's list.
    pub read_index_interval: Duration,
    /// Timeout of a write or of a call to the leader.
    pub request_timeout: Duration,
    /// Settings of leases.
    pub leases: lease::Settings,
    /// Age above which a list is served as stale.
    pub stale_after: Micros,
    /// Age above which a list is not served.
    pub refuse_after: Micros,
    /// Number of log entries between two snapshots.
    pub snapshot_every: u64,
    /// Number of log entries before a snapshot that are retained, for replicas that lag slightly.
    pub retained_log_entries: u64,
    /// How often this process has reopened its store after a disk failure.
    pub store_reopen_count: u64,
}

impl Settings {
    /// The default settings of the replica `id` at `address`.
    pub fn new(id: u64, address: String) -> Self {
        Self {
            id,
            address,
            heartbeat_interval: Duration::from_millis(200),
            election_timeout_min: Duration::from_millis(700),
            election_timeout_max: Duration::from_millis(1400),
            lease_check_interval: Duration::from_millis(250),
            read_index_interval: Duration::from_millis(500),
            request_timeout: Duration::from_secs(2),
            leases: lease::Settings::default(),
            stale_after: 3 * SECOND,
            refuse_after: 30 * SECOND,
            snapshot_every: 4000,
            retained_log_entries: 1000,
            store_reopen_count: 0,
        }
    }
}
