use super::*;
use std::io::Write;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Allowance for the tick of the kernel's clock.
const TICK: Duration = Duration::from_millis(20);

#[tokio::test]
async fn connection_age_counts_from_handshake_despite_received_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    let connected_at = Instant::now();
    let mut client = std::net::TcpStream::connect(address).expect("connect");
    sleep(Duration::from_millis(200)).await;
    client.write_all(b"a").expect("write");
    sleep(Duration::from_millis(300)).await;
    let (stream, _) = listener.accept().await.expect("accept a connection");
    let age = age_before_first_send(&stream).expect("TCP_INFO is available");
    let actual = connected_at.elapsed();
    assert!(age + TICK >= actual && age <= actual + TICK, "{age:?} after {actual:?}");
}
