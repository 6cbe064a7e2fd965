//! Clients of a busy sidecar get their responses in time, and requests of clients that have closed are not forwarded.

use super::*;
use crate::races::{CLIENT_CLOSE_MODES, ConnectionEvent, close_client, next_event, reply_ok, times_received};
use crate::stubs::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Clients that send one small request after another on many connections, so that the sidecar always has some to handle.
struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

/// Held by the test that puts a sidecar under load: sidecars under load at the same time would share the machine's cores,
/// and each would be less busy.
static LOAD_LOCK: Mutex<()> = Mutex::new(());

impl BackgroundLoad {
    fn start(sidecar: &Sidecar, new_request: impl Fn() -> String + Clone + Send + 'static) -> Self {
        let (stop, answered) = <(Arc<AtomicBool>, Arc<AtomicUsize>)>::default();
        let threads = (0..2)
            .map(|_| {
                let clients: Vec<_> = (0..24).map(|_| sidecar.connect()).collect();
                // No client may wait forever if the test fails.
                let set_timeout = |client: &TcpStream| {
                    client.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout can be set")
                };
                clients.iter().for_each(set_timeout);
                let (stop, answered, new_request) = (stop.clone(), answered.clone(), new_request.clone());
                thread::spawn(move || exchange_all(clients, &stop, &answered, new_request))
            })
            .collect();
        let load = Self { stop, answered, threads };
        load.wait_for_progress();
        load
    }

    /// Waits until some more requests have been answered.
    fn wait_for_progress(&self) {
        let before = self.answered.load(Ordering::SeqCst);
        wait_until("requests of the background load are answered", || {
            self.answered.load(Ordering::SeqCst) > before + 200
        });
    }
}

