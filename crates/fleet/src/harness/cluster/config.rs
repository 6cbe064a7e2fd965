//! What a cluster is made of.

use super::super::backend::Conduct;
use super::super::check::SlowStartLimit;
use super::logs::LogReader;
use lotusmoor_faults::Rule;
use serde_json::{Value, json};

/// How much later than a rule's figure something may be on a slow machine.
pub(super) const SLACK: i64 = 1_000_000;

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Sidecars.
    pub sidecars: usize,
    /// Servers.
    pub servers: usize,
    /// Names of the zones; sidecars and servers are dealt out to them in turn.
    pub zones: Vec<String>,
    /// How servers behave at first.
    pub conduct: Conduct,
    /// Requests that a server works on at a time.
    pub cores: usize,
    /// The settings object of the sidecars, without their own place in it.
    pub settings: Value,
    /// Replicas of a roster, which takes the stand-in discovery's place; 0 for none. With one, sidecars reach
    /// servers at their own addresses, as a roster has one for each server.
    pub registry_replicas: usize,
    /// System calls of sidecars can be made to fail, and their wall clocks to step.
    pub fault_injection: bool,
    /// Calls that fail from the start of each sidecar on, where they can.
    pub initial_faults: Vec<Rule>,
    /// Sidecars listen on sockets that are passed on to them, so that new processes can take over.
    pub inherited_sockets: bool,
    /// Sidecars whose log nobody reads, by a reader that stands still, and by one that is gone.
    pub unread_logs: (Vec<usize>, Vec<usize>),
    /// How much later than a rule's figure something may be, in microseconds: what the machine itself may add.
    pub slack: i64,
    /// Fixes ids, classes and everything else that is drawn.
    pub seed: u64,
}

impl ClusterConfig {
    /// Servers that answer at once, in three zones, with classes of each kind and the figures of the site's own rules.
    pub fn plain(sidecars: usize, servers: usize, registry_replicas: usize, seed: u64) -> Self {
        let lane = |name: &str, effect: &str, aim: i64| {
            json!({"Name": name, "AimUs": aim, "DeadlineUs": 2_000_000, "Effect": effect, "DedupScope": "all",
                "KeyTtlUs": 7_500_000, "Worth": 1.0})
        };
        let lanes = [
            lane("look", "pure", 400_000),
            lane("pay", "token", 1_000_000),
            lane("book", "side_effect", 1_000_000),
        ];
        let settings = json!({
            "Discovery": "pushed", "WeightSource": "rough", "TickUs": 1000, "CountedBy": "request", "Lanes": lanes,
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
            (64, false, Vec::new(), false, SLACK);
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
            slack,
            seed,
        }
    }

    /// Who reads a sidecar's log, where that is a pipe.
    pub(super) fn log_reader(&self, sidecar: usize) -> Option<LogReader> {
        let (unread, lost) = &self.unread_logs;
        if unread.contains(&sidecar) {
            return Some(LogReader::Stalled);
        }
        lost.contains(&sidecar).then_some(LogReader::Gone)
    }

    /// What a cold server bears, by the settings and what a warm one does; none where a request takes no time.
    pub(super) fn slow_start_limit(&self) -> Option<SlowStartLimit> {
        let rules = &self.settings["Rules"];
        Some(SlowStartLimit {
            per_s: (self.conduct.work_us > 0)
                .then(|| self.cores as f64 * 1e6 / self.conduct.work_us as f64)?,
            factor: rules["OverloadFactor"].as_f64()?,
            window: rules["TipAfterUs"].as_i64()?,
            share: rules["ColdShare"].as_f64()?,
            warm: rules["WarmWithinUs"].as_i64()?,
        })
    }
}
