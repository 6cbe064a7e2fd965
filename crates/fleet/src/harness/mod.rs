//! Test harness of real processes on loopback: sidecars, fake backends, a fake discovery service or real registry
//! replicas, a fault proxy on every link, and clients. What each of them recorded is checked against the rules of the
//! protocol.
//!
//! All waits are for conditions; one that times out fails with the seed, the timeline and each process's log. Child
//! processes are killed when the harness is dropped, also after a panic, and by
//! [`process_guard`] when the harness's own process is killed.

pub mod backend;
pub mod check;
mod client_link;
mod client_tasks;
mod clients;
mod cluster;
mod disconnecting_clients;
pub mod discovery;
mod fault_proxy;
mod http;
mod malformed_clients;
mod overload_clients;
mod process;
pub mod process_guard;
pub mod registry_replicas;
pub mod sent_requests;
mod slow_requests;
mod wait;

pub use clients::{Clients, Traffic};
pub use cluster::{
    Cluster, ClusterConfig, ClusterError, DEFAULT_MEMORY_MB, LogReader, OperatorCall, PendingCall,
};
pub use disconnecting_clients::{DisconnectingClients, DisconnectingGroup};
pub use fault_proxy::{FaultProxy, Link};
pub use http::Message;
pub use malformed_clients::MalformedClients;
pub use overload_clients::{OverloadClients, OverloadGroup, OverloadKind};
pub use process::{Process, Programs, peak_memory_kb};
pub use slow_requests::{SlowClients, SlowGroup};
pub use wait::{Timeline, WAIT_TIMEOUT, until};

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// The current time in microseconds, on the wall clock that all processes of this machine share.
pub fn now_micros() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as i64
}

/// A loopback address for one process or proxy of this harness. No other process uses its host, and its port is below
/// the range that the system uses for outgoing connections. It is not probed with a bind: a child that another thread
/// is just starting inherits the probe's socket for a moment, and binding the address would fail in that time.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (number, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let hash = crate::chance::mix(u64::from(process) << 32 | u64::from(number));
    let (host, port) = (number % 62_500, 10_000 + hash % 20_000);
    let ip = Ipv4Addr::new(127, (1 + process % 250) as u8, (1 + host / 250) as u8, (1 + host % 250) as u8);
    SocketAddr::from((ip, port as u16))
}
