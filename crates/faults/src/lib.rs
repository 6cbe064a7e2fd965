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
