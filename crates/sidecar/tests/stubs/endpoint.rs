//! Stub endpoints.

use super::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How an endpoint replies to a request.
pub enum Reply {
    /// Sends a response with this status, additional header lines and body.
    Response(u16, &'static str, Vec<u8>),
    /// Sends the same, and closes the connection without having announced it.
    ResponseThenClose(u16, &'static str, Vec<u8>),
    /// Sends a 200 response with this body after a delay.
    DelayedResponse(Duration, Vec<u8>),
    /// Sends these bytes and, optionally, more bytes after a delay.
    Raw(Vec<u8>, Option<(Duration, Vec<u8>)>),
    /// Sends nothing, and keeps the connection open.
    NoResponse,
    /// Closes the connection.
    Close,
}

/// A stub endpoint that records the requests it receives.
pub struct Endpoint {
    pub address: SocketAddr,
    /// The requests for which the reply has been determined; those that still wait for it are not included.
    pub handled: Arc<Mutex<Vec<Message>>>,
    /// Number of requests whose head has been received.
    heads: Arc<AtomicUsize>,
    /// Number of requests that have been received completely, including those without a reply yet.
    complete: Arc<AtomicUsize>,
    /// Number of connections accepted.
    pub accepted: Arc<AtomicUsize>,
    /// Number of connections that the sidecar has closed.
    pub closed: Arc<AtomicUsize>,
}

impl Endpoint {
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a free port"), reply)
    }

    /// Starts an endpoint on this listener.
    pub fn on(listener: TcpListener, reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let address = listener.local_addr().expect("an address");
        let (handled, heads, complete, accepted, closed) = Default::default();
        let endpoint = Self { address, handled, heads, complete, accepted, closed };
        let (handled, heads, complete) =
            (endpoint.handled.clone(), endpoint.heads.clone(), endpoint.complete.clone());
        let (accepted, closed) = (endpoint.accepted.clone(), endpoint.closed.clone());
        let reply = Arc::new(reply);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                accepted.fetch_add(1, Ordering::SeqCst);
                let (handled, closed, reply) = (handled.clone(), closed.clone(), reply.clone());
                let (heads, complete) = (heads.clone(), complete.clone());
                thread::spawn(move || {
                    let reply = |message: &Message| {
                        complete.fetch_add(1, Ordering::SeqCst);
                        reply(message)
                    };
                    serve(stream, &heads, &handled, &closed, &reply);
                });
            }
        });
        endpoint
    }

    /// Number of requests for which the reply has been determined.
    pub fn requests_handled(&self) -> usize {
        self.handled.lock().expect("the lock is not poisoned").len()
    }

    /// Number of requests whose head has been received.
    pub fn request_heads(&self) -> usize {
        self.heads.load(Ordering::SeqCst)
    }

    /// Number of requests that have been received completely, including those without a reply yet.
    pub fn requests_received(&self) -> usize {
        self.complete.load(Ordering::SeqCst)
    }

    /// Number of connections that the sidecar has closed.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}

fn serve(
    mut stream: TcpStream,
    heads: &AtomicUsize,
    handled: &Mutex<Vec<Message>>,
    closed: &AtomicUsize,
    reply: &dyn Fn(&Message) -> Reply,
) {
    // Otherwise a second write waits up to 40 ms for the sidecar's acknowledgement of the first.
    stream.set_nodelay(true).expect("the option can be set");
    let mut last_reply: Option<Instant> = None;
    while let Some(head) = read_head(&mut stream) {
        heads.fetch_add(1, Ordering::SeqCst);
        let Some(mut message) = read_body(head, &mut stream) else { break };
        message.idle = last_reply.map(|at| at.elapsed());
        let reply = reply(&message);
        handled.lock().expect("the lock is not poisoned").push(message);
        match reply {
            Reply::Response(status, headers, body) => write_response(&mut stream, status, headers, &body),
            Reply::ResponseThenClose(status, headers, body) => {
                write_response(&mut stream, status, headers, &body);
                return;
            }
            Reply::DelayedResponse(time, body) => {
                thread::sleep(time);
                write_response(&mut stream, 200, "", &body);
            }
            Reply::Raw(bytes, later) => {
                let _ = stream.write_all(&bytes);
                if let Some((time, bytes)) = later {
                    thread::sleep(time);
                    let _ = stream.write_all(&bytes);
                }
            }
            Reply::NoResponse => {}
            Reply::Close => return,
        }
        last_reply = Some(Instant::now());
    }
    closed.fetch_add(1, Ordering::SeqCst);
}

/// Writes a response whose body length is given by `Content-Length`.
pub fn write_response(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) {
    let head = format!("HTTP/1.1 {status} stub\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let bytes: Vec<u8> = head.bytes().chain(body.iter().copied()).collect();
    // The sidecar may have closed the connection by now.
    let _ = stream.write_all(&bytes);
}

/// A 200 response with this body.
pub fn ok(body: &str) -> Reply {
    Reply::Response(200, "", body.as_bytes().to_vec())
}
