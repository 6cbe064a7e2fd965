//! What one process uses, finely enough for one that does next to nothing.

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

/// Between two looks at the threads. One that ends between two has been idle for far longer than that.
const LOOK: Duration = Duration::from_millis(100);

/// Processor time of a process from some instant on. The system's sums of a process come in hundredths of a second,
/// which is what a quiet sidecar takes in minutes; those of its threads come in nanoseconds, and go with the thread.
pub struct Cpu {
    id: u32,
    /// Nanoseconds of each thread, at the beginning and when it was last seen.
    threads: BTreeMap<u32, (u64, u64)>,
}

impl Cpu {
    /// Counts from now on.
    pub fn start(id: u32) -> io::Result<Self> {
        let mut new = Self { id, threads: BTreeMap::new() };
        for (thread, ns) in new.seen()? {
            new.threads.insert(thread, (ns, ns));
        }
        Ok(new)
    }

    fn seen(&self) -> io::Result<Vec<(u32, u64)>> {
        let mut all = Vec::new();
        for entry in std::fs::read_dir(format!("/proc/{}/task", self.id))? {
            let entry = entry?;
            let Some(thread) = entry.file_name().to_str().and_then(|n| n.parse().ok()) else { continue };
            // A thread may end between the two looks.
            let Ok(text) = std::fs::read_to_string(entry.path().join("schedstat")) else { continue };
            all.extend(text.split(' ').next().and_then(|ns| ns.parse().ok()).map(|ns| (thread, ns)));
        }
        if all.is_empty() { Err(io::ErrorKind::NotFound.into()) } else { Ok(all) }
    }

    /// What was used so far.
    pub fn used(&mut self) -> io::Result<Duration> {
        for (thread, ns) in self.seen()? {
            self.threads.entry(thread).or_insert((0, ns)).1 = ns;
        }
        Ok(Duration::from_nanos(self.threads.values().map(|(from, to)| to.saturating_sub(*from)).sum()))
    }

    /// What is used in so long from now.
    pub fn over(id: u32, length: Duration) -> io::Result<Duration> {
        let mut cpu = Self::start(id)?;
        let end = Instant::now() + length;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return cpu.used();
            }
            std::thread::sleep(left.min(LOOK));
            cpu.used()?;
        }
    }
}

/// Bytes that a process has written to files and pipes; what goes over sockets in single pieces is not among them.
pub fn written(id: u32) -> io::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/io"))?;
    let found = text.lines().find_map(|l| l.strip_prefix("wchar: ")?.trim().parse().ok());
    found.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
