//! Limits are cut by half, and thousands of half-written connections arrive. Meanwhile clients send short reads, each on
//! a new connection.

use crate::Verdict;
use crate::clients::{self, End};
use crate::http;
use crate::platform::{Deployment, Discovery, Flag, Record, Server, Work, trouble};
use crate::settings::{Site, settings};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Half of the least that the pages give a sidecar.
const SOCKETS: usize = 128;
const MEMORY_MB: usize = 64;
/// Peers that connect, write half a head, and stay until the sidecar answers or closes.
const PEERS: usize = 3000;
const PEERS_PER_SECOND: f64 = 150.0;
/// Reads, one each 200 ms, and how long their clients wait.
const READS: usize = 100;
const READ_SPACING: Duration = Duration::from_millis(200);
const READ_TIME: Duration = Duration::from_millis(1600);

fn work(_: &http::Message) -> Work {
    Work { time: Duration::from_millis(30), answer_bytes: 200 }
}

/// Plays the peers; each leaves as soon as it has been given an answer or a close.
fn peers(address: SocketAddr, stop: &Flag, record: &Record) {
    let began = Instant::now();
    let (mut open, mut arrived, mut longest): (Vec<(Instant, TcpStream)>, usize, f64) = (Vec::new(), 0, 0.0);
    while !stop.is_set() {
        while arrived < PEERS && began.elapsed().as_secs_f64() * PEERS_PER_SECOND > arrived as f64 {
            arrived += 1;
            if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
                let _ = stream.write_all(b"GET /api HTTP/1.1\r\nHost: api.in");
                let _ = stream.set_nonblocking(true);
                open.push((Instant::now(), stream));
            }
        }
        open.retain_mut(|(since, stream)| {
            let read = stream.read(&mut [0; 512]);
            let stays = matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock);
            if !stays {
                longest = longest.max(since.elapsed().as_secs_f64());
            }
            stays
        });
        thread::sleep(Duration::from_millis(5));
    }
    record.line(format_args!(
        "{arrived} peers came; the longest wait for an answer or a close was {longest:.1} s"
    ));
}

pub fn play(deployment: &Deployment, record: &Record) -> Verdict {
    let servers: Vec<_> = (1..=4).map(|n| Server::start(&format!("s-{n}"), record, work)).collect();
    let discovery = Discovery::start(servers.iter().map(Server::entry).collect());
    let fields = format!(
        r#""limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}},"settings":{}"#,
        settings(Site::of(4))
    );
    let sidecar = deployment.sidecar("n1", &discovery, false, &fields);
    let mut process = sidecar.start();
    if !sidecar.wait_ready(&process) {
        return Verdict::NotRun;
    }
    let address = sidecar.listen;
    let stop = Flag::default();
    let peers = trouble().then(|| {
        let (stop, record) = (stop.clone(), record.clone());
        thread::spawn(move || peers(address, &stop, &record))
    });
    let reads: Vec<_> = (0..READS)
        .map(|_| {
            let record = record.clone();
            thread::sleep(READ_SPACING);
            thread::spawn(move || clients::read(address, READ_TIME, &record).1)
        })
        .collect();
    let reads: Vec<End> = reads.into_iter().map(|read| read.join().unwrap()).collect();
    stop.set();
    if let Some(peers) = peers {
        let _ = peers.join();
    }
    let count = |wanted: fn(&End) -> bool| reads.iter().filter(|end| wanted(end)).count();
    let served = count(|end| end.served());
    let turned_back = count(|end| matches!(end, End::Closed(_) | End::NotConnected));
    let overdue = count(|end| end.overdue(READ_TIME));
    record.say(format_args!(
        "of {READS} reads {served} served, {turned_back} turned back, {overdue} without an answer in their time and 0.55 s"
    ));
    if process.ended().is_some() {
        record.say("the sidecar has ended");
        return Verdict::Broken;
    }
    if overdue > 0 { Verdict::Broken } else { Verdict::Held }
}
