//! Load on real sockets: an open-loop load generator, and measurements that compare requests through a real sidecar
//! with requests directly to the same fake backend in the same run. The generator has blocking threads, as the timers
//! of an async runtime are no finer than a millisecond.

mod open_loop;
pub mod registry;
mod usage;

pub use open_loop::{Route, RouteResult, ScheduledRequest, open_loop};
pub use usage::{peak_kb, pin, resident_kb, used_cpu};

use crate::harness::backend::Conduct;
use crate::harness::process_guard::ProcessGuard;
use crate::harness::{Process, Programs, until, unused_address};
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Duration;

/// The settings of a sidecar that is measured alone: one request class, one zone.
pub(crate) fn settings() -> Value {
    let class = json!({"Name": "look", "AimUs": 1_000_000, "DeadlineUs": 3_000_000, "Effect": "pure"});
    json!({"Balancers": 1, "Index": 0, "Discovery": "pushed", "WeightSource": "rough",
        "TickUs": 1000, "Lanes": [class], "Zone": "a", "Zones": ["a"],
        "Limits": {"DialTimeoutUs": 150_000, "IdleCloseUs": 60_000_000, "MaxAttempts": 5, "MayCancel": true},
        "Rules": {"ColdShare": 0.12, "OverloadFactor": 3.0, "TipAfterUs": 3_000_000,
            "WarmWithinUs": 23_000_000}})
}

/// A sidecar in front of one fake backend, which also takes requests directly.
pub struct SidecarBench {
    sidecar: Process,
    backend: Process,
    /// The address of the sidecar.
    pub through: SocketAddr,
    /// The address of the backend.
    pub direct: SocketAddr,
    _folder: tempfile::TempDir,
    // Kills both if this process is killed.
    _process_guard: ProcessGuard,
}

impl SidecarBench {
    /// Starts both. With more than two cores, pins each of them to a core of its own, and this thread, from which the
    /// threads of the load generator inherit that, to the other cores.
    pub fn start(work_us: u64) -> io::Result<Self> {
        let programs = Programs::find()?;
        let process_guard = ProcessGuard::start(&programs.lotusmoor)?;
        let folder = tempfile::tempdir()?;
        let (through, direct) = (unused_address(), unused_address());
        let conduct = Conduct { work_us, ..Conduct::default() };
        let mut command = Command::new(&programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "ledger", "--name", "s-0"]);
        command.args(["--listen", &direct.to_string(), "--conduct", &serde_json::to_string(&conduct)?]);
        let backend =
            Process::start(command, "server", &folder.path().join("server.log"), Some(&process_guard))?;
        let entry = json!({"name": "s-0", "address": direct, "zone": "a", "type": "m", "group": 1,
            "status": "active", "weight": 1.0, "since_ms": 0});
        let config = json!({"name": "n0", "listen": through, "discovery": unused_address(), "seed": "01",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "known": {"index": 1, "snapshot": true, "endpoints": [entry]}, "settings": settings()});
        let path = folder.path().join("sidecar.json");
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&programs.sidecar);
        command.env("LB_CONFIG", &path).env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
        let sidecar =
            Process::start(command, "sidecar", &folder.path().join("sidecar.log"), Some(&process_guard))?;
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        if cores > 2 {
            pin(Some(sidecar.id()), &[0])?;
            pin(Some(backend.id()), &[1])?;
            pin(None, &(2..cores).collect::<Vec<_>>())?;
        }
        let is_up =
            |address: SocketAddr, path: &str| get_status(address, path).is_ok_and(|status| status == 200);
        if !until(|| is_up(direct, "/alive") && is_up(through, "/up")) {
            return Err(io::Error::other(format!(
                "the sidecar did not become ready; its log: {}",
                sidecar.log_text()
            )));
        }
        Ok(Self { sidecar, backend, through, direct, _folder: folder, _process_guard: process_guard })
    }

    /// Processor time that the sidecar has used.
    pub fn sidecar_cpu(&self) -> Option<Duration> {
        used_cpu(self.sidecar.id())
    }
}

/// The status of the response to a `GET` on a new connection; 0 if it is malformed.
pub(crate) fn get_status(address: SocketAddr, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    Ok(std::str::from_utf8(&head[9..]).ok().and_then(|s| s.parse().ok()).unwrap_or(0))
}

/// Latencies of one route, in microseconds, and the numbers of requests.
#[derive(Clone, Debug, Serialize)]
pub struct Latency {
    /// Requests with status 200.
    pub served: u64,
    /// Requests that were rejected, failed or timed out.
    #[serde(rename = "others")]
    pub not_served: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
}

