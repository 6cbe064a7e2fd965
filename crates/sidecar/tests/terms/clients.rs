//! Clients of a busy sidecar get their answers in time, or are not forwarded.

use super::*;
use crate::crossings::{Next, WAYS, leave, next, served, times};
use crate::stubs::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Clients that ask one small thing after the other on many connections, so that the sidecar always has some at hand.
struct Busy {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

/// One sidecar at a time is kept busy: more would share the machine's cores, and each be less so.
static ALONE: Mutex<()> = Mutex::new(());

impl Busy {
    fn start(sidecar: &Sidecar, small: impl Fn() -> String + Clone + Send + 'static) -> Self {
        let (stop, answered) = <(Arc<AtomicBool>, Arc<AtomicUsize>)>::default();
        let threads = (0..2)
            .map(|_| {
                let clients: Vec<_> = (0..24).map(|_| sidecar.connect()).collect();
                // None waits for good where a play fails.
                let bound =
                    |client: &TcpStream| client.set_read_timeout(Some(LONG)).expect("a time-out can be set");
                clients.iter().for_each(bound);
                let (stop, answered, small) = (stop.clone(), answered.clone(), small.clone());
                thread::spawn(move || ask_all(clients, &stop, &answered, small))
            })
            .collect();
        let busy = Self { stop, answered, threads };
        busy.go_on();
        busy
    }

