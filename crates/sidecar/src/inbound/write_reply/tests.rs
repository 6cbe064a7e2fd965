use super::*;
use crate::body::ResponseBody;
use crate::connection_limiter::ConnectionLimiter;
use bytes::Bytes;
use hyper::StatusCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

// A client that never reads must not hold its connection permit, its request id and the memory of its response for an
// unlimited time.
#[tokio::test]
async fn gives_up_on_client_that_never_reads_its_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    let _peer = TcpStream::connect(address).await.expect("connect");
    let (stream, _) = listener.accept().await.expect("accept a connection");
    let mut client = Client::new(stream, ConnectionLimiter::new(1).exceed(), Instant::now());
    let (_service, in_service) = watch::channel(ServiceState::Serving);
    let larger_than_socket_buffers = ResponseBody::buffered(Bytes::from(vec![0; 64 << 20]));
    let reply = Reply { body: larger_than_socket_buffers, ..Reply::without_body(StatusCode::OK) };
    assert!(!client.write_reply(reply, true, &in_service).await);
    // The same for a streamed response.
    let (pieces, rest) = tokio::sync::mpsc::channel(1);
    let body = ResponseBody { first: Bytes::new(), rest: Some(rest), length: Some(64 << 20) };
    let reply = Reply { body, ..Reply::without_body(StatusCode::OK) };
    let feeding = async { while pieces.send(Bytes::from(vec![0; 1 << 20])).await.is_ok() {} };
    let replying = client.write_reply(reply, true, &in_service);
    assert!(!tokio::join!(feeding, replying).1);
}
