use super::*;
use crate::request_lifecycle::RequestLifecycle;
use crate::send_gate::{GatedSend, SendPermit};
use std::time::Duration;

/// Progress of a request without a body whose send is permitted while `permitted` returns true.
fn gated(permitted: impl Fn() -> bool + 'static) -> WriteProgress {
    let lifecycle = RequestLifecycle::new(b"1", None, false);
    let permit = SendPermit {
        lifecycle,
        endpoint_permits: Box::new(permitted),
        attempt_deadline: None,
        write_by: None,
    };
    WriteProgress::for_gated_send(Some(0), GatedSend::new(permit))
}

// The runtime does not know of a close that it has not polled yet: a request could be written to a connection that its
// peer has closed, and would end with a reset.
#[tokio::test]
async fn does_not_reuse_connection_closed_before_poll() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    let connection = Connection::open(address).await.expect("connect");
    let (peer, _) = listener.accept().expect("accept a connection");
    let connection = connection.into_idle().await.expect("a connection at rest");
    assert!(connection.usable());
    drop(peer);
    // The runtime does not poll the socket here.
    let until = std::time::Instant::now() + Duration::from_secs(30);
    while connection.usable() {
        assert!(std::time::Instant::now() < until, "a closed connection is still reported as usable");
        std::thread::sleep(Duration::from_millis(1));
    }
}

// Otherwise a connection that breaks in the middle of a response would count as one that was dropped while idle.
#[tokio::test]
async fn truncated_response_counts_as_received() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    for response in ["", "HTTP/1.1 200 OK\r\nContent-"] {
        let mut connection = Connection::open(address).await.expect("connect");
        let (mut peer, _) = listener.accept().expect("accept a connection");
        let progress = WriteProgress::new(Some(0));
        let peer_thread = std::thread::spawn(move || {
            std::io::Read::read(&mut peer, &mut [0; 1024]).expect("read a request");
            std::io::Write::write_all(&mut peer, response.as_bytes()).expect("write a response");
        });
        let request = Request::new(RequestBody::empty());
        assert!(connection.request(request, progress.clone()).await.is_err());
        peer_thread.join().expect("the peer thread does not panic");
        assert_eq!(
            (connection.broken.get(), progress.received_any()),
            (true, !response.is_empty()),
            "{response}"
        );
    }
}

// Between the decision to send and the first byte, the runtime may poll other tasks or the connection may be slow to be
// established.
#[tokio::test]
async fn does_not_write_request_whose_permit_was_revoked_before_first_byte() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    for checks_before in [0, 1] {
        let mut connection = Connection::open(address).await.expect("connect");
        let (mut peer, _) = listener.accept().expect("accept a connection");
        let checks = Cell::new(0);
        let progress = gated(move || checks.replace(checks.get() + 1) < checks_before);
        assert_eq!(progress.may_write(), checks_before > 0);
        let request = Request::new(RequestBody::empty());
        // If the request were written, no response would ever arrive.
        let exchange = connection.request(request, progress.clone());
        let result = tokio::time::timeout(Duration::from_secs(10), exchange)
            .await
            .expect("the exchange ends without writing the request");
        assert!(
            result.is_err()
                && progress.denial().is_some()
                && !progress.has_begun()
                && !connection.is_broken()
        );
        drop(connection);
        let mut seen = Vec::new();
        std::io::Read::read_to_end(&mut peer, &mut seen).expect("the connection was closed");
        assert!(seen.is_empty(), "{seen:?}");
    }
}

// A permit refers to its request, and so to the request's body. If an idle connection still referred to the permit, the
// body would take memory for as long as the connection is idle.
#[tokio::test]
async fn releases_permit_after_first_byte() {
    let progress = gated(|| true);
    assert!(progress.may_write() && !progress.has_begun());
    progress.record_written(b"G");
    assert!(progress.may_write());
    let permit_state = Rc::new(());
    let permit_reference = Rc::clone(&permit_state);
    let progress = gated(move || Rc::strong_count(&permit_reference) > 0);
    assert_eq!(Rc::strong_count(&permit_state), 2);
    progress.record_written(b"G");
    assert_eq!(Rc::strong_count(&permit_state), 1);
}

// The rest of a request that was answered early would be written ahead of the next request.
#[tokio::test]
async fn connection_is_not_reused_until_request_is_written() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    // The kernel's buffers hold less than the larger body.
    for (body_bytes, complete) in [(1 << 10, true), (32 << 20, false)] {
        let mut connection = Connection::open(address).await.expect("connect");
        let (mut peer, _) = listener.accept().expect("accept a connection");
        let peer_thread = std::thread::spawn(move || {
            std::io::Read::read_exact(&mut peer, &mut [0; 512]).expect("read the start of a request");
            let response = b"HTTP/1.1 503 stub\r\nContent-Length: 0\r\n\r\n";
            std::io::Write::write_all(&mut peer, response).expect("write a response");
            peer
        });
        let progress = WriteProgress::new(Some(body_bytes));
        let body = RequestBody::new(vec![0; body_bytes].into(), None, progress.clone());
        let request = Request::new(body.expect("the body is not streamed"));
        connection.request(request, progress.clone()).await.expect("a response");
        assert_eq!(progress.is_complete(), complete);
        let _peer = peer_thread.join().expect("the peer thread does not panic");
        assert_eq!(connection.into_idle().await.is_some(), complete, "{body_bytes}");
    }
}

// A read into no room has the same result as one at the end of the stream, but says nothing about the peer.
#[tokio::test]
async fn read_into_no_room_is_not_the_end_of_the_stream() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    let stream = TcpStream::connect(address).await.expect("connect");
    let (mut peer, _) = listener.accept().expect("accept a connection");
    std::io::Write::write_all(&mut peer, b"HTTP/1.1").expect("write the start of a response");
    let mut gated = GatedStream {
        stream: Rc::new(stream),
        progress: Rc::default(),
        flushed: Rc::new(Cell::new(true)),
        broken: Rc::default(),
    };
    gated.stream.readable().await.expect("the socket becomes readable");
    assert_eq!(tokio::io::AsyncReadExt::read(&mut gated, &mut []).await.expect("a result"), 0);
    assert!(!gated.broken.get());
}
