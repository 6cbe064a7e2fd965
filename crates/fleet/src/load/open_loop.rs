//! The open-loop load generator: requests are scheduled independently of responses. Latency counts from the scheduled
//! time of a request, so that the delay behind a slow response is included (no coordinated omission).

use crate::chance::stream;
use hdrhistogram::Histogram;
use rand::RngExt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The destination of a series of requests.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The address of a sidecar or a server.
    pub to: SocketAddr,
}

/// A request of the schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledRequest {
    /// The scheduled time, from the start of the run.
    pub due: Duration,
    /// The index of the route.
    pub route: usize,
}

/// The results of the requests of one route.
pub struct RouteResult {
    /// Latencies of the requests with status 200, in microseconds from their scheduled times.
    pub latencies: Histogram<u64>,
    /// The number of requests that were rejected, failed or timed out.
    pub not_served: u64,
}

/// The number of threads, which bounds the requests in flight: enough for the requests that wait for a response at the
/// lowest rate worth measuring. 96 sustain 1,000 requests/s up to a mean latency of 96 ms.
const THREADS: usize = 96;
/// How long before the scheduled time a thread stops sleeping and starts to spin.
const SPIN_TIME: Duration = Duration::from_micros(120);
/// Timeout of connecting and of each read.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// A schedule with exponentially distributed intervals (a Poisson process of this rate), with the routes in turn.
pub fn schedule(routes: usize, rate: f64, duration: Duration, seed: u64) -> Vec<ScheduledRequest> {
    let mut rng = stream(seed, "schedule", 0);
    let (mut requests, mut at) = (Vec::new(), 0.0);
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= duration.as_secs_f64() {
            return requests;
        }
        requests.push(ScheduledRequest { due: Duration::from_secs_f64(at), route: requests.len() % routes });
    }
}

/// The correlation id of the next request. Each request has a new one, as a sidecar rejects an id that it has seen.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Sends requests by a schedule. Returns the results of each route.
pub fn open_loop(routes: &[Route], rate: f64, duration: Duration, seed: u64) -> io::Result<Vec<RouteResult>> {
    let requests = schedule(routes.len(), rate, duration, seed);
    let next = AtomicUsize::new(0);
    let empty_result = || -> io::Result<RouteResult> {
        let latencies = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        Ok(RouteResult { latencies, not_served: 0 })
    };
    let start = Instant::now() + Duration::from_millis(20);
    let run_thread = || -> io::Result<Vec<RouteResult>> {
        let mut results = routes.iter().map(|_| empty_result()).collect::<io::Result<Vec<_>>>()?;
        let mut connections: Vec<Option<TcpStream>> = routes.iter().map(|_| None).collect();
        let mut buffer = vec![0; 4096];
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let Some(request) = requests.get(number) else { return Ok(results) };
            let due = start + request.due;
            wait_until(due);
            let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
            let connection = connections[request.route].take();
            match send_request(connection, routes[request.route].to, id, &mut buffer) {
                Ok((connection, 200)) => {
                    connections[request.route] = connection;
                    results[request.route].latencies.saturating_record(due.elapsed().as_micros() as u64);
                }
                Ok((connection, _)) => {
                    connections[request.route] = connection;
                    results[request.route].not_served += 1;
                }
                Err(_) => results[request.route].not_served += 1,
            }
        }
    };
    let results: Vec<io::Result<Vec<RouteResult>>> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(run_thread)).collect();
        let joined = threads.into_iter().map(|t| t.join());
        joined
            .map(|j| j.unwrap_or_else(|_| Err(io::Error::other("a thread of the load generator panicked"))))
            .collect()
    });
    let mut sums = routes.iter().map(|_| empty_result()).collect::<io::Result<Vec<_>>>()?;
    for result in results {
        for (sum, route) in sums.iter_mut().zip(result?) {
            sum.latencies.add(&route.latencies).map_err(io::Error::other)?;
            sum.not_served += route.not_served;
        }
    }
    Ok(sums)
}

/// Sleeps and then spins until the given time, more exactly than by sleeping alone.
fn wait_until(due: Instant) {
    let remaining = due.saturating_duration_since(Instant::now());
    if remaining > SPIN_TIME {
        std::thread::sleep(remaining - SPIN_TIME);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}

/// Sends a request over the given connection or a new one. Returns the connection, unless the response closes it, and
/// the status.
fn send_request(
    connection: Option<TcpStream>,
    to: SocketAddr,
    id: u64,
    buffer: &mut [u8],
) -> io::Result<(Option<TcpStream>, u16)> {
    let mut stream = match connection {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect_timeout(&to, REQUEST_TIMEOUT)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
            stream
        }
    };
    let request = format!(
        "GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: look\r\n\
         X-Time-Left: 3000m\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut received = 0;
    loop {
        let n = stream.read(&mut buffer[received..])?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        received += n;
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(&buffer[..received]).map_err(io::Error::other)?;
        let httparse::Status::Complete(end) = parsed else { continue };
        let header = |name: &str| {
            let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            found.and_then(|h| std::str::from_utf8(h.value).ok())
        };
        let length: usize = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        if received >= end + length {
            let closes = header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            return Ok(((!closes).then_some(stream), head.code.unwrap_or(0)));
        }
    }
}

#[cfg(test)]
mod tests;
