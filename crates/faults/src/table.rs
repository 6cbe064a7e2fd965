//! The test's side of the table.

use crate::call::Call;
use crate::layout::{BYTES, CALLS_AT, MAGIC, MAGIC_AT, MOST_RULES, RuleWord, WALL_OFFSET_AT, rule_word};
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Why a table can't be used.
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// Its file.
    #[error("fault table: {0}")]
    Io(#[from] io::Error),
    /// It holds no more rules.
    #[error("fault table: more than {MOST_RULES} rules")]
    Full,
}

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// With this error number.
    Errno(i32),
    /// It moves a byte alone.
    Short,
}

/// How many calls a rule meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Span {
    /// So many.
    Calls(u64),
    /// All for so many microseconds after the first.
    Lasts(u64),
}

/// One rule: which calls fail, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The kind of call.
    pub call: Call,
    /// How it fails.
    pub fault: CallFault,
    /// Calls of that kind that pass first, counted from now.
    pub skip: u64,
    /// Of the calls after those, one in so many fails.
    pub every: u64,
    /// For how many, or how long.
    pub span: Span,
}

impl Rule {
    /// The next call of that kind fails so.
    pub fn once(call: Call, errno: i32) -> Self {
        Self { call, fault: CallFault::Errno(errno), skip: 0, every: 1, span: Span::Calls(1) }
    }

    /// One in so many calls of that kind fails so, for good.
    pub fn one_in(every: u64, call: Call, errno: i32) -> Self {
        Self { every, span: Span::Calls(u64::MAX), ..Self::once(call, errno) }
    }

    /// All calls of that kind fail so for so many microseconds.
    pub fn lasting(lasts_us: u64, call: Call, errno: i32) -> Self {
        Self { span: Span::Lasts(lasts_us), ..Self::once(call, errno) }
    }
}

/// A table and its file.
#[derive(Debug)]
pub struct FaultTable {
    file: File,
    path: PathBuf,
}

impl FaultTable {
    /// Makes an empty one at that path.
    pub fn create(path: &Path) -> Result<Self, TableError> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(BYTES as u64)?;
        let table = Self { file, path: path.to_owned() };
        table.put(MAGIC_AT, MAGIC)?;
        Ok(table)
    }

    /// Its file, for [`crate::TABLE_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn put(&self, at: usize, word: u64) -> io::Result<()> {
        self.file.write_all_at(&word.to_le_bytes(), 8 * at as u64)
    }

    fn get(&self, at: usize) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, 8 * at as u64)?;
        Ok(u64::from_le_bytes(bytes))
    }

    /// Calls of that kind seen so far.
    pub fn calls(&self, call: Call) -> Result<u64, TableError> {
        Ok(self.get(CALLS_AT + call as usize)?)
    }

    /// Steps the wall clock: it is ahead by so many microseconds from now on, behind where that is negative.
    pub fn step_wall_clock(&self, ahead_us: i64) -> Result<(), TableError> {
        Ok(self.put(WALL_OFFSET_AT, ahead_us.cast_unsigned())?)
    }

    /// Puts a rule in force from the next call on; gives its place.
    pub fn arm(&self, rule: Rule) -> Result<usize, TableError> {
        let free = |at: &usize| self.get(rule_word(*at, RuleWord::Call)).is_ok_and(|call| call == 0);
        let at = (0..MOST_RULES).find(free).ok_or(TableError::Full)?;
        let errno = match rule.fault {
            CallFault::Errno(errno) => u64::from(errno.unsigned_abs()),
            CallFault::Short => 0,
        };
        let (most, lasts) = match rule.span {
            Span::Calls(most) => (most, 0),
            Span::Lasts(us) => (u64::MAX, us),
        };
        let from = self.calls(rule.call)? + 1 + rule.skip;
        let words = [
            (RuleWord::Errno, errno),
            (RuleWord::From, from),
            (RuleWord::Every, rule.every.max(1)),
            (RuleWord::Most, most),
            (RuleWord::Lasts, lasts),
            (RuleWord::Hits, 0),
            (RuleWord::FirstHit, 0),
            // Last, as it puts the rule in force.
            (RuleWord::Call, 1 + rule.call as u64),
        ];
        for (word, value) in words {
            self.put(rule_word(at, word), value)?;
        }
        Ok(at)
    }

    /// Takes a rule out of force; gives how many calls it met.
    pub fn disarm(&self, at: usize) -> Result<u64, TableError> {
        self.put(rule_word(at, RuleWord::Call), 0)?;
        self.hits(at)
    }

    /// Takes all rules out of force.
    pub fn disarm_all(&self) -> Result<(), TableError> {
        (0..MOST_RULES).try_for_each(|at| self.disarm(at).map(drop))
    }

    /// How many calls a rule has met.
    pub fn hits(&self, at: usize) -> Result<u64, TableError> {
        Ok(self.get(rule_word(at, RuleWord::Hits))?)
    }
}