impl Drop for BackgroundLoad {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

fn exchange_all(
    mut clients: Vec<TcpStream>,
    stop: &AtomicBool,
    answered: &AtomicUsize,
    new_request: impl Fn() -> String,
) {
    let mut response = [0; 1024];
    while !stop.load(Ordering::SeqCst) {
        for client in &mut clients {
            if client.write_all(new_request().as_bytes()).is_err() {
                return;
            }
        }
        for client in &mut clients {
            let mut length = 0;
            while !response[..length].ends_with(b"served") && !response[..length].ends_with(b"\r\n\r\n") {
                match client.read(&mut response[length..]) {
                    Ok(0) | Err(_) => return,
                    Ok(more) => length += more,
                }
            }
            answered.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Whether a client has no response yet.
fn is_waiting(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("the mode can be set");
    let is_waiting = client.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    client.set_nonblocking(false).expect("the mode can be set");
    is_waiting
}

/// Runs a case for each close mode, with a sidecar that runs, and with one that is stopped (SIGSTOP) and then finds both
/// at once: that the client has closed, and the event that would let its request be sent. A run proves nothing,
/// returns `None`, and is repeated, if the machine was too slow for the requests to be waiting when their clients
/// close.
fn for_each_close_mode(run_case: impl Fn((bool, &'static [u8]), bool) -> Option<()>) {
    for close_mode in CLIENT_CLOSE_MODES {
        for while_stopped in [false, true] {
            println!("{close_mode:?}, sidecar stopped: {while_stopped}");
            let conclusive = (0..20).any(|_| {
                let _guard = LOAD_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
                run_case(close_mode, while_stopped).is_some()
            });
            assert!(conclusive, "the requests were not waiting in any run");
        }
    }
}

/// Closes these clients, waits for as long as their requests may still be attempted after that, and calls `then`. With
/// `while_stopped`, the sidecar process is stopped throughout.
fn close_clients_then(
    sidecar: &Sidecar,
    clients: Vec<TcpStream>,
    (close_mode, while_stopped): ((bool, &'static [u8]), bool),
    then: impl FnOnce(),
) {
    if while_stopped {
        sidecar.signal("-STOP");
    }
    clients.into_iter().for_each(|client| close_client(client, close_mode));
    thread::sleep(CLOSE_REACTION_TIME);
    then();
    if while_stopped {
        sidecar.signal("-CONT");
    }
}

/// Sends `count` requests on connections of their own; returns the clients and the requests.
fn send_requests(
    sidecar: &Sidecar,
    count: usize,
    new_request: impl Fn() -> String,
) -> Vec<(TcpStream, String)> {
    let send = |_| {
        let (mut client, request_text) = (sidecar.connect(), new_request());
        client.write_all(request_text.as_bytes()).expect("the write succeeds");
        (client, request_text)
    };
    (0..count).map(send).collect()
}

// Requests that the endpoint rejects wait for their retry, each for a different time. The requests of clients that stay
// show that retries take place.
#[test]
fn does_not_forward_requests_of_closed_clients_when_busy() {
    for_each_close_mode(|close_mode, while_stopped| {
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|message| match message.header("x-reject") {
            Some(_) => Reply::Response(503, "X-Unprocessed: 1\r\n", Vec::new()),
            None => reply_ok(message),
        });
        let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
        let load = BackgroundLoad::start(&sidecar, || request("look", "", ""));
        let rejected_request = || request("look", "X-Reject: 1\r\n", "");
        let (clients, closing_requests): (Vec<_>, Vec<_>) =
            send_requests(&sidecar, 8, rejected_request).into_iter().unzip();
        let (mut remaining, remaining_requests): (Vec<_>, Vec<_>) =
            send_requests(&sidecar, 8, rejected_request).into_iter().unzip();
        let times_forwarded = |requests: &[String]| {
            requests.iter().map(|request| times_received(&endpoint, request)).sum::<usize>()
        };
        wait_until("some requests are forwarded, or all are answered", || {
            times_forwarded(&closing_requests) >= 3 && times_forwarded(&remaining_requests) >= 3
                || !clients.iter().any(is_waiting)
        });
        clients.iter().any(is_waiting).then_some(())?;
        let mut before = (0, 0);
        close_clients_then(&sidecar, clients, (close_mode, while_stopped), || {
            // Attempts that had begun have reached the endpoint by then.
            thread::sleep(if while_stopped { 4 * CLOSE_REACTION_TIME } else { SOCKET_TOLERANCE });
            before = (times_forwarded(&closing_requests), times_forwarded(&remaining_requests));
        });
        remaining.iter_mut().for_each(|client| assert_eq!(next_event(client), ConnectionEvent::Status(503)));
        load.wait_for_progress();
        assert_eq!(times_forwarded(&closing_requests), before.0, "a closed client's request was retried");
        (times_forwarded(&remaining_requests) > before.1).then_some(())
    });
}

/// How discovery fails.
#[derive(Clone, Copy, Debug)]
enum DiscoveryFailure {
    /// Nothing listens at its address.
    Unreachable,
    /// It never answers.
    Unresponsive,
    /// It answers with 503.
    Rejecting,
}

/// Keeps connections open that send nothing, and replaces those that are closed, until stopped; returns how many
/// connections were made.
fn keep_connecting(sidecar: &Sidecar, stop: &AtomicBool) -> usize {
    let (mut connections, mut idle) = (0, Vec::new());
    while !stop.load(Ordering::SeqCst) {
        // More than there are descriptors: the rest waits in the accept queue.
        while idle.len() < 200 {
            idle.push(sidecar.connect());
            connections += 1;
        }
        idle.retain(is_waiting);
        thread::sleep(Duration::from_millis(2));
    }
    connections
}

/// Sends requests, each on a new connection, until stopped, and counts those served. A request whose connection is closed
/// unread is followed by another.
fn send_on_new_connections(sidecar: &Sidecar, stop: &AtomicBool, served: &AtomicUsize) {
    while !stop.load(Ordering::SeqCst) {
        if sidecar.exchange(&request("look", "", "")).is_some_and(|response| response.status() == 200) {
            served.fetch_add(1, Ordering::SeqCst);
        }
    }
}

#[test]
fn serves_and_follows_changes_while_idle_clients_take_all_descriptors() {
    let threads =
        [DiscoveryFailure::Unreachable, DiscoveryFailure::Unresponsive, DiscoveryFailure::Rejecting]
            .into_iter()
            .flat_map(|failure| POLL_MODES.map(|mode| (failure, mode)));
    let result: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = threads
            .map(|(failure, mode)| {
                scope.spawn(move || (failure, mode, follow_change_among_idle_clients(failure, mode)))
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("the thread does not panic")).collect()
    });
    result.iter().for_each(|result| println!("{result:?}"));
    assert!(result.iter().all(|(_, _, result)| result.is_ok()), "{result:?}");
}

fn follow_change_among_idle_clients(
    failure: DiscoveryFailure,
    (mode, max_poll_interval_us): (&str, u32),
) -> Result<(Duration, usize, [usize; 2]), String> {
    let discovery = match failure {
        DiscoveryFailure::Unreachable => Discovery::not_serving(unused_address()),
        _ => Discovery::start(),
    };
    // Discovery does not answer, or rejects polls, while the fault is set.
    *discovery.fault.lock().expect("the lock is not poisoned") = Some(match failure {
        DiscoveryFailure::Unresponsive => raw_fault("", Delivery::KeepOpen),
        _ => raw_fault("HTTP/1.1 503 away\r\nContent-Length: 0\r\n\r\n", Delivery::KeepOpen),
    });
    let old = timestamping_endpoint();
    let sidecar = Sidecar::start_with_config(&discovery, &[("s-old", &old.0)], 96, |config| {
        let config = config.replace("\"sockets\":1024", "\"sockets\":96");
        let config = config.replace("\"on_request\"", &format!("\"{mode}\""));
        config.replace("\"AskWithinUs\":2000000", &format!("\"AskWithinUs\":{max_poll_interval_us}"))
    });
    let (stop, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    // An unanswered watch is abandoned only after the time for which discovery may hold it without changes.
    let notification_time = if matches!(failure, DiscoveryFailure::Unresponsive) {
        NOTIFICATION_TIME + LEAVING_GRACE_TIME
    } else {
        NOTIFICATION_TIME
    };
    thread::scope(|scope| {
        let stop_on_drop = StopOnDrop(&stop);
        let idle = scope.spawn(|| keep_connecting(&sidecar, &stop));
        scope.spawn(|| send_on_new_connections(&sidecar, &stop, &served));
        let began = Instant::now();
        wait_until("some requests are served during the failure", || {
            began.elapsed() > Duration::from_secs(5) && served.load(Ordering::SeqCst) > 5
        });
        let served_before = served.load(Ordering::SeqCst);
        let result = follow_change(&sidecar, &old, &discovery, notification_time, || {
            *discovery.fault.lock().expect("the lock is not poisoned") = None;
            if matches!(failure, DiscoveryFailure::Unreachable) {
                discovery.serve(std::net::TcpListener::bind(discovery.address).expect("the address is free"));
            }
        });
        let served_after = served.load(Ordering::SeqCst) - served_before;
        drop(stop_on_drop);
        let connections = idle.join().expect("the thread does not panic");
        match result {
            Ok(last_request) if connections > 200 && served_after > 5 => {
                Ok((last_request, connections, [served_before, served_after]))
            }
            other => Err(format!(
                "{other:?}, {connections} idle connections, {served_before} requests served before the recovery, {served_after} after it"
            )),
        }
    })
}

// ---- Clients that stop in the middle of a request ----

/// Number of incomplete requests that reserve all memory for bodies of a sidecar with 16 MB.
const MEMORY_HOLDERS: usize = 40;

/// The head of a request with a long body, without the body.
fn head_without_body() -> String {
    request("book", "", "").replace("Content-Length: 0", "Content-Length: 70000")
}

// Whatever other clients do, each request gets its final response, at the latest half a second after its deadline.
#[test]
fn request_waiting_for_memory_is_answered_in_time() {
    let (discovery, endpoint) =
        (Discovery::start(), Endpoint::start(|_| Reply::Response(200, "", Vec::new())));
    let with_little_memory = |config: String| config.replace("\"memory_mb\":192", "\"memory_mb\":16");
    let sidecar = Sidecar::start_with_config(&discovery, &[("s-1", &endpoint)], 1024, with_little_memory);
    let mut holders: Vec<_> = (0..MEMORY_HOLDERS).map(|_| sidecar.connect()).collect();
    for holder in &mut holders {
        holder.write_all(head_without_body().as_bytes()).expect("the write succeeds");
    }
    thread::sleep(Duration::from_millis(300));
    let deadline = Duration::from_millis(800);
    let sent_at = Instant::now();
    let response =
        sidecar.exchange(&request("pay", "", "body").replace("19000m", "800m")).expect("a response");
    let took = sent_at.elapsed();
    assert!(took < deadline + Duration::from_millis(400), "{} after {took:?}", response.status());
    assert!([200, 503].contains(&response.status()), "{}", response.status());
}

// Such a client has to get an error or a close within 3 s of connecting, also if its head is late.
#[test]
fn rejects_stalled_body_within_3_s_of_connecting() {
    let (discovery, endpoint) =
        (Discovery::start(), Endpoint::start(|_| Reply::Response(200, "", Vec::new())));
    let sidecar = Sidecar::start(&discovery, &[("s-1", &endpoint)]);
    let (connected, mut stalled_client) = (Instant::now(), sidecar.connect());
    thread::sleep(Duration::from_millis(1_000));
    stalled_client.write_all((head_without_body() + "some of it").as_bytes()).expect("the write succeeds");
    let status = read_message(&mut stalled_client).map(|m| m.status());
    let took = connected.elapsed();
    assert!(took < Duration::from_secs(3) && status == Some(408), "{status:?} after {took:?}");
}
