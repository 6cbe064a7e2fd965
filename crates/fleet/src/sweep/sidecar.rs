//! The scenario of a sidecar: a start, requests of each kind (safe, keyed, unsafe) under a steady load, retries, idle
//! closes, operators' calls, a drain of a server, a reload, a hand-over to a new process, and a stop.

use super::Case;
use crate::harness::backend::Conduct;
use crate::harness::check::{Idempotency, Outcome};
use crate::harness::{Clients, Cluster, ClusterConfig, ClusterError, OperatorCall, Traffic, until};
use lotusmoor_faults::Call;
use std::time::{Duration, Instant};

/// How long clients wait for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests a second.
const RATE: f64 = 60.0;
/// Tolerance of the rules' time limits on a busy machine, in microseconds.
const TIMING_TOLERANCE_US: i64 = 400_000;
/// Requests that finish between two steps of the scenario.
const REQUESTS_PER_STEP: usize = 8;
/// How long an operators' call is repeated until it succeeds, and how long a hand-over may take.
const CALL_RETRY_TIMEOUT: Duration = Duration::from_secs(4);
/// The delay before a call is made again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The time within which a sidecar reports its new state after it was drained or resumed.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// The time within which discovery is queried at its new address after a reload.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// A process that was told to stop exits within the longest deadline and this.
const EXIT_GRACE: Duration = Duration::from_millis(700);
/// Descriptors that a process may hold at the end: those of its runtime, its listeners and idle connections.
const MAX_DESCRIPTORS: usize = 60;
/// Memory that a process may hold at the end, in kB.
const MAX_MEMORY_KB: u64 = 32 << 10;

/// System calls of each kind, in the order of [`Call::ALL`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallCounts(pub Vec<u64>);

/// Runs the scenario, with the system calls of the case failing, if there is one. Returns the number of system calls.
pub fn run_sidecar_scenario(case: Option<&Case>, seed: u64) -> Result<CallCounts, ClusterError> {
    let mut config = ClusterConfig::plain(1, 3, 0, seed);
    config.fault_injection = true;
    config.inherited_sockets = true;
    config.slack = TIMING_TOLERANCE_US;
    config.initial_faults = case.map(Case::rule).into_iter().collect();
    let normal_conduct = Conduct { work_us: 2_000, idle_us: 30_000, ..Conduct::default() };
    config.conduct = normal_conduct.clone();
    let cluster = Cluster::start(config)?;
    let clients = cluster.start_clients(&traffic(seed));
    let mut scenario = SidecarScenario { cluster, clients, normal_conduct };
    scenario.run_requests()?;
    scenario.run_operator_calls()?;
    scenario.drain_server_and_reload()?;
    scenario.hand_over()?;
    scenario.finish(case)
}

fn traffic(seed: u64) -> Traffic {
    let keyed = Idempotency::Keyed { window: 7_500_000 };
    let classes = vec![
        ("look".into(), Idempotency::Idempotent, CLIENT_TIMEOUT, 0.4),
        ("pay".into(), keyed, CLIENT_TIMEOUT, 0.3),
        ("book".into(), Idempotency::NonIdempotent, CLIENT_TIMEOUT, 0.3),
    ];
    Traffic { rate: RATE, classes, disconnect_share: 0.05, body_share: 0.2, seed }
}

struct SidecarScenario {
    cluster: Cluster,
    clients: Clients,
    normal_conduct: Conduct,
}

impl SidecarScenario {
    fn wait_for_requests(&self) -> Result<(), ClusterError> {
        let before = self.clients.finished_count();
        self.cluster
            .wait("more requests finish", || self.clients.finished_count() >= before + REQUESTS_PER_STEP)
    }

    /// Repeats an operators' call until it succeeds.
    fn retry_call(
        &mut self,
        what: &str,
        mut call: impl FnMut(&mut Cluster) -> bool,
    ) -> Result<(), ClusterError> {
        let started_at = Instant::now();
        while !call(&mut self.cluster) {
            if started_at.elapsed() > CALL_RETRY_TIMEOUT {
                return Err(self.cluster.failed(format!("the call '{what}' does not succeed")));
            }
            std::thread::sleep(RETRY_DELAY);
        }
        Ok(())
    }

    /// Requests and retries, over connections that servers close when they are idle.
    fn run_requests(&mut self) -> Result<(), ClusterError> {
        self.wait_for_requests()?;
        self.cluster.set_conduct(0, &Conduct { turns_away: true, ..self.normal_conduct.clone() })?;
        self.cluster.set_conduct(2, &Conduct { errors: 0.5, ..self.normal_conduct.clone() })?;
        self.wait_for_requests()?;
        self.cluster.set_conduct(0, &self.normal_conduct)?;
        self.cluster.set_conduct(2, &self.normal_conduct)
    }

