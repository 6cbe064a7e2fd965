//! Errors of the line protocol.

use base64::DecodeError as Base64Error;
use lotusmoor_balancer::SettingsError;
use lotusmoor_balancer::settings::DecodeError;
use std::error::Error;
use std::{fmt, io};

/// Why the protocol could not be served.
#[derive(Debug)]
pub enum WireError {
    /// A line is invalid.
    Line {
        /// Its number, from 1.
        number: u64,
        /// What is wrong with it.
        error: LineError,
    },
    /// Reading or writing failed.
    Io(io::Error),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Line { number, error } => write!(f, "line {number}: {error}"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl Error for WireError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Line { error, .. } => Some(error),
            Self::Io(error) => Some(error),
        }
    }
}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// What is wrong with a line.
#[derive(Debug)]
pub enum LineError {
    /// It is not UTF-8.
    NotUtf8,
    /// The input ends inside a batch.
    UnfinishedBatch,
    /// A message is outside a batch.
    OutsideBatch {
        /// Its name.
        message: String,
    },
    /// A batch begins inside another.
    NestedBatch,
    /// An entry is outside a `catalog`, which is the protocol's name for an endpoint list.
    OutsideList,
    /// A `catalog` has fewer entries than announced.
    IncompleteList {
        /// Its number.
        list: u64,
        /// Number of missing entries.
        missing: usize,
    },
    /// A field is invalid.
    Field {
        /// Name of the message.
        message: String,
        /// Name of the field.
        field: &'static str,
        /// What is wrong.
        reason: FieldError,
    },
    /// The load report is not a list of name and value pairs.
    MalformedLoadReport,
    /// A value of the load report is not a number.
    LoadReportValue {
        /// Name of the value.
        name: String,
    },
}

/// What is wrong with a field.
#[derive(Debug)]
pub enum FieldError {
    /// It is absent.
    Missing,
    /// It is not a number in the field's range.
    NotANumber,
    /// The number has too many bits.
    TooLarge,
    /// It is not one of the field's values.
    UnknownValue(String),
    /// No `catalog` has this number.
    UnknownList(u64),
    /// It is not valid Base64.
    Base64(Base64Error),
    /// The settings cannot be decoded.
    Settings(DecodeError),
    /// The balancer rejects the settings.
    UnusableSettings(SettingsError),
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotUtf8 => f.write_str("not UTF-8"),
            Self::UnfinishedBatch => f.write_str("batch not ended by `go`"),
            Self::OutsideBatch { message } => write!(f, "{message} outside a batch"),
            Self::NestedBatch => f.write_str("`mark` inside a batch"),
            Self::OutsideList => f.write_str("entry `m` outside a catalog"),
            Self::IncompleteList { list, missing } => {
                write!(f, "catalog {list} lacks {missing} entries")
            }
            Self::Field { message, field, reason } => match reason {
                FieldError::Missing => write!(f, "{message} has no field {field}"),
                FieldError::NotANumber => write!(f, "{message}: {field} is not a number in its range"),
                FieldError::TooLarge => write!(f, "{message}: {field} is too large"),
                FieldError::UnknownValue(value) => write!(f, "{message}: unknown {field} {value}"),
                FieldError::UnknownList(id) => write!(f, "{message}: {field} {id} is not a known catalog"),
                FieldError::Base64(error) => write!(f, "{message}: {field}: {error}"),
                FieldError::Settings(error) => write!(f, "{message}: {field}: {error}"),
                FieldError::UnusableSettings(error) => write!(f, "{message}: {field}: {error}"),
            },
            Self::MalformedLoadReport => f.write_str("Load is not a list of name:value pairs"),
            Self::LoadReportValue { name } => write!(f, "Load: {name} is not a number"),
        }
    }
}

impl Error for LineError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        let Self::Field { reason, .. } = self else { return None };
        match reason {
            FieldError::Base64(error) => Some(error),
            FieldError::Settings(error) => Some(error),
            FieldError::UnusableSettings(error) => Some(error),
            FieldError::Missing
            | FieldError::NotANumber
            | FieldError::TooLarge
            | FieldError::UnknownValue(_)
            | FieldError::UnknownList(_) => None,
        }
    }
}
