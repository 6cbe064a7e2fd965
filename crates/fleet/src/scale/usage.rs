//! Resource use of a process, with a resolution that is fine enough for a mostly idle one.

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

/// Interval at which the threads' times are read. The time of a thread is lost when it exits, but a thread that exits
/// between two samples has been idle for far longer than the interval.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Processor time of a process since the start of the measurement. The kernel's total for a process is in hundredths of
/// a second, which an idle sidecar takes minutes to use; the times of its threads are in nanoseconds, but are lost when
/// the thread exits.
pub struct CpuMeter {
    id: u32,
    /// Nanoseconds of each thread, at the start and at the last sample.
    threads: BTreeMap<u32, (u64, u64)>,
}

impl CpuMeter {
    /// Starts a measurement.
    pub fn start(id: u32) -> io::Result<Self> {
        let mut meter = Self { id, threads: BTreeMap::new() };
        for (thread, ns) in meter.sample()? {
            meter.threads.insert(thread, (ns, ns));
        }
        Ok(meter)
    }

    /// The processor time of each thread that exists now, in nanoseconds.
    fn sample(&self) -> io::Result<Vec<(u32, u64)>> {
        let mut times = Vec::new();
        for entry in std::fs::read_dir(format!("/proc/{}/task", self.id))? {
            let entry = entry?;
            let Some(thread) = entry.file_name().to_str().and_then(|n| n.parse().ok()) else { continue };
            // The thread may exit after the directory was read.
            let Ok(text) = std::fs::read_to_string(entry.path().join("schedstat")) else { continue };
            times.extend(text.split(' ').next().and_then(|ns| ns.parse().ok()).map(|ns| (thread, ns)));
        }
        if times.is_empty() { Err(io::ErrorKind::NotFound.into()) } else { Ok(times) }
    }

    /// Samples the threads; returns the processor time since the start.
    pub fn used(&mut self) -> io::Result<Duration> {
        for (thread, ns) in self.sample()? {
            self.threads.entry(thread).or_insert((0, ns)).1 = ns;
        }
        Ok(Duration::from_nanos(self.threads.values().map(|(from, to)| to.saturating_sub(*from)).sum()))
    }

    /// Measures the processor time of a process for so long from now on.
    pub fn measure(id: u32, duration: Duration) -> io::Result<Duration> {
        let mut meter = Self::start(id)?;
        let end = Instant::now() + duration;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return meter.used();
            }
            std::thread::sleep(left.min(SAMPLE_INTERVAL));
            meter.used()?;
        }
    }
}

/// Bytes that a process has written to files and pipes (`wchar`). Bytes sent to a socket from a single buffer (`send`)
/// are not counted.
pub fn written_bytes(id: u32) -> io::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/io"))?;
    let bytes = text.lines().find_map(|l| l.strip_prefix("wchar: ")?.trim().parse().ok());
    bytes.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
