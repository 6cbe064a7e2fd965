//! A stub of discovery.

use super::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Discovery: answers watches when something newer is published.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Listed>, Condvar)>,
    /// Every call is answered with 503 while set.
    pub failing: Arc<AtomicBool>,
    /// Calls that come while this is set are never answered.
    pub mute: Arc<AtomicBool>,
    /// What is done with every call that comes while there is one.
    pub fault: Arc<Mutex<Option<Fault>>>,
    /// How long every call waits before it is looked at.
    pub slow: Arc<Mutex<Duration>>,
    /// How often all connections were reset.
    resets: Arc<AtomicUsize>,
}

/// What a discovery that is not well does with a call: it writes these bytes and goes on as it says.
#[derive(Clone)]
pub struct Fault(pub Vec<u8>, pub Then);

/// How an answer of such a discovery goes on.
#[derive(Clone, Copy)]
pub enum Then {
    /// It was whole: the next call may come.
    NextCall,
    /// The connection is closed.
    Close,
    /// The bytes come in pieces, over that time.
    Slowly(Duration),
    /// A blank comes every 20 ms, for as long as anybody takes it.
    Drip,
}

impl Fault {
    /// Whether the connection goes on.
    fn play(&self, stream: &mut TcpStream) -> bool {
        if let Then::Slowly(time) = self.1 {
            return self.write_slowly(stream, time);
        }
        // The sidecar may have given up on it.
        let mut taken = stream.write_all(&self.0).is_ok();
        while taken && matches!(self.1, Then::Drip) {
            thread::sleep(Duration::from_millis(20));
            taken = stream.write_all(b" ").is_ok();
        }
        taken && matches!(self.1, Then::NextCall)
    }

    /// Whether all was taken.
    fn write_slowly(&self, stream: &mut TcpStream, time: Duration) -> bool {
        const PIECES: usize = 50;
        self.0.chunks(self.0.len().div_ceil(PIECES)).all(|piece| {
            thread::sleep(time / PIECES as u32);
            stream.write_all(piece).is_ok()
        })
    }
}

#[derive(Default)]
struct Listed {
    version: u64,
    body: String,
    calls: Vec<String>,
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let discovery = Self::not_serving(listener.local_addr().expect("an address"));
        discovery.serve(listener);
        discovery
    }

    /// One that is to be at that address, and serves nobody yet.
    pub fn not_serving(address: SocketAddr) -> Self {
        let (state, failing, mute, fault, slow, resets) = Default::default();
        Self { address, state, failing, mute, fault, slow, resets }
    }

    /// Serves those that connect there.
    pub fn serve(&self, listener: TcpListener) {
        let (state, failing) = (self.state.clone(), self.failing.clone());
        let (mute, fault, resets) = (self.mute.clone(), self.fault.clone(), self.resets.clone());
        let slow = self.slow.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let (state, failing, mute) = (state.clone(), failing.clone(), mute.clone());
                let (fault, slow) = (fault.clone(), slow.clone());
                let (resets, before) = (resets.clone(), resets.load(Ordering::SeqCst));
                thread::spawn(move || {
                    while let Some(call) = read_message(&mut stream) {
                        let delay = *slow.lock().expect("no stub panics");
                        thread::sleep(delay);
                        let faulty = fault.lock().expect("no stub panics").clone();
                        if mute.load(Ordering::SeqCst) || faulty.is_some() {
                            state.0.lock().expect("no stub panics").calls.push(call.start.clone());
                        }
                        if mute.load(Ordering::SeqCst) {
                            continue;
                        }
                        if let Some(fault) = faulty {
                            match fault.play(&mut stream) {
                                true => continue,
                                false => return,
                            }
                        }
                        let reset = || resets.load(Ordering::SeqCst) != before;
                        let Some((status, body)) = Self::wait(&state, &failing, reset, &call) else {
                            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                            return;
                        };
                        answer(&mut stream, status, "", body.as_bytes());
                    }
                });
            }
        });
    }

    /// The answer to a call, once there is one; none to one whose connection is to be reset.
    fn wait(
        state: &(Mutex<Listed>, Condvar),
        failing: &AtomicBool,
        reset: impl Fn() -> bool,
        call: &Message,
    ) -> Option<(u16, String)> {
        let mut listed = state.0.lock().expect("no stub panics");
        listed.calls.push(call.start.clone());
        let after = call.start.split(['=', '&']).nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
        let until = Instant::now() + LONG;
        loop {
            if reset() {
                return None;
            }
            if failing.load(Ordering::SeqCst) {
                return Some((503, String::new()));
            }
            if listed.version > after {
                return Some((200, listed.body.clone()));
            }
            if Instant::now() >= until {
                return Some((200, format!(r#"{{"index":{after},"snapshot":false,"endpoints":[]}}"#)));
            }
            listed = state.1.wait_timeout(listed, Duration::from_millis(20)).expect("no stub panics").0;
        }
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
        self.state.1.notify_all();
    }

    /// Publishes an answer, from which on `version` is the newest.
    pub fn publish(&self, version: u64, body: String) {
        let mut listed = self.state.0.lock().expect("no stub panics");
        (listed.version, listed.body) = (version, body);
        self.state.1.notify_all();
    }

    pub fn calls(&self) -> Vec<String> {
        self.state.0.lock().expect("no stub panics").calls.clone()
    }

    /// Waits until a watch for news after `version` is open: what came before has then been taken in.
    pub fn await_watch(&self, version: u64) {
        let call = format!("after={version}&");
        wait_until("the watch goes on", || self.calls().iter().any(|c| c.contains(&call)));
    }
}

/// A list, or changes to one, as discovery writes it: name, address and status of each entry.
pub fn list(index: u64, snapshot: bool, entries: &[(&str, SocketAddr, &str)]) -> String {
    let entry = |(name, address, status): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
        )
    };
    let entries: Vec<_> = entries.iter().map(entry).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}
