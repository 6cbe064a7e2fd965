//! Why a sidecar could not start or keep running. Each error message is a single line.

use crate::config::ConfigError;
use crate::inherited_socket::InheritError;
use lotusmoor_balancer::SettingsError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a sidecar could not start or keep running.
#[derive(Debug)]
pub enum StartError {
    /// The inherited socket can't be used.
    Inherit(InheritError),
    /// There is no usable configuration.
    Config(ConfigError),
    /// The runtime could not be started.
    Runtime(io::Error),
    /// A signal can't be handled.
    Signal {
        /// Its name.
        name: &'static str,
        /// Why it can't be handled.
        source: io::Error,
    },
    /// The address that clients connect to can't be bound.
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why it can't be bound.
        source: io::Error,
    },
    /// The address that operators connect to can't be bound.
    ListenForOperators {
        /// The address.
        address: SocketAddr,
        /// Why it can't be bound.
        source: io::Error,
    },
    /// The address for gossip datagrams can't be bound.
    BindGossip {
        /// The address.
        address: SocketAddr,
        /// Why it can't be bound.
        source: io::Error,
    },
    /// The balancer rejects the settings.
    Balancer(SettingsError),
    /// The engine has ended.
    EngineFailed,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Inherit(e) => e.fmt(f),
            Self::Config(e) => e.fmt(f),
            Self::Runtime(e) => write!(f, "cannot start the runtime: {e}"),
            Self::Signal { name, source } => write!(f, "cannot listen for {name}: {source}"),
            Self::Listen { address, source } => write!(f, "cannot listen on {address}: {source}"),
            Self::ListenForOperators { address, source } => {
                write!(f, "cannot listen for operators on {address}: {source}")
            }
            Self::BindGossip { address, source } => write!(f, "cannot bind {address}: {source}"),
            Self::Balancer(e) => e.fmt(f),
            Self::EngineFailed => f.write_str("the engine ended unexpectedly"),
        }
    }
}

impl Error for StartError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Inherit(e) => e.source(),
            Self::Config(e) => e.source(),
            Self::Runtime(source)
            | Self::Signal { source, .. }
            | Self::Listen { source, .. }
            | Self::ListenForOperators { source, .. }
            | Self::BindGossip { source, .. } => Some(source),
            Self::Balancer(e) => e.source(),
            Self::EngineFailed => None,
        }
    }
}

impl From<InheritError> for StartError {
    fn from(error: InheritError) -> Self {
        Self::Inherit(error)
    }
}

impl From<ConfigError> for StartError {
    fn from(error: ConfigError) -> Self {
        Self::Config(error)
    }
}
