//! Calls that fail for a while and are made again: at the start, and for a reload that was asked for.

use crate::io_failure::IoFailure;
use std::io;
use std::time::{Duration, Instant};

/// For how long a start makes a call again that fails as this machine is short of something. Whoever starts the
/// process gives it longer than that to be ready.
const LONGEST: Duration = Duration::from_secs(3);
/// From one try to the next.
const PAUSE: Duration = Duration::from_millis(50);

/// Makes a call that a start can't do without, until it goes well, fails for good, or has failed for too long. Blocks
/// the thread: nothing is served yet.
pub fn at_start<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match call() {
            Err(e) if IoFailure::of_file(&e).passes() && began.elapsed() < LONGEST => {
                std::thread::sleep(PAUSE);
            }
            other => return other,
        }
    }
}

/// Pauses between tries, each twice as long as the one before, up to a longest one.
pub struct Backoff {
    next: Duration,
    longest: Duration,
}

impl Backoff {
    /// From that pause up to the longest.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { next: first, longest }
    }

    /// The next pause.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (2 * pause).min(self.longest);
        pause
    }
}
