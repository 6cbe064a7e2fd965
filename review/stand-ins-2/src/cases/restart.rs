//! Operators restart one ledger server: they take it out at every sidecar, restart it, wait until discovery lists it,
//! and give it back at every sidecar. It is cold then.

use crate::Verdict;
use crate::clients;
use crate::http;
use crate::platform::{Deployment, Discovery, Flag, Process, Record, Server, Work, trouble, unix_ms};
use crate::settings::{COLD_SHARE, Site, WARM_SECONDS, settings};
use std::thread;
use std::time::{Duration, Instant};

/// Sidecars and ledger servers.
const SIDECARS: usize = 30;
const SERVERS: usize = 8;
/// Reads of each sidecar's clients: one in this time.
const SPACING: Duration = Duration::from_millis(400);
/// Requests a second that a warm ledger server can do: its load without trouble is under four fifths of that.
const CAPACITY: f64 = 12.0;
/// How long after its restart the ledger server is listed, and given back after that.
const LISTED_AFTER: Duration = Duration::from_millis(1200);
const BACK_AFTER: Duration = Duration::from_millis(300);
const FALL_MULTIPLE: f64 = 2.5;
const FALL_SECONDS: f64 = 2.0;

fn work(_: &http::Message) -> Work {
    Work { time: Duration::from_secs_f64(1.0 / CAPACITY), answer_bytes: 200 }
}

/// How many requests in `FALL_SECONDS` a cold ledger server bears at that age, by the page.
fn bears(age: f64) -> f64 {
    let share = (COLD_SHARE + (1.0 - COLD_SHARE) * age / WARM_SECONDS).min(1.0);
    let n = FALL_MULTIPLE * share * CAPACITY * FALL_SECONDS;
    if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 }
}

fn call_all(processes: &[Process], call: &str, record: &Record) -> bool {
    let all = processes.iter().all(|process| process.call(call) == "OK");
    record.line(format_args!("operators called `{call}` at every sidecar, all said OK: {all}"));
    all
}

pub fn play(deployment: &Deployment, record: &Record) -> Verdict {
    let servers: Vec<_> = (1..=SERVERS).map(|n| Server::start(&format!("s-{n}"), record, work)).collect();
    let discovery = Discovery::start(servers.iter().map(Server::entry).collect());
    let fall_us = (FALL_SECONDS * 1e6) as u64;
    let site = Site { sidecars: SIDECARS, fall_multiple: FALL_MULTIPLE, fall_us };
    let fields =
        format!(r#""limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"settings":{}"#, settings(site));
    let names = (1..=SIDECARS).map(|n| format!("n{n}"));
    let sidecars: Vec<_> = names.map(|name| deployment.sidecar(&name, &discovery, false, &fields)).collect();
    let processes: Vec<_> = sidecars.iter().map(|sidecar| sidecar.start()).collect();
    if !sidecars.iter().zip(&processes).all(|(sidecar, process)| sidecar.wait_ready(process)) {
        return Verdict::NotRun;
    }
    let stop = Flag::default();
    let clients: Vec<_> = sidecars
        .iter()
        .enumerate()
        .map(|(number, sidecar)| {
            let (stop, record, address) = (stop.clone(), record.clone(), sidecar.listen);
            let time = Duration::from_millis(1600);
            thread::spawn(move || {
                thread::sleep(SPACING.mul_f64(number as f64 / SIDECARS as f64));
                let (mut next, mut served, mut all) = (Instant::now(), 0, 0);
                while !stop.is_set() {
                    served += usize::from(clients::read(address, time, &record).1.served());
                    all += 1;
                    next += SPACING;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
                (served, all)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(10));
    let server = &servers[0];
    let mut started = Instant::now();
    if trouble() {
        if !call_all(&processes, &format!("cordon {}", server.name), record) {
            return Verdict::NotRun;
        }
        // What is out there is done by then, and the process is started anew.
        thread::sleep(Duration::from_secs(3));
        started = Instant::now();
        let since_ms = unix_ms();
        thread::sleep(LISTED_AFTER);
        discovery.change(vec![crate::platform::Entry { since_ms, ..server.entry() }]);
        record.line(format_args!("{} has been restarted, and is listed", server.name));
        thread::sleep(BACK_AFTER);
        if !call_all(&processes, &format!("uncordon {}", server.name), record) {
            return Verdict::NotRun;
        }
    }
    thread::sleep(Duration::from_secs(6));
    stop.set();
    let counts: Vec<(usize, usize)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let (served, all) = counts.iter().fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    record.say(format_args!("{served} of {all} reads served"));
    if !trouble() {
        return if served * 10 >= all * 9 { Verdict::Held } else { Verdict::NotRun };
    }
    let arrivals = server.arrivals.lock().unwrap();
    let since_start: Vec<f64> =
        arrivals.iter().filter_map(|a| Some(a.at.checked_duration_since(started)?.as_secs_f64())).collect();
    let window = Duration::from_secs_f64(FALL_SECONDS).as_secs_f64();
    let mut fell = None;
    let mut most = (0, 0.0);
    for (end, at) in since_start.iter().enumerate() {
        let count = since_start[..=end].iter().filter(|earlier| at - **earlier < window).count();
        if count > most.0 {
            most = (count, *at);
        }
        if fell.is_none() && count as f64 > bears(*at) {
            fell = Some((*at, count));
        }
    }
    record.say(format_args!(
        "most requests in {FALL_SECONDS} s: {}, {:.2} s after the start, when it bears {:.1}",
        most.0,
        most.1,
        bears(most.1)
    ));
    match fell {
        Some((at, count)) => {
            record.say(format_args!(
                "it falls over {at:.2} s after its start: {count} requests, {:.1} borne",
                bears(at)
            ));
            Verdict::Broken
        }
        None => Verdict::Held,
    }
}
