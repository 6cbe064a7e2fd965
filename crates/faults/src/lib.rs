//! The fault table: a small file that a test writes and that the preloaded library `faultshim` maps into the process
//! under test. It says which system calls fail, how and for how long, and by how much the wall clock is offset; the
//! library counts system calls and hits of rules in it. Times are in microseconds.
//!
//! The file holds 64-bit little-endian words. Mappings of the file and reads and writes of it share the pages of the
//! page cache, so the test needs no mapping of its own.

mod call;
mod layout;
mod table;

pub use call::{Call, errno};
pub use layout::{
    BYTES, CALLS_AT, MAGIC, MAGIC_AT, MAX_RULES, RULE_WORDS, RULES_AT, RuleWord, WALL_OFFSET_AT, rule_word,
};
pub use table::{CallFault, FaultTable, Rule, Span, TableError};

/// The environment variable that gives the preloaded library the path of the table.
pub const TABLE_VARIABLE: &str = "FAULT_TABLE";
/// The environment variable that gives the preloaded library the size of the send buffers of outgoing connections, in
/// bytes. With the usual buffers of loopback, megabytes of an upload seem to be written to an endpoint that reads nothing.
pub const SEND_BUFFER_VARIABLE: &str = "FAULT_SEND_BUFFER_BYTES";
