//! A line of the protocol: the name of a message, followed by `Field=value` pairs in any order.

use crate::error::{FieldError, LineError};
use std::str::FromStr;

/// A line, split into the name of the message and its fields.
pub(crate) struct Line<'a> {
    pub(crate) name: &'a str,
    pub(crate) is_empty: bool,
    fields: &'a str,
}

impl<'a> Line<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let (name, fields) = text.split_once(' ').unwrap_or((text, ""));
        Self { name, is_empty: text.is_empty(), fields }
    }

    pub(crate) fn find(&self, field: &str) -> Option<&'a str> {
        self.fields.split(' ').find_map(|part| part.strip_prefix(field)?.strip_prefix('='))
    }

    pub(crate) fn require(&self, field: &'static str) -> Result<&'a str, LineError> {
        self.find(field).ok_or_else(|| self.error(field, FieldError::Missing))
    }

    /// The value of a field that extends to the end of the line.
    pub(crate) fn rest_of_line(&self, field: &'static str) -> Result<&'a str, LineError> {
        let mut rest = self.fields;
        loop {
            if let Some(value) = rest.strip_prefix(field).and_then(|r| r.strip_prefix('=')) {
                return Ok(value);
            }
            rest = rest.split_once(' ').ok_or_else(|| self.error(field, FieldError::Missing))?.1;
        }
    }

    pub(crate) fn optional<T: FromStr>(&self, field: &'static str) -> Result<Option<T>, LineError> {
        let parse = |value: &str| value.parse().map_err(|_| self.error(field, FieldError::NotANumber));
        self.find(field).map(parse).transpose()
    }

    pub(crate) fn number<T: FromStr>(&self, field: &'static str) -> Result<T, LineError> {
        self.optional(field)?.ok_or_else(|| self.error(field, FieldError::Missing))
    }

    /// A number of at most `bits` bits.
    pub(crate) fn bounded(&self, field: &'static str, bits: u32) -> Result<u64, LineError> {
        let value: u64 = self.number(field)?;
        if value >> bits == 0 { Ok(value) } else { Err(self.error(field, FieldError::TooLarge)) }
    }

    pub(crate) fn error(&self, field: &'static str, reason: FieldError) -> LineError {
        LineError::Field { message: self.name.to_owned(), field, reason }
    }
}
