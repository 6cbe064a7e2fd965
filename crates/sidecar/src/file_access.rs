//! File operations, which block for as long as their disk hangs, kept off the serving thread.
//!
//! A regular file in the page cache is read at once, and a named pipe as its bytes arrive. Everything else runs on a
//! separate thread, and its caller waits for a limited time. One call remains: the serving thread itself opens files
//! for reading, which assumes that their directory entries are cached. On a network file system that hangs, that call
//! may block.

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

/// Maximum number of operations that hang at a time; each holds a thread.
const MAX_THREADS: usize = 4;
/// Stack size of such a thread.
const STACK_BYTES: usize = 256 << 10;

/// Number of running threads of this module.
static RUNNING_THREADS: AtomicUsize = AtomicUsize::new(0);

/// Reads a file, waiting for at most `limit`.
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

/// Reads a file at startup, before anything is served, waiting for at most `limit`.
pub fn read_at_startup(path: &Path, limit: Duration) -> io::Result<Vec<u8>> {
    if let Some(contents) = cached::read(path)? {
        return Ok(contents);
    }
    let path = path.to_owned();
    run_at_startup(limit, move || read_regular(&path))?
}

/// Runs read-only file operations at startup, before anything is served, waiting for at most `limit`.
pub fn run_at_startup<T: Send + 'static>(
    limit: Duration,
    operation: impl FnOnce() -> T + Send + 'static,
) -> io::Result<T> {
    let (sender, result) = mpsc::channel();
    spawn(move || drop(sender.send(operation())))?;
    result.recv_timeout(limit).map_err(|_| timed_out())
}

/// Reads a regular file, and blocks until that is done. Other files are rejected: opening a named pipe could block
/// forever.
pub fn read_regular(path: &Path) -> io::Result<Vec<u8>> {
    if fs::metadata(path)?.is_file() { fs::read(path) } else { Err(io::ErrorKind::InvalidInput.into()) }
}

/// Reads a named pipe until its writers have closed it.
async fn read_pipe(path: &Path) -> io::Result<Vec<u8>> {
    let mut pipe = pipe::OpenOptions::new().open_receiver(path)?;
    let mut contents = Vec::new();
    loop {
        let length = pipe.read_buf(&mut contents).await?;
        if length == 0 && !contents.is_empty() {
            return Ok(contents);
        }
        if length == 0 {
            // No writer has opened it yet.
            sleep(RESOURCE_PAUSE).await;
        }
    }
}

/// Resolves the race between an operation that is about to take effect and a caller that times out.
#[derive(Clone, Default)]
pub struct Commit(Arc<AtomicBool>);

impl Commit {
    /// Must be called before the operation takes effect. Fails if its caller has timed out; a caller that times out
    /// later learns that the operation may still take effect.
    pub fn begin(&self) -> io::Result<()> {
        if self.0.swap(true, Ordering::SeqCst) { Err(timed_out()) } else { Ok(()) }
    }

    /// Abandons the operation. The error tells whether it may still take effect.
    fn abandon(&self) -> io::Error {
        if self.0.swap(true, Ordering::SeqCst) {
            return io::Error::new(
                io::ErrorKind::TimedOut,
                "file operation timed out, but it may still take effect",
            );
        }
        timed_out()
    }
}

fn timed_out() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "file operation timed out")
}

/// Runs file operations, waiting for at most `limit`. They have to call [`Commit::begin`] before they take effect.
pub async fn run<T: Send + 'static>(
    limit: Duration,
    operation: impl FnOnce(&Commit) -> io::Result<T> + Send + 'static,
) -> io::Result<T> {
    let commit = Commit::default();
    let (sender, result) = oneshot::channel();
    let shared = commit.clone();
    spawn(move || drop(sender.send(operation(&shared))))?;
    match timeout(limit, result).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(io::Error::other("file operation was aborted")),
        Err(_) => Err(commit.abandon()),
    }
}

/// Runs `work` on a new thread, unless too many threads hang.
fn spawn(work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    if RUNNING_THREADS.fetch_add(1, Ordering::SeqCst) >= MAX_THREADS {
        RUNNING_THREADS.fetch_sub(1, Ordering::SeqCst);
        return Err(io::Error::new(io::ErrorKind::TimedOut, "too many earlier file operations still hang"));
    }
    let counted = move || {
        work();
        RUNNING_THREADS.fetch_sub(1, Ordering::SeqCst);
    };
    let spawned = thread::Builder::new().name("files".to_owned()).stack_size(STACK_BYTES).spawn(counted);
    if spawned.is_err() {
        RUNNING_THREADS.fetch_sub(1, Ordering::SeqCst);
    }
    spawned.map(drop)
}

#[cfg(test)]
mod tests;
