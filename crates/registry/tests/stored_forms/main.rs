//! What replicas store and send, as commit 3f326ce wrote it: names in the code may change, these bytes may not.
//!
//! `cargo test -p lotusmoor-registry --test stored_forms -- --ignored write_fixtures` wrote the fixtures at that commit,
//! but for `roster.toml`. It writes over none: where a test finds a difference, what other versions read has changed.

mod calls_made;
mod configuration;
mod database;
mod fixtures;
mod http_answers;
mod http_calls;
mod messages;
mod raft_calls;
mod samples;

/// Writes all fixtures with the code as it is, where there are none.
#[test]
#[ignore = "writes the fixtures"]
fn write_fixtures() {
    calls_made::write_fixtures();
    messages::write_fixtures();
    raft_calls::write_fixtures();
    database::write_fixtures();
    http_answers::write_fixtures();
}
