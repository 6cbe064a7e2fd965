//! Load on real sockets: an open-loop generator, and measurements of a real sidecar against going direct to the same
//! stand-in server in the same run. Blocking threads, as timers of a runtime are no finer than a millisecond.

mod open_loop;
pub mod registry;
mod usage;

pub use open_loop::{Answered, Route, Shot, open_loop};
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

/// The settings object of a sidecar that is measured alone: one class of requests, one zone.
pub(crate) fn settings() -> Value {
    let lane = json!({"Name": "look", "AimUs": 1_000_000, "DeadlineUs": 3_000_000, "Effect": "pure"});
    json!({"Balancers": 1, "Index": 0, "Discovery": "pushed", "WeightSource": "rough",
        "TickUs": 1000, "Lanes": [lane], "Zone": "a", "Zones": ["a"],
        "Limits": {"DialTimeoutUs": 150_000, "IdleCloseUs": 60_000_000, "MaxAttempts": 5, "MayCancel": true},
        "Rules": {"ColdShare": 0.12, "OverloadFactor": 3.0, "TipAfterUs": 3_000_000,
            "WarmWithinUs": 23_000_000}})
}

/// A sidecar in front of one stand-in server, and the way past it.
pub struct SidecarBench {
    sidecar: Process,
    server: Process,
    /// Where the sidecar listens.
    pub through: SocketAddr,
    /// Where the server listens.
    pub direct: SocketAddr,
    _folder: tempfile::TempDir,
    // Ends both where this process is killed.
    _reaper: ProcessGuard,
}

impl SidecarBench {
    /// Starts both, each on a core of its own where there are as many; the rest is for the generator, which has
    /// this thread's cores and those of the threads that it starts.
    pub fn start(work_us: u64) -> io::Result<Self> {
        let programs = Programs::find()?;
        let reaper = ProcessGuard::start(&programs.lotusmoor)?;
        let folder = tempfile::tempdir()?;
        let (through, direct) = (unused_address(), unused_address());
        let conduct = Conduct { work_us, ..Conduct::default() };
        let mut command = Command::new(&programs.lotusmoor);
        command.args(["--log", "error", "fleet", "stand-in", "ledger", "--name", "s-0"]);
        command.args(["--listen", &direct.to_string(), "--conduct", &serde_json::to_string(&conduct)?]);
        let server = Process::start(command, "server", &folder.path().join("server.log"), Some(&reaper))?;
        let entry = json!({"name": "s-0", "address": direct, "zone": "a", "type": "m", "group": 1,
            "status": "active", "weight": 1.0, "since_ms": 0});
        let config = json!({"name": "n0", "listen": through, "discovery": unused_address(), "seed": "01",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "known": {"index": 1, "snapshot": true, "endpoints": [entry]}, "settings": settings()});
        let path = folder.path().join("sidecar.json");
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(&programs.sidecar);
        command.env("LB_CONFIG", &path).env_remove("LB_LISTEN").env_remove("LB_DISCOVERY");
        let sidecar = Process::start(command, "sidecar", &folder.path().join("sidecar.log"), Some(&reaper))?;
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        if cores > 2 {
            pin(Some(sidecar.id()), &[0])?;
            pin(Some(server.id()), &[1])?;
            pin(None, &(2..cores).collect::<Vec<_>>())?;
        }
        let up = |at: SocketAddr, path: &str| once(at, path).is_ok_and(|status| status == 200);
        if !until(|| up(direct, "/alive") && up(through, "/up")) {
            return Err(io::Error::other(format!("the sidecar never served: {}", sidecar.log_text())));
        }
        Ok(Self { sidecar, server, through, direct, _folder: folder, _reaper: reaper })
    }

    /// Processor time that the sidecar has used.
    pub fn sidecar_cpu(&self) -> Option<Duration> {
        used_cpu(self.sidecar.id())
    }
}

pub(crate) fn once(at: SocketAddr, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    Ok(std::str::from_utf8(&head[9..]).ok().and_then(|s| s.parse().ok()).unwrap_or(0))
}

