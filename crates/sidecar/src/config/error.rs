//! Why a configuration can't be used. Each error message is a single line.

use crate::io_failure::IoFailure;
use crate::registry_watch::RegistryConfigError;
use lotusmoor_balancer::SettingsError;
use lotusmoor_balancer::settings::DecodeError;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why the configuration can't be used.
#[derive(Debug)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    FileVariableNotSet,
    /// The file can't be read.
    Read {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// An environment variable is not an address and port.
    Address {
        /// Its name.
        variable: &'static str,
        /// Its value.
        value: String,
    },
    /// The file's contents can't be used.
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: InvalidConfig,
    },
}

/// Why the contents of the configuration file can't be used.
#[derive(Debug)]
pub enum InvalidConfig {
    /// It is not valid JSON of the expected structure.
    Json(serde_json::Error),
    /// The settings object can't be decoded.
    Settings(DecodeError),
    /// The balancer rejects the settings.
    SettingsCheck(SettingsError),
    /// The limit on file descriptors is too low.
    TooFewFileDescriptors {
        /// The minimum number.
        min: usize,
    },
    /// The limit on memory is too low.
    TooLittleMemory {
        /// The minimum amount, in MB.
        min_mb: usize,
    },
    /// The registry section is invalid.
    Registry(RegistryConfigError),
    /// There is no address for clients to connect to.
    NoListenAddress,
    /// There is no address of discovery.
    NoDiscoveryAddress,
}

impl ConfigError {
    /// Whether a retry may succeed a moment later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Read { source, .. } if IoFailure::of_file(source).is_transient())
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FileVariableNotSet => f.write_str("LB_CONFIG is not set"),
            Self::Read { path, source } => write!(f, "cannot read LB_CONFIG {}: {source}", path.display()),
            Self::Address { variable, value } => {
                write!(f, "{variable} is not an address and port: {value}")
            }
            Self::Invalid { path, reason } => write!(f, "LB_CONFIG {}: {reason}", path.display()),
        }
    }
}

impl fmt::Display for InvalidConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(e) => e.fmt(f),
            Self::Settings(e) => write!(f, "settings: {e}"),
            Self::SettingsCheck(e) => e.fmt(f),
            Self::TooFewFileDescriptors { min } => write!(f, "limits: sockets must be {min} or more"),
            Self::TooLittleMemory { min_mb } => write!(f, "limits: memory_mb must be {min_mb} or more"),
            Self::Registry(e) => e.fmt(f),
            Self::NoListenAddress => f.write_str("no address to listen on"),
            Self::NoDiscoveryAddress => f.write_str("no discovery address"),
        }
    }
}

impl Error for ConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Read { source, .. } => Some(source),
            Self::Invalid { reason, .. } => Some(reason),
            Self::FileVariableNotSet | Self::Address { .. } => None,
        }
    }
}

impl Error for InvalidConfig {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Json(e) => Some(e),
            Self::Settings(e) => Some(e),
            Self::SettingsCheck(e) => Some(e),
            _ => None,
        }
    }
}
