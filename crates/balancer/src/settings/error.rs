//! Errors in settings and in decoding them.

use std::error::Error;
use std::fmt;

const MAX_TIME_US: f64 = (1_u64 << 50) as f64;
const MAX_FACTOR: f64 = 1e9;

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The settings object could not be decoded.
    Undecodable(&'static str),
    /// There are no request classes.
    NoClasses,
    /// A value is out of range.
    OutOfRange {
        /// The setting, after its section if it has one.
        key: &'static str,
        /// The valid range.
        range: ValidRange,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unusable settings: ")?;
        match self {
            Self::Undecodable(reason) => f.write_str(reason),
            Self::NoClasses => f.write_str("classes: no request classes"),
            Self::OutOfRange { key, range } => write!(f, "{key} must {range}"),
        }
    }
}

impl Error for SettingsError {}

/// The values that are valid for a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValidRange {
    /// Above 0.
    Positive,
    /// A time above 0.
    PositiveTime,
    /// A time of 0 or more.
    Time,
    /// A number from 0 to 1.
    Share,
    /// A finite number that is not negative.
    Factor,
}

impl ValidRange {
    pub(super) fn check(self, key: &'static str, value: f64) -> Result<(), SettingsError> {
        let is_valid = match self {
            Self::Positive => value > 0.0,
            Self::PositiveTime => value > 0.0 && value < MAX_TIME_US,
            Self::Time => (0.0..MAX_TIME_US).contains(&value),
            Self::Share => (0.0..=1.0).contains(&value),
            Self::Factor => (0.0..MAX_FACTOR).contains(&value),
        };
        if is_valid { Ok(()) } else { Err(SettingsError::OutOfRange { key, range: self }) }
    }
}

impl fmt::Display for ValidRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Positive => "be above 0",
            Self::PositiveTime => "be above 0 and under 2^50 us",
            Self::Time => "lie in 0 to 2^50 us",
            Self::Share => "lie in 0 to 1",
            Self::Factor => "be finite and not negative",
        })
    }
}

/// Why a settings object cannot be decoded.
#[derive(Debug)]
pub enum DecodeError {
    /// It is not valid JSON, or a field is missing or of the wrong type.
    Json(serde_json::Error),
    /// The idempotency (`Effect`) of a class is unknown.
    UnknownIdempotency {
        /// The class.
        class: String,
        /// The value found.
        effect: String,
    },
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => error.fmt(f),
            Self::UnknownIdempotency { effect, .. } => write!(f, "unknown Effect {effect}"),
        }
    }
}

impl Error for DecodeError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Json(error) => Some(error),
            Self::UnknownIdempotency { .. } => None,
        }
    }
}
