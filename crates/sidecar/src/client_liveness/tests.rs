use super::*;
use std::io::Write;
use std::net::TcpListener;

/// A client and its connection as it was accepted.
async fn pair() -> (std::net::TcpStream, Rc<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client =
        std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("it connects");
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("it can");
    (client, Rc::new(TcpStream::from_std(stream).expect("a stream")))
}

// Bytes before the end of a connection may be unread for as long as its request waits, behind a full channel for one.
#[tokio::test]
async fn detects_closed_client_behind_unread_bytes() {
    for unread in [&b""[..], b"half a body"] {
        for resets in [false, true] {
            let (mut client, stream) = pair().await;
            let liveness = ClientLiveness::of(&stream);
            client.write_all(unread).expect("it is taken");
            assert!(!liveness.is_closed());
            if resets {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("it can");
            }
            drop(client);
            let closed = tokio::time::timeout(Duration::from_secs(30), liveness.closed()).await;
            assert!(closed.is_ok(), "{} bytes unread, resets: {resets}", unread.len());
        }
    }
}

// After a pause of the whole process, a request may be about to be sent before anything that came meanwhile is polled.
#[tokio::test]
async fn detects_close_or_further_bytes_before_they_are_polled() {
    for (unread, leaves) in [(&b""[..], true), (b"more", true), (b"more", false)] {
        let (mut client, stream) = pair().await;
        let liveness = ClientLiveness::of(&stream);
        assert!(liveness.has_nothing_unread());
        client.write_all(unread).expect("it is taken");
        let _open_client = (!leaves).then_some(client);
        assert!(!liveness.has_nothing_unread(), "{} bytes unread, leaves: {leaves}", unread.len());
    }
}
