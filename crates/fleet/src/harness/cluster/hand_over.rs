//! New versions of a sidecar: a second process starts beside the first on the clients' socket, which the platform
//! holds, and the first is told to stop once the second can serve.

use super::super::process::Process;
use super::{Cluster, ClusterError, now_micros};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};

/// The descriptor at which processes find the socket that is passed on to them.
const PASSED_DESCRIPTOR: i32 = 5;
/// Puts the socket there, and preloads only the program that is started.
const PASS_ON: &str = "exec 5<&0 </dev/null; exec env ${1:+LD_PRELOAD=\"$1\"} \"$0\"";

/// A command that starts a program on that socket; `library` is preloaded into it.
pub(super) fn on_passed_socket(
    program: &std::path::Path,
    listener: &TcpListener,
    library: Option<&std::path::Path>,
) -> std::io::Result<(Command, Stdio)> {
    let mut command = Command::new("/bin/sh");
    command.args(["-c", PASS_ON]).arg(program).args(library);
    command.env("LB_PASSED_SOCKET", PASSED_DESCRIPTOR.to_string());
    Ok((command, Stdio::from(OwnedFd::from(listener.try_clone()?))))
}

impl Cluster {
    /// A new process of a sidecar starts beside the one that serves.
    pub fn begin_hand_over(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar}: a new process starts"));
        let before = self.sidecars[sidecar].process.take();
        self.launch_sidecar(sidecar)?;
        self.sidecars[sidecar].previous_process = before;
        Ok(())
    }

    /// Whether the new process of a sidecar can serve by now; if so, the one before it has been told to stop.
    pub fn hand_over_if_ready(&mut self, sidecar: usize) -> Result<bool, ClusterError> {
        if let Some(status) = self.sidecars[sidecar].process.as_mut().and_then(Process::exit_status) {
            return Err(
                self.failed(format!("sidecar {sidecar}: the new process ended at its start: {status}"))
            );
        }
        if self.manage(sidecar, "health").is_none() {
            return Ok(false);
        }
        self.timeline
            .note(format!("sidecar {sidecar}: the new process can serve, the old one is told to stop"));
        self.sidecars[sidecar].previous_process.as_ref().map_or(Ok(()), Process::terminate)?;
        Ok(true)
    }

    /// Whether the process before the present one has ended well; one that ended badly is a failure.
    pub fn old_process_ended(&mut self, sidecar: usize) -> Result<bool, ClusterError> {
        let Some(process) = &mut self.sidecars[sidecar].previous_process else { return Ok(true) };
        match process.exit_status() {
            None => Ok(false),
            Some(status) if status.success() => {
                self.timeline.note(format!("sidecar {sidecar}: the old process has ended"));
                self.sidecars[sidecar].previous_process = None;
                Ok(true)
            }
            Some(status) => {
                Err(self.failed(format!("sidecar {sidecar}: the old process ended badly: {status}")))
            }
        }
    }

    /// The time of the process before the present one is over: it is killed if it still runs.
    pub fn end_old_process(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        if !self.old_process_ended(sidecar)?
            && let Some(mut process) = self.sidecars[sidecar].previous_process.take()
        {
            self.timeline.note(format!("sidecar {sidecar}: the old process is killed, as it has not ended"));
            process.kill()?;
        }
        Ok(())
    }

    /// Both processes of a sidecar are killed; clients wait in the queue of the socket that the platform holds.
    pub fn kill_both_processes(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.sidecars[sidecar].updates_interrupted_since.get_or_insert_with(now_micros);
        if let Some(mut before) = self.sidecars[sidecar].previous_process.take() {
            before.kill()?;
        }
        self.kill_sidecar(sidecar)
    }
}
