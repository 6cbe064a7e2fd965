//! Plays a plan on real processes and checks what all saw.

mod faults;

use super::extra_faults::{ProcessSignal, SeriesSignal};
use super::plan::{Fault, FaultWindow, Plan, SLOW_MS};
use crate::chance::mix;
use crate::harness::check::{Kind, cold_load};
use crate::harness::{
    Clients, Cluster, ClusterError, LeavingClients, LeavingGroup, OperatorCall, PendingCall, Strangers,
    Traffic, until,
};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// From one look at what is due to the next.
const TICK: Duration = Duration::from_millis(1);
/// After a sidecar was told to stop, for so long clients make new connections to it.
const CONNECTS: Duration = Duration::from_millis(300);
/// It is killed so long after the longest time that clients wait.
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// What is to be said to a server that is away is tried again after this.
const AGAIN: Duration = Duration::from_millis(50);
/// Requests go on so long after the last trouble.
const SETTLES: Duration = Duration::from_millis(800);
/// After the last trouble, all is well again within this.
const LONGEST_END: Duration = Duration::from_secs(30);
/// A new process can serve within this.
const SAYS_YES: Duration = Duration::from_secs(6);
/// Sets the ids of clients that leave with bodies apart from others.
const LEAVING_CLIENTS: u64 = 0x1ea5e5;
/// A sidecar that was just started may be told to reload after this.
const FIRST_SECOND: Duration = Duration::from_millis(1_100);

/// What was seen of a run in which no rule was broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunSummary {
    /// Requests.
    pub requests: usize,
    /// Those that were served.
    pub served: usize,
    /// Times that servers were asked.
    pub attempts: usize,
    /// Peers that were no clients.
    pub malformed_clients: usize,
    /// Clients that left with long bodies under way.
    pub aborted_uploads: usize,
    /// Signals that came in series.
    pub series_signals: usize,
    /// Log lines that sidecars dropped, as nobody read them.
    pub dropped_log_lines: u64,
    /// The most that a cold server was sent, as a part of what it bears; none where no server was cold.
    pub cold_load: Option<f64>,
}

/// Something that is to be done.
#[derive(Clone, Debug)]
enum Step {
    Begin(Fault),
    End(Fault),
    Bar(usize),
    EndSidecar(usize),
    EndOldProcess(usize),
    Signal(usize, ProcessSignal),
    Call(usize, OperatorCall),
}

/// A run under way.
struct Run<'a> {
    plan: &'a Plan,
    cluster: Cluster,
    clients: Clients,
    strangers: Strangers,
    leaving_clients: LeavingClients,
    series_signals: usize,
    /// What is to be done, and when.
    due: Vec<(Instant, Step)>,
    /// Sidecars that were started and do not serve yet.
    starting: Vec<usize>,
    /// When each sidecar's process last came up.
    up_since: Vec<Instant>,
    /// Since when discovery has said nothing.
    silent_since: Option<i64>,
    /// Servers that stand still or were killed, once for each reason.
    away: Vec<usize>,
    /// Sidecars of which a new process was started and can't serve yet, and since when.
    handing_over: Vec<(usize, Instant)>,
    /// Operators' calls that may not be answered yet.
    calls: Vec<PendingCall>,
    /// Sidecars that were told to drain, and not to serve again.
    drained: Vec<usize>,
}

/// Plays a plan; the failure says what was broken, with the timeline, the way of each request, and the logs.
pub fn run_plan(plan: &Plan) -> Result<RunSummary, ClusterError> {
    let cluster = Cluster::start(plan.shape())?;
    let clients = cluster.ask(&traffic(plan));
    let begun = Instant::now();
    let mut due = Vec::new();
    for FaultWindow { at_ms, lasts_ms, fault } in &plan.windows {
        let at = begun + Duration::from_millis(*at_ms);
        due.push((at, Step::Begin(fault.clone())));
        due.push((at + Duration::from_millis(*lasts_ms), Step::End(fault.clone())));
    }
    let up_since = vec![begun; plan.sidecars];
    let (strangers, starting) = (Strangers::default(), Vec::new());
    let mut run = Run {
        plan,
        cluster,
        clients,
        strangers,
        leaving_clients: LeavingClients::default(),
        series_signals: 0,
        due,
        starting,
        up_since,
        silent_since: None,
        away: Vec::new(),
        handing_over: Vec::new(),
        calls: Vec::new(),
        drained: Vec::new(),
    };
    let ends = begun + Duration::from_millis(plan.ends_ms());
    while !run.due.is_empty()
        || !run.starting.is_empty()
        || !run.handing_over.is_empty()
        || !run.calls.is_empty()
        || Instant::now() < ends + SETTLES
    {
        run.turn()?;
        if Instant::now() > ends + LONGEST_END {
            let open = (&run.due, &run.starting, &run.handing_over, run.calls.len());
            return Err(run.cluster.failed(format!("the run never ends: {open:?}")));
        }
        sleep(TICK);
    }
    run.finish()
}

