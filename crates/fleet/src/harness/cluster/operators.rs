//! What operators tell sidecars, and what they have been promised.

use super::super::check::Cordon;
use super::{Cluster, clock, ready, until};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

impl Cluster {
    /// What a sidecar answers to its operators; `None` where it says no or does not answer.
    pub fn manage(&self, sidecar: usize, call: &str) -> Option<String> {
        let answer = self.ask_management(sidecar, call)?;
        answer.strip_prefix("OK").map(|said| said.trim().to_owned())
    }

    fn ask_management(&self, sidecar: usize, call: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.sidecars[sidecar].management).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    /// Operators take a server out at a sidecar; whether it said yes. From then on it counts as taken out.
    pub fn cordon(&mut self, sidecar: usize, server: usize) -> bool {
        let yes = self.manage(sidecar, &format!("cordon s-{server}")).is_some();
        self.timeline.note(format!("sidecar {sidecar} is told to take server {server} out: {yes}"));
        if yes {
            self.history.cordons.push(Cordon { sidecar, server, span: (clock(), i64::MAX) });
        }
        yes
    }

    /// Operators give a server back to a sidecar; whether it said yes.
    pub fn uncordon(&mut self, sidecar: usize, server: usize) -> bool {
        // It may be sent to from the moment in which the call is made.
        let from = clock();
        let yes = self.manage(sidecar, &format!("uncordon s-{server}")).is_some();
        self.timeline.note(format!("sidecar {sidecar} is told to give server {server} back: {yes}"));
        let of_it = |c: &&mut Cordon| c.sidecar == sidecar && c.server == server && c.span.1 == i64::MAX;
        // A call that was not answered may have taken effect all the same.
        self.history.cordons.iter_mut().filter(of_it).for_each(|c| c.span.1 = from);
        yes
    }

    /// What operators have told a sidecar ends with its process.
    pub(super) fn forget_cordons(&mut self, sidecar: usize) {
        let now = clock();
        let open = |c: &&mut Cordon| c.sidecar == sidecar && c.span.1 == i64::MAX;
        self.history.cordons.iter_mut().filter(open).for_each(|c| c.span.1 = now);
    }

    /// Whether a sidecar says that it is in service comes to be so in that time.
    pub fn comes_to_say(&self, sidecar: usize, in_service: bool, within: Duration) -> bool {
        let began = std::time::Instant::now();
        let mut says_so = false;
        until(|| {
            says_so = ready(self.sidecars[sidecar].address) == in_service;
            says_so || began.elapsed() > within
        });
        says_so
    }

    /// Breaches of rules that a sidecar itself has counted, as lines of its metrics; `None` where it does not answer.
    pub fn violations(&self, sidecar: usize) -> Option<Vec<String>> {
        let metrics = self.ask_management(sidecar, "metrics")?;
        let broken = |line: &&str| line.starts_with("tinflow_rule_violations_total") && !line.ends_with(" 0");
        Some(metrics.lines().filter(broken).map(str::to_owned).collect())
    }
}
