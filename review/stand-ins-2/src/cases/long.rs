//! Some requests are long. Each is written at once, to a sidecar that nothing else troubles.

use crate::Verdict;
use crate::clients::{self, End};
use crate::http::{self, Connection};
use crate::platform::{Deployment, Discovery, Record, Server, Work, body_for, trouble};
use crate::settings::{Site, settings};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Lengths of the requests, head and body together: 2 KiB, or that and 16 or 64 KiB, and one to three bytes.
const LENGTHS: [usize; 5] = [2_049, 2_050, 2_051, 18_434, 67_586];
/// Without the disruption each is shorter by this.
const SHORTER: usize = 40;
/// How many of each length.
const EACH: usize = 5;
const TIME: Duration = Duration::from_secs(3);

fn work(_: &http::Message) -> Work {
    Work { time: Duration::from_millis(20), answer_bytes: 200 }
}

/// One try of a request on a connection.
fn attempt(connection: &mut Connection, bytes: &[u8], id: &str, record: &Record) -> End {
    let end = match connection.stream.write_all(bytes) {
        Ok(()) => clients::finish(connection, id, Instant::now(), TIME),
        Err(_) => End::Closed(Duration::ZERO),
    };
    record.line(format_args!("client sent {id}: entry-post, {} bytes; it has {end:?}", bytes.len()));
    end
}

/// Sends a post of that length, head and body together, at once: right behind the answer to a read on the same
/// connection, and if that connection ends without an answer, once more on a new one.
fn post(address: SocketAddr, length: usize, record: &Record) -> io::Result<[End; 2]> {
    let id = clients::new_id();
    let mut body = length;
    let head = loop {
        let head = clients::head("entry-post", &id, TIME, Some(body));
        if head.len() + body == length {
            break head;
        }
        body = length - head.len();
    };
    let mut bytes = head.into_bytes();
    bytes.extend(body_for(&id, body));
    let mut connection = Connection::open(address, Duration::from_secs(1))?;
    let read = clients::new_id();
    connection.stream.write_all(clients::head("ledger-read", &read, TIME, None).as_bytes())?;
    let before = clients::finish(&mut connection, &read, Instant::now(), TIME);
    record.line(format_args!("client sent {read}: ledger-read; it has {before:?}"));
    if !before.served() {
        return Err(io::Error::other("the read before it is not served"));
    }
    let first = attempt(&mut connection, &bytes, &id, record);
    if !matches!(first, End::Closed(_)) {
        return Ok([first; 2]);
    }
    let mut connection = Connection::open(address, Duration::from_secs(1))?;
    Ok([first, attempt(&mut connection, &bytes, &id, record)])
}

pub fn play(deployment: &Deployment, record: &Record) -> Verdict {
    let servers: Vec<_> = (1..=4).map(|n| Server::start(&format!("s-{n}"), record, work)).collect();
    let discovery = Discovery::start(servers.iter().map(Server::entry).collect());
    let fields = format!(
        r#""limits":{{"cores":1.0,"memory_mb":128,"sockets":512}},"settings":{}"#,
        settings(Site::of(4))
    );
    let sidecar = deployment.sidecar("n1", &discovery, false, &fields);
    let mut process = sidecar.start();
    if !sidecar.wait_ready(&process) {
        return Verdict::NotRun;
    }
    let mut lost = 0;
    for length in LENGTHS {
        let length = if trouble() { length } else { length - SHORTER };
        let ends: io::Result<Vec<_>> = (0..EACH).map(|_| post(sidecar.listen, length, record)).collect();
        let Ok(ends) = ends else { return Verdict::NotRun };
        let is_lost = |end: &End| matches!(end, End::Closed(_) | End::Unanswered);
        let unanswered = ends.iter().filter(|tries| tries.iter().all(is_lost)).count();
        let served = ends.iter().filter(|tries| tries[1].served()).count();
        record.say(format_args!(
            "{length} bytes: of {EACH} posts {served} served, {unanswered} never answered"
        ));
        lost += unanswered;
    }
    if process.ended().is_some() {
        record.say("the sidecar has ended");
        return Verdict::Broken;
    }
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