fn traffic(plan: &Plan) -> Traffic {
    let wait = Duration::from_millis(plan.client_timeout_ms);
    let keyed = Kind::Keyed { window: plan.dedup_window_ms * 1000 };
    let classes = vec![
        ("look".into(), Kind::Safe, wait, 0.5),
        ("pay".into(), keyed, wait, 0.3),
        ("book".into(), Kind::Unsafe, wait, 0.2),
    ];
    Traffic {
        rate: plan.rate,
        classes,
        leaving: plan.early_close_share,
        bodies: plan.body_share,
        seed: plan.seed,
    }
}

impl Run<'_> {
    /// Does what is due by now.
    fn turn(&mut self) -> Result<(), ClusterError> {
        let now = Instant::now();
        self.due.sort_by_key(|(at, _)| *at);
        while self.due.first().is_some_and(|(at, _)| *at <= now) {
            let (_, step) = self.due.remove(0);
            if self.waits_for_server(&step) {
                self.due.push((now + AGAIN, step));
                continue;
            }
            match step {
                Step::Begin(fault) => self.begin(&fault)?,
                Step::End(fault) => self.end(&fault)?,
                Step::Bar(sidecar) => self.clients.bar(sidecar, true),
                Step::EndSidecar(sidecar) => {
                    self.cluster.end_sidecar(sidecar)?;
                    self.start(sidecar)?;
                }
                Step::EndOldProcess(sidecar) => self.cluster.end_old_process(sidecar)?,
                Step::Signal(sidecar, signal) => self.signal(sidecar, signal)?,
                // One after the other, as operators make them.
                Step::Call(sidecar, _) if self.calls.iter().any(|c| c.sidecar == sidecar) => {
                    self.due.push((now + AGAIN, step));
                }
                Step::Call(sidecar, call) => self.calls.push(self.cluster.begin_call(sidecar, call)),
            }
        }
        self.finish_calls();
        self.finish_hand_overs()?;
        let mut still = Vec::new();
        for sidecar in std::mem::take(&mut self.starting) {
            if self.cluster.came_up(sidecar)? {
                self.clients.bar(sidecar, false);
                self.up_since[sidecar] = Instant::now();
            } else {
                still.push(sidecar);
            }
        }
        self.starting = still;
        Ok(())
    }

    /// Hears what operators were answered. What ends something is called until it is answered well.
    fn finish_calls(&mut self) {
        let (over, open) = std::mem::take(&mut self.calls).into_iter().partition(PendingCall::is_over);
        self.calls = open;
        for pending in over {
            let (sidecar, call) = (pending.sidecar, pending.call);
            let again = matches!(call, OperatorCall::Uncordon(_) | OperatorCall::Resume);
            if !self.cluster.end_call(pending) && again {
                self.due.push((Instant::now() + AGAIN, Step::Call(sidecar, call)));
            }
        }
    }

    /// Where a new process can serve by now, the one before it has been told to stop, and has its time for that.
    fn finish_hand_overs(&mut self) -> Result<(), ClusterError> {
        let mut still = Vec::new();
        for (sidecar, since) in std::mem::take(&mut self.handing_over) {
            if self.cluster.handed_over(sidecar)? {
                let now = Instant::now();
                self.up_since[sidecar] = now;
                self.due.push((now + self.longest() + KILLED_AFTER, Step::EndOldProcess(sidecar)));
            } else if since.elapsed() > SAYS_YES {
                let said = format!("the new process of sidecar {sidecar} can't serve after {SAYS_YES:?}");
                return Err(self.cluster.failed(said));
            } else {
                still.push((sidecar, since));
            }
        }
        self.handing_over = still;
        Ok(())
    }

    /// The longest that clients wait, as a stop counts it.
    fn longest(&self) -> Duration {
        Duration::from_millis(self.plan.client_timeout_ms).min(Duration::from_secs(3))
    }

    /// One reason for which a server was away is over.
    fn is_back(&mut self, server: usize) {
        if let Some(at) = self.away.iter().position(|away| *away == server) {
            self.away.swap_remove(at);
        }
    }

    /// Whether a step speaks to a server that is away.
    fn waits_for_server(&self, step: &Step) -> bool {
        let (Step::Begin(fault) | Step::End(fault)) = step else { return false };
        matches!(fault, Fault::Misbehaves { server, .. } if self.away.contains(server))
    }

    fn start(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.cluster.start_sidecar_for_now(sidecar)?;
        self.starting.push(sidecar);
        Ok(())
    }

    /// Whether a sidecar has been up for long enough to be signalled.
    fn is_up(&self, sidecar: usize) -> bool {
        let stopping = |(_, step): &(Instant, Step)| match step {
            Step::EndSidecar(s) | Step::EndOldProcess(s) | Step::Call(s, OperatorCall::Resume) => {
                *s == sidecar
            }
            _ => false,
        };
        !self.starting.contains(&sidecar)
            && !self.handing_over.iter().any(|(s, _)| *s == sidecar)
            && !self.due.iter().any(stopping)
            && self.cluster.sidecar_pid(sidecar).is_some()
            && self.up_since[sidecar].elapsed() > FIRST_SECOND
    }

    fn stop(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        if !self.is_up(sidecar) {
            return Ok(());
        }
        self.cluster.tell_sidecar_to_stop(sidecar)?;
        self.end_after_stop(sidecar);
        Ok(())
    }

    /// One signal of a series. The first one to stop begins the stop; what comes after it has to change nothing.
    fn signal(&mut self, sidecar: usize, signal: ProcessSignal) -> Result<(), ClusterError> {
        if self.cluster.sidecar_pid(sidecar).is_none() {
            return Ok(());
        }
        self.series_signals += 1;
        match signal {
            ProcessSignal::Hangup => return self.cluster.reload_sidecar(sidecar),
            ProcessSignal::Terminate => self.cluster.tell_sidecar_to_stop(sidecar)?,
            ProcessSignal::Interrupt => self.cluster.interrupt_sidecar(sidecar)?,
        }
        let ends = |(_, step): &(Instant, Step)| matches!(step, Step::EndSidecar(s) if *s == sidecar);
        if !self.due.iter().any(ends) {
            self.end_after_stop(sidecar);
        }
        Ok(())
    }

    fn begin_series(&mut self, sidecar: usize, signals: &[SeriesSignal]) {
        if !self.is_up(sidecar) {
            return;
        }
        let now = Instant::now();
        let step = |signal: &SeriesSignal| {
            (now + Duration::from_millis(signal.after_ms), Step::Signal(sidecar, signal.signal))
        };
        self.due.extend(signals.iter().map(step));
    }

    fn leave(&mut self, sidecar: usize, count: usize) {
        let (runtime, at) = self.cluster.way_to(sidecar);
        let wait = Duration::from_millis(self.plan.client_timeout_ms);
        let seed = mix(self.plan.seed ^ mix(LEAVING_CLIENTS ^ sidecar as u64));
        self.leaving_clients.visit(&runtime, LeavingGroup { sidecar, at, count, wait, seed });
    }

    /// What comes of a sidecar that was told to stop.
    fn end_after_stop(&mut self, sidecar: usize) {
        let now = Instant::now();
        self.due.push((now + CONNECTS, Step::Bar(sidecar)));
        self.due.push((now + self.longest() + KILLED_AFTER, Step::EndSidecar(sidecar)));
    }

    fn tell(&mut self, sidecar: usize, call: OperatorCall) {
        self.due.push((Instant::now(), Step::Call(sidecar, call)));
    }

    /// All is well again: what everyone saw is read and checked.
    fn finish(mut self) -> Result<RunSummary, ClusterError> {
        for sidecar in 0..self.plan.sidecars {
            self.cluster.mend_calls(sidecar)?;
        }
        let (runtime, _) = self.cluster.way_to(0);
        let strangers = self.strangers.finish(&runtime);
        let left = self.leaving_clients.finish(&runtime);
        let served = self.clients.over();
        // With all troubles over, what is asked is answered.
        if !until(|| self.clients.over() > served + self.plan.sidecars) {
            return Err(self.cluster.failed("requests stand still after the troubles".into()));
        }
        for sidecar in 0..self.plan.sidecars {
            let counted = self.cluster.violations(sidecar);
            if counted.as_ref().is_none_or(|lines| !lines.is_empty()) {
                return Err(self.cluster.failed(format!("sidecar {sidecar} has counted {counted:?}")));
            }
            let said = self.cluster.sidecar_said(sidecar);
            if let Some(line) = said.lines().find(|l| l.contains("rule broken") || l.contains("panicked")) {
                return Err(self.cluster.failed(format!("sidecar {sidecar} said: {line}")));
            }
        }
        let dropped = (0..self.plan.sidecars).filter_map(|sidecar| self.cluster.dropped_log_lines(sidecar));
        let dropped_log_lines = dropped.sum();
        let aborted_uploads = left.len();
        let visits = strangers.len();
        let slow = i64::try_from(1000 * SLOW_MS).unwrap_or(0);
        let history = self.cluster.finish_soak(self.clients, left, strangers, slow)?;
        Ok(RunSummary {
            requests: history.asks.len(),
            served: history.asks.iter().filter(|a| a.is_served()).count(),
            attempts: history.attempts.len(),
            malformed_clients: visits,
            aborted_uploads,
            series_signals: self.series_signals,
            dropped_log_lines,
            cold_load: cold_load(&history),
        })
    }
}
