//! Retries of calls that fail for a while: at startup, and with a growing pause.

use crate::io_failure::IoFailure;
use std::io;
use std::time::{Duration, Instant};

/// How long a startup retries a call for want of a resource. Whoever starts the process gives it longer to be ready.
const STARTUP_RETRY_TIME: Duration = Duration::from_secs(3);
/// Pause between two tries.
const STARTUP_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Makes a call that startup depends on until it succeeds, fails for good or has failed for too long. Blocks the
/// thread, as nothing is served yet.
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

/// Exponential backoff: each pause is twice as long as the one before, up to a longest one.
pub struct Backoff {
    next: Duration,
    longest: Duration,
}

impl Backoff {
    /// Starts with the first pause.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { next: first, longest }
    }

    /// The next pause.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (2 * pause).min(self.longest);
        pause
    }
}
