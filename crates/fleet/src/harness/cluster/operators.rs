//! What operators tell sidecars, and what they have been promised.

use super::super::check::Cordon;
use super::fake_services::ready;
use super::{Cluster, now_micros, until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// What operators tell a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Take that server out.
    Cordon(usize),
    /// Give it back.
    Uncordon(usize),
    /// Empty the sidecar.
    Quiesce,
    /// End of that.
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

/// A call that was made and may not be answered yet.
pub struct PendingCall {
    /// The sidecar.
    pub sidecar: usize,
    /// What it was told.
    pub call: OperatorCall,
    asked: i64,
    /// The answer, and when it had come.
    caller: JoinHandle<(Option<String>, i64)>,
}

impl PendingCall {
    /// Whether it is answered, or was given up.
    pub fn is_finished(&self) -> bool {
        self.caller.is_finished()
    }
}

/// Whether an answer is a yes.
fn is_yes(answer: &str) -> bool {
    answer.starts_with("OK")
}

/// Makes a call; `None` where it is not answered.
fn ask(at: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

impl Cluster {
    /// What a sidecar answers to its operators; `None` where it says no or does not answer.
    pub fn manage(&self, sidecar: usize, call: &str) -> Option<String> {
        let answer = ask(self.sidecars[sidecar].management, call)?;
        is_yes(&answer).then(|| answer.trim_start_matches("OK").trim().to_owned())
    }

    /// Operators make a call, while all else goes on.
    pub fn begin_call(&self, sidecar: usize, call: OperatorCall) -> PendingCall {
        let (at, line) = (self.sidecars[sidecar].management, call.line());
        let caller = std::thread::spawn(move || (ask(at, &line), now_micros()));
        PendingCall { sidecar, call, asked: now_micros(), caller }
    }

    /// Waits until a call is answered; whether it was a yes, which is a promise from then on.
    pub fn end_call(&mut self, pending: PendingCall) -> bool {
        let PendingCall { sidecar, call, asked, caller } = pending;
        let (answer, at) = caller.join().unwrap_or((None, asked));
        let yes = answer.as_deref().is_some_and(is_yes);
        self.timeline.note(format!("sidecar {sidecar} is told to {}: {answer:?}", call.line()));
        match call {
            OperatorCall::Cordon(server) if yes => {
                self.history.cordons.push(Cordon { sidecar, server, span: (at, i64::MAX) });
            }
            // It may be sent to from the moment in which the call is made; one that was not answered may have taken
            // effect all the same.
            OperatorCall::Uncordon(server) => {
                self.end_cordons(asked, |c| c.sidecar == sidecar && c.server == server);
            }
            _ => {}
        }
        yes
    }

    /// Operators make a call; whether it was answered well.
    pub fn call(&mut self, sidecar: usize, call: OperatorCall) -> bool {
        let pending = self.begin_call(sidecar, call);
        self.end_call(pending)
    }

    fn end_cordons(&mut self, at: i64, of: impl Fn(&Cordon) -> bool) {
        let open = self.history.cordons.iter_mut().filter(|c| c.span.1 == i64::MAX && of(c));
        open.for_each(|c| c.span.1 = at);
    }

    /// What operators have told a sidecar ends with its process.
    pub(super) fn end_cordons_of(&mut self, sidecar: usize) {
        self.end_cordons(now_micros(), |c| c.sidecar == sidecar);
    }

    /// Whether a sidecar comes to say, in that time, that it is in service, or that it is not.
    pub fn wait_for_readiness(&self, sidecar: usize, in_service: bool, within: Duration) -> bool {
        let began = std::time::Instant::now();
        let mut says_so = false;
        until(|| {
            says_so = ready(self.sidecars[sidecar].address) == in_service;
            says_so || began.elapsed() > within
        });
        says_so
    }

    /// What a sidecar has counted; `None` where it does not answer.
    pub(super) fn metrics(&self, sidecar: usize) -> Option<String> {
        ask(self.sidecars[sidecar].management, "metrics")
    }

    /// Breaches of rules that a sidecar itself has counted, as lines of its metrics; `None` where it does not answer.
    pub fn violations(&self, sidecar: usize) -> Option<Vec<String>> {
        let metrics = self.metrics(sidecar)?;
        let broken = |line: &&str| {
            line.starts_with("lotusmoor_sidecar_rule_violations_total") && !line.ends_with(" 0")
        };
        Some(metrics.lines().filter(broken).map(str::to_owned).collect())
    }
}
