//! Clients give up early, where the settings forbid to cancel attempts. How many descriptors does the sidecar hold?

use crate::Verdict;
use crate::clients;
use crate::http::{self, Connection};
use crate::platform::{Deployment, Discovery, Flag, Record, Server, Work, trouble};
use crate::settings::{Site, settings};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors of the sidecar, the least that the pages give one, and clients, fewer than a third of that.
const SOCKETS: usize = 256;
const CLIENTS: usize = 85;
const SERVERS: usize = 8;
/// How long a ledger server works, how long a client says that it waits, and how long it does when it gives up early.
const WORK: Duration = Duration::from_millis(250);
const TIME: Duration = Duration::from_millis(1600);
const EARLY: Duration = Duration::from_millis(100);
/// A client's pause between two requests.
const PAUSE: Duration = Duration::from_millis(50);
/// How long clients wait for all of their answers, and how long they then give up early.
const CALM: Duration = Duration::from_secs(12);
const TROUBLED: Duration = Duration::from_secs(12);

fn work(_: &http::Message) -> Work {
    Work { time: WORK, answer_bytes: 200 }
}

/// One client: each request on a new connection. Returns how many ended how.
fn client(address: SocketAddr, early: &Flag, stop: &Flag, record: &Record) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    while !stop.is_set() {
        let id = clients::new_id();
        let wait = if early.is_set() { EARLY } else { TIME + clients::LATE };
        let request = || -> io::Result<u16> {
            let mut connection = Connection::open(address, Duration::from_secs(1))?;
            connection.stream.write_all(clients::head("entry-post", &id, TIME, Some(0)).as_bytes())?;
            Ok(connection.read_answer(Instant::now() + wait)?.status())
        };
        let end = match request() {
            Ok(status) => status.to_string(),
            Err(e) if http::why(&e) == "no answer" => "left".to_owned(),
            Err(e) => http::why(&e).to_owned(),
        };
        record.line(format_args!("client of {id}: {end}"));
        *ends.entry(end).or_default() += 1;
        thread::sleep(PAUSE);
    }
    ends
}

pub fn play(deployment: &Deployment, record: &Record) -> Verdict {
    let names = (1..=SERVERS).map(|n| format!("s-{n}"));
    let servers: Vec<_> = names.map(|name| Server::start(&name, record, work)).collect();
    let discovery = Discovery::start(servers.iter().map(Server::entry).collect());
    let settings = settings(Site::of(4)).replace(r#""MayCancel": true"#, r#""MayCancel": false"#);
    let fields =
        format!(r#""limits":{{"cores":1.0,"memory_mb":192,"sockets":{SOCKETS}}},"settings":{settings}"#);
    let sidecar = deployment.sidecar("n1", &discovery, false, &fields);
    let mut process = sidecar.start();
    if !sidecar.wait_ready(&process) {
        return Verdict::NotRun;
    }
    let (early, stop) = (Flag::default(), Flag::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (address, record) = (sidecar.listen, record.clone());
            let (early, stop) = (early.clone(), stop.clone());
            thread::spawn(move || client(address, &early, &stop, &record))
        })
        .collect();
    let folder = format!("/proc/{}/fd", process.id());
    let (began, mut most, mut over) = (Instant::now(), [(0, 0.0); 2], 0);
    while began.elapsed() < CALM + TROUBLED {
        let troubled = began.elapsed() > CALM;
        if troubled && trouble() {
            early.set();
        }
        let held = std::fs::read_dir(&folder).map_or(0, |entries| entries.count());
        let phase = &mut most[usize::from(troubled)];
        if held > phase.0 {
            *phase = (held, began.elapsed().as_secs_f64());
            record.line(format_args!("platform sees {held} descriptors of {SOCKETS}"));
        }
        over += usize::from(held > SOCKETS);
        thread::sleep(Duration::from_millis(10));
    }
    let ended = process.ended();
    stop.set();
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for client in clients {
        for (end, count) in client.join().unwrap() {
            *ends.entry(end).or_default() += count;
        }
    }
    record.say(format_args!("requests by their end: {ends:?}"));
    let [calm, troubled] = most;
    record.say(format_args!(
        "most descriptors: {} in the first {} s, {} after that ({:.1} s); {over} looks showed more than {SOCKETS}",
        calm.0,
        CALM.as_secs(),
        troubled.0,
        troubled.1
    ));
    if ended.is_some() {
        record.say("the sidecar has ended");
        return Verdict::Broken;
    }
    if over > 0 { Verdict::Broken } else { Verdict::Held }
}
