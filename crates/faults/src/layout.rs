//! The layout of the fault table: the index of each word, counted from its start.

/// The word that marks a file as a fault table.
pub const MAGIC: u64 = 0x6661_756c_7473_0001;
/// The index of [`MAGIC`].
pub const MAGIC_AT: usize = 0;
/// The index of the offset of the wall clock: the microseconds by which it is ahead, as a signed number.
pub const WALL_OFFSET_AT: usize = 1;
/// The index of the counts of calls, one word for each kind of call.
pub const CALLS_AT: usize = 16;
/// The index of the first rule.
pub const RULES_AT: usize = 64;
/// Words of a rule.
pub const RULE_WORDS: usize = 8;
/// The most rules that a table holds.
pub const MAX_RULES: usize = 32;
/// The size of the file in bytes.
pub const BYTES: usize = 4096;

/// The words of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum RuleWord {
    /// 1 more than the kind of call; 0 if the rule is not in force.
    Call,
    /// The error number; 0 for a short read or write.
    Errno,
    /// The number of the first call that the rule applies to, counted from 1.
    FirstCall,
    /// From that call on, the rule applies to one in this many calls.
    Every,
    /// The most calls that the rule applies to.
    MaxHits,
    /// How long after its first hit the rule is in force, in microseconds; 0 for no limit.
    DurationUs,
    /// The number of calls that the rule has applied to.
    Hits,
    /// The monotonic time of the first hit, in microseconds; 0 if there was none.
    FirstHit,
}

/// The index of a word of a rule.
pub const fn rule_word(rule: usize, word: RuleWord) -> usize {
    RULES_AT + rule * RULE_WORDS + word as usize
}
