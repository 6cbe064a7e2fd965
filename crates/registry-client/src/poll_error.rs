//! Errors of polls.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

/// Why a poll failed.
#[derive(Clone, Debug)]
pub enum PollError {
    /// The watcher's timeout expired before there was a response.
    Timeout,
    /// The connection could not be established, or was lost before the end of the response.
    Connection(Arc<dyn Error + Send + Sync>),
    /// The replica responded with a status other than 200.
    Status(u16),
    /// The response is not a list.
    InvalidResponse(Arc<serde_json::Error>),
    /// The replica runs a release without support for services: it sent the list of all servers.
    ServicesUnsupported,
    /// The response is not for the services that were polled.
    OtherServices,
}

impl PollError {
    /// A connection error, of any type that the driver has.
    pub fn connection(cause: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        Self::Connection(Arc::from(cause.into()))
    }
}

impl From<serde_json::Error> for PollError {
    fn from(error: serde_json::Error) -> Self {
        Self::InvalidResponse(Arc::new(error))
    }
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout => f.write_str("no answer"),
            Self::Connection(cause) => cause.fmt(f),
            Self::Status(status) => write!(f, "status {status}"),
            Self::InvalidResponse(cause) => write!(f, "unreadable list: {cause}"),
            Self::ServicesUnsupported => f.write_str("does not know services"),
            Self::OtherServices => f.write_str("response is for other services than polled"),
        }
    }
}

impl Error for PollError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            // It displays the text of its cause, so the chain continues with the cause's source.
            Self::Connection(cause) => cause.source(),
            Self::InvalidResponse(cause) => Some(cause.as_ref()),
            Self::Timeout | Self::Status(_) | Self::ServicesUnsupported | Self::OtherServices => None,
        }
    }
}

/// Causes can't be compared: two errors are equal if they have the same variant and the same text.
impl PartialEq for PollError {
    fn eq(&self, other: &Self) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other) && self.to_string() == other.to_string()
    }
}

#[cfg(test)]
mod tests;
