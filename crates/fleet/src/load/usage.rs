//! Resource use of a process, from `/proc`, and the cores that it may use.

use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_setaffinity};
use std::time::Duration;

/// Processor time that a process has used: fields 14 and 15 of `/proc/ID/stat`, in hundredths of a second. Field 2, the
/// name of the program, may contain spaces; it ends with the last bracket.
pub fn used_cpu(id: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<u64>().ok();
    Some(Duration::from_millis(10 * (ticks(11)? + ticks(12)?)))
}

/// Resident memory of a process, in kB.
pub fn resident_kb(id: u32) -> Option<u64> {
    status_kb(id, "VmRSS:")
}

/// Peak resident memory of a process, in kB.
pub fn peak_kb(id: u32) -> Option<u64> {
    status_kb(id, "VmHWM:")
}

fn status_kb(id: u32, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    text.lines().find_map(|l| l.strip_prefix(name)?.trim().strip_suffix(" kB")?.trim().parse().ok())
}

/// Pins a process to these cores. `None` stands for this thread and the threads that it starts from now on.
pub fn pin(id: Option<u32>, cores: &[usize]) -> std::io::Result<()> {
    let mut set = CpuSet::new();
    cores.iter().for_each(|core| set.set(*core));
    let pid = id.and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
    Ok(sched_setaffinity(pid, &set)?)
}
