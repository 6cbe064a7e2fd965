//! Kills the child processes of a harness that was itself killed. The guard is a process of its own that reads from a
//! pipe from the harness; at end of file it kills every process that is registered. A process is identified by its id
//! and its start time, so that another process that was given the same id since is left alone.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

/// Handle of the harness to its guard process.
#[derive(Clone)]
pub struct ProcessGuard(Arc<Mutex<Inner>>);

struct Inner {
    child: Child,
    pipe: Option<ChildStdin>,
}

impl ProcessGuard {
    /// Starts the guard process, `lotusmoor fleet reaper`.
    pub fn start(lotusmoor: &Path) -> std::io::Result<Self> {
        let mut command = Command::new(lotusmoor);
        let mut child = command.args(["fleet", "reaper"]).stdin(Stdio::piped()).spawn()?;
        let pipe = child.stdin.take();
        Ok(Self(Arc::new(Mutex::new(Inner { child, pipe }))))
    }

    fn send_line(&self, line: String) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pipe) = &mut inner.pipe {
            // If this fails, children are merely left running when the harness is killed.
            let _ = pipe.write_all(line.as_bytes());
        }
    }

    /// Registers a process to be killed if the harness is killed.
    pub fn register(&self, id: u32) {
        if let Some(ticks) = start_ticks(id) {
            self.send_line(format!("+{id} {ticks}\n"));
        }
    }

    /// Unregisters a process that has ended.
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

/// When a process started, in clock ticks since the system booted: field 22 of its `stat` file. Field 2, the program's
/// name, may contain spaces and ends with the last closing parenthesis.
pub fn start_ticks(id: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    text.rsplit_once(')')?.1.split_whitespace().nth(19)?.parse().ok()
}

/// Runs the guard: reads registrations until the harness ends, and then kills the processes that are still registered.
pub fn run(input: impl BufRead) {
    let mut registered: BTreeMap<u32, u64> = BTreeMap::new();
    for line in input.lines().map_while(Result::ok) {
        if let Some(id) = line.strip_prefix('-').and_then(|id| id.parse().ok()) {
            registered.remove(&id);
        } else if let Some((id, ticks)) = line.strip_prefix('+').and_then(|l| l.split_once(' '))
            && let (Ok(id), Ok(ticks)) = (id.parse(), ticks.parse())
        {
            registered.insert(id, ticks);
        }
    }
    for (id, ticks) in registered {
        let pid = i32::try_from(id).ok().and_then(rustix::process::Pid::from_raw);
        if let Some(pid) = pid.filter(|_| start_ticks(id) == Some(ticks)) {
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::KILL);
        }
    }
}

#[cfg(test)]
mod tests;
