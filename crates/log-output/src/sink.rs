//! The file that log lines are written to, and how each kind of file is written without blocking.

use crate::LineDropped;
use crate::descriptor::{self, FileKind, Outcome};
use std::borrow::Cow;
use std::fs::{File, OpenOptions};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::fs::OpenOptionsExt;

/// Number of bytes that a pipe accepts at once if it polls writable.
const MAX_LINE_BYTES: usize = libc::PIPE_BUF;

/// How a write is kept from blocking.
enum Method {
    /// With `RWF_NOWAIT`.
    NoWait,
    /// By polling the file first.
    AfterPoll,
    /// With `MSG_DONTWAIT`.
    Send,
    /// With `O_NONBLOCK`, on a separate open file description.
    Reopened(File),
    /// Not at all: a plain write to such a file waits for no reader.
    Plain,
}

/// An open file, and how lines are written to it.
pub(crate) struct Sink {
    descriptor: RawFd,
    method: Method,
    /// The last line was written only in part.
    line_unfinished: bool,
}

impl Sink {
    /// The file that a descriptor refers to now.
    pub(crate) fn new(descriptor: RawFd) -> Self {
        let method = match descriptor::kind(descriptor) {
            FileKind::Pipe => Method::NoWait,
            FileKind::Socket => Method::Send,
            FileKind::Terminal => reopened_terminal(descriptor).map_or(Method::AfterPoll, Method::Reopened),
            FileKind::Other => Method::Plain,
        };
        Self { descriptor, method, line_unfinished: false }
    }

    /// Writes a line. A line that is written only in part counts as dropped; the next one then begins with a line end.
    pub(crate) fn write_line(&mut self, line: &[u8]) -> Result<(), LineDropped> {
        let line = if self.line_unfinished { Cow::from([b"\n", line].concat()) } else { Cow::from(line) };
        let line = truncate_line(line);
        match self.write(&line) {
            Outcome::Written(length) if length == line.len() => {
                self.line_unfinished = false;
                Ok(())
            }
            Outcome::Written(length) => {
                self.line_unfinished |= length > 0;
                Err(LineDropped)
            }
            Outcome::Unsupported | Outcome::Failed => Err(LineDropped),
        }
    }

    fn write(&mut self, line: &[u8]) -> Outcome {
        let written = self.write_by_method(line);
        if matches!((&self.method, &written), (Method::NoWait, Outcome::Unsupported)) {
            self.method = Method::AfterPoll;
            return self.write_by_method(line);
        }
        written
    }

    fn write_by_method(&self, line: &[u8]) -> Outcome {
        match &self.method {
            Method::NoWait => descriptor::write_nowait(self.descriptor, line),
            Method::AfterPoll if !descriptor::polls_writable(self.descriptor) => Outcome::Failed,
            Method::AfterPoll | Method::Plain => descriptor::write(self.descriptor, line),
            Method::Send => descriptor::send_nowait(self.descriptor, line),
            Method::Reopened(terminal) => descriptor::write(terminal.as_raw_fd(), line),
        }
    }
}

/// The same terminal, opened again with its own flags.
fn reopened_terminal(descriptor: RawFd) -> Option<File> {
    let flags = libc::O_NONBLOCK | libc::O_NOCTTY;
    OpenOptions::new().write(true).custom_flags(flags).open(format!("/proc/self/fd/{descriptor}")).ok()
}

/// A line of at most [`MAX_LINE_BYTES`].
fn truncate_line(line: Cow<'_, [u8]>) -> Cow<'_, [u8]> {
    if line.len() <= MAX_LINE_BYTES {
        return line;
    }
    let mut line = line.into_owned();
    line.truncate(MAX_LINE_BYTES - 1);
    line.push(b'\n');
    Cow::from(line)
}

#[cfg(test)]
mod tests;
