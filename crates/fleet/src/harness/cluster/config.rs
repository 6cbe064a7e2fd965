//! The configuration of a cluster.

use super::super::backend::Conduct;
use super::super::check::SlowStartLimit;
use super::logs::LogReader;
use lotusmoor_faults::Rule;
use serde_json::{Value, json};

/// Default tolerance added to the time limits of rules on a slow machine, in microseconds.
pub(super) const SLACK_US: i64 = 1_000_000;

/// The configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of sidecars.
    pub sidecars: usize,
    /// Number of servers.
    pub servers: usize,
    /// Names of the zones, to which sidecars and servers are assigned in round-robin order.
    pub zones: Vec<String>,
    /// How servers behave when they start.
    pub conduct: Conduct,
    /// Number of requests that a server works on at a time.
    pub cores: usize,
    /// The settings object of the sidecars, without each one's own index and zone.
    pub settings: Value,
    /// Number of replicas of a registry that replaces the fake discovery service; 0 for none. With a registry sidecars
    /// connect to servers directly and not through proxies, as it lists a single address for each server.
    pub registry_replicas: usize,
    /// Whether faults can be injected into system calls of sidecars, and steps into their wall clocks.
    pub fault_injection: bool,
    /// Faults of system calls that are active from the start of each sidecar on, with `fault_injection`.
    pub initial_faults: Vec<Rule>,
    /// Whether sidecars inherit their listening sockets from the harness, so that a new process can take over.
    pub inherited_sockets: bool,
    /// Sidecars that log to a pipe whose reader has stalled, and those that log to a pipe whose reader is gone.
    pub unread_logs: (Vec<usize>, Vec<usize>),
    /// Memory limit of each sidecar, in MB.
    pub memory_mb: u64,
    /// Whether connections from sidecars to servers have small socket buffers, so that a server that does not read shows.
    pub small_buffers: bool,
    /// Tolerance added to the time limits of rules, for delays of the test machine itself, in microseconds.
    pub slack: i64,
    /// Seed of ids, classes and everything else that is random.
    pub seed: u64,
}

/// Size of small socket buffers, in bytes.
pub(super) const SMALL_BUFFER_BYTES: usize = 16 << 10;
/// Memory limit of a sidecar unless a test sets it, in MB.
pub const DEFAULT_MEMORY_MB: u64 = 64;

impl ClusterConfig {
    /// A configuration with well-behaved servers in three zones, a request class of each kind of idempotency, and the
    /// default limits.
    pub fn plain(sidecars: usize, servers: usize, registry_replicas: usize, seed: u64) -> Self {
        let class = |name: &str, effect: &str, objective_us: i64| {
            json!({"Name": name, "AimUs": objective_us, "DeadlineUs": 2_000_000, "Effect": effect, "DedupScope": "all",
                "KeyTtlUs": 7_500_000, "Worth": 1.0})
        };
        let classes = [
            class("look", "pure", 400_000),
            class("pay", "token", 1_000_000),
            class("book", "side_effect", 1_000_000),
        ];
        let settings = json!({
            "Discovery": "pushed", "WeightSource": "rough", "TickUs": 1000, "CountedBy": "request", "Lanes": classes,
            "Limits": {"DialTimeoutUs": 150_000, "IdleCloseUs": 10_000_000, "MaxAttempts": 5,
                "MaxRetryAfterUs": 2_500_000, "MayCancel": true, "MayDuplicate": false, "Peers": false,
                "Probes": true, "RetryAfter": true},
            "Rules": {"AnswerSlackUs": 20_000, "AskWithinUs": 10_000_000, "ColdShare": 0.12,
                "DrainGraceUs": 2_000_000, "OverloadFactor": 3.0, "TipAfterUs": 3_000_000,
                "WarmWithinUs": 23_000_000},
        });
        let zones = ["a", "b", "c"].map(str::to_owned).to_vec();
        let conduct = Conduct::default();
        let (cores, fault_injection, initial_faults, inherited_sockets, slack) =
            (64, false, Vec::new(), false, SLACK_US);
        Self {
            sidecars,
            servers,
            zones,
            conduct,
            cores,
            settings,
            registry_replicas,
            fault_injection,
            initial_faults,
            inherited_sockets,
            unread_logs: Default::default(),
            memory_mb: DEFAULT_MEMORY_MB,
            small_buffers: false,
            slack,
            seed,
        }
    }

    /// The state of the reader of a sidecar's log, if it logs to a pipe.
    pub(super) fn log_reader(&self, sidecar: usize) -> Option<LogReader> {
        let (stalled, gone) = &self.unread_logs;
        if stalled.contains(&sidecar) {
            return Some(LogReader::Stalled);
        }
        gone.contains(&sidecar).then_some(LogReader::Gone)
    }

    /// How many requests a server can take while it is warming up, from the settings and its capacity when warm; `None`
    /// if requests take no time.
    pub(super) fn slow_start_limit(&self) -> Option<SlowStartLimit> {
        let rules = &self.settings["Rules"];
        Some(SlowStartLimit {
            requests_per_s: (self.conduct.work_us > 0)
                .then(|| self.cores as f64 * 1e6 / self.conduct.work_us as f64)?,
            overload_factor: rules["OverloadFactor"].as_f64()?,
            window: rules["TipAfterUs"].as_i64()?,
            initial_share: rules["ColdShare"].as_f64()?,
            warm_up_time: rules["WarmWithinUs"].as_i64()?,
        })
    }
}
