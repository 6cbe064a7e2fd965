//! A new version takes over the clients' socket. Later, fewer clients than a third of the descriptors are connected:
//! most send a long body at 64 kB a second, the others short reads.

use crate::Verdict;
use crate::clients::{self, End};
use crate::http;
use crate::platform::{
    Deployment, Discovery, Process, Record, SIGKILL, SIGTERM, Server, Sidecar, Work, trouble,
};
use crate::settings::{Site, settings};
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors of the sidecar, the least that the pages give one.
const SOCKETS: usize = 256;
/// Clients that send a long body.
const UPLOADS: usize = 60;
/// Length of such a body, of which the first part is sent at once, and the rest at this rate.
const UPLOAD_BYTES: usize = 640 << 10;
const AT_ONCE_BYTES: usize = 96 << 10;
const BYTES_PER_SECOND: usize = 64_000;
/// Reads, one each 250 ms, and how long their clients wait.
const READS: usize = 20;
const READ_SPACING: Duration = Duration::from_millis(250);
const READ_TIME: Duration = Duration::from_millis(1600);
/// SIGKILL follows SIGTERM after the longest deadline and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3700);

fn work(_: &http::Message) -> Work {
    Work { time: Duration::from_millis(30), answer_bytes: 200 }
}

/// Starts a new process, waits for its yes, and ends the old one.
fn upgrade(sidecar: &Sidecar<'_>, mut old: Process, record: &Record) -> Option<Process> {
    let new = sidecar.start();
    if !sidecar.wait_ready(&new) {
        record.say("the new process does not become ready");
        return None;
    }
    record.line("platform has the new process's yes, SIGTERM goes to the old one");
    old.signal(SIGTERM);
    let until = Instant::now() + KILL_DELAY;
    while old.ended().is_none() && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    match old.ended() {
        Some(status) => record.line(format_args!("the old process has ended: {status}")),
        None => old.signal(SIGKILL),
    }
    Some(new)
}

pub fn play(deployment: &Deployment, record: &Record) -> Verdict {
    let servers: Vec<_> = (1..=4).map(|n| Server::start(&format!("s-{n}"), record, work)).collect();
    let discovery = Discovery::start(servers.iter().map(Server::entry).collect());
    let fields = format!(
        r#""limits":{{"cores":1.0,"memory_mb":192,"sockets":{SOCKETS}}},"settings":{}"#,
        settings(Site::of(4))
    );
    let sidecar = deployment.sidecar("n1", &discovery, trouble(), &fields);
    let mut process = sidecar.start();
    if !sidecar.wait_ready(&process) {
        return Verdict::NotRun;
    }
    let address = sidecar.listen;
    let before = clients::read(address, READ_TIME, record).1;
    if !before.served() {
        record.say(format_args!("a read before all else ended as {before:?}"));
        return Verdict::NotRun;
    }
    if trouble() {
        let Some(new) = upgrade(&sidecar, process, record) else { return Verdict::NotRun };
        process = new;
        let after = clients::read(address, READ_TIME, record).1;
        record.line(format_args!("a read after the upgrade ended as {after:?}"));
        thread::sleep(Duration::from_secs(1));
    }
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|_| {
            let record = record.clone();
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || {
                clients::upload(address, UPLOAD_BYTES, AT_ONCE_BYTES, BYTES_PER_SECOND, &record).1
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let reads: Vec<_> = (0..READS)
        .map(|_| {
            let record = record.clone();
            thread::sleep(READ_SPACING);
            thread::spawn(move || clients::read(address, READ_TIME, &record).1)
        })
        .collect();
    let reads: Vec<End> = reads.into_iter().map(|read| read.join().unwrap()).collect();
    let uploads: Vec<End> = uploads.into_iter().map(|upload| upload.join().unwrap()).collect();
    let served = uploads.iter().filter(|end| end.served()).count();
    record.say(format_args!("{served} of {UPLOADS} long bodies served"));
    let overdue = reads.iter().filter(|end| end.overdue(READ_TIME)).count();
    let in_time = reads.iter().filter(|end| end.served()).count();
    record.say(format_args!(
        "of {READS} reads {in_time} served, {overdue} without an answer in their time and 0.55 s"
    ));
    if process.ended().is_some() {
        record.say("the sidecar has ended");
        return Verdict::Broken;
    }
    if overdue > 0 { Verdict::Broken } else { Verdict::Held }
}
