//! Case 2: many bodies of the size that the protocol allows, at a sidecar with a limit on memory.
//!
//! One sidecar with 32 MB and 1,024 descriptors, 14 ledger servers, and 330 clients (a third of the descriptors is
//! 341), each of which posts an entry once a second, all in the same moment. With the disruption the bodies have
//! 64,000 bytes, without it 500. The platform looks at the sidecar's memory 50 times a second and kills it once that is
//! over the limit of its configuration. It counts what is the process's own alone, neither the program's file nor what
//! the system holds for its sockets.

use review_stand_ins::*;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: usize = 1024;
const SERVERS: usize = 14;
const CLIENTS: u64 = 330;
const LONG_BYTES: usize = 64_000;
const SHORT_BYTES: usize = 500;
const WORK: Duration = Duration::from_millis(50);
const PERIOD: Duration = Duration::from_secs(1);
const RUN: Duration = Duration::from_secs(15);
const TIME_LEFT_MS: u64 = 2400;
const LOOK: Duration = Duration::from_millis(20);

fn start_server(name: String, record: Record) -> io::Result<Entry> {
    let listener = listen();
    let entry = Entry::active(&name, listener.local_addr()?);
    serve(listener, move |peer| {
        let head = peer.head()?;
        let body = peer.body(&head)?;
        thread::sleep(WORK);
        record.line(format!("{name}: {} run with {} bytes", head.header("x-correlation-id"), body.len()));
        peer.write(&answer("200 OK", "", b"posted"))
    });
    Ok(entry)
}

/// Posts once a period; a request that crosses the end of a resting connection is sent once more on a new one.
fn client(number: u64, sidecar: SocketAddr, start: Instant, stop: &AtomicBool, record: &Record) {
    let bytes = body(number + 1, if trouble() { LONG_BYTES } else { SHORT_BYTES });
    let connect = || {
        let stream = TcpStream::connect(sidecar)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        io::Result::Ok(Peer::new(stream))
    };
    let mut resting: Option<Peer> = None;
    for wave in 0u32.. {
        let at = start + PERIOD * wave;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if stop.load(Ordering::SeqCst) || at >= start + RUN {
            return;
        }
        let id = format!("{number:04x}{wave:012x}");
        let framing = format!("Content-Length: {}\r\n", bytes.len());
        let head = request_head("entry-post", &id, TIME_LEFT_MS, &format!("key-{id}"), &framing);
        let request = [head.as_bytes(), &bytes].concat();
        let exchange = |peer: &mut Peer| {
            peer.write(&request)?;
            let head = peer.head()?;
            peer.body(&head)?;
            io::Result::Ok(head)
        };
        record.line(format!("client: {id} sends {} bytes", bytes.len()));
        let first = resting.take().map(|mut peer| (exchange(&mut peer), peer));
        let answered = match first {
            Some((Ok(head), peer)) => Ok((head, peer)),
            // An answer that takes too long is no end of the connection.
            Some((Err(e), _)) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Err(e)
            }
            // The connection was resting: the request crossed its end.
            _ => connect().and_then(|mut peer| Ok((exchange(&mut peer)?, peer))),
        };
        match answered {
            Ok((head, peer)) => {
                record.line(format!("client: {id} answered {}", head.status()));
                resting = Some(peer).filter(|_| !head.header("connection").eq_ignore_ascii_case("close"));
            }
            Err(e) => record.line(format!("client: {id} not answered: {e}")),
        }
    }
}

/// The value of a line of a process's status, in kB.
fn memory_kb(process: u32, line: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    status.lines().find_map(|l| l.strip_prefix(line)?.trim().strip_suffix(" kB")?.trim().parse().ok())
}

fn main() {
    run_case(|record, folder| {
        let entries = (0..SERVERS)
            .map(|server| start_server(format!("s-{server}"), record.clone()))
            .collect::<io::Result<Vec<_>>>()?;
        let discovery = Discovery::start(entries.clone())?;
        let limits = Limits { sockets: SOCKETS, memory_mb: MEMORY_MB };
        let sidecar = Sidecar::start(discovery.address, &entries, limits, &folder.join("sidecar.log"))?;
        let (address, process) = (sidecar.address, sidecar.process.id());
        let (start, stop) = (Instant::now() + Duration::from_millis(200), Arc::new(AtomicBool::new(false)));
        let most = AtomicU64::new(0);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (record, stop) = (record.clone(), Arc::clone(&stop));
                thread::spawn(move || client(number, address, start, &stop, &record))
            })
            .collect();
        let mut killed = false;
        while Instant::now() < start + RUN && !killed {
            thread::sleep(LOOK);
            let Some(own) = memory_kb(process, "RssAnon:") else {
                return Err(io::Error::other("the sidecar ended by itself"));
            };
            most.fetch_max(own, Ordering::SeqCst);
            if own > MEMORY_MB * 1024 {
                let resident = memory_kb(process, "VmRSS:").unwrap_or(0);
                record.line(format!(
                    "platform: {own} kB of its own, {resident} kB resident, over the limit of {} kB: killed",
                    MEMORY_MB * 1024
                ));
                Command::new("/bin/sh").args(["-c", &format!("kill -KILL {process}")]).status()?;
                killed = true;
            }
        }
        stop.store(true, Ordering::SeqCst);
        for client in clients {
            client.join().map_err(|_| io::Error::other("a client panicked"))?;
        }
        record.line(format!("platform: most memory of its own seen: {} kB", most.load(Ordering::SeqCst)));
        drop(sidecar);
        Ok(!killed)
    });
}
