//! The test side of the fault table: it writes rules and reads counts.

use crate::call::Call;
use crate::layout::{BYTES, CALLS_AT, MAGIC, MAGIC_AT, MAX_RULES, RuleWord, WALL_OFFSET_AT, rule_word};
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Why a table can't be used.
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// Its file could not be read or written.
    #[error("fault table: {0}")]
    Io(#[from] io::Error),
    /// All of its rules are in use.
    #[error("fault table: more than {MAX_RULES} rules")]
    Full,
}

/// How a system call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// With this error number.
    Errno(i32),
    /// With a short read or write of a single byte.
    Short,
}

/// How long a rule is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Span {
    /// For at most this many calls.
    Calls(u64),
    /// For this many microseconds after the first call that it applies to.
    Lasts(u64),
}

/// A rule: which system calls fail, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The kind of call.
    pub call: Call,
    /// How the call fails.
    pub fault: CallFault,
    /// The number of calls of that kind that pass first, from now on.
    pub skip: u64,
    /// Of the calls after those, one in this many fails.
    pub every: u64,
    /// How long the rule is in force.
    pub span: Span,
}

impl Rule {
    /// The next call of that kind fails with this error number.
    pub fn once(call: Call, errno: i32) -> Self {
        Self { call, fault: CallFault::Errno(errno), skip: 0, every: 1, span: Span::Calls(1) }
    }

    /// One in `every` calls of that kind fails with this error number, without an end.
    pub fn one_in(every: u64, call: Call, errno: i32) -> Self {
        Self { every, span: Span::Calls(u64::MAX), ..Self::once(call, errno) }
    }

    /// All calls of that kind fail with this error number for `lasts_us` microseconds.
    pub fn lasting(lasts_us: u64, call: Call, errno: i32) -> Self {
        Self { span: Span::Lasts(lasts_us), ..Self::once(call, errno) }
    }
}

/// A fault table and its file.
#[derive(Debug)]
pub struct FaultTable {
    file: File,
    path: PathBuf,
}

impl FaultTable {
    /// Creates an empty table at a path.
    pub fn create(path: &Path) -> Result<Self, TableError> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(BYTES as u64)?;
        let table = Self { file, path: path.to_owned() };
        table.write_word(MAGIC_AT, MAGIC)?;
        Ok(table)
    }

    /// The path of the file, for [`crate::TABLE_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn write_word(&self, index: usize, word: u64) -> io::Result<()> {
        self.file.write_all_at(&word.to_le_bytes(), 8 * index as u64)
    }

    fn read_word(&self, index: usize) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, 8 * index as u64)?;
        Ok(u64::from_le_bytes(bytes))
    }

    /// The number of calls of a kind so far.
    pub fn calls(&self, call: Call) -> Result<u64, TableError> {
        Ok(self.read_word(CALLS_AT + call as usize)?)
    }

    /// Steps the wall clock: from now on it is ahead by `ahead_us` microseconds, or behind if that is negative.
    pub fn step_wall_clock(&self, ahead_us: i64) -> Result<(), TableError> {
        Ok(self.write_word(WALL_OFFSET_AT, ahead_us.cast_unsigned())?)
    }

    /// Puts a rule in force from the next call on; returns its index.
    pub fn arm(&self, rule: Rule) -> Result<usize, TableError> {
        let is_free =
            |index: &usize| self.read_word(rule_word(*index, RuleWord::Call)).is_ok_and(|call| call == 0);
        let index = (0..MAX_RULES).find(is_free).ok_or(TableError::Full)?;
        let errno = match rule.fault {
            CallFault::Errno(errno) => u64::from(errno.unsigned_abs()),
            CallFault::Short => 0,
        };
        let (max_hits, duration_us) = match rule.span {
            Span::Calls(max_hits) => (max_hits, 0),
            Span::Lasts(us) => (u64::MAX, us),
        };
        let first_call = self.calls(rule.call)? + 1 + rule.skip;
        let words = [
            (RuleWord::Errno, errno),
            (RuleWord::FirstCall, first_call),
            (RuleWord::Every, rule.every.max(1)),
            (RuleWord::MaxHits, max_hits),
            (RuleWord::DurationUs, duration_us),
            (RuleWord::Hits, 0),
            (RuleWord::FirstHit, 0),
            // Last, as it puts the rule in force.
            (RuleWord::Call, 1 + rule.call as u64),
        ];
        for (word, value) in words {
            self.write_word(rule_word(index, word), value)?;
        }
        Ok(index)
    }

    /// Takes a rule out of force; returns the number of calls that it applied to.
    pub fn disarm(&self, rule: usize) -> Result<u64, TableError> {
        self.write_word(rule_word(rule, RuleWord::Call), 0)?;
        self.hits(rule)
    }

    /// Takes all rules out of force.
    pub fn disarm_all(&self) -> Result<(), TableError> {
        (0..MAX_RULES).try_for_each(|rule| self.disarm(rule).map(drop))
    }

    /// The number of calls that a rule has applied to.
    pub fn hits(&self, rule: usize) -> Result<u64, TableError> {
        Ok(self.read_word(rule_word(rule, RuleWord::Hits))?)
    }
}
