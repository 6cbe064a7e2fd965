//! The fault table: a small file that a test writes and that the preloaded library `faultshim` maps into the process
//! under test. It says which system calls fail, how and for how long, and by how much the wall clock is off; the
//! library counts there what it saw. Times are microseconds.
//!
//! The file holds 64-bit little-endian words. A page of the page cache is shared between a mapping and reads and
//! writes of the file, so the test side needs no mapping of its own.

mod call;
mod layout;
mod table;

pub use call::{Call, errno};
pub use layout::{
    BYTES, CALLS_AT, MAGIC, MAGIC_AT, MOST_RULES, RULE_WORDS, RULES_AT, RuleWord, WALL_OFFSET_AT, rule_word,
};
pub use table::{CallFault, FaultTable, Rule, Span, TableError};

/// Environment variable that names the table's file to the preloaded library.
pub const TABLE_VARIABLE: &str = "FAULT_TABLE";
