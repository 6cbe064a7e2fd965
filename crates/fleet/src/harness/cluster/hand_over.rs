//! Hand-over to a new process of a sidecar, as for a new version: the new process starts beside the old one on the same
//! listening socket, and the old one is stopped once the new one is ready. The harness holds the socket, as the
//! operators' deployment environment does in production.

use super::super::process::Process;
use super::{Cluster, ClusterError, now_micros};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};

/// The file descriptor at which processes inherit the listening socket.
const INHERITED_DESCRIPTOR: i32 = 5;
/// Shell command that moves the socket from standard input to that descriptor and starts the program. The library, if
/// any, is preloaded only into the program and not into the shell.
const EXEC_WITH_SOCKET: &str = "exec 5<&0 </dev/null; exec env ${1:+LD_PRELOAD=\"$1\"} \"$0\"";

/// Returns a command that starts a program with the listening socket inherited and `library` preloaded, and the
/// standard input to start it with.
pub(super) fn command_with_socket(
    program: &std::path::Path,
    listener: &TcpListener,
    library: Option<&std::path::Path>,
) -> std::io::Result<(Command, Stdio)> {
    let mut command = Command::new("/bin/sh");
    command.args(["-c", EXEC_WITH_SOCKET]).arg(program).args(library);
    command.env("LB_PASSED_SOCKET", INHERITED_DESCRIPTOR.to_string());
    Ok((command, Stdio::from(OwnedFd::from(listener.try_clone()?))))
}

impl Cluster {
    /// Starts a new process of a sidecar beside the one that serves.
    pub fn begin_hand_over(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.timeline.note(format!("sidecar {sidecar}: new process started"));
        let previous = self.sidecars[sidecar].process.take();
        self.launch_sidecar(sidecar)?;
        self.sidecars[sidecar].previous_process = previous;
        Ok(())
    }

    /// Whether the new process of a sidecar is ready by now; if so, the old one has been asked to stop.
    pub fn hand_over_if_ready(&mut self, sidecar: usize) -> Result<bool, ClusterError> {
        if let Some(status) = self.sidecars[sidecar].process.as_mut().and_then(Process::exit_status) {
            return Err(
                self.failed(format!("sidecar {sidecar}: the new process ended while starting: {status}"))
            );
        }
        if self.manage(sidecar, "health").is_none() {
            return Ok(false);
        }
        self.timeline.note(format!("sidecar {sidecar}: new process ready, old process asked to stop"));
        self.sidecars[sidecar].previous_process.as_ref().map_or(Ok(()), Process::terminate)?;
        Ok(true)
    }

    /// Whether the old process has ended; a failure if it ended with an error.
    pub fn old_process_ended(&mut self, sidecar: usize) -> Result<bool, ClusterError> {
        let Some(process) = &mut self.sidecars[sidecar].previous_process else { return Ok(true) };
        match process.exit_status() {
            None => Ok(false),
            Some(status) if status.success() => {
                self.timeline.note(format!("sidecar {sidecar}: old process has ended"));
                self.sidecars[sidecar].previous_process = None;
                Ok(true)
            }
            Some(status) => Err(self.failed(format!("sidecar {sidecar}: the old process failed: {status}"))),
        }
    }

    /// Called when the time that the old process has to stop is over: kills it if it is still running.
    pub fn end_old_process(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        if !self.old_process_ended(sidecar)?
            && let Some(mut process) = self.sidecars[sidecar].previous_process.take()
        {
            self.timeline.note(format!("sidecar {sidecar}: old process killed, as it had not ended"));
            process.kill()?;
        }
        Ok(())
    }

    /// Kills both processes of a sidecar; connections of clients wait in the accept queue of the inherited socket.
    pub fn kill_both_processes(&mut self, sidecar: usize) -> Result<(), ClusterError> {
        self.sidecars[sidecar].updates_interrupted_since.get_or_insert_with(now_micros);
        if let Some(mut previous) = self.sidecars[sidecar].previous_process.take() {
            previous.kill()?;
        }
        self.kill_sidecar(sidecar)
    }
}
