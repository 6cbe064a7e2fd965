//! The registry section of the configuration.

use lotusmoor_registry_client::{Micros, Settings};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum number of services that are watched at once, as their names are part of each poll's path.
const MAX_SERVICES: usize = 256;
const MAX_SERVICE_NAME_BYTES: usize = 64;
const MICROS_PER_MILLISECOND: Micros = 1000;

/// The registry section of the configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistryConfig {
    /// The addresses of its replicas.
    pub addresses: Vec<SocketAddr>,
    /// The cache file for the last good list.
    pub file: Option<PathBuf>,
    /// A list that removes more than this share of the servers is withheld until it is confirmed.
    #[serde(rename = "hold_back")]
    pub max_removed_share: Option<f64>,
    /// Age from which a list is reported stale, in milliseconds.
    pub stale_after_ms: Option<u32>,
    /// The services whose servers are watched; empty for all servers.
    #[serde(default)]
    pub services: BTreeSet<String>,
}

/// What is wrong with a registry's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryConfigError {
    /// No addresses are given.
    NoAddresses,
    /// The maximum share of removed servers is not above 0 and up to 1.
    RemovedShareOutOfRange,
    /// The age of a stale list is 0.
    ZeroStaleAge,
    /// There are too many services.
    TooManyServices,
    /// A service name contains characters that a path can't carry unescaped, or has an invalid length.
    InvalidServiceName,
}

impl fmt::Display for RegistryConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoAddresses => "roster: addresses: at least one is required",
            Self::RemovedShareOutOfRange => "roster: hold_back must be above 0 and at most 1",
            Self::ZeroStaleAge => "roster: stale_after_ms must be above 0",
            Self::TooManyServices => "roster: services: at most 256 are allowed",
            Self::InvalidServiceName => "roster: services: a name has 1 to 64 letters, digits or . _ : -",
        })
    }
}

impl Error for RegistryConfigError {}

impl RegistryConfig {
    /// Checks the constraints that the types don't express.
    pub fn check(&self) -> Result<(), RegistryConfigError> {
        if self.addresses.is_empty() {
            return Err(RegistryConfigError::NoAddresses);
        }
        if !self.max_removed_share.is_none_or(|share| share > 0.0 && share <= 1.0) {
            return Err(RegistryConfigError::RemovedShareOutOfRange);
        }
        if self.stale_after_ms == Some(0) {
            return Err(RegistryConfigError::ZeroStaleAge);
        }
        if self.services.len() > MAX_SERVICES {
            return Err(RegistryConfigError::TooManyServices);
        }
        if !self.services.iter().all(|name| is_service_name(name)) {
            return Err(RegistryConfigError::InvalidServiceName);
        }
        Ok(())
    }

    pub(super) fn settings(&self) -> Settings {
        let mut settings = Settings::new(self.addresses.len());
        settings.max_removed_share = self.max_removed_share.unwrap_or(settings.max_removed_share);
        if let Some(ms) = self.stale_after_ms {
            settings.stale_after = Micros::from(ms) * MICROS_PER_MILLISECOND;
        }
        settings.services = self.services.iter().cloned().collect();
        settings
    }
}

/// Whether this is a valid service name. Names are part of the path of polls, where nothing is escaped.
fn is_service_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-".contains(&byte);
    (1..=MAX_SERVICE_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}
