//! Where each word of the table lies, counted in words from its start.

/// Marks a table.
pub const MAGIC: u64 = 0x6661_756c_7473_0001;
/// Where that mark lies.
pub const MAGIC_AT: usize = 0;
/// By how many microseconds the wall clock is ahead, as a signed number.
pub const WALL_OFFSET_AT: usize = 1;
/// Counts of calls seen, one word a kind.
pub const CALLS_AT: usize = 16;
/// The rules.
pub const RULES_AT: usize = 64;
/// Words of a rule.
pub const RULE_WORDS: usize = 8;
/// Rules that a table holds.
pub const MOST_RULES: usize = 32;
/// Size of the file.
pub const BYTES: usize = 4096;

/// The words of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum RuleWord {
    /// 1 more than the kind of call; 0 where the rule is not in force.
    Call,
    /// The error number; 0 for a short count.
    Errno,
    /// The first call, counted from 1, that it meets.
    From,
    /// Of the calls from then on, one in so many is met.
    Every,
    /// Calls that it meets at most.
    Most,
    /// For how long after its first hit it is in force; 0 for good.
    Lasts,
    /// Calls that it met.
    Hits,
    /// Monotonic time of its first hit.
    FirstHit,
}

/// Where a word of a rule lies.
pub const fn rule_word(rule: usize, word: RuleWord) -> usize {
    RULES_AT + rule * RULE_WORDS + word as usize
}
