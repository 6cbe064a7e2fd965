use super::*;
use crate::client_liveness::QUIET_TIME;
use crate::connection_limiter::ConnectionLimiter;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The longest body of [`reads_bodies_of_every_length`], which is more than is buffered.
const MAX_LENGTH: usize = 70_000;
/// The last bytes of a body are written alone, up to this many.
const MAX_LAST_PIECE: usize = 5;

/// A connection as its client sees it, and as the sidecar does.
async fn connection() -> (TcpStream, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    let peer = TcpStream::connect(address).await.expect("connect");
    peer.set_nodelay(true).expect("the option can be set");
    let (stream, _) = listener.accept().await.expect("accept a connection");
    (peer, Client::new(stream, ConnectionLimiter::new(1).exceed(), Instant::now()))
}

fn request_text(length: usize) -> Vec<u8> {
    let head = format!("POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    let body = (0..length).map(|index| (index % 251) as u8);
    head.into_bytes().into_iter().chain(body).collect()
}

/// Reads a request like [`Client::read_request`], but without what that needs of the engine. Returns all of its body.
async fn read_whole_body(client: &mut Client) -> Result<Vec<u8>, RequestError> {
    let head = loop {
        if let Some((head, length)) = RequestHead::parse(&client.unparsed).map_err(RequestError::Rejected)? {
            client.unparsed.advance(length);
            release_spare(&mut client.unparsed);
            break head;
        }
        client.fill(READ_SIZE).await?;
    };
    let mut decoder = BodyDecoder::new(head.body);
    let mut receive_rate = ReceiveRate::since(Instant::now());
    let mut body = client.read_body(&head, &mut decoder, &mut receive_rate).await?.to_vec();
    release_if_empty(&mut client.unparsed);
    while !decoder.ended() {
        match decoder.decode(&mut client.unparsed).map_err(RequestError::Rejected)? {
            Some(piece) => body.extend_from_slice(&piece),
            None => client.fill_body(&decoder, &mut receive_rate).await?,
        }
    }
    Ok(body)
}

// A request whose last one to three bytes were read alone was taken for one whose client had closed its connection: the
// read asked for none of them, and its result of 0 bytes means the end of the stream.
#[tokio::test]
async fn reads_bodies_of_every_length() {
    let (mut peer, mut client) = connection().await;
    for length in 0..=MAX_LENGTH {
        let text = request_text(length);
        peer.write_all(&text).await.expect("the socket has room");
        let body = read_whole_body(&mut client).await;
        assert!(body.is_ok_and(|body| text.ends_with(&body) && body.len() == length), "{length} bytes");
        assert!(client.unparsed.is_empty(), "{length} bytes");
    }
}

#[tokio::test]
async fn reads_last_bytes_of_a_body_that_arrive_alone() {
    let (mut peer, mut client) = connection().await;
    for length in (MAX_LAST_PIECE..=MAX_LENGTH).step_by(997) {
        for last in 1..=MAX_LAST_PIECE {
            let text = request_text(length);
            let (start, end) = text.split_at(text.len() - last);
            let writing = async {
                peer.write_all(start).await?;
                sleep(QUIET_TIME).await;
                peer.write_all(end).await
            };
            let (written, body) = tokio::join!(writing, read_whole_body(&mut client));
            written.expect("the socket has room");
            assert!(
                body.is_ok_and(|body| text.ends_with(&body) && body.len() == length),
                "{length} bytes, {last} of them alone"
            );
        }
    }
}
