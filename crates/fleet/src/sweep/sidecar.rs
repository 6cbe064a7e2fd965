//! The life that is played: a start, requests of each effect under a steady load, retries, idle closes, operators' calls,
//! a drain of a server, a reload, a hand-over to a new process, a stop.

use super::Case;
use crate::harness::check::{Came, Kind};
use crate::harness::ledger::Conduct;
use crate::harness::{Clients, Cluster, ClusterError, OperatorCall, Shape, Traffic, until};
use lotusmoor_faults::Call;
use std::time::{Duration, Instant};

/// How long clients wait.
const WAIT: Duration = Duration::from_secs(2);
/// Requests a second.
const RATE: f64 = 60.0;
/// What this machine may add to a rule's figure, in microseconds.
const SLACK_US: i64 = 400_000;
/// Requests between two steps.
const BETWEEN: usize = 8;
/// A call that operators make is repeated until it is answered well, for no longer than this.
const CALLS_AGAIN: Duration = Duration::from_secs(4);
const CALL_PAUSE: Duration = Duration::from_millis(50);
/// A sidecar says whether it is in service no later than this after it was told.
const SAYS_SO: Duration = Duration::from_secs(2);
/// Discovery is asked at its new address no later than this after a reload.
const ASKED_ANEW: Duration = Duration::from_secs(4);
/// A process that was told to stop ends on its own within the longest deadline and this.
const ENDS_AFTER: Duration = Duration::from_millis(700);
/// Descriptors that a process may hold at the end: those of its runtime and its listeners, and of idle connections.
const MOST_DESCRIPTORS: usize = 60;
/// The same of memory, in kB.
const MOST_MEMORY_KB: u64 = 32 << 10;

/// Calls of each kind, in the order of [`Call::ALL`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallCounts(pub Vec<u64>);

/// Plays the life; with a case, that call fails. Gives the calls that were made.
pub fn run_sidecar_scenario(case: Option<&Case>, seed: u64) -> Result<CallCounts, ClusterError> {
    let mut shape = Shape::plain(1, 3, 0, seed);
    shape.faults = true;
    shape.passed = true;
    shape.slack = SLACK_US;
    shape.fails = case.map(Case::rule).into_iter().collect();
    let usual = Conduct { work_us: 2_000, idle_us: 30_000, ..Conduct::default() };
    shape.conduct = usual.clone();
    let cluster = Cluster::start(shape)?;
    let clients = cluster.ask(&traffic(seed));
    let mut scenario = SidecarScenario { cluster, clients, usual };
    scenario.requests()?;
    scenario.operators()?;
    scenario.list_and_reload()?;
    scenario.hand_over()?;
    scenario.end(case)
}

fn traffic(seed: u64) -> Traffic {
    let keyed = Kind::Keyed { window: 7_500_000 };
    let classes = vec![
        ("look".into(), Kind::Safe, WAIT, 0.4),
        ("pay".into(), keyed, WAIT, 0.3),
        ("book".into(), Kind::Unsafe, WAIT, 0.3),
    ];
    Traffic { rate: RATE, classes, leaving: 0.05, bodies: 0.2, seed }
}

struct SidecarScenario {
    cluster: Cluster,
    clients: Clients,
    usual: Conduct,
}

impl SidecarScenario {
    fn more(&self) -> Result<(), ClusterError> {
        let before = self.clients.over();
        self.cluster.wait("more is asked", || self.clients.over() >= before + BETWEEN)
    }

    /// Makes an operators' call until it is answered well.
    fn call(&mut self, what: &str, mut call: impl FnMut(&mut Cluster) -> bool) -> Result<(), ClusterError> {
        let began = Instant::now();
        while !call(&mut self.cluster) {
            if began.elapsed() > CALLS_AGAIN {
                return Err(self.cluster.failed(format!("the call '{what}' is never answered well")));
            }
            std::thread::sleep(CALL_PAUSE);
        }
        Ok(())
    }

    /// Requests and retries, over connections that servers close when they are idle.
    fn requests(&mut self) -> Result<(), ClusterError> {
        self.more()?;
        self.cluster.set_conduct(0, &Conduct { turns_away: true, ..self.usual.clone() })?;
        self.cluster.set_conduct(2, &Conduct { errors: 0.5, ..self.usual.clone() })?;
        self.more()?;
        self.cluster.set_conduct(0, &self.usual)?;
        self.cluster.set_conduct(2, &self.usual)
    }

