//! Runs a plan on real processes and checks the history.

mod faults;

use super::extra_faults::{ProcessSignal, SeriesSignal};
use super::plan::{Fault, FaultWindow, Plan, SLOW_LINK_DELAY_MS};
use crate::chance::mix;
use crate::harness::check::{Idempotency, latest_answer, peak_slow_start_load};
use crate::harness::{
    Clients, Cluster, ClusterError, DisconnectingClients, DisconnectingGroup, MalformedClients, OperatorCall,
    OverloadClients, PendingCall, SlowClients, Traffic, peak_memory_kb, until,
};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often due steps are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// How long clients open new connections to a sidecar after it was told to stop.
const NEW_CONNECTIONS_AFTER_STOP: Duration = Duration::from_millis(300);
/// How long after the longest client timeout a process that was told to stop is killed.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The delay before a step that could not be done is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long requests go on after the last fault.
const SETTLE_TIME: Duration = Duration::from_millis(800);
/// The time within which the fleet has to recover after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// The time within which a new process has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Mixed into the seed of clients that abort uploads, so that their ids differ from those of other clients.
const ABORTED_UPLOADS_SEED: u64 = 0x1ea5e5;
/// Mixed into the seed of slow clients, for the same reason.
const SLOW_CLIENTS_SEED: u64 = 0x510;
/// Mixed into the seed of clients that take more than their share, for the same reason.
const OVERLOAD_SEED: u64 = 0x0fe7;
/// How long a sidecar must have been up before it is signalled, made to reload, stopped or replaced: a little longer
/// than its first second.
const MIN_UPTIME: Duration = Duration::from_millis(1_100);

/// The summary of a run in which no rule was broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunSummary {
    /// Requests of clients.
    pub requests: usize,
    /// Requests that were served.
    pub served: usize,
    /// Attempts that servers received.
    pub attempts: usize,
    /// Malformed clients that connected.
    pub malformed_clients: usize,
    /// Uploads that clients aborted.
    pub aborted_uploads: usize,
    /// Requests of clients that took more than their share.
    pub overload_requests: usize,
    /// The largest resident memory of a sidecar, in kB.
    pub peak_memory_kb: u64,
    /// By how much the latest answer came after its client's time, in microseconds; negative if all came before. Answers
    /// of sidecars that were paused or down are left out.
    pub latest_answer_us: i64,
    /// Slow clients whose requests were taken, or answered before they were complete.
    pub slow_clients: usize,
    /// Signals that were sent in series.
    pub series_signals: usize,
    /// Log lines that sidecars dropped, as nobody read them.
    pub dropped_log_lines: u64,
    /// The highest load of a server that was warming up, as a fraction of its limit; `None` if no server was.
    pub cold_load: Option<f64>,
}

/// An action of a run.
#[derive(Clone, Debug)]
enum Step {
    Begin(Fault),
    End(Fault),
    BlockClients(usize),
    RestartSidecar(usize),
    EndOldProcess(usize),
    Signal(usize, ProcessSignal),
    Call(usize, OperatorCall),
}

/// A run under way.
struct Run<'a> {
    plan: &'a Plan,
    cluster: Cluster,
    clients: Clients,
    malformed_clients: MalformedClients,
    aborted_uploads: DisconnectingClients,
    slow_clients: SlowClients,
    overload_clients: OverloadClients,
    /// The largest resident memory of each sidecar's processes so far, in kB.
    peak_memory_kb: Vec<u64>,
    series_signals: usize,
    /// Steps that are not done yet, and when they are due.
    due_steps: Vec<(Instant, Step)>,
    /// Sidecars that were started and are not ready yet.
    starting: Vec<usize>,
    /// When each sidecar's process last became ready.
    up_since: Vec<Instant>,
    /// Since when discovery has not answered; `None` if it does.
    discovery_down_since: Option<i64>,
    /// Servers that are paused or were killed, once for each of these faults.
    unavailable_servers: Vec<usize>,
    /// Sidecars whose new process is not ready yet, and when it was started.
    handing_over: Vec<(usize, Instant)>,
    /// Operators' calls whose result was not collected yet.
    pending_calls: Vec<PendingCall>,
    /// Sidecars that were told to drain, and not yet to resume.
    drained_sidecars: Vec<usize>,
}

