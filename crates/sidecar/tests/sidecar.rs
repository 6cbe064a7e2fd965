//! The sidecar as its neighbours see it, over loopback sockets.

mod faults;
mod lifecycle;
mod lists;
mod operation;
mod races;
mod requests;
mod responses;
mod services;
mod stored_state;
mod streaming;
mod stubs;
mod time_limits;