    /// Cordons a server for the rest of the scenario, and drains and resumes the sidecar.
    fn run_operator_calls(&mut self) -> Result<(), ClusterError> {
        self.retry_call("cordon", |cluster| cluster.call(0, OperatorCall::Cordon(1)))?;
        self.wait_for_requests()?;
        for (call, in_service) in [(OperatorCall::Quiesce, false), (OperatorCall::Resume, true)] {
            self.retry_call(&format!("{call:?}"), |cluster| cluster.call(0, call))?;
            if !self.cluster.wait_for_readiness(0, in_service, STATUS_TIMEOUT) {
                return Err(self
                    .cluster
                    .failed(format!("the sidecar does not report its new state after {call:?}")));
            }
        }
        self.wait_for_requests()
    }

    /// Drains a server and returns it to service; then a reload moves discovery to another address.
    fn drain_server_and_reload(&mut self) -> Result<(), ClusterError> {
        self.cluster.set_status(2, "leaving")?;
        self.wait_for_requests()?;
        self.cluster.set_status(2, "active")?;
        self.cluster.reload_sidecar(0)?;
        let started_at = Instant::now();
        if !until(|| self.cluster.discovery_is_contacted(0) || started_at.elapsed() > RELOAD_TIMEOUT)
            || !self.cluster.discovery_is_contacted(0)
        {
            return Err(self
                .cluster
                .failed("the reload had no effect: discovery is not queried at its new address".into()));
        }
        self.wait_for_requests()
    }

    /// Hands over to a new process, which inherits the state that operators have set.
    fn hand_over(&mut self) -> Result<(), ClusterError> {
        self.cluster.begin_hand_over(0)?;
        let started_at = Instant::now();
        while !self.cluster.hand_over_if_ready(0)? {
            if started_at.elapsed() > CALL_RETRY_TIMEOUT {
                return Err(self.cluster.failed("the new process is not ready in time".into()));
            }
            std::thread::sleep(RETRY_DELAY);
        }
        self.wait_for_requests()?;
        self.wait_for_exit("the old process", |cluster| cluster.old_process_ended(0))?;
        self.wait_for_requests()
    }

    /// Waits until a process that was told to stop has exited by itself.
    fn wait_for_exit(
        &mut self,
        what: &str,
        has_ended: impl Fn(&mut Cluster) -> Result<bool, ClusterError>,
    ) -> Result<(), ClusterError> {
        let started_at = Instant::now();
        while !has_ended(&mut self.cluster)? {
            if started_at.elapsed() > CLIENT_TIMEOUT + EXIT_GRACE {
                return Err(self.cluster.failed(format!("{what} did not exit in time")));
            }
            std::thread::sleep(RETRY_DELAY);
        }
        Ok(())
    }

    /// Checks the metrics, the log, the resources and the history, and that the process stops cleanly.
    fn finish(mut self, case: Option<&Case>) -> Result<CallCounts, ClusterError> {
        if !self.clients.stop_and_wait() {
            return Err(self.cluster.failed("requests of clients did not finish".into()));
        }
        let mut violations = None;
        // Repeated, as the fault may hit this call.
        self.retry_call("metrics", |cluster| {
            violations = cluster.violations(0);
            violations.is_some()
        })?;
        if violations.as_ref().is_none_or(|lines| !lines.is_empty()) {
            return Err(self
                .cluster
                .failed(format!("the sidecar has counted rule violations: {violations:?}")));
        }
        let log = self.cluster.sidecar_log(0);
        if let Some(line) = log.lines().find(|l| l.contains("rule broken") || l.contains("panicked")) {
            return Err(self.cluster.failed(format!("the sidecar logged: {line}")));
        }
        let (descriptors, memory_kb) = self.cluster.resource_usage(0)?;
        if descriptors > MAX_DESCRIPTORS || memory_kb > MAX_MEMORY_KB {
            return Err(self.cluster.failed(format!(
                "the sidecar holds {descriptors} descriptors and {memory_kb} kB at the end"
            )));
        }
        let calls = CallCounts(Call::ALL.iter().map(|call| self.cluster.system_calls(0, *call)).collect());
        self.cluster.terminate_sidecar(0)?;
        self.wait_for_exit("the process", |cluster| cluster.sidecar_has_stopped(0))?;
        let mut requests = self.clients.into_requests();
        if case.is_some_and(Case::ends_connections) {
            // The injected error ended these connections, not the sidecar.
            for request in requests.iter_mut().filter(|r| matches!(r.outcome, Outcome::Closed { .. })) {
                request.outcome = Outcome::ConnectFailed;
            }
        }
        self.cluster.finish_with_requests(requests)?;
        Ok(calls)
    }
}
