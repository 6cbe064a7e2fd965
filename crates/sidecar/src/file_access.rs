//! Calls on files, which last for as long as their disk hangs, kept off the thread that serves.
//!
//! A regular file that the system has in memory is read at once, and a pipe as its bytes come. All else runs on a thread
//! of its own, and its caller waits for a limited time. What bounds the rest: the open of a file for reading is a call on
//! the serving thread, as its directory is in memory; on a network file system that hangs it may last.

mod cached;

use crate::io_failure::RESOURCE_PAUSE;
use std::fs;
use std::io;
use std::os::unix::fs::FileTypeExt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::unix::pipe;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Calls that may hang at a time; each holds a thread.
const MAX_THREADS: usize = 4;
/// Stack of such a thread.
const STACK_BYTES: usize = 256 << 10;

/// Threads that run.
static THREADS: AtomicUsize = AtomicUsize::new(0);

/// Reads a file, for `limit` at most.
pub async fn read(path: &Path, limit: Duration) -> io::Result<Vec<u8>> {
    if let Some(contents) = cached::read(path)? {
        return Ok(contents);
    }
    if fs::metadata(path)?.file_type().is_fifo() {
        return timeout(limit, read_pipe(path)).await.unwrap_or_else(|_| Err(timed_out()));
    }
    let path = path.to_owned();
    run(limit, move |_| fs::read(path)).await
}

/// Reads a file while nothing is served yet, for `limit` at most.
pub fn read_at_startup(path: &Path, limit: Duration) -> io::Result<Vec<u8>> {
    if let Some(contents) = cached::read(path)? {
        return Ok(contents);
    }
    let path = path.to_owned();
    run_at_startup(limit, move || read_regular(&path))?
}

/// Runs calls on files that change nothing, while nothing is served yet, for `limit` at most.
pub fn run_at_startup<T: Send + 'static>(
    limit: Duration,
    calls: impl FnOnce() -> T + Send + 'static,
) -> io::Result<T> {
    let (sender, result) = mpsc::channel();
    spawn(move || drop(sender.send(calls())))?;
    result.recv_timeout(limit).map_err(|_| timed_out())
}

/// Reads a regular file, for as long as that lasts. The open of a pipe might last for good.
pub fn read_regular(path: &Path) -> io::Result<Vec<u8>> {
    if fs::metadata(path)?.is_file() { fs::read(path) } else { Err(io::ErrorKind::InvalidInput.into()) }
}

/// Reads a pipe until its writers have closed it.
async fn read_pipe(path: &Path) -> io::Result<Vec<u8>> {
    let mut pipe = pipe::OpenOptions::new().open_receiver(path)?;
    let mut contents = Vec::new();
    loop {
        let length = pipe.read_buf(&mut contents).await?;
        if length == 0 && !contents.is_empty() {
            return Ok(contents);
        }
        if length == 0 {
            // Nobody has opened it to write yet.
            sleep(RESOURCE_PAUSE).await;
        }
    }
}

/// Decides between a call that takes effect and a caller that gives it up.
#[derive(Clone, Default)]
pub struct Commit(Arc<AtomicBool>);

impl Commit {
    /// Whether the call may take effect: its caller has not given it up, and will not any more.
    pub fn begin(&self) -> io::Result<()> {
        if self.0.swap(true, Ordering::SeqCst) { Err(timed_out()) } else { Ok(()) }
    }

    /// Gives a call up. Where it has begun to take effect, it may still do so.
    fn abandon(&self) -> io::Error {
        if self.0.swap(true, Ordering::SeqCst) {
            return io::Error::new(io::ErrorKind::TimedOut, "the disk hangs, and it may still take effect");
        }
        timed_out()
    }
}

fn timed_out() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "the disk hangs")
}

/// Runs calls on files, which ask `Commit::begin` before they take effect, for `limit` at most.
pub async fn run<T: Send + 'static>(
    limit: Duration,
    calls: impl FnOnce(&Commit) -> io::Result<T> + Send + 'static,
) -> io::Result<T> {
    let commit = Commit::default();
    let (sender, result) = oneshot::channel();
    let given = commit.clone();
    spawn(move || drop(sender.send(calls(&given))))?;
    match timeout(limit, result).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(io::Error::other("the calls on a file broke off")),
        Err(_) => Err(commit.abandon()),
    }
}

/// Starts a thread, unless too many hang.
fn spawn(work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    if THREADS.fetch_add(1, Ordering::SeqCst) >= MAX_THREADS {
        THREADS.fetch_sub(1, Ordering::SeqCst);
        return Err(io::Error::new(io::ErrorKind::TimedOut, "earlier calls on files still hang"));
    }
    let counted = move || {
        work();
        THREADS.fetch_sub(1, Ordering::SeqCst);
    };
    let spawned = thread::Builder::new().name("files".to_owned()).stack_size(STACK_BYTES).spawn(counted);
    if spawned.is_err() {
        THREADS.fetch_sub(1, Ordering::SeqCst);
    }
    spawned.map(drop)
}

#[cfg(test)]
mod tests;