/// Runs a plan. A failure names the broken rules, with the timeline, the trace of each request, and the logs.
pub fn run_plan(plan: &Plan) -> Result<RunSummary, ClusterError> {
    let cluster = Cluster::start(plan.cluster_config())?;
    let clients = cluster.start_clients(&traffic(plan));
    let started_at = Instant::now();
    let mut due_steps = Vec::new();
    for FaultWindow { at_ms, lasts_ms, fault } in &plan.windows {
        let at = started_at + Duration::from_millis(*at_ms);
        due_steps.push((at, Step::Begin(fault.clone())));
        due_steps.push((at + Duration::from_millis(*lasts_ms), Step::End(fault.clone())));
    }
    let up_since = vec![started_at; plan.sidecars];
    let (malformed_clients, starting) = (MalformedClients::default(), Vec::new());
    let mut run = Run {
        plan,
        cluster,
        clients,
        malformed_clients,
        aborted_uploads: DisconnectingClients::default(),
        slow_clients: SlowClients::default(),
        overload_clients: OverloadClients::default(),
        peak_memory_kb: vec![0; plan.sidecars],
        series_signals: 0,
        due_steps,
        starting,
        up_since,
        discovery_down_since: None,
        unavailable_servers: Vec::new(),
        handing_over: Vec::new(),
        pending_calls: Vec::new(),
        drained_sidecars: Vec::new(),
    };
    let ends_at = started_at + Duration::from_millis(plan.ends_ms());
    while !run.due_steps.is_empty()
        || !run.starting.is_empty()
        || !run.handing_over.is_empty()
        || !run.pending_calls.is_empty()
        || Instant::now() < ends_at + SETTLE_TIME
    {
        run.run_due_steps()?;
        run.check_memory()?;
        if Instant::now() > ends_at + RECOVERY_TIMEOUT {
            let unfinished = (&run.due_steps, &run.starting, &run.handing_over, run.pending_calls.len());
            return Err(run.cluster.failed(format!("the run did not finish in time: {unfinished:?}")));
        }
        sleep(POLL_INTERVAL);
    }
    run.finish()
}

fn traffic(plan: &Plan) -> Traffic {
    let wait = Duration::from_millis(plan.client_timeout_ms);
    let keyed = Idempotency::Keyed { window: plan.dedup_window_ms * 1000 };
    let classes = vec![
        ("look".into(), Idempotency::Idempotent, wait, 0.5),
        ("pay".into(), keyed, wait, 0.3),
        ("book".into(), Idempotency::NonIdempotent, wait, 0.2),
    ];
    Traffic {
        rate: plan.rate,
        classes,
        disconnect_share: plan.early_close_share,
        body_share: plan.body_share,
        seed: plan.seed,
    }
}

