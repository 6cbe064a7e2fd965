//! A child process: started, held, let go on, killed, and never left behind.

use super::process_guard::ProcessGuard;
use lotusmoor_faults::TABLE_VARIABLE;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// The programs that are played with.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The sidecar.
    pub sidecar: PathBuf,
    /// The command line, which has the stand-ins.
    pub lotusmoor: PathBuf,
    /// The library that makes system calls fail; none where it is not built.
    pub fault_library: Option<PathBuf>,
}

impl Programs {
    /// The ones that the build put beside this program, or that `LOTUSMOOR_SIDECAR` and `LOTUSMOOR` name.
    pub fn find() -> io::Result<Self> {
        let own = std::env::current_exe()?;
        let folders: Vec<&Path> = own.ancestors().skip(1).take(2).collect();
        let find = |name: &str, variable: &str| {
            let named = std::env::var_os(variable).map(PathBuf::from);
            let beside = || folders.iter().map(|f| f.join(name)).find(|p| p.is_file());
            named.or_else(beside).ok_or_else(|| {
                let said = format!("{name} is not built beside {}: build the whole workspace", own.display());
                io::Error::new(io::ErrorKind::NotFound, said)
            })
        };
        Ok(Self {
            sidecar: find("lotusmoor-sidecar", "LOTUSMOOR_SIDECAR")?,
            lotusmoor: find("lotusmoor", "LOTUSMOOR")?,
            fault_library: find("libfaultshim.so", "FAULT_LIBRARY").ok(),
        })
    }

    /// The library that makes system calls fail.
    pub fn fault_library(&self) -> io::Result<&Path> {
        self.fault_library.as_deref().ok_or_else(|| {
            io::Error::new(io::ErrorKind::NotFound, "libfaultshim.so is not built: build the whole workspace")
        })
    }

    /// A process started with this command has system calls that fail as the table says.
    pub fn preload(&self, command: &mut Command, table: &Path) -> io::Result<()> {
        command.env("LD_PRELOAD", self.fault_library()?).env(TABLE_VARIABLE, table);
        Ok(())
    }
}

/// A child. It is killed when this is dropped.
pub struct Process {
    child: Child,
    /// Its name in timelines.
    pub name: String,
    /// Where its standard output and error go.
    pub log: PathBuf,
    guard: Option<ProcessGuard>,
}

impl Process {
    /// Starts one. What it writes is added to `log`; `reaper` sees to it if this process is killed.
    pub fn start(command: Command, name: &str, log: &Path, guard: Option<&ProcessGuard>) -> io::Result<Self> {
        Self::start_with_input(command, Stdio::null(), name, log, guard)
    }

    /// The same with that as its standard input.
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

    /// It stands still, with its connections open.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// It goes on.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// It is told to stop.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// It is interrupted, as from a terminal.
    pub fn interrupt(&self) -> io::Result<()> {
        self.signal(Signal::INT)
    }

    /// It is told that its configuration has changed.
    pub fn reload(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// It is killed; its end has been seen when this returns.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        let status = self.child.wait()?;
        if let Some(guard) = &self.guard {
            guard.unregister(self.child.id());
        }
        Ok(status)
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// What it wrote.
    pub fn log_text(&self) -> String {
        std::fs::read(&self.log).map(|b| String::from_utf8_lossy(&b).into_owned()).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.kill();
    }
}
