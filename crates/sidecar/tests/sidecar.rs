//! End-to-end tests of the sidecar process over loopback sockets, with stub clients, endpoints and discovery.

mod faults;
mod lifecycle;
mod lists;
mod memory;
mod operation;
mod overload;
mod races;
mod requests;
mod responses;
mod services;
mod shutdown;
mod stored_state;
mod streaming;
mod stubs;
mod time_limits;
