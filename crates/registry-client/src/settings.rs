//! Settings of a watcher.

use crate::Micros;

const DEFAULT_WATCH_WAIT_MICROS: Micros = 4_000_000;
/// This and `DEFAULT_WATCH_WAIT_MICROS` add up to 6 s, within which a sidecar has to follow a change: if a watch stops
/// responding, it is abandoned only after that time.
const DEFAULT_RESPONSE_TIMEOUT_MICROS: Micros = 2_000_000;
const DEFAULT_MIN_POLL_INTERVAL_MICROS: Micros = 50_000;
const DEFAULT_INITIAL_BACKOFF_MICROS: Micros = 250_000;
const DEFAULT_MAX_BACKOFF_MICROS: Micros = 8_000_000;
const DEFAULT_HEDGE_DELAY_MICROS: Micros = 300_000;
const DEFAULT_MAX_REMOVED_SHARE: f64 = 0.5;
const DEFAULT_SELF_CONFIRM_AFTER_MICROS: Micros = 30_000_000;
const DEFAULT_STALE_AFTER_MICROS: Micros = 15_000_000;
const DEFAULT_MIN_SAVE_INTERVAL_MICROS: Micros = 1_000_000;

/// Settings of a [`RegistryWatcher`](crate::RegistryWatcher). Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of replicas, at least one.
    pub replicas: usize,
    /// How long a replica may hold a watch open without a change.
    pub watch_wait: Micros,
    /// How much longer than the requested wait a response may take.
    pub response_timeout: Micros,
    /// Minimum time from one poll to the next.
    pub min_poll_interval: Micros,
    /// Backoff after the first failure, before jitter.
    pub initial_backoff: Micros,
    /// Maximum backoff, before jitter.
    pub max_backoff: Micros,
    /// Time without a response after which a poll that follows a failure is hedged at a second replica.
    pub hedge_delay: Micros,
    /// A list that removes more than this share of the active servers needs confirmation.
    pub max_removed_share: f64,
    /// Time after which such a list is confirmed by the replica itself if it is the only one.
    pub self_confirm_after: Micros,
    /// Age from which the list is reported as stale.
    pub stale_after: Micros,
    /// Minimum time between two writes of the cache file.
    pub min_save_interval: Micros,
    /// Services whose servers are watched; empty means all servers. Names consist of letters, digits, `.`, `_`, `:` and
    /// `-`.
    pub services: Vec<String>,
}

impl Settings {
    /// Default settings for that number of replicas.
    pub fn new(replicas: usize) -> Self {
        Self {
            replicas,
            watch_wait: DEFAULT_WATCH_WAIT_MICROS,
            response_timeout: DEFAULT_RESPONSE_TIMEOUT_MICROS,
            min_poll_interval: DEFAULT_MIN_POLL_INTERVAL_MICROS,
            initial_backoff: DEFAULT_INITIAL_BACKOFF_MICROS,
            max_backoff: DEFAULT_MAX_BACKOFF_MICROS,
            hedge_delay: DEFAULT_HEDGE_DELAY_MICROS,
            max_removed_share: DEFAULT_MAX_REMOVED_SHARE,
            self_confirm_after: DEFAULT_SELF_CONFIRM_AFTER_MICROS,
            stale_after: DEFAULT_STALE_AFTER_MICROS,
            min_save_interval: DEFAULT_MIN_SAVE_INTERVAL_MICROS,
            services: Vec::new(),
        }
    }
}
