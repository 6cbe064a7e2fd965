//! The generator: requests by a schedule that waits for no answer. A request's latency counts from the instant at which
//! it was due, so that what a slow answer holds up is not left out.

use crate::chance::stream;
use hdrhistogram::Histogram;
use rand::RngExt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Where requests go.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// A sidecar, or a server.
    pub to: SocketAddr,
}

/// One request of the schedule.
#[derive(Clone, Copy, Debug)]
pub struct Shot {
    /// After the beginning.
    pub due: Duration,
    /// Which way it goes.
    pub route: usize,
}

/// What came of one route's requests.
pub struct Answered {
    /// Latencies of those served, in microseconds from when they were due.
    pub latencies: Histogram<u64>,
    /// Refused, failed or lost.
    pub not_served: u64,
}

/// Threads, which bound how many requests are out at a time: as many as wait at the least served rate worth measuring.
const THREADS: usize = 96;
/// Before a request is due, a thread stops sleeping and watches the clock.
const WATCH: Duration = Duration::from_micros(120);
/// A client waits no longer.
const WAIT: Duration = Duration::from_secs(3);

/// Requests at random instants at that rate, to each route in turn.
pub fn schedule(routes: usize, rate: f64, length: Duration, seed: u64) -> Vec<Shot> {
    let mut rng = stream(seed, "schedule", 0);
    let (mut shots, mut at) = (Vec::new(), 0.0);
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= length.as_secs_f64() {
            return shots;
        }
        shots.push(Shot { due: Duration::from_secs_f64(at), route: shots.len() % routes });
    }
}

/// Ids are new with each request of this process: a sidecar takes none twice.
static ID: AtomicU64 = AtomicU64::new(1);

/// Sends requests by a schedule; gives what came of each route's.
pub fn open_loop(routes: &[Route], rate: f64, length: Duration, seed: u64) -> io::Result<Vec<Answered>> {
    let shots = schedule(routes.len(), rate, length, seed);
    let next = AtomicUsize::new(0);
    let empty = || -> io::Result<Answered> {
        let latencies = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        Ok(Answered { latencies, not_served: 0 })
    };
    let begun = Instant::now() + Duration::from_millis(20);
    let work = || -> io::Result<Vec<Answered>> {
        let mut answered = routes.iter().map(|_| empty()).collect::<io::Result<Vec<_>>>()?;
        let mut connections: Vec<Option<TcpStream>> = routes.iter().map(|_| None).collect();
        let mut buffer = vec![0; 4096];
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let Some(shot) = shots.get(number) else { return Ok(answered) };
            let due = begun + shot.due;
            wait_until(due);
            let id = ID.fetch_add(1, Ordering::Relaxed);
            let kept = connections[shot.route].take();
            match ask(kept, routes[shot.route].to, id, &mut buffer) {
                Ok((connection, 200)) => {
                    connections[shot.route] = connection;
                    answered[shot.route].latencies.saturating_record(due.elapsed().as_micros() as u64);
                }
                Ok((connection, _)) => {
                    connections[shot.route] = connection;
                    answered[shot.route].not_served += 1;
                }
                Err(_) => answered[shot.route].not_served += 1,
            }
        }
    };
    let all: Vec<io::Result<Vec<Answered>>> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let joined = threads.into_iter().map(|t| t.join());
        joined
            .map(|j| j.unwrap_or_else(|_| Err(io::Error::other("a thread of the generator failed"))))
            .collect()
    });
    let mut sums = routes.iter().map(|_| empty()).collect::<io::Result<Vec<_>>>()?;
    for part in all {
        for (sum, part) in sums.iter_mut().zip(part?) {
            sum.latencies.add(&part.latencies).map_err(io::Error::other)?;
            sum.not_served += part.not_served;
        }
    }
    Ok(sums)
}

fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > WATCH {
        std::thread::sleep(left - WATCH);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}

/// One request; gives the connection, if it is kept, and the status.
fn ask(
    kept: Option<TcpStream>,
    to: SocketAddr,
    id: u64,
    buffer: &mut [u8],
) -> io::Result<(Option<TcpStream>, u16)> {
    let mut stream = match kept {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect_timeout(&to, WAIT)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(WAIT))?;
            stream
        }
    };
    let text = format!(
        "GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: look\r\n\
         X-Time-Left: 3000m\r\n\r\n"
    );
    stream.write_all(text.as_bytes())?;
    let mut held = 0;
    loop {
        let n = stream.read(&mut buffer[held..])?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        held += n;
        let mut slots = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut slots);
        let parsed = head.parse(&buffer[..held]).map_err(io::Error::other)?;
        let httparse::Status::Complete(end) = parsed else { continue };
        let header = |name: &str| {
            let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            found.and_then(|h| std::str::from_utf8(h.value).ok())
        };
        let length: usize = header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        if held >= end + length {
            let closes = header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            return Ok(((!closes).then_some(stream), head.code.unwrap_or(0)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_schedule_follows_its_seed_and_rate_and_takes_turns() {
        let shots = schedule(2, 1000.0, Duration::from_secs(10), 1);
        assert!((9_500..10_500).contains(&shots.len()), "{}", shots.len());
        assert!(shots.windows(2).all(|w| w[0].due <= w[1].due && w[0].route != w[1].route));
        let dues = |seed| {
            schedule(2, 1000.0, Duration::from_secs(1), seed).iter().map(|s| s.due).collect::<Vec<_>>()
        };
        assert_eq!(dues(3), dues(3));
        assert_ne!(dues(3), dues(4));
    }

    #[test]
    fn what_a_slow_answer_holds_up_counts_from_when_it_was_due() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let to = listener.local_addr().expect("an address");
        // It takes a second before it hears anyone, and answers at once from then on.
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(1));
            for mut stream in listener.incoming().map_while(Result::ok) {
                std::thread::spawn(move || {
                    let mut buffer = [0; 1024];
                    while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
                        let _ = stream.write_all(b"HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n");
                    }
                });
            }
        });
        let answered = open_loop(&[Route { to }], 100.0, Duration::from_millis(800), 1).expect("it runs");
        let all = &answered[0].latencies;
        assert_eq!(answered[0].not_served, 0);
        // Due from 0 to 0.8 s, answered from 1 s on: none under 0.15 s, the median about 0.6 s.
        assert!(all.min() > 150_000 && all.value_at_quantile(0.5) > 400_000, "{} {}", all.min(), all.max());
    }
}
