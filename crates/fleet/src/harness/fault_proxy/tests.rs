use super::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener as Listener, TcpStream as Stream};

/// Starts an echo server and a proxy in front of it; returns the runtime of the proxy, and the proxy.
fn echo_through_proxy() -> (tokio::runtime::Runtime, FaultProxy) {
    let listener = Listener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the local address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let (mut from, mut to) = (stream.try_clone().expect("the stream is cloned"), stream);
                let _ = std::io::copy(&mut from, &mut to);
                let _ = to.shutdown(Shutdown::Both);
            });
        }
    });
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let proxy = FaultProxy::start(runtime.handle(), address).expect("the proxy starts");
    (runtime, proxy)
}

fn connect(proxy: &FaultProxy) -> io::Result<Stream> {
    let stream = Stream::connect_timeout(&proxy.address, Duration::from_millis(400))?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    Ok(stream)
}

fn read_byte(stream: &mut Stream, timeout: Duration) -> io::Result<u8> {
    let mut byte = [0];
    stream.set_read_timeout(Some(timeout))?;
    stream.read_exact(&mut byte)?;
    Ok(byte[0])
}

const LONG: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_millis(150);

#[test]
fn cut_holds_back_bytes_and_new_connections_until_restored() {
    let (_runtime, proxy) = echo_through_proxy();
    let mut established = connect(&proxy).expect("the connection is established");
    established.write_all(b"a").expect("the write succeeds");
    assert_eq!(read_byte(&mut established, LONG).expect("the byte is echoed"), b'a');
    proxy.set_link(Link::cut());
    assert!(crate::harness::until(|| connect(&proxy).is_err()), "no new connection is established");
    established.write_all(b"b").expect("the kernel buffers the write");
    assert!(read_byte(&mut established, SHORT).is_err());
    proxy.set_link(Link::default());
    assert_eq!(read_byte(&mut established, LONG).expect("the byte arrives once the link is restored"), b'b');
    assert!(crate::harness::until(|| connect(&proxy).is_ok()));
}

#[test]
fn cut_in_one_direction_does_not_affect_the_other() {
    let (_runtime, proxy) = echo_through_proxy();
    let mut stream = connect(&proxy).expect("the connection is established");
    proxy.set_link(Link { cut_down: true, ..Link::default() });
    stream.write_all(b"a").expect("the write succeeds");
    assert!(read_byte(&mut stream, SHORT).is_err());
    proxy.set_link(Link::default());
    assert_eq!(read_byte(&mut stream, LONG).expect("the byte arrives once the link is restored"), b'a');
}

#[test]
fn delays_each_direction_and_forwards_resets() {
    let (_runtime, proxy) = echo_through_proxy();
    let mut stream = connect(&proxy).expect("the connection is established");
    proxy.set_link(Link { delay: Duration::from_millis(60), ..Link::default() });
    let start = std::time::Instant::now();
    stream.write_all(b"a").expect("the write succeeds");
    assert_eq!(read_byte(&mut stream, LONG).expect("the byte is echoed"), b'a');
    assert!(start.elapsed() >= Duration::from_millis(110), "{:?}", start.elapsed());
    proxy.reset_connections();
    let error = read_byte(&mut stream, LONG).expect_err("the connection was reset");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

#[test]
fn stalls_after_given_bytes_and_half_open_link_hides_the_close() {
    let (_runtime, proxy) = echo_through_proxy();
    proxy.set_link(Link { stall_after: 2, ..Link::default() });
    let mut stream = connect(&proxy).expect("the connection is established");
    for byte in *b"ab" {
        stream.write_all(&[byte]).expect("the write succeeds");
        assert_eq!(read_byte(&mut stream, LONG).expect("the byte is echoed"), byte);
    }
    stream.write_all(b"c").expect("the write succeeds");
    assert!(read_byte(&mut stream, SHORT).is_err());
    proxy.set_link(Link { half_open: true, ..Link::default() });
    assert_eq!(read_byte(&mut stream, LONG).expect("the byte arrives once the stall ends"), b'c');
    stream.shutdown(Shutdown::Write).expect("the write side closes");
    assert_eq!(
        read_byte(&mut stream, SHORT).expect_err("the close is not forwarded").kind(),
        io::ErrorKind::WouldBlock
    );
    proxy.set_link(Link::default());
    assert_eq!(
        read_byte(&mut stream, LONG).expect_err("the close is forwarded").kind(),
        io::ErrorKind::UnexpectedEof
    );
}
