//! Retries of calls that fail temporarily: at startup, and with exponential backoff.

use crate::io_failure::IoFailure;
use std::io;
use std::time::{Duration, Instant};

/// How long a call at startup is retried for lack of a resource. The process has longer than this to become ready.
const STARTUP_RETRY_TIME: Duration = Duration::from_secs(3);
/// Pause between two attempts.
const STARTUP_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Repeats a call that startup depends on until it succeeds, fails with a final error or has failed for too long.
/// Blocks the thread, as nothing is served yet.
pub fn retry_at_startup<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match call() {
            Err(e) if IoFailure::of_file(&e).is_transient() && began.elapsed() < STARTUP_RETRY_TIME => {
                std::thread::sleep(STARTUP_RETRY_PAUSE);
            }
            result => return result,
        }
    }
}

/// Exponential backoff: each pause is twice as long as the one before, up to a maximum.
pub struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    /// Starts with the first pause.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { next: first, max }
    }

    /// The next pause.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (2 * pause).min(self.max);
        pause
    }
}
