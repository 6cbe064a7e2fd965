//! Case 3: ledger servers that at times give a second answer some milliseconds late.
//!
//! One sidecar, six ledger servers, and eight clients that read ledgers, each its own, about 130 times a second in
//! all. With the disruption, one of ten answers is sent a second time, 8 ms after the first, on the same
//! connection. Each answer holds the id of the request that it was made for.

use review_stand_ins::*;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 6;
const CLIENTS: u64 = 8;
const ONE_IN: u64 = 10;
const LATE: Duration = Duration::from_millis(8);
const LATEST: Duration = Duration::from_micros(9500);
const RUN: Duration = Duration::from_secs(30);
/// A request takes 15 to 21 ms, and its client waits up to 86 ms before the next one.
const WORK_MS: u64 = 15;
const MOST_PAUSE_MS: u64 = 86;

fn start_server(name: String, record: Record) -> io::Result<Entry> {
    let listener = listen();
    let entry = Entry::active(&name, listener.local_addr()?);
    let served = AtomicU64::new(0);
    serve(listener, move |peer| {
        let head = peer.head()?;
        let id = head.header("x-correlation-id").to_owned();
        let number = served.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(WORK_MS + number % 7));
        record.line(format!("{name}: {id} run"));
        let text = answer("200 OK", "", format!("ledger of {id}").as_bytes());
        peer.write(&text)?;
        if trouble() && number % ONE_IN == ONE_IN - 1 {
            let answered = Instant::now();
            thread::sleep(LATE);
            // A sleep that took too long would leave "some milliseconds".
            if answered.elapsed() < LATEST {
                record.line(format!("{name}: {id} answered a second time"));
                peer.write(&text)?;
            }
        }
        Ok(())
    });
    Ok(entry)
}

/// Reads ledgers until the end of the run; returns how many answers were another request's.
fn client(number: u64, sidecar: SocketAddr, until: Instant, record: &Record) -> io::Result<u64> {
    let connect = || {
        let stream = TcpStream::connect(sidecar)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        io::Result::Ok(Peer::new(stream))
    };
    let mut peer = connect()?;
    let mut foreign = 0;
    for request in 0u64.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{number:04x}{request:012x}");
        record.line(format!("client: {id} sent"));
        peer.write(request_head("ledger-read", &id, 1600, "", "").as_bytes())?;
        let head = peer.head()?;
        let text = String::from_utf8_lossy(&peer.body(&head)?).into_owned();
        record.line(format!("client: {id} answered {} {text:?}", head.status()));
        if head.status() == 200 && text != format!("ledger of {id}") {
            record.line(format!("{id}: served with an answer that was not made for it"));
            foreign += 1;
        }
        if !trouble() && head.status() != 200 {
            return Err(io::Error::other("without the disruption a request was not served"));
        }
        if head.header("connection").eq_ignore_ascii_case("close") {
            peer = connect()?;
        }
        thread::sleep(Duration::from_millis(hash(id.as_bytes()) % (MOST_PAUSE_MS + 1)));
    }
    Ok(foreign)
}

fn main() {
    run_case(|record, folder| {
        let entries = (0..SERVERS)
            .map(|server| start_server(format!("s-{server}"), record.clone()))
            .collect::<io::Result<Vec<_>>>()?;
        let discovery = Discovery::start(entries.clone())?;
        let sidecar = Sidecar::start(discovery.address, &entries, MOST, &folder.join("sidecar.log"))?;
        let (address, until) = (sidecar.address, Instant::now() + RUN);
        let foreign = Arc::new(AtomicU64::new(0));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (record, foreign) = (record.clone(), Arc::clone(&foreign));
                thread::spawn(move || {
                    client(number, address, until, &record).map(|n| foreign.fetch_add(n, Ordering::SeqCst))
                })
            })
            .collect();
        for client in clients {
            client.join().map_err(|_| io::Error::other("a client panicked"))??;
        }
        let foreign = foreign.load(Ordering::SeqCst);
        record.line(format!("{foreign} requests were served with answers that were not made for them"));
        Ok(foreign == 0)
    });
}
