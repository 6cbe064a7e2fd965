//! Real processes on loopback with faults between them: sidecars, stand-in ledger servers, a stand-in discovery, a
//! relay on every link, and clients. What each side saw is checked against the rules.
//!
//! Everything waits for conditions; a wait that goes on too long fails with the seed, the timeline and each
//! process's log. Children end with the harness: with it when it is dropped, as after a panic, and through
//! [`reaper`] when its process is killed.

pub mod backend;
pub mod check;
mod clients;
mod cluster;
mod disconnecting_clients;
pub mod discovery;
mod fault_proxy;
mod http;
mod malformed_clients;
mod process;
pub mod process_guard;
pub mod registry_replicas;
pub mod sent_requests;
mod wait;

pub use clients::{Clients, Traffic};
pub use cluster::{Cluster, ClusterConfig, ClusterError, LogReader, OperatorCall, PendingCall};
pub use disconnecting_clients::{DisconnectingClients, DisconnectingGroup};
pub use fault_proxy::{FaultProxy, Link};
pub use http::Message;
pub use malformed_clients::MalformedClients;
pub use process::{Process, Programs};
pub use wait::{Timeline, WAIT_TIMEOUT, until};

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds on the clock that all processes of this machine share.
pub fn now_micros() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as i64
}

/// A loopback address for one process or relay of this harness. Its host is used by no one else, its port lies below
/// those that the system gives to whoever dials, and it is not tried out: a socket that is closed here lives on for a
/// moment in every child that another thread is just starting, and whoever binds its address then is turned down.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (number, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let name = crate::chance::mix(u64::from(process) << 32 | u64::from(number));
    let (host, port) = (number % 62_500, 10_000 + name % 20_000);
    let ip = Ipv4Addr::new(127, (1 + process % 250) as u8, (1 + host / 250) as u8, (1 + host % 250) as u8);
    SocketAddr::from((ip, port as u16))
}
