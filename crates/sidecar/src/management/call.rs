//! Operators' calls and how they are parsed.

use std::error::Error;
use std::fmt;

/// A call by operators.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Call {
    /// Whether this process can serve.
    Health,
    /// Cordon the endpoint of that name.
    Cordon(String),
    /// Uncordon the endpoint of that name.
    Uncordon(String),
    /// Drain the sidecar.
    Drain,
    /// End the drain.
    Resume,
    /// The status of the registry's list.
    List,
    /// The metrics of this process.
    Metrics,
}

/// Why a line can't be parsed as a call. Operators see the text after `ERR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LineError {
    /// It is not UTF-8.
    Encoding,
    /// It is empty.
    Empty,
    /// There is no call of that name.
    UnknownCall,
    /// The name of an endpoint is missing.
    MissingName,
    /// There are more arguments than the call takes.
    TooManyArguments,
    /// It is too long.
    TooLong,
    /// The connection ended before the line did.
    Unterminated,
    /// It was not complete within the time limit.
    TimedOut,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Encoding => "not UTF-8",
            Self::Empty => "no call",
            Self::UnknownCall => "unknown call",
            Self::MissingName => "no id",
            Self::TooManyArguments => "too many arguments",
            Self::TooLong => "the line is too long",
            Self::Unterminated => "the line has no end",
            Self::TimedOut => "no whole line in time",
        })
    }
}

impl Error for LineError {}

impl Call {
    /// Parses a line.
    pub(super) fn parse(line: &[u8]) -> Result<Self, LineError> {
        let line = std::str::from_utf8(line).map_err(|_| LineError::Encoding)?;
        let mut words = line.split_ascii_whitespace();
        let name = words.next().ok_or(LineError::Empty)?;
        let mut id = || words.next().map(str::to_owned).ok_or(LineError::MissingName);
        let call = match name {
            "cordon" => Self::Cordon(id()?),
            "uncordon" => Self::Uncordon(id()?),
            "health" => Self::Health,
            "quiesce" => Self::Drain,
            "resume" => Self::Resume,
            "list" => Self::List,
            "metrics" => Self::Metrics,
            _ => return Err(LineError::UnknownCall),
        };
        if words.next().is_some() {
            return Err(LineError::TooManyArguments);
        }
        Ok(call)
    }
}

#[cfg(test)]
mod tests;
