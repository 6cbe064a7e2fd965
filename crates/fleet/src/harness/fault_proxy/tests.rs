use super::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener as Listener, TcpStream as Stream};

/// A server that sends back what it gets, a relay to it, and the runtime of that.
fn echo() -> (tokio::runtime::Runtime, FaultProxy) {
    let listener = Listener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let (mut from, mut to) = (stream.try_clone().expect("a copy"), stream);
                let _ = std::io::copy(&mut from, &mut to);
                let _ = to.shutdown(Shutdown::Both);
            });
        }
    });
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let proxy = FaultProxy::start(runtime.handle(), address).expect("a relay");
    (runtime, proxy)
}

fn dial(proxy: &FaultProxy) -> io::Result<Stream> {
    let stream = Stream::connect_timeout(&proxy.address, Duration::from_millis(400))?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    Ok(stream)
}

fn back(stream: &mut Stream, wait: Duration) -> io::Result<u8> {
    let mut byte = [0];
    stream.set_read_timeout(Some(wait))?;
    stream.read_exact(&mut byte)?;
    Ok(byte[0])
}

const LONG: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_millis(150);

#[test]
fn a_cut_holds_bytes_back_and_no_connection_comes_up_until_it_ends() {
    let (_runtime, proxy) = echo();
    let mut kept = dial(&proxy).expect("it is up");
    kept.write_all(b"a").expect("it takes it");
    assert_eq!(back(&mut kept, LONG).expect("it comes back"), b'a');
    proxy.set_link(Link::cut());
    assert!(crate::harness::until(|| dial(&proxy).is_err()), "no new connection comes up");
    kept.write_all(b"b").expect("the system takes it");
    assert!(back(&mut kept, SHORT).is_err());
    proxy.set_link(Link::default());
    assert_eq!(back(&mut kept, LONG).expect("it comes after all"), b'b');
    assert!(crate::harness::until(|| dial(&proxy).is_ok()));
}

#[test]
fn a_cut_one_way_lets_the_other_through() {
    let (_runtime, proxy) = echo();
    let mut stream = dial(&proxy).expect("it is up");
    proxy.set_link(Link { cut_down: true, ..Link::default() });
    stream.write_all(b"a").expect("it goes up");
    assert!(back(&mut stream, SHORT).is_err());
    proxy.set_link(Link::default());
    assert_eq!(back(&mut stream, LONG).expect("it was on its way"), b'a');
}

#[test]
fn a_delay_is_added_each_way_and_a_reset_is_seen_as_one() {
    let (_runtime, proxy) = echo();
    let mut stream = dial(&proxy).expect("it is up");
    proxy.set_link(Link { delay: Duration::from_millis(60), ..Link::default() });
    let begun = std::time::Instant::now();
    stream.write_all(b"a").expect("it takes it");
    assert_eq!(back(&mut stream, LONG).expect("it comes back"), b'a');
    assert!(begun.elapsed() >= Duration::from_millis(110), "{:?}", begun.elapsed());
    proxy.reset_connections();
    let ended = back(&mut stream, LONG).expect_err("it is over");
    assert_eq!(ended.kind(), io::ErrorKind::ConnectionReset);
}

#[test]
fn a_connection_stalls_after_its_bytes_and_one_left_half_open_hears_of_no_end() {
    let (_runtime, proxy) = echo();
    proxy.set_link(Link { stall_after: 2, ..Link::default() });
    let mut stream = dial(&proxy).expect("it is up");
    for byte in *b"ab" {
        stream.write_all(&[byte]).expect("it takes it");
        assert_eq!(back(&mut stream, LONG).expect("it comes back"), byte);
    }
    stream.write_all(b"c").expect("it takes it");
    assert!(back(&mut stream, SHORT).is_err());
    proxy.set_link(Link { half_open: true, ..Link::default() });
    assert_eq!(back(&mut stream, LONG).expect("it goes on"), b'c');
    stream.shutdown(Shutdown::Write).expect("it ends its side");
    assert_eq!(back(&mut stream, SHORT).expect_err("silence").kind(), io::ErrorKind::WouldBlock);
    proxy.set_link(Link::default());
    assert_eq!(back(&mut stream, LONG).expect_err("the end").kind(), io::ErrorKind::UnexpectedEof);
}
