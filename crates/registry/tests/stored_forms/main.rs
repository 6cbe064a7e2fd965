//! The formats that replicas store and send. Names in the code may change, but these bytes may not: the fixtures were
//! written at commit 3f326ce.
//!
//! `cargo test -p lotusmoor-registry --test stored_forms -- --ignored write_fixtures` writes the fixtures, except for
//! `roster.toml`. It does not overwrite existing ones: a test that finds a difference means that the code is no longer
//! compatible with other releases.

mod configuration;
mod database;
mod fixtures;
mod http_requests;
mod http_responses;
mod messages;
mod outgoing_calls;
mod raft_calls;
mod samples;

/// Writes all fixtures with the present code; fails if they exist.
#[test]
#[ignore = "writes the fixtures"]
fn write_fixtures() {
    outgoing_calls::write_fixtures();
    messages::write_fixtures();
    raft_calls::write_fixtures();
    database::write_fixtures();
    http_responses::write_fixtures();
}