/// Latencies of one way, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Latency {
    /// Requests served, and others.
    pub served: u64,
    /// Refused, failed or lost.
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
    fn of(latencies: &Histogram<u64>, not_served: u64) -> Self {
        let at = |q| latencies.value_at_quantile(q);
        Self { served: latencies.len(), not_served, p50_us: at(0.5), p99_us: at(0.99), p999_us: at(0.999) }
    }
}

/// What a sidecar adds.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// Requests a second, half of them each way.
    pub rate: f64,
    /// Past the sidecar.
    pub direct: Latency,
    /// Through it.
    pub through: Latency,
    /// Its processor time for a request, in microseconds.
    pub cpu_us: f64,
}

/// Latency through the sidecar and past it, in turn in one run, from the instant at which each request is due.
pub fn measure_overhead(
    bench: &SidecarBench,
    rate: f64,
    length: Duration,
    seed: u64,
) -> io::Result<Overhead> {
    let before = bench.sidecar_cpu();
    let routes = [Route { to: bench.direct }, Route { to: bench.through }];
    let answered = open_loop(&routes, rate, length, seed)?;
    let used = bench.sidecar_cpu().zip(before).map_or(Duration::ZERO, |(after, before)| after - before);
    let [direct, through] = &answered[..] else { return Err(io::ErrorKind::InvalidData.into()) };
    let cpu_us = used.as_secs_f64() * 1e6 / through.latencies.len().max(1) as f64;
    let of = |a: &Answered| Latency::of(&a.latencies, a.not_served);
    Ok(Overhead { rate, direct: of(direct), through: of(through), cpu_us })
}

/// The highest rate that was served, and the one at which it was not.
#[derive(Clone, Debug, Serialize)]
pub struct Saturation {
    /// Requests a second of the last step that was served.
    #[serde(rename = "served")]
    pub served_rate: f64,
    /// Those of the first that was not.
    #[serde(rename = "failed")]
    pub failed_rate: f64,
    /// Its 99th percentile at the last step that was served.
    pub p99_us: u64,
}

/// Raises the rate by quarters until less than 99% come back or one in a hundred takes over 100 ms, then once more
/// from the last that was served by steps of 5%.
pub fn find_saturation(to: SocketAddr, step: Duration, seed: u64) -> io::Result<Saturation> {
    let mut last = Saturation { served_rate: 0.0, failed_rate: f64::INFINITY, p99_us: 0 };
    let mut rate = 1000.0;
    for factor in [1.25, 1.05] {
        // The generator itself gives out somewhere below this.
        while rate < 200_000.0 {
            let answered = open_loop(&[Route { to }], rate, step, seed)?;
            let a = &answered[0];
            let p99_us = a.latencies.value_at_quantile(0.99);
            if a.not_served * 100 > a.latencies.len() || p99_us >= 100_000 {
                tracing::debug!(
                    "{rate:.0} a second: {} served, {} not, p99 {p99_us} us",
                    a.latencies.len(),
                    a.not_served
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

/// Memory that idle connections take, in bytes each.
#[derive(Clone, Debug, Serialize)]
pub struct ConnectionMemory {
    /// Connections that were held.
    pub connections: usize,
    /// At the sidecar.
    pub sidecar_bytes: f64,
    /// At the stand-in server, which does next to nothing.
    pub server_bytes: f64,
}

/// Holds so many idle connections to each, one request having been served on each of them.
pub fn measure_connection_memory(bench: &SidecarBench, connections: usize) -> io::Result<ConnectionMemory> {
    let grown = |process: &Process, at: SocketAddr, path: &str| -> io::Result<f64> {
        let before = resident_kb(process.id());
        let mut held = Vec::new();
        for _ in 0..connections {
            let mut stream = TcpStream::connect(at)?;
            stream.set_read_timeout(Some(Duration::from_secs(10)))?;
            write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")?;
            stream.read_exact(&mut [0; 12])?;
            held.push(stream);
        }
        let after = resident_kb(process.id());
        let kb = after.zip(before).map_or(0, |(after, before)| after.saturating_sub(before));
        Ok(kb as f64 * 1024.0 / connections as f64)
    };
    Ok(ConnectionMemory {
        connections,
        sidecar_bytes: grown(&bench.sidecar, bench.through, "/up")?,
        server_bytes: grown(&bench.server, bench.direct, "/alive")?,
    })
}
