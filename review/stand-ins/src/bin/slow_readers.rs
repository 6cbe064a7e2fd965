//! Case 3: clients that read long answers slowly, at a sidecar whose socket the platform holds.
//!
//! The platform holds the clients' socket. A first process serves; a new one is started beside it, says yes to
//! `health`, and the first is told to end, which it does: from then on the new process is alone. Then 56 clients ask
//! for answers of 4 MB, and, 2 s after the last of them, 24 clients for short ones, each on a new connection. All
//! together that is 80 connections, under a third of the 256 descriptors. With the disruption, the 56 clients read
//! their answers at 64 kB a second; without it, as fast as they can.

use review_stand_ins::*;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const SOCKETS: usize = 256;
const LONG: u64 = 56;
const SHORT: u64 = 24;
const SERVERS: usize = 12;
const LONG_BYTES: usize = 4_000_000;
const WORK: Duration = Duration::from_millis(20);
const TIME_LEFT: Duration = Duration::from_millis(1600);
/// Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer on sockets.
const BOUND: Duration = Duration::from_millis(1600 + 500 + 50);
const CLIENT_PATIENCE: Duration = Duration::from_secs(8);
const PIECE_BYTES: usize = 6400;
const PIECE_PAUSE: Duration = Duration::from_millis(100);
const LONG_ID: &str = "10a6";
const SHORT_ID: &str = "5407";

fn start_server(name: &str, long: Arc<Vec<u8>>, record: Record) -> io::Result<Entry> {
    let listener = listen();
    let entry = Entry::active(name, listener.local_addr()?);
    let name = name.to_owned();
    serve(listener, move |peer| {
        let head = peer.head()?;
        let id = head.header("x-correlation-id").to_owned();
        thread::sleep(WORK);
        record.line(format!("{name}: {id} run"));
        let body = if id.starts_with(LONG_ID) { long.as_slice() } else { id.as_bytes() };
        peer.write(&answer("200 OK", "", body))
    });
    Ok(entry)
}

/// Asks once on a new connection; returns the connection with its answer's head, and whether that came in time.
fn ask(id: &str, sidecar: SocketAddr, record: &Record) -> io::Result<(Peer, io::Result<Head>, bool)> {
    let mut peer = Peer::new(TcpStream::connect(sidecar)?);
    peer.write(request_head("ledger-read", id, TIME_LEFT.as_millis() as u64, "", "").as_bytes())?;
    let last_byte = Instant::now();
    record.line(format!("client: {id} sent"));
    peer.stream.set_read_timeout(Some(CLIENT_PATIENCE))?;
    let head = peer.head();
    let after = last_byte.elapsed();
    let status = head.as_ref().map(Head::status);
    record.line(format!("client: {id} answer begun: {status:?}, {:.3} s after its last byte", after.as_secs_f64()));
    let in_time = head.is_ok() && after <= BOUND;
    if !in_time {
        record.line(format!("{id}: lost, its answer was owed {:.2} s after its last byte", BOUND.as_secs_f64()));
    }
    if !trouble() && !matches!(head, Ok(ref head) if head.status() == 200) {
        return Err(io::Error::other("without the disruption a request was not served"));
    }
    Ok((peer, head, in_time))
}

/// Asks for a long answer, and reads it until the end or until `stop`.
fn ask_for_long(id: &str, sidecar: SocketAddr, stop: &AtomicBool, record: &Record) -> io::Result<bool> {
    let (mut peer, head, in_time) = ask(id, sidecar, record)?;
    let Ok(head) = head else { return Ok(in_time) };
    if !trouble() {
        let length = peer.body(&head)?.len();
        record.line(format!("client: {id} has read all {length} bytes"));
        return Ok(in_time);
    }
    let (mut piece, mut read) = ([0; PIECE_BYTES], 0);
    while !stop.load(Ordering::SeqCst) {
        match peer.stream.read(&mut piece) {
            Ok(length) if length > 0 => read += length,
            _ => break,
        }
        thread::sleep(PIECE_PAUSE);
    }
    record.line(format!("client: {id} leaves after {read} bytes"));
    Ok(in_time)
}

fn ask_for_short(id: &str, sidecar: SocketAddr, record: &Record) -> io::Result<bool> {
    let (mut peer, head, in_time) = ask(id, sidecar, record)?;
    if let Ok(head) = head {
        peer.body(&head)?;
    }
    Ok(in_time)
}

fn run(record: &Record, folder: &Path) -> io::Result<bool> {
    let long = Arc::new(body(1, LONG_BYTES));
    let entries = (0..SERVERS)
        .map(|server| start_server(&format!("s-{server}"), Arc::clone(&long), record.clone()))
        .collect::<io::Result<Vec<_>>>()?;
    let discovery = Discovery::start(entries.clone());
    let socket = listen();
    let shared = TemporaryFolder::create()?;
    let start = |log: &str| {
        let passed = Some((&socket, shared.path()));
        Sidecar::start_with(discovery.address, &entries, &folder.join(log), Start { sockets: SOCKETS, passed })
    };
    let old = start("sidecar-old.log")?;
    record.line("platform: the first process says yes");
    let new = start("sidecar-new.log")?;
    record.line("platform: the new process says yes, SIGTERM to the first one");
    old.end()?;
    record.line("platform: the first process has ended");
    let sidecar = new.address;
    let stop = Arc::new(AtomicBool::new(false));
    let long_clients: Vec<_> = (0..LONG)
        .map(|number| {
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || ask_for_long(&format!("{LONG_ID}{number:012x}"), sidecar, &stop, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let short_clients: Vec<_> = (0..SHORT)
        .map(|number| {
            let record = record.clone();
            thread::sleep(Duration::from_millis(50));
            thread::spawn(move || ask_for_short(&format!("{SHORT_ID}{number:012x}"), sidecar, &record))
        })
        .collect();
    let mut held = true;
    let panicked = |_| io::Error::other("a client panicked");
    for client in short_clients {
        held &= client.join().map_err(panicked)??;
    }
    stop.store(true, Ordering::SeqCst);
    for client in long_clients {
        held &= client.join().map_err(panicked)??;
    }
    drop(new);
    Ok(held)
}

fn main() {
    run_case(run);
}