impl Latency {
    fn new(latencies: &Histogram<u64>, not_served: u64) -> Self {
        let at = |q| latencies.value_at_quantile(q);
        Self { served: latencies.len(), not_served, p50_us: at(0.5), p99_us: at(0.99), p999_us: at(0.999) }
    }
}

/// The overhead of a sidecar.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// Requests per second, half of them directly and half through the sidecar.
    pub rate: f64,
    /// Directly to the backend.
    pub direct: Latency,
    /// Through the sidecar.
    pub through: Latency,
    /// The sidecar's processor time per request, in microseconds.
    pub cpu_us: f64,
}

/// Measures the latency through the sidecar and directly to the backend. Requests alternate between both in one run,
/// and the latency of each counts from its scheduled time.
pub fn measure_overhead(
    testbed: &SidecarBench,
    rate: f64,
    duration: Duration,
    seed: u64,
) -> io::Result<Overhead> {
    let before = testbed.sidecar_cpu();
    let routes = [Route { to: testbed.direct }, Route { to: testbed.through }];
    let results = open_loop(&routes, rate, duration, seed)?;
    let cpu_time = testbed.sidecar_cpu().zip(before).map_or(Duration::ZERO, |(after, before)| after - before);
    let [direct, through] = &results[..] else { return Err(io::ErrorKind::InvalidData.into()) };
    let cpu_us = cpu_time.as_secs_f64() * 1e6 / through.latencies.len().max(1) as f64;
    let latency = |route: &RouteResult| Latency::new(&route.latencies, route.not_served);
    Ok(Overhead { rate, direct: latency(direct), through: latency(through), cpu_us })
}

/// The highest rate that was served, and the next one, which was not.
#[derive(Clone, Debug, Serialize)]
pub struct Saturation {
    /// The rate of the last step that was served, in requests per second.
    #[serde(rename = "served")]
    pub served_rate: f64,
    /// The rate of the first step that was not served, in requests per second.
    #[serde(rename = "failed")]
    pub failed_rate: f64,
    /// The 99th percentile of the latency at the last step that was served.
    pub p99_us: u64,
}

/// Raises the rate in steps of 25% until less than 99% of the requests are served or the 99th percentile of the latency
/// is 100 ms or more, then again from the last rate that was served in steps of 5%.
pub fn find_saturation(to: SocketAddr, step: Duration, seed: u64) -> io::Result<Saturation> {
    let mut last = Saturation { served_rate: 0.0, failed_rate: f64::INFINITY, p99_us: 0 };
    let mut rate = 1000.0;
    for factor in [1.25, 1.05] {
        // The load generator itself saturates below this rate.
        while rate < 200_000.0 {
            let results = open_loop(&[Route { to }], rate, step, seed)?;
            let result = &results[0];
            let p99_us = result.latencies.value_at_quantile(0.99);
            if result.not_served * 100 > result.latencies.len() || p99_us >= 100_000 {
                tracing::debug!(
                    "{rate:.0} requests per second: {} served, {} not served, p99 {p99_us} us",
                    result.latencies.len(),
                    result.not_served
                );
                last.failed_rate = rate;
                break;
            }
            last = Saturation { served_rate: rate, p99_us, ..last };
            rate *= factor;
        }
        rate = last.served_rate.max(100.0) * 1.05;
    }
    Ok(last)
}

/// The memory of an idle connection, in bytes.
#[derive(Clone, Debug, Serialize)]
pub struct ConnectionMemory {
    /// The number of connections.
    pub connections: usize,
    /// In the sidecar.
    pub sidecar_bytes: f64,
    /// In the backend, as a baseline.
    pub server_bytes: f64,
}

/// Measures the memory of idle connections to the sidecar and to the backend, after one request on each connection.
pub fn measure_connection_memory(testbed: &SidecarBench, connections: usize) -> io::Result<ConnectionMemory> {
    let bytes_per_connection = |process: &Process, address: SocketAddr, path: &str| -> io::Result<f64> {
        let before = resident_kb(process.id());
        let mut open = Vec::new();
        for _ in 0..connections {
            let mut stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(Duration::from_secs(10)))?;
            write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")?;
            stream.read_exact(&mut [0; 12])?;
            open.push(stream);
        }
        let after = resident_kb(process.id());
        let kb = after.zip(before).map_or(0, |(after, before)| after.saturating_sub(before));
        Ok(kb as f64 * 1024.0 / connections as f64)
    };
    Ok(ConnectionMemory {
        connections,
        sidecar_bytes: bytes_per_connection(&testbed.sidecar, testbed.through, "/up")?,
        server_bytes: bytes_per_connection(&testbed.backend, testbed.direct, "/alive")?,
    })
}
