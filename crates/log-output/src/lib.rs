//! Writes log lines to standard error without waiting for its reader. A line that can't be written at once is dropped
//! and counted.
//!
//! Standard error is shared with other processes, so its flags are not changed: `O_NONBLOCK` would apply to them too.
//! What keeps a single write from blocking depends on the kind of file:
//!
//! - pipe: `pwritev2` with `RWF_NOWAIT` (Linux 6.4); before that, a poll and a write of at most `PIPE_BUF` bytes, which
//!   a pipe that polls writable accepts completely (pipe(7)). Another writer may fill the pipe between the two;
//! - socket: `send` with `MSG_DONTWAIT`;
//! - terminal: opened again with `O_NONBLOCK`, as a write to one that polls writable may still block;
//! - regular file, or a device like `/dev/null`: a plain write, which waits for no reader. A disk that hangs can block
//!   it.

mod descriptor;
mod sink;

use sink::Sink;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Number of lines that this process has dropped.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Standard error, set up when the first line is written.
static STANDARD_ERROR: Mutex<Option<Sink>> = Mutex::new(None);

/// A line was dropped because it could not be written at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineDropped;

/// How many lines this process has dropped.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes one line, or several that belong together. `line` has to end with a line end. Text longer than `PIPE_BUF`
/// bytes is truncated.
pub fn write_line(line: &[u8]) -> Result<(), LineDropped> {
    let mut standard_error = STANDARD_ERROR.lock().unwrap_or_else(PoisonError::into_inner);
    let written = standard_error.get_or_insert_with(|| Sink::new(libc::STDERR_FILENO)).write_line(line);
    if written.is_err() {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
    written
}

/// Logs each panic as one line. The standard library's own message would wait for the reader.
pub fn log_panics(program: &'static str) {
    std::panic::set_hook(Box::new(move |panic| {
        let _ = write_line(format!("{program}: {panic}\n").as_bytes());
    }));
}

/// A writer for log libraries that write each line with a single call. The number of dropped lines is reported before
/// the next line.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineWriter;

/// Number of dropped lines that a [`LineWriter`] has not reported yet.
static UNREPORTED_LINES: AtomicU64 = AtomicU64::new(0);

impl io::Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let dropped = UNREPORTED_LINES.swap(0, Ordering::Relaxed);
        let written = if dropped == 0 {
            write_line(line)
        } else {
            let notice = format!("{dropped} lines left out\n");
            write_line(&[notice.as_bytes(), line].concat())
        };
        if written.is_err() {
            UNREPORTED_LINES.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        // A dropped line is not an error for the caller.
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
