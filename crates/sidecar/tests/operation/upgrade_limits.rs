//! The limits on descriptors and memory hold for all processes of a sidecar together, and are not left unused.

use super::{shared_listener, state_folder};
use crate::stubs::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors of the sidecar, and the clients that may carry a request at a time, a third of them.
const DESCRIPTORS: usize = 256;
const CLIENTS: usize = DESCRIPTORS / 3;
const ENDPOINTS: usize = 4;
/// Length of the bodies that occupy connections, and how much of them is sent at once. Both are more than is buffered, so
/// that each occupies a connection to an endpoint as well.
const BODY_BYTES: usize = 160 << 10;
const SENT_AT_ONCE: usize = 96 << 10;
/// How long a client takes for such a body.
const BODY_TIME: Duration = Duration::from_millis(1500);
/// A read beside them is answered within this time, which ends before the sidecar gives up on a body that stands still.
const READ_TIME: Duration = Duration::from_secs(2);
/// For how long clients send during an upgrade.
const LOAD_TIME: Duration = Duration::from_secs(8);

struct Deployment {
    discovery: Discovery,
    endpoints: Vec<(String, Endpoint)>,
    listener: TcpListener,
    folder: PathBuf,
}

impl Deployment {
    fn start() -> Self {
        let endpoint = |number| (format!("s-{number}"), Endpoint::start(|_| ok("served")));
        let endpoints = (0..ENDPOINTS).map(endpoint).collect();
        let listener = shared_listener();
        let folder = state_folder(&listener);
        Self { discovery: Discovery::start(), endpoints, listener, folder }
    }

    fn start_process(&self) -> Sidecar {
        let endpoints: Vec<_> = self.endpoints.iter().map(|(name, e)| (name.as_str(), e)).collect();
        let socket = (&self.listener, self.folder.as_path());
        Sidecar::start_on_inherited_socket_with_config(&self.discovery, &endpoints, socket, None, |config| {
            config.replace("\"sockets\":1024", &format!("\"sockets\":{DESCRIPTORS}"))
        })
    }

    fn connect(&self) -> TcpStream {
        let address = self.listener.local_addr().expect("an address");
        TcpStream::connect(address).expect("the listening socket stays open")
    }

    /// Begins a request with a long body on a new connection. Returns that, and the rest of the request.
    fn begin_upload(&self) -> (TcpStream, String) {
        let mut text = request("book", "", &"b".repeat(BODY_BYTES));
        let rest = text.split_off(SENT_AT_ONCE);
        let mut client = self.connect();
        client.write_all(text.as_bytes()).expect("the write succeeds");
        (client, rest)
    }

    /// Occupies all connections that may carry requests but one, and sends reads on the last one, each in its time.
    fn check_whole_limit(&self, what: &str) {
        let uploads: Vec<_> = (1..CLIENTS).map(|_| self.begin_upload()).collect();
        for _ in 0..5 {
            let (mut client, sent_at) = (self.connect(), Instant::now());
            client.write_all(request("look", "", "").as_bytes()).expect("the write succeeds");
            let status = read_message(&mut client).map(|response| response.status());
            let time = sent_at.elapsed();
            assert!(status == Some(200) && time < READ_TIME, "{what}: {status:?} after {time:?}");
        }
        for (mut client, rest) in uploads {
            client.write_all(rest.as_bytes()).expect("the write succeeds");
            assert_eq!(read_message(&mut client).map(|response| response.status()), Some(200), "{what}");
        }
    }
}

fn stop(mut process: Sidecar) {
    process.signal("-TERM");
    assert_eq!(process.process.wait().expect("the process exits").code(), Some(0));
}

/// Number of descriptors that a process holds.
fn descriptors(process: &Sidecar) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", process.process.id())).map_or(0, |entries| entries.count())
}

// After an upgrade the new process kept to half of the limits for as long as it lived: 48 connections of 256 descriptors,
// where 85 may carry requests. Further requests were not accepted while those lasted.
#[test]
fn process_has_the_whole_limit_once_it_is_alone() {
    let deployment = Deployment::start();
    let first = deployment.start_process();
    deployment.check_whole_limit("first process");
    let second = deployment.start_process();
    stop(first);
    deployment.check_whole_limit("after an upgrade");
    let third = deployment.start_process();
    stop(second);
    deployment.check_whole_limit("after a second upgrade");
    // The new process ends, and the one that it was to replace goes on.
    stop(deployment.start_process());
    deployment.check_whole_limit("after an upgrade that was given up");
    // The other process is killed.
    let fourth = deployment.start_process();
    drop(third);
    deployment.check_whole_limit("after the old process was killed");
    stop(fourth);
}

// A predecessor of an earlier version takes half of the limits and shows itself by nothing, but by the file of ids.
#[test]
fn process_keeps_to_half_of_the_limits_while_a_predecessor_may_run() {
    let deployment = Deployment::start();
    let shares = |process: &Sidecar| {
        let metrics = process.call("metrics");
        let line =
            metrics.lines().find_map(|l| l.strip_prefix("lotusmoor_sidecar_held{what=\"limit_shares\"} "));
        line.and_then(|number| number.parse::<usize>().ok())
    };
    let first = deployment.start_process();
    assert_eq!(shares(&first), Some(60));
    drop(first);
    let second = deployment.start_process();
    assert_eq!(shares(&second), Some(32));
    wait_until("the predecessor must have ended", || shares(&second) == Some(60));
}

// The first process has the whole limit in use as the second one starts, and clients send as much as before.
#[test]
fn processes_of_an_upgrade_stay_within_the_limit_together() {
    let deployment = Deployment::start();
    let old = deployment.start_process();
    let began = Instant::now();
    let (most, new) = thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while began.elapsed() < LOAD_TIME {
                    let (mut client, rest) = deployment.begin_upload();
                    thread::sleep(BODY_TIME);
                    client.write_all(rest.as_bytes()).expect("the write succeeds");
                    assert_eq!(read_message(&mut client).map(|response| response.status()), Some(200));
                }
            });
        }
        wait_until("the first process is in use", || descriptors(&old) > 2 * CLIENTS);
        let new = deployment.start_process();
        old.signal("-TERM");
        let mut most = 0;
        while began.elapsed() < LOAD_TIME {
            most = most.max(descriptors(&old) + descriptors(&new));
            thread::sleep(Duration::from_millis(5));
        }
        (most, new)
    });
    assert!(most <= DESCRIPTORS, "{most} descriptors of {DESCRIPTORS}");
    stop(new);
}
