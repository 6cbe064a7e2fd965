//! The sidecar as its neighbours see it, over loopback sockets.

mod answers;
mod crossings;
mod faults;
mod lifecycle;
mod lists;
mod operation;
mod requests;
mod services;
mod stored_state;
mod streaming;
mod stubs;
mod terms;
