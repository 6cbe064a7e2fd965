//! Gauges of what this process holds for clients and endpoints, beside its memory limit: while memory runs out, they tell
//! what took it.
//!
//! Only the serving thread counts, so a gauge is a plain thread-local cell.

use std::cell::Cell;
use std::fmt::Write;

/// A kind of thing that the process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// Memory reserved for requests, in KiB.
    RequestMemory,
    /// Memory reserved for responses, in KiB.
    ResponseMemory,
    /// Connections of clients.
    ClientConnections,
    /// Requests without a final answer.
    OpenRequests,
    /// Attempts whose end has not been reported to the balancer.
    Attempts,
    /// Shares of the sidecar's limits, of 64, where the clients' socket is passed on.
    LimitShares,
}

impl Held {
    const ALL: [Self; 6] = [
        Self::RequestMemory,
        Self::ResponseMemory,
        Self::ClientConnections,
        Self::OpenRequests,
        Self::Attempts,
        Self::LimitShares,
    ];

    /// The label value, as it appears in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::RequestMemory => "request_memory_kib",
            Self::ResponseMemory => "response_memory_kib",
            Self::ClientConnections => "client_connections",
            Self::OpenRequests => "open_requests",
            Self::Attempts => "attempts",
            Self::LimitShares => "limit_shares",
        }
    }

    fn with_gauge<T>(self, read: impl FnOnce(&Cell<usize>) -> T) -> T {
        thread_local! {
            static GAUGES: [Cell<usize>; Held::ALL.len()] = Default::default();
        }
        GAUGES.with(|gauges| read(&gauges[self as usize]))
    }

    /// Adds to the gauge.
    pub fn add(self, amount: usize) {
        self.with_gauge(|gauge| gauge.set(gauge.get() + amount));
    }

    /// Subtracts from the gauge.
    pub fn subtract(self, amount: usize) {
        self.with_gauge(|gauge| gauge.set(gauge.get().saturating_sub(amount)));
    }

    /// Sets the gauge.
    pub fn set(self, amount: usize) {
        self.with_gauge(|gauge| gauge.set(amount));
    }

    /// The gauge's value.
    pub fn amount(self) -> usize {
        self.with_gauge(Cell::get)
    }
}

thread_local! {
    static MEMORY_LIMIT_MB: Cell<usize> = const { Cell::new(0) };
}

/// Records the process's memory limit, in MB.
pub fn set_memory_limit(megabytes: usize) {
    MEMORY_LIMIT_MB.set(megabytes);
}

/// The resident memory of this process in KiB, from proc(5); 0 if it can't be read.
fn resident_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
    number.unwrap_or(0)
}

/// Writes all gauges in Prometheus' text format.
pub fn write_all(text: &mut String) {
    const HELD: &str = "lotusmoor_sidecar_held";
    const MEMORY: &str = "lotusmoor_sidecar_memory_kib";
    // Writing to a string does not fail.
    let _ = writeln!(text, "# HELP {HELD} What the process holds for clients and endpoints.");
    let _ = writeln!(text, "# TYPE {HELD} gauge");
    for held in Held::ALL {
        let _ = writeln!(text, "{HELD}{{what=\"{}\"}} {}", held.name(), held.amount());
    }
    let _ = writeln!(text, "# HELP {MEMORY} Memory of the process, and its limit.");
    let _ = writeln!(text, "# TYPE {MEMORY} gauge");
    let _ = writeln!(text, "{MEMORY}{{what=\"limit\"}} {}", MEMORY_LIMIT_MB.get() << 10);
    let _ = writeln!(text, "{MEMORY}{{what=\"resident\"}} {}", resident_kib());
}

#[cfg(test)]
mod tests;