    /// Waits until some more were answered.
    fn go_on(&self) {
        let before = self.answered.load(Ordering::SeqCst);
        await_that("small ones are answered", || self.answered.load(Ordering::SeqCst) > before + 200);
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

fn ask_all(
    mut clients: Vec<TcpStream>,
    stop: &AtomicBool,
    answered: &AtomicUsize,
    small: impl Fn() -> String,
) {
    let mut answer = [0; 1024];
    while !stop.load(Ordering::SeqCst) {
        for client in &mut clients {
            if client.write_all(small().as_bytes()).is_err() {
                return;
            }
        }
        for client in &mut clients {
            let mut length = 0;
            while !answer[..length].ends_with(b"served") && !answer[..length].ends_with(b"\r\n\r\n") {
                match client.read(&mut answer[length..]) {
                    Ok(0) | Err(_) => return,
                    Ok(more) => length += more,
                }
            }
            answered.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Whether a client has no answer yet.
fn waits(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("it can");
    let waits = client.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    client.set_nonblocking(false).expect("it can");
    waits
}

/// Each way of leaving, met by a sidecar that goes on, and by one that is stopped by the system and meets all at once:
/// that the client has left, and what its request has waited for. A play tells nothing, and is played again, where the
/// machine was too slow for the requests to be waiting yet, or still, as their clients leave.
fn in_each_way(play: impl Fn((bool, &'static [u8]), bool) -> Option<()>) {
    for way in WAYS {
        for at_once in [false, true] {
            println!("{way:?}, at once: {at_once}");
            let told = (0..20).any(|_| {
                let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
                play(way, at_once).is_some()
            });
            assert!(told, "the machine is too slow to tell");
        }
    }
}

/// These leave, and have been gone for as long as an attempt may still begin; then comes what they waited for.
fn all_leave(
    sidecar: &Sidecar,
    clients: Vec<TcpStream>,
    (way, at_once): ((bool, &'static [u8]), bool),
    then: impl FnOnce(),
) {
    if at_once {
        sidecar.signal("-STOP");
    }
    clients.into_iter().for_each(|client| leave(client, way));
    thread::sleep(LEFT);
    then();
    if at_once {
        sidecar.signal("-CONT");
    }
}

/// So many clients that ask this, and what they asked.
fn crowd(sidecar: &Sidecar, of: usize, asked: impl Fn() -> String) -> Vec<(TcpStream, String)> {
    let ask = |_| {
        let (mut client, asked) = (sidecar.connect(), asked());
        client.write_all(asked.as_bytes()).expect("the sidecar takes it");
        (client, asked)
    };
    (0..of).map(ask).collect()
}

// Requests that the endpoint turns away wait to be tried again, each for a time of its own. Those of clients that stay
// tell that they are.
#[test]
fn does_not_forward_requests_of_closed_clients_when_busy() {
    in_each_way(|way, at_once| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|message| match message.header("x-turn") {
            Some(_) => Reply::Answer(503, "X-Unprocessed: 1\r\n", Vec::new()),
            None => served(message),
        });
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let busy = Busy::start(&sidecar, || request("look", "", ""));
        let turned = || request("look", "X-Turn: 1\r\n", "");
        let (clients, go): (Vec<_>, Vec<_>) = crowd(&sidecar, 8, turned).into_iter().unzip();
        let (mut stays, stay): (Vec<_>, Vec<_>) = crowd(&sidecar, 8, turned).into_iter().unzip();
        let sent = |asked: &[String]| asked.iter().map(|asked| times(&endpoint, asked)).sum::<usize>();
        await_that("some are sent on, or all answered", || {
            sent(&go) >= 3 && sent(&stay) >= 3 || !clients.iter().any(waits)
        });
        clients.iter().any(waits).then_some(())?;
        let mut before = (0, 0);
        all_leave(&sidecar, clients, (way, at_once), || {
            // What was on its way has come by then.
            thread::sleep(if at_once { 4 * LEFT } else { SLACK });
            before = (sent(&go), sent(&stay));
        });
        stays.iter_mut().for_each(|client| assert_eq!(next(client), Next::Status(503)));
        busy.go_on();
        assert_eq!(sent(&go), before.0, "sent on again");
        (sent(&stay) > before.1).then_some(())
    });
}

/// How discovery is away: nobody listens, it says nothing, it refuses.
#[derive(Clone, Copy, Debug)]
enum Away {
    Gone,
    Silent,
    Refusing,
}

/// Clients that connect, say nothing, and connect anew as soon as they are closed, until told to stop; how often they did.
fn keep_connecting(sidecar: &Sidecar, stop: &AtomicBool) -> usize {
    let (mut made, mut idle) = (0, Vec::new());
    while !stop.load(Ordering::SeqCst) {
        // More than there are descriptors: the system's queue holds what is not accepted.
        while idle.len() < 200 {
            idle.push(sidecar.connect());
            made += 1;
        }
        idle.retain(waits);
        thread::sleep(Duration::from_millis(2));
    }
    made
}

/// Asks on new connections all the time, until told to stop; how many were served. Those that are shut unread ask anew.
fn keep_coming(sidecar: &Sidecar, stop: &AtomicBool, served: &AtomicUsize) {
    while !stop.load(Ordering::SeqCst) {
        if sidecar.ask(&request("look", "", "")).is_some_and(|answer| answer.status() == 200) {
            served.fetch_add(1, Ordering::SeqCst);
        }
    }
}

#[test]
fn serves_and_follows_changes_while_idle_clients_take_all_descriptors() {
    let plays = [Away::Gone, Away::Silent, Away::Refusing]
        .into_iter()
        .flat_map(|away| ASKED.map(|asked| (away, asked)));
    let came: Vec<_> = thread::scope(|scope| {
        let plays: Vec<_> =
            plays.map(|(away, asked)| scope.spawn(move || (away, asked, crowded(away, asked)))).collect();
        plays.into_iter().map(|play| play.join().expect("no panic")).collect()
    });
    came.iter().for_each(|came| println!("{came:?}"));
    assert!(came.iter().all(|(_, _, came)| came.is_ok()), "{came:?}");
}

fn crowded(away: Away, (mode, within): (&str, u32)) -> Result<(Duration, usize, [usize; 2]), String> {
    let discovery = match away {
        Away::Gone => Discovery::away(unused_address()),
        _ => Discovery::start(),
    };
    // Says nothing, or refuses, while this stands.
    *discovery.fault.lock().expect("no stub panics") = Some(match away {
        Away::Silent => says("", Then::NextCall),
        _ => says("HTTP/1.1 503 away\r\nContent-Length: 0\r\n\r\n", Then::NextCall),
    });
    let old = noting();
    let sidecar = Sidecar::start_as(&discovery, &[("s-old", &old.0)], 96, |config| {
        let config = config.replace("\"sockets\":1024", "\"sockets\":96");
        let config = config.replace("\"on_request\"", &format!("\"{mode}\""));
        config.replace("\"AskWithinUs\":2000000", &format!("\"AskWithinUs\":{within}"))
    });
    let (stop, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    // A silent watch is given up no sooner than it may have news.
    let told = if matches!(away, Away::Silent) { TOLD + GRACE } else { TOLD };
    thread::scope(|scope| {
        let stops = Stop(&stop);
        let idle = scope.spawn(|| keep_connecting(&sidecar, &stop));
        scope.spawn(|| keep_coming(&sidecar, &stop, &served));
        let began = Instant::now();
        await_that("some are served meanwhile", || {
            began.elapsed() > Duration::from_secs(5) && served.load(Ordering::SeqCst) > 5
        });
        let meanwhile = served.load(Ordering::SeqCst);
        let came = follows_after(&sidecar, &old, &discovery, told, || {
            *discovery.fault.lock().expect("no stub panics") = None;
            if matches!(away, Away::Gone) {
                discovery.serve(std::net::TcpListener::bind(discovery.address).expect("it is back"));
            }
        });
        let after = served.load(Ordering::SeqCst) - meanwhile;
        drop(stops);
        let made = idle.join().expect("no panic");
        match came {
            Ok(last) if made > 200 && after > 5 => Ok((last, made, [meanwhile, after])),
            other => Err(format!("{other:?}, {made} idle ones, {meanwhile} served meanwhile, {after} after")),
        }
    })
}

// ---- Clients that stop in the middle of a request ----

/// So many hold all memory for bodies, of a sidecar of 16 MB.
const HOLDERS: usize = 40;

/// A head that announces a long body, of which nothing follows.
fn announces() -> String {
    request("book", "", "").replace("Content-Length: 0", "Content-Length: 70000")
}

// Trouble with other clients frees no request of its final answer: up to half a second after its time.
#[test]
fn request_waiting_for_memory_is_answered_in_time() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(|_| Reply::Answer(200, "", Vec::new())));
    let little = |config: String| config.replace("\"memory_mb\":192", "\"memory_mb\":16");
    let sidecar = Sidecar::start_as(&discovery, &[("s-1", &endpoint)], 1024, little);
    let mut holders: Vec<_> = (0..HOLDERS).map(|_| sidecar.connect()).collect();
    for holder in &mut holders {
        holder.write_all(announces().as_bytes()).expect("the system takes it");
    }
    thread::sleep(Duration::from_millis(300));
    let wait = Duration::from_millis(800);
    let asked = Instant::now();
    let answer = sidecar.ask(&request("pay", "", "body").replace("19000m", "800m")).expect("an answer");
    let took = asked.elapsed();
    assert!(took < wait + Duration::from_millis(400), "{} after {took:?}", answer.status());
    assert!([200, 503].contains(&answer.status()), "{}", answer.status());
}

// Owed an error or a close within 3 s of connecting, also where its head came late.
#[test]
fn rejects_stalled_body_within_3_s_of_connecting() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(|_| Reply::Answer(200, "", Vec::new())));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let (connected, mut stranger) = (Instant::now(), sidecar.connect());
    thread::sleep(Duration::from_millis(1_000));
    stranger.write_all((announces() + "some of it").as_bytes()).expect("the system takes it");
    let answer = read_message(&mut stranger).map(|m| m.status());
    let took = connected.elapsed();
    assert!(took < Duration::from_secs(3) && answer == Some(408), "{answer:?} after {took:?}");
}
