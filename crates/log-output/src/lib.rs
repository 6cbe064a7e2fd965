//! Writes log lines to standard error without waiting for whoever reads them. A line that can't be written at once is
//! dropped and counted.
//!
//! Standard error is shared with other processes, so its flags stay as they are: `O_NONBLOCK` would be theirs too. What
//! makes a single write return at once depends on the kind of file:
//!
//! - pipe: `pwritev2` with `RWF_NOWAIT` (Linux 6.4); before that, a poll and a write of at most `PIPE_BUF` bytes, which
//!   is taken completely where a pipe polls writable (pipe(7)). Another writer may fill the pipe between the two;
//! - socket: `send` with `MSG_DONTWAIT`;
//! - terminal: opened again without blocking, as a write to one that polls writable may still wait;
//! - regular file, or a device like `/dev/null`: a plain write, which waits for no reader. A disk that hangs can hold it.

mod descriptor;
mod sink;

use sink::Sink;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Lines that this process has dropped.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Standard error, once a line was written.
static STANDARD_ERROR: Mutex<Option<Sink>> = Mutex::new(None);

/// A line was dropped, as it could not be written at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineDropped;

/// How many lines this process has dropped.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes one line, or several that belong together, with the end of the last. Of more than `PIPE_BUF` bytes the rest is
/// cut off.
pub fn write_line(line: &[u8]) -> Result<(), LineDropped> {
    let mut standard_error = STANDARD_ERROR.lock().unwrap_or_else(PoisonError::into_inner);
    let written = standard_error.get_or_insert_with(|| Sink::new(libc::STDERR_FILENO)).write_line(line);
    if written.is_err() {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
    written
}

/// Logs panics as a line each. The standard library's own message would wait for the reader.
pub fn log_panics(program: &'static str) {
    std::panic::set_hook(Box::new(move |panic| {
        let _ = write_line(format!("{program}: {panic}\n").as_bytes());
    }));
}

/// A writer for log libraries that write each line as a whole. Lines that were dropped are told with the next one.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineWriter;

/// Dropped lines that a [`LineWriter`] has not told of yet.
static UNTOLD_LINES: AtomicU64 = AtomicU64::new(0);

impl io::Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let dropped = UNTOLD_LINES.swap(0, Ordering::Relaxed);
        let written = if dropped == 0 {
            write_line(line)
        } else {
            let notice = format!("{dropped} lines left out\n");
            write_line(&[notice.as_bytes(), line].concat())
        };
        if written.is_err() {
            UNTOLD_LINES.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        // A line that is lost is no failure of whoever logs it.
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
