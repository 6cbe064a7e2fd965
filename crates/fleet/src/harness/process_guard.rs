//! Ends children whose harness was killed. It is a process of its own that reads from the harness: when that pipe
//! ends, so does every process that was named in it. A process is known by its id and the time of its start, so
//! that another one that has got the id since is left alone.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

/// The harness's end.
#[derive(Clone)]
pub struct ProcessGuard(Arc<Mutex<Inner>>);

struct Inner {
    child: Child,
    pipe: Option<ChildStdin>,
}

impl ProcessGuard {
    /// Starts one: `lotusmoor fleet reaper`.
    pub fn start(lotusmoor: &Path) -> std::io::Result<Self> {
        let mut command = Command::new(lotusmoor);
        let mut child = command.args(["fleet", "reaper"]).stdin(Stdio::piped()).spawn()?;
        let pipe = child.stdin.take();
        Ok(Self(Arc::new(Mutex::new(Inner { child, pipe }))))
    }

    fn send_line(&self, line: String) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pipe) = &mut inner.pipe {
            // Without it, only what survives a kill of the harness is lost.
            let _ = pipe.write_all(line.as_bytes());
        }
    }

    /// That process ends with the harness.
    pub fn register(&self, id: u32) {
        if let Some(started) = start_ticks(id) {
            self.send_line(format!("+{id} {started}\n"));
        }
    }

    /// That process has ended.
    pub fn unregister(&self, id: u32) {
        self.send_line(format!("-{id}\n"));
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        drop(self.pipe.take());
        let _ = self.child.wait();
    }
}

/// When a process started, in the system's ticks since its own start: field 22 of its `stat`, of which the second may
/// hold spaces and ends with the last bracket.
pub fn start_ticks(id: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    text.rsplit_once(')')?.1.split_whitespace().nth(19)?.parse().ok()
}

/// Reads what is to be watched until the harness ends, and then ends what is left.
pub fn run(input: impl BufRead) {
    let mut watched: BTreeMap<u32, u64> = BTreeMap::new();
    for line in input.lines().map_while(Result::ok) {
        if let Some(id) = line.strip_prefix('-').and_then(|id| id.parse().ok()) {
            watched.remove(&id);
        } else if let Some((id, at)) = line.strip_prefix('+').and_then(|l| l.split_once(' '))
            && let (Ok(id), Ok(at)) = (id.parse(), at.parse())
        {
            watched.insert(id, at);
        }
    }
    for (id, at) in watched {
        let pid = i32::try_from(id).ok().and_then(rustix::process::Pid::from_raw);
        if let Some(pid) = pid.filter(|_| start_ticks(id) == Some(at)) {
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::KILL);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_process_that_was_named_is_ended() {
        let sleeps = || Command::new("sleep").arg("600").spawn().expect("it starts");
        let (mut named, mut other, mut forgotten) = (sleeps(), sleeps(), sleeps());
        let at = start_ticks(named.id()).expect("it runs");
        // The second is named with the start of another process, the third has been taken back.
        let lines = format!(
            "+{} {at}\n+{} {}\n+{} {at}\n-{}\n",
            named.id(),
            other.id(),
            at + 12345,
            forgotten.id(),
            forgotten.id()
        );
        run(lines.as_bytes());
        assert!(!named.wait().expect("it ends").success());
        for left in [&mut other, &mut forgotten] {
            assert_eq!(left.try_wait().expect("it is asked"), None);
            left.kill().expect("it ends");
            left.wait().expect("it ends");
        }
    }
}
