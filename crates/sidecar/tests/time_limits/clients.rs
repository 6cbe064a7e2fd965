//! Clients of a busy sidecar get their answers in time, or are not forwarded.

use super::*;
use crate::races::{Next, WAYS, close_client, next, served, times};
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
                thread::spawn(move || exchange_all(clients, &stop, &answered, small))
            })
            .collect();
        let busy = Self { stop, answered, threads };
        busy.go_on();
        busy
    }

    /// Waits until some more were answered.
    fn go_on(&self) {
        let before = self.answered.load(Ordering::SeqCst);
        wait_until("small ones are answered", || self.answered.load(Ordering::SeqCst) > before + 200);
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

fn exchange_all(
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
fn is_waiting(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("it can");
    let is_waiting = client.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    client.set_nonblocking(false).expect("it can");
    is_waiting
}

/// Each way of leaving, met by a sidecar that goes on, and by one that is stopped by the system and meets all at once:
/// that the client has left, and what its request has waited for. A play tells nothing, and is played again, where the
/// machine was too slow for the requests to be waiting yet, or still, as their clients leave.
fn in_each_way(play: impl Fn((bool, &'static [u8]), bool) -> Option<()>) {
    for way in WAYS {
        for at_once in [false, true] {
            println!("{way:?}, at once: {at_once}");
            let reported = (0..20).any(|_| {
                let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
                play(way, at_once).is_some()
            });
            assert!(reported, "the machine is too slow to tell");
        }
    }
}

/// These leave, and have been gone for as long as an attempt may still begin; then comes what they waited for.
fn all_close(
    sidecar: &Sidecar,
    clients: Vec<TcpStream>,
    (way, at_once): ((bool, &'static [u8]), bool),
    then: impl FnOnce(),
) {
    if at_once {
        sidecar.signal("-STOP");
    }
    clients.into_iter().for_each(|client| close_client(client, way));
    thread::sleep(CLOSE_REACTION_TIME);
    then();
    if at_once {
        sidecar.signal("-CONT");
    }
}

/// So many clients that ask this, and what they asked.
fn crowd(sidecar: &Sidecar, of: usize, submitted: impl Fn() -> String) -> Vec<(TcpStream, String)> {
    let exchange = |_| {
        let (mut client, submitted) = (sidecar.connect(), submitted());
        client.write_all(submitted.as_bytes()).expect("the sidecar takes it");
        (client, submitted)
    };
    (0..of).map(exchange).collect()
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
        let rejected_request = || request("look", "X-Turn: 1\r\n", "");
        let (clients, closing_requests): (Vec<_>, Vec<_>) =
            crowd(&sidecar, 8, rejected_request).into_iter().unzip();
        let (mut remaining, remaining_requests): (Vec<_>, Vec<_>) =
            crowd(&sidecar, 8, rejected_request).into_iter().unzip();
        let sent = |submitted: &[String]| {
            submitted.iter().map(|submitted| times(&endpoint, submitted)).sum::<usize>()
        };
        wait_until("some are sent on, or all answered", || {
            sent(&closing_requests) >= 3 && sent(&remaining_requests) >= 3 || !clients.iter().any(is_waiting)
        });
        clients.iter().any(is_waiting).then_some(())?;
        let mut before = (0, 0);
        all_close(&sidecar, clients, (way, at_once), || {
            // What was on its way has come by then.
            thread::sleep(if at_once { 4 * CLOSE_REACTION_TIME } else { SLACK });
            before = (sent(&closing_requests), sent(&remaining_requests));
        });
        remaining.iter_mut().for_each(|client| assert_eq!(next(client), Next::Status(503)));
        busy.go_on();
        assert_eq!(sent(&closing_requests), before.0, "sent on again");
        (sent(&remaining_requests) > before.1).then_some(())
    });
}

/// How discovery is away: nobody listens, it says nothing, it refuses.
#[derive(Clone, Copy, Debug)]
enum DiscoveryFailure {
    Unreachable,
    Silent,
    Rejecting,
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
        idle.retain(is_waiting);
        thread::sleep(Duration::from_millis(2));
    }
    made
}

/// Asks on new connections all the time, until told to stop; how many were served. Those that are shut unread ask anew.
fn keep_coming(sidecar: &Sidecar, stop: &AtomicBool, served: &AtomicUsize) {
    while !stop.load(Ordering::SeqCst) {
        if sidecar.exchange(&request("look", "", "")).is_some_and(|answer| answer.status() == 200) {
            served.fetch_add(1, Ordering::SeqCst);
        }
    }
}

#[test]
fn serves_and_follows_changes_while_idle_clients_take_all_descriptors() {
    let plays = [DiscoveryFailure::Unreachable, DiscoveryFailure::Silent, DiscoveryFailure::Rejecting]
        .into_iter()
        .flat_map(|failure| POLL_MODES.map(|submitted| (failure, submitted)));
    let result: Vec<_> = thread::scope(|scope| {
        let plays: Vec<_> = plays
            .map(|(failure, submitted)| {
                scope.spawn(move || (failure, submitted, crowded(failure, submitted)))
            })
            .collect();
        plays.into_iter().map(|play| play.join().expect("no panic")).collect()
    });
    result.iter().for_each(|result| println!("{result:?}"));
    assert!(result.iter().all(|(_, _, result)| result.is_ok()), "{result:?}");
}

fn crowded(
    failure: DiscoveryFailure,
    (mode, within): (&str, u32),
) -> Result<(Duration, usize, [usize; 2]), String> {
    let discovery = match failure {
        DiscoveryFailure::Unreachable => Discovery::not_serving(unused_address()),
        _ => Discovery::start(),
    };
    // Says nothing, or refuses, while this stands.
    *discovery.fault.lock().expect("no stub panics") = Some(match failure {
        DiscoveryFailure::Silent => raw_fault("", Then::NextCall),
        _ => raw_fault("HTTP/1.1 503 away\r\nContent-Length: 0\r\n\r\n", Then::NextCall),
    });
    let old = noting();
    let sidecar = Sidecar::start_as(&discovery, &[("s-old", &old.0)], 96, |config| {
        let config = config.replace("\"sockets\":1024", "\"sockets\":96");
        let config = config.replace("\"on_request\"", &format!("\"{mode}\""));
        config.replace("\"AskWithinUs\":2000000", &format!("\"AskWithinUs\":{within}"))
    });
    let (stop, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    // A silent watch is given up no sooner than it may have news.
    let reported = if matches!(failure, DiscoveryFailure::Silent) {
        NOTIFICATION_TIME + GRACE
    } else {
        NOTIFICATION_TIME
    };
    thread::scope(|scope| {
        let stops = Stop(&stop);
        let idle = scope.spawn(|| keep_connecting(&sidecar, &stop));
        scope.spawn(|| keep_coming(&sidecar, &stop, &served));
        let began = Instant::now();
        wait_until("some are served meanwhile", || {
            began.elapsed() > Duration::from_secs(5) && served.load(Ordering::SeqCst) > 5
        });
        let meanwhile = served.load(Ordering::SeqCst);
        let result = follows_after(&sidecar, &old, &discovery, reported, || {
            *discovery.fault.lock().expect("no stub panics") = None;
            if matches!(failure, DiscoveryFailure::Unreachable) {
                discovery.serve(std::net::TcpListener::bind(discovery.address).expect("it is back"));
            }
        });
        let after = served.load(Ordering::SeqCst) - meanwhile;
        drop(stops);
        let made = idle.join().expect("no panic");
        match result {
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
    let submitted = Instant::now();
    let answer = sidecar.exchange(&request("pay", "", "body").replace("19000m", "800m")).expect("an answer");
    let took = submitted.elapsed();
    assert!(took < wait + Duration::from_millis(400), "{} after {took:?}", answer.status());
    assert!([200, 503].contains(&answer.status()), "{}", answer.status());
}

// Owed an error or a close within 3 s of connecting, also where its head came late.
#[test]
fn rejects_stalled_body_within_3_s_of_connecting() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(|_| Reply::Answer(200, "", Vec::new())));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let (connected, mut stalled_client) = (Instant::now(), sidecar.connect());
    thread::sleep(Duration::from_millis(1_000));
    stalled_client.write_all((announces() + "some of it").as_bytes()).expect("the system takes it");
    let answer = read_message(&mut stalled_client).map(|m| m.status());
    let took = connected.elapsed();
    assert!(took < Duration::from_secs(3) && answer == Some(408), "{answer:?} after {took:?}");
}
