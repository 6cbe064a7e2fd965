use super::*;
use std::io::Write;
use std::net::TcpListener;

/// A client and the accepted end of its connection.
async fn pair() -> (std::net::TcpStream, Rc<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let client =
        std::net::TcpStream::connect(listener.local_addr().expect("local address")).expect("connect");
    let (stream, _) = listener.accept().expect("accept a connection");
    stream.set_nonblocking(true).expect("set non-blocking");
    (client, Rc::new(TcpStream::from_std(stream).expect("register the stream")))
}

// Bytes in front of a FIN may stay unread for as long as their request waits, for example behind a full channel.
#[tokio::test]
async fn detects_closed_client_behind_unread_bytes() {
    for unread in [&b""[..], b"half a body"] {
        for resets in [false, true] {
            let (mut client, stream) = pair().await;
            let liveness = ClientLiveness::of(&stream);
            client.write_all(unread).expect("write");
            assert!(!liveness.is_closed());
            if resets {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set linger");
            }
            drop(client);
            let closed = tokio::time::timeout(Duration::from_secs(30), liveness.closed()).await;
            assert!(closed.is_ok(), "{} bytes unread, resets: {resets}", unread.len());
        }
    }
}

// After a pause of the whole process, a request may be sent before the runtime has polled what arrived meanwhile.
#[tokio::test]
async fn detects_close_or_further_bytes_before_they_are_polled() {
    for (unread, closes) in [(&b""[..], true), (b"more", true), (b"more", false)] {
        let (mut client, stream) = pair().await;
        let liveness = ClientLiveness::of(&stream);
        assert!(liveness.has_nothing_unread());
        client.write_all(unread).expect("write");
        let _open_client = (!closes).then_some(client);
        assert!(!liveness.has_nothing_unread(), "{} bytes unread, closes: {closes}", unread.len());
    }
}

// Otherwise the socket of a client that has left would stay open for as long as an attempt for it runs on.
#[tokio::test]
async fn does_not_keep_the_socket_open() {
    let (mut client, stream) = pair().await;
    let liveness = ClientLiveness::of(&stream);
    drop(stream);
    assert!(liveness.is_closed() && !liveness.has_nothing_unread() && !liveness.is_known_connected());
    assert_eq!(std::io::Read::read(&mut client, &mut [0]).expect("the connection is closed"), 0);
}
