use super::*;
use std::io::Write;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// The system counts in ticks of its own.
const TICK: Duration = Duration::from_millis(20);

#[tokio::test]
async fn connection_age_counts_from_handshake_despite_received_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let made = Instant::now();
    let mut client = std::net::TcpStream::connect(address).expect("a queue");
    sleep(Duration::from_millis(200)).await;
    client.write_all(b"a").expect("the system takes it");
    sleep(Duration::from_millis(300)).await;
    let (stream, _) = listener.accept().await.expect("a connection");
    let age = age_of_unanswered(&stream).expect("Linux says it");
    let real = made.elapsed();
    assert!(age + TICK >= real && age <= real + TICK, "{age:?} after {real:?}");
}
