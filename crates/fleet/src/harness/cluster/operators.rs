//! Management calls of operators to sidecars, and the cordons that sidecars have acknowledged.

use super::super::check::Cordon;
use super::fake_services::is_ready;
use super::{Cluster, now_micros, until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a caller waits for the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A management call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Stop sending requests to this server.
    Cordon(usize),
    /// Use this server again.
    Uncordon(usize),
    /// Drain the sidecar, which takes it out of service.
    Quiesce,
    /// End that, and put the sidecar back into service.
    Resume,
}

impl OperatorCall {
    fn line(self) -> String {
        match self {
            Self::Cordon(server) => format!("cordon s-{server}"),
            Self::Uncordon(server) => format!("uncordon s-{server}"),
            Self::Quiesce => "quiesce".to_owned(),
            Self::Resume => "resume".to_owned(),
        }
    }
}

/// A call in progress.
pub struct PendingCall {
    /// The sidecar.
    pub sidecar: usize,
    /// The call.
    pub call: OperatorCall,
    started_at: i64,
    /// The thread that makes the call; returns the answer and when it was received.
    thread: JoinHandle<(Option<String>, i64)>,
}

impl PendingCall {
    /// Whether it was answered or has failed.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }
}

/// Whether the call succeeded.
fn is_ok(answer: &str) -> bool {
    answer.starts_with("OK")
}

/// Makes a call and returns the answer; `None` if there is none.
fn management_call(address: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

impl Cluster {
    /// Makes a management call to a sidecar and returns the answer; `None` if it failed or was not answered.
    pub fn manage(&self, sidecar: usize, call: &str) -> Option<String> {
        let answer = management_call(self.sidecars[sidecar].management, call)?;
        is_ok(&answer).then(|| answer.trim_start_matches("OK").trim().to_owned())
    }

    /// Begins a call that runs in the background.
    pub fn begin_call(&self, sidecar: usize, call: OperatorCall) -> PendingCall {
        let (address, line) = (self.sidecars[sidecar].management, call.line());
        let thread = std::thread::spawn(move || (management_call(address, &line), now_micros()));
        PendingCall { sidecar, call, started_at: now_micros(), thread }
    }

    /// Waits until a call is answered, and returns whether it succeeded. A cordon binds the sidecar from its
    /// acknowledgement on, and is recorded for the checker.
    pub fn end_call(&mut self, pending: PendingCall) -> bool {
        let PendingCall { sidecar, call, started_at, thread } = pending;
        let (answer, at) = thread.join().unwrap_or((None, started_at));
        let ok = answer.as_deref().is_some_and(is_ok);
        self.timeline.note(format!("sidecar {sidecar}: {}: {answer:?}", call.line()));
        match call {
            OperatorCall::Cordon(server) if ok => {
                self.history.cordons.push(Cordon { sidecar, server, span: (at, i64::MAX) });
            }
            // Requests to the server are allowed from the time of the call on, even without an answer, as the call may
            // have taken effect all the same.
            OperatorCall::Uncordon(server) => {
                self.end_cordons(started_at, |c| c.sidecar == sidecar && c.server == server);
            }
            _ => {}
        }
        ok
    }

    /// Makes a call and returns whether it succeeded.
    pub fn call(&mut self, sidecar: usize, call: OperatorCall) -> bool {
        let pending = self.begin_call(sidecar, call);
        self.end_call(pending)
    }

    fn end_cordons(&mut self, at: i64, matching: impl Fn(&Cordon) -> bool) {
        let open = self.history.cordons.iter_mut().filter(|c| c.span.1 == i64::MAX && matching(c));
        open.for_each(|c| c.span.1 = at);
    }

    /// Ends all cordons at a sidecar: they do not outlive its process.
    pub(super) fn end_cordons_of(&mut self, sidecar: usize) {
        self.end_cordons(now_micros(), |c| c.sidecar == sidecar);
    }

    /// Waits until a sidecar reports that it is in service, or out of service, and returns whether it did in that time.
    pub fn wait_for_readiness(&self, sidecar: usize, in_service: bool, within: Duration) -> bool {
        let start = std::time::Instant::now();
        let mut reported = false;
        until(|| {
            reported = is_ready(self.sidecars[sidecar].address) == in_service;
            reported || start.elapsed() > within
        });
        reported
    }

    /// The metrics of a sidecar; `None` if it does not answer.
    pub(super) fn metrics(&self, sidecar: usize) -> Option<String> {
        management_call(self.sidecars[sidecar].management, "metrics")
    }

    /// The lines of metrics in which a sidecar itself has counted violations of rules; `None` if it does not answer.
    pub fn violations(&self, sidecar: usize) -> Option<Vec<String>> {
        let metrics = self.metrics(sidecar)?;
        let violation = |line: &&str| {
            line.starts_with("lotusmoor_sidecar_rule_violations_total") && !line.ends_with(" 0")
        };
        Some(metrics.lines().filter(violation).map(str::to_owned).collect())
    }
}
