//! A stub of the discovery service.

use super::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A stub discovery service. It answers a watch as soon as a newer version is published.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    /// While set, every poll is answered with 503.
    pub failing: Arc<AtomicBool>,
    /// Polls received while this is set are never answered.
    pub unresponsive: Arc<AtomicBool>,
    /// If set, the fault applied to each poll received.
    pub fault: Arc<Mutex<Option<Fault>>>,
    /// How long each poll waits before it is processed.
    pub delay: Arc<Mutex<Duration>>,
    /// How many times all connections were reset.
    resets: Arc<AtomicUsize>,
}

/// A faulty response to a poll: the bytes to write, and how to deliver them.
#[derive(Clone)]
pub struct Fault(pub Vec<u8>, pub Delivery);

/// How the bytes of a [`Fault`] are delivered, and what happens to the connection after them.
#[derive(Clone, Copy)]
pub enum Delivery {
    /// The bytes are written at once, and the connection stays open for the next poll.
    KeepOpen,
    /// The bytes are written at once, and the connection is closed.
    ThenClose,
    /// The bytes are written in pieces over this time, and the connection stays open for the next poll.
    Slowly(Duration),
    /// The bytes are followed by a space every 20 ms until the peer closes the connection.
    TrickleSpaces,
}

impl Fault {
    /// Writes the faulty response; returns whether the connection stays open for the next poll.
    fn apply(&self, stream: &mut TcpStream) -> bool {
        if let Delivery::Slowly(time) = self.1 {
            return self.write_slowly(stream, time);
        }
        // The sidecar may have closed the connection by now.
        let mut written = stream.write_all(&self.0).is_ok();
        while written && matches!(self.1, Delivery::TrickleSpaces) {
            thread::sleep(Duration::from_millis(20));
            written = stream.write_all(b" ").is_ok();
        }
        written && matches!(self.1, Delivery::KeepOpen)
    }

    /// Writes the bytes in pieces over the given time; returns whether all were written.
    fn write_slowly(&self, stream: &mut TcpStream, time: Duration) -> bool {
        const PIECES: usize = 50;
        self.0.chunks(self.0.len().div_ceil(PIECES)).all(|piece| {
            thread::sleep(time / PIECES as u32);
            stream.write_all(piece).is_ok()
        })
    }
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    body: String,
    polls: Vec<String>,
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let discovery = Self::not_serving(listener.local_addr().expect("an address"));
        discovery.serve(listener);
        discovery
    }

    /// A stub for this address that does not listen yet; [`Discovery::serve`] starts it.
    pub fn not_serving(address: SocketAddr) -> Self {
        let (state, failing, unresponsive, fault, delay, resets) = Default::default();
        Self { address, state, failing, unresponsive, fault, delay, resets }
    }

    /// Serves connections to this listener, on threads of its own.
    pub fn serve(&self, listener: TcpListener) {
        let (state, failing) = (self.state.clone(), self.failing.clone());
        let (unresponsive, fault, resets) =
            (self.unresponsive.clone(), self.fault.clone(), self.resets.clone());
        let delay = self.delay.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let (state, failing, unresponsive) = (state.clone(), failing.clone(), unresponsive.clone());
                let (fault, delay) = (fault.clone(), delay.clone());
                let (resets, resets_before) = (resets.clone(), resets.load(Ordering::SeqCst));
                thread::spawn(move || {
                    while let Some(poll) = read_message(&mut stream) {
                        let delay = *delay.lock().expect("the lock is not poisoned");
                        thread::sleep(delay);
                        let active_fault = fault.lock().expect("the lock is not poisoned").clone();
                        if unresponsive.load(Ordering::SeqCst) || active_fault.is_some() {
                            state.0.lock().expect("the lock is not poisoned").polls.push(poll.start.clone());
                        }
                        if unresponsive.load(Ordering::SeqCst) {
                            continue;
                        }
                        if let Some(fault) = active_fault {
                            match fault.apply(&mut stream) {
                                true => continue,
                                false => return,
                            }
                        }
                        let is_reset = || resets.load(Ordering::SeqCst) != resets_before;
                        let Some((status, body)) = Self::await_response(&state, &failing, is_reset, &poll)
                        else {
                            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                            return;
                        };
                        write_response(&mut stream, status, "", body.as_bytes());
                    }
                });
            }
        });
    }

    /// Waits for the response to a poll; `None` if its connection is to be reset.
    fn await_response(
        state: &(Mutex<DiscoveryState>, Condvar),
        failing: &AtomicBool,
        is_reset: impl Fn() -> bool,
        poll: &Message,
    ) -> Option<(u16, String)> {
        let mut guard = state.0.lock().expect("the lock is not poisoned");
        guard.polls.push(poll.start.clone());
        let after = poll.start.split(['=', '&']).nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            if is_reset() {
                return None;
            }
            if failing.load(Ordering::SeqCst) {
                return Some((503, String::new()));
            }
            if guard.version > after {
                return Some((200, guard.body.clone()));
            }
            if Instant::now() >= until {
                return Some((200, format!(r#"{{"index":{after},"snapshot":false,"endpoints":[]}}"#)));
            }
            guard =
                state.1.wait_timeout(guard, Duration::from_millis(20)).expect("the lock is not poisoned").0;
        }
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
        self.state.1.notify_all();
    }

    /// Makes `version` the newest version, and answers watches for older ones with `body`.
    pub fn publish(&self, version: u64, body: String) {
        let mut state = self.state.0.lock().expect("the lock is not poisoned");
        (state.version, state.body) = (version, body);
        self.state.1.notify_all();
    }

    /// The request lines of all polls received.
    pub fn polls(&self) -> Vec<String> {
        self.state.0.lock().expect("the lock is not poisoned").polls.clone()
    }

    /// Waits until a watch for changes after `version` is open, which shows that the sidecar has applied `version`.
    pub fn await_watch(&self, version: u64) {
        let poll = format!("after={version}&");
        wait_until("the next watch is open", || self.polls().iter().any(|c| c.contains(&poll)));
    }
}

/// The JSON body of an endpoint list (`snapshot`) or of changes to it, from the name, address and status of each entry.
pub fn list(index: u64, snapshot: bool, entries: &[(&str, SocketAddr, &str)]) -> String {
    let entry = |(name, address, status): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
        )
    };
    let entries: Vec<_> = entries.iter().map(entry).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}
