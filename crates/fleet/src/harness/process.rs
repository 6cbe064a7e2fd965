//! Child processes that can be paused, resumed and signalled, and that are never left running.

use super::process_guard::ProcessGuard;
use lotusmoor_faults::TABLE_VARIABLE;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// The programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The sidecar.
    pub sidecar: PathBuf,
    /// The command-line program, which includes the registry and the fake services.
    pub lotusmoor: PathBuf,
    /// The library that injects faults into system calls; `None` if it is not built.
    pub fault_library: Option<PathBuf>,
}

impl Programs {
    /// Finds the programs beside this one, where the build puts them, or at the paths in `LOTUSMOOR_SIDECAR`,
    /// `LOTUSMOOR` and `FAULT_LIBRARY`.
    pub fn find() -> io::Result<Self> {
        let own = std::env::current_exe()?;
        let folders: Vec<&Path> = own.ancestors().skip(1).take(2).collect();
        let find = |name: &str, variable: &str| {
            let named = std::env::var_os(variable).map(PathBuf::from);
            let beside = || folders.iter().map(|f| f.join(name)).find(|p| p.is_file());
            named.or_else(beside).ok_or_else(|| {
                let message =
                    format!("{name} is not built beside {}: build the whole workspace", own.display());
                io::Error::new(io::ErrorKind::NotFound, message)
            })
        };
        Ok(Self {
            sidecar: find("lotusmoor-sidecar", "LOTUSMOOR_SIDECAR")?,
            lotusmoor: find("lotusmoor", "LOTUSMOOR")?,
            fault_library: find("libfaultshim.so", "FAULT_LIBRARY").ok(),
        })
    }

    /// The library that injects faults into system calls, or an error if it is not built.
    pub fn fault_library(&self) -> io::Result<&Path> {
        self.fault_library.as_deref().ok_or_else(|| {
            io::Error::new(io::ErrorKind::NotFound, "libfaultshim.so is not built: build the whole workspace")
        })
    }

    /// Makes the system calls of a process started with this command fail as the fault table says.
    pub fn preload(&self, command: &mut Command, table: &Path) -> io::Result<()> {
        command.env("LD_PRELOAD", self.fault_library()?).env(TABLE_VARIABLE, table);
        Ok(())
    }
}

/// A child process. It is killed when this is dropped.
pub struct Process {
    child: Child,
    /// Its name in failure messages.
    pub name: String,
    /// The file that its standard output and error are appended to.
    pub log: PathBuf,
    guard: Option<ProcessGuard>,
}

impl Process {
    /// Starts a process whose output is appended to `log`; `guard` kills it if the harness itself is killed.
    pub fn start(command: Command, name: &str, log: &Path, guard: Option<&ProcessGuard>) -> io::Result<Self> {
        Self::start_with_input(command, Stdio::null(), name, log, guard)
    }

    /// Like [`Self::start`], with the given standard input.
    pub fn start_with_input(
        mut command: Command,
        input: Stdio,
        name: &str,
        log: &Path,
        guard: Option<&ProcessGuard>,
    ) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(log)?;
        command.stdin(input).stdout(file.try_clone()?).stderr(file);
        let child = command.spawn()?;
        if let Some(guard) = guard {
            guard.register(child.id());
        }
        Ok(Self { child, name: name.to_owned(), log: log.to_owned(), guard: guard.cloned() })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::InvalidInput)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Pauses it (SIGSTOP); its connections stay open.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes it (SIGCONT).
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to stop (SIGTERM).
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Interrupts it, as from a terminal (SIGINT).
    pub fn interrupt(&self) -> io::Result<()> {
        self.signal(Signal::INT)
    }

    /// Asks it to read its configuration again (SIGHUP).
    pub fn reload(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        let status = self.child.wait()?;
        if let Some(guard) = &self.guard {
            guard.unregister(self.child.id());
        }
        Ok(status)
    }

    /// Its exit status, if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// The contents of its log; nothing if that is a pipe, which has no end while the process runs.
    pub fn log_text(&self) -> String {
        if !self.log.is_file() {
            return String::new();
        }
        std::fs::read(&self.log).map(|b| String::from_utf8_lossy(&b).into_owned()).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing it fails if it has already ended.
        let _ = self.kill();
    }
}

/// The largest resident memory of a process so far in kB, from proc(5); `None` if it has ended.
pub fn peak_memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    peak.trim().trim_end_matches(" kB").parse().ok()
}
