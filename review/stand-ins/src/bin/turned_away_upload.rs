//! Case 1: a long posting whose first attempts are turned away because the ledger servers' queues are full.
//!
//! Three rounds side by side, each with a sidecar, discovery, three ledger servers and one client of its own. The
//! client posts 200,000 bytes in chunked encoding at 64 kB a second. With the disruption, each ledger server's queue
//! is full when it is asked for the first time: it answers 503 with `X-Unprocessed: 1` as soon as it has the head,
//! reads what is left of the request, drops it, and keeps the connection. Everything after that is served.

use review_stand_ins::*;
use std::io;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ROUNDS: u64 = 3;
const SERVERS: usize = 3;
const BODY_BYTES: usize = 200_000;
/// One piece each quarter of a second: 64 kB a second.
const PIECE_BYTES: usize = 16_000;
const PIECE_PAUSE: Duration = Duration::from_millis(250);
const WORK: Duration = Duration::from_millis(30);
const TIME_LEFT_MS: u64 = 2000;

/// Length and sum of each body that a ledger server ran.
type Runs = Arc<Mutex<Vec<(usize, u64)>>>;

fn start_server(name: String, runs: Runs, record: Record) -> io::Result<Entry> {
    let listener = listen();
    let entry = Entry::active(&name, listener.local_addr()?);
    let was_full = AtomicBool::new(!trouble());
    serve(listener, move |peer| {
        let head = peer.head()?;
        let id = head.header("x-correlation-id").to_owned();
        if !was_full.swap(true, Ordering::SeqCst) {
            record.line(format!("{name}: {id} turned away, queue full"));
            peer.write(&answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", b""))?;
            let rest = peer.body(&head);
            record.line(format!(
                "{name}: {id} dropped what was turned away: {:?}",
                rest.as_ref().map(Vec::len)
            ));
            return rest.map(drop);
        }
        let body = peer.body(&head).inspect_err(|e| record.line(format!("{name}: {id} broke off: {e}")))?;
        thread::sleep(WORK);
        let sum = hash(&body);
        record.line(format!("{name}: {id} run with {} bytes, sum {sum:016x}", body.len()));
        runs.lock().unwrap().push((body.len(), sum));
        peer.write(&answer("200 OK", "", format!("posted {}", body.len()).as_bytes()))
    });
    Ok(entry)
}

/// Posts one long body; returns whether it was run as it was sent, or not at all.
fn round(number: u64, record: &Record, folder: &Path) -> io::Result<bool> {
    let runs = Runs::default();
    let entries = (0..SERVERS)
        .map(|server| start_server(format!("s-{number}{server}"), Arc::clone(&runs), record.clone()))
        .collect::<io::Result<Vec<_>>>()?;
    let discovery = Discovery::start(entries.clone())?;
    let sidecar =
        Sidecar::start(discovery.address, &entries, MOST, &folder.join(format!("sidecar-{number}.log")))?;
    let id = format!("9b1f03aa5c7e{number:04x}");
    let key = format!("5c0f6e1a2b3d4c59a8b7c6d5e4f3{number:04x}");
    let bytes = body(number + 1, BODY_BYTES);
    let sum = hash(&bytes);
    let mut client = Peer::new(TcpStream::connect(sidecar.address)?);
    let head = request_head("entry-post", &id, TIME_LEFT_MS, &key, "Transfer-Encoding: chunked\r\n");
    client.write(head.as_bytes())?;
    for piece in bytes.chunks(PIECE_BYTES) {
        client.write(&[format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat())?;
        thread::sleep(PIECE_PAUSE);
    }
    client.write(b"0\r\n\r\n")?;
    record.line(format!("client: {id} sent with {} bytes, sum {sum:016x}", bytes.len()));
    client.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let answered = client.head().and_then(|head| Ok((head.status(), client.body(&head)?)));
    match &answered {
        Ok((status, text)) => {
            record.line(format!("client: {id} answered {status} {:?}", String::from_utf8_lossy(text)));
        }
        Err(e) => record.line(format!("client: {id} not answered: {e}")),
    }
    if !trouble() && !matches!(answered, Ok((200, _))) {
        return Err(io::Error::other("without the disruption the posting was not served"));
    }
    let foreign: Vec<_> = runs.lock().unwrap().iter().copied().filter(|run| run.1 != sum).collect();
    for (length, _) in &foreign {
        record.line(format!("{id}: run with {length} bytes, a request that no client sent"));
    }
    Ok(foreign.is_empty())
}

fn main() {
    run_case(|record, folder| {
        let rounds: Vec<_> = (0..ROUNDS)
            .map(|number| {
                let (record, folder) = (record.clone(), folder.to_owned());
                thread::spawn(move || round(number, &record, &folder))
            })
            .collect();
        let mut held = true;
        for round in rounds {
            held &= round.join().map_err(|_| io::Error::other("a round panicked"))??;
        }
        Ok(held)
    });
}