    /// A server is taken out, and stays so; the sidecar is drained and serves again.
    fn operators(&mut self) -> Result<(), ClusterError> {
        self.call("cordon", |cluster| cluster.call(0, OperatorCall::Cordon(1)))?;
        self.more()?;
        for (call, in_service) in [(OperatorCall::Quiesce, false), (OperatorCall::Resume, true)] {
            self.call(&format!("{call:?}"), |cluster| cluster.call(0, call))?;
            if !self.cluster.comes_to_say(0, in_service, SAYS_SO) {
                return Err(self.cluster.failed(format!("told to {call:?}, it does not say so")));
            }
        }
        self.more()
    }

    /// A server drains and comes back; discovery moves.
    fn list_and_reload(&mut self) -> Result<(), ClusterError> {
        self.cluster.set_status(2, "leaving")?;
        self.more()?;
        self.cluster.set_status(2, "active")?;
        self.cluster.reload_sidecar(0)?;
        let began = Instant::now();
        if !until(|| self.cluster.discovery_is_asked(0) || began.elapsed() > ASKED_ANEW)
            || !self.cluster.discovery_is_asked(0)
        {
            return Err(self.cluster.failed("the reload is not followed".into()));
        }
        self.more()
    }

    /// A new process takes over, and knows what operators have said.
    fn hand_over(&mut self) -> Result<(), ClusterError> {
        self.cluster.begin_hand_over(0)?;
        let began = Instant::now();
        while !self.cluster.handed_over(0)? {
            if began.elapsed() > CALLS_AGAIN {
                return Err(self.cluster.failed("the new process can never serve".into()));
            }
            std::thread::sleep(CALL_PAUSE);
        }
        self.more()?;
        self.ends("the old process", |cluster| cluster.old_process_ended(0))?;
        self.more()
    }

    /// What was told to stop ends by itself, in time.
    fn ends(
        &mut self,
        what: &str,
        ended: impl Fn(&mut Cluster) -> Result<bool, ClusterError>,
    ) -> Result<(), ClusterError> {
        let began = Instant::now();
        while !ended(&mut self.cluster)? {
            if began.elapsed() > WAIT + ENDS_AFTER {
                return Err(self.cluster.failed(format!("{what} does not end")));
            }
            std::thread::sleep(CALL_PAUSE);
        }
        Ok(())
    }

    /// Everything is over: what all saw is checked, and the process ends as it is told.
    fn end(mut self, case: Option<&Case>) -> Result<CallCounts, ClusterError> {
        if !self.clients.settle() {
            return Err(self.cluster.failed("clients' requests never ended".into()));
        }
        let mut counted = None;
        // The fault may begin with one of these calls.
        self.call("metrics", |cluster| {
            counted = cluster.violations(0);
            counted.is_some()
        })?;
        if counted.as_ref().is_none_or(|lines| !lines.is_empty()) {
            return Err(self.cluster.failed(format!("the sidecar has counted {counted:?}")));
        }
        let said = self.cluster.sidecar_said(0);
        if let Some(line) = said.lines().find(|l| l.contains("rule broken") || l.contains("panicked")) {
            return Err(self.cluster.failed(format!("the sidecar said: {line}")));
        }
        let (descriptors, memory_kb) = self.cluster.held_by(0)?;
        if descriptors > MOST_DESCRIPTORS || memory_kb > MOST_MEMORY_KB {
            return Err(self
                .cluster
                .failed(format!("it holds {descriptors} descriptors and {memory_kb} kB")));
        }
        let calls = CallCounts(Call::ALL.iter().map(|call| self.cluster.calls(0, *call)).collect());
        self.cluster.tell_sidecar_to_stop(0)?;
        self.ends("the process", |cluster| cluster.sidecar_ended_well(0))?;
        let mut asks = self.clients.finish_early();
        if case.is_some_and(Case::ends_connections) {
            // The network ended them, not the sidecar.
            for ask in asks.iter_mut().filter(|ask| matches!(ask.came, Came::Closed { .. })) {
                ask.came = Came::Unreached;
            }
        }
        self.cluster.finish_asked(asks)?;
        Ok(calls)
    }
}
