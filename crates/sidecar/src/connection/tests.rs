use super::*;
use crate::request_lifecycle::RequestLifecycle;
use crate::send_gate::{GatedSend, SendPermit};
use bytes::Bytes;
use std::time::Duration;

/// Progress of a request without a body that may begin while that holds.
fn gated(holds: impl Fn() -> bool + 'static) -> WriteProgress {
    let lifecycle = RequestLifecycle::new(b"1", None, false);
    let permit =
        SendPermit { lifecycle, endpoint_permits: Box::new(holds), attempt_deadline: None, write_by: None };
    WriteProgress::of_send(Some(0), GatedSend::new(permit))
}

// What the runtime has not polled yet it does not know: a request would go out on a connection that its
// peer has closed, and end as a reset.
#[tokio::test]
async fn does_not_reuse_connection_closed_before_poll() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connection = Connection::open(address).await.expect("it connects");
    let (peer, _) = listener.accept().expect("a connection");
    assert!(connection.usable());
    drop(peer);
    // Without giving the runtime a turn.
    let until = std::time::Instant::now() + Duration::from_secs(30);
    while connection.usable() {
        assert!(std::time::Instant::now() < until, "a closed connection still passes for usable");
        std::thread::sleep(Duration::from_millis(1));
    }
}

// Else a connection that breaks inside an answer would pass for one that was dropped while idle.
#[tokio::test]
async fn truncated_answer_counts_as_received() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    for answer in ["", "HTTP/1.1 200 OK\r\nContent-"] {
        let mut connection = Connection::open(address).await.expect("it connects");
        let (mut peer, _) = listener.accept().expect("a connection");
        let progress = WriteProgress::new(Some(0));
        let breaking = std::thread::spawn(move || {
            std::io::Read::read(&mut peer, &mut [0; 1024]).expect("a request");
            std::io::Write::write_all(&mut peer, answer.as_bytes()).expect("it is taken");
        });
        let request = Request::new(RequestBody::new(Bytes::new(), None, progress.clone()));
        assert!(connection.request(request, progress.clone()).await.is_err());
        breaking.join().expect("no stub panics");
        assert_eq!(
            (connection.broken.get(), progress.received_any()),
            (true, !answer.is_empty()),
            "{answer}"
        );
    }
}

// Some turns of the runtime, or a late connection, lie between the decision and the first byte.
#[tokio::test]
async fn does_not_write_request_whose_permit_was_revoked_before_first_byte() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    for checks_before in [0, 1] {
        let mut connection = Connection::open(address).await.expect("it connects");
        let (mut peer, _) = listener.accept().expect("a connection");
        let checks = Cell::new(0);
        let progress = gated(move || checks.replace(checks.get() + 1) < checks_before);
        assert_eq!(progress.may_write(), checks_before > 0);
        let request = Request::new(RequestBody::new(Bytes::new(), None, progress.clone()));
        // Written, it would never be answered.
        let exchange = connection.request(request, progress.clone());
        let answer = tokio::time::timeout(Duration::from_secs(10), exchange).await.expect("it was written");
        assert!(answer.is_err() && progress.is_denied() && !progress.has_begun() && !connection.is_broken());
        drop(connection);
        let mut seen = Vec::new();
        std::io::Read::read_to_end(&mut peer, &mut seen).expect("it was closed");
        assert!(seen.is_empty(), "{seen:?}");
    }
}

// Else a body would keep its memory for as long as the connection idles.
#[tokio::test]
async fn releases_permit_after_first_byte() {
    let progress = gated(|| true);
    assert!(progress.may_write() && !progress.has_begun());
    progress.record_written(b"G");
    assert!(progress.may_write());
    let permit_state = Rc::new(());
    let holds = Rc::clone(&permit_state);
    let progress = gated(move || Rc::strong_count(&holds) > 0);
    assert_eq!(Rc::strong_count(&permit_state), 2);
    progress.record_written(b"G");
    assert_eq!(Rc::strong_count(&permit_state), 1);
}
