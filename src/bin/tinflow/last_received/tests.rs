use super::*;
use std::io::Write;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// The system counts in ticks of its own.
const TICK: Duration = Duration::from_millis(20);

#[tokio::test]
async fn what_lies_unread_has_waited_since_it_came() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut client = std::net::TcpStream::connect(address).expect("a queue");
    sleep(Duration::from_millis(200)).await;
    client.write_all(b"a").expect("the system takes it");
    let wait = Duration::from_millis(300);
    sleep(wait).await;
    let (stream, _) = listener.accept().await.expect("a connection");
    let waited = since_last_received(&stream).expect("Linux says it");
    assert!(waited + TICK >= wait && waited < Duration::from_millis(450), "{waited:?}");
}
