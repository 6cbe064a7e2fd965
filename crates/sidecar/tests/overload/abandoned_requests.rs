//! Requests that their clients give up, or never write whole, say nothing about endpoints.

use super::*;

/// Clients at a time, and how many uploads each begins.
const CLIENTS: usize = 40;
const UPLOADS_OF_EACH: usize = 40;
/// How much of a body is sent, and how long it would be.
const SENT_BYTES: usize = 90_000;
const BODY_BYTES: usize = 200_000;
/// Requests afterwards, with a pause after each.
const REQUESTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(50);

// Each counted as a request that was not answered in time, and so others were shed for many seconds afterwards.
#[test]
fn serves_all_requests_after_clients_left_their_uploads() {
    for (class, chunked) in [("book", false), ("pay", true)] {
        let discovery = Discovery::start();
        let endpoints: Vec<_> = (0..3).map(|_| Endpoint::start(|_| ok("served"))).collect();
        let named: Vec<_> = ["s-0", "s-1", "s-2"].into_iter().zip(&endpoints).collect();
        // Shedding looks back over a little more than the longest deadline.
        let sidecar = Sidecar::start_with_config(&discovery, &named, 1024, |config| {
            config
                .replace("\"AimUs\":8000000", "\"AimUs\":500000")
                .replace("\"DeadlineUs\":20000000", "\"DeadlineUs\":1000000")
        });
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    for _ in 0..UPLOADS_OF_EACH {
                        let mut client = sidecar.connect();
                        let _ = client.write_all(&start_of_upload(class, chunked));
                        thread::sleep(Duration::from_millis(60));
                    }
                });
            }
        });
        let statuses: Vec<_> = (0..REQUESTS)
            .map(|_| {
                thread::sleep(PAUSE);
                sidecar.exchange(&request("look", "", "")).map(|answer| answer.status())
            })
            .collect();
        assert!(statuses.iter().all(|status| *status == Some(200)), "chunked: {chunked}: {statuses:?}");
    }
}

/// The head and the first part of an upload.
fn start_of_upload(class: &str, chunked: bool) -> Vec<u8> {
    let framing = match chunked {
        true => format!("Transfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n"),
        false => format!("Content-Length: {BODY_BYTES}\r\n\r\n"),
    };
    let head = request(class, "", "").replace("Content-Length: 0\r\n\r\n", &framing);
    [head.into_bytes(), vec![b'h'; SENT_BYTES]].concat()
}

/// Number of uploads that their clients give up.
const ABANDONED: usize = 20;

/// Starts an endpoint that accepts connections and reads nothing.
fn start_deaf_endpoint() -> SocketAddr {
    let listener = listener_with_small_buffers();
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let _connections: Vec<_> = listener.incoming().collect();
    });
    address
}

/// Number of descriptors that the sidecar has open.
fn descriptors(sidecar: &Sidecar) -> usize {
    let folder = format!("/proc/{}/fd", sidecar.process.id());
    std::fs::read_dir(folder).expect("the process runs").count()
}

// Where settings don't allow attempts to be cancelled, those of unfinished uploads stayed for as long as the endpoint did,
// with the connections of endpoint and client and the memory of the request.
#[test]
fn attempts_of_abandoned_uploads_end_where_they_can_not_be_cancelled() {
    let discovery = Discovery::start();
    let change = |config: String| config.replace("\"MayCancel\":true", "\"MayCancel\":false");
    let sidecar = Sidecar::start_with_send_buffers(&discovery, &[], SEND_BUFFER_BYTES, change);
    discovery.publish(2, list(2, true, &[("s-1", start_deaf_endpoint(), "active")]));
    discovery.await_watch(2);
    let before = descriptors(&sidecar);
    let clients: Vec<_> = (0..ABANDONED)
        .map(|number| {
            let mut client = sidecar.connect();
            client.write_all(&start_of_upload("book", number % 2 == 0)).expect("the write succeeds");
            client
        })
        .collect();
    wait_until("the attempts have begun", || descriptors(&sidecar) >= before + 2 * ABANDONED);
    drop(clients);
    thread::sleep(Duration::from_secs(1));
    let after = descriptors(&sidecar);
    assert!(after <= before + 2, "{after} descriptors, {before} before");
}

/// Clients that leave, of a sidecar with 20 connections on either side.
const LEAVING_CLIENTS: usize = 15;
const FEW_DESCRIPTORS: u32 = 64;

// Attempts that may not be cancelled run on after their client has left. Each kept its client's socket open meanwhile, but
// not its permit, so that the sidecar held more descriptors than it may.
#[test]
fn sockets_of_clients_that_left_are_closed_while_their_attempts_run_on() {
    const WORK_TIME: Duration = Duration::from_secs(3);
    let discovery = Discovery::start();
    let reply = |_: &Message| Reply::DelayedResponse(WORK_TIME, b"late".to_vec());
    let endpoints: Vec<_> = (0..LEAVING_CLIENTS).map(|_| Endpoint::start(reply)).collect();
    let names: Vec<_> = (0..LEAVING_CLIENTS).map(|number| format!("s-{number}")).collect();
    let named: Vec<_> = names.iter().map(String::as_str).zip(&endpoints).collect();
    let sidecar = Sidecar::start_with_config(&discovery, &named, 1024, |config| {
        config
            .replace("\"MayCancel\":true", "\"MayCancel\":false")
            .replace("\"sockets\":1024", &format!("\"sockets\":{FEW_DESCRIPTORS}"))
    });
    let received = || endpoints.iter().map(Endpoint::requests_received).sum::<usize>();
    let before = descriptors(&sidecar);
    let clients: Vec<_> = (0..LEAVING_CLIENTS)
        .map(|_| {
            let mut client = sidecar.connect();
            client.write_all(request("book", "", "").as_bytes()).expect("the write succeeds");
            client
        })
        .collect();
    wait_until("all attempts are under way", || received() == LEAVING_CLIENTS);
    let left_at = Instant::now();
    drop(clients);
    wait_until("the clients' sockets are closed", || descriptors(&sidecar) <= before + LEAVING_CLIENTS);
    assert!(left_at.elapsed() < WORK_TIME / 2, "after {:?}", left_at.elapsed());
    assert!(endpoints.iter().all(|endpoint| endpoint.closed() == 0), "the attempts run on");
}
