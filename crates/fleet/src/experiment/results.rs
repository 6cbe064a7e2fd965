//! Results on disk: a line of JSON for each run. A file that an interrupt has torn is read up to the tear.

use super::Point;
use crate::model::Figures;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// One run.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Line {
    /// The experiment.
    pub experiment: String,
    /// The text that was played: the commit, with `+` behind it where files differed from it.
    pub commit: String,
    /// The scenario.
    pub scenario: String,
    /// The variant.
    pub variant: String,
    /// The point of the sweep.
    pub point: Point,
    /// The seed.
    pub seed: u64,
    /// What came of it.
    pub figures: Figures,
}

impl Line {
    /// Whether both are the same run.
    pub fn is(&self, other: &Self) -> bool {
        let key = |l: &Self| (l.experiment.clone(), l.scenario.clone(), l.variant.clone(), l.seed);
        key(self) == key(other) && self.point == other.point
    }
}

/// Why a file of results can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ResultsError {
    /// It can't be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A line before the last is no result: that was no interrupt.
    #[error("{path}: line {line}: {source}")]
    Line {
        /// The file.
        path: PathBuf,
        /// From 1.
        line: usize,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// It holds results of another text; the two can't be told apart later.
    #[error("{path}: holds results of {found}, and this is {now}: name another file, or remove it")]
    Commit {
        /// The file.
        path: PathBuf,
        /// The commit there.
        found: String,
        /// The one now.
        now: String,
    },
}

/// A file of results, open to be added to.
pub struct Results {
    path: PathBuf,
    file: File,
    /// What it held when it was opened.
    pub lines: Vec<Line>,
    /// A torn line at its end was cut off.
    pub torn: bool,
}

impl Results {
    /// Reads a file of results; a last line that does not end is left out.
    pub fn read(path: &Path) -> Result<(Vec<Line>, bool), ResultsError> {
        let text =
            std::fs::read(path).map_err(|source| ResultsError::Io { path: path.to_owned(), source })?;
        let (whole, rest) = match text.iter().rposition(|b| *b == b'\n') {
            Some(end) => text.split_at(end + 1),
            None => (&[][..], &text[..]),
        };
        let mut lines = Vec::new();
        let count = whole.split(|b| *b == b'\n').count().saturating_sub(1);
        let mut torn = !rest.is_empty();
        for (i, line) in whole.split(|b| *b == b'\n').enumerate().filter(|(_, l)| !l.is_empty()) {
            match serde_json::from_slice(line) {
                Ok(line) => lines.push(line),
                // Blocks of a file may reach the disk out of order: the last line can end and still be torn.
                Err(_) if i + 1 == count => torn = true,
                Err(source) => return Err(ResultsError::Line { path: path.to_owned(), line: i + 1, source }),
            }
        }
        Ok((lines, torn))
    }

    /// Opens a file of results to go on with it, or begins one. What is torn is cut off first, by rename, so that
    /// an interrupt at this point loses nothing.
    pub fn open(path: &Path, commit: &str) -> Result<Self, ResultsError> {
        let io = |source| ResultsError::Io { path: path.to_owned(), source };
        let (lines, torn) = if path.exists() { Self::read(path)? } else { (Vec::new(), false) };
        if let Some(line) = lines.iter().find(|l| l.commit != commit) {
            let (found, now) = (line.commit.clone(), commit.to_owned());
            return Err(ResultsError::Commit { path: path.to_owned(), found, now });
        }
        if torn {
            let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
            let mut whole = tempfile::NamedTempFile::new_in(folder).map_err(io)?;
            for line in &lines {
                serde_json::to_writer(&mut whole, line).map_err(|e| io(e.into()))?;
                whole.write_all(b"\n").map_err(io)?;
            }
            whole.as_file().sync_all().map_err(io)?;
            whole.persist(path).map_err(|e| io(e.error))?;
        }
        let file = OpenOptions::new().create(true).append(true).open(path).map_err(io)?;
        Ok(Self { path: path.to_owned(), file, lines, torn })
    }

    /// Adds a run: one write, so that lines of an interrupted file are whole but for the last.
    pub fn add(&mut self, line: &Line) -> Result<(), ResultsError> {
        let io = |source| ResultsError::Io { path: self.path.clone(), source };
        let mut text = serde_json::to_vec(line).map_err(|e| io(e.into()))?;
        text.push(b'\n');
        self.file.write_all(&text).map_err(io)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(seed: u64) -> Line {
        Line {
            experiment: "e".into(),
            commit: "abc".into(),
            scenario: "s".into(),
            variant: "v".into(),
            point: Point { load: Some(0.7), ..Point::default() },
            seed,
            figures: Figures { score: 0.123_456_789, ..Figures::default() },
        }
    }

    #[test]
    fn a_file_torn_anywhere_in_its_last_line_is_gone_on_with() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("r.jsonl");
        let write = |n: u64| {
            let mut results = Results::open(&path, "abc").expect("it opens");
            (1..=n).for_each(|seed| results.add(&line(seed)).expect("it is written"));
        };
        write(3);
        let whole = std::fs::read(&path).expect("it is there");
        let second_ends =
            whole.iter().enumerate().filter(|(_, b)| **b == b'\n').nth(1).expect("three lines").0 + 1;
        for cut in [second_ends, second_ends + 1, whole.len() - 20, whole.len() - 1] {
            std::fs::write(&path, &whole[..cut]).expect("it is cut");
            let mut results = Results::open(&path, "abc").expect("it opens");
            assert_eq!((results.lines.len(), results.torn), (2, cut != second_ends), "cut at {cut}");
            results.add(&line(9)).expect("it is written");
            let (lines, torn) = Results::read(&path).expect("it is read");
            assert_eq!((lines.len(), torn, lines[2].seed), (3, false, 9));
        }
    }

    #[test]
    fn a_broken_line_in_the_middle_and_another_commit_are_errors() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("r.jsonl");
        Results::open(&path, "abc").and_then(|mut r| r.add(&line(1))).expect("it is written");
        let other = Results::open(&path, "def").err().map(|e| e.to_string());
        assert!(other.is_some_and(|e| e.contains("holds results of abc")));
        let whole = std::fs::read_to_string(&path).expect("it is there");
        std::fs::write(&path, format!("{{\"broken\n{whole}")).expect("it is written");
        let broken = Results::open(&path, "abc").err().map(|e| e.to_string());
        assert!(broken.is_some_and(|e| e.contains("line 1")));
    }
}
