//! Connections that wait for a permit are answered in time, also if there is none for long.

use super::*;

/// Descriptors of the sidecar, and its permits for clients.
const DESCRIPTORS: u32 = 64;
const PERMITS: usize = 20;
/// How long clients wait.
const TIME_LEFT: Duration = Duration::from_millis(300);
/// Clients that find no permit, and the pause between two.
const CLIENTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(25);
/// An upload that stands still is given up after 2.5 s.
const UPLOAD_BYTES: usize = 200_000;
const SENT_BYTES: usize = 100_000;

fn start(discovery: &Discovery, endpoint: &Endpoint) -> Sidecar {
    Sidecar::start_with_config(discovery, &[("s-1", endpoint)], 1024, |config| {
        config.replace("\"sockets\":1024", &format!("\"sockets\":{DESCRIPTORS}"))
    })
}

/// Clients that hold a permit each.
fn occupy_permits(sidecar: &Sidecar, endpoint: &Endpoint) -> Vec<TcpStream> {
    let uploads: Vec<_> = (0..PERMITS)
        .map(|_| {
            let mut client = sidecar.connect();
            let text = request("book", "", &"b".repeat(UPLOAD_BYTES));
            client.write_all(&text.as_bytes()[..SENT_BYTES]).expect("the write succeeds");
            client
        })
        .collect();
    wait_until("the uploads are forwarded", || endpoint.request_heads() == PERMITS);
    uploads
}

// Such a connection was taken in hand and waited without a limit, with all others behind it in the kernel's queue.
#[test]
fn requests_that_wait_for_a_permit_are_answered_in_time() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = start(&discovery, &endpoint);
    let uploads = occupy_permits(&sidecar, &endpoint);
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let mut client = sidecar.connect();
            let body = "b".repeat(1_000 * (number % 3));
            let time_left = format!("X-Time-Left: {}m", TIME_LEFT.as_millis());
            let class = if number % 3 == 0 { "look" } else { "pay" };
            let text = request(class, "", &body).replace("X-Time-Left: 19000m", &time_left);
            scope.spawn(move || {
                let sent_at = Instant::now();
                client.write_all(text.as_bytes()).expect("the write succeeds");
                let status = read_message(&mut client).map(|response| response.status());
                let time = sent_at.elapsed();
                assert!(status == Some(503) && time <= TIME_LEFT + MAX_DELAY, "{status:?} after {time:?}");
            });
            thread::sleep(PAUSE);
        }
    });
    // Nothing stays behind: once there are permits, requests are served.
    drop(uploads);
    wait_until("requests are served", || {
        sidecar.exchange(&request("look", "", "")).is_some_and(|response| response.status() == 200)
    });
}

// A connection that has sent nothing can be closed without an answer, and one that has sent a part gets an error.
#[test]
fn unfinished_requests_that_wait_for_a_permit_are_turned_away() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = start(&discovery, &endpoint);
    let _uploads = occupy_permits(&sidecar, &endpoint);
    for (start, expected) in [("", None), ("GET /api HT", Some(503)), ("\r\n", Some(503))] {
        let (mut client, connected_at) = (sidecar.connect(), Instant::now());
        client.write_all(start.as_bytes()).expect("the write succeeds");
        assert_eq!(read_message(&mut client).map(|response| response.status()), expected, "{start:?}");
        assert!(await_close(&mut client) && connected_at.elapsed() < Duration::from_secs(1), "{start:?}");
    }
}

/// How long clients of [`requests_that_found_a_permit_in_time_are_served`] wait, and for how long the permits are taken.
const LONGER_TIME_LEFT: Duration = Duration::from_millis(1000);
const LONGER_PAUSE: Duration = Duration::from_millis(75);

// While the queue of connections was not seen empty, each was taken for as old as the queue, and its request for one whose
// time was over.
#[test]
fn requests_that_found_a_permit_in_time_are_served() {
    let discovery = Discovery::start();
    let endpoint = Endpoint::start(|_| ok("served"));
    let sidecar = start(&discovery, &endpoint);
    let uploads = occupy_permits(&sidecar, &endpoint);
    let mut clients: Vec<_> = (0..20)
        .map(|_| {
            let time_left = format!("X-Time-Left: {}m", LONGER_TIME_LEFT.as_millis());
            let mut client = sidecar.connect();
            let text = request("look", "", "").replace("X-Time-Left: 19000m", &time_left);
            client.write_all(text.as_bytes()).expect("the write succeeds");
            thread::sleep(LONGER_PAUSE);
            client
        })
        .collect();
    drop(uploads);
    let statuses: Vec<_> =
        clients.iter_mut().map(|client| read_message(client).map(|response| response.status())).collect();
    // The last ones have waited for less than a quarter of a second.
    assert!(statuses[17..].iter().all(|status| *status == Some(200)), "{statuses:?}");
}