impl Run<'_> {
    /// Fails if a sidecar's process holds more memory than its limit.
    fn check_memory(&mut self) -> Result<(), ClusterError> {
        for sidecar in 0..self.plan.sidecars {
            let Some(peak_kb) = self.cluster.sidecar_pid(sidecar).and_then(peak_memory_kb) else { continue };
            let peak = &mut self.peak_memory_kb[sidecar];
            *peak = peak_kb.max(*peak);
            if peak_kb > self.plan.memory_mb << 10 {
                let limit = self.plan.memory_mb << 10;
                let message =
                    format!("sidecar {sidecar} held {peak_kb} kB of memory, its limit is {limit} kB");
                return Err(self.cluster.failed(message));
            }
        }
        Ok(())
    }

    /// Runs the steps that are due, and collects what has finished.
    fn run_due_steps(&mut self) -> Result<(), ClusterError> {
        let now = Instant::now();
        self.due_steps.sort_by_key(|(at, _)| *at);
        while self.due_steps.first().is_some_and(|(at, _)| *at <= now) {
            let (_, step) = self.due_steps.remove(0);
            if self.needs_unavailable_server(&step) {
                self.due_steps.push((now + RETRY_DELAY, step));
                continue;
            }
            match step {
                Step::Begin(fault) => self.begin(&fault)?,
                Step::End(fault) => self.end(&fault)?,
                Step::BlockClients(sidecar) => self.clients.block_connections(sidecar, true),
                Step::RestartSidecar(sidecar) => {
                    self.cluster.end_sidecar(sidecar)?;
                    self.start_sidecar(sidecar)?;
                }
                Step::EndOldProcess(sidecar) => self.cluster.end_old_process(sidecar)?,
                Step::Signal(sidecar, signal) => self.signal(sidecar, signal)?,
                // One at a time for each sidecar, as operators make them.
                Step::Call(sidecar, _) if self.pending_calls.iter().any(|c| c.sidecar == sidecar) => {
                    self.due_steps.push((now + RETRY_DELAY, step));
                }
                Step::Call(sidecar, call) => self.pending_calls.push(self.cluster.begin_call(sidecar, call)),
            }
        }
        self.finish_operator_calls();
        self.finish_hand_overs()?;
        let mut still_pending = Vec::new();
        for sidecar in std::mem::take(&mut self.starting) {
            if self.cluster.sidecar_is_ready(sidecar)? {
                self.clients.block_connections(sidecar, false);
                self.up_since[sidecar] = Instant::now();
            } else {
                still_pending.push(sidecar);
            }
        }
        self.starting = still_pending;
        Ok(())
    }

    /// Collects the results of operators' calls. Calls that end an operation (uncordon, resume) are repeated until they
    /// succeed.
    fn finish_operator_calls(&mut self) {
        let (finished, unfinished) =
            std::mem::take(&mut self.pending_calls).into_iter().partition(PendingCall::is_finished);
        self.pending_calls = unfinished;
        for pending in finished {
            let (sidecar, call) = (pending.sidecar, pending.call);
            let retries = matches!(call, OperatorCall::Uncordon(_) | OperatorCall::Resume);
            if !self.cluster.end_call(pending) && retries {
                self.due_steps.push((Instant::now() + RETRY_DELAY, Step::Call(sidecar, call)));
            }
        }
    }

    /// Completes the hand-overs whose new process is ready: the old one has been told to stop, and is killed if it
    /// takes too long.
    fn finish_hand_overs(&mut self) -> Result<(), ClusterError> {
        let mut still_pending = Vec::new();
        for (sidecar, since) in std::mem::take(&mut self.handing_over) {
            if self.cluster.hand_over_if_ready(sidecar)? {
                let now = Instant::now();
                self.up_since[sidecar] = now;
                self.due_steps.push((now + self.longest_wait() + KILL_GRACE, Step::EndOldProcess(sidecar)));
            } else if since.elapsed() > READY_TIMEOUT {
                let message =
                    format!("the new process of sidecar {sidecar} is not ready after {READY_TIMEOUT:?}");
                return Err(self.cluster.failed(message));
            } else {
                still_pending.push((sidecar, since));
            }
        }
        self.handing_over = still_pending;
        Ok(())
    }

    /// The client timeout, capped as in the shutdown of a sidecar.
    fn longest_wait(&self) -> Duration {
        Duration::from_millis(self.plan.client_timeout_ms).min(Duration::from_secs(3))
    }

    /// Notes the end of one fault that made a server unavailable.
    fn mark_available(&mut self, server: usize) {
        if let Some(at) = self.unavailable_servers.iter().position(|unavailable| *unavailable == server) {
            self.unavailable_servers.swap_remove(at);
        }
    }

    /// Whether a step needs a server that is unavailable.
    fn needs_unavailable_server(&self, step: &Step) -> bool {
        let (Step::Begin(fault) | Step::End(fault)) = step else { return false };
        matches!(fault, Fault::Misbehaves { server, .. } if self.unavailable_servers.contains(server))
    }

    fn start_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.cluster.begin_sidecar_start(sidecar)?;
        self.starting.push(sidecar);
        Ok(())
    }

    /// Whether a sidecar has been up for long enough to be signalled.
    fn is_up(&self, sidecar: usize) -> bool {
        let stopping = |(_, step): &(Instant, Step)| match step {
            Step::RestartSidecar(s) | Step::EndOldProcess(s) | Step::Call(s, OperatorCall::Resume) => {
                *s == sidecar
            }
            _ => false,
        };
        !self.starting.contains(&sidecar)
            && !self.handing_over.iter().any(|(s, _)| *s == sidecar)
            && !self.due_steps.iter().any(stopping)
            && self.cluster.sidecar_pid(sidecar).is_some()
            && self.up_since[sidecar].elapsed() > MIN_UPTIME
    }

    fn stop_sidecar(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        if !self.is_up(sidecar) {
            return Ok(());
        }
        self.cluster.terminate_sidecar(sidecar)?;
        self.schedule_restart(sidecar);
        Ok(())
    }

    /// Sends one signal of a series. The first one that stops the sidecar schedules its restart; those after it must
    /// have no further effect.
    fn signal(&mut self, sidecar: usize, signal: ProcessSignal) -> Result<(), ClusterError> {
        if self.cluster.sidecar_pid(sidecar).is_none() {
            return Ok(());
        }
        self.series_signals += 1;
        match signal {
            ProcessSignal::Hangup => return self.cluster.reload_sidecar(sidecar),
            ProcessSignal::Terminate => self.cluster.terminate_sidecar(sidecar)?,
            ProcessSignal::Interrupt => self.cluster.interrupt_sidecar(sidecar)?,
        }
        let restarts = |(_, step): &(Instant, Step)| matches!(step, Step::RestartSidecar(s) if *s == sidecar);
        if !self.due_steps.iter().any(restarts) {
            self.schedule_restart(sidecar);
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
        self.due_steps.extend(signals.iter().map(step));
    }

    fn abort_uploads(&mut self, sidecar: usize, count: usize) {
        let (runtime, at) = self.cluster.runtime_and_address(sidecar);
        let wait = Duration::from_millis(self.plan.client_timeout_ms);
        let seed = mix(self.plan.seed ^ mix(ABORTED_UPLOADS_SEED ^ sidecar as u64));
        self.aborted_uploads.connect(&runtime, DisconnectingGroup { sidecar, at, count, wait, seed });
    }

    /// Schedules what follows after a sidecar was told to stop: clients are blocked, and it is killed and started
    /// again.
    fn schedule_restart(&mut self, sidecar: usize) {
        let now = Instant::now();
        self.due_steps.push((now + NEW_CONNECTIONS_AFTER_STOP, Step::BlockClients(sidecar)));
        self.due_steps.push((now + self.longest_wait() + KILL_GRACE, Step::RestartSidecar(sidecar)));
    }

    fn schedule_call(&mut self, sidecar: usize, call: OperatorCall) {
        self.due_steps.push((Instant::now(), Step::Call(sidecar, call)));
    }

    /// Ends the run after recovery, and checks the history.
    fn finish(mut self) -> Result<RunSummary, ClusterError> {
        for sidecar in 0..self.plan.sidecars {
            self.cluster.clear_call_faults(sidecar)?;
        }
        let (runtime, _) = self.cluster.runtime_and_address(0);
        let malformed_clients = self.malformed_clients.finish(&runtime);
        let mut others = self.aborted_uploads.finish(&runtime);
        let aborted_uploads = others.len();
        let slow = self.slow_clients.finish(&runtime);
        let slow_clients = slow.len();
        others.extend(slow);
        let overload = self.overload_clients.finish(&runtime);
        let overload_requests = overload.len();
        others.extend(overload);
        let served = self.clients.finished_count();
        // After the last fault, requests are served again.
        if !until(|| self.clients.finished_count() > served + self.plan.sidecars) {
            return Err(self.cluster.failed("no requests finish after the last fault".into()));
        }
        for sidecar in 0..self.plan.sidecars {
            let counted = self.cluster.violations(sidecar);
            if counted.as_ref().is_none_or(|lines| !lines.is_empty()) {
                return Err(self.cluster.failed(format!(
                    "sidecar {sidecar} has counted rule violations, or has no metrics: {counted:?}"
                )));
            }
            let log = self.cluster.sidecar_log(sidecar);
            if let Some(line) = log.lines().find(|l| l.contains("rule broken") || l.contains("panicked")) {
                return Err(self.cluster.failed(format!("sidecar {sidecar} logged: {line}")));
            }
        }
        let dropped = (0..self.plan.sidecars).filter_map(|sidecar| self.cluster.dropped_log_lines(sidecar));
        let dropped_log_lines = dropped.sum();
        let malformed_count = malformed_clients.len();
        let link_delay = i64::try_from(1000 * SLOW_LINK_DELAY_MS).unwrap_or(0);
        let history = self.cluster.finish_soak(self.clients, others, malformed_clients, link_delay)?;
        Ok(RunSummary {
            requests: history.requests.len(),
            served: history.requests.iter().filter(|a| a.is_served()).count(),
            attempts: history.attempts.len(),
            malformed_clients: malformed_count,
            aborted_uploads,
            overload_requests,
            peak_memory_kb: self.peak_memory_kb.iter().copied().max().unwrap_or(0),
            latest_answer_us: latest_answer(&history).unwrap_or(0),
            slow_clients,
            series_signals: self.series_signals,
            dropped_log_lines,
            cold_load: peak_slow_start_load(&history),
        })
    }
}
